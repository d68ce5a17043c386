//! How failures change routing: retries and their budget, outlier ejection, slow targets, targets
//! that shed load or ask for a pause, requests that crash targets, instances that reach no target, and tasks that end.
//!
//! Owns the failure and latency state of targets, and the retry budgets. The tables of
//! [`crate::decision`] list the promise of each rule.

pub mod ejection;
pub mod isolation;
pub mod latency;
pub mod next_try;
pub mod pause;
pub mod quarantine;
pub mod retry;
pub mod shedding;
pub mod task_end;
