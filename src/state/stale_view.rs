//! Repeated reports of a stale view: what the instance serves meanwhile, and why as far as it knows.
//!
//! Owns the time of the last report. Relies on [`super::StoreCopy`] and on [`crate::task`] for the
//! reason.

use super::StoreCopy;
use crate::clock::Instant;
use crate::store::era::Position;
use crate::task;
use std::cell::Cell;
use std::time::Duration;

/// Time between two reports of a view that stays stale: short relative to an incident, and a line that
/// is no burden for the log's budget.
const REPORT_INTERVAL: Duration = Duration::from_secs(5);
/// Name of the task that follows the store.
const FOLLOWING_TASK: &str = "watch";

/// Why a view is stale, as far as the instance knows. In the order in which they are looked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StaleReason {
    /// A change of the store panicked and has not been applied again.
    Unapplied,
    /// The task that follows the store has ended.
    TaskEnded,
    /// A later era of the store is known, whose list has not been applied.
    EarlierEra,
    /// A response with changes is being received.
    Receiving,
    /// The store does not respond.
    StoreLost,
    /// The initial view is missing or unconfirmed.
    Starting,
    /// The store responds, but nothing has shown that the view has all of its changes.
    Unconfirmed,
}

impl StaleReason {
    /// The name in log lines and in the status.
    pub fn as_str(self) -> &'static str {
        match self {
            StaleReason::Unapplied => "unapplied",
            StaleReason::TaskEnded => "task-ended",
            StaleReason::EarlierEra => "earlier-era",
            StaleReason::Receiving => "receiving",
            StaleReason::StoreLost => "store-lost",
            StaleReason::Starting => "starting",
            StaleReason::Unconfirmed => "unconfirmed",
        }
    }
}

/// When a stale view was found, and when it was last reported.
#[derive(Debug, Default)]
pub struct StaleReports {
    since: Cell<Option<Instant>>,
    last: Cell<Option<Instant>>,
}

impl StaleReports {
    /// Why the view is stale; `None` unless it has been for `REPORT_INTERVAL`.
    pub fn lasting_reason(&self, copy: &StoreCopy) -> Option<StaleReason> {
        let since = self.since.get().filter(|since| since.elapsed() >= REPORT_INTERVAL);
        since.and_then(|_| copy.stale_reason())
    }

    /// Logs a view that has been stale for `REPORT_INTERVAL`, and then again after each; `config` is the
    /// version of the configuration in force.
    pub fn log(&self, copy: &StoreCopy, config: Option<u64>) {
        let now = Instant::now();
        let Some(reason) = copy.stale_reason() else {
            self.since.set(None);
            return self.last.set(None);
        };
        let since = self.since.get().unwrap_or(now);
        self.since.set(Some(since));
        if now.duration_since(self.last.get().unwrap_or(since)) < REPORT_INTERVAL {
            return;
        }
        self.last.set(Some(now));
        let (reason, source) = (reason.as_str(), copy.view_proof().map(|proof| proof.as_str()));
        let age_ms = copy.view_age().map(|age| age.as_millis() as u64);
        let Position { era, revision } = copy.view().position();
        tracing::warn!(event = "view_still_stale", reason, age_ms, source, config, revision, era = era.number);
    }
}

impl StoreCopy {
    /// Why the view is stale; `None` while it is current.
    pub fn stale_reason(&self) -> Option<StaleReason> {
        if self.is_current() {
            return None;
        }
        let reasons = [
            (self.is_interrupted(), StaleReason::Unapplied),
            (task::has_ended(FOLLOWING_TASK), StaleReason::TaskEnded),
            (self.is_superseded(), StaleReason::EarlierEra),
            (self.is_receiving(), StaleReason::Receiving),
            (self.is_store_lost(), StaleReason::StoreLost),
            (self.view_age().is_none(), StaleReason::Starting),
        ];
        let known = reasons.into_iter().find(|(applies, _)| *applies).map(|(_, reason)| reason);
        Some(known.unwrap_or(StaleReason::Unconfirmed))
    }
}
