//! A frozen process: its tasks are not polled until it is thawed, while time advances.

use std::cell::{Cell, RefCell};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};

/// Whether a process is frozen.
#[derive(Default)]
pub struct FreezeGate {
    frozen: Cell<bool>,
    wakers: RefCell<Vec<Waker>>,
}

impl FreezeGate {
    /// Freezes the process.
    pub fn freeze(&self) {
        self.frozen.set(true);
    }

    /// Thaws the process and wakes its tasks.
    pub fn thaw(&self) {
        self.frozen.set(false);
        self.wakers.take().into_iter().for_each(Waker::wake);
    }

    /// Whether the process is frozen.
    pub fn is_frozen(&self) -> bool {
        self.frozen.get()
    }

    /// Wraps a task of the process so that it freezes with it.
    pub fn task<F: Future>(self: &Rc<Self>, future: F) -> Task<F> {
        Task { gate: self.clone(), future: Box::pin(future) }
    }
}

/// A task of a process that may be frozen.
pub struct Task<F> {
    gate: Rc<FreezeGate>,
    future: Pin<Box<F>>,
}

impl<F: Future> Future for Task<F> {
    type Output = F::Output;

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<F::Output> {
        if self.gate.is_frozen() {
            self.gate.wakers.borrow_mut().push(context.waker().clone());
            return Poll::Pending;
        }
        self.future.as_mut().poll(context)
    }
}
