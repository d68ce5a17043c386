//! Pauses: a target that rejects a request may name a time (Retry-After) during which it wants no
//! further request from this instance.
//!
//! **Rule.** Until the pause ends the target is sent nothing. After it, one request at a time is
//! sent as a probe until one is not rejected, for two seconds at most. Of several pauses the latest
//! end applies: a shorter one that is requested later does not shorten the first, since the target
//! still wants the time that it named first. The end is delayed by random jitter.
//!
//! **Inputs**: Retry-After of the target's own 429 and 503 responses, seconds; exact, as they
//! arrive. An HTTP date is ignored, because clocks may differ by more than a pause lasts. A time
//! over `MAX_PAUSE` counts as that.
//!
//! **Why.** Without this rule the target is sent another request at once, since it has free slots, and
//! callers are told to retry at once ([`super::shedding`]), which sends them to it again. The target
//! asks each instance separately, so that nothing is shared.
//!
//! **Guards** the promise that a target which asked for a pause gets at most two requests of this
//! instance from half a second after it asked until the pause ends. **Test**: `tests/target_signals.rs`,
//! `standins/tests/pauses.rs`.

use crate::clock::Instant;
use std::time::Duration;

/// Maximum pause: a day. A target that wants no requests for longer states that in its registration.
const MAX_PAUSE: Duration = Duration::from_secs(86_400);
/// Maximum jitter as a fraction of the pause (no unit), so that instances that were rejected
/// together do not return together.
const JITTER_RATIO: f64 = 0.2;
/// Maximum jitter; see [`JITTER_RATIO`].
const MAX_JITTER: Duration = Duration::from_secs(1);
/// Maximum time after a pause during which one request at a time is sent: otherwise an exchange
/// that lasts for minutes would keep all other requests away.
const MAX_PROBE_PERIOD: Duration = Duration::from_secs(2);
/// Maximum length of a header value that is parsed, bytes.
const MAX_VALUE_LENGTH: usize = 32;

/// The pause that a response asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PauseSignal {
    /// No pause, or the response does not reject the request.
    None,
    /// A pause of this length.
    For(Duration),
    /// A value that is not a number of seconds, which is ignored.
    Unreadable,
}

impl PauseSignal {
    /// Parses the values of the Retry-After header: exactly one decimal number of seconds.
    pub fn parse<'a>(mut values: impl Iterator<Item = &'a [u8]>) -> Self {
        match (values.next(), values.next()) {
            (None, _) => Self::None,
            (Some(value), None) => parse_seconds(value).map_or(Self::Unreadable, Self::For),
            (Some(_), Some(_)) => Self::Unreadable,
        }
    }
}

fn parse_seconds(value: &[u8]) -> Option<Duration> {
    let text = std::str::from_utf8(value).ok()?.trim();
    let is_decimal = text.len() <= MAX_VALUE_LENGTH && text.bytes().all(|byte| byte.is_ascii_digit() || byte == b'.');
    let seconds: f64 = text.parse().ok().filter(|_| is_decimal)?;
    Some(Duration::try_from_secs_f64(seconds).map_or(MAX_PAUSE, |pause| pause.min(MAX_PAUSE)))
}

/// The pause of one target at this instance.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pause {
    /// End of the pause with its jitter; `None` before the first.
    until: Option<Instant>,
    /// True from the start of a pause until a response that arrives after it does not reject the request.
    awaits_probe: bool,
}

impl Pause {
    /// Applies the signal of a response that arrived now, and returns whether a pause begins.
    /// `random` is uniformly random between 0 and 1 and sets the jitter.
    pub fn apply(&mut self, signal: PauseSignal, random: f64, now: Instant) -> bool {
        let PauseSignal::For(pause) = signal else { return false };
        if pause.is_zero() {
            return false;
        }
        let jitter = pause.mul_f64(JITTER_RATIO * random).min(MAX_JITTER);
        let until = now + pause + jitter;
        let begins = self.remaining(now).is_none();
        self.until = self.until.max(Some(until));
        self.awaits_probe = true;
        begins
    }

    /// The remaining time of the pause; `None` once it is over.
    pub fn remaining(&self, now: Instant) -> Option<Duration> {
        let remaining = self.until?.saturating_duration_since(now);
        (!remaining.is_zero()).then_some(remaining)
    }

    /// Whether the target may get no request now, given `in_flight` requests of this instance
    /// there.
    pub fn excludes(&self, in_flight: u32, now: Instant) -> bool {
        let is_probing = self.awaits_probe && self.until.is_some_and(|until| now < until + MAX_PROBE_PERIOD);
        self.remaining(now).is_some() || (is_probing && in_flight > 0)
    }

    /// Whether no response has shown yet that the reason of the last pause is over.
    pub fn awaits_probe(&self) -> bool {
        self.awaits_probe
    }

    /// Records a response that does not reject the request. One that arrives during the pause belongs
    /// to a request sent before it and does not end the probing.
    pub fn record_response(&mut self, now: Instant) {
        if self.remaining(now).is_none() {
            self.awaits_probe = false;
        }
    }
}
