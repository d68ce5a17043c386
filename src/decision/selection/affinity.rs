//! Affinity: requests with the same affinity key go to the same two targets for each policy
//! order, which weighted rendezvous hashing picks in proportion to slots. Targets of the
//! instance's own region count more: in the draw of the first as much as
//! [`crate::decision::selection::region_weight`] says, in that of the second four times.
//!
//! **Inputs**
//! - Hash of the request's affinity key; of the request's id where the route or the request
//!   has no key.
//! - Identity, slots and region of each target, from its registration; as old as the view.
//! - The weight of this instance's region; as old as the view.
//! - The order that the operators' policies give a target; it comes before the draw.
//!
//! **Why.** Targets keep the objects of recent requests cached: a request about a cached
//! object takes about 0.3 of the time. All instances of a region compute the same draws, so
//! they agree without a message, and when a target leaves, only its own objects move. Each
//! draw is exponential with the target's weight as its rate; the smallest wins, which gives
//! each target a part of the keys in proportion to its weight. Two targets a key: one gives
//! no second choice when it is full or fails; with more, objects evict one another from the
//! targets' caches. The second is drawn with less weight on the region, since it takes what a full target, and often a full region, has no room for.
//!
//! **Guards** the promises that requests about one object stay together, that few objects
//! move when targets come and go, and that requests stay in their region where they can.
//!
//! **Test**: `objects_move_only_from_the_target_that_left` and
//! `most_objects_live_in_the_own_region_and_all_targets_have_some` in `tests/choice.rs`;
//! `a_key_s_targets_are_those_that_a_naive_search_finds` there.

use crate::decision::registry::target::Target;
use crate::hash::unit;
use crate::policy::PolicyOrder;
use std::cmp::Ordering;
use std::rc::Rc;

/// The draw of a target for an affinity key: the smallest wins. `hash` is that of the
/// target's identity; `factor` that on the weight of its region.
pub fn draw(hash: u64, slots: u32, factor: f64, affinity: u64) -> f64 {
    let weight = f64::from(slots) * factor;
    -(1.0 - unit(hash, affinity)).ln() / weight
}

/// A target in its order for a request.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// What policies say; compared first.
    pub order: PolicyOrder,
    /// Its draw for the first place of its order.
    pub draw: f64,
    /// Its draw for the second place.
    pub second_draw: f64,
    /// The target.
    pub target: &'a Rc<Target>,
}

impl Candidate<'_> {
    /// What candidates for the first place are compared by; the smallest is preferred.
    pub fn key(&self) -> (PolicyOrder, f64) {
        (self.order, self.draw)
    }
}

/// The targets of a key among those that policies put in the same order.
#[derive(Debug)]
struct Pair<'a> {
    /// The one with the smallest draw.
    first: Candidate<'a>,
    /// Of the others the one with the smallest draw for the second place.
    second: Option<Candidate<'a>>,
}

impl<'a> Pair<'a> {
    fn add(&mut self, candidate: Candidate<'a>) {
        let other = match candidate.draw < self.first.draw {
            true => std::mem::replace(&mut self.first, candidate),
            false => candidate,
        };
        if self.second.is_none_or(|second| other.second_draw < second.second_draw) {
            self.second = Some(other);
        }
    }

    fn targets(&self) -> impl Iterator<Item = &'a Rc<Target>> {
        [Some(self.first), self.second].into_iter().flatten().map(|candidate| candidate.target)
    }
}

/// Targets that a request may go to, the preferred one first: a pair for each order.
#[derive(Debug, Default)]
pub struct Ranking<'a> {
    pairs: Vec<Pair<'a>>,
}

impl<'a> Ranking<'a> {
    /// Puts a target in its place; of two with the same draw the earlier stays before.
    pub fn add(&mut self, candidate: Candidate<'a>) {
        let order = |pair: &Pair<'_>| pair.first.order.partial_cmp(&candidate.order).unwrap_or(Ordering::Equal);
        match self.pairs.binary_search_by(order) {
            Ok(place) => self.pairs[place].add(candidate),
            Err(place) => self.pairs.insert(place, Pair { first: candidate, second: None }),
        }
    }

    /// Puts a target before all others, whatever its draw; it must be in the first order.
    pub fn put_first(&mut self, candidate: Candidate<'a>) {
        let Some(pair) = self.pairs.first_mut() else { return };
        if pair.first.target.key != candidate.target.key {
            pair.second = Some(std::mem::replace(&mut pair.first, candidate));
        }
    }

    /// Whether a target would come before all others.
    pub fn is_first(&self, candidate: &Candidate<'_>) -> bool {
        self.pairs.first().is_some_and(|pair| candidate.key() < pair.first.key())
    }

    /// The preferred target.
    pub fn preferred(&self) -> Option<&'a Rc<Target>> {
        self.targets().next()
    }

    /// The targets, the preferred one first.
    pub fn targets(&self) -> impl Iterator<Item = &'a Rc<Target>> {
        self.pairs.iter().flat_map(Pair::targets)
    }
}
