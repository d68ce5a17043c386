//! Loads of targets that other instances were told, by the head of a hall.
//!
//! **Inputs**: loads as targets told them in answers to any instance, with their ages: some 0.1 to
//! 0.5 s when they are used.
//!
//! **Why.** The more instances share targets, the longer ago each one's own traffic was answered
//! there: at 75 instances and 225 targets an instance sends to one and the same target each 2.4 s in
//! the middle, and a load that old says nothing. All of them together hear of a target several
//! times a second.
//!
//! Shared loads alone send more requests to second targets, which have not cached their object, and
//! away; a higher limit alone fills targets whose load is not known. With both, a request waits at
//! its first target where that is sooner. [`super::admission`] has the limit.
//!
//! Owns the last load of each target, and what is told, worked out anew each `TOLD_FOR` (0.1 s): the
//! same for all who ask, so that an answer costs the same however many targets there are. It names
//! `MOST_TOLD` (128) targets at most, the fullest first. **Test**: `tests/shared_loads.rs`.

use crate::clock::Instant;
use crate::model::usage::{ShortKey, TargetLoad};
use std::cmp::Reverse;
use std::collections::HashMap;
use std::time::Duration;

/// Targets in one message: some 0.8 kB, 4 kB a second for an instance.
const MOST_TOLD: usize = 128;
/// Age from which a load is not told on.
const MAX_AGE: Duration = Duration::from_secs(1);
/// Time for which the same is told: half of that between two reports. What a head works out does
/// not grow with targets times the instances that ask.
const TOLD_FOR: Duration = Duration::from_millis(100);

/// The load of a target, as it was told.
#[derive(Clone, Copy, Debug)]
struct Heard {
    target: ShortKey,
    requests: u8,
    at: Instant,
    /// Whether an instance of the own hall told it.
    is_own: bool,
}

impl Heard {
    fn told_at(&self, now: Instant) -> TargetLoad {
        TargetLoad::new(self.target, self.requests.into(), now.saturating_duration_since(self.at))
    }
}

/// What is told, and when it was worked out.
#[derive(Debug, Default)]
struct Told {
    loads: Vec<Heard>,
    at: Option<Instant>,
}

/// The last load of each target that an instance was told of.
#[derive(Debug, Default)]
pub struct SharedLoads {
    heard: HashMap<ShortKey, Heard>,
    to_instances: Told,
    to_halls: Told,
}

impl SharedLoads {
    /// Takes loads from an instance of the own hall, or another hall's head.
    pub fn take(&mut self, loads: &[TargetLoad], is_own: bool, now: Instant) {
        for load in loads {
            let Some(at) = now.checked_sub(load.age()) else { continue };
            let known = self.heard.get(&load.target);
            if known.is_none_or(|known| known.at < at) {
                let heard = Heard { target: load.target, requests: load.requests, at, is_own };
                self.heard.insert(load.target, heard);
            }
        }
    }

    /// What instances of the own hall are told.
    pub fn tell(&mut self, now: Instant) -> Vec<TargetLoad> {
        if self.to_instances.is_over(now) {
            self.forget_old(now);
            self.to_instances = Told::new(self.heard.values().copied(), now);
        }
        self.to_instances.loads_at(now)
    }

    /// What other halls are told: the own hall's loads.
    pub fn tell_halls(&mut self, now: Instant) -> Vec<TargetLoad> {
        if self.to_halls.is_over(now) {
            self.forget_old(now);
            self.to_halls = Told::new(self.heard.values().copied().filter(|heard| heard.is_own), now);
        }
        self.to_halls.loads_at(now)
    }

    fn forget_old(&mut self, now: Instant) {
        self.heard.retain(|_, heard| now.saturating_duration_since(heard.at) < MAX_AGE);
    }
}

impl Told {
    fn new(heard: impl Iterator<Item = Heard>, now: Instant) -> Self {
        let mut loads: Vec<Heard> = heard.collect();
        if loads.len() > MOST_TOLD {
            loads.select_nth_unstable_by_key(MOST_TOLD, |heard| Reverse(heard.requests));
            loads.truncate(MOST_TOLD);
        }
        Self { loads, at: Some(now) }
    }

    fn is_over(&self, now: Instant) -> bool {
        self.at.is_none_or(|at| now.saturating_duration_since(at) >= TOLD_FOR)
    }

    fn loads_at(&self, now: Instant) -> Vec<TargetLoad> {
        self.loads.iter().map(|heard| heard.told_at(now)).collect()
    }
}
