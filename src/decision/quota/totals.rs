//! Totals of all tenants, as the head of a hall knows them: a window a tenant, whom it hears from,
//! and what other halls lack.
//!
//! **Inputs**
//! - Reports of instances of the own hall and of other halls' heads, 0.2 to 0.5 s old.
//! - The members; as old as the view.
//!
//! **Why.** Instances that are not heard from admit their equal parts by themselves; the rate is
//! reduced by these parts, so that both together keep the quota. A member that is dead counts as one
//! that is not heard from, until its lease ends.
//!
//! An instance that has not been told anything for a while begins anew: what it knew says nothing of
//! the time in which another was head.
//!
//! **Guards** the promises of [`super::tenant_window`]. **Test**: `tests/quotas.rs`,
//! `tests/quota_replay.rs`.

use crate::clock::Instant;
use crate::decision::quota::outboxes::Outboxes;
use crate::decision::quota::tenant_window::{SharedQuota, TenantWindow};
use crate::decision::registry::members::Members;
use crate::model::config::{Quota, Tenants};
use crate::model::usage::{Usage, UsageAnswer, UsageReport};
use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

/// Time without a report after which an instance or a hall counts as not heard from: twice the time
/// between two reports of a head, and some work. Where one is late, a part of the quota lies idle for a moment.
const SILENT_AFTER: Duration = Duration::from_millis(800);
/// Time for which a head that begins takes all others for heard from: two silent calls to a dead head
/// before it, and the time between two reports. What it answers itself meanwhile does not count where
/// it hears from no other.
const BEGIN_FOR: Duration = Duration::from_millis(1_200);
/// Time without any report after which what was known is forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(2);
/// Longest time before it was told anything for which a head credits a tenant's rate: requests that
/// no other head took, since it had died.
const MAX_CREDIT: Duration = Duration::from_secs(1);
/// Time for which it is not worked out again who is heard from.
const FLEET_AGE: Duration = Duration::from_millis(100);
/// Part of the operators' slack that is used (no unit): the rest is left for what is let through
/// before word of it comes.
const SLACK_USED: f64 = 0.5;
/// Requests of a tenant from which another hall is told at once: so many seconds of the hall's part
/// of its rate, and at least [`LEAST_URGENT`]. At their quota, callers send 0.4 s of it between two
/// reports.
const URGENT: f64 = 0.5;
/// See [`URGENT`].
const LEAST_URGENT: f64 = 4.0;

/// This instance, as others know it.
#[derive(Clone, Copy, Debug)]
pub struct Place<'a> {
    /// Its name.
    pub name: &'a str,
    /// Its hall.
    pub hall: &'a str,
}

/// What all instances may do: the tenants' quotas and who there is.
#[derive(Clone, Copy, Debug)]
pub struct Rules<'a> {
    /// Tenants of the configuration in force.
    pub tenants: &'a Tenants,
    /// The members in the view.
    pub members: &'a Members,
    /// The operators' window.
    pub window: Duration,
    /// The operators' slack in a window, requests.
    pub slack: f64,
    /// This instance.
    pub own: Place<'a>,
}

/// What a head knows.
#[derive(Debug, Default)]
pub struct Totals {
    windows: HashMap<String, TenantWindow>,
    /// When an instance of the own hall, by name, last told something.
    members_heard: HashMap<String, Instant>,
    /// When another hall last told something.
    halls_heard: HashMap<String, Instant>,
    outboxes: Outboxes,
    began: Option<Instant>,
    /// Since when it knows all that was let through.
    known_since: Option<Instant>,
    last: Option<Instant>,
    fleet: Option<FleetNow>,
}

/// Who there is and who is heard from, worked out now and then.
#[derive(Debug)]
struct FleetNow {
    /// Part of the instances that are heard from, 0 to 1.
    part: f64,
    /// The other halls.
    halls: Vec<String>,
    /// Those that are not heard from.
    silent_halls: Vec<String>,
    at: Instant,
}

impl Totals {
    /// Takes a report, and gives the answer to it.
    pub fn take(&mut self, report: &UsageReport, rules: Rules<'_>, now: Instant) -> UsageAnswer {
        let over = Duration::from_millis(report.over_ms.into());
        self.begin(over, now);
        let is_of_hall = report.hall == rules.own.hall;
        match is_of_hall {
            true => self.members_heard.insert(report.from.clone(), now),
            false => self.halls_heard.insert(report.hall.clone(), now),
        };
        let part = self.fleet(rules, now).part;
        for (name, usage) in &report.tenants {
            let Some(shared) = shared(name, rules, part) else { continue };
            if !self.windows.contains_key(name) {
                self.windows.insert(name.clone(), TenantWindow::of_hall(rules.own.hall, now));
            }
            if let Some(window) = self.windows.get_mut(name) {
                window.record(&report.hall, *usage, over, shared, now);
            }
        }
        if is_of_hall && !report.is_forwarded {
            self.keep_for_others(&report.tenants, now);
        }
        self.answer(rules, now)
    }

    /// The shares that may pass now.
    pub fn answer(&mut self, rules: Rules<'_>, now: Instant) -> UsageAnswer {
        let part = self.fleet(rules, now).part;
        let known_for = self.known_since.map_or(Duration::ZERO, |since| now.saturating_duration_since(since));
        let silent = self.fleet.as_ref().map_or(&[][..], |fleet| &fleet.silent_halls);
        let is_heard = |hall: &str| !silent.iter().any(|silent| silent == hall);
        let mut passes = Vec::new();
        for (name, window) in &mut self.windows {
            let Some(shared) = shared(name, rules, part) else { continue };
            let pass = window.pass(shared, is_heard, known_for, now);
            if pass < 1.0 {
                passes.push((name.clone(), pass as f32));
            }
        }
        UsageAnswer { passes, ..UsageAnswer::default() }
    }

    /// Whether this instance was told something lately, so that it is some instances' head.
    pub fn is_head(&self, now: Instant) -> bool {
        self.last.is_some_and(|last| now.saturating_duration_since(last) < FORGET_AFTER)
    }

    /// Whether this instance is not the only one that it knows of, but heard from no other: it may be
    /// cut off from them.
    pub fn is_alone(&self, rules: Rules<'_>, now: Instant) -> bool {
        rules.members.recent_count(now) > 1 && !self.hears_others(rules.own)
    }

    fn hears_others(&self, own: Place<'_>) -> bool {
        self.members_heard.keys().any(|name| *name != *own.name) || !self.halls_heard.is_empty()
    }

    /// Takes out what a hall has to be told, and the time in which it arrived.
    pub fn begin_forward(&mut self, hall: &str, now: Instant) -> (Vec<(String, Usage)>, Duration) {
        self.outboxes.take(hall, now)
    }

    /// Puts back what a hall was not told.
    pub fn restore_forward(&mut self, hall: &str, tenants: Vec<(String, Usage)>, now: Instant) {
        self.outboxes.keep(hall, &tenants, now);
    }

    /// Whether this head began so lately that what it answers rests on little.
    fn begins(&self) -> bool {
        self.began.zip(self.last).is_some_and(|(began, last)| last.saturating_duration_since(began) < BEGIN_FOR)
    }

    /// Whether a hall lacks so much of a tenant that it should be told at once; all that was told to a
    /// head that begins is.
    pub fn is_urgent(&self, rules: Rules<'_>) -> bool {
        let halls = self.fleet.as_ref().map_or(1, |fleet| fleet.halls.len() + 1);
        self.outboxes.is_first_due()
            || (self.begins() && !self.outboxes.is_empty())
            || self.outboxes.any(|name, usage| {
                let much = |rate: f64| (URGENT * rate / halls as f64).max(LEAST_URGENT);
                quota(name, rules).is_some_and(|quota| f64::from(usage.offered) >= much(quota.rate))
            })
    }

    /// Forgets tenants that are no longer there.
    pub fn retain(&mut self, is_there: impl Fn(&str) -> bool) {
        self.windows.retain(|name, _| is_there(name));
    }

    /// The window of a tenant, where something was told of it.
    pub fn window(&self, tenant: &str) -> Option<&TenantWindow> {
        self.windows.get(tenant)
    }

    /// Begins anew where nothing was told for a while. The first report covers `over`, which no other
    /// head was told of.
    fn begin(&mut self, over: Duration, now: Instant) {
        if !self.is_head(now) {
            let known_since = now.checked_sub(over.min(MAX_CREDIT)).or(Some(now));
            *self = Self { began: Some(now), known_since, ..Self::default() };
        }
        self.last = Some(now);
    }

    fn keep_for_others(&mut self, tenants: &[(String, Usage)], now: Instant) {
        let halls = self.fleet.as_ref().map_or_else(Vec::new, |fleet| fleet.halls.clone());
        for hall in halls {
            self.outboxes.keep(&hall, tenants, now);
        }
    }

    /// Who is heard from. At first all count as heard from.
    fn fleet(&mut self, rules: Rules<'_>, now: Instant) -> &FleetNow {
        let is_fresh = |fleet: &FleetNow| now.saturating_duration_since(fleet.at) < FLEET_AGE;
        if !self.fleet.as_ref().is_some_and(is_fresh) {
            self.members_heard.retain(|_, at| now.saturating_duration_since(*at) < SILENT_AFTER);
            self.halls_heard.retain(|_, at| now.saturating_duration_since(*at) < SILENT_AFTER);
            self.fleet = Some(self.look_at_fleet(rules, now));
        }
        self.fleet.as_ref().expect("it was worked out")
    }

    fn look_at_fleet(&self, rules: Rules<'_>, now: Instant) -> FleetNow {
        let all = rules.members.recent_count(now).max(1);
        let heard = rules.members.iter().filter(|(name, member)| self.hears(name, &member.hall, rules, now)).count();
        // Members that are gone lately may live, and admit their parts.
        let part = heard as f64 / all as f64;
        let others = rules.members.iter().map(|(_, member)| &member.hall).filter(|hall| **hall != *rules.own.hall);
        let halls: BTreeSet<&String> = others.collect();
        let halls: Vec<String> = halls.into_iter().cloned().collect();
        let silent_halls = halls.iter().filter(|hall| !self.hears("", hall, rules, now)).cloned().collect();
        FleetNow { part, halls, silent_halls, at: now }
    }

    fn hears(&self, name: &str, hall: &str, rules: Rules<'_>, now: Instant) -> bool {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < SILENT_AFTER;
        let begins = self.began.is_none_or(|began| now.saturating_duration_since(began) < BEGIN_FOR);
        if name == rules.own.name || begins {
            return true;
        }
        let heard = match hall == rules.own.hall {
            true => self.members_heard.get(name),
            false => self.halls_heard.get(hall),
        };
        heard.copied().is_some_and(is_recent)
    }
}

fn quota(name: &str, rules: Rules<'_>) -> Option<Quota> {
    rules.tenants.find_by_name(name)?.quota
}

fn shared(name: &str, rules: Rules<'_>, part: f64) -> Option<SharedQuota> {
    Some(SharedQuota { quota: quota(name, rules)?, window: rules.window, slack: SLACK_USED * rules.slack, part })
}
