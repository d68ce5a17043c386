//! Refusals: when a refused caller may return, how much of responses is held for slow callers, which
//! requests a stopping instance still serves, for which responses it waits, and which statuses of targets are passed on.
//!
//! Owns nothing. The tables of [`crate::decision`] list the promise of each rule.

pub mod forwarded;
pub mod held_responses;
pub mod retry_after;
pub mod status_promise;
pub mod stop;
pub mod unfinished;
