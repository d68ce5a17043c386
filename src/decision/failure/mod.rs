//! What a failure changes: further tries and their budget, ejection, slow targets, targets that
//! shed load or ask for rest, requests that end targets.
//!
//! Owns failures and latencies of targets, and the retry budgets. The tables of [`crate::decision`] say what each rule promises.

pub mod ejection;
pub mod latency;
pub mod next_try;
pub mod pause;
pub mod quarantine;
pub mod retry;
pub mod shedding;
