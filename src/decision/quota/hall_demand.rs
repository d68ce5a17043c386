//! A tenant's demand by hall, and what is expected of halls that have told nothing since the own
//! hall's demand grew.
//!
//! **Load pattern**: a tenant sends a multiple of its usual everywhere from one moment to the next,
//! while other halls' reports are 0.3 s old, or later where links are full.
//!
//! **Rule.** Each other hall is expected to ask for what it told last, times what the own hall's
//! demand has grown by since then, as far as that is above chance. Where little is left of the quota,
//! less has to be above it. What such a hall lets through since its last report counts as used.
//!
//! **Inputs**: requests that arrived, by hall: those of the own hall 0.05 to 0.2 s old, of others 0.1
//! to 0.5 s, up to the age from which a hall is not heard from. Callers that move into the own hall
//! look like growth until the hall that they left has told; a share falls then only where the tenant
//! is near its quota.
//!
//! **Guards** the promise that a step of any size stays within the quota. **Test**:
//! `tests/quota_steps.rs`, `tests/quotas.rs`.

use crate::clock::Instant;
use std::collections::BTreeMap;
use std::time::Duration;

/// Time over which a hall's demand is averaged: several reports.
const STEADY_TIME: Duration = Duration::from_millis(350);
/// Time over which growth is seen: two reports of instances with much to tell.
const RECENT_TIME: Duration = Duration::from_millis(100);
/// Part of the window that is ample (no unit). The less is left below it, the sooner a step uses it
/// up, and the less has to be seen of one.
const AMPLE: f64 = 0.25;
/// Deviations by which growth has to exceed chance while ample room is left (no unit).
const DEVIATIONS: f64 = 2.5;
/// Growth of the own hall, besides 1, from which other halls are expected to grow while ample
/// room is left (factor): below, callers come and go.
const LEAST_GROWTH: f64 = 0.75;
/// Most that is expected of other halls (factor): a hall whose callers just came has any growth.
const MAX_GROWTH: f64 = 40.0;
/// Longest time for which requests that a hall has not told are worked out: later it counts as not
/// heard from.
const MAX_UNTOLD: Duration = Duration::from_secs(1);

/// An average rate that forgets.
#[derive(Clone, Copy, Debug)]
struct Rate {
    per_second: f64,
    time: Duration,
    at: Instant,
}

impl Rate {
    fn new(time: Duration, at: Instant) -> Self {
        Self { per_second: 0.0, time, at }
    }

    fn kept(&self, passed: Duration) -> f64 {
        (-passed.as_secs_f64() / self.time.as_secs_f64()).exp()
    }

    fn add(&mut self, count: f64, over: Duration, now: Instant) {
        let new = count / over.as_secs_f64() * (1.0 - self.kept(over));
        self.per_second = self.at(now) + new;
        self.at = now;
    }

    fn at(&self, now: Instant) -> f64 {
        self.per_second * self.kept(now.saturating_duration_since(self.at))
    }
}

/// What a hall told.
#[derive(Clone, Copy, Debug)]
struct HallDemand {
    steady: Rate,
    recent: Rate,
    /// The own hall's demand when this one told something last.
    own_then: f64,
}

/// Demand by hall.
#[derive(Clone, Debug, Default)]
pub struct HallDemands {
    /// `None` where no hall's demand tells of the others.
    own: Option<String>,
    halls: BTreeMap<String, HallDemand>,
}

impl HallDemands {
    /// Nothing told yet, at the head of a hall.
    pub fn of_hall(own: &str) -> Self {
        Self { own: Some(own.to_owned()), halls: BTreeMap::new() }
    }

    /// Counts requests that arrived in a hall within the last `over`.
    pub fn record(&mut self, hall: &str, offered: u32, over: Duration, now: Instant) {
        let own_then = self.own_steady(now);
        if !self.halls.contains_key(hall) {
            let new = HallDemand { steady: Rate::new(STEADY_TIME, now), recent: Rate::new(RECENT_TIME, now), own_then };
            self.halls.insert(hall.to_owned(), new);
        }
        let Some(demand) = self.halls.get_mut(hall) else { return };
        demand.steady.add(offered.into(), over, now);
        demand.recent.add(offered.into(), over, now);
        demand.own_then = own_then;
    }

    /// Requests a second that are expected of all halls that are heard from, and requests that
    /// arrived in the other halls since they told something. `free` is the part of the window that is
    /// left, 0 to 1.
    pub fn expected(&self, is_heard: impl Fn(&str) -> bool, free: f64, now: Instant) -> (f64, f64) {
        let Some(own) = self.own.as_deref() else { return (0.0, 0.0) };
        let caution = (free / AMPLE).min(1.0);
        let deviations = DEVIATIONS * caution;
        let latest = self.latest(own, deviations, now);
        let (mut all, mut untold) = (latest, 0.0);
        for (_, demand) in self.halls.iter().filter(|(hall, _)| **hall != *own && is_heard(hall)) {
            let growth = growth(latest, demand.own_then, deviations);
            if growth < 1.0 + LEAST_GROWTH * caution {
                all += demand.steady.at(now);
                continue;
            }
            let rate = demand.steady.per_second * growth;
            let age = now.saturating_duration_since(demand.steady.at).min(MAX_UNTOLD);
            all += rate;
            untold += rate * age.as_secs_f64();
        }
        (all, untold)
    }

    fn own_steady(&self, now: Instant) -> f64 {
        let own = self.own.as_deref().and_then(|own| self.halls.get(own));
        own.map_or(0.0, |demand| demand.steady.at(now))
    }

    /// The own hall's demand: the latest, as far as it is above chance, or the average.
    fn latest(&self, own: &str, deviations: f64, now: Instant) -> f64 {
        let Some(demand) = self.halls.get(own) else { return 0.0 };
        let recent = demand.recent.at(now);
        let deviation = (recent / (2.0 * RECENT_TIME.as_secs_f64())).sqrt();
        (recent - deviations * deviation).max(demand.steady.at(now))
    }
}

/// What the own hall's demand has grown by (factor): from the most that it may have been.
fn growth(latest: f64, then: f64, deviations: f64) -> f64 {
    let average = STEADY_TIME.as_secs_f64();
    let deviation = ((then + 1.0 / average) / (2.0 * average)).sqrt();
    // Of a few requests a second one more is no growth.
    let one = 1.0 / (2.0 * average);
    (latest / (then + one + deviations * deviation)).min(MAX_GROWTH)
}
