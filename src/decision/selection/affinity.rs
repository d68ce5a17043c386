//! Affinity: requests with the same affinity key go to the same two targets of each policy
//! order, chosen by weighted rendezvous hashing in proportion to slots. Targets in the
//! instance's own region weigh more: for the first target by the factor that
//! [`crate::decision::selection::region_weight`] computes, for the second by a factor of four.
//!
//! **Inputs**
//! - Hash of the request's affinity key, or of the request's id where the route or the request
//!   has no key.
//! - Identity, slots and region of each target, from its registration; as old as the view.
//! - The weight of this instance's region; as old as the view.
//! - The order that the operators' policies give a target; it takes precedence over the score.
//!
//! **Why.** Targets cache the objects of recent requests: a request for a cached object takes
//! about 0.3 of the time. All instances of a region compute the same scores, so they agree
//! without exchanging messages, and when a target leaves, only its own keys move. Each score
//! is an exponential variate with the target's weight as its rate; the lowest wins, which gives
//! each target a share of the keys in proportion to its weight. Each key has two targets: with
//! one there is no alternative when it is full or fails; with more, objects evict one another
//! from the targets' caches. The second target is chosen with less weight on the region, since
//! it takes the requests that a full target, often in a full region, has no room for.
//!
//! **Guards** the promises that requests with the same key stay together, that few keys move
//! when targets come and go, and that requests stay in their region where they can.
//!
//! **Test**: `keys_move_only_from_the_target_that_left`,
//! `most_keys_are_served_in_the_own_region_and_every_target_serves_some` and
//! `the_targets_of_a_key_match_a_naive_search` in `tests/choice.rs`.

use crate::decision::registry::target::Target;
use crate::hash::unit_interval;
use crate::policy::PolicyOrder;
use std::cmp::Ordering;
use std::rc::Rc;

/// An exponential variate of rate 1 for a target and an affinity key, the same at all instances. `hash`
/// is that of the target's identity, `affinity` that of the key.
pub fn exponential_variate(hash: u64, affinity: u64) -> f64 {
    -(1.0 - unit_interval(hash, affinity)).ln()
}

/// The score of a target for a key in weighted rendezvous hashing; the lowest wins. `variate` is that of
/// the target and the key, `region_weight` the factor for the target's region.
pub fn weighted_score(variate: f64, slots: u32, region_weight: f64) -> f64 {
    variate / (f64::from(slots) * region_weight)
}

/// A target with what it is ranked by for one request.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// The order given by policies; compared first.
    pub order: PolicyOrder,
    /// Its score for the first place of its order.
    pub score: f64,
    /// Its score for the second place.
    pub second_score: f64,
    /// The target that is ranked.
    pub target: &'a Rc<Target>,
}

impl Candidate<'_> {
    /// The sort key of candidates for the first place; the smallest is preferred.
    pub fn sort_key(&self) -> (PolicyOrder, f64) {
        (self.order, self.score)
    }
}

/// The two targets of a key among those of one policy order.
#[derive(Debug)]
struct Pair<'a> {
    /// The target with the lowest score.
    first: Candidate<'a>,
    /// The one with the lowest score for the second place among the others.
    second: Option<Candidate<'a>>,
}

impl<'a> Pair<'a> {
    fn add(&mut self, candidate: Candidate<'a>) {
        let other = match candidate.score < self.first.score {
            true => std::mem::replace(&mut self.first, candidate),
            false => candidate,
        };
        if self.second.is_none_or(|second| other.second_score < second.second_score) {
            self.second = Some(other);
        }
    }

    fn would_place(&self, candidate: &Candidate<'_>) -> bool {
        candidate.score < self.first.score
            || self.second.is_none_or(|second| candidate.second_score < second.second_score)
    }

    fn targets(&self) -> impl Iterator<Item = &'a Rc<Target>> {
        [Some(self.first), self.second].into_iter().flatten().map(|candidate| candidate.target)
    }
}

/// The targets that a request may use, in order of preference: one pair for each policy order.
#[derive(Debug, Default)]
pub struct Ranking<'a> {
    pairs: Vec<Pair<'a>>,
}

impl<'a> Ranking<'a> {
    /// Adds a target at its rank; of two with equal scores the one added earlier ranks higher.
    pub fn add(&mut self, candidate: Candidate<'a>) {
        let order = |pair: &Pair<'_>| pair.first.order.partial_cmp(&candidate.order).unwrap_or(Ordering::Equal);
        match self.pairs.binary_search_by(order) {
            Ok(index) => self.pairs[index].add(candidate),
            Err(index) => self.pairs.insert(index, Pair { first: candidate, second: None }),
        }
    }

    /// Ranks a target above all others, whatever its score; it must be of the first order. The
    /// target that was first becomes the second.
    pub fn put_first(&mut self, candidate: Candidate<'a>) {
        let Some(pair) = self.pairs.first_mut() else { return };
        if pair.first.target.key != candidate.target.key {
            pair.second = Some(std::mem::replace(&mut pair.first, candidate));
        }
    }

    /// Whether a candidate of the first order would take a place in the ranking if it were added. The
    /// ranking must contain no other order.
    pub fn would_place(&self, candidate: &Candidate<'_>) -> bool {
        self.pairs.first().is_none_or(|pair| pair.would_place(candidate))
    }

    /// Whether a candidate that is not in the ranking would rank above all that are; false where
    /// the ranking is empty.
    pub fn is_first(&self, candidate: &Candidate<'_>) -> bool {
        self.pairs.first().is_some_and(|pair| candidate.sort_key() < pair.first.sort_key())
    }

    /// The preferred target; `None` where the ranking is empty.
    pub fn preferred(&self) -> Option<&'a Rc<Target>> {
        self.targets().next()
    }

    /// The targets, in order of preference.
    pub fn targets(&self) -> impl Iterator<Item = &'a Rc<Target>> {
        self.pairs.iter().flat_map(Pair::targets)
    }
}
