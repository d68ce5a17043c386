//! Who is there: targets, instances and configuration as the store describes them, and what is
//! known of each target.
//!
//! Owns the state of each target, which the other rules look at. The tables of [`crate::decision`] say what each rule promises.

pub mod change;
pub mod grace;
pub mod members;
pub mod routing;
pub mod signals;
pub mod target;
pub mod target_key;
pub mod targets;
