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

#[derive(Debug, Default)]
struct Condition {
    trouble: Trouble,
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

    /// Changes how long it waits before each answer.
    pub fn slow(&self, delay: Duration) {
        self.lock().delay = delay;
    }

    /// How it answers now.
    pub(super) fn trouble(&self) -> Trouble {
        self.lock().trouble
    }

    /// How long it waits before an answer now.
    pub(super) fn delay(&self) -> Duration {
        self.lock().delay
    }

    fn lock(&self) -> MutexGuard<'_, Condition> {
        self.condition.lock().expect("no holder panics")
    }
}
