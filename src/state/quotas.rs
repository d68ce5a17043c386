//! Quotas of tenants at this instance: its own usage, and the totals that it keeps as the head of a
//! hall.
//!
//! Owns both, and signals when a report is due. The rules are in [`crate::decision::quota`]; the
//! tasks of [`crate::sync::usage`] exchange the reports between instances.

use super::Instance;
use crate::clock::Instant;
use crate::decision::quota::equal_share::FleetSize;
use crate::decision::quota::history::{UncountedUsage, UsageHistory};
use crate::decision::quota::local_usage::{Admission, LocalUsage};
use crate::decision::quota::tenant_window::AdmitRatio;
use crate::decision::quota::totals::{InstanceIdentity, QuotaContext, UsageTotals};
use crate::model::config::{Tenant, Tenants};
use crate::model::usage::{Usage, UsageAnswer, UsageReport};
use crate::platform::Platform;
use std::cell::{Cell, Ref, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::Notify;

/// Minimum time between two log lines on the tenant that this instance limits most as a head.
const LIMIT_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Usage of the tenants' quotas.
#[derive(Debug, Default)]
pub struct Quotas {
    local_usage: RefCell<LocalUsage>,
    totals: RefCell<UsageTotals>,
    /// This instance's usage that heads of its hall have counted.
    history: RefCell<UsageHistory>,
    /// The own hall's usage that heads of other halls have counted, by hall.
    forward_histories: RefCell<HashMap<String, UsageHistory>>,
    /// Whether a tenant of the configuration in force has a quota.
    has_quotas: Cell<bool>,
    report_due: Notify,
    forward_due: Notify,
    /// When the log last had a line on a tenant that this instance limits as a head.
    limit_logged_at: Cell<Option<Instant>>,
}

impl Quotas {
    /// Whether a tenant of the configuration in force has a quota.
    pub fn has_quotas(&self) -> bool {
        self.has_quotas.get()
    }

    /// Whether this instance recorded reports as a head recently; these may be its own reports only.
    pub fn is_head(&self) -> bool {
        self.totals.borrow().is_head(Instant::now())
    }

    /// Completes once a report should be sent at once.
    pub async fn report_due(&self) {
        self.report_due.notified().await;
    }

    /// Completes once a report to other halls should be sent at once.
    pub async fn forward_due(&self) {
        self.forward_due.notified().await;
    }

    /// Starts a report: the unreported usage of this instance by tenant, and the period in which the
    /// requests arrived.
    pub fn begin_report(&self) -> (Vec<(String, Usage)>, Duration) {
        let (mut usage, now) = (self.local_usage.borrow_mut(), Instant::now());
        let period = usage.unreported_for(now);
        (usage.begin_report(now), period)
    }

    /// This instance's usage within the window that `head` has not counted, though another head has.
    pub fn uncounted_by(&self, head: SocketAddr, window: Duration) -> Option<UncountedUsage> {
        self.history.borrow_mut().uncounted_by(head, window, Instant::now())
    }

    /// Records that `head` has counted the usage that it had not.
    pub fn set_counted_by(&self, head: SocketAddr) {
        self.history.borrow_mut().set_counted_by(head);
    }

    /// Records usage of the last `period` that `head` has counted.
    pub fn record_counted(&self, tenants: &[(String, Usage)], period: Duration, head: SocketAddr, window: Duration) {
        self.history.borrow_mut().record(tenants, period, head, window, Instant::now());
    }

    /// Runs `access` on the own hall's usage that heads of another hall have counted.
    pub fn with_forward_history<T>(&self, hall: &str, access: impl FnOnce(&mut UsageHistory) -> T) -> T {
        access(self.forward_histories.borrow_mut().entry(hall.to_owned()).or_default())
    }

    /// Records the answer of another hall's head.
    pub fn record_forward_answer(&self, hall: &str, answer: &UsageAnswer) {
        self.totals.borrow_mut().record_forward_answer(hall, answer, Instant::now());
    }

    /// Completes a report that was counted, but whose answer is not to be used.
    pub fn forget_report(&self) {
        self.local_usage.borrow_mut().forget_report();
    }

    /// Restores the usage of a report that was not answered.
    pub fn restore_report(&self) {
        self.local_usage.borrow_mut().restore_report();
    }

    /// Applies the head's answer to a report of usage.
    pub fn apply_answer(&self, answer: &UsageAnswer) {
        self.local_usage.borrow_mut().apply_answer(answer, Instant::now());
    }

    /// Starts a report to another hall: takes the own hall's usage by tenant that is still to be sent
    /// to it, and returns it with the time since the first of it was added.
    pub fn begin_forward(&self, hall: &str) -> (Vec<(String, Usage)>, Duration) {
        self.totals.borrow_mut().begin_forward(hall, Instant::now())
    }

    /// Restores the usage of a report that another hall did not answer.
    pub fn restore_forward(&self, hall: &str, tenants: Vec<(String, Usage)>) {
        self.totals.borrow_mut().restore_forward(hall, tenants, Instant::now());
    }

    /// Withdraws the count of an admitted request that no target executed.
    pub fn release(&self, tenant: &Tenant) {
        if tenant.quota.is_some() {
            self.local_usage.borrow_mut().release(&tenant.name);
        }
    }

    /// Usage of this instance, for operators.
    pub fn local_usage(&self) -> Ref<'_, LocalUsage> {
        self.local_usage.borrow()
    }

    /// The totals that this instance keeps as a head, for operators.
    pub fn totals(&self) -> Ref<'_, UsageTotals> {
        self.totals.borrow()
    }

    /// Logs which tenant the totals limit most, at most once every `LIMIT_LOG_INTERVAL`.
    fn log_limit(&self, totals: &UsageTotals, now: Instant) {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < LIMIT_LOG_INTERVAL;
        if self.limit_logged_at.get().is_some_and(is_recent) {
            return;
        }
        let Some((tenant, window)) = totals.most_limited() else { return };
        self.limit_logged_at.set(Some(now));
        let used: Vec<String> = window.used_by_hall().map(|(hall, count)| format!("{hall}: {count}")).collect();
        let AdmitRatio { ratio, max_requests, unknown, unreported, demand } = window.last_ratio();
        tracing::info!(
            event = "quota_limits",
            tenant,
            ratio,
            max_requests,
            used = used.join(", "),
            unknown,
            unreported,
            demand,
            unreachable = totals.unreachable_halls().collect::<Vec<_>>().join(", "),
        );
    }

    /// Adopts the tenants of a configuration that comes into force; drops the usage of others.
    pub(super) fn set_tenants(&self, tenants: &Tenants) {
        self.has_quotas.set(tenants.iter().any(|tenant| tenant.quota.is_some()));
        let has_quota = |name: &str| tenants.find_by_name(name).is_some_and(|tenant| tenant.quota.is_some());
        self.local_usage.borrow_mut().retain(has_quota);
        self.totals.borrow_mut().retain(has_quota);
    }
}

impl<P: Platform> Instance<P> {
    /// Admits or refuses a request according to its tenant's quota.
    pub fn admit(&self, tenant: &Tenant) -> Admission {
        let Some(quota) = tenant.quota else { return Admission::Admitted };
        let fleet = self.fleet_size();
        let mut usage = self.quotas.local_usage.borrow_mut();
        let admission = usage.admit(&tenant.name, quota, fleet, rand::random(), Instant::now());
        self.metrics.count_quota(&tenant.name, admission == Admission::Admitted);
        if usage.has_surge(&tenant.name) {
            self.quotas.report_due.notify_one();
        }
        admission
    }

    /// The number of instances among which the quotas are divided.
    pub fn fleet_size(&self) -> FleetSize {
        let members = &self.routing.borrow().members;
        FleetSize {
            members: members.recent_count(Instant::now()),
            is_member: members.contains_key(&self.settings.borrow().name),
        }
    }

    /// Records a report as the head of a hall, and returns the answer to it.
    pub fn record_usage_report(&self, report: &UsageReport) -> UsageAnswer {
        let answer = self.with_totals(|totals, context| totals.record_report(report, context, Instant::now()));
        UsageAnswer { loads: self.record_shared_loads(report), ..answer.unwrap_or_default() }
    }

    /// Records this instance's own report as the head of its hall. Returns `None` before the first
    /// configuration. Also returns `None` if there are other members but none has reported to this
    /// instance recently: the answer would then be that of an isolated instance.
    pub fn record_own_usage_report(&self, report: &UsageReport) -> Option<UsageAnswer> {
        let answer = self.with_totals(|totals, context| {
            let answer = totals.record_report(report, context, Instant::now());
            (!totals.is_isolated(context, Instant::now())).then_some(answer)
        })?;
        Some(UsageAnswer { loads: self.record_shared_loads(report), ..answer? })
    }

    /// Updates the totals and returns the result of `update`; `None` before the first configuration.
    fn with_totals<T>(&self, update: impl FnOnce(&mut UsageTotals, QuotaContext<'_>) -> T) -> Option<T> {
        let (settings, routing) = (self.settings(), self.routing.borrow());
        let config = routing.config.as_ref()?;
        let context = QuotaContext {
            tenants: &config.tenants,
            members: &routing.members,
            window: settings.quota_window,
            slack: settings.quota_slack,
            own: InstanceIdentity { name: &settings.name, hall: &settings.hall },
        };
        let mut totals = self.quotas.totals.borrow_mut();
        let result = update(&mut totals, context);
        self.quotas.log_limit(&totals, Instant::now());
        if totals.is_forward_urgent(context) {
            self.quotas.forward_due.notify_one();
        }
        Some(result)
    }
}
