//! The requests of callers that an instance is processing.
//!
//! Owns their number, the arrival time of the last one and the bytes of bodies and responses held in
//! memory. The proxy updates them; the planned stop and the metrics read them. Relies on [`BufferTotal`].

use crate::clock::Instant;
use crate::net::buffered_bytes::BufferTotal;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

/// Number of requests in flight and the bytes buffered for them.
#[derive(Debug)]
pub struct Requests {
    in_flight: Rc<Cell<u32>>,
    read_ahead: Cell<i64>,
    last_arrival: Cell<Instant>,
    buffered_bytes: Rc<BufferTotal>,
}

/// Counts a request as in flight until it is dropped.
#[derive(Debug)]
pub struct InFlightGuard(Rc<Cell<u32>>);

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl Requests {
    /// Starts without requests; `now` counts as the arrival of the last one.
    pub fn new(now: Instant) -> Self {
        Self {
            in_flight: Rc::default(),
            read_ahead: Cell::new(0),
            last_arrival: Cell::new(now),
            buffered_bytes: Rc::default(),
        }
    }

    /// Counts a request that begins.
    pub fn begin(&self) {
        self.in_flight.set(self.in_flight.get() + 1);
    }

    /// Counts a request that has ended.
    pub fn end(&self) {
        self.in_flight.set(self.in_flight.get() - 1);
    }

    /// Counts a request as in flight until the returned guard is dropped, so that it also counts while
    /// its response is sent to the caller.
    pub fn track(&self) -> InFlightGuard {
        self.begin();
        InFlightGuard(self.in_flight.clone())
    }

    /// Adds `change` to the number of pipelined requests that were read before their turn on their
    /// connection. Such a request counts until its turn has come and, if it began before its turn, until
    /// its response is ready too. It may thus be waiting, running or done.
    pub fn count_read_ahead(&self, change: i64) {
        self.read_ahead.set(self.read_ahead.get() + change);
    }

    /// Number of pipelined requests that were read before their turn and still count, see
    /// [`Self::count_read_ahead`].
    pub fn read_ahead_count(&self) -> u64 {
        u64::try_from(self.read_ahead.get()).unwrap_or(0)
    }

    /// Whether no request is in flight, and none counts as read ahead.
    pub fn are_finished(&self) -> bool {
        self.in_flight.get() == 0 && self.read_ahead.get() == 0
    }

    /// Number of requests in flight.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.get()
    }

    /// Records the arrival of a request.
    pub fn record_arrival(&self, now: Instant) {
        self.last_arrival.set(now);
    }

    /// Time since the last request arrived.
    pub fn idle_time(&self) -> Duration {
        self.last_arrival.get().elapsed()
    }

    /// Bytes of request bodies and responses held in memory.
    pub fn buffered_bytes(&self) -> u64 {
        self.buffered_bytes.get()
    }

    /// The counter of these bytes, for guards that add what they hold and subtract it when they are
    /// dropped.
    pub fn buffer_total(&self) -> &Rc<BufferTotal> {
        &self.buffered_bytes
    }
}
