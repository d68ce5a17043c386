//! The known rate limit of a target: the latest that it announced to this instance or to another
//! one.
//!
//! **Rule.** A limit applies until the target announces another one or none, however long it was not asked:
//! callers who return after an outage must not find instances that have forgotten it. A target that takes
//! requests again is sent some in any case, so that it can announce that it has no limit any more.
//!
//! This instance never reports a limit that it learned from another one. Each message would make the
//! limit seem younger by its transit time, so that instances would keep it alive among each other
//! forever.
//!
//! **Test**: `tests/rate_limits.rs`.

use super::LimitSignal;
use crate::clock::Instant;
use std::time::Duration;

/// Age from which an announcement is not reported to other instances any more.
pub const MAX_LIMIT_AGE: Duration = Duration::from_secs(10);

/// A limit that a target announced, and when.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AnnouncedLimit {
    /// Requests per second; `None` if the target announced no limit.
    pub rate: Option<f64>,
    /// When the response that announced it arrived.
    pub at: Instant,
}

/// The latest announcements of one target about its limit.
#[derive(Debug, Default)]
pub struct KnownLimit {
    /// Announced to this instance.
    own: Option<AnnouncedLimit>,
    /// Announced to another instance.
    remote: Option<AnnouncedLimit>,
    /// When the target was last found to have no limit any more.
    lifted_at: Option<Instant>,
    /// When this instance learned that the target has a limit; `None` while it has none.
    known_since: Option<Instant>,
}

impl KnownLimit {
    /// Applies the signal of a response that arrived `now`, to a request sent at `sent`. Returns the
    /// new limit if it changed; the inner `None` means no limit.
    pub fn apply(&mut self, signal: LimitSignal, sent: Instant, now: Instant) -> Option<Option<f64>> {
        let rate = match signal {
            LimitSignal::None => None,
            LimitSignal::Rate(rate) => Some(rate),
            LimitSignal::Unreadable => return None,
        };
        let before = self.rate();
        let is_lower = rate.is_some_and(|rate| before.is_none_or(|before| rate < before));
        // A response to a request sent before the latest announcement may have been written before it:
        // it can only lower or confirm the limit.
        let is_later = self.latest().is_none_or(|latest| latest.at <= sent);
        if is_lower || is_later || rate == before {
            self.own = Some(AnnouncedLimit { rate, at: now });
        }
        self.change_from(before, now)
    }

    /// Records a limit that the target announced to another instance. Returns a change as
    /// [`Self::apply`] does.
    pub fn record_remote(&mut self, remote: AnnouncedLimit, now: Instant) -> Option<Option<f64>> {
        let before = self.rate();
        if self.remote.is_none_or(|known| known.at < remote.at) {
            self.remote = Some(remote);
        }
        self.change_from(before, now)
    }

    /// The target's limit, requests per second; `None` if it has none.
    pub fn rate(&self) -> Option<f64> {
        self.latest()?.rate
    }

    /// Whether a limit was announced, or lifted, less than `MAX_LIMIT_AGE` ago.
    pub fn has_recent_signal(&self, now: Instant) -> bool {
        let is_announced = self.latest().is_some_and(|latest| latest.rate.is_some() && latest.is_current(now));
        is_announced || self.lifted_at.is_some_and(|at| now.saturating_duration_since(at) < MAX_LIMIT_AGE)
    }

    /// The limit that the target last announced to this instance, if that is recent.
    pub fn own(&self, now: Instant) -> Option<AnnouncedLimit> {
        self.own.filter(|own| own.is_current(now))
    }

    /// The limit that the target last announced to any instance.
    pub fn latest(&self) -> Option<AnnouncedLimit> {
        let later = |one: AnnouncedLimit, other: AnnouncedLimit| if other.at > one.at { other } else { one };
        [self.own, self.remote].into_iter().flatten().reduce(later)
    }

    /// Time since this instance knows that the target has a limit.
    pub fn known_for(&self, now: Instant) -> Duration {
        self.known_since.map_or(Duration::ZERO, |since| now.saturating_duration_since(since))
    }

    /// Whether the latest announcement was to another instance.
    pub fn is_remote(&self) -> bool {
        self.latest().is_some() && self.latest() == self.remote && self.own != self.remote
    }

    fn change_from(&mut self, before: Option<f64>, now: Instant) -> Option<Option<f64>> {
        let rate = self.rate();
        if rate.is_none() && before.is_some() {
            self.lifted_at = Some(now);
        }
        self.known_since = rate.and(self.known_since.or(Some(now)));
        (rate != before).then_some(rate)
    }
}

impl AnnouncedLimit {
    /// Whether it is recent enough to apply.
    pub fn is_current(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.at) < MAX_LIMIT_AGE
    }
}
