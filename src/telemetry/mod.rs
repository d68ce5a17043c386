//! What an instance tells about itself: log lines, access records, metrics.

pub mod line;
pub mod log;
pub mod metrics;
