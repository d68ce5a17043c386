//! Region of a key whose target is replaced: a key whose target leaves and whose next one, of
//! the same region, is still in slow start goes first to another target of that region, as
//! far as those that are out of slow start can stand in for those that are not.
//!
//! **Inputs**
//! - Slots of the region's targets that may be used, and of those that only slow start
//!   excludes, both for this request now; from registrations, as old as the view, and from
//!   this instance's own ejections and latencies.
//! - Hash of the affinity key; the order and the draw of each target, also of those that are
//!   draining or in slow start.
//!
//! **Why.** Where targets are replaced faster than slow start ends, a region of few targets
//! has most of them in slow start at the same time. By rendezvous over the others, the keys of
//! those that leave would go to other regions within a second or two, and return together. No
//! target has them cached, so that they may as well wait for the next one nearby. The part
//! that stays falls with the slots that are out of slow start, so that these do not get the
//! keys of all. All instances compute the same part and the same keys, so that they agree
//! without a message.
//!
//! Other keys that a target in slow start takes over stay where they are cached until it
//! ends. Where targets are lost, ejected or evacuated, or leave without a successor, keys move
//! at once, also to other regions. A target that has no room gives way to the key's second
//! one, as ever.
//!
//! **Guards** the promise that few requests change their region from one moment to the next
//! while targets are replaced.
//!
//! **Test**: `tests/region_moves.rs`.

use crate::decision::selection::affinity::{Candidate, Ranking};
use crate::hash::unit;

/// How many slots in all, in and out of slow start, one slot out of it stands in for (factor):
/// while half of a region's slots are out of slow start, all such keys stay.
const STAND_IN: f64 = 2.0;
/// Seed of the hash that says which keys stay, so that it is independent of other hashes. Any
/// fixed number, the same in all instances.
const REGION_SEED: u64 = 0x27d4_eb2f;

/// The target that a key has, if it leaves, and the one that it will have, if that is still
/// in slow start.
#[derive(Debug, Default)]
pub struct Replacement<'a> {
    leaving: Option<Candidate<'a>>,
    in_slow_start: Option<Candidate<'a>>,
}

impl<'a> Replacement<'a> {
    /// Considers a target that is draining; the best one stays.
    pub fn add_leaving(&mut self, candidate: Candidate<'a>) {
        keep_best(&mut self.leaving, candidate);
    }

    /// Considers a target that only slow start excludes; the best one stays.
    pub fn add_in_slow_start(&mut self, candidate: Candidate<'a>) {
        keep_best(&mut self.in_slow_start, candidate);
    }

    /// The region that both targets are in, where both come before all that may be used.
    pub fn region_before(self, usable: &Ranking<'a>) -> Option<KeyRegion<'a>> {
        let leaving = self.leaving.filter(|candidate| usable.is_first(candidate))?;
        let next = self.in_slow_start.filter(|candidate| usable.is_first(candidate))?;
        (leaving.target.region == next.target.region).then(|| KeyRegion::new(next))
    }
}

fn keep_best<'a>(best: &mut Option<Candidate<'a>>, candidate: Candidate<'a>) {
    if best.is_none_or(|best| candidate.key() < best.key()) {
        *best = Some(candidate);
    }
}

/// The targets of the region in which a key's target is replaced.
#[derive(Debug)]
pub struct KeyRegion<'a> {
    /// The key's next target, which is in slow start.
    next: Candidate<'a>,
    /// Slots of the region's targets that may be used.
    usable: u32,
    /// Slots of the region's targets that only slow start excludes.
    in_slow_start: u32,
    /// The best of those that may be used in the next one's order.
    best: Option<Candidate<'a>>,
}

impl<'a> KeyRegion<'a> {
    fn new(next: Candidate<'a>) -> Self {
        Self { next, usable: 0, in_slow_start: 0, best: None }
    }

    /// Considers a target that may be used.
    pub fn add_usable(&mut self, candidate: Candidate<'a>) {
        if !self.has(&candidate) {
            return;
        }
        self.usable = self.usable.saturating_add(candidate.target.slots);
        let is_better = self.best.is_none_or(|best| candidate.draw < best.draw);
        if is_better && candidate.order == self.next.order {
            self.best = Some(candidate);
        }
    }

    /// Considers a target that only slow start excludes.
    pub fn add_in_slow_start(&mut self, candidate: Candidate<'a>) {
        if self.has(&candidate) {
            self.in_slow_start = self.in_slow_start.saturating_add(candidate.target.slots);
        }
    }

    /// The target in the region that the key goes to first; `None` where it may go to any
    /// region.
    pub fn target_for(&self, affinity: u64) -> Option<Candidate<'a>> {
        let all = f64::from(self.usable) + f64::from(self.in_slow_start);
        let stays = unit(affinity, REGION_SEED) * all < f64::from(self.usable) * STAND_IN;
        self.best.filter(|_| stays)
    }

    fn has(&self, candidate: &Candidate<'_>) -> bool {
        candidate.target.region == self.next.target.region
    }
}
