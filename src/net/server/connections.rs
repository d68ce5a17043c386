//! The open connections of an instance, for its planned stop: which of their responses are unfinished.
//!
//! Owns the list of outputs and the stage that all connections are in. Relies on nothing of lockloft but
//! [`Output`].

use crate::net::server::output::Output;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use tokio::sync::Notify;
use tokio::sync::futures::Notified;

/// The open connections of all listeners of an instance.
#[derive(Debug, Default)]
pub struct Connections {
    outputs: RefCell<BTreeMap<u64, Rc<Output>>>,
    next: Cell<u64>,
    /// Responses of which the connections have not received the whole body.
    passing: Rc<Cell<u32>>,
    stage: Cell<Stage>,
    stage_changed: Notify,
}

/// The stage of all connections. It only advances.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Stage {
    /// They are served.
    #[default]
    Open,
    /// They are served, and read how much of their output is unacknowledged while responses are unfinished.
    Watched,
    /// They close at once.
    Closing,
}

/// Counts a response in [`Connections::passing`] until it is dropped.
#[derive(Debug)]
pub struct PassingGuard(Rc<Cell<u32>>);

impl PassingGuard {
    /// Counts one response.
    pub fn new(connections: &Connections) -> Self {
        connections.passing.set(connections.passing.get() + 1);
        Self(connections.passing.clone())
    }
}

impl Drop for PassingGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// The output of a connection, listed until the connection closes.
#[derive(Debug)]
pub struct OpenOutput {
    connections: Rc<Connections>,
    number: u64,
    output: Rc<Output>,
}

impl Connections {
    /// Adds a connection that was just opened.
    pub fn open(self: &Rc<Self>) -> OpenOutput {
        let number = self.next.replace(self.next.get() + 1);
        let output = Rc::new(Output::new());
        self.outputs.borrow_mut().insert(number, output.clone());
        OpenOutput { connections: self.clone(), number, output }
    }

    /// Has all connections read from now on how much of their output is unacknowledged.
    pub fn watch(&self) {
        self.enter(Stage::Watched);
    }

    /// Whether connections read how much of their output is unacknowledged.
    pub fn are_watched(&self) -> bool {
        self.stage.get() != Stage::Open
    }

    /// Has all connections close, now and later.
    pub fn close(&self) {
        self.enter(Stage::Closing);
    }

    /// Whether all connections are to close.
    pub fn are_closing(&self) -> bool {
        self.stage.get() == Stage::Closing
    }

    /// Whether no connection is open.
    pub fn is_empty(&self) -> bool {
        self.outputs.borrow().is_empty()
    }

    /// Completes once [`Self::watch`] or [`Self::close`] is called.
    pub fn stage_changed(&self) -> Notified<'_> {
        self.stage_changed.notified()
    }

    fn enter(&self, stage: Stage) {
        self.stage.set(stage);
        self.stage_changed.notify_waiters();
    }

    /// Number of responses of which the connections have not received the whole body.
    pub fn passing(&self) -> u32 {
        self.passing.get()
    }

    /// The outputs of the connections that have unfinished responses.
    pub fn unfinished(&self) -> Vec<Rc<Output>> {
        self.outputs.borrow().values().filter(|output| output.is_unfinished()).cloned().collect()
    }
}

impl OpenOutput {
    /// The output.
    pub fn output(&self) -> &Rc<Output> {
        &self.output
    }

    /// The list that it is in.
    pub fn connections(&self) -> &Connections {
        &self.connections
    }
}

impl Drop for OpenOutput {
    fn drop(&mut self) {
        self.connections.outputs.borrow_mut().remove(&self.number);
    }
}
