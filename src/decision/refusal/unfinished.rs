//! When a response is finished, and how long a planned stop waits for one that is not.
//!
//! **Rule.** A response is in flight until the system of its caller has acknowledged the last byte. Until
//! then bytes of it can be taken back: those in memory or in the buffer of its connection are lost with the
//! process, and those in the socket if the connection is reset. A planned stop waits for a response until the
//! deadline of its request, and after that while bytes of it are acknowledged.
//!
//! **Inputs**
//! - Whether bytes of a response are unacknowledged, and when some were last acknowledged: 50 ms old at most.
//! - The deadline of the request; `None` for requests of peers, operators and the directory, and for some that
//!   were refused.
//!
//! **Why.** How long a caller takes to read depends on the caller and the network, so no fixed time after a
//! response was written guarantees that it arrives. A caller that has stopped reading cannot be told from one
//! that rests, but after its deadline it has no use for the response.
//!
//! **Guards** the promise that a planned stop cuts off no request. The stop itself is
//! [`crate::instance::stop`], which ends at its time in any case.
//!
//! **Test**: `tests/unfinished.rs`, `standins/tests/unfinished_answers.rs`.

use crate::clock::Instant;
use std::time::Duration;

/// Time without an acknowledged byte after which a planned stop no longer waits for a response past its
/// deadline, or without one: callers of the directory wait for a second.
const STALL_TIME: Duration = Duration::from_secs(1);

/// Whether a planned stop waits, at `now`, for a response that is not finished. `deadline` is that of its
/// request, `progressed_at` is when bytes of it were last acknowledged.
pub fn holds_stop(deadline: Option<Instant>, progressed_at: Instant, now: Instant) -> bool {
    deadline.is_some_and(|deadline| now < deadline) || now < progressed_at + STALL_TIME
}
