//! Demand of all instances for targets with a limit, as the head of a hall aggregates it, and the
//! admit ratios that follow from it.
//!
//! **Inputs**
//! - Reports of the own hall's instances and of other halls' heads: 0.05 to 0.5 s old, dropped after
//!   `MAX_DEMAND_AGE` (1 s).
//! - The members; as old as the view.
//!
//! **Why.** With one admit ratio for all, each instance sends in proportion to its demand, so that the
//! limit is used wherever callers come in. A new demand replaces the previous one, so that a lost or
//! duplicate report changes nothing. Unreachable halls, those without a recent report or answer,
//! keep their part of the limit for themselves.
//!
//! A message has room for `MAX_TARGETS_PER_MESSAGE` (128) targets. Where there are more, such as when a
//! tenth of a large fleet's targets is leaving, consecutive messages contain them in turn. A head knows at
//! most `MAX_TARGETS` (4,096); it counts the demands that it leaves out.
//!
//! **Guards** the promise that all instances together stay within a target's limit and use it.
//! **Test**: `tests/rate_limits.rs`, `tests/rate_limit_replay.rs`.

use super::known_limit::{AnnouncedLimit, MAX_LIMIT_AGE};
use super::{MIN_RATE, REPORT_INTERVAL};
use crate::clock::Instant;
use crate::decision::registry::members::Members;
use crate::model::rate_limits::{AnnouncedRate, LimitReport, StartKey, TargetAdmitRatio, TargetDemand};
use std::collections::{BTreeMap, HashMap};
use std::ops::Bound;
use std::time::Duration;

/// Age up to which a demand, or the last contact with a hall, counts; it allows for some lost
/// reports.
const MAX_DEMAND_AGE: Duration = Duration::from_secs(1);
/// Time for which a target counts as leaving after it was last reported as leaving.
const MAX_LEAVING_AGE: Duration = Duration::from_secs(5);
/// Maximum number of targets in one message.
pub const MAX_TARGETS_PER_MESSAGE: usize = 128;
/// Maximum number of targets that a head keeps totals of; bounds the memory, about 1 kB for each.
const MAX_TARGETS: usize = 4_096;

/// Demand of an instance or a hall, requests per second, and when it was reported.
#[derive(Clone, Copy, Debug)]
struct ReportedDemand {
    demand: f64,
    at: Instant,
}

/// Reports about one target.
#[derive(Debug, Default)]
struct TargetTotals {
    /// The limit that it last announced to any instance.
    limit: Option<AnnouncedLimit>,
    /// The limit that it last announced to an instance of the own hall.
    own_hall_limit: Option<AnnouncedLimit>,
    /// When it was last reported as leaving.
    leaving_at: Option<Instant>,
    /// When an instance of the own hall last reported it as leaving.
    own_hall_leaving_at: Option<Instant>,
    /// Demands by instance of the own hall.
    instances: HashMap<String, ReportedDemand>,
    /// Demands by other hall.
    halls: HashMap<String, ReportedDemand>,
}

/// What a head knows about the demand for one target with a limit, for the log.
#[derive(Clone, Debug)]
pub struct TotalsSummary {
    /// Target at one start and address.
    pub target: StartKey,
    /// Its limit, requests per second.
    pub rate: f64,
    /// Time since the target last announced it to any instance.
    pub announced_age: Duration,
    /// Demand of all instances that counts, requests per second.
    pub demand: f64,
    /// Demand of the own hall's instances, requests per second.
    pub own_hall: f64,
    /// Number of these instances.
    pub instances: usize,
    /// Demand by other hall, requests per second, and the age of the report.
    pub halls: Vec<(String, f64, Duration)>,
    /// Share of the requests that may be sent, 0 to 1.
    pub admit_ratio: f32,
    /// Fraction of the members that are in reachable halls, 0 to 1.
    pub reachable_fraction: f64,
}

/// What the head of a hall knows about targets with a limit.
#[derive(Debug, Default)]
pub struct LimitTotals {
    targets: BTreeMap<StartKey, TargetTotals>,
    /// When another hall's head last sent a report or an answer.
    halls: HashMap<String, Instant>,
    /// When an instance of the own hall last sent a report.
    own_hall_reported_at: Option<Instant>,
    /// The last target in the last message to other halls.
    last_forwarded: Option<StartKey>,
    /// When the first report arrived; the turns of the targets in answers are counted from then.
    first_report_at: Option<Instant>,
}

impl LimitTotals {
    /// Records a report of an instance of the own hall, or of another hall's head. Returns the number of
    /// targets that were left out, since the head knows too many others.
    pub fn record_report(&mut self, report: &LimitReport, own_hall: &str, now: Instant) -> usize {
        self.remove_expired(now);
        self.first_report_at.get_or_insert(now);
        let is_own_hall = report.hall == own_hall && !report.is_forwarded;
        if is_own_hall {
            self.own_hall_reported_at = Some(now);
        } else {
            self.record_hall_contact(&report.hall, now);
        }
        let mut left_out = report.targets.len().saturating_sub(MAX_TARGETS_PER_MESSAGE);
        for demand in report.targets.iter().take(MAX_TARGETS_PER_MESSAGE) {
            if self.targets.len() >= MAX_TARGETS && !self.targets.contains_key(&demand.target) {
                left_out += 1;
                continue;
            }
            let totals = self.targets.entry(demand.target).or_default();
            totals.record(demand, report, is_own_hall, now);
        }
        left_out
    }

    /// Records that the head of another hall sent a report or an answer.
    pub fn record_hall_contact(&mut self, hall: &str, now: Instant) {
        self.halls.insert(hall.to_owned(), now);
    }

    /// The answer to a report of an instance of the own hall: the admit ratios of at most
    /// [`MAX_TARGETS_PER_MESSAGE`] targets, those in `reported` first, then others in turn. A report that
    /// the head of another hall forwarded gets no admit ratios in answer.
    pub fn target_admit_ratios(
        &self,
        reported: &[TargetDemand],
        members: &Members,
        own_hall: &str,
        now: Instant,
    ) -> Vec<TargetAdmitRatio> {
        let reachable_fraction = self.reachable_fraction(members, own_hall, now);
        let target_admit_ratio =
            |(target, totals): (&StartKey, &TargetTotals)| totals.target_admit_ratio(*target, reachable_fraction, now);
        let is_reported = |target: &StartKey| reported.iter().any(|demand| demand.target == *target);
        let first = reported.iter().filter_map(|demand| self.targets.get_key_value(&demand.target));
        let room = MAX_TARGETS_PER_MESSAGE.saturating_sub(reported.len());
        let start = self.turn(now) * room % self.targets.len().max(1);
        let in_turn = self.targets.iter().skip(start).chain(self.targets.iter().take(start));
        let others = in_turn.filter(|(target, _)| !is_reported(target));
        first.chain(others).filter_map(target_admit_ratio).take(MAX_TARGETS_PER_MESSAGE).collect()
    }

    /// Number of report intervals since the first report. An instance that reports in each of them gets
    /// consecutive parts of the targets.
    fn turn(&self, now: Instant) -> usize {
        let elapsed = self.first_report_at.map_or(Duration::ZERO, |first| now.saturating_duration_since(first));
        (elapsed.as_millis() / REPORT_INTERVAL.as_millis()) as usize
    }

    /// The targets to report to other halls, in turn: the demand of the own hall, and what targets
    /// announced to its instances.
    pub fn demands_to_forward(&mut self, now: Instant) -> Vec<TargetDemand> {
        let demand = |(target, totals): (&StartKey, &TargetTotals)| TargetDemand {
            target: *target,
            announced: totals.own_hall_limit.and_then(|limit| limit_to_message(limit, now)),
            demand: total_demand(&totals.instances, now) as f32,
            // Reports of other halls are not sent back to them: halls would keep them alive forever.
            is_leaving: counts_as_leaving(totals.own_hall_leaving_at, now),
        };
        let has_content =
            |demand: &TargetDemand| demand.announced.is_some() || demand.is_leaving || demand.demand > 0.0;
        let (before, after) = match self.last_forwarded {
            Some(last) => (self.targets.range(..=last), self.targets.range((Bound::Excluded(last), Bound::Unbounded))),
            None => (self.targets.range(..StartKey([0; 8])), self.targets.range(..)),
        };
        let in_turn = after.chain(before).map(demand).filter(has_content);
        let demands: Vec<TargetDemand> = in_turn.take(MAX_TARGETS_PER_MESSAGE).collect();
        self.last_forwarded = demands.last().map(|demand| demand.target);
        demands
    }

    /// Whether this instance is the head of its hall, since an instance of the hall reported to it
    /// recently, and knows targets to report to other halls.
    pub fn should_forward(&self, now: Instant) -> bool {
        self.own_hall_reported_at.is_some_and(|at| is_fresh(at, now)) && !self.targets.is_empty()
    }

    /// Whether the head of another hall sent a report or an answer recently.
    pub fn is_reachable(&self, hall: &str, now: Instant) -> bool {
        self.halls.get(hall).is_some_and(|at| is_fresh(*at, now))
    }

    /// The limit of a target, requests per second; `None` if none is known.
    pub fn rate(&self, target: StartKey, now: Instant) -> Option<f64> {
        self.targets.get(&target)?.limit.filter(|limit| limit.is_current(now))?.rate
    }

    /// Fraction of the members that are in reachable halls, which reported or answered recently, 0 to 1.
    pub fn reachable_fraction(&self, members: &Members, own_hall: &str, now: Instant) -> f64 {
        let is_reachable = |hall: &str| hall == own_hall || self.is_reachable(hall, now);
        let reachable = members.iter().filter(|(_, member)| is_reachable(&member.hall)).count();
        reachable.max(1) as f64 / members.recent_count(now).max(1) as f64
    }

    /// What is known about each target with a limit for which an instance of the own hall has demand.
    pub fn summaries(&self, members: &Members, own_hall: &str, now: Instant) -> Vec<TotalsSummary> {
        let reachable_fraction = self.reachable_fraction(members, own_hall, now);
        let summary = |(target, totals): (&StartKey, &TargetTotals)| {
            let limit = totals.limit.filter(|limit| limit.is_current(now))?;
            let age = |at: Instant| now.saturating_duration_since(at);
            let fresh = totals.halls.iter().filter(|(_, reported)| is_fresh(reported.at, now));
            let own_hall = total_demand(&totals.instances, now);
            Some(TotalsSummary {
                target: *target,
                rate: limit.rate?,
                announced_age: age(limit.at),
                demand: own_hall + total_demand(&totals.halls, now),
                own_hall,
                instances: totals.instances.values().filter(|reported| is_fresh(reported.at, now)).count(),
                halls: fresh.map(|(hall, reported)| (hall.clone(), reported.demand, age(reported.at))).collect(),
                admit_ratio: totals.target_admit_ratio(*target, reachable_fraction, now)?.admit_ratio,
                reachable_fraction,
            })
        };
        self.targets.iter().filter_map(summary).filter(|summary| summary.own_hall > 0.0).collect()
    }

    fn remove_expired(&mut self, now: Instant) {
        self.halls.retain(|_, at| is_fresh(*at, now));
        self.targets
            .retain(|_, totals| totals.limit.is_some_and(|limit| limit.is_current(now)) || totals.is_leaving(now));
    }
}

impl TargetTotals {
    fn record(&mut self, demand: &TargetDemand, report: &LimitReport, is_own_hall: bool, now: Instant) {
        if let Some(limit) = demand.announced.and_then(|announced| limit_from_message(announced, now)) {
            replace_if_older(&mut self.limit, limit);
            if is_own_hall {
                replace_if_older(&mut self.own_hall_limit, limit);
            }
        }
        if demand.is_leaving {
            self.leaving_at = Some(now);
            if is_own_hall {
                self.own_hall_leaving_at = Some(now);
            }
        }
        let (demands, from) = match is_own_hall {
            true => (&mut self.instances, &report.from),
            false => (&mut self.halls, &report.hall),
        };
        demands.retain(|_, reported| is_fresh(reported.at, now));
        let rate = f64::from(demand.demand);
        if rate.is_finite() && rate >= 0.0 {
            demands.insert(from.clone(), ReportedDemand { demand: rate, at: now });
        }
    }

    fn target_admit_ratio(&self, target: StartKey, reachable_fraction: f64, now: Instant) -> Option<TargetAdmitRatio> {
        let is_leaving = self.is_leaving(now);
        let announced = self.limit.and_then(|limit| limit_to_message(limit, now));
        if announced.is_none() && !is_leaving {
            return None;
        }
        let demand = total_demand(&self.instances, now) + total_demand(&self.halls, now);
        let rate = announced.and_then(|announced| announced.rate).map(f64::from);
        let max_rate = rate.map_or(f64::INFINITY, |rate| rate.max(MIN_RATE) * reachable_fraction.min(1.0));
        let admit_ratio = if demand <= max_rate { 1.0 } else { max_rate / demand };
        Some(TargetAdmitRatio { target, announced, is_leaving, admit_ratio: admit_ratio as f32 })
    }

    /// Whether any hall recently reported it as leaving.
    fn is_leaving(&self, now: Instant) -> bool {
        counts_as_leaving(self.leaving_at, now)
    }
}

/// Whether a target last reported as leaving at `reported_at` still counts as leaving.
fn counts_as_leaving(reported_at: Option<Instant>, now: Instant) -> bool {
    reported_at.is_some_and(|at| now.saturating_duration_since(at) < MAX_LEAVING_AGE)
}

fn replace_if_older(known: &mut Option<AnnouncedLimit>, limit: AnnouncedLimit) {
    if known.is_none_or(|known| known.at < limit.at) {
        *known = Some(limit);
    }
}

fn total_demand(demands: &HashMap<String, ReportedDemand>, now: Instant) -> f64 {
    demands.values().filter(|reported| is_fresh(reported.at, now)).map(|reported| reported.demand).sum()
}

fn is_fresh(at: Instant, now: Instant) -> bool {
    now.saturating_duration_since(at) < MAX_DEMAND_AGE
}

/// Converts a limit for a message; `None` if it is older than `MAX_LIMIT_AGE`.
pub fn limit_to_message(limit: AnnouncedLimit, now: Instant) -> Option<AnnouncedRate> {
    let age = now.saturating_duration_since(limit.at);
    let age_ms = u16::try_from(age.as_millis()).ok()?;
    (age < MAX_LIMIT_AGE).then_some(AnnouncedRate { rate: limit.rate.map(|rate| rate as f32), age_ms })
}

/// Converts a limit from a message; `None` if its rate is not a finite number of at least 0, or if
/// it is older than `MAX_LIMIT_AGE`.
pub fn limit_from_message(message: AnnouncedRate, now: Instant) -> Option<AnnouncedLimit> {
    let rate = message.rate.map(f64::from);
    let is_rate = rate.is_none_or(|rate| rate.is_finite() && rate >= 0.0);
    let at = now.checked_sub(Duration::from_millis(message.age_ms.into()))?;
    Some(AnnouncedLimit { rate, at }).filter(|limit| is_rate && limit.is_current(now))
}
