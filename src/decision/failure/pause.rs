//! Pauses: a target that turns a request away may name the time for which it wants no other from
//! this instance.
//!
//! **Rule.** Until then it is sent nothing, and after it one request at a time until one is answered,
//! for two seconds at most.
//! Of several times the latest end holds: a shorter one that comes later does not shorten the pause,
//! since what the target said first is still what it wants. The end is delayed at random.
//!
//! **Inputs**: Retry-After of the target's own answers with 429 or 503, seconds; exact, as they arrive.
//! A date says nothing here: the time of day may differ by more than a pause lasts. A time over
//! `LONGEST` counts as that.
//!
//! **Why.** It was sent a request again at once, since it had free slots, and callers were sent back
//! to it. Each instance is told by itself, so that nothing is shared.
//!
//! **Guards** the promise that a target which asked for rest gets two requests of this instance at
//! most from half a second after that until its end. **Test**: `tests/statements.rs`,
//! `standins/tests/pauses.rs`.

use crate::clock::Instant;
use std::time::Duration;

/// Longest pause: a day. What is longer is meant for good, which a registration says.
const LONGEST: Duration = Duration::from_secs(86_400);
/// Most by which the end is delayed, as a part of the pause (no unit) and at all: instances that were
/// turned away together do not return together.
const DELAY: f64 = 0.2;
/// See [`DELAY`].
const LONGEST_DELAY: Duration = Duration::from_secs(1);
/// Longest time after a pause for which one request at a time is sent: an exchange that lasts for
/// minutes would keep all others away.
const TRIAL_FOR: Duration = Duration::from_secs(2);
/// Longest value that is read, characters.
const MAX_LENGTH: usize = 32;

/// What an answer that turns a request away says of the time for which the target wants no other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StatedPause {
    /// Nothing, or the answer turns nothing away.
    None,
    /// So long.
    For(Duration),
    /// Something that is no time: it says nothing.
    Unreadable,
}

impl StatedPause {
    /// Reads the values of the header: one decimal number of seconds.
    pub fn parse<'a>(mut values: impl Iterator<Item = &'a [u8]>) -> Self {
        match (values.next(), values.next()) {
            (None, _) => Self::None,
            (Some(value), None) => pause(value).map_or(Self::Unreadable, Self::For),
            (Some(_), Some(_)) => Self::Unreadable,
        }
    }
}

fn pause(value: &[u8]) -> Option<Duration> {
    let text = std::str::from_utf8(value).ok()?.trim();
    let is_decimal = text.len() <= MAX_LENGTH && text.bytes().all(|byte| byte.is_ascii_digit() || byte == b'.');
    let seconds: f64 = text.parse().ok().filter(|_| is_decimal)?;
    Some(Duration::try_from_secs_f64(seconds).map_or(LONGEST, |pause| pause.min(LONGEST)))
}

/// The pause of one target.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pause {
    until: Option<Instant>,
    /// Whether no request was answered since it ended.
    is_trial: bool,
}

impl Pause {
    /// Takes in what an answer says that arrived now; gives whether a pause begins. `draw` is at random
    /// from 0 to 1.
    pub fn state(&mut self, stated: StatedPause, draw: f64, now: Instant) -> bool {
        let StatedPause::For(pause) = stated else { return false };
        if pause.is_zero() {
            return false;
        }
        let delay = pause.mul_f64(DELAY * draw).min(LONGEST_DELAY);
        let until = now + pause + delay;
        let begins = self.left(now).is_none();
        self.until = self.until.max(Some(until));
        self.is_trial = true;
        begins
    }

    /// What is left of it; `None` where it is over.
    pub fn left(&self, now: Instant) -> Option<Duration> {
        let left = self.until?.saturating_duration_since(now);
        (!left.is_zero()).then_some(left)
    }

    /// Whether the target may get no request now, of which this instance has `in_flight` there.
    pub fn excludes(&self, in_flight: u32, now: Instant) -> bool {
        let is_trial = self.is_trial && self.until.is_some_and(|until| now < until + TRIAL_FOR);
        self.left(now).is_some() || (is_trial && in_flight > 0)
    }

    /// Notes an answer that turned nothing away; one that comes during the pause was under way.
    pub fn record_answer(&mut self, now: Instant) {
        if self.left(now).is_none() {
            self.is_trial = false;
        }
    }
}
