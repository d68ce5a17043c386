//! A request in flight: counted until the guard is dropped, however the request ends.
//!
//! Owns its place in the count. Relies on what it is counted at to take it back.

use std::rc::Rc;

/// Counts requests in flight.
pub trait Counter {
    /// Counts out a request whose guard is dropped.
    fn count_out(&self);
}

/// A request in flight, counted at `C`.
#[derive(Debug)]
pub struct InFlight<C: Counter> {
    counter: Rc<C>,
}

impl<C: Counter> InFlight<C> {
    /// The guard of a request that is counted in.
    pub(in crate::decision) fn new(counter: Rc<C>) -> Self {
        Self { counter }
    }

    /// Where it is counted.
    pub fn target(&self) -> &Rc<C> {
        &self.counter
    }
}

impl<C: Counter> Drop for InFlight<C> {
    fn drop(&mut self) {
        self.counter.count_out();
    }
}
