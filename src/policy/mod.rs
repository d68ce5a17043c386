//! The operators' policies. They allow, deny, drain, prefer and weight targets for the requests
//! that they match, and cap how many requests are moved. The platform's configuration defines the
//! services and routes, and targets exist by their registrations in the store; policies define how
//! instances use them.
//!
//! A policy matches requests and targets (its `places`) by their labels. It has one action, or only
//! a cap; a `weight` may also have a cap.
//! If several policies match the same request, their actions take precedence in this order:
//! 1. `drain` and `deny` exclude targets, whatever other policies allow;
//! 2. `allow` excludes all targets that no allow policy matches;
//! 3. `cap` limits how many requests are moved out of the default target's hall;
//! 4. `weight`: the weight policies that match a request divide a scale from 0 to 1 in name
//!    order, and the hash of its affinity key selects one of them or none;
//! 5. `prefer`: the smallest rank of the policies that match a target is its rank.
//!
//! | module | contents |
//! |---|---|
//! | `source`, `document` | the operators' files; a revision of them in the store |
//! | `raw`, `file` | the fields that serde parses from a file; line numbers of its items |
//! | `check`, `read_labels`, `read_policy`, `names`, `share` | the check of parsed files, each error with its remedy |
//! | `weights` | the check that weights that may match the same request sum to 1 at most |
//! | `unsupported` | actions that a file may contain but no instance supports, and their rejection |
//! | `error` | the errors |
//! | [`action`] | a checked policy and its action |
//! | [`label`], [`selector`] | interned labels; tests on them |
//! | `attributes`, `labels` | the attributes that labels are read from; the labels of a target or request |
//! | `policies`, `set` | the policies of one document; sets of them |
//! | `matched`, `verdict` | the policies that match one request; their verdict on a target |
//! | [`credit`], `cap_charge` | the rule of caps; the deposits and withdrawals of one request |
//!
//! Depends on [`crate::hash`] only. [`crate::decision::registry::routing`] holds the policies
//! in force; [`crate::decision::selection::choice`] combines their verdicts with the other
//! rules.

pub mod action;
mod attributes;
mod cap_charge;
mod check;
pub mod credit;
mod document;
mod error;
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

pub use attributes::{RequestAttributes, TargetAttributes};
pub use cap_charge::CapCharge;
pub use document::{DocumentError, PolicyDocument};
pub use error::PolicyError;
pub use matched::MatchedPolicies;
pub use policies::Policies;
pub use set::PolicySet;
pub use source::{Source, Sources};
pub use verdict::{PolicyOrder, PolicyVerdict};
