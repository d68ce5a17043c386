//! Admission by quota: an instance lets the share of a tenant's requests through that the head of
//! its hall answered last, evenly spaced; its equal part ([`super::part`]) where the answer is too
//! old, or too much was let through since.
//!
//! **Inputs**
//! - Shares by tenant, from the last answer of a head; up to `ANSWER_AGE` (1 s) old. A tenant that
//!   the answer does not name passes whole.
//! - Requests of each tenant that arrived here and were let through since, counted at once.
//! - The quota, from the configuration in force, and the number of instances; as old as the view.
//!
//! **Why.** Word of a tenant that suddenly sends a multiple of its usual has to come before its
//! burst is used up: what is far above its usual is told at once, and until an answer comes an
//! instance lets five times that through and then its part.
//!
//! **Guards** the promises that a tenant's requests stay within its quota, and that a request is
//! refused at once and not held. **Test**: `tests/quotas.rs`, `tests/quota_replay.rs`.

use crate::clock::Instant;
use crate::decision::quota::part::{Fleet, Part};
use crate::model::config::Quota;
use crate::model::usage::{Usage, UsageAnswer};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

/// Age of an answer up to which its shares hold: four times the time between two reports, so that
/// one lost report and the change to another head cost nothing.
pub const ANSWER_AGE: Duration = Duration::from_secs(1);
/// Requests of a tenant since the last report from which they are told at once, however few are
/// usual: with fewer most reports of small tenants would be sent at once.
const LEAST_UNUSUAL: f64 = 2.0;
/// Factor on a tenant's usual requests between two reports from which they are told at once.
const UNUSUAL: f64 = 2.0;
/// Factor on these up to which requests pass before they are answered, and the least number: as many
/// reports as may fail while an answer holds.
const UNANSWERED: f64 = 5.0;
/// See [`UNANSWERED`].
const LEAST_UNANSWERED: f64 = 8.0;
/// Factor on what is unusual up to which requests of a tenant that is held back pass before they are
/// answered, and the least number: its quota is used up, and all instances may let as much through.
const UNANSWERED_HELD: f64 = 1.0;
/// See [`UNANSWERED_HELD`].
const LEAST_UNANSWERED_HELD: f64 = 2.0;
/// Requests of a tenant that pass before the first answer: all instances may be starting, and none
/// know what was let through before.
const BEFORE_FIRST_ANSWER: f64 = 3.0;
/// By how much a tenant's share rises with one answer at most: this factor, and so much besides (no
/// unit). From nothing it is whole after five answers, a second.
const RISE: f64 = 1.5;
/// See [`RISE`].
const LEAST_RISE: f64 = 0.1;
/// Part of the last report that was answered in what is usual (no unit).
const USUAL_WEIGHT: f64 = 0.3;

/// What becomes of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It may be sent on.
    Admitted,
    /// The tenant's quota is used up.
    Refused,
}

/// The requests of a tenant at this instance.
#[derive(Debug)]
struct TenantUse {
    /// What no head was told yet.
    untold: Usage,
    /// What was told and is not answered yet.
    told: Usage,
    /// Requests in a report that was answered, on average.
    usual: f64,
    /// Share of the requests that may pass.
    pass: f64,
    /// What earlier requests left of the share, below one request.
    left: f64,
    part: Part,
}

impl TenantUse {
    /// `left` is at random, so that instances do not let their first requests through together.
    fn new(pass: f64, left: f64) -> Self {
        Self { untold: Usage::default(), told: Usage::default(), usual: 0.0, pass, left, part: Part::default() }
    }

    /// Requests since the last report from which they are told at once.
    fn unusual(&self) -> f64 {
        (UNUSUAL * self.usual).max(LEAST_UNUSUAL)
    }

    fn is_unusual(&self) -> bool {
        f64::from(self.untold.offered) >= self.unusual()
    }

    /// Whether as much was let through as may be before an answer.
    fn is_unanswered(&self, is_first: bool) -> bool {
        let admitted = self.untold.admitted.saturating_add(self.told.admitted);
        let most = match (is_first, self.pass < 1.0) {
            (true, _) => BEFORE_FIRST_ANSWER,
            (false, true) => (UNANSWERED_HELD * self.pass * self.unusual()).max(LEAST_UNANSWERED_HELD),
            (false, false) => (UNANSWERED * self.unusual()).max(LEAST_UNANSWERED),
        };
        f64::from(admitted) >= most
    }

    fn passes(&mut self) -> bool {
        self.left += self.pass;
        let passes = self.left >= 1.0;
        if passes {
            self.left -= 1.0;
        }
        passes
    }
}

/// The requests of all tenants at this instance.
#[derive(Debug, Default)]
pub struct OwnUse {
    tenants: HashMap<Rc<str>, TenantUse>,
    /// The shares of the last answer, also of tenants without a request here so far.
    passes: HashMap<String, f64>,
    /// When the last report began that was answered.
    told_until: Option<Instant>,
    /// When a report began that is not answered yet.
    reported: Option<Instant>,
    was_answered: bool,
    /// When a head last answered; at first the time of the first request.
    answered: Option<Instant>,
}

impl OwnUse {
    /// Admits or refuses a request of a tenant. `draw` is at random from 0 to 1.
    pub fn admit(&mut self, tenant: &Rc<str>, quota: Quota, fleet: Fleet, draw: f64, now: Instant) -> Admission {
        let answered = *self.answered.get_or_insert(now);
        let is_answered = now.saturating_duration_since(answered) < ANSWER_AGE;
        let is_first = !self.was_answered;
        let passes = &self.passes;
        let new = || TenantUse::new(passes.get(&**tenant).copied().unwrap_or(1.0), draw);
        let of_tenant = self.tenants.entry(tenant.clone()).or_insert_with(new);
        of_tenant.untold.offered = of_tenant.untold.offered.saturating_add(1);
        let is_admitted = match (is_answered, of_tenant.is_unanswered(is_first)) {
            (true, false) => of_tenant.passes(),
            // What was saved up is for an instance that hears nothing: here others let as much through.
            (true, true) => of_tenant.part.take(Quota { burst: 0.0, ..quota }, fleet, now),
            (false, _) => of_tenant.part.take(quota, fleet, now),
        };
        if !is_admitted {
            return Admission::Refused;
        }
        of_tenant.untold.admitted = of_tenant.untold.admitted.saturating_add(1);
        Admission::Admitted
    }

    /// Takes back a request that was admitted and that no target ran.
    pub fn release(&mut self, tenant: &str) {
        if let Some(of_tenant) = self.tenants.get_mut(tenant) {
            of_tenant.untold.admitted = of_tenant.untold.admitted.saturating_sub(1);
        }
    }

    /// Whether so many requests of the tenant arrived that they should be told at once.
    pub fn is_unusual(&self, tenant: &str) -> bool {
        self.tenants.get(tenant).is_some_and(TenantUse::is_unusual)
    }

    /// Time in which the requests arrived that are to be told now.
    pub fn untold_for(&self, now: Instant) -> Duration {
        self.told_until.or(self.answered).map_or(Duration::ZERO, |at| now.saturating_duration_since(at))
    }

    /// What is to be told now. It counts as told until it is answered or restored.
    pub fn begin_report(&mut self, now: Instant) -> Vec<(String, Usage)> {
        self.reported = Some(now);
        let mut report = Vec::new();
        for (name, of_tenant) in &mut self.tenants {
            let untold = std::mem::take(&mut of_tenant.untold);
            of_tenant.told = untold;
            if !untold.is_empty() {
                report.push((name.to_string(), untold));
            }
        }
        report
    }

    /// Takes back a report that was not answered: it is told again, and counted twice where the
    /// head took it.
    pub fn restore_report(&mut self) {
        for of_tenant in self.tenants.values_mut() {
            let told = std::mem::take(&mut of_tenant.told);
            of_tenant.untold.add(told);
        }
    }

    /// The last report was taken, but says nothing of what may pass.
    pub fn forget_report(&mut self) {
        self.told_until = self.reported.take();
        for of_tenant in self.tenants.values_mut() {
            of_tenant.told = Usage::default();
        }
    }

    /// Takes the answer to the last report.
    pub fn take_answer(&mut self, answer: &UsageAnswer, now: Instant) {
        self.answered = Some(now);
        self.was_answered = true;
        self.told_until = self.reported.take();
        let pass = |pass: f32| f64::from(pass).clamp(0.0, 1.0);
        self.passes = answer.passes.iter().map(|(name, share)| (name.clone(), pass(*share))).collect();
        for (name, of_tenant) in &mut self.tenants {
            let told = std::mem::take(&mut of_tenant.told);
            of_tenant.usual += USUAL_WEIGHT * (f64::from(told.offered) - of_tenant.usual);
            // A head that begins may not know yet of a tenant that another one held back.
            let most = RISE * of_tenant.pass + LEAST_RISE;
            of_tenant.pass = self.passes.get(&**name).copied().unwrap_or(1.0).min(most);
        }
    }

    /// Time since a head last answered; `None` before the first request.
    pub fn answer_age(&self, now: Instant) -> Option<Duration> {
        self.answered.map(|at| now.saturating_duration_since(at))
    }

    /// Share of the tenant's requests that may pass.
    pub fn pass(&self, tenant: &str) -> f64 {
        self.passes.get(tenant).copied().unwrap_or(1.0)
    }

    /// Forgets tenants that are no longer there.
    pub fn retain(&mut self, is_there: impl Fn(&str) -> bool) {
        self.tenants.retain(|name, _| is_there(name));
    }
}
