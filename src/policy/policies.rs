//! The checked policies of one document, and which of them match a target or a request.

use super::action::{Action, Policy};
use super::attributes::{RequestAttributes, TargetAttributes};
use super::credit::Credit;
use super::label::{Interner, LabelSet};
use super::labels::Labels;
use super::selector::Selector;
use super::set::PolicySet;

/// The checked policies of one document.
///
/// Created by [`Policies::check`], or from a stored [`PolicyDocument`](super::PolicyDocument)
/// without the check of weights. A later revision replaces it as a whole, so that the credit of
/// caps starts at 0 again.
#[derive(Debug)]
pub struct Policies {
    /// Revision of the document; rises by one with each change.
    pub revision: u64,
    interner: Interner,
    labels: Labels,
    /// Policies in name order; their indexes are the positions in a [`PolicySet`].
    pub(super) list: Vec<Policy>,
    /// Credit of each policy, by position; used only for policies with a cap.
    pub(super) credits: Vec<Credit>,
    pub(super) by_action: PoliciesByAction,
}

/// The policies of each action, and those with a cap, whatever their action.
#[derive(Debug)]
pub(super) struct PoliciesByAction {
    pub(super) drain: PolicySet,
    pub(super) deny: PolicySet,
    pub(super) allow: PolicySet,
    pub(super) prefer: PolicySet,
    pub(super) weight: PolicySet,
    pub(super) cap: PolicySet,
}

impl PoliciesByAction {
    fn new(list: &[Policy]) -> Self {
        let with = |predicate: fn(&Policy) -> bool| {
            let matching = list.iter().enumerate().filter(|(_, policy)| predicate(policy));
            matching.map(|(position, _)| position).collect()
        };
        Self {
            drain: with(|policy| policy.action == Action::Drain),
            deny: with(|policy| policy.action == Action::Deny),
            allow: with(|policy| policy.action == Action::Allow),
            prefer: with(|policy| matches!(policy.action, Action::Prefer(_))),
            weight: with(|policy| matches!(policy.action, Action::Weight(_))),
            cap: with(|policy| policy.cap.is_some()),
        }
    }
}

impl Policies {
    /// `list` is in name order; `interner` holds the labels of its selectors.
    pub(super) fn new(revision: u64, interner: Interner, labels: Labels, list: Vec<Policy>) -> Self {
        let credits = list.iter().map(|_| Credit::default()).collect();
        Self { revision, by_action: PoliciesByAction::new(&list), credits, interner, labels, list }
    }

    /// The policies whose `places` match a target.
    pub fn matching_target(&self, target: &TargetAttributes<'_>) -> PolicySet {
        let labels = self.labels.for_target(&self.interner, target);
        self.matching(&labels, |policy| &policy.places)
    }

    /// The policies whose `requests` match a request.
    pub(super) fn matching_request(&self, request: &RequestAttributes<'_>) -> PolicySet {
        let labels = self.labels.for_request(&self.interner, request);
        self.matching(&labels, |policy| &policy.requests)
    }

    fn matching(&self, labels: &LabelSet, selector: impl Fn(&Policy) -> &Selector) -> PolicySet {
        let matching = self.list.iter().enumerate().filter(|(_, policy)| selector(policy).matches(labels));
        matching.map(|(position, _)| position).collect()
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
