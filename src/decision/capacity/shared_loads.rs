//! Loads of targets that the head of a hall distributes to other instances.
//!
//! **Inputs**: loads that targets reported in responses to any instance, with their ages: about 0.1
//! to 0.5 s when they are used.
//!
//! **Why.** The more instances share targets, the older the load that each one knows from its own
//! traffic: with 75 instances and 225 targets, an instance sends to the same target every 2.4 s on
//! average, and a load that old says nothing. All instances together get a report of each target
//! several times a second.
//!
//! Shared loads without the higher limit of [`super::admission`] move more requests to second
//! targets, which have not cached the object, and cause more refusals. The higher limit without
//! shared loads overfills targets whose load is not known. With both, a request waits at its first
//! target if that is faster.
//!
//! Owns the latest load of each target, and two snapshots of the loads to send: one with the loads of
//! all halls for the instances of the own hall, and one with the own hall's loads for the heads of
//! other halls. A snapshot is recomputed once it is `MAX_SNAPSHOT_AGE` (0.1 s) old, and sent to all its
//! receivers until then, so that the cost of an answer does not depend on the number of targets. It
//! contains at most `MAX_TARGETS_PER_MESSAGE` (128) targets, the most loaded ones.
//!
//! **Test**: `tests/shared_loads.rs`.

use crate::clock::Instant;
use crate::model::usage::{ShortKey, TargetLoad};
use std::cmp::Reverse;
use std::collections::HashMap;
use std::time::Duration;

/// Maximum number of targets in one message: about 0.8 kB, which is 4 kB/s for an instance.
const MAX_TARGETS_PER_MESSAGE: usize = 128;
/// Age from which a load is dropped.
const MAX_LOAD_AGE: Duration = Duration::from_secs(1);
/// Age from which a snapshot is recomputed: half the time between two reports. It keeps a head's
/// work from growing with the number of targets times the number of instances that report.
const MAX_SNAPSHOT_AGE: Duration = Duration::from_millis(100);

/// The latest known load of a target.
#[derive(Clone, Copy, Debug)]
struct KnownLoad {
    target: ShortKey,
    requests: u8,
    at: Instant,
    /// Whether an instance of the own hall reported it.
    is_own_hall: bool,
}

impl KnownLoad {
    fn target_load(&self, now: Instant) -> TargetLoad {
        TargetLoad::new(self.target, self.requests.into(), now.saturating_duration_since(self.at))
    }
}

/// Loads to send, and when they were selected.
#[derive(Debug, Default)]
struct Snapshot {
    loads: Vec<KnownLoad>,
    at: Option<Instant>,
}

/// The latest load of each target that was reported to an instance as the head of a hall.
#[derive(Debug, Default)]
pub struct SharedLoads {
    latest: HashMap<ShortKey, KnownLoad>,
    for_instances: Snapshot,
    for_halls: Snapshot,
}

impl SharedLoads {
    /// Records loads from an instance of the own hall (`is_own_hall`) or from another hall's head.
    pub fn record(&mut self, loads: &[TargetLoad], is_own_hall: bool, now: Instant) {
        for load in loads {
            let Some(at) = now.checked_sub(load.age()) else { continue };
            let known = self.latest.get(&load.target);
            if known.is_none_or(|known| known.at < at) {
                let latest = KnownLoad { target: load.target, requests: load.requests, at, is_own_hall };
                self.latest.insert(load.target, latest);
            }
        }
    }

    /// Loads to send to instances of the own hall: those of all halls.
    pub fn loads_for_instances(&mut self, now: Instant) -> Vec<TargetLoad> {
        if self.for_instances.is_expired(now) {
            self.remove_expired(now);
            self.for_instances = Snapshot::new(self.latest.values().copied(), now);
        }
        self.for_instances.target_loads(now)
    }

    /// Loads to send to the heads of other halls: those that the own hall's instances reported.
    pub fn loads_for_halls(&mut self, now: Instant) -> Vec<TargetLoad> {
        if self.for_halls.is_expired(now) {
            self.remove_expired(now);
            self.for_halls = Snapshot::new(self.latest.values().copied().filter(|load| load.is_own_hall), now);
        }
        self.for_halls.target_loads(now)
    }

    fn remove_expired(&mut self, now: Instant) {
        self.latest.retain(|_, load| now.saturating_duration_since(load.at) < MAX_LOAD_AGE);
    }
}

impl Snapshot {
    fn new(latest: impl Iterator<Item = KnownLoad>, now: Instant) -> Self {
        let mut loads: Vec<KnownLoad> = latest.collect();
        if loads.len() > MAX_TARGETS_PER_MESSAGE {
            loads.select_nth_unstable_by_key(MAX_TARGETS_PER_MESSAGE, |load| Reverse(load.requests));
            loads.truncate(MAX_TARGETS_PER_MESSAGE);
        }
        Self { loads, at: Some(now) }
    }

    fn is_expired(&self, now: Instant) -> bool {
        self.at.is_none_or(|at| now.saturating_duration_since(at) >= MAX_SNAPSHOT_AGE)
    }

    fn target_loads(&self, now: Instant) -> Vec<TargetLoad> {
        self.loads.iter().map(|load| load.target_load(now)).collect()
    }
}
