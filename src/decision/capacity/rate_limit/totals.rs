//! The demand for targets with a limit over all instances, as the head of a hall knows it, and the
//! share of their requests that may be sent.
//!
//! **Inputs**
//! - Reports of the own hall's instances and of other halls' heads: 0.05 to 0.5 s old, dropped after
//!   `TOLD_FOR` (1 s).
//! - The members; as old as the view.
//!
//! **Why.** One share for all lets each instance send in proportion to what it has to send, so that
//! the limit is used wherever the callers come in. Demands replace each other: a report that is lost
//! or comes twice changes nothing. Halls that are not heard from keep their part of the limit for
//! themselves.
//!
//! **Guards** the promise that all instances together keep a target's limit and use it.
//! **Test**: `tests/rate_limits.rs`, `tests/rate_limit_replay.rs`.

use super::LEAST_RATE;
use super::known::{LIMIT_LIFE, Said};
use crate::clock::Instant;
use crate::decision::registry::members::Members;
use crate::model::rate_limits::{AnnouncedRate, LimitReport, StartKey, TargetDemand, TargetShare};
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

/// Age up to which a demand, or word of a hall, counts: some reports may be lost.
const TOLD_FOR: Duration = Duration::from_secs(1);
/// Time for which a target that leaves is told to others after an instance last told it.
const LEAVING_FOR: Duration = Duration::from_secs(5);
/// Targets that one message names at most.
pub const MAX_TOLD: usize = 128;
/// Targets that are known at most; it bounds the memory, some 1 kB each.
const MAX_KNOWN: usize = 4_096;

#[derive(Clone, Copy, Debug)]
struct Told {
    demand: f64,
    at: Instant,
}

/// What is known of one target.
#[derive(Debug, Default)]
struct TargetTotals {
    /// What it said last to any instance.
    said: Option<Said>,
    /// What it said last to an instance of the own hall.
    own_said: Option<Said>,
    /// When it was last told that the target leaves.
    leaving: Option<Instant>,
    /// When an instance of the own hall last told that.
    own_leaving: Option<Instant>,
    /// By instance of the own hall.
    instances: HashMap<String, Told>,
    /// By other hall.
    halls: HashMap<String, Told>,
}

/// What the head of a hall knows of targets with a limit.
#[derive(Debug, Default)]
pub struct LimitTotals {
    targets: BTreeMap<StartKey, TargetTotals>,
    /// When another hall's head last told something or answered.
    halls: HashMap<String, Instant>,
    /// When an instance of the own hall last told something.
    told: Option<Instant>,
}

impl LimitTotals {
    /// Takes in a report.
    pub fn take(&mut self, report: &LimitReport, own_hall: &str, now: Instant) {
        self.forget(now);
        let is_own = report.hall == own_hall && !report.is_forwarded;
        if is_own {
            self.told = Some(now);
        } else {
            self.hear_hall(&report.hall, now);
        }
        for demand in report.targets.iter().take(MAX_TOLD) {
            if self.targets.len() >= MAX_KNOWN && !self.targets.contains_key(&demand.target) {
                continue;
            }
            let totals = self.targets.entry(demand.target).or_default();
            totals.take(demand, report, is_own, now);
        }
    }

    /// Notes that the head of another hall told something or answered.
    pub fn hear_hall(&mut self, hall: &str, now: Instant) {
        self.halls.insert(hall.to_owned(), now);
    }

    /// The shares for an instance that told of the targets `asked`; these come first.
    pub fn shares(&self, asked: &[TargetDemand], members: &Members, own_hall: &str, now: Instant) -> Vec<TargetShare> {
        let part = self.part(members, own_hall, now);
        let of = |(target, totals): (&StartKey, &TargetTotals)| totals.share(*target, part, now);
        let is_asked = |target: &StartKey| asked.iter().any(|demand| demand.target == *target);
        let first = asked.iter().filter_map(|demand| self.targets.get_key_value(&demand.target));
        let others = self.targets.iter().filter(|(target, _)| !is_asked(target));
        first.chain(others).filter_map(of).take(MAX_TOLD).collect()
    }

    /// What other halls are told: the own hall's demands, and what its instances were told.
    pub fn forward(&self, now: Instant) -> Vec<TargetDemand> {
        let demand = |(target, totals): (&StartKey, &TargetTotals)| TargetDemand {
            target: *target,
            told: totals.own_said.and_then(|said| told_rate(said, now)),
            demand: sum(&totals.instances, now) as f32,
            // What other halls told is not told back to them: it would never be forgotten.
            leaves: is_told(totals.own_leaving, now),
        };
        let says_something = |demand: &TargetDemand| demand.told.is_some() || demand.leaves || demand.demand > 0.0;
        self.targets.iter().map(demand).filter(says_something).take(MAX_TOLD).collect()
    }

    /// Whether an instance of the own hall told something lately, so that this one is its head, and there
    /// is something to tell other halls.
    pub fn forwards(&self, now: Instant) -> bool {
        self.told.is_some_and(|at| is_fresh(at, now)) && !self.targets.is_empty()
    }

    /// Part of the members in halls that are heard from, 0 to 1.
    fn part(&self, members: &Members, own_hall: &str, now: Instant) -> f64 {
        let is_heard = |hall: &str| hall == own_hall || self.halls.get(hall).is_some_and(|at| is_fresh(*at, now));
        let heard = members.iter().filter(|(_, member)| is_heard(&member.hall)).count();
        heard.max(1) as f64 / members.recent_count(now).max(1) as f64
    }

    fn forget(&mut self, now: Instant) {
        self.halls.retain(|_, at| is_fresh(*at, now));
        self.targets.retain(|_, totals| totals.said.is_some_and(|said| said.counts(now)) || totals.leaves(now));
    }
}

impl TargetTotals {
    fn take(&mut self, demand: &TargetDemand, report: &LimitReport, is_own: bool, now: Instant) {
        if let Some(said) = demand.told.and_then(|told| said(told, now)) {
            replace(&mut self.said, said);
            if is_own {
                replace(&mut self.own_said, said);
            }
        }
        if demand.leaves {
            self.leaving = Some(now);
            if is_own {
                self.own_leaving = Some(now);
            }
        }
        let (told, from) = match is_own {
            true => (&mut self.instances, &report.from),
            false => (&mut self.halls, &report.hall),
        };
        told.retain(|_, told| is_fresh(told.at, now));
        let rate = f64::from(demand.demand);
        if rate.is_finite() && rate >= 0.0 {
            told.insert(from.clone(), Told { demand: rate, at: now });
        }
    }

    fn share(&self, target: StartKey, part: f64, now: Instant) -> Option<TargetShare> {
        let leaves = self.leaves(now);
        let told = self.said.and_then(|said| told_rate(said, now));
        if told.is_none() && !leaves {
            return None;
        }
        let demand = sum(&self.instances, now) + sum(&self.halls, now);
        let rate = told.and_then(|told| told.rate).map(f64::from);
        let most = rate.map_or(f64::INFINITY, |rate| rate.max(LEAST_RATE) * part.min(1.0));
        let pass = if demand <= most { 1.0 } else { most / demand };
        Some(TargetShare { target, told, leaves, pass: pass as f32 })
    }

    /// Whether it is known to leave.
    fn leaves(&self, now: Instant) -> bool {
        is_told(self.leaving, now)
    }
}

/// Whether that a target leaves was told lately.
fn is_told(leaving: Option<Instant>, now: Instant) -> bool {
    leaving.is_some_and(|at| now.saturating_duration_since(at) < LEAVING_FOR)
}

fn replace(known: &mut Option<Said>, said: Said) {
    if known.is_none_or(|known| known.at < said.at) {
        *known = Some(said);
    }
}

fn sum(told: &HashMap<String, Told>, now: Instant) -> f64 {
    told.values().filter(|told| is_fresh(told.at, now)).map(|told| told.demand).sum()
}

fn is_fresh(at: Instant, now: Instant) -> bool {
    now.saturating_duration_since(at) < TOLD_FOR
}

/// What was said, as a message tells it; `None` where it counts no longer.
pub fn told_rate(said: Said, now: Instant) -> Option<AnnouncedRate> {
    let age = now.saturating_duration_since(said.at);
    let age_ms = u16::try_from(age.as_millis()).ok()?;
    (age < LIMIT_LIFE).then_some(AnnouncedRate { rate: said.rate.map(|rate| rate as f32), age_ms })
}

/// What a message tells; `None` where it is no limit or counts no longer.
pub fn said(told: AnnouncedRate, now: Instant) -> Option<Said> {
    let rate = told.rate.map(f64::from);
    let is_rate = rate.is_none_or(|rate| rate.is_finite() && rate >= 0.0);
    let at = now.checked_sub(Duration::from_millis(told.age_ms.into()))?;
    Some(Said { rate, at }).filter(|said| is_rate && said.counts(now))
}
