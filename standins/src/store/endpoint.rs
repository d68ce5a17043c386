//! An address of the store, with troubles of its own.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

/// How an endpoint answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Trouble {
    /// As it should.
    #[default]
    None,
    /// Not at all.
    Silent,
    /// With 503.
    Busy,
    /// With 429.
    TooMany,
    /// By closing the connection.
    Reset,
    /// Writes are done, their answers lost.
    AnswersLost,
}

/// How an endpoint answers lists of keys; a read that finds no key is answered as usual.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ListFault {
    /// As it should.
    #[default]
    None,
    /// With 503.
    Refused,
    /// By closing the connection at each page but the first.
    LaterPagesCut,
    /// With a first page without items that says that more follow.
    EmptyPage,
    /// With the first page for ever, which says that more follow.
    SamePage,
}

/// How an endpoint answers watches.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum WatchFault {
    /// As it should.
    #[default]
    None,
    /// Not at all.
    Silent,
    /// With 429.
    Refused,
    /// With 410.
    Gone,
}

#[derive(Debug, Default)]
struct Condition {
    trouble: Trouble,
    lists: ListFault,
    watches: WatchFault,
    delay: Duration,
}

/// One address of a store; clones share its troubles.
#[derive(Clone)]
pub struct Endpoint {
    /// The address.
    pub address: SocketAddr,
    condition: Arc<Mutex<Condition>>,
}

impl Endpoint {
    /// An endpoint without trouble.
    pub(super) fn new(address: SocketAddr) -> Self {
        Self { address, condition: Arc::default() }
    }

    /// Changes how it answers.
    pub fn set(&self, trouble: Trouble) {
        self.lock().trouble = trouble;
    }

    /// Changes how it answers lists of keys.
    pub fn set_lists(&self, fault: ListFault) {
        self.lock().lists = fault;
    }

    /// Changes how it answers watches, those that wait included.
    pub fn set_watches(&self, fault: WatchFault) {
        self.lock().watches = fault;
    }

    /// Changes how long it waits before each answer.
    pub fn slow(&self, delay: Duration) {
        self.lock().delay = delay;
    }

    /// How it answers now.
    pub(super) fn trouble(&self) -> Trouble {
        self.lock().trouble
    }

    /// How it answers lists of keys now.
    pub(super) fn list_fault(&self) -> ListFault {
        self.lock().lists
    }

    /// How it answers watches now.
    pub(super) fn watch_fault(&self) -> WatchFault {
        self.lock().watches
    }

    /// How long it waits before an answer now.
    pub(super) fn delay(&self) -> Duration {
        self.lock().delay
    }

    fn lock(&self) -> MutexGuard<'_, Condition> {
        self.condition.lock().expect("no holder panics")
    }
}
