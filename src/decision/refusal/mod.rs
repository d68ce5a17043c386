//! Refusals: when a refused caller may return, how much of responses is held for slow callers, and which
//! requests a stopping instance still serves.
//!
//! Owns nothing. The tables of [`crate::decision`] list the promise of each rule.

pub mod forwarded;
pub mod held_responses;
pub mod retry_after;
pub mod stop;
