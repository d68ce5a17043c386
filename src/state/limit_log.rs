//! Log lines and metrics on how targets' rate limits are applied: what this instance sent, and what it
//! knows as the head of a hall.
//!
//! Owns the bound on their volume. The values come from
//! [`crate::decision::capacity::rate_limit`].

use super::Instance;
use crate::clock::Instant;
use crate::decision::capacity::rate_limit::LimitUse;
use crate::decision::registry::target::Target;
use crate::platform::Platform;
use std::rc::Rc;
use std::time::Duration;

/// Maximum number of lines of each kind at a time; the targets with the most requests have them.
const MAX_LINES: usize = 8;

impl<P: Platform> Instance<P> {
    /// Logs how the limits of targets are applied, with the requests since the last call.
    pub fn log_limits(&self) {
        let now = Instant::now();
        self.log_limit_uses(now);
        self.log_limit_totals(now);
        self.log_accounts();
    }

    fn log_limit_uses(&self, now: Instant) {
        let routing = self.routing.borrow();
        let observed = routing.observed_targets();
        let mut uses: Vec<(&Rc<Target>, LimitUse)> =
            observed.iter().filter_map(|target| Some((target, target.take_limit_use(now)?))).collect();
        uses.sort_by_key(|(_, limit_use)| std::cmp::Reverse(limit_use.counts.offered));
        let left_out = uses.len().saturating_sub(MAX_LINES);
        self.metrics.equal_shares.set(uses.iter().filter(|(_, limit_use)| limit_use.is_equal_share).count() as i64);
        for (_, LimitUse { counts, .. }) in &uses {
            self.metrics.count_limit_use(counts);
        }
        for (target, limit_use) in uses.into_iter().take(MAX_LINES) {
            log_use(target, &limit_use, left_out);
        }
    }

    fn log_limit_totals(&self, now: Instant) {
        let (settings, routing) = (self.settings(), self.routing.borrow());
        let totals = self.rate_limits.totals();
        let mut summaries = totals.summaries(&routing.members, &settings.hall, now);
        summaries.sort_by(|one, other| other.demand.total_cmp(&one.demand));
        let left_out = summaries.len().saturating_sub(MAX_LINES);
        for summary in summaries.into_iter().take(MAX_LINES) {
            let by_hall: Vec<String> =
                summary.halls.iter().map(|(hall, demand, age)| format!("{hall}: {demand:.1} {}", ms(*age))).collect();
            tracing::info!(
                event = "limit_totals",
                id = routing.target_with_start_key(summary.target).map(|target| &*target.id),
                rate = summary.rate,
                announced_age_ms = ms(summary.announced_age),
                demand = summary.demand,
                own_hall = summary.own_hall,
                instances = summary.instances,
                halls = by_hall.join(", "),
                ratio = f64::from(summary.admit_ratio),
                reachable = summary.reachable_fraction,
                left_out,
            );
        }
    }

    fn log_accounts(&self) {
        let mut summaries = self.account_summaries();
        summaries.sort_by_key(|summary| std::cmp::Reverse((summary.unmet, summary.granted, summary.used)));
        let left_out = summaries.len().saturating_sub(MAX_LINES);
        let routing = self.routing.borrow();
        for summary in summaries.into_iter().take(MAX_LINES) {
            tracing::info!(
                event = "limit_account",
                id = routing.target_with_start_key(summary.target).map(|target| &*target.id),
                used = summary.used,
                left = summary.left,
                dealt = summary.dealt,
                unmet = summary.unmet,
                owner = summary.is_owner,
                grantable = summary.grantable,
                granted = summary.granted,
                left_out,
            );
        }
    }
}

fn log_use(target: &Target, limit_use: &LimitUse, left_out: usize) {
    let LimitUse { counts, .. } = limit_use;
    tracing::info!(
        event = "limit_use",
        id = &*target.id,
        hall = &*target.hall,
        rate = limit_use.rate,
        known_ms = ms(limit_use.known_for),
        announced_age_ms = ms(limit_use.announced_age),
        from = if limit_use.is_remote { "instances" } else { "target" },
        demand = limit_use.demand,
        reported = limit_use.reported_demand,
        ratio = limit_use.admit_ratio.map(|(ratio, _)| ratio),
        ratio_age_ms = limit_use.admit_ratio.map(|(_, age)| ms(age)),
        allowance = limit_use.allowance,
        equal_share = limit_use.is_equal_share,
        offered = counts.offered,
        limited = counts.limited,
        first = counts.first,
        second = counts.second,
        retry = counts.retry,
        forwarded = counts.forwarded,
        probe = counts.probe,
        left_out,
    );
}

fn ms(duration: Duration) -> u64 {
    duration.as_millis() as u64
}
