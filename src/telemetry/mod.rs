//! What an instance reports about itself: the log, the lines of the access log, metrics.
//!
//! Owns their forms; whoever logs an event names its fields. Relies on no other folder.

pub mod access_log;
pub mod log;
pub mod metrics;
