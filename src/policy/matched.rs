//! The policies that match one request, and their verdict on each target.
//!
//! [`super`] lists the order in which they apply.

use super::action::{Action, UNRANKED};
use super::attributes::RequestAttributes;
use super::cap_charge::CapCharge;
use super::policies::Policies;
use super::set::PolicySet;
use super::verdict::{PolicyOrder, PolicyVerdict};
use crate::hash::unit_interval;
use std::cell::Cell;
use std::rc::Rc;

/// Seed of the hash that places an affinity key on the scale of weights. The value is
/// arbitrary, but must be the same at all instances and differ from the seeds of other
/// hashes of the key.
const WEIGHT_SEED: u64 = 0x9e37_79b9;

/// The policies that match a request.
#[derive(Debug)]
pub struct MatchedPolicies<'a> {
    policies: Rc<Policies>,
    /// The policies that match the request.
    set: PolicySet,
    /// Position of the weight policy to whose targets the request is sent; `None` if it is in
    /// no policy's share.
    weight: Option<usize>,
    /// The policies that have affected the choice so far.
    applied: Cell<PolicySet>,
    charge: &'a CapCharge,
}

impl<'a> MatchedPolicies<'a> {
    /// Finds the policies that match a request with this affinity hash; `None` if there
    /// are none. Makes the request's deposit at each of their caps, once over all its tries.
    pub fn find(
        policies: &Rc<Policies>,
        request: &RequestAttributes<'_>,
        affinity: u64,
        charge: &'a CapCharge,
    ) -> Option<Self> {
        let set = policies.matching_request(request);
        if set.is_empty() {
            return None;
        }
        let weight = pick_weight(policies, set, unit_interval(affinity, WEIGHT_SEED));
        let matched = Self { policies: policies.clone(), set, weight, applied: Cell::default(), charge };
        charge.deposit(policies, matched.caps());
        Some(matched)
    }

    /// All policies of the document, including those that do not match the request.
    pub fn policies(&self) -> &Policies {
        &self.policies
    }

    /// The verdict on a target; `matching` are the policies whose `places` match it.
    pub fn verdict(&self, matching: PolicySet) -> PolicyVerdict {
        let matching = matching.intersection(self.set);
        let by_action = &self.policies.by_action;
        let deny = matching.intersection(by_action.deny);
        if !deny.is_empty() {
            self.record_applied(deny);
            return PolicyVerdict::Denied;
        }
        let allow = self.set.intersection(by_action.allow);
        if !allow.is_empty() && matching.intersection(allow).is_empty() {
            self.record_applied(allow);
            return PolicyVerdict::NotAllowed;
        }
        let order = self.order(matching);
        let drain = matching.intersection(by_action.drain);
        if !drain.is_empty() {
            self.record_applied(drain);
            return PolicyVerdict::Drained(order);
        }
        PolicyVerdict::Permitted(order)
    }

    fn order(&self, matching: PolicySet) -> PolicyOrder {
        PolicyOrder {
            outside_weight: self.weight.is_some_and(|position| !matching.contains(position)),
            rank: self.rank(matching.intersection(self.policies.by_action.prefer)),
        }
    }

    /// Whether a cap limits moves of the request.
    pub fn has_caps(&self) -> bool {
        !self.caps().is_empty()
    }

    /// Charges all caps that match the request for a move out of the default target's hall: withdraws
    /// the move from the credit of each. If one of them has too little, returns false and withdraws
    /// nothing. [`super::credit`] describes the rule.
    pub fn charge_caps(&self) -> bool {
        match self.charge.withdraw(&self.policies, self.caps()) {
            Ok(()) => true,
            Err(exhausted) => {
                self.record_applied(PolicySet::single(exhausted));
                false
            }
        }
    }

    /// Whether the caps allow a move now. Only for decisions that send no request, with
    /// a [`CapCharge::dry_run`]; with any other charge it would withdraw the move.
    pub fn allows_move(&self) -> bool {
        self.charge.withdraw(&self.policies, self.caps()).is_ok()
    }

    /// Records the weight and the preferences that led to the chosen target; `matching` are
    /// the policies whose `places` match it.
    pub fn record_choice(&self, matching: PolicySet) {
        let matching = matching.intersection(self.set);
        let preferences = matching.intersection(self.policies.by_action.prefer);
        let best = Action::Prefer(self.rank(preferences));
        for position in preferences.positions() {
            if self.policies.list[position].action == best {
                self.record_applied(PolicySet::single(position));
            }
        }
        if let Some(position) = self.weight.filter(|position| matching.contains(*position)) {
            self.record_applied(PolicySet::single(position));
        }
    }

    /// Names of the policies that have affected the choice, in name order.
    pub fn applied(&self) -> Vec<String> {
        self.policies.names(self.applied.get()).map(str::to_owned).collect()
    }

    fn record_applied(&self, set: PolicySet) {
        self.applied.set(self.applied.get().union(set));
    }

    fn caps(&self) -> PolicySet {
        self.set.intersection(self.policies.by_action.cap)
    }

    fn rank(&self, preferences: PolicySet) -> u16 {
        let rank = |position: usize| match self.policies.list[position].action {
            Action::Prefer(rank) => rank,
            _ => UNRANKED,
        };
        preferences.positions().map(rank).min().unwrap_or(UNRANKED)
    }
}

/// Position of the weight policy whose part of the scale from 0 to 1 contains `point`; `None` if
/// no part does. The policies divide the scale in name order.
fn pick_weight(policies: &Policies, set: PolicySet, point: f64) -> Option<usize> {
    let mut start = 0.0;
    for position in set.intersection(policies.by_action.weight).positions() {
        let Action::Weight(share) = policies.list[position].action else { continue };
        if point < start + share {
            return Some(position);
        }
        start += share;
    }
    None
}
