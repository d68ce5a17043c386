//! The answers to operators, at the peers' address.

pub mod answer;
pub mod api;
pub mod apply;
