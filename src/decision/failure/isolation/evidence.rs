//! Failures since the last answer, and whether they show that the links have failed.
//!
//! Owns the targets that have failed, by what their failures show. Relies on [`FailureKind`] for that.

use super::failure::{Failure, FailureKind};
use super::{SILENCE, TargetSpread};
use crate::clock::Instant;
use crate::decision::registry::target_key::TargetKey;
use std::collections::HashSet;
use std::rc::Rc;
use std::time::Duration;

/// Targets that have to have failed, if there are as many.
pub(super) const MIN_TARGETS: usize = 3;
/// Halls in which they have to be, if targets are in as many.
pub(super) const MIN_HALLS: usize = 2;
/// Probes that have to have failed.
const MIN_PROBES: u32 = 2;
/// Targets whose failures are kept; more than the rule needs, for the log.
const MAX_FAILED: usize = 16;

/// Failures of some kinds: the targets, and how many probes were among them.
#[derive(Clone, Debug, Default)]
struct Failures {
    targets: Vec<(TargetKey, Rc<str>)>,
    probes: u32,
}

impl Failures {
    fn record(&mut self, failure: &Failure) {
        self.probes += u32::from(failure.is_probe);
        let is_known = self.targets.iter().any(|(target, _)| *target == failure.target);
        if !is_known && self.targets.len() < MAX_FAILED {
            self.targets.push((failure.target, failure.hall.clone()));
        }
    }

    fn clear(&mut self) {
        self.targets.clear();
        self.probes = 0;
    }
}

/// Failures since the last success of one kind, and what follows from them.
#[derive(Clone, Debug)]
pub(super) struct Evidence {
    last_success: Instant,
    /// Failures that a busy target does not explain.
    failures: Failures,
    /// Connections that were refused or closed.
    refusals: Failures,
    first_refusal: Option<Instant>,
    /// Requests and probes that wait, which a busy target explains.
    waits: Failures,
    /// Whether failures show that the links have failed.
    pub(super) is_lost: bool,
    /// Since when they would show it if no target were busy.
    pub(super) uncertain_since: Option<Instant>,
}

/// The inputs of a decision, for the log and for operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EvidenceSummary {
    /// Time since the last answer, or the last over a new connection.
    pub silent_for: Duration,
    /// Targets that have failed since, as far as they are kept.
    pub targets: usize,
    /// Their halls.
    pub halls: usize,
    /// Probes that have failed since.
    pub probes: u32,
}

impl Evidence {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            last_success: now,
            failures: Failures::default(),
            refusals: Failures::default(),
            first_refusal: None,
            waits: Failures::default(),
            is_lost: false,
            uncertain_since: None,
        }
    }

    pub(super) fn record_success(&mut self, now: Instant) {
        self.last_success = now;
        self.failures.clear();
        self.refusals.clear();
        self.first_refusal = None;
        self.waits.clear();
        self.is_lost = false;
        self.uncertain_since = None;
    }

    pub(super) fn record_failure(&mut self, failure: &Failure, now: Instant) {
        match failure.kind {
            FailureKind::Waiting => self.waits.record(failure),
            FailureKind::Refused => {
                self.first_refusal.get_or_insert(now);
                self.refusals.record(failure);
            }
            FailureKind::Unconnected | FailureKind::Unanswered => self.failures.record(failure),
        }
    }

    fn is_silent(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.last_success) >= SILENCE
    }

    /// Decides; `waiting_since` is since when a request has waited on an open connection, where that shows
    /// that refusals are the targets' own.
    pub(super) fn judge(&mut self, spread: TargetSpread, waiting_since: Option<Instant>, now: Instant) {
        if !self.is_silent(now) {
            return;
        }
        let outlives_refusals = |since: Instant| self.first_refusal.is_some_and(|first| since < first);
        let none = Failures::default();
        let refusals = if waiting_since.is_some_and(outlives_refusals) { &none } else { &self.refusals };
        let is_lost = FailureSum::of(&[&self.failures, refusals]).is_enough(spread);
        let is_uncertain = FailureSum::of(&[&self.failures, refusals, &self.waits]).is_enough(spread);
        self.is_lost |= is_lost;
        self.uncertain_since = self.uncertain_since.or(is_uncertain.then_some(now));
    }

    /// Halls in which targets have failed.
    pub(super) fn halls(&self) -> usize {
        FailureSum::of(&[&self.failures, &self.refusals]).halls
    }

    /// When probes are due; `None` as long as nothing has failed or waits.
    pub(super) fn probe_at(&self) -> Option<Instant> {
        let mut kinds = [&self.failures, &self.refusals, &self.waits].into_iter();
        kinds.any(|failures| !failures.targets.is_empty()).then_some(self.last_success + SILENCE)
    }

    pub(super) fn summary(&self, now: Instant) -> EvidenceSummary {
        let FailureSum { targets, halls, probes } = FailureSum::of(&[&self.failures, &self.refusals, &self.waits]);
        EvidenceSummary { silent_for: now.saturating_duration_since(self.last_success), targets, halls, probes }
    }
}

/// Targets, their halls and probes of failures.
struct FailureSum {
    targets: usize,
    halls: usize,
    probes: u32,
}

impl FailureSum {
    fn of(kinds: &[&Failures]) -> Self {
        let targets = || kinds.iter().flat_map(|failures| &failures.targets);
        Self {
            targets: targets().map(|(target, _)| target).collect::<HashSet<_>>().len(),
            halls: targets().map(|(_, hall)| hall).collect::<HashSet<_>>().len(),
            probes: kinds.iter().map(|failures| failures.probes).sum(),
        }
    }

    fn is_enough(&self, spread: TargetSpread) -> bool {
        self.targets > 0
            && self.probes >= MIN_PROBES
            && self.targets >= MIN_TARGETS.min(spread.targets)
            && self.halls >= MIN_HALLS.min(spread.halls)
    }
}
