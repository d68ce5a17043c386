//! The equal share of a target's limit, for an instance without a current answer of a head: a
//! number of requests per window, evenly spaced.
//!
//! **Inputs**: the limit; the members in the view, whose age is unbounded while the store is
//! unreachable.
//!
//! **Why.** Whole requests are assigned to members by rendezvous hashing, as in slow start. If each
//! member accumulated a fraction of a request instead, many could send a whole one at the same time.
//!
//! **Guards** the operators' bound in each window, even if instances have two different lists of
//! members. **Test**: `tests/rate_limits.rs`, `tests/rate_limit_replay.rs`.

use super::{MIN_RATE, OVERAGE, SLACK, WINDOW};
use crate::clock::Instant;
use crate::decision::capacity::slow_start::member_share;
use std::time::Duration;

/// Allowance for varying network delays to a target, added to the window.
const DELAY_MARGIN: Duration = Duration::from_millis(100);
/// Number of different member lists that instances may have at the same time without breaking the
/// bound.
const CONCURRENT_VIEWS: f64 = 2.0;

/// Requests in a window that all instances together send by their equal shares; at least 1.
pub fn shared_count(rate: f64) -> u32 {
    let window = WINDOW.as_secs_f64();
    let limit = rate.max(MIN_RATE) * window;
    let bound = (OVERAGE * rate * window + SLACK) / CONCURRENT_VIEWS;
    limit.min(bound).max(1.0) as u32
}

/// The equal share of one instance in the limit of one target.
#[derive(Clone, Copy, Debug, Default)]
pub struct EqualShare {
    /// Requests per window.
    count: u32,
    /// Earliest time of the next request.
    next_at: Option<Instant>,
}

impl EqualShare {
    /// Recomputes the share of the member `own` in a limit of `rate` requests per second.
    pub fn update<'a>(&mut self, rate: f64, target: u64, own: &str, members: impl ExactSizeIterator<Item = &'a str>) {
        self.count = member_share(shared_count(rate), target, own, members);
    }

    /// Whether a request may be sent now.
    pub fn may_send(&self, now: Instant) -> bool {
        self.count > 0 && self.next_at.is_none_or(|next_at| next_at <= now)
    }

    /// Delays the next request by the part `random`, 0 to 1, of the time between two: instances that begin to
    /// send their shares together do not send all of them at once.
    pub fn delay(&mut self, random: f64, now: Instant) {
        let next_at = now + ((WINDOW + DELAY_MARGIN) / self.count.max(1)).mul_f64(random);
        self.next_at = self.next_at.max(Some(next_at));
    }

    /// Records that a request is sent.
    pub fn record_sent(&mut self, now: Instant) {
        self.next_at = Some(now + (WINDOW + DELAY_MARGIN) / self.count.max(1));
    }
}
