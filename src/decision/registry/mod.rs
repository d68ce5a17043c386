//! Targets, instances and configuration as the store describes them, and what is known about each
//! target.
//!
//! Owns the state of each target, which the other rules read. The tables of [`crate::decision`] list
//! the promise of each rule.

pub mod change;
pub mod forward_peer;
pub mod grace;
pub mod head_order;
pub mod members;
pub mod panicked_records;
pub mod routing;
pub mod signals;
pub mod target;
pub mod target_key;
pub mod targets;
