//! The policies that select one request, and what they say of each target.

use super::{Policies, PolicyMask, RequestFacts};
use crate::hash::unit;
use crate::policy::action::{Action, UNRANKED};
use std::cell::Cell;
use std::rc::Rc;

/// Seed of the hash that places an object on the scale of weights.
const WEIGHT_SEED: u64 = 0x9e37_79b9;

/// What has happened to a request so far, over all its tries.
#[derive(Debug, Default)]
pub struct CapCharge {
    /// Whether its caps have been earned for.
    earned: Cell<bool>,
    /// Whether it has been paid for as moved.
    paid: Cell<bool>,
}

impl CapCharge {
    /// A charge that neither earns nor pays, for a decision that sends nothing.
    pub fn dry() -> Self {
        Self { earned: Cell::new(true), paid: Cell::new(true) }
    }
}

/// What policies say of a target for one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PolicyVerdict {
    /// It may be used. The smaller order goes first.
    Open(Order),
    /// A denial selects it.
    Denied,
    /// Allowances select the request, and none of them the target.
    NotAllowed,
    /// A drain selects it: it would serve but for that.
    Drained(Order),
}

/// The order that policies give targets; fields are compared from the first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Order {
    /// Whether a weight sends the request elsewhere.
    pub unwanted: bool,
    /// The best rank of the preferences that select it.
    pub rank: u16,
}

impl Default for Order {
    fn default() -> Self {
        Self { unwanted: false, rank: UNRANKED }
    }
}

/// The policies that select a request.
#[derive(Debug)]
pub struct Active<'a> {
    policies: Rc<Policies>,
    mask: PolicyMask,
    weight: Option<usize>,
    applied: Cell<PolicyMask>,
    charge: &'a CapCharge,
}

impl<'a> Active<'a> {
    /// Finds the policies that select a request about `object`; `None` where
    /// none does. Earns for its caps once a request.
    pub fn find(
        policies: &Rc<Policies>,
        request: &RequestFacts<'_>,
        object: u64,
        charge: &'a CapCharge,
    ) -> Option<Self> {
        let mask = policies.of_request(request);
        if mask.is_empty() {
            return None;
        }
        let weight = weight_of(policies, mask, unit(object, WEIGHT_SEED));
        let active = Self { policies: policies.clone(), mask, weight, applied: Cell::default(), charge };
        if !charge.earned.replace(true) {
            active.earn();
        }
        Some(active)
    }

    /// The document that they belong to.
    pub fn document(&self) -> &Policies {
        &self.policies
    }

    /// What the policies say of a target, which those in `selecting` select.
    pub fn verdict(&self, selecting: PolicyMask) -> PolicyVerdict {
        let selecting = selecting.and(self.mask);
        let policies = &self.policies;
        let denials = selecting.and(policies.denials);
        if !denials.is_empty() {
            self.note(denials);
            return PolicyVerdict::Denied;
        }
        let allowances = self.mask.and(policies.allowances);
        if !allowances.is_empty() && selecting.and(allowances).is_empty() {
            self.note(allowances);
            return PolicyVerdict::NotAllowed;
        }
        let order = Order {
            unwanted: self.weight.is_some_and(|position| !selecting.contains(position)),
            rank: self.rank(selecting.and(policies.preferences)),
        };
        let drains = selecting.and(policies.drains);
        if !drains.is_empty() {
            self.note(drains);
            return PolicyVerdict::Drained(order);
        }
        PolicyVerdict::Open(order)
    }

    /// Whether a cap bounds what may be moved.
    pub fn has_caps(&self) -> bool {
        !self.caps().is_empty()
    }

    /// Pays for a move out of the hall that place alone gives; false where a
    /// cap leaves no credit for it.
    pub fn charge_caps(&self) -> bool {
        if self.charge.paid.get() {
            return true;
        }
        let mut spent = PolicyMask::default();
        for position in self.caps().positions() {
            if !self.policies.credits[position].spend() {
                spent.positions().for_each(|other| self.policies.credits[other].refund());
                self.applied.set(self.applied.get().or(only(position)));
                return false;
            }
            spent.insert(position);
        }
        self.charge.paid.set(true);
        true
    }

    /// Notes the weight and the preferences that led to a target, which the policies
    /// in `selecting` select.
    pub fn note_choice(&self, selecting: PolicyMask) {
        let selecting = selecting.and(self.mask);
        let rank = self.rank(selecting.and(self.policies.preferences));
        for position in selecting.and(self.policies.preferences).positions() {
            if self.policies.list[position].action == Action::Prefer(rank) {
                self.note(only(position));
            }
        }
        if let Some(position) = self.weight.filter(|position| selecting.contains(*position)) {
            self.note(only(position));
        }
    }

    /// Names of the policies that had a part in the choice, in name order.
    pub fn applied(&self) -> Vec<String> {
        self.policies.names(self.applied.get()).map(str::to_owned).collect()
    }

    fn note(&self, mask: PolicyMask) {
        self.applied.set(self.applied.get().or(mask));
    }

    fn caps(&self) -> PolicyMask {
        self.mask.and(self.policies.caps)
    }

    fn earn(&self) {
        for position in self.caps().positions() {
            let cap = self.policies.list[position].cap.unwrap_or(1.0);
            self.policies.credits[position].earn(cap);
        }
    }

    fn rank(&self, preferences: PolicyMask) -> u16 {
        let rank = |position: usize| match self.policies.list[position].action {
            Action::Prefer(rank) => rank,
            _ => UNRANKED,
        };
        preferences.positions().map(rank).min().unwrap_or(UNRANKED)
    }
}

fn only(position: usize) -> PolicyMask {
    let mut mask = PolicyMask::default();
    mask.insert(position);
    mask
}

/// The weight whose part of the scale from 0 to 1 the point falls in; weights
/// share the scale in name order.
fn weight_of(policies: &Policies, mask: PolicyMask, point: f64) -> Option<usize> {
    let mut start = 0.0;
    for position in mask.and(policies.weights).positions() {
        let Action::Weight(weight) = policies.list[position].action else { continue };
        if point < start + weight.share {
            return Some(position);
        }
        start += weight.share;
    }
    None
}
