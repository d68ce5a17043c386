//! Capacity of targets: their load, the admission limits by priority, rate limits, and the rate
//! that targets in slow start get.
//!
//! Owns the counts of requests in flight and the load reports. The tables of [`crate::decision`] list
//! the promise of each rule.

pub mod admission;
pub mod in_flight;
pub mod load;
pub mod load_report;
pub mod rate_limit;
pub mod second_target;
pub mod shared_loads;
pub mod slow_start;
