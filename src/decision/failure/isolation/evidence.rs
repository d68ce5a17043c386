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
    /// Whether a request or a probe waits, be it at a busy target.
    is_waiting: bool,
    pub(super) is_lost: bool,
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
            is_waiting: false,
            is_lost: false,
        }
    }

    pub(super) fn record_success(&mut self, now: Instant) {
        self.last_success = now;
        self.failures.clear();
        self.refusals.clear();
        self.first_refusal = None;
        self.is_waiting = false;
        self.is_lost = false;
    }

    pub(super) fn record_failure(&mut self, failure: &Failure, now: Instant) {
        match failure.kind {
            FailureKind::Waiting => self.is_waiting = true,
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

    /// The failures that count, by whether refusals do.
    fn counted(&self, refusals_count: bool) -> impl Iterator<Item = &Failures> {
        [Some(&self.failures), Some(&self.refusals).filter(|_| refusals_count)].into_iter().flatten()
    }

    /// Decides; `waiting_since` is since when a request has waited on an open connection, where that shows
    /// that refusals are the targets' own.
    pub(super) fn judge(&mut self, spread: TargetSpread, waiting_since: Option<Instant>, now: Instant) {
        let outlives_refusals = |since: Instant| self.first_refusal.is_some_and(|first| since < first);
        let sum = self.sum(!waiting_since.is_some_and(outlives_refusals));
        self.is_lost |= self.is_silent(now)
            && sum.targets > 0
            && sum.probes >= MIN_PROBES
            && sum.targets >= MIN_TARGETS.min(spread.targets)
            && sum.halls >= MIN_HALLS.min(spread.halls);
    }

    pub(super) fn sum(&self, refusals_count: bool) -> FailureSum {
        let targets = || self.counted(refusals_count).flat_map(|failures| &failures.targets);
        FailureSum {
            targets: targets().map(|(target, _)| target).collect::<HashSet<_>>().len(),
            halls: targets().map(|(_, hall)| hall).collect::<HashSet<_>>().len(),
            probes: self.counted(refusals_count).map(|failures| failures.probes).sum(),
        }
    }

    /// When probes are due; `None` as long as nothing has failed or waits.
    pub(super) fn probe_at(&self) -> Option<Instant> {
        let is_suspect = self.is_waiting || !self.failures.targets.is_empty() || !self.refusals.targets.is_empty();
        is_suspect.then_some(self.last_success + SILENCE)
    }

    pub(super) fn summary(&self, now: Instant) -> EvidenceSummary {
        let FailureSum { targets, halls, probes } = self.sum(true);
        EvidenceSummary { silent_for: now.saturating_duration_since(self.last_success), targets, halls, probes }
    }
}

/// Targets, their halls and probes of failures.
pub(super) struct FailureSum {
    targets: usize,
    pub(super) halls: usize,
    probes: u32,
}
