//! What an instance knows of load: its own targets exactly, other halls by
//! their latest summary.

use crate::clock;
use crate::pool::Pool;
use crate::target::Target;
use serde::{Deserialize, Serialize};
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering::Relaxed};
use std::time::Duration;

/// Consecutive failures that eject a target.
const EJECT_FAILURES: u32 = 5;
/// First time out after an ejection, in milliseconds; doubles each time.
const EJECT_BASE_MS: u64 = 1_000;
/// Longest time out, in milliseconds.
const EJECT_MAX_MS: u64 = 60_000;
/// Time constant of the latency average, in microseconds.
const DECAY_US: f64 = 2_000_000.0;
/// Share of its slots that a cold target starts with.
const COLD_SHARE: f64 = 0.25;
/// Age at which a target's own report no longer counts, in milliseconds.
pub const REPORT_MAX_AGE_MS: u64 = 5_000;

/// Peak-sensitive moving average of latency: rises at once, decays slowly.
#[derive(Debug, Default)]
pub struct PeakEwma {
    micros: AtomicU64,
    updated: AtomicU64,
}

impl PeakEwma {
    /// Adds an observation in microseconds.
    pub fn observe(&self, micros: u64) {
        let now = clock::now_us();
        let old = self.micros.load(Relaxed);
        let age = now.saturating_sub(self.updated.swap(now, Relaxed)) as f64;
        let next = if micros >= old {
            micros
        } else {
            let keep = (-age / DECAY_US).exp();
            (old as f64 * keep + micros as f64 * (1.0 - keep)) as u64
        };
        self.micros.store(next, Relaxed);
    }

    /// The average in microseconds, 0 before the first observation.
    pub fn micros(&self) -> u64 {
        self.micros.load(Relaxed)
    }
}

/// Plain moving average, for expected service times.
#[derive(Debug, Default)]
pub struct Ewma {
    micros: AtomicU64,
}

impl Ewma {
    /// Adds an observation in microseconds with weight 1/16.
    pub fn observe(&self, micros: u64) {
        let old = self.micros.load(Relaxed);
        let next = if old == 0 { micros } else { old - old / 16 + micros / 16 };
        self.micros.store(next, Relaxed);
    }

    /// The average in microseconds, 0 before the first observation.
    pub fn micros(&self) -> u64 {
        self.micros.load(Relaxed)
    }
}

/// Why a target takes no new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Unusable {
    /// It said that it is leaving, by probe or report, or the list says so.
    Leaving,
    /// It failed repeatedly and waits for its time-out to pass.
    Ejected,
}

/// One target of this hall, as this instance knows it. Outlives views: a new
/// view takes over the state of each target that kept its name and address.
#[derive(Debug)]
pub struct TargetState {
    /// Declared name.
    pub name: String,
    /// Connections to it.
    pub pool: Pool,
    /// Hash of the name, for rendezvous.
    pub hash: u64,
    warmup: Duration,
    warm_from: AtomicU64,
    reserve: AtomicU32,
    full: AtomicU32,
    flight: AtomicU32,
    lent: AtomicU32,
    borrowed: AtomicU32,
    /// Latency seen by this instance.
    pub latency: PeakEwma,
    failures: AtomicU32,
    ejections: AtomicU32,
    ejected_until: AtomicU64,
    leaving: AtomicBool,
    report_load: AtomicU32,
    report_at: AtomicU64,
}

impl TargetState {
    /// The state of a target that was not known before. `cold` tells whether
    /// it has to warm up: targets found at start are taken as warm.
    pub fn new(target: &Target, cold: bool) -> Self {
        Self {
            name: target.name.clone(),
            pool: Pool::new(target.address, target.connections),
            hash: xxhash_rust::xxh3::xxh3_64(target.name.as_bytes()),
            warmup: target.warmup,
            warm_from: AtomicU64::new(if cold { clock::now_ms() } else { 0 }),
            reserve: AtomicU32::new(0),
            full: AtomicU32::new(0),
            flight: AtomicU32::new(0),
            lent: AtomicU32::new(0),
            borrowed: AtomicU32::new(0),
            latency: PeakEwma::default(),
            failures: AtomicU32::new(0),
            ejections: AtomicU32::new(0),
            ejected_until: AtomicU64::new(0),
            leaving: AtomicBool::new(false),
            report_load: AtomicU32::new(0),
            report_at: AtomicU64::new(0),
        }
    }

    /// Sets this instance's quota: slots held at any time, and slots held
    /// while its lease is valid.
    pub fn set_quota(&self, reserve: u32, full: u32) {
        self.reserve.store(reserve, Relaxed);
        self.full.store(full, Relaxed);
    }

    /// This instance's own share, lent slots included.
    fn own(&self, leased: bool) -> u32 {
        if leased { self.full.load(Relaxed) } else { self.reserve.load(Relaxed) }
    }

    /// Slots this instance may use now.
    pub fn quota(&self, leased: bool) -> u32 {
        self.own(leased).saturating_sub(self.lent.load(Relaxed)) + self.borrowed.load(Relaxed)
    }

    /// [`Self::quota`], ramped up while the target is cold.
    pub fn limit(&self, leased: bool) -> u32 {
        let quota = self.quota(leased);
        if quota == 0 {
            return 0;
        }
        ((f64::from(quota) * self.warmth()).ceil() as u32).clamp(1, quota)
    }

    /// Share of full load this target is ready for, from its age: 0.25 to 1.
    pub fn warmth(&self) -> f64 {
        let from = self.warm_from.load(Relaxed);
        if from == 0 || self.warmup.is_zero() {
            return 1.0;
        }
        let age = clock::now_ms().saturating_sub(from) as f64;
        (age / self.warmup.as_millis() as f64).clamp(COLD_SHARE, 1.0)
    }

    /// Starts the warm-up anew: the target was found to have restarted.
    pub fn set_cold(&self) {
        self.warm_from.store(clock::now_ms(), Relaxed);
    }

    /// Requests of this instance that run there now.
    pub fn flight(&self) -> u32 {
        self.flight.load(Relaxed)
    }

    /// Takes one slot if fewer than `limit` are in use.
    pub fn try_take(&self, limit: u32) -> bool {
        self.flight.fetch_update(Relaxed, Relaxed, |n| (n < limit).then_some(n + 1)).is_ok()
    }

    /// Gives back a slot taken by [`Self::try_take`].
    pub fn give_back(&self) {
        self.flight.fetch_sub(1, Relaxed);
    }

    /// Slots in use or lent: what has to fit a smaller share before this
    /// instance may confirm it.
    pub fn committed(&self) -> u32 {
        self.flight.load(Relaxed).saturating_sub(self.borrowed.load(Relaxed)) + self.lent.load(Relaxed)
    }

    /// Slots of its own share that are free now; of the reserve only, unless
    /// `leased` says that the lease outlasts the loan.
    pub fn lendable(&self, leased: bool) -> u32 {
        self.own(leased).saturating_sub(self.lent.load(Relaxed) + self.flight.load(Relaxed))
    }

    /// Whether everything in flight would fit without `count` borrowed slots.
    pub fn can_spare(&self, count: u32) -> bool {
        let own = self.full.load(Relaxed).saturating_sub(self.lent.load(Relaxed));
        self.flight.load(Relaxed) + count <= own + self.borrowed.load(Relaxed)
    }

    /// Lends up to `want` slots that are free now, as [`Self::lendable`];
    /// returns how many.
    pub fn lend(&self, want: u32, leased: bool) -> u32 {
        let own = self.own(leased);
        let keep = self.flight.load(Relaxed);
        let mut granted = 0;
        let _ = self.lent.fetch_update(Relaxed, Relaxed, |lent| {
            granted = want.min(own.saturating_sub(lent + keep));
            (granted > 0).then_some(lent + granted)
        });
        granted
    }

    /// Lent slots came back, or their contract and its requests ran out.
    pub fn end_loan(&self, slots: u32) {
        self.lent.fetch_sub(slots, Relaxed);
    }

    /// Adds borrowed slots.
    pub fn borrow_slots(&self, slots: u32) {
        self.borrowed.fetch_add(slots, Relaxed);
    }

    /// Drops borrowed slots.
    pub fn drop_borrowed(&self, slots: u32) {
        self.borrowed.fetch_sub(slots, Relaxed);
    }

    /// Whether everything in flight fits what is this instance's own and
    /// what it still has borrowed.
    pub fn is_within_own(&self) -> bool {
        let own = self.full.load(Relaxed).saturating_sub(self.lent.load(Relaxed));
        self.flight.load(Relaxed) <= own + self.borrowed.load(Relaxed)
    }

    /// Why it takes no new work now, if so.
    pub fn unusable(&self) -> Option<Unusable> {
        if self.leaving.load(Relaxed) {
            return Some(Unusable::Leaving);
        }
        if self.ejected_until.load(Relaxed) > clock::now_ms() {
            return Some(Unusable::Ejected);
        }
        None
    }

    /// Notes that the target says it is leaving, or no longer says so.
    pub fn set_leaving(&self, leaving: bool) {
        let was = self.leaving.swap(leaving, Relaxed);
        if was && !leaving {
            self.set_cold();
        }
    }

    /// An exchange ended well after `micros`.
    pub fn succeeded(&self, micros: u64) {
        self.latency.observe(micros);
        self.failures.store(0, Relaxed);
        self.ejections.store(0, Relaxed);
    }

    /// An exchange failed. Returns whether the target was ejected by it.
    pub fn failed(&self) -> bool {
        let failures = self.failures.fetch_add(1, Relaxed) + 1;
        if failures < EJECT_FAILURES {
            return false;
        }
        self.failures.store(0, Relaxed);
        let times = self.ejections.fetch_add(1, Relaxed).min(16);
        let out = (EJECT_BASE_MS << times).min(EJECT_MAX_MS);
        self.ejected_until.store(clock::now_ms() + out, Relaxed);
        true
    }

    /// Notes the target's own report of its load, 0 to 1000 per mille.
    pub fn report(&self, permille: u32) {
        self.report_load.store(permille, Relaxed);
        self.report_at.store(clock::now_ms(), Relaxed);
    }

    /// The factor by which a fresh report makes this target less attractive,
    /// at least 1. A report can only lower belief: one that claims to be idle
    /// says nothing that own observation would not show.
    pub fn report_penalty(&self) -> f64 {
        let age = clock::now_ms().saturating_sub(self.report_at.load(Relaxed));
        if self.report_at.load(Relaxed) == 0 || age >= REPORT_MAX_AGE_MS {
            return 1.0;
        }
        let weight = 1.0 - age as f64 / REPORT_MAX_AGE_MS as f64;
        1.0 + weight * f64::from(self.report_load.load(Relaxed)) / 1000.0
    }

    /// Age of the last report in milliseconds.
    pub fn report_age(&self) -> Option<u64> {
        match self.report_at.load(Relaxed) {
            0 => None,
            at => Some(clock::now_ms().saturating_sub(at)),
        }
    }
}

/// What is known of one service in one hall.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Facts {
    /// Usable slots.
    pub slots: u32,
    /// Slots in use.
    pub flight: u32,
    /// Expected wait for a slot, in microseconds.
    pub wait_us: u64,
    /// Expected time at the target, in microseconds.
    pub service_us: u64,
    /// Age of this knowledge in milliseconds; `None` where there is none and
    /// the declared slots stand in.
    pub age_ms: Option<u64>,
}

/// Latest summary of one service in one hall, updated in place.
#[derive(Debug, Default)]
pub struct HallLoad {
    slots: AtomicU32,
    flight: AtomicU32,
    wait_us: AtomicU64,
    service_us: AtomicU64,
    /// Local time in milliseconds that the summary speaks of, 0 for never.
    at: AtomicU64,
}

impl HallLoad {
    /// Takes a summary that was true `age_ms` ago.
    pub fn update(&self, facts: Facts, age_ms: u64) {
        self.slots.store(facts.slots, Relaxed);
        self.flight.store(facts.flight, Relaxed);
        self.wait_us.store(facts.wait_us, Relaxed);
        self.service_us.store(facts.service_us, Relaxed);
        self.at.store(clock::now_ms().saturating_sub(age_ms).max(1), Relaxed);
    }

    /// What is known, with its age.
    pub fn facts(&self) -> Facts {
        self.facts_at(clock::now_ms())
    }

    /// [`Self::facts`], with the local time at hand.
    pub fn facts_at(&self, now: u64) -> Facts {
        let at = self.at.load(Relaxed);
        Facts {
            slots: self.slots.load(Relaxed),
            flight: self.flight.load(Relaxed),
            wait_us: self.wait_us.load(Relaxed),
            service_us: self.service_us.load(Relaxed),
            age_ms: (at != 0).then(|| now.saturating_sub(at)),
        }
    }

    /// Adds what this instance itself sent there since the summary.
    pub fn add_flight(&self, count: u32) {
        self.flight.fetch_add(count, Relaxed);
    }
}
