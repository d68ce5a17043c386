//! What the operators and the platform describe, decoded: plain data without
//! behaviour over time. Relies on [`crate::policy`] alone, for the
//! document that a record holds.

pub mod config;
pub mod fingerprint;
pub mod member;
pub mod rate_limits;
pub mod record;
pub mod registration;
pub mod strikes;
pub mod usage;
