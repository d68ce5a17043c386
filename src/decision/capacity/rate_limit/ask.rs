//! What an instance knows of its questions to the head about one target's limit.
//!
//! Owns the last outcome and the number of requests that wait. **Test**: `tests/allowances.rs`.

use crate::clock::Instant;
use std::time::Duration;

/// Time after an answer that granted too little for which requests do not wait for another one.
const SHORT_TIME: Duration = Duration::from_millis(100);
/// Time for which another outcome counts: after a question without an answer the equal share applies so long.
const MAX_OUTCOME_AGE: Duration = Duration::from_secs(1);

/// Time after which the head is told of requests that were sent, even if no more are wanted: until then it counts
/// them as still to come.
const MAX_UNREPORTED_TIME: Duration = Duration::from_millis(200);

/// Whether a request may be sent to a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Permission {
    /// It may be sent.
    Send,
    /// It may be sent if the head grants it.
    Ask,
    /// It may not be sent.
    Exhausted,
}

/// Outcome of the last question that still counts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum AskOutcome {
    /// Heads are not asked: the admit ratio or the equal share applies.
    #[default]
    Unused,
    /// None counts any more, or none was asked.
    None,
    /// The head granted what was wanted.
    Granted,
    /// The head granted less.
    Short,
    /// No head answered, or the head has no allowance itself.
    Unanswered,
}

/// Questions about one target.
#[derive(Clone, Copy, Debug, Default)]
pub struct Ask {
    /// Whether heads are asked.
    is_started: bool,
    last: Option<(AskOutcome, Instant)>,
    asked_at: Option<Instant>,
    /// Requests that the question wants to hold.
    pub wanted: u32,
    /// When the first request was sent that the head does not know of.
    sent_at: Option<Instant>,
    /// Requests that wait for an answer.
    pub waiting: u32,
}

impl Ask {
    /// Has heads asked from now on.
    pub fn start(&mut self) {
        self.is_started = true;
    }

    /// When the question of the last outcome was asked.
    pub fn asked_at(&self) -> Option<Instant> {
        self.asked_at
    }

    /// Records that a request is sent.
    pub fn record_sent(&mut self, now: Instant) {
        self.sent_at.get_or_insert(now);
    }

    /// Whether a request was sent that the head should know of by now.
    pub fn has_unreported(&self, now: Instant) -> bool {
        self.sent_at.is_some_and(|at| now.saturating_duration_since(at) >= MAX_UNREPORTED_TIME)
    }

    /// Records an outcome.
    pub fn record(&mut self, outcome: AskOutcome, asked_at: Instant, now: Instant) {
        self.sent_at = self.sent_at.filter(|at| *at > asked_at);
        self.last = Some((outcome, now));
        self.asked_at = Some(asked_at);
    }

    /// The last outcome, as far as it counts.
    pub fn last(&self, now: Instant) -> AskOutcome {
        let (outcome, at) = match self.last {
            _ if !self.is_started => return AskOutcome::Unused,
            None => return AskOutcome::None,
            Some(last) => last,
        };
        let max_age = match outcome {
            AskOutcome::Short => SHORT_TIME,
            AskOutcome::Unused | AskOutcome::None | AskOutcome::Granted | AskOutcome::Unanswered => MAX_OUTCOME_AGE,
        };
        if now.saturating_duration_since(at) < max_age { outcome } else { AskOutcome::None }
    }
}
