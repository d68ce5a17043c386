//! Quotas of tenants in this instance: its own requests, and what it knows as the head of a hall.
//!
//! Owns both, and who is to be told of what. The rules are in [`crate::decision::quota`]; the tasks
//! of [`crate::sync::usage`] exchange what they need.

use super::Instance;
use crate::clock::Instant;
use crate::decision::quota::equal_share::FleetSize;
use crate::decision::quota::local_usage::{Admission, LocalUsage};
use crate::decision::quota::totals::{InstanceIdentity, QuotaContext, UsageTotals};
use crate::model::config::{Tenant, Tenants};
use crate::model::usage::{Usage, UsageAnswer, UsageReport};
use crate::platform::Platform;
use std::cell::{Cell, Ref, RefCell};
use std::time::Duration;
use tokio::sync::Notify;

/// The quotas of tenants.
#[derive(Debug, Default)]
pub struct Quotas {
    own: RefCell<LocalUsage>,
    totals: RefCell<UsageTotals>,
    /// Whether a tenant of the configuration in force has a quota.
    is_needed: Cell<bool>,
    report_due: Notify,
    forward_due: Notify,
}

impl Quotas {
    /// Whether a tenant of the configuration in force has a quota.
    pub fn is_needed(&self) -> bool {
        self.is_needed.get()
    }

    /// Whether this instance was told something lately, so that it is some instances' head.
    pub fn is_head(&self) -> bool {
        self.totals.borrow().is_head(Instant::now())
    }

    /// Completes once a report should not wait.
    pub async fn report_due(&self) {
        self.report_due.notified().await;
    }

    /// Completes once other halls should be told at once.
    pub async fn forward_due(&self) {
        self.forward_due.notified().await;
    }

    /// What is to be told of the own requests, and the time in which they arrived.
    pub fn begin_report(&self) -> (Vec<(String, Usage)>, Duration) {
        let (mut own, now) = (self.own.borrow_mut(), Instant::now());
        let over = own.unreported_for(now);
        (own.begin_report(now), over)
    }

    /// The last report was taken, but says nothing of what may pass.
    pub fn forget_report(&self) {
        self.own.borrow_mut().forget_report();
    }

    /// Takes back a report that was not answered.
    pub fn restore_report(&self) {
        self.own.borrow_mut().restore_report();
    }

    /// Takes a head's answer to what it was told of tenants.
    pub fn take_answer(&self, answer: &UsageAnswer) {
        self.own.borrow_mut().take_answer(answer, Instant::now());
    }

    /// What a hall has to be told, and the time in which it arrived.
    pub fn begin_forward(&self, hall: &str) -> (Vec<(String, Usage)>, Duration) {
        self.totals.borrow_mut().begin_forward(hall, Instant::now())
    }

    /// Puts back what a hall was not told.
    pub fn restore_forward(&self, hall: &str, tenants: Vec<(String, Usage)>) {
        self.totals.borrow_mut().restore_forward(hall, tenants, Instant::now());
    }

    /// A request that was admitted was run by no target.
    pub fn release(&self, tenant: &Tenant) {
        if tenant.quota.is_some() {
            self.own.borrow_mut().release(&tenant.name);
        }
    }

    /// The own requests, for operators.
    pub fn own(&self) -> Ref<'_, LocalUsage> {
        self.own.borrow()
    }

    /// What this instance knows as a head, for operators.
    pub fn totals(&self) -> Ref<'_, UsageTotals> {
        self.totals.borrow()
    }

    /// Follows the tenants of a configuration that comes into force.
    pub(super) fn follow(&self, tenants: &Tenants) {
        self.is_needed.set(tenants.iter().any(|tenant| tenant.quota.is_some()));
        let has_quota = |name: &str| tenants.find(name).is_some_and(|tenant| tenant.quota.is_some());
        self.own.borrow_mut().retain(has_quota);
        self.totals.borrow_mut().retain(has_quota);
    }
}

impl<P: Platform> Instance<P> {
    /// Admits or refuses a request by its tenant's quota.
    pub fn admit(&self, tenant: &Tenant) -> Admission {
        let Some(quota) = tenant.quota else { return Admission::Admitted };
        let fleet = self.fleet_size();
        let mut own = self.quotas.own.borrow_mut();
        let admission = own.admit(&tenant.name, quota, fleet, rand::random(), Instant::now());
        self.metrics.count_quota(&tenant.name, admission == Admission::Admitted);
        if own.has_surge(&tenant.name) {
            self.quotas.report_due.notify_one();
        }
        admission
    }

    /// Who shares the quotas.
    pub fn fleet_size(&self) -> FleetSize {
        let members = &self.routing.borrow().members;
        FleetSize {
            members: members.recent_count(Instant::now()),
            is_member: members.contains_key(&self.settings.borrow().name),
        }
    }

    /// Takes a report as the head of a hall, and gives the answer to it.
    pub fn record_usage_report(&self, report: &UsageReport) -> UsageAnswer {
        let answer = self.with_totals(|totals, rules| totals.record_report(report, rules, Instant::now()));
        UsageAnswer { loads: self.record_shared_loads(report), ..answer.unwrap_or_default() }
    }

    /// Takes the own report as the head of the own hall; `None` where no other instance is heard
    /// from, so that the answer would be that of one that is cut off.
    pub fn record_own_usage_report(&self, report: &UsageReport) -> Option<UsageAnswer> {
        let answer = self.with_totals(|totals, rules| {
            let answer = totals.record_report(report, rules, Instant::now());
            (!totals.is_isolated(rules, Instant::now())).then_some(answer)
        })?;
        Some(UsageAnswer { loads: self.record_shared_loads(report), ..answer? })
    }

    /// Changes the totals; `None` before the first configuration.
    fn with_totals<T>(&self, change: impl FnOnce(&mut UsageTotals, QuotaContext<'_>) -> T) -> Option<T> {
        let (settings, routing) = (self.settings(), self.routing.borrow());
        let config = routing.config.as_ref()?;
        let rules = QuotaContext {
            tenants: &config.tenants,
            members: &routing.members,
            window: settings.quota_window,
            slack: settings.quota_slack,
            own: InstanceIdentity { name: &settings.name, hall: &settings.hall },
        };
        let mut totals = self.quotas.totals.borrow_mut();
        let changed = change(&mut totals, rules);
        if totals.is_forward_urgent(rules) {
            self.quotas.forward_due.notify_one();
        }
        Some(changed)
    }
}
