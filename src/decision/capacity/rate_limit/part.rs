//! The equal part of a target's limit, for an instance that hears from no head: so many requests in
//! each window, evenly spaced.
//!
//! **Inputs**: the limit; the members in the view, whose age is not bounded while the store is
//! unreachable.
//!
//! **Why.** Whole requests are dealt out to the members by rendezvous, as in slow start: were each
//! member to save up its fraction, many would spend a whole request at one moment.
//!
//! **Guards** the operators' bound in each window, also where instances hold two different lists of
//! members. **Test**: `tests/rate_limits.rs`, `tests/rate_limit_replay.rs`.

use super::LEAST_RATE;
use crate::clock::Instant;
use crate::decision::capacity::slow_start::own_rate;
use std::time::Duration;

/// Window in which the operators count.
const WINDOW: Duration = Duration::from_secs(4);
/// Time by which ways to a target differ.
const WAY_TIME: Duration = Duration::from_millis(100);
/// The operators' bound in a window: this factor on the limit, and so many requests besides.
const OVERAGE: f64 = 1.5;
/// See [`OVERAGE`].
const SLACK: f64 = 5.0;
/// Different lists of members that instances may hold at the same time.
const VIEWS: f64 = 2.0;

/// Requests in a window that all instances send together by their equal parts; 1 at least.
pub fn shared_count(rate: f64) -> u32 {
    let window = WINDOW.as_secs_f64();
    let limit = rate.max(LEAST_RATE) * window;
    let bound = (OVERAGE * rate * window + SLACK) / VIEWS;
    limit.min(bound).max(1.0) as u32
}

/// The part of one instance.
#[derive(Clone, Copy, Debug, Default)]
pub struct Part {
    /// Requests in a window.
    count: u32,
    /// When the next one may be sent.
    next: Option<Instant>,
}

impl Part {
    /// Works out the part of the member `own` again.
    pub fn update<'a>(&mut self, rate: f64, target: u64, own: &str, members: impl Iterator<Item = &'a str>) {
        self.count = own_rate(shared_count(rate), target, own, members);
    }

    /// Whether a request may be sent now.
    pub fn may_send(&self, now: Instant) -> bool {
        self.count > 0 && self.next.is_none_or(|next| next <= now)
    }

    /// Notes that a request is sent.
    pub fn spend(&mut self, now: Instant) {
        self.next = Some(now + (WINDOW + WAY_TIME) / self.count.max(1));
    }
}
