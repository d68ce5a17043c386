//! How many bytes a request takes on an instance's link, as this instance sees it.
//!
//! **Inputs**
//! - Bodies of own requests and their answers; a moving average over the last few hundred that
//!   were answered. One whose length is not told counts as far as it was read when its answer
//!   began.
//!
//! **Why.** Whether a machine's core or its link bears fewer requests depends on their size, which
//! no setting tells.
//!
//! Owns the average; lost with the process. Relies on nothing.
//!
//! **Test**: `tests/instance_weight.rs`.

use std::cell::Cell;

/// Bytes of the heads of a request and its answer, so that an empty body is not free of charge.
const HEAD_BYTES: f64 = 600.0;
/// Bytes that count before any request was answered, so that an instance that begins has a cost to
/// go by.
const FIRST_BYTES: f64 = 8_000.0;
/// Part of the average that one request replaces: large answers are rare, and the average has to
/// hold some of them.
const STEP: f64 = 1.0 / 512.0;

/// The average. Each byte passes a link once in either direction, from the caller to the target or back.
#[derive(Debug)]
pub struct RequestSize(Cell<f64>);

impl Default for RequestSize {
    fn default() -> Self {
        Self(Cell::new(FIRST_BYTES))
    }
}

impl RequestSize {
    /// Takes in a request that was answered, with the bytes of both bodies.
    pub fn observe(&self, asked: u64, answered: u64) {
        let bytes = HEAD_BYTES + asked as f64 + answered as f64;
        self.0.set(self.0.get() + STEP * (bytes - self.0.get()));
    }

    /// Bytes of a request.
    pub fn bytes(&self) -> f64 {
        self.0.get()
    }
}
