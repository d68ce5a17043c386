//! Region of a key whose target is replaced: if a key's target is leaving and its next target, in the
//! same region, is still in slow start, the key goes first to another target of that region. This
//! applies to as many such keys as the region's targets out of slow start can serve.
//!
//! **Inputs**
//! - Slots of the region's targets that may be used, and of those that only slow start
//!   excludes, both for this request now; from registrations, as old as the view, and from
//!   this instance's own ejections and latencies.
//! - Hash of the affinity key; the order and the score of each target, including those that are
//!   draining or in slow start.
//!
//! **Why.** Where targets are replaced faster than slow start ends, a region of few targets
//! has most of them in slow start at the same time. By rendezvous hashing over the others, the keys
//! of those that leave would move to other regions within a second or two, and return together. No
//! remaining target has their objects cached, so a target of the region serves them as fast as one
//! elsewhere until their next target is out of slow start. The fewer of the region's slots are out of
//! slow start, the fewer keys stay, since these few slots cannot serve the keys of the whole region.
//! All instances compute the same share and the same keys, so they agree without exchanging
//! messages.
//!
//! Other keys that a target in slow start will take over stay where they are cached until slow start
//! ends. Where targets are lost, ejected or evacuated, or leave without a successor, keys move
//! at once, also to other regions. Where the target chosen here has no room, the request goes to the
//! key's second one, as always.
//!
//! **Guards** the promise that few requests change their region from one moment to the next
//! while targets are replaced.
//!
//! **Test**: `tests/region_moves.rs`.

use crate::decision::selection::affinity::{Candidate, Ranking};
use crate::hash::unit_interval;

/// Slots, in and out of slow start, whose keys one slot out of slow start can serve (no unit): as long
/// as half of a region's slots are out of slow start, all such keys stay.
const SLOTS_COVERED_PER_SLOT: f64 = 2.0;
/// Seed of the hash that decides which keys stay, so that it is independent of other hashes. Any
/// number will do, but it must be the same in all instances.
const KEY_REGION_SEED: u64 = 0x27d4_eb2f;

/// The present target of a key, if it is leaving, and the next one, if that is still in slow start.
#[derive(Debug, Default)]
pub struct Replacement<'a> {
    leaving: Option<Candidate<'a>>,
    in_slow_start: Option<Candidate<'a>>,
}

impl<'a> Replacement<'a> {
    /// Considers a target that is draining or leaving; the best-ranked one is kept.
    pub fn add_leaving(&mut self, candidate: Candidate<'a>) {
        keep_best(&mut self.leaving, candidate);
    }

    /// Considers a target that only slow start excludes; the best-ranked one is kept.
    pub fn add_in_slow_start(&mut self, candidate: Candidate<'a>) {
        keep_best(&mut self.in_slow_start, candidate);
    }

    /// The region in which the key's target is replaced; `None` unless both targets are in the same
    /// region and rank above all usable ones.
    pub fn key_region(self, usable: &Ranking<'a>) -> Option<KeyRegion<'a>> {
        let leaving = self.leaving.filter(|candidate| usable.is_first(candidate))?;
        let next = self.in_slow_start.filter(|candidate| usable.is_first(candidate))?;
        (leaving.target.region == next.target.region).then(|| KeyRegion::new(next))
    }
}

fn keep_best<'a>(best: &mut Option<Candidate<'a>>, candidate: Candidate<'a>) {
    if best.is_none_or(|best| candidate.sort_key() < best.sort_key()) {
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
    /// The usable target with the lowest score among those of the next one's policy order.
    best: Option<Candidate<'a>>,
}

impl<'a> KeyRegion<'a> {
    fn new(next: Candidate<'a>) -> Self {
        Self { next, usable: 0, in_slow_start: 0, best: None }
    }

    /// Considers a target that may be used.
    pub fn add_usable(&mut self, candidate: Candidate<'a>) {
        if !self.contains(&candidate) {
            return;
        }
        self.usable = self.usable.saturating_add(candidate.target.slots);
        let is_better = self.best.is_none_or(|best| candidate.score < best.score);
        if is_better && candidate.order == self.next.order {
            self.best = Some(candidate);
        }
    }

    /// Considers a target that only slow start excludes.
    pub fn add_in_slow_start(&mut self, candidate: Candidate<'a>) {
        if self.contains(&candidate) {
            self.in_slow_start = self.in_slow_start.saturating_add(candidate.target.slots);
        }
    }

    /// The target in the region that the key goes to first; `None` where the key does not stay in the
    /// region. `affinity` is the hash of the key.
    pub fn target_for(&self, affinity: u64) -> Option<Candidate<'a>> {
        let all_slots = f64::from(self.usable) + f64::from(self.in_slow_start);
        let stays =
            unit_interval(affinity, KEY_REGION_SEED) * all_slots < f64::from(self.usable) * SLOTS_COVERED_PER_SLOT;
        self.best.filter(|_| stays)
    }

    fn contains(&self, candidate: &Candidate<'_>) -> bool {
        candidate.target.region == self.next.target.region
    }
}
