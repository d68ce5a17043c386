//! The checked policies of one document, and which of them select a target or a
//! request.

use super::action::{Action, Policy};
use super::credit::Credit;
use super::facts::{RequestFacts, TargetFacts};
use super::label::{Interner, LabelSet};
use super::labels::Labels;
use super::selector::Selector;
use super::set::PolicySet;

/// The checked policies of one document.
///
/// Made by [`Policies::check`], and replaced as a whole by a later revision: the
/// credit of caps begins anew with each.
#[derive(Debug)]
pub struct Policies {
    /// The document's revision; later ones are higher.
    pub revision: u64,
    interner: Interner,
    labels: Labels,
    /// In name order; a position in it is a position in a [`PolicySet`].
    pub(super) list: Vec<Policy>,
    /// Credit of each policy, by position; used by those that have a cap.
    pub(super) credits: Vec<Credit>,
    pub(super) kinds: Kinds,
}

/// The policies of each kind of action, and those with a cap.
#[derive(Debug)]
pub(super) struct Kinds {
    pub(super) drains: PolicySet,
    pub(super) denials: PolicySet,
    pub(super) allowances: PolicySet,
    pub(super) preferences: PolicySet,
    pub(super) weights: PolicySet,
    pub(super) caps: PolicySet,
}

impl Kinds {
    fn new(list: &[Policy]) -> Self {
        let with = |is_wanted: fn(&Policy) -> bool| {
            let wanted = list.iter().enumerate().filter(|(_, policy)| is_wanted(policy));
            wanted.map(|(position, _)| position).collect()
        };
        Self {
            drains: with(|policy| policy.action == Action::Drain),
            denials: with(|policy| policy.action == Action::Deny),
            allowances: with(|policy| policy.action == Action::Allow),
            preferences: with(|policy| matches!(policy.action, Action::Prefer(_))),
            weights: with(|policy| matches!(policy.action, Action::Weight(_))),
            caps: with(|policy| policy.cap.is_some()),
        }
    }
}

impl Policies {
    /// Policies in name order, with the labels that their selectors test.
    pub(super) fn new(revision: u64, interner: Interner, labels: Labels, list: Vec<Policy>) -> Self {
        let credits = list.iter().map(|_| Credit::default()).collect();
        Self { revision, kinds: Kinds::new(&list), credits, interner, labels, list }
    }

    /// The policies whose `places` select a target.
    pub fn matching_target(&self, target: &TargetFacts<'_>) -> PolicySet {
        let labels = self.labels.of_target(&self.interner, target);
        self.selected(&labels, |policy| &policy.places)
    }

    /// The policies whose `requests` select a request.
    pub(super) fn matching_request(&self, request: &RequestFacts<'_>) -> PolicySet {
        let labels = self.labels.of_request(&self.interner, request);
        self.selected(&labels, |policy| &policy.requests)
    }

    fn selected(&self, labels: &LabelSet, selector: impl Fn(&Policy) -> &Selector) -> PolicySet {
        let selecting = self.list.iter().enumerate().filter(|(_, policy)| selector(policy).matches(labels));
        selecting.map(|(position, _)| position).collect()
    }

    /// Names of the policies in a set, in name order.
    pub fn names(&self, set: PolicySet) -> impl Iterator<Item = &str> {
        set.positions().map(|position| self.list[position].name.as_str())
    }

    /// All policies, in name order.
    pub fn iter(&self) -> impl Iterator<Item = &Policy> {
        self.list.iter()
    }
}
