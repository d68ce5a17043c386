//! Another instance that requests are forwarded to. **Rule**: one that cannot be reached, breaks off, or
//! declines a request is skipped for 0.5 s, and for twice as long each further time, up to 4 s, until it
//! answers.
//!
//! **Inputs**: the results of this instance's own forwarded requests; exact.
//!
//! **Why.** An instance learns from the view which others are isolated, up to two seconds late; until
//! then each request to such a one would cost a round trip.
//!
//! **Guards** the promise that a request is refused at once where no instance can serve it.
//!
//! Owns the connections to the instance and the count of requests in flight. **Test**:
//! `tests/forward_peers.rs`.

use crate::clock::Instant;
use crate::decision::capacity::in_flight::{InFlight, InFlightCounter};
use crate::net::pool::Pool;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Time for which an instance is skipped after a failure.
const FIRST_SKIP: Duration = Duration::from_millis(500);
/// Maximum of that time; the cut of an instance lasts for some seconds.
const MAX_SKIP: Duration = Duration::from_secs(4);
/// Maximum number of requests in flight to one instance: bounds its connections if it stops answering.
const MAX_IN_FLIGHT: u32 = 64;

/// An instance that requests are forwarded to.
#[derive(Debug)]
pub struct ForwardPeer {
    /// Its name.
    pub name: Rc<str>,
    /// Its hall.
    pub hall: Rc<str>,
    /// Connections to its address for peers.
    pub pool: Pool,
    in_flight: Cell<u32>,
    /// Length and end of the last skip; `None` since the last answer.
    skip: Cell<Option<(Duration, Instant)>>,
}

impl ForwardPeer {
    /// An instance to which nothing was forwarded yet.
    pub fn new(name: &str, hall: &str, address: SocketAddr) -> Self {
        let (in_flight, skip) = (Cell::new(0), Cell::new(None));
        Self { name: name.into(), hall: hall.into(), pool: Pool::new(address), in_flight, skip }
    }

    /// Counts a request as in flight until the returned guard is dropped.
    pub fn begin_request(self: &Rc<Self>) -> InFlight<Self> {
        self.in_flight.set(self.in_flight.get() + 1);
        InFlight::new(self.clone())
    }

    /// Requests in flight.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.get()
    }

    /// Whether a request may be forwarded to it now.
    pub fn is_usable(&self, now: Instant) -> bool {
        self.in_flight.get() < MAX_IN_FLIGHT && self.skip.get().is_none_or(|(_, until)| until <= now)
    }

    /// Records that it has looked at a request and did not decline it.
    pub fn record_success(&self) {
        self.skip.set(None);
    }

    /// Records that it could not be reached, broke off, or declined a request.
    pub fn record_failure(&self, now: Instant) {
        let length = match self.skip.get() {
            // Requests that were in flight together count once.
            Some((_, until)) if now < until => return,
            Some((length, _)) => (length * 2).min(MAX_SKIP),
            None => FIRST_SKIP,
        };
        self.skip.set(Some((length, now + length)));
    }
}

impl InFlightCounter for ForwardPeer {
    fn end_request(&self) {
        self.in_flight.set(self.in_flight.get() - 1);
    }
}
