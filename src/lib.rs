//! lockloft: a global traffic steering system.
//!
//! | folder | its job |
//! |---|---|
//! | [`instance`] | start, listeners, planned stop |
//! | [`proxy`] | the way of a request: from a caller's connection to a target and back |
//! | [`directory`] | readiness, and which instances callers are to use |
//! | [`operator`], [`command`] | the answers to operators, and the tool that asks |
//! | [`sync`] | what keeps the copy of the store current: watch, relay tree, peers, registration |
//! | [`state`] | what all tasks share, by owner |
//! | [`decision`] | the rules: which target a request may go to, and what bounds that |
//! | [`policy`] | the operators' labels, selectors and policies |
//! | [`store`], [`settings`] | the store as lockloft sees it; the settings file, checked |
//! | [`net`], [`telemetry`] | connections; log and metrics |
//! | [`clock`], [`task`] | the clock of all ages, leases and deadlines; named tasks and their ends |
//! | [`model`], [`platform`], [`hash`] | decoded configuration and records; what a platform has to give; hashes that all instances compute alike |
//!
//! `docs/ARCHITECTURE.md` shows who relies on whom. `platform/` (a crate) holds the
//! program `lockloft-entry`, `src/bin/` the tool `lockloft`.
#![deny(missing_docs)]

pub mod clock;
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
pub mod task;
pub mod telemetry;
