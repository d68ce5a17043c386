//! A process that stops while time goes on: its tasks are not polled until it goes on.

use std::cell::{Cell, RefCell};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};

/// Whether a process stands still.
#[derive(Default)]
pub struct Gate {
    closed: Cell<bool>,
    waiting: RefCell<Vec<Waker>>,
}

impl Gate {
    /// Stops the process.
    pub fn close(&self) {
        self.closed.set(true);
    }

    /// Lets the process go on.
    pub fn open(&self) {
        self.closed.set(false);
        self.waiting.take().into_iter().for_each(Waker::wake);
    }

    /// Whether the process stands still.
    pub fn is_closed(&self) -> bool {
        self.closed.get()
    }

    /// A task of the process.
    pub fn task<F: Future>(self: &Rc<Self>, future: F) -> Task<F> {
        Task { gate: self.clone(), future: Box::pin(future) }
    }
}

/// A task of a process that may be frozen.
pub struct Task<F> {
    gate: Rc<Gate>,
    future: Pin<Box<F>>,
}

impl<F: Future> Future for Task<F> {
    type Output = F::Output;

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<F::Output> {
        if self.gate.is_closed() {
            self.gate.waiting.borrow_mut().push(context.waker().clone());
            return Poll::Pending;
        }
        self.future.as_mut().poll(context)
    }
}
