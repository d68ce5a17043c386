//! Which statuses of a target's response are passed on. **Rule**: 408, 421, 429 and 503 promise a caller that its
//! request has not run and never will. A target's response with one of them is passed on only if the request may run
//! again anyway. For any other request the caller is told that it may have run (502), unless the target says that it
//! has not (`TryOutcome::NotExecuted` in [`crate::decision::failure::next_try`]).
//!
//! **Inputs**: the status, and the [`Idempotency`] of the route with which the request began; exact.
//!
//! **Why.** A target that fails a request which it has begun may answer with any status. A caller cannot tell whose
//! promise it is, and sends a request that may run once again on the strength of it. The status cannot be changed
//! beside the target's signature, so the whole response is replaced.
//!
//! **Guards** the promise that a request which was said not to have run has not run, however the response comes:
//! from a target, or through another instance, whatever the version of that one.
//!
//! **Test**: `tests/status_promise.rs`, `standins/tests/promised_statuses.rs`, `standins/tests/forwarded_answers.rs`.

use crate::model::config::Idempotency;

/// Statuses by which a caller is told that its request has not run and never will.
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];

/// Whether a target's response with this status is passed on to the caller.
pub fn is_passed_on(status: u16, idempotency: Idempotency) -> bool {
    idempotency == Idempotency::Idempotent || !NOT_RUN_STATUSES.contains(&status)
}
