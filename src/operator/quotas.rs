//! `GET /quotas`: the tenants with a quota, what this instance lets through of each, and what it
//! knows of all instances where it is the head of a hall.

use super::api::{HeadLine, QuotaLine};
use crate::clock::Instant;
use crate::platform::Platform;
use crate::state::Instance;

/// A line for each tenant with a quota, by name; none before the first configuration.
pub fn quotas<P: Platform>(instance: &Instance<P>) -> Vec<QuotaLine> {
    let routing = instance.routing.borrow();
    let Some(config) = &routing.config else { return Vec::new() };
    let settings = instance.settings();
    let (own, totals) = (instance.quotas.local_usage(), instance.quotas.totals());
    let now = Instant::now();
    let answer_age_ms = own.answer_age(now).map(|age| age.as_millis() as u64);
    let is_head = totals.is_head(now);
    let limited = config.tenants.iter().filter_map(|tenant| Some((tenant, tenant.quota?)));
    let mut lines: Vec<QuotaLine> = limited
        .map(|(tenant, quota)| QuotaLine {
            tenant: tenant.name.to_string(),
            rate: quota.rate,
            burst: quota.burst,
            window_s: settings.quota_window.as_secs_f64(),
            pass: own.answered_ratio(&tenant.name),
            part: quota.rate / instance.fleet_size().instances(),
            answer_age_ms,
            head: totals
                .window(&tenant.name)
                .filter(|_| is_head)
                .map(|window| HeadLine { used: window.used(|_| true), demand: window.demand() }),
        })
        .collect();
    lines.sort_by(|one, other| one.tenant.cmp(&other.tenant));
    lines
}
