//! What the operators and the platform describe, decoded: plain data without
//! behaviour over time. Relies on nothing else of lockloft.

pub mod config;
pub mod member;
pub mod record;
pub mod registration;
