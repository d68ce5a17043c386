//! Data model: the decoded configuration and store records, and the messages between instances. Plain
//! data, without state of the running instance. Relies on [`crate::policy`] alone, for the policy document
//! in a record.

pub mod allowances;
pub mod checked;
pub mod config;
pub mod fingerprint;
pub mod forwarded;
pub mod member;
pub mod rate_limits;
pub mod record;
pub mod registration;
pub mod strikes;
pub mod usage;
