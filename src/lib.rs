//! lockloft: a global traffic steering system.
//!
//! | folder | its job |
//! |---|---|
//! | [`instance`] | start, settings, what all tasks share, planned stop |
//! | [`proxy`] | the way of a request: from a caller's connection to a target and back |
//! | [`decision`] | the rules: which target a request may go to, and what bounds that |
//! | [`policy`] | the operators' labels, selectors and policies |
//! | [`sync`] | the copy of the store: watch, relay tree, peers, membership |
//! | [`operator`], [`command`] | the answers to operators, and the tool that asks |
//! | [`model`], [`platform`] | decoded configuration and records; what a platform has to give |
//! | [`net`], [`telemetry`] | connections; log and metrics |
pub mod command;
pub mod decision;
pub mod directory;
pub mod hash;
pub mod instance;
pub mod model;
pub mod net;
pub mod operator;
pub mod platform;
pub mod policy;
pub mod proxy;
pub mod settings;
pub mod state;
pub mod store;
pub mod sync;
pub mod telemetry;
