//! Signals that a target sends about itself in response headers: its rate limit, that it is leaving,
//! and a requested pause.
//!
//! **Rule.** A signal applies to the start of the target that sent it, at its address: another start or
//! address inherits nothing, and a late response applies to the start that the request was sent to.
//! Signals outlive the registration: if it disappears and comes back, the same start keeps its signals,
//! for as long as a tombstone is kept.
//!
//! | signal | applies to | until |
//! |---|---|---|
//! | rate limit ([`crate::decision::capacity::rate_limit`]) | all instances together; distributed through heads | responses no longer contain it, or 10 s after the last response that contained it |
//! | leaving | each instance that learned of it, from the target or through heads | the end of that start, whatever the target or its registration says later |
//! | pause ([`crate::decision::failure::pause`]) | the instance whose request was rejected | the requested time is over |
//!
//! **Inputs**: headers of the target's own responses, with any status, as they arrive. An unreadable
//! value counts as absent.
//!
//! **Why.** The store may be unreachable while a target is leaving, and a registration does not say how
//! many requests the target can serve.
//!
//! **Guards** the promises that a target which is leaving, or has requested a pause, receives no new
//! request.
//!
//! **Test**: `tests/target_signals.rs`, `standins/tests/leaving_statements.rs`,
//! `standins/tests/pauses.rs`.

use crate::clock::Instant;
use crate::decision::capacity::rate_limit::{LimitSignal, RateLimit};
use crate::decision::failure::pause::{Pause, PauseSignal};
use std::time::Duration;

/// Signals in one response.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ResponseSignals {
    /// Rate limit of the target, over all instances.
    pub limit: LimitSignal,
    /// Whether the target is leaving.
    pub leaving: LeavingSignal,
    /// Time during which the target wants no further requests from this instance.
    pub pause: PauseSignal,
    /// Whether the response rejects the request, with status 429 or 503.
    pub is_rejection: bool,
}

/// The leaving header of one response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeavingSignal {
    /// The header is absent.
    None,
    /// The target is leaving.
    Leaving,
    /// No value is readable; counts as absent.
    Unreadable,
}

impl LeavingSignal {
    /// Parses the values of the header. The target is leaving if at least one of them is `1`.
    pub fn parse<'a>(values: impl Iterator<Item = &'a [u8]>) -> Self {
        let parse = |value: &[u8]| if value.trim_ascii() == b"1" { Self::Leaving } else { Self::Unreadable };
        values.map(parse).fold(Self::None, |one, other| if one == Self::Leaving { one } else { other })
    }
}

/// What the signals of one response changed.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SignalChange {
    /// The new limit, requests per second, if it changed; `Some(None)` if there is none any more.
    pub limit: Option<Option<f64>>,
    /// Whether the response is the first sign that the target is leaving.
    pub began_leaving: bool,
    /// The time left of a pause that begins now.
    pub pause: Option<Duration>,
}

/// The signals received from one start of a target.
#[derive(Debug, Default)]
pub struct TargetSignals {
    /// Its rate limit, and this instance's use of it.
    pub limit: RateLimit,
    /// The pause that it requested from this instance.
    pub pause: Pause,
    is_leaving: bool,
}

impl TargetSignals {
    /// No signals yet.
    pub fn new() -> Self {
        let mut signals = Self::default();
        signals.limit.use_allowances();
        signals
    }

    /// Applies the signals of a response that arrived now, to a request sent at `sent`. `random` is
    /// uniformly random between 0 and 1.
    pub fn apply(&mut self, signals: ResponseSignals, random: f64, sent: Instant, now: Instant) -> SignalChange {
        let began_leaving = signals.leaving == LeavingSignal::Leaving && self.mark_leaving();
        if !signals.is_rejection {
            self.pause.record_response(now);
        }
        let pause = self.pause.apply(signals.pause, random, now).then(|| self.pause.remaining(now)).flatten();
        SignalChange { limit: self.limit.apply(signals.limit, sent, now), began_leaving, pause }
    }

    /// Records that the target is leaving; returns whether this was not known before.
    pub fn mark_leaving(&mut self) -> bool {
        !std::mem::replace(&mut self.is_leaving, true)
    }

    /// Whether the target has announced, to any instance, that it is leaving.
    pub fn is_leaving(&self) -> bool {
        self.is_leaving
    }
}
