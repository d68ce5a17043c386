//! The operators' policies: what they allow, forbid, prefer, weigh and cap for
//! selected requests and places. The platform's configuration says what there
//! is; policies say how an instance uses it.
//!
//! A policy selects requests and places (targets) by their labels and says one
//! thing of them. Conflicts resolve in this order, the strongest first:
//! 1. `drain` and `deny` take places away, whatever else is said;
//! 2. `allow` keeps only the union of the places that allow policies select;
//! 3. `cap` bounds what may be moved out of the default target's hall;
//! 4. `weight`: the weights that select a request share a scale in name order;
//! 5. `prefer`: the smallest rank that selects a place counts.
//!
//! | module | owns |
//! |---|---|
//! | `source`, `document` | the operators' files; a revision of them in the store |
//! | `raw`, `file` | what serde reads from a file; the lines that items stand on |
//! | `check`, `read_labels`, `read_policy`, `names` | from raw to checked, each fault with its remedy |
//! | `weights` | whether weights fit on their scale |
//! | `unsupported` | what a policy may say but no instance does, to refuse it |
//! | `error` | the faults |
//! | [`action`] | a checked policy and what it says |
//! | [`label`], [`selector`] | interned labels; tests on them |
//! | `facts`, `labels` | what labels are read from; the labels of a target or a request |
//! | `policies`, `set` | the policies of one document; sets of them |
//! | `matched`, `verdict` | the policies that select one request; what they say of a target |
//! | [`credit`], `cap_charge` | the cap rule; what one request has earned and paid |
//!
//! Relies on [`crate::hash`] only. The policies in force are kept by
//! [`crate::decision::registry::routing`], and what they say is joined with the other rules
//! in [`crate::decision::selection::choice`].

pub mod action;
mod cap_charge;
mod check;
pub mod credit;
mod document;
mod error;
mod facts;
mod file;
pub mod label;
mod labels;
mod matched;
mod names;
mod policies;
mod raw;
mod read_labels;
mod read_policy;
pub mod selector;
mod set;
mod share;
mod source;
mod unsupported;
mod verdict;
mod weights;

pub use cap_charge::CapCharge;
pub use document::{DocumentError, PolicyDocument};
pub use error::PolicyError;
pub use facts::{RequestFacts, TargetFacts};
pub use matched::MatchedPolicies;
pub use policies::Policies;
pub use set::PolicySet;
pub use source::{Source, Sources};
pub use verdict::{PolicyOrder, PolicyVerdict};
