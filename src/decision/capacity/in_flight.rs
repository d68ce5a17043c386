//! Guard of a request in flight: the request is counted until the guard is dropped, however it
//! ends.
//!
//! The counter is incremented before the guard is created; dropping the guard decrements it.

use std::rc::Rc;

/// A counter of requests in flight; implemented by [`crate::decision::registry::target::Target`].
pub trait InFlightCounter {
    /// Removes a request from the count; called when its guard is dropped.
    fn end_request(&self);
}

/// Guard of a request in flight that is counted at `C`.
#[derive(Debug)]
pub struct InFlight<C: InFlightCounter> {
    counter: Rc<C>,
}

impl<C: InFlightCounter> InFlight<C> {
    /// Creates the guard of a request that `counter` already includes.
    pub(in crate::decision) fn new(counter: Rc<C>) -> Self {
        Self { counter }
    }

    /// The target that counts the request as in flight.
    pub fn target(&self) -> &Rc<C> {
        &self.counter
    }
}

impl<C: InFlightCounter> Drop for InFlight<C> {
    fn drop(&mut self) {
        self.counter.end_request();
    }
}
