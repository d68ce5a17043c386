//! The operators' policies over an instance's way of sending: labels on places,
//! targets and requests, and what selectors over them allow, forbid, prefer,
//! weigh and cap. The platform says what there is; this says how it is used.

pub mod action;
mod active;
mod check;
pub mod credit;
mod document;
mod error;
mod file;
pub mod label;
mod labels;
mod names;
mod raw;
mod read_action;
pub mod selector;
mod source;

pub use active::{Active, CapCharge, Order, PolicyVerdict};
pub use document::PolicyDocument;
pub use error::{DeclarationError, Place};
pub use labels::{RequestFacts, TargetFacts};
pub use source::{Source, Sources};

use action::{Action, Policy};
use credit::Credit;
use label::Interner;
use labels::Labels;

/// The most policies of one document: a [`PolicyMask`] has one bit for each.
pub const MAX_POLICIES: usize = 128;

/// A set of the policies of one document, by their positions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PolicyMask(u128);

impl PolicyMask {
    /// Adds the policy at a position.
    pub fn insert(&mut self, position: usize) {
        self.0 |= 1 << position;
    }

    /// What is in both.
    pub fn and(self, other: Self) -> Self {
        Self(self.0 & other.0)
    }

    /// What is in either.
    pub fn or(self, other: Self) -> Self {
        Self(self.0 | other.0)
    }

    /// Whether nothing is in it.
    pub fn is_empty(self) -> bool {
        self.0 == 0
    }

    /// Whether the policy at a position is in it.
    pub fn contains(self, position: usize) -> bool {
        self.0 & (1 << position) != 0
    }

    /// The positions in it, in order.
    pub fn positions(self) -> impl Iterator<Item = usize> {
        let mut left = self.0;
        std::iter::from_fn(move || {
            let position = left.trailing_zeros() as usize;
            (left != 0).then(|| {
                left &= left - 1;
                position
            })
        })
    }
}

/// The checked policies of one document.
#[derive(Debug)]
pub struct Policies {
    /// The document's revision; later ones are higher.
    pub revision: u64,
    interner: Interner,
    labels: Labels,
    /// In name order.
    list: Vec<Policy>,
    /// Credit of each policy that has a cap.
    credits: Vec<Credit>,
    drains: PolicyMask,
    denials: PolicyMask,
    allowances: PolicyMask,
    preferences: PolicyMask,
    weights: PolicyMask,
    caps: PolicyMask,
}

impl Policies {
    fn new(revision: u64, interner: Interner, labels: Labels, list: Vec<Policy>) -> Self {
        let with = |wanted: fn(&Policy) -> bool| {
            let mut mask = PolicyMask::default();
            list.iter().enumerate().filter(|(_, policy)| wanted(policy)).for_each(|(n, _)| mask.insert(n));
            mask
        };
        Self {
            revision,
            drains: with(|policy| policy.action == Action::Drain),
            denials: with(|policy| policy.action == Action::Deny),
            allowances: with(|policy| policy.action == Action::Allow),
            preferences: with(|policy| matches!(policy.action, Action::Prefer(_))),
            weights: with(|policy| matches!(policy.action, Action::Weight(_))),
            caps: with(|policy| policy.cap.is_some()),
            credits: list.iter().map(|_| Credit::default()).collect(),
            interner,
            labels,
            list,
        }
    }

    /// The policies whose places select a target.
    pub fn selecting(&self, target: &TargetFacts<'_>) -> PolicyMask {
        let labels = self.labels.of_target(&self.interner, target);
        self.selected(|policy| policy.places.selects(&labels))
    }

    /// The policies whose requests select a request.
    fn of_request(&self, request: &RequestFacts<'_>) -> PolicyMask {
        let labels = self.labels.of_request(&self.interner, request);
        self.selected(|policy| policy.requests.selects(&labels))
    }

    fn selected(&self, selects: impl Fn(&Policy) -> bool) -> PolicyMask {
        let mut mask = PolicyMask::default();
        for (position, policy) in self.list.iter().enumerate() {
            if selects(policy) {
                mask.insert(position);
            }
        }
        mask
    }

    /// Names of the policies in a set.
    pub fn names(&self, mask: PolicyMask) -> impl Iterator<Item = &str> {
        mask.positions().map(|position| self.list[position].name.as_str())
    }

    /// All policies, in name order.
    pub fn iter(&self) -> impl Iterator<Item = &Policy> {
        self.list.iter()
    }
}
