//! Rate limits of targets at this instance: the reports that it sends and receives, and forwards as
//! the head of a hall.
//!
//! Owns the totals that it keeps as a head. The rule is in
//! [`crate::decision::capacity::rate_limit`]; the tasks of [`crate::sync::limits`] exchange the
//! reports.

use super::Instance;
use crate::clock::Instant;
use crate::decision::capacity::rate_limit::totals::{
    LimitTotals, MAX_TARGETS_PER_MESSAGE, limit_from_message, limit_to_message,
};
use crate::decision::registry::target::Target;
use crate::model::rate_limits::{LimitAnswer, LimitReport, TargetDemand};
use crate::platform::Platform;
use std::cell::{Cell, Ref, RefCell};
use std::rc::Rc;
use tokio::sync::Notify;

/// Totals of targets' rate limits.
#[derive(Debug, Default)]
pub struct RateLimits {
    /// Kept as the head of a hall.
    totals: RefCell<LimitTotals>,
    /// Position of the first target in the next report, among the observed ones.
    next_reported: Cell<usize>,
    report_due: Notify,
}

impl RateLimits {
    /// Completes once a report should be sent at once.
    pub async fn report_due(&self) {
        self.report_due.notified().await;
    }

    /// Whether this instance is the head of its hall, and knows limits, demands or leaving targets to
    /// report to other halls.
    pub fn should_forward(&self) -> bool {
        self.totals.borrow().should_forward(Instant::now())
    }

    /// Records that the head of another hall answered.
    pub fn record_hall_contact(&self, hall: &str) {
        self.totals.borrow_mut().record_hall_contact(hall, Instant::now());
    }

    /// The totals that this instance keeps as a head.
    pub fn totals(&self) -> Ref<'_, LimitTotals> {
        self.totals.borrow()
    }

    /// Triggers a report at once.
    pub fn report_now(&self) {
        self.report_due.notify_one();
    }
}

impl<P: Platform> Instance<P> {
    /// Whether any target has a rate limit that was announced recently or has demand, or is leaving.
    pub fn has_limited_or_leaving_targets(&self) -> bool {
        let now = Instant::now();
        let is_reported = |target: &Rc<Target>| target.has_active_limit(now) || target.is_leaving();
        self.routing.borrow().observed_targets().iter().any(is_reported)
    }

    /// Whether any target has a rate limit.
    pub fn has_limited_targets(&self) -> bool {
        self.routing.borrow().observed_targets().iter().any(|target| target.rate_limit().is_some())
    }

    /// Recomputes the equal shares of all limits; returns whether there is anything to report.
    pub fn update_equal_limit_shares(&self) -> bool {
        let (now, settings, routing) = (Instant::now(), self.settings(), self.routing.borrow());
        let observed = routing.observed_targets();
        let limited: Vec<&Rc<Target>> = observed.iter().filter(|target| target.rate_limit().is_some()).collect();
        for target in &limited {
            target.update_equal_limit_share(&settings.name, routing.members.names());
        }
        self.metrics.limited_targets.set(limited.len() as i64);
        observed.iter().any(|target| target.has_active_limit(now) || target.is_leaving())
    }

    /// Takes the report to the head of this instance's hall; what it contains counts as reported. If there
    /// are more targets than a report has room for, consecutive reports contain them in turn.
    pub fn take_limit_report(&self) -> LimitReport {
        let (now, settings) = (Instant::now(), self.settings());
        let target_demand = |target: &Rc<Target>| {
            let is_leaving = target.is_leaving();
            let (announced, demand) = target.take_limit_report(now).or(is_leaving.then_some((None, 0.0)))?;
            let limit = announced.and_then(|limit| limit_to_message(limit, now));
            Some(TargetDemand { target: target.start_key, announced: limit, demand: demand as f32, is_leaving })
        };
        let routing = self.routing.borrow();
        let observed = routing.observed_targets();
        let start = self.rate_limits.next_reported.get().min(observed.len());
        let in_turn = (start..observed.len()).chain(0..start);
        let demands = in_turn.filter_map(|index| Some((index, target_demand(&observed[index])?)));
        let (indices, targets): (Vec<usize>, Vec<TargetDemand>) = demands.take(MAX_TARGETS_PER_MESSAGE).unzip();
        self.rate_limits.next_reported.set(indices.last().map_or(0, |last| last + 1));
        LimitReport { from: settings.name.clone(), hall: settings.hall.to_string(), is_forwarded: false, targets }
    }

    /// The report to the heads of other halls.
    pub fn limit_report_for_halls(&self) -> LimitReport {
        let settings = self.settings();
        LimitReport {
            from: settings.name.clone(),
            hall: settings.hall.to_string(),
            is_forwarded: true,
            targets: self.rate_limits.totals.borrow_mut().demands_to_forward(Instant::now()),
        }
    }

    /// Records a report as the head of a hall, and returns the answer to it.
    pub fn record_limit_report(&self, report: &LimitReport) -> LimitAnswer {
        let (now, settings, routing) = (Instant::now(), self.settings(), self.routing.borrow());
        let mut totals = self.rate_limits.totals.borrow_mut();
        let left_out = totals.record_report(report, &settings.hall, now);
        if left_out > 0 {
            self.metrics.limit_targets_left_out.inc_by(left_out as u64);
            tracing::warn!(event = "limit_targets_left_out", from = report.from, left_out);
        }
        if report.is_forwarded {
            return LimitAnswer::default();
        }
        LimitAnswer { targets: totals.target_admit_ratios(&report.targets, &routing.members, &settings.hall, now) }
    }

    /// Applies the answer of a head: admit ratios, and the limits and leaving targets that other
    /// instances reported.
    pub fn apply_limit_answer(&self, answer: &LimitAnswer) {
        let now = Instant::now();
        let routing = self.routing.borrow();
        for target_admit_ratio in &answer.targets {
            let Some(target) = routing.target_with_start_key(target_admit_ratio.target) else { continue };
            routing.observe(target);
            if target_admit_ratio.is_leaving && target.mark_leaving() {
                tracing::info!(event = "target_leaving", id = &*target.id, hall = &*target.hall, from = "instances");
            }
            if let Some(limit) = target_admit_ratio.announced.and_then(|announced| limit_from_message(announced, now))
                && let Some(rate) = target.record_remote_limit(limit, now)
            {
                tracing::info!(
                    event = "target_limit",
                    id = &*target.id,
                    hall = &*target.hall,
                    rate,
                    from = "instances"
                );
            }
            if target_admit_ratio.admit_ratio.is_finite() {
                target.set_limit_admit_ratio(target_admit_ratio.admit_ratio.into(), rand::random(), now);
            }
        }
    }

    /// Triggers a report at once if a target got or lost its limit, or its demand is far above the
    /// usual.
    pub fn report_limit_change(&self, target: &Target, had_limit: bool) {
        if had_limit != target.rate_limit().is_some() || target.has_demand_surge() {
            self.rate_limits.report_now();
        }
        self.ask_if_due(target);
    }
}
