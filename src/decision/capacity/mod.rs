//! How much a target is given: its load, the limits by priority, the share of targets in slow
//! start.
//!
//! Owns counts and reports of load. The tables of [`crate::decision`] say what each rule promises.

pub mod admission;
pub mod in_flight;
pub mod load;
pub mod load_report;
pub mod rate_limit;
pub mod second_target;
pub mod shared_loads;
pub mod slow_start;
