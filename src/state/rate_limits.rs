//! Rate limits of targets in this instance: what it tells, hears, and passes on as the head of a
//! hall.
//!
//! Owns what it knows as a head. The rule is in [`crate::decision::capacity::rate_limit`]; the tasks
//! of [`crate::sync::limits`] carry what instances tell each other.

use super::Instance;
use crate::clock::Instant;
use crate::decision::capacity::rate_limit::totals::{
    LimitTotals, MAX_TARGETS_PER_MESSAGE, limit_from_message, limit_to_message,
};
use crate::decision::registry::target::Target;
use crate::model::rate_limits::{LimitAnswer, LimitReport, StartKey, TargetDemand, TargetShare};
use crate::platform::Platform;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use tokio::sync::Notify;

/// Rate limits of targets.
#[derive(Debug, Default)]
pub struct RateLimits {
    /// As the head of a hall.
    totals: RefCell<LimitTotals>,
    report_due: Notify,
}

impl RateLimits {
    /// Completes once a report should not wait.
    pub async fn report_due(&self) {
        self.report_due.notified().await;
    }

    /// Whether this instance is the head of its hall and has something to tell the others.
    pub fn forwards(&self) -> bool {
        self.totals.borrow().should_forward(Instant::now())
    }

    /// Notes that the head of another hall answered.
    pub fn hear_hall(&self, hall: &str) {
        self.totals.borrow_mut().record_hall_contact(hall, Instant::now());
    }

    /// Has a report made at once.
    pub fn report_now(&self) {
        self.report_due.notify_one();
    }
}

impl<P: Platform> Instance<P> {
    /// Whether a target has a limit or leaves.
    pub fn knows_limits(&self) -> bool {
        let now = Instant::now();
        self.routing.borrow().targets().any(|target| target.rate_limit(now).is_some() || target.is_leaving())
    }

    /// Works out the equal parts of all limits again; gives whether there is something to tell.
    pub fn update_limits(&self) -> bool {
        let (now, settings, routing) = (Instant::now(), self.settings(), self.routing.borrow());
        let limited: Vec<&Rc<Target>> = routing.targets().filter(|target| target.rate_limit(now).is_some()).collect();
        for target in &limited {
            target.update_equal_limit_share(&settings.name, routing.members.names(), now);
        }
        self.metrics.limited_targets.set(limited.len() as i64);
        !limited.is_empty()
            || routing.targets().any(|target| target.has_recent_limit_signal(now) || target.is_leaving())
    }

    /// What the head of the own hall is told.
    pub fn limit_report(&self) -> LimitReport {
        let (now, settings) = (Instant::now(), self.settings());
        let demand = |target: &Rc<Target>| {
            let leaves = target.is_leaving();
            let (said, demand) = target.take_limit_report(now).or(leaves.then_some((None, 0.0)))?;
            let told = said.and_then(|said| limit_to_message(said, now));
            Some(TargetDemand { target: target.start_key, told, demand: demand as f32, leaves })
        };
        let routing = self.routing.borrow();
        LimitReport {
            from: settings.name.clone(),
            hall: settings.hall.to_string(),
            is_forwarded: false,
            targets: routing.targets().filter_map(demand).take(MAX_TARGETS_PER_MESSAGE).collect(),
        }
    }

    /// What the heads of other halls are told.
    pub fn forwarded_limits(&self) -> LimitReport {
        let settings = self.settings();
        LimitReport {
            from: settings.name.clone(),
            hall: settings.hall.to_string(),
            is_forwarded: true,
            targets: self.rate_limits.totals.borrow().demands_to_forward(Instant::now()),
        }
    }

    /// Takes a report as the head of a hall, and gives the answer to it.
    pub fn take_limits(&self, report: &LimitReport) -> LimitAnswer {
        let (now, settings, routing) = (Instant::now(), self.settings(), self.routing.borrow());
        let mut totals = self.rate_limits.totals.borrow_mut();
        totals.record_report(report, &settings.hall, now);
        if report.is_forwarded {
            return LimitAnswer::default();
        }
        LimitAnswer { shares: totals.shares(&report.targets, &routing.members, &settings.hall, now) }
    }

    /// Takes the shares that a head answered.
    pub fn hear_shares(&self, answer: &LimitAnswer) {
        let now = Instant::now();
        let by_target: HashMap<StartKey, &TargetShare> =
            answer.shares.iter().map(|share| (share.target, share)).collect();
        for target in self.routing.borrow().targets() {
            let Some(share) = by_target.get(&target.start_key) else { continue };
            if share.leaves && target.mark_leaving() {
                tracing::info!(event = "target_leaving", id = &*target.id, hall = &*target.hall, from = "instances");
            }
            if let Some(said) = share.told.and_then(|told| limit_from_message(told, now))
                && let Some(rate) = target.record_remote_limit(said, now)
            {
                tracing::info!(
                    event = "target_limit",
                    id = &*target.id,
                    hall = &*target.hall,
                    rate,
                    from = "instances"
                );
            }
            if share.pass.is_finite() {
                target.set_limit_admit_ratio(share.pass.into(), rand::random(), now);
            }
        }
    }

    /// Has a report made at once where a target got or lost its limit, or far more than usual comes
    /// for it.
    pub fn follow_limit(&self, target: &Target, had_limit: bool) {
        let now = Instant::now();
        if had_limit != target.rate_limit(now).is_some() || target.has_demand_surge(now) {
            self.rate_limits.report_now();
        }
    }
}
