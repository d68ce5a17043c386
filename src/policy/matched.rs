//! The policies that select one request, and what they say of each target.
//!
//! [`super`] has the order in which they are applied.

use super::action::{Action, UNRANKED};
use super::cap_charge::CapCharge;
use super::facts::RequestFacts;
use super::policies::Policies;
use super::set::PolicySet;
use super::verdict::{PolicyOrder, PolicyVerdict};
use crate::hash::unit;
use std::cell::Cell;
use std::rc::Rc;

/// Seed of the hash that places an affinity key on the scale of weights. Any fixed
/// number will do: it has to be the same at every instance and another than those
/// of other hashes of the key.
const WEIGHT_SEED: u64 = 0x9e37_79b9;

/// The policies that select a request.
#[derive(Debug)]
pub struct MatchedPolicies<'a> {
    policies: Rc<Policies>,
    set: PolicySet,
    /// The weight policy whose places the request goes to, where one has it.
    weight: Option<usize>,
    /// The policies that had a part in the choice so far.
    applied: Cell<PolicySet>,
    charge: &'a CapCharge,
}

impl<'a> MatchedPolicies<'a> {
    /// Finds the policies that select a request with this affinity hash; `None` where
    /// none does. Their caps earn for the request, once over all its tries.
    pub fn find(
        policies: &Rc<Policies>,
        request: &RequestFacts<'_>,
        affinity: u64,
        charge: &'a CapCharge,
    ) -> Option<Self> {
        let set = policies.matching_request(request);
        if set.is_empty() {
            return None;
        }
        let weight = pick_weight(policies, set, unit(affinity, WEIGHT_SEED));
        let matched = Self { policies: policies.clone(), set, weight, applied: Cell::default(), charge };
        charge.deposit(policies, matched.caps());
        Some(matched)
    }

    /// The document that they belong to.
    pub fn policies(&self) -> &Policies {
        &self.policies
    }

    /// What the policies say of a target, which those in `selecting` select.
    pub fn verdict(&self, selecting: PolicySet) -> PolicyVerdict {
        let selecting = selecting.intersection(self.set);
        let kinds = &self.policies.kinds;
        let denials = selecting.intersection(kinds.denials);
        if !denials.is_empty() {
            self.note(denials);
            return PolicyVerdict::Denied;
        }
        let allowances = self.set.intersection(kinds.allowances);
        if !allowances.is_empty() && selecting.intersection(allowances).is_empty() {
            self.note(allowances);
            return PolicyVerdict::NotAllowed;
        }
        let order = self.order(selecting);
        let drains = selecting.intersection(kinds.drains);
        if !drains.is_empty() {
            self.note(drains);
            return PolicyVerdict::Drained(order);
        }
        PolicyVerdict::Permitted(order)
    }

    fn order(&self, selecting: PolicySet) -> PolicyOrder {
        PolicyOrder {
            outside_weight: self.weight.is_some_and(|position| !selecting.contains(position)),
            rank: self.rank(selecting.intersection(self.policies.kinds.preferences)),
        }
    }

    /// Whether a cap bounds what may be moved.
    pub fn has_caps(&self) -> bool {
        !self.caps().is_empty()
    }

    /// Pays for a move out of the default target's hall; false where a cap leaves
    /// no credit for it. [`super::credit`] has the rule.
    pub fn charge_caps(&self) -> bool {
        match self.charge.withdraw(&self.policies, self.caps()) {
            Ok(()) => true,
            Err(exhausted) => {
                self.note(PolicySet::single(exhausted));
                false
            }
        }
    }

    /// Whether caps allow a move now; for a decision that sends nothing, whose charge is
    /// [`CapCharge::dry_run`].
    pub fn allows_move(&self) -> bool {
        self.charge.withdraw(&self.policies, self.caps()).is_ok()
    }

    /// Notes the weight and the preferences that led to a target, which the policies
    /// in `selecting` select.
    pub fn record_choice(&self, selecting: PolicySet) {
        let selecting = selecting.intersection(self.set);
        let preferences = selecting.intersection(self.policies.kinds.preferences);
        let best = Action::Prefer(self.rank(preferences));
        for position in preferences.positions() {
            if self.policies.list[position].action == best {
                self.note(PolicySet::single(position));
            }
        }
        if let Some(position) = self.weight.filter(|position| selecting.contains(*position)) {
            self.note(PolicySet::single(position));
        }
    }

    /// Names of the policies that had a part in the choice, in name order.
    pub fn applied(&self) -> Vec<String> {
        self.policies.names(self.applied.get()).map(str::to_owned).collect()
    }

    fn note(&self, set: PolicySet) {
        self.applied.set(self.applied.get().union(set));
    }

    fn caps(&self) -> PolicySet {
        self.set.intersection(self.policies.kinds.caps)
    }

    fn rank(&self, preferences: PolicySet) -> u16 {
        let rank = |position: usize| match self.policies.list[position].action {
            Action::Prefer(rank) => rank,
            _ => UNRANKED,
        };
        preferences.positions().map(rank).min().unwrap_or(UNRANKED)
    }
}

/// The weight whose part of the scale from 0 to 1 the point falls in; weights
/// share the scale in name order.
fn pick_weight(policies: &Policies, set: PolicySet, point: f64) -> Option<usize> {
    let mut start = 0.0;
    for position in set.intersection(policies.kinds.weights).positions() {
        let Action::Weight(share) = policies.list[position].action else { continue };
        if point < start + share {
            return Some(position);
        }
        start += share;
    }
    None
}
