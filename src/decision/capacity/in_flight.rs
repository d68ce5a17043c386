//! Guard of a request in flight: the request is counted until the guard is dropped, however it
//! ends.
//!
//! The counter is incremented before the guard is created; dropping the guard decrements it.

use std::rc::Rc;

/// Counts requests in flight; implemented by what requests are sent to.
pub trait Counter {
    /// Removes a request from the count; called when its guard is dropped.
    fn count_out(&self);
}

/// Guard of a request in flight that is counted at `C`.
#[derive(Debug)]
pub struct InFlight<C: Counter> {
    counter: Rc<C>,
}

impl<C: Counter> InFlight<C> {
    /// Creates the guard of a request that `counter` already includes.
    pub(in crate::decision) fn new(counter: Rc<C>) -> Self {
        Self { counter }
    }

    /// The target that counts the request.
    pub fn target(&self) -> &Rc<C> {
        &self.counter
    }
}

impl<C: Counter> Drop for InFlight<C> {
    fn drop(&mut self) {
        self.counter.count_out();
    }
}
