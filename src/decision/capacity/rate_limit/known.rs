//! What is known of a target's limit: the latest that it said, to this instance or to another one.
//!
//! Owns both. What other instances heard is not told on by this one: each passing on would make it
//! younger by the time of the way, and nothing would ever be forgotten.
//!
//! **Test**: `tests/rate_limits.rs`.

use super::StatedLimit;
use crate::clock::Instant;
use std::time::Duration;

/// Time since a target last said something of its limit after which that counts no longer: one
/// that is asked no more cannot say that the limit is gone.
pub const LIMIT_LIFE: Duration = Duration::from_secs(10);

/// What a target said at a time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Said {
    /// Requests a second; `None` where it named no limit.
    pub rate: Option<f64>,
    /// When its answer arrived.
    pub at: Instant,
}

/// What a target said of its limit.
#[derive(Debug, Default)]
pub struct KnownLimit {
    /// To this instance.
    own: Option<Said>,
    /// To another one.
    heard: Option<Said>,
    /// When its limit was last known to be gone.
    lifted: Option<Instant>,
}

impl KnownLimit {
    /// Takes in what an answer says that arrived now, to a request sent at `sent`; gives the limit
    /// that holds from now on where it is another one, `None` in it for none.
    pub fn state(&mut self, stated: StatedLimit, sent: Instant, now: Instant) -> Option<Option<f64>> {
        let rate = match stated {
            StatedLimit::None => None,
            StatedLimit::Rate(rate) => Some(rate),
            StatedLimit::Unreadable => return None,
        };
        let before = self.rate(now);
        let is_lower = rate.is_some_and(|rate| before.is_none_or(|before| rate < before));
        // An answer that was under way says nothing against what the target said later.
        let is_later = self.last(now).is_none_or(|last| last.at <= sent);
        if is_lower || is_later || rate == before {
            self.own = Some(Said { rate, at: now });
        }
        self.change(before, now)
    }

    /// Takes in what the target said to another instance; gives a change as [`Self::state`].
    pub fn hear(&mut self, said: Said, now: Instant) -> Option<Option<f64>> {
        let before = self.rate(now);
        if self.heard.is_none_or(|heard| heard.at < said.at) {
            self.heard = Some(said);
        }
        self.change(before, now)
    }

    /// Requests a second that the target takes; `None` where it has no limit.
    pub fn rate(&self, now: Instant) -> Option<f64> {
        self.last(now)?.rate
    }

    /// Whether it named a limit lately, or had one and said that it is gone.
    pub fn has_word(&self, now: Instant) -> bool {
        let is_lifted = self.lifted.is_some_and(|at| now.saturating_duration_since(at) < LIMIT_LIFE);
        self.rate(now).is_some() || is_lifted
    }

    /// What the target said to this instance lately.
    pub fn own(&self, now: Instant) -> Option<Said> {
        self.own.filter(|said| said.counts(now))
    }

    /// The latest that it said lately.
    pub fn last(&self, now: Instant) -> Option<Said> {
        let latest = |one: Said, other: Said| if other.at > one.at { other } else { one };
        let said = [self.own, self.heard].into_iter().flatten().reduce(latest)?;
        said.counts(now).then_some(said)
    }

    fn change(&mut self, before: Option<f64>, now: Instant) -> Option<Option<f64>> {
        let rate = self.rate(now);
        if rate.is_none() && before.is_some() {
            self.lifted = Some(now);
        }
        (rate != before).then_some(rate)
    }
}

impl Said {
    /// Whether it still counts.
    pub fn counts(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.at) < LIMIT_LIFE
    }
}
