//! The way of a request: from the caller's connection to a target and back.

pub mod attempt;
pub mod body;
pub mod exchange;
pub mod held;
pub mod refusal;
pub mod serve;
