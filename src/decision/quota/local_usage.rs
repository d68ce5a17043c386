//! Admission by quota: an instance admits a tenant's requests, evenly spaced, at the ratio that the
//! head of its hall returned in its last answer. It admits only its equal share of the quota
//! ([`super::equal_share`]) while the answer is too old. Once it has used up the tenant's allowance,
//! which limits the requests admitted since the last answered report was started, it admits that share
//! without the burst.
//!
//! **Inputs**
//! - Admit ratios by tenant, from the last answer of a head; up to `MAX_ANSWER_AGE` (1 s) old. All
//!   requests of a tenant that the answer does not name are admitted.
//! - Requests of each tenant that arrived here since the last answered report was started, and how many
//!   of them were admitted; counted at once.
//! - The quota, from the configuration in force, and the number of instances; as old as the view.
//!
//! **Why.** When a tenant suddenly sends a multiple of its usual requests, the head has to know before
//! the burst is used up. Unreported requests are therefore reported at once when they reach a
//! threshold: twice the usual number, and at least 2. Until an answer arrives, the allowance is five
//! times the threshold, and at least 8, or less if the tenant's ratio is below 1 or no head has
//! answered yet.
//!
//! **Guards** the promises that a tenant's requests stay within its quota, and that a request is
//! refused immediately instead of being held. **Test**: `tests/quotas.rs`, `tests/quota_replay.rs`.

use crate::clock::Instant;
use crate::decision::quota::REPORT_INTERVAL;
use crate::decision::quota::equal_share::{EqualShare, FleetSize};
use crate::decision::quota::usual_rate::UsualRate;
use crate::model::config::Quota;
use crate::model::usage::{Usage, UsageAnswer};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

/// Age of an answer up to which its ratios apply: five times the report interval, so that one lost
/// report and the change to another head have no effect.
pub const MAX_ANSWER_AGE: Duration = Duration::from_secs(1);
/// Minimum number of a tenant's unreported requests from which they are reported at once, however few are
/// usual: with a lower one, most reports of small tenants would be sent at once.
const MIN_SURGE_REQUESTS: f64 = 2.0;
/// Factor on a tenant's usual requests between two reports from which its requests are reported at once.
const SURGE_FACTOR: f64 = 2.0;
/// Part of the tenant's burst, divided by the number of instances, by which a tenant's allowance exceeds its
/// usual requests (no unit). All instances may use it up at the same moment, and a tenant that sends less
/// than its rate has the whole burst left.
const BURST_FRACTION: f64 = 0.5;
/// Factor on the usual requests in the allowance (no unit).
const USUAL_FACTOR: f64 = 1.25;
/// Standard deviations by which the allowance exceeds the mean of the usual requests.
const USUAL_DEVIATIONS: f64 = 3.0;
/// Minimum allowance: requests of small tenants sometimes arrive in pairs.
const MIN_ALLOWANCE: f64 = 2.0;
/// Minimum time between two renewals of the allowances, just below the report interval. Reports that are sent
/// at once do not renew them: the head does not know by then what others have admitted.
const MIN_RENEWAL_TIME: Duration = Duration::from_millis(180);
/// Time after the first answer in which usual rates are not known.
const LEARNING_TIME: Duration = Duration::from_secs(2);
/// The allowance during [`LEARNING_TIME`], as a multiple of the number of requests from which they are
/// reported at once; at least [`MIN_LEARNING_ALLOWANCE`].
const LEARNING_FACTOR: f64 = 5.0;
/// See [`LEARNING_FACTOR`].
const MIN_LEARNING_ALLOWANCE: f64 = 8.0;
/// The allowance of a tenant with an admit ratio below 1, as a multiple of that ratio and of the number of
/// requests from which they are reported at once: the quota is used up, and every other instance may admit
/// as many requests too.
const REDUCED_ALLOWANCE_FACTOR: f64 = 1.0;
/// See [`REDUCED_ALLOWANCE_FACTOR`].
const MIN_REDUCED_ALLOWANCE: f64 = 1.0;
/// A tenant's allowance until a head answers this instance's first report: all instances may be starting,
/// and none of them knows what was admitted before.
const INITIAL_ALLOWANCE: f64 = 3.0;
/// Maximum to which a tenant's admit ratio rises with one answer: this factor times the last ratio,
/// plus [`RATIO_RISE_STEP`] (no unit). From 0 it reaches 1 after five answers, which take a second.
const RATIO_RISE_FACTOR: f64 = 1.5;
/// See [`RATIO_RISE_FACTOR`].
const RATIO_RISE_STEP: f64 = 0.1;
/// Weight of the last answered report in the average number of requests in a report (no unit).
const SMOOTHING_FACTOR: f64 = 0.3;

/// Decision on a request by its tenant's quota.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The request may be sent to a target.
    Admitted,
    /// The tenant's quota is used up; the request is refused.
    Refused,
}

/// One tenant's requests at this instance.
#[derive(Debug)]
struct TenantUsage {
    /// Requests that are in no report to a head yet.
    unreported: Usage,
    /// Requests in a report that is not answered yet.
    in_report: Usage,
    /// Requests admitted in reports that were answered since the allowance was renewed.
    reported: i32,
    /// Average number of requests in an answered report.
    average_offered: f64,
    usual_rate: UsualRate,
    /// Part of the requests that is admitted, 0 to 1: the last answered ratio, as far as the bound on its
    /// rise allows.
    admit_ratio: f64,
    /// Fraction of a request carried over from earlier ones, below 1.
    credit: f64,
    equal_share: EqualShare,
}

impl TenantUsage {
    /// `credit` is random, so that instances do not admit their first requests at the same moment.
    fn new(admit_ratio: f64, credit: f64, observed: Duration) -> Self {
        Self {
            unreported: Usage::default(),
            in_report: Usage::default(),
            reported: 0,
            average_offered: 0.0,
            usual_rate: UsualRate::none_for(observed),
            admit_ratio,
            credit,
            equal_share: EqualShare::default(),
        }
    }

    /// Number of unreported requests from which they are reported at once.
    fn surge_threshold(&self) -> f64 {
        (SURGE_FACTOR * self.average_offered).max(MIN_SURGE_REQUESTS)
    }

    fn has_surge(&self) -> bool {
        f64::from(self.unreported.offered) >= self.surge_threshold()
    }

    /// Whether the allowance is used up: as many requests were admitted as may be before the next answer.
    /// They were counted since the allowance was last renewed, `allowance_age` ago.
    fn has_used_allowance(&self, phase: Phase, quota: Quota, fleet: FleetSize, allowance_age: Duration) -> bool {
        let admitted = self.unreported.admitted.saturating_add(self.in_report.admitted).saturating_add(self.reported);
        let share = BURST_FRACTION * quota.burst / fleet.instances();
        let usual = self.usual_rate.per_second() * allowance_age.max(REPORT_INTERVAL).as_secs_f64();
        let usual = USUAL_FACTOR * usual + USUAL_DEVIATIONS * usual.sqrt() + 1.0;
        let allowance = match (phase, self.admit_ratio < 1.0) {
            (Phase::Unanswered, _) => INITIAL_ALLOWANCE,
            (_, true) => {
                (REDUCED_ALLOWANCE_FACTOR * self.admit_ratio * self.surge_threshold()).max(MIN_REDUCED_ALLOWANCE)
            }
            (Phase::Learning, false) => (LEARNING_FACTOR * self.surge_threshold()).max(MIN_LEARNING_ALLOWANCE),
            (Phase::Usual, false) => (share + usual).round().max(MIN_ALLOWANCE),
        };
        f64::from(admitted) >= allowance
    }

    /// Adds the admit ratio to the credit. Returns whether that makes a whole request, which is then admitted
    /// and deducted.
    fn take_credit(&mut self) -> bool {
        self.credit += self.admit_ratio;
        let is_admitted = self.credit >= 1.0;
        if is_admitted {
            self.credit -= 1.0;
        }
        is_admitted
    }
}

/// What this instance knows of its tenants' usual rates.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// No head has answered yet.
    Unanswered,
    /// A head first answered less than `LEARNING_TIME` ago.
    Learning,
    /// The usual rates are known; that of a tenant without requests is 0.
    Usual,
}

/// All tenants' requests at this instance, and the ratios at which they are admitted.
#[derive(Debug, Default)]
pub struct LocalUsage {
    tenants: HashMap<Rc<str>, TenantUsage>,
    /// The ratios of the last answer, including those of tenants without a request here so far.
    answered_ratios: HashMap<String, f64>,
    /// Start of the last report that was answered, or that was counted although its answer is not used.
    /// Requests that arrived later are not reported yet.
    reported_until: Option<Instant>,
    /// When the report was started that is not answered yet.
    report_started_at: Option<Instant>,
    /// Start of the report whose answer last renewed the allowances.
    allowance_since: Option<Instant>,
    /// When the allowances were last renewed.
    renewed_at: Option<Instant>,
    /// When a head first answered.
    first_answered_at: Option<Instant>,
    /// When a head last answered; before the first answer, the time of the first request.
    answered_at: Option<Instant>,
}

impl LocalUsage {
    /// Admits or refuses a request of a tenant, and counts it. `random` is a random number from 0 to 1.
    pub fn admit(&mut self, tenant: &Rc<str>, quota: Quota, fleet: FleetSize, random: f64, now: Instant) -> Admission {
        let answered_at = *self.answered_at.get_or_insert(now);
        let is_answered = now.saturating_duration_since(answered_at) < MAX_ANSWER_AGE;
        let phase = self.phase(now);
        let since = self.allowance_since.unwrap_or(answered_at);
        let allowance_age = now.saturating_duration_since(since);
        let answered_ratios = &self.answered_ratios;
        let observed = self.first_answered_at.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        let new = || TenantUsage::new(answered_ratios.get(&**tenant).copied().unwrap_or(1.0), random, observed);
        let usage = self.tenants.entry(tenant.clone()).or_insert_with(new);
        usage.unreported.offered = usage.unreported.offered.saturating_add(1);
        let is_admitted = match (is_answered, usage.has_used_allowance(phase, quota, fleet, allowance_age)) {
            (true, false) => {
                if phase == Phase::Usual {
                    usage.equal_share.drain(now);
                }
                usage.take_credit()
            }
            // The burst is only for an instance without a current answer: with one, all others may admit as
            // many requests at the same moment.
            (true, true) => usage.equal_share.try_take(Quota { burst: 0.0, ..quota }, fleet, now),
            (false, _) => usage.equal_share.try_take(quota, fleet, now),
        };
        if !is_admitted {
            return Admission::Refused;
        }
        usage.unreported.admitted = usage.unreported.admitted.saturating_add(1);
        Admission::Admitted
    }

    fn phase(&self, now: Instant) -> Phase {
        match self.first_answered_at.map(|at| now.saturating_duration_since(at)) {
            None => Phase::Unanswered,
            Some(elapsed) if elapsed < LEARNING_TIME => Phase::Learning,
            Some(_) => Phase::Usual,
        }
    }

    /// Withdraws the count of an admitted request that no target ran.
    pub fn release(&mut self, tenant: &str) {
        if let Some(usage) = self.tenants.get_mut(tenant) {
            usage.unreported.admitted = usage.unreported.admitted.saturating_sub(1);
        }
    }

    /// Whether the tenant's unreported requests are so many that they should be reported at once.
    pub fn has_surge(&self, tenant: &str) -> bool {
        self.tenants.get(tenant).is_some_and(TenantUsage::has_surge)
    }

    /// Time in which the unreported requests arrived; 0 before the first request.
    pub fn unreported_for(&self, now: Instant) -> Duration {
        self.reported_until.or(self.answered_at).map_or(Duration::ZERO, |at| now.saturating_duration_since(at))
    }

    /// Starts a report: returns the unreported usage by tenant, which is in the report until
    /// [`Self::apply_answer`], [`Self::forget_report`] or [`Self::restore_report`] is called.
    pub fn begin_report(&mut self, now: Instant) -> Vec<(String, Usage)> {
        self.report_started_at = Some(now);
        let mut report = Vec::new();
        for (name, usage) in &mut self.tenants {
            let unreported = std::mem::take(&mut usage.unreported);
            usage.in_report = unreported;
            if !unreported.is_empty() {
                report.push((name.to_string(), unreported));
            }
        }
        report
    }

    /// Adds the usage of a report that was not answered to the next one. It is counted twice if the
    /// head had received the report.
    pub fn restore_report(&mut self) {
        for usage in self.tenants.values_mut() {
            let in_report = std::mem::take(&mut usage.in_report);
            usage.unreported.add(in_report);
        }
    }

    /// Completes a report that was counted but whose answer is not to be used: the ratios stay as they
    /// were, and the last answer ages.
    pub fn forget_report(&mut self) {
        self.reported_until = self.report_started_at.take();
        for usage in self.tenants.values_mut() {
            usage.in_report = Usage::default();
        }
    }

    /// Applies the answer to the last report.
    pub fn apply_answer(&mut self, answer: &UsageAnswer, now: Instant) {
        let previous = self.reported_until.or(self.answered_at);
        self.answered_at = Some(now);
        self.first_answered_at.get_or_insert(now);
        self.reported_until = self.report_started_at.take();
        let period = self
            .reported_until
            .zip(previous)
            .map_or(Duration::ZERO, |(until, from)| until.saturating_duration_since(from));
        let clamped = |ratio: f32| f64::from(ratio).clamp(0.0, 1.0);
        self.answered_ratios =
            answer.admit_ratios.iter().map(|(name, ratio)| (name.clone(), clamped(*ratio))).collect();
        let is_due = self.renewed_at.is_none_or(|at| now.saturating_duration_since(at) >= MIN_RENEWAL_TIME);
        let is_renewed = is_due || self.phase(now) != Phase::Usual;
        if is_renewed {
            self.renewed_at = Some(now);
            self.allowance_since = self.reported_until;
        }
        for (name, usage) in &mut self.tenants {
            let in_report = std::mem::take(&mut usage.in_report);
            usage.reported = if is_renewed { 0 } else { usage.reported.saturating_add(in_report.admitted) };
            usage.average_offered += SMOOTHING_FACTOR * (f64::from(in_report.offered) - usage.average_offered);
            usage.usual_rate.record(in_report.offered, period, now);
            // A new head may not know yet of a tenant whose ratio its predecessor had reduced.
            let max_ratio = RATIO_RISE_FACTOR * usage.admit_ratio + RATIO_RISE_STEP;
            usage.admit_ratio = self.answered_ratios.get(&**name).copied().unwrap_or(1.0).min(max_ratio);
        }
    }

    /// Time since a head last answered, or since the first request before the first answer; `None` before
    /// the first request.
    pub fn answer_age(&self, now: Instant) -> Option<Duration> {
        self.answered_at.map(|at| now.saturating_duration_since(at))
    }

    /// Part of the tenant's requests that the last answer admits, 0 to 1; 1 if it does not name the
    /// tenant.
    pub fn answered_ratio(&self, tenant: &str) -> f64 {
        self.answered_ratios.get(tenant).copied().unwrap_or(1.0)
    }

    /// Removes the usage of tenants that no longer have a quota.
    pub fn retain(&mut self, has_quota: impl Fn(&str) -> bool) {
        self.tenants.retain(|name, _| has_quota(name));
    }
}
