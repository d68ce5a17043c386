//! Bounds on the bytes of responses that an instance holds for callers that read slowly, and when it
//! refuses further requests with large responses.
//!
//! **Load pattern**: large responses to callers that read slowly. A target keeps the slot of a response
//! that is not read, cuts it off after some seconds, and fails once the responses that it holds exceed its
//! memory.
//!
//! **Inputs**
//! - Bytes held of the response, and of all responses and buffered request bodies of this instance: exact, no
//!   age.
//! - `limits.memory_mb` of the settings.
//! - Whether the caller waits for bytes of the response, and the most bytes of it that were held while there
//!   was room.
//!
//! **Rule.** A response is read from its target while less of it than `MAX_BYTES_PER_RESPONSE` is held, and
//! less than the total bound of all responses and buffered request bodies. Beyond that, as much is read as
//! its caller takes, so that the target is read at the caller's pace and does not cut the response off. While
//! the total bound is reached, requests with large responses are refused before they are sent. No response in
//! progress is dropped to save memory.
//!
//! Owns nothing. **Test**: `tests/held_responses.rs`, `standins/tests/slow_readers.rs`.

use std::time::Duration;

/// Maximum bytes held of one response, so that a single caller cannot use up the bound for all.
const MAX_BYTES_PER_RESPONSE: u64 = 1024 * 1024;
/// Divisor of the memory limit that gives the bound on all bytes held, buffered request bodies included. The
/// bound on request bodies is higher, so that these can still be buffered when this one is reached.
const MEMORY_LIMIT_DIVISOR: u64 = 10;
/// Maximum time for which a caller may read nothing of a complete response once its deadline has passed, so
/// that unresponsive callers do not keep memory in use indefinitely.
pub const CALLER_IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Wait of a caller that is refused because too many bytes are held, before jitter: other callers read a
/// part of them in that time.
pub const HELD_RESPONSES_WAIT: Duration = Duration::from_millis(600);

/// Bounds on the bytes held in memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeldResponseLimits {
    /// Bound for one response, bytes.
    per_response: u64,
    /// Bound for all responses and buffered request bodies, bytes.
    total: u64,
}

impl HeldResponseLimits {
    /// The bounds of an instance with a memory limit of `memory` bytes.
    pub fn for_memory(memory: u64) -> Self {
        Self { per_response: MAX_BYTES_PER_RESPONSE, total: memory / MEMORY_LIMIT_DIVISOR }
    }

    /// Whether more may be read of a response of which `own` bytes are held, with `total` bytes held in
    /// all. `max_held` is the largest number of its bytes that were held while there was room.
    pub fn may_read(&self, own: u64, total: u64, max_held: u64, caller_waits: bool) -> bool {
        let is_caller_reading = own < max_held || own == 0 && caller_waits;
        is_caller_reading || self.has_room(own, total)
    }

    /// Whether both bounds leave room for more bytes of a response of which `own` are held, with `total` in all.
    pub fn has_room(&self, own: u64, total: u64) -> bool {
        own < self.per_response && total < self.total
    }

    /// Whether the bound for one response is reached, so that only its own caller can make room.
    pub fn is_full(&self, own: u64) -> bool {
        own >= self.per_response
    }

    /// Whether a request with a large response may be sent while `total` bytes are held.
    pub fn admits_large_responses(&self, total: u64) -> bool {
        total < self.total
    }
}
