//! Who may be chosen, and in which order: the target of a request, the service of a split, the
//! instances that the directory names.
//!
//! Owns nothing beyond the shares counted of a split. The tables of [`crate::decision`] say what each rule promises.

pub mod affinity;
pub mod cap_moves;
pub mod choice;
pub mod directory;
pub mod exclusion;
pub mod instance_weight;
pub mod key_region;
pub mod outcome;
pub mod query;
pub mod region_weight;
pub mod request_size;
pub mod split;
