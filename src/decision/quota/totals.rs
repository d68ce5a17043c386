//! Usage of all tenants as the head of a hall aggregates it: a window for each tenant, which instances
//! and halls are reachable, and the usage that is still to be sent to other halls.
//!
//! **Inputs**
//! - Reports of instances of the own hall and of other halls' heads, 0.2 to 0.5 s old.
//! - The members; as old as the view.
//!
//! An instance or a hall is reachable while its last report is younger than `UNREACHABLE_AFTER`. This
//! instance is always reachable, and at a new head all are for `STARTUP_TIME`.
//!
//! **Why.** Instances that do not report admit their equal shares on their own; the rate that the head
//! grants is reduced by these shares, so that both together keep the quota. A dead member counts as
//! one that does not report until its lease ends.
//!
//! A hall that is no longer reachable keeps what it has reported in the window, and its equal share since
//! then is reserved. If not all instances are reachable, other halls' heads may know more: the lowest
//! ratio of their last answers applies. If less than half of the own hall reports to this instance, it may
//! not be the only head, and grants only the part of the instances that report.
//!
//! An instance that has received no report for a while starts with empty totals: its earlier ones
//! lack the time in which another instance was head.
//!
//! **Guards** the promises of [`super::tenant_window`]. **Test**: `tests/quotas.rs`,
//! `tests/quota_replay.rs`.

use crate::clock::Instant;
use crate::decision::quota::local_usage::MAX_ANSWER_AGE;
use crate::decision::quota::outboxes::Outboxes;
use crate::decision::quota::tenant_window::{TenantWindow, WindowLimit};
use crate::decision::registry::members::Members;
use crate::model::config::{Quota, Tenants};
use crate::model::usage::{Usage, UsageAnswer, UsageReport};
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

/// Time without a report after which an instance or a hall counts as unreachable: twice the time between
/// two reports of a head, plus some processing time. Its part of the quota is not granted then, and stays
/// unused if a report was merely late.
const UNREACHABLE_AFTER: Duration = Duration::from_millis(800);
/// Time for which a new head treats all others as reachable: two calls to its dead predecessor that time
/// out, one report interval, and a margin. Its answers to its own reports are not used while no other
/// instance reports to it ([`UsageTotals::is_isolated`]).
const STARTUP_TIME: Duration = Duration::from_millis(1_200);
/// Time without any report after which the totals are dropped.
const RESET_AFTER: Duration = Duration::from_secs(2);
/// Maximum part of the period that its first report covers for which a new head takes all admitted requests
/// as known: they are in that report, and no other head has counted them, since the previous one was dead.
const MAX_KNOWN_BEFORE_START: Duration = Duration::from_secs(1);
/// Time for which [`Reachability`] is not computed again.
const MAX_REACHABILITY_AGE: Duration = Duration::from_millis(100);
/// Part of the operators' slack that heads grant (no unit): the rest is left for requests admitted
/// before reports of them arrive.
const GRANTED_SLACK: f64 = 0.5;
/// Another hall is sent a report at once when a tenant's unsent requests reach the number that the
/// tenant's rate, divided by the number of halls, allows in this many seconds, but at least
/// [`MIN_URGENT_REQUESTS`]. A tenant that uses its whole quota stays below that: between two reports it
/// sends what its rate allows in 0.4 s.
const URGENT_SECONDS: f64 = 0.5;
/// See [`URGENT_SECONDS`].
const MIN_URGENT_REQUESTS: f64 = 4.0;

/// Name and hall of this instance.
#[derive(Clone, Copy, Debug)]
pub struct InstanceIdentity<'a> {
    /// Instance name, unique among the members.
    pub name: &'a str,
    /// Hall, from the settings.
    pub hall: &'a str,
}

/// Configuration and members on which a head's computations depend.
#[derive(Clone, Copy, Debug)]
pub struct QuotaContext<'a> {
    /// Tenants of the configuration in force.
    pub tenants: &'a Tenants,
    /// The members in the view.
    pub members: &'a Members,
    /// The operators' window.
    pub window: Duration,
    /// The operators' slack in a window, requests.
    pub slack: f64,
    /// This instance.
    pub own: InstanceIdentity<'a>,
}

/// Usage of all tenants, as the head of a hall aggregates it.
#[derive(Debug, Default)]
pub struct UsageTotals {
    windows: HashMap<String, TenantWindow>,
    /// When each instance of the own hall last reported, by name.
    member_reports: HashMap<String, Instant>,
    /// When each other hall last reported.
    hall_reports: HashMap<String, Instant>,
    /// Last answers of other halls' heads to reports of this one, by hall.
    remote_answers: HashMap<String, RemoteAnswer>,
    outboxes: Outboxes,
    /// When this instance became head.
    head_since: Option<Instant>,
    /// Time since which all admitted requests are known.
    complete_since: Option<Instant>,
    /// When the last report arrived.
    last_report_at: Option<Instant>,
    reachability: Option<Reachability>,
}

/// Ratios that the head of another hall admits.
#[derive(Debug)]
struct RemoteAnswer {
    admit_ratios: Vec<(String, f32)>,
    received_at: Instant,
}

impl RemoteAnswer {
    fn ratio(&self, tenant: &str) -> f64 {
        let ratio = self.admit_ratios.iter().find(|(name, _)| name == tenant).map(|(_, ratio)| *ratio);
        ratio.map_or(1.0, f64::from)
    }
}

/// Other halls, and which of them and of the instances are reachable.
#[derive(Debug)]
struct Reachability {
    /// Part of the instances of which reports within the window are known, 0 to 1: all but the members of the
    /// own hall that do not report, and those of halls that did not within the window.
    fraction: f64,
    /// Part of the instances that reports to this one, 0 to 1, if that is less than half of the own hall: the
    /// others may have another head, and each would grant what is left of the quota.
    minority: Option<f64>,
    /// Whether all instances are reachable.
    is_complete: bool,
    /// The other halls.
    other_halls: Vec<String>,
    /// Other halls that are not reachable.
    unreachable_halls: Vec<SilentHall>,
    computed_at: Instant,
}

/// A hall that is not reachable.
#[derive(Clone, Debug)]
struct SilentHall {
    name: String,
    /// Part of all instances that is in it, 0 to 1.
    fraction: f64,
    /// Its last report within the window.
    last_report: Option<Instant>,
}

impl SilentHall {
    /// Requests that its instances may have admitted since its last report, by their equal shares.
    fn reserved(&self, quota: Quota, now: Instant) -> f64 {
        let Some(last_report) = self.last_report else { return 0.0 };
        let age = now.saturating_duration_since(last_report).as_secs_f64();
        (quota.rate * age + quota.burst) * self.fraction
    }
}

impl UsageTotals {
    /// Counts a report, and returns the answer to it.
    pub fn record_report(&mut self, report: &UsageReport, context: QuotaContext<'_>, now: Instant) -> UsageAnswer {
        let period = Duration::from_millis(report.period_ms.into());
        self.reset_if_idle(period, now);
        let is_own_hall = report.hall == context.own.hall;
        match is_own_hall {
            true => self.member_reports.insert(report.from.clone(), now),
            false => self.hall_reports.insert(report.hall.clone(), now),
        };
        let fraction = self.reachability(context, now).fraction;
        for (name, usage) in &report.tenants {
            let Some(limit) = window_limit(name, context, fraction) else { continue };
            if !self.windows.contains_key(name) {
                self.windows.insert(name.clone(), TenantWindow::for_hall(context.own.hall, now));
            }
            if let Some(window) = self.windows.get_mut(name) {
                window.record(&report.hall, *usage, period, limit, now);
            }
        }
        if is_own_hall && !report.is_forwarded {
            self.add_for_other_halls(&report.tenants, now);
        }
        self.answer(context, now)
    }

    /// The ratios at which tenants' requests are to be admitted now.
    pub fn answer(&mut self, context: QuotaContext<'_>, now: Instant) -> UsageAnswer {
        let Reachability { fraction, minority, is_complete, .. } = *self.reachability(context, now);
        let known_for = self.complete_since.map_or(Duration::ZERO, |since| now.saturating_duration_since(since));
        let silent_halls = self.reachability.as_ref().map_or(&[][..], |reachability| &reachability.unreachable_halls);
        let is_unknown = |silent: &SilentHall| silent.last_report.is_none();
        let is_known = |hall: &str| match minority {
            Some(_) => hall == context.own.hall,
            None => !silent_halls.iter().any(|silent| silent.name == hall && is_unknown(silent)),
        };
        let is_current = |answer: &RemoteAnswer| now.saturating_duration_since(answer.received_at) < MAX_ANSWER_AGE;
        let remote_answers = self.remote_answers.values().filter(|answer| !is_complete && is_current(answer));
        let remote_answers: Vec<&RemoteAnswer> = remote_answers.collect();
        let mut admit_ratios = Vec::new();
        for (name, window) in &mut self.windows {
            let Some(limit) = window_limit(name, context, minority.unwrap_or(fraction)) else { continue };
            let reserved = match minority {
                Some(_) => 0.0,
                None => silent_halls.iter().map(|hall| hall.reserved(limit.quota, now)).sum(),
            };
            let remote = remote_answers.iter().map(|answer| answer.ratio(name)).fold(1.0, f64::min);
            let limit = WindowLimit { reserved, ..limit };
            let ratio = window.admit_ratio(limit, is_known, known_for, now).min(remote);
            if ratio < 1.0 {
                admit_ratios.push((name.clone(), ratio as f32));
            }
        }
        UsageAnswer { admit_ratios, ..UsageAnswer::default() }
    }

    /// Whether this instance received a report recently, so that it is the head of some instances.
    pub fn is_head(&self, now: Instant) -> bool {
        self.last_report_at.is_some_and(|last_report_at| now.saturating_duration_since(last_report_at) < RESET_AFTER)
    }

    /// Whether there were other members recently, but none reports to this instance: it may be cut off
    /// from them.
    pub fn is_isolated(&self, context: QuotaContext<'_>, now: Instant) -> bool {
        context.members.recent_count(now) > 1 && !self.has_other_reports(context.own)
    }

    fn has_other_reports(&self, own: InstanceIdentity<'_>) -> bool {
        self.member_reports.keys().any(|name| *name != *own.name) || !self.hall_reports.is_empty()
    }

    /// Removes and returns the usage to be sent to a hall, and the time since the first of it was added.
    pub fn begin_forward(&mut self, hall: &str, now: Instant) -> (Vec<(String, Usage)>, Duration) {
        self.outboxes.take(hall, now)
    }

    /// Puts back usage that could not be sent to a hall.
    pub fn restore_forward(&mut self, hall: &str, tenants: Vec<(String, Usage)>, now: Instant) {
        self.outboxes.add(hall, &tenants, now);
    }

    /// Records the answer of another hall's head to a report. If that hall does not report to this head, the
    /// other head knows what this one does not, and the lower ratio of the two applies.
    pub fn record_forward_answer(&mut self, hall: &str, answer: &UsageAnswer, now: Instant) {
        let answer = RemoteAnswer { admit_ratios: answer.admit_ratios.clone(), received_at: now };
        self.remote_answers.insert(hall.to_owned(), answer);
    }

    /// Whether this instance became head so recently that its answers rest on few reports.
    fn is_starting(&self) -> bool {
        self.head_since.zip(self.last_report_at).is_some_and(|(head_since, last_report_at)| {
            last_report_at.saturating_duration_since(head_since) < STARTUP_TIME
        })
    }

    /// Whether so many requests of a tenant are still to be reported to another hall that it should be
    /// sent a report at once. For a new head any usage is urgent.
    pub fn is_forward_urgent(&self, context: QuotaContext<'_>) -> bool {
        let halls = self.reachability.as_ref().map_or(1, |reachability| reachability.other_halls.len() + 1);
        self.outboxes.is_first_pending()
            || (self.is_starting() && !self.outboxes.is_empty())
            || self.outboxes.any(|name, usage| {
                let threshold = |rate: f64| (URGENT_SECONDS * rate / halls as f64).max(MIN_URGENT_REQUESTS);
                quota(name, context).is_some_and(|quota| f64::from(usage.offered) >= threshold(quota.rate))
            })
    }

    /// Removes the windows of tenants that no longer have a quota.
    pub fn retain(&mut self, has_quota: impl Fn(&str) -> bool) {
        self.windows.retain(|name, _| has_quota(name));
    }

    /// The window of a tenant; `None` if none of its requests were reported.
    pub fn window(&self, tenant: &str) -> Option<&TenantWindow> {
        self.windows.get(tenant)
    }

    /// The tenant with the lowest admit ratio, and its window; `None` if all requests are admitted.
    pub fn most_limited(&self) -> Option<(&str, &TenantWindow)> {
        let limited = self.windows.iter().filter(|(_, window)| window.last_ratio().ratio < 1.0);
        let lowest = limited.min_by(|(_, one), (_, other)| one.last_ratio().ratio.total_cmp(&other.last_ratio().ratio));
        lowest.map(|(name, window)| (name.as_str(), window))
    }

    /// Halls whose heads do not report.
    pub fn unreachable_halls(&self) -> impl Iterator<Item = &str> {
        let halls = self.reachability.as_ref().map_or(&[][..], |reachability| &reachability.unreachable_halls);
        halls.iter().map(|hall| hall.name.as_str())
    }

    /// Starts with empty totals after a time without reports. `period` is the one that the first report
    /// covers, whose requests no other head has counted.
    fn reset_if_idle(&mut self, period: Duration, now: Instant) {
        if !self.is_head(now) {
            let complete_since = now.checked_sub(period.min(MAX_KNOWN_BEFORE_START)).or(Some(now));
            *self = Self { head_since: Some(now), complete_since, ..Self::default() };
        }
        self.last_report_at = Some(now);
    }

    fn add_for_other_halls(&mut self, tenants: &[(String, Usage)], now: Instant) {
        let halls = self.reachability.as_ref().map_or_else(Vec::new, |reachability| reachability.other_halls.clone());
        for hall in halls {
            self.outboxes.add(&hall, tenants, now);
        }
    }

    /// Which halls and instances are reachable, computed at most every `MAX_REACHABILITY_AGE`. At first all
    /// count as reachable.
    fn reachability(&mut self, context: QuotaContext<'_>, now: Instant) -> &Reachability {
        let is_fresh = |reachability: &Reachability| {
            now.saturating_duration_since(reachability.computed_at) < MAX_REACHABILITY_AGE
        };
        if !self.reachability.as_ref().is_some_and(is_fresh) {
            self.member_reports.retain(|_, at| now.saturating_duration_since(*at) < UNREACHABLE_AFTER);
            self.hall_reports.retain(|_, at| now.saturating_duration_since(*at) < context.window);
            self.reachability = Some(self.compute_reachability(context, now));
        }
        self.reachability.as_ref().expect("computed above")
    }

    fn compute_reachability(&self, context: QuotaContext<'_>, now: Instant) -> Reachability {
        // Members whose registrations ended recently may still run, and admit their equal shares.
        let all = context.members.recent_count(now).max(1) as f64;
        let mut hall_sizes: BTreeMap<&String, usize> = BTreeMap::new();
        context.members.iter().for_each(|(_, member)| *hall_sizes.entry(&member.hall).or_default() += 1);
        hall_sizes.retain(|hall, _| **hall != *context.own.hall);
        let is_known = |name: &str, hall: &str| {
            self.is_reachable(name, hall, context, now) || self.hall_reports.contains_key(hall)
        };
        let known = context.members.iter().filter(|(name, member)| is_known(name, &member.hall)).count();
        let mut members = context.members.iter();
        Reachability {
            fraction: known as f64 / all,
            minority: self.minority(context, now),
            is_complete: members.all(|(name, member)| self.is_reachable(name, &member.hall, context, now)),
            other_halls: hall_sizes.keys().map(|hall| (*hall).clone()).collect(),
            unreachable_halls: self.silent_halls(&hall_sizes, context, now),
            computed_at: now,
        }
    }

    /// Part of all instances that reports to this one, if that is less than half of the own hall.
    fn minority(&self, context: QuotaContext<'_>, now: Instant) -> Option<f64> {
        let own_members = || context.members.iter().filter(|(_, member)| *member.hall == *context.own.hall);
        let reporting = own_members().filter(|(name, member)| self.is_reachable(name, &member.hall, context, now));
        let reporting = reporting.count();
        let all = context.members.recent_count(now).max(1) as f64;
        (2 * reporting < own_members().count()).then_some(reporting as f64 / all)
    }

    /// The other halls, by their numbers of instances, that are not reachable.
    fn silent_halls(
        &self,
        hall_sizes: &BTreeMap<&String, usize>,
        context: QuotaContext<'_>,
        now: Instant,
    ) -> Vec<SilentHall> {
        let all = context.members.recent_count(now).max(1) as f64;
        let silent = hall_sizes.iter().filter(|(hall, _)| !self.is_reachable("", hall, context, now));
        let to_silent = |(hall, size): (&&String, &usize)| SilentHall {
            name: (*hall).clone(),
            fraction: *size as f64 / all,
            last_report: self.hall_reports.get(*hall).copied(),
        };
        silent.map(to_silent).collect()
    }

    fn is_reachable(&self, name: &str, hall: &str, context: QuotaContext<'_>, now: Instant) -> bool {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < UNREACHABLE_AFTER;
        let is_starting =
            self.head_since.is_none_or(|head_since| now.saturating_duration_since(head_since) < STARTUP_TIME);
        if name == context.own.name || is_starting {
            return true;
        }
        let last_report = match hall == context.own.hall {
            true => self.member_reports.get(name),
            false => self.hall_reports.get(hall),
        };
        last_report.copied().is_some_and(is_recent)
    }
}

fn quota(name: &str, context: QuotaContext<'_>) -> Option<Quota> {
    context.tenants.find_by_name(name)?.quota
}

fn window_limit(name: &str, context: QuotaContext<'_>, reachable_fraction: f64) -> Option<WindowLimit> {
    Some(WindowLimit {
        quota: quota(name, context)?,
        window: context.window,
        slack: GRANTED_SLACK * context.slack,
        reachable_fraction,
        reserved: 0.0,
    })
}
