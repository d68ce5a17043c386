//! Average number of bytes that a request puts on an instance's link, as this instance observes it.
//!
//! **Inputs**
//! - Bodies of the instance's own requests and their responses; a moving average over the last few
//!   hundred that were answered. A body of unknown length counts as far as it had been read when the
//!   response began.
//!
//! **Why.** Whether the processor or the link of a machine limits its request rate depends on the size
//! of requests, which no setting states.
//!
//! Owns the average, which is lost with the process. Relies on no other rule.
//!
//! **Test**: `tests/instance_weight.rs`.

use std::cell::Cell;

/// Bytes of the headers of a request and its response, so that an empty body has a cost.
const HEADER_BYTES: f64 = 600.0;
/// Value of the average before any request was answered, so that a new instance has a cost to
/// calculate with.
const INITIAL_BYTES: f64 = 8_000.0;
/// Weight of one request in the average (no unit): large responses are rare, and the average must
/// include some of them.
const SMOOTHING_FACTOR: f64 = 1.0 / 512.0;

/// The moving average. Each byte of a body crosses the instance's link once in each direction: it is
/// received from the caller and sent to the target, or the other way round.
#[derive(Debug)]
pub struct RequestSize(Cell<f64>);

impl Default for RequestSize {
    fn default() -> Self {
        Self(Cell::new(INITIAL_BYTES))
    }
}

impl RequestSize {
    /// Adds a request that was answered, with the bytes of its body and of its response's.
    pub fn record(&self, request_bytes: u64, response_bytes: u64) {
        let bytes = HEADER_BYTES + request_bytes as f64 + response_bytes as f64;
        self.0.set(self.0.get() + SMOOTHING_FACTOR * (bytes - self.0.get()));
    }

    /// The average, in bytes per request, headers included.
    pub fn bytes(&self) -> f64 {
        self.0.get()
    }
}
