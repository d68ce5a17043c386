//! lockloft: a global traffic steering system.
//!
//! | modules | their job |
//! |---|---|
//! | [`entry`] | the instance that runs on a platform |
//! | [`policy`] | the operators' labels, selectors and policies, and the files that hold them |
//! | [`api`], [`command`] | the operators' tool and what it says to an instance |
//! | [`dial`] | outgoing connections |
pub mod api;
pub mod command;
pub mod decision;
pub mod entry;
pub mod model;
pub mod net;
pub mod operator;
pub mod policy;
pub mod proxy;
pub mod sync;
pub mod telemetry;
