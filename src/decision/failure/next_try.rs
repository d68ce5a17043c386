//! Retry rule: whether a request is tried again after a failed try, and what the caller is told if
//! not.
//!
//! **Rule**: after a failed try a request is tried again if the failure proves that it did not run, or
//! if its exchange broke and its route is idempotent, within the route's limit of tries and the limit
//! of tries without a connection; `src/proxy/attempts.rs` checks time ([`has_time`]) and budget. The
//! next try goes to another target, unless this one shed the request ([`super::shedding`]). A request
//! that timed out is never tried again.
//!
//! **Inputs**: the failed tries of this request alone ([`FailedTries`], counts); the route's
//! [`Idempotency`] and `max_attempts` (tries that reach a target) from the configuration with which
//! the request began; the time left until its deadline; what prevents the next try
//! ([`UnmetPrecondition`]). No input has an age or is shared.
//!
//! **Why**: a target that is gone or full costs the caller nothing if another one takes the request
//! in time. A try without a connection has sent nothing, so it does not count towards
//! `max_attempts`, but it takes up to the connect timeout ([`crate::net::pool`]), so these tries
//! have a limit of their own. The retry budget is charged before a try for which `costs_retry` is
//! set: each one after a try that reached a target.
//!
//! **Guards** these promises: a request whose route is not idempotent runs at most once; a
//! caller is told "not run" (503) only if no target can have run the request, so that once a try
//! may have run it the response is [`FailureReason::Lost`] (502) or [`FailureReason::TimedOut`]
//! (504), whatever fails afterwards; targets get no more tries than route and budget allow.
//!
//! The budget itself is [`crate::decision::failure::retry`]; the choice of the target is
//! [`crate::decision::selection::choice`]. Test: `tests/next_try.rs`, every outcome with every
//! kind of route and all counts.

use crate::model::config::{Idempotency, Route};
use std::time::Duration;

/// A request with this much time or less until its deadline is not sent: it is less than a round
/// trip plus any work, so that no response could arrive in time.
pub const MIN_TIME_LEFT: Duration = Duration::from_millis(5);
/// Maximum number of tries without a connection; the last ends the request. Each spends up to 0.4 s
/// on connecting.
pub const MAX_UNREACHABLE_TRIES: u32 = 3;

/// Outcome of a try that gave no response to pass on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TryOutcome {
    /// No connection could be made: nothing was sent.
    Unreachable,
    /// The target reported that it did not run the request.
    NotExecuted,
    /// The target reported that it did not run the request, although it had a free slot.
    Shed,
    /// The exchange broke: the request may have run.
    Lost,
    /// No response arrived before the deadline: the request may have run.
    TimedOut,
}

impl TryOutcome {
    /// The name in the log (`fault`).
    pub fn as_str(self) -> &'static str {
        match self {
            TryOutcome::Unreachable => "unreachable",
            TryOutcome::NotExecuted => "not-executed",
            TryOutcome::Shed => "shed",
            TryOutcome::Lost => "lost",
            TryOutcome::TimedOut => "silent",
        }
    }
}

/// The failed tries of one request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FailedTries {
    /// Tries that reached a target.
    pub sends: u32,
    /// Tries for which no connection could be made.
    pub unreachable: u32,
    /// Whether a target may have run the request in one of the tries.
    pub may_have_run: bool,
    /// Outcome of the last try; `None` before the first.
    pub last: Option<TryOutcome>,
}

impl FailedTries {
    /// Counts another failed try.
    pub fn record(&mut self, outcome: TryOutcome) {
        match outcome {
            TryOutcome::Unreachable => self.unreachable += 1,
            _ => self.sends += 1,
        }
        self.may_have_run |= matches!(outcome, TryOutcome::Lost | TryOutcome::TimedOut);
        self.last = Some(outcome);
    }

    /// What the caller is told if no further try is made.
    fn reason(&self) -> FailureReason {
        match self.last {
            Some(TryOutcome::TimedOut) => FailureReason::TimedOut,
            _ if self.may_have_run => FailureReason::Lost,
            Some(TryOutcome::Unreachable) => FailureReason::Unreachable,
            Some(TryOutcome::NotExecuted) => FailureReason::NotExecuted,
            Some(TryOutcome::Shed) => FailureReason::Shed,
            Some(TryOutcome::Lost) => FailureReason::Lost,
            None => FailureReason::NotTried,
        }
    }
}

/// What a route allows for the tries of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TryLimits {
    /// Whether a request that may have run may be sent again.
    pub idempotency: Idempotency,
    /// Maximum number of tries that reach a target.
    pub max_attempts: u32,
}

impl From<&Route> for TryLimits {
    fn from(route: &Route) -> Self {
        Self { idempotency: route.idempotency, max_attempts: route.max_attempts }
    }
}

/// What to do next with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TryDecision {
    /// Try it at a target.
    Try {
        /// Whether an earlier try reached a target, so that this one is charged to the retry
        /// budget.
        costs_retry: bool,
    },
    /// Refuse it and tell the caller this reason.
    Refuse(FailureReason),
}

/// Why a request got no response from a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureReason {
    /// No try was made.
    NotTried,
    /// No connection could be made in the last try.
    Unreachable,
    /// The target did not run the request in the last try.
    NotExecuted,
    /// The target did not run the request in the last try, although it had a free slot.
    Shed,
    /// An exchange broke: the request may have run.
    Lost,
    /// The last try timed out: the request may have run.
    TimedOut,
}

/// Decides what to do after these failed tries; without any, whether to make the first one.
pub fn next_try(tries: &FailedTries, limits: TryLimits) -> TryDecision {
    match tries.unreachable < MAX_UNREACHABLE_TRIES {
        true => next_forward(tries, limits),
        false => TryDecision::Refuse(tries.reason()),
    }
}

/// As [`next_try`], for a request that another instance is to send: tries without a connection say nothing
/// of that one's connections.
pub fn next_forward(tries: &FailedTries, limits: TryLimits) -> TryDecision {
    let may_repeat = match tries.last {
        Some(TryOutcome::TimedOut) => false,
        Some(TryOutcome::Lost) => limits.idempotency == Idempotency::Idempotent,
        Some(TryOutcome::Unreachable | TryOutcome::NotExecuted | TryOutcome::Shed) | None => true,
    };
    if may_repeat && tries.sends < limits.max_attempts {
        TryDecision::Try { costs_retry: tries.sends > 0 }
    } else {
        TryDecision::Refuse(tries.reason())
    }
}

/// Whether a request with `left` until its deadline is still sent.
pub fn has_time(left: Duration) -> bool {
    left > MIN_TIME_LEFT
}

/// Why a try that [`next_try`] allows cannot be made. The first precondition that is unmet is reported,
/// in the order of `prepare_try` in `src/proxy/attempts.rs`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnmetPrecondition {
    /// No target may take the request.
    NoTarget,
    /// Too little time is left until the deadline ([`has_time`]).
    TooLate,
    /// The request is in quarantine ([`super::quarantine`]).
    Quarantined,
    /// The caller's API key no longer admits the request.
    InvalidKey,
    /// The retry budget is exhausted.
    OverBudget,
    /// There is no request to send: its body was consumed by an earlier try, or the target's id
    /// cannot be written into it.
    RequestUnavailable,
}

/// What the caller is told about earlier tries if the next one cannot be made; `None` if the unmet
/// precondition itself is the reason to report.
///
/// The failure of an earlier try takes precedence, except over lack of time: a request that cannot
/// have run and has no time left is refused as too late.
pub fn earlier_failure_reason(tries: &FailedTries, unmet: UnmetPrecondition) -> Option<FailureReason> {
    match unmet {
        UnmetPrecondition::TooLate => tries.may_have_run.then_some(FailureReason::Lost),
        UnmetPrecondition::NoTarget
        | UnmetPrecondition::Quarantined
        | UnmetPrecondition::InvalidKey
        | UnmetPrecondition::OverBudget
        | UnmetPrecondition::RequestUnavailable => tries.last.map(|_| tries.reason()),
    }
}
