//! Which targets may be chosen for a request and in which order, which service of a split, and which
//! instances the directory names.
//!
//! Owns only the request counts of split routes. The tables of [`crate::decision`] list the promise of
//! each rule.

pub mod affinity;
pub mod cap_moves;
pub mod choice;
pub mod directory;
pub mod exclusion;
pub mod forward_peers;
pub mod instance_weight;
pub mod key_region;
pub mod outcome;
pub mod query;
pub mod region_weight;
pub mod request_size;
pub mod split;
