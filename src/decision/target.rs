//! A target as this instance knows it: what the store says, what answers say,
//! and what is under way there.

use crate::decision::slow_start;
use crate::model::registration::{TargetRegistration, TargetState};
use crate::net::pool::Pool;
use crate::policy::{Policies, PolicySet, TargetFacts};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

/// Age at which a target's own report of its load no longer counts.
const REPORT_LIFE: Duration = Duration::from_millis(1_500);
/// Weight of a new time in the average.
const LATENCY_WEIGHT: f64 = 0.2;
/// Weight of a new time that is better than the average: a target that has
/// recovered is believed sooner.
const RECOVERY_WEIGHT: f64 = 0.5;
/// How many times slower than its peers a target is left alone.
const SLOW_FACTOR: f64 = 3.0;
/// How many median times a target may give no answer at all; work on an
/// object that it has not lately seen takes several.
const SILENT_FACTOR: f64 = 4.5;
/// Time between tries of a slow target.
const SLOW_TRY_EVERY: Duration = Duration::from_secs(1);
/// Failures in a row after which a target is left alone for a while.
const FAILURES_TO_EJECT: u32 = 3;
/// First time that a failing target is left alone.
const FIRST_EJECTION: Duration = Duration::from_millis(500);
/// Longest time that a failing target is left alone.
const MAX_EJECTION: Duration = Duration::from_secs(4);

/// A target's report of its load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadReport {
    /// Requests running.
    pub running: u32,
    /// Requests waiting.
    pub waiting: u32,
    /// Slots.
    pub slots: u32,
}

impl LoadReport {
    /// Reads `running,waiting,slots`.
    pub fn parse(text: &str) -> Option<Self> {
        let mut numbers = text.split(',').map(|number| number.trim().parse().ok());
        let report = Self { running: numbers.next()??, waiting: numbers.next()??, slots: numbers.next()?? };
        numbers.next().is_none().then_some(report)
    }
}

#[derive(Clone, Copy, Debug)]
struct ReportedLoad {
    requests: u32,
    at: Instant,
}

/// How long answers take, recent ones counting more.
#[derive(Clone, Copy, Debug, Default)]
struct Latency {
    /// Seconds; `None` before the first answer.
    average: Option<f64>,
    /// The last time of an answer, or of the first of the requests now under
    /// way.
    silent_since: Option<Instant>,
    /// When a slow target was last tried.
    tried: Option<Instant>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Failures {
    in_a_row: u32,
    ejections: u32,
    until: Option<Instant>,
    trial: bool,
}

/// This instance's part of the rate of a cold target.
#[derive(Clone, Copy, Debug, Default)]
struct SlowStartRate {
    /// Requests a second.
    rate: u32,
    /// When the members changed by whom the rate was last shared out.
    members_at: Option<Instant>,
    /// When the next request may be sent.
    next: Option<Instant>,
}

/// One life of a target.
#[derive(Debug)]
pub struct Target {
    /// Identity of this life.
    pub id: Rc<str>,
    /// Service name.
    pub service: Rc<str>,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its hall.
    pub hall: Rc<str>,
    /// Its region.
    pub region: Rc<str>,
    /// Version of its software.
    pub version: Rc<str>,
    /// Requests it works on at once.
    pub slots: u32,
    /// Hash of its identity, for rendezvous.
    pub hash: u64,
    /// Connections to it.
    pub pool: Pool,
    state: Cell<TargetState>,
    sequence: Cell<u64>,
    slow_start_until: Cell<Option<Instant>>,
    slow_start_rate: Cell<SlowStartRate>,
    in_flight: Cell<u32>,
    others: Cell<Option<ReportedLoad>>,
    failures: Cell<Failures>,
    latency: Cell<Latency>,
    replaced: Cell<bool>,
    expires_at: Cell<Option<Instant>>,
    selecting: Cell<Option<(u64, PolicySet)>>,
}

impl Target {
    /// A target first seen now.
    pub fn new(registration: &TargetRegistration, region: Rc<str>, now: Instant) -> Self {
        let target = Self {
            id: registration.id.clone(),
            service: registration.service.clone(),
            address: registration.address,
            hall: registration.hall.clone(),
            region,
            version: registration.version.clone(),
            slots: registration.slots.max(1),
            hash: xxh3_64(registration.id.as_bytes()),
            pool: Pool::new(registration.address),
            state: Cell::new(registration.state),
            sequence: Cell::new(registration.sequence),
            slow_start_until: Cell::new(None),
            slow_start_rate: Cell::new(SlowStartRate::default()),
            in_flight: Cell::new(0),
            others: Cell::new(None),
            failures: Cell::new(Failures::default()),
            latency: Cell::new(Latency::default()),
            replaced: Cell::new(false),
            expires_at: Cell::new(None),
            selecting: Cell::new(None),
        };
        target.begin_slow_start(registration.cold, now);
        target
    }

    /// Takes in a later registration of the same life; false where it is older.
    pub fn update(&self, registration: &TargetRegistration, now: Instant) -> bool {
        if registration.sequence < self.sequence.get() {
            return false;
        }
        self.expires_at.set(None);
        self.sequence.set(registration.sequence);
        self.state.set(registration.state);
        self.begin_slow_start(registration.cold, now);
        true
    }

    /// Count of the last registration taken in.
    pub fn sequence(&self) -> u64 {
        self.sequence.get()
    }

    /// Whether the store lists it as taking requests.
    pub fn is_ready(&self) -> bool {
        self.state.get() == TargetState::Ready
    }

    /// Keeps a target whose registration went while the store was away until a time:
    /// if it lives, its registration is back by then.
    pub fn expire_at(&self, until: Instant) {
        self.expires_at.set(self.expires_at.get().or(Some(until)));
    }

    /// Whether its registration went while the store was away and did not come back.
    pub fn has_expired(&self, now: Instant) -> bool {
        self.expires_at.get().is_some_and(|until| until <= now)
    }

    /// Marks it as cold for some time from now on; never shortens.
    pub fn begin_slow_start(&self, remaining: Duration, now: Instant) {
        if remaining.is_zero() {
            return;
        }
        let until = now + remaining;
        if self.slow_start_until.get().is_none_or(|known| known < until) {
            self.slow_start_until.set(Some(until));
        }
    }

    /// Whether it is cold.
    pub fn is_in_slow_start(&self, now: Instant) -> bool {
        self.slow_start_until.get().is_some_and(|until| now < until)
    }

    /// What its labels come from.
    pub fn facts(&self) -> TargetFacts<'_> {
        TargetFacts {
            id: &self.id,
            service: &self.service,
            region: &self.region,
            hall: &self.hall,
            version: &self.version,
        }
    }

    /// The policies whose places select it, worked out once for each revision.
    pub fn selecting(&self, policies: &Policies) -> PolicySet {
        if let Some((revision, mask)) = self.selecting.get()
            && revision == policies.revision
        {
            return mask;
        }
        let mask = policies.selecting(&self.facts());
        self.selecting.set(Some((policies.revision, mask)));
        mask
    }

    /// Whether this instance may send a cold target a request now. Its part of
    /// the target's rate is worked out anew where the members have changed.
    pub fn has_slow_start_share(&self, members_at: Instant, rate: impl FnOnce() -> u32, now: Instant) -> bool {
        let mut share = self.slow_start_rate.get();
        if share.members_at != Some(members_at) {
            share.rate = rate();
            share.members_at = Some(members_at);
            self.slow_start_rate.set(share);
        }
        share.rate > 0 && share.next.is_none_or(|next| next <= now)
    }

    /// Requests of this instance that are under way.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.get()
    }

    /// Takes in a report of load that came with an answer.
    pub fn report(&self, report: LoadReport, now: Instant) {
        let all = report.running + report.waiting;
        let others = all.saturating_sub(self.in_flight.get());
        self.others.set(Some(ReportedLoad { requests: others, at: now }));
    }

    /// Requests that are probably running or waiting there, those of other
    /// instances fading with the age of the last report.
    pub fn load(&self, now: Instant) -> f64 {
        let others = self.others.get().map_or(0.0, |others| {
            let age = now.saturating_duration_since(others.at).as_secs_f64() / REPORT_LIFE.as_secs_f64();
            f64::from(others.requests) * (1.0 - age).max(0.0)
        });
        f64::from(self.in_flight.get()) + others
    }

    /// Counts a request in until the guard is dropped.
    pub fn enter(self: &Rc<Self>, now: Instant) -> InFlight {
        let mut latency = self.latency.get();
        if self.in_flight.get() == 0 {
            latency.silent_since = Some(now);
        }
        latency.tried = Some(now);
        self.latency.set(latency);
        if self.is_in_slow_start(now) {
            self.spend_slow_start(now);
        }
        self.in_flight.set(self.in_flight.get() + 1);
        let failures = self.failures.get();
        if failures.until.is_some() {
            self.failures.set(Failures { trial: true, ..failures });
        }
        InFlight { target: self.clone() }
    }

    /// Notes a sound answer after `took`.
    pub fn record_success(&self, took: Duration, now: Instant) {
        self.failures.set(Failures::default());
        self.record_latency(took, now);
    }

    /// Notes that an answer took `took`, or that none had come after it.
    pub fn record_latency(&self, took: Duration, now: Instant) {
        let mut latency = self.latency.get();
        let took = took.as_secs_f64();
        let average = latency.average.unwrap_or(took);
        let weight = if took < average { RECOVERY_WEIGHT } else { LATENCY_WEIGHT };
        latency.average = Some(average + weight * (took - average));
        latency.silent_since = Some(now);
        self.latency.set(latency);
    }

    /// The average time of an answer, seconds.
    pub fn average_latency(&self) -> Option<f64> {
        self.latency.get().average
    }

    /// Whether it is much slower than `median`, seconds, or has long been
    /// silent for that, and its answers come after `objective`.
    pub fn is_slow(&self, median: f64, objective: Duration, now: Instant) -> bool {
        let latency = self.latency.get();
        let silent = latency.silent_since.filter(|_| self.in_flight.get() > 0);
        let silence = silent.map_or(0.0, |since| now.saturating_duration_since(since).as_secs_f64());
        let average = latency.average.unwrap_or(0.0);
        let objective = objective.as_secs_f64();
        (average > SLOW_FACTOR * median && average > objective)
            || (silence > SILENT_FACTOR * median && silence > objective)
    }

    /// Whether a slow target may be tried again.
    pub fn may_try_slow(&self, now: Instant) -> bool {
        let tried = self.latency.get().tried;
        self.in_flight.get() == 0 && tried.is_none_or(|tried| now.saturating_duration_since(tried) > SLOW_TRY_EVERY)
    }

    fn spend_slow_start(&self, now: Instant) {
        let share = self.slow_start_rate.get();
        self.slow_start_rate.set(SlowStartRate { next: Some(now + slow_start::spacing(share.rate)), ..share });
    }

    /// Notes a failure that speaks against the target; gives the time for
    /// which it is left alone, where it is.
    pub fn record_failure(&self, now: Instant) -> Option<Duration> {
        let failures = self.failures.get();
        let in_a_row = failures.in_a_row + 1;
        let again = failures.until.is_some_and(|until| now >= until);
        if in_a_row < FAILURES_TO_EJECT && !again {
            self.failures.set(Failures { in_a_row, ..failures });
            return None;
        }
        let lasting = (FIRST_EJECTION * 2u32.pow(failures.ejections.min(8))).min(MAX_EJECTION);
        let next = Failures { in_a_row, ejections: failures.ejections + 1, until: Some(now + lasting), trial: false };
        self.failures.set(next);
        Some(lasting)
    }

    /// Notes that another target answers at its address: this life is over.
    pub fn mark_replaced(&self) {
        self.replaced.set(true);
        self.pool.clear();
    }

    /// Whether it may be chosen as far as failures go: not ejected, and after
    /// an ejection only for one request at a time until one succeeds.
    pub fn is_trusted(&self, now: Instant) -> bool {
        if self.replaced.get() {
            return false;
        }
        let failures = self.failures.get();
        match failures.until {
            None => true,
            Some(until) => now >= until && !(failures.trial && self.in_flight.get() > 0),
        }
    }
}

/// A request under way at a target.
#[derive(Debug)]
pub struct InFlight {
    target: Rc<Target>,
}

impl InFlight {
    /// The target.
    pub fn target(&self) -> &Rc<Target> {
        &self.target
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.target.in_flight.set(self.target.in_flight.get() - 1);
    }
}
