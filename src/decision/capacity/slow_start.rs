//! Slow start: a target that just started, or whose hall was evacuated until now, gets only the
//! low rate of requests that it can serve with cold caches. The rate applies to all instances
//! together; each instance sends its own share, evenly spaced.
//!
//! **Inputs**
//! - Remaining warm-up, seconds, from the registration; counted from its arrival, and never
//!   shortened by a later one. After an evacuation, the service's warm-up from the
//!   configuration, since no registration says whether the target's caches became cold.
//! - Rate that a target of the service can serve with cold caches, requests per second, from the
//!   configuration. The share is recomputed when the members, this rate or the bounds change.
//! - [`SlowStartBounds`]: the settings `bounds.cold_overage` (factor) and `bounds.cold_slack`
//!   (requests per second), the operators' bound on what all instances send.
//! - Names of the members in the view, and when they last changed, which must be at least
//!   `MEMBERS_STABLE_TIME` (2 s) ago. The view itself must be younger than `MAX_VIEW_AGE`
//!   (1.3 s); otherwise no [`SlowStartInputs`] are passed and the target gets nothing.
//!
//! **Why.** Requests beyond the rate queue at the target and miss their latency objective.
//! The instances exchange no messages about it: rendezvous hashing over the members, which all
//! instances read from the store, gives each its share.
//!
//! **Guards** the promise that a target in slow start receives at most
//! `rate * overage + slack` requests in any second from all instances together, also while
//! the instances have two different views of the members.
//!
//! **Test**: `the_rate_in_slow_start_holds_over_disagreeing_views` (property over two views) and
//! `a_target_in_slow_start_gets_its_rate_once_the_members_are_stable` in `tests/choice.rs`;
//! `slow_start_spaces_an_instance_s_share` in `tests/rules.rs`.

use crate::clock::Instant;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Number of different member lists that instances may have at the same time without breaking the
/// bound: the one before a change of the members and the one after it.
const CONCURRENT_VIEWS: f64 = 2.0;
/// Time over which an instance's share is spaced: one second, plus 30 ms for uneven delays.
const WINDOW: Duration = Duration::from_millis(1_030);
/// Time for which the members must be unchanged before a target in slow start gets anything. It is
/// exactly the longest time by which another instance's view can lag: the longest wait for a call,
/// 0.7 s, plus `MAX_VIEW_AGE`, 1.3 s.
const MEMBERS_STABLE_TIME: Duration = Duration::from_millis(2_000);

/// The operators' bound on what a target in slow start receives beyond the rate that it can serve.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowStartBounds {
    /// Factor on the rate, from the setting `bounds.cold_overage`.
    pub overage: f64,
    /// Additional requests per second, from the setting `bounds.cold_slack`.
    pub slack: f64,
}

impl SlowStartBounds {
    /// Requests per second that all instances together send to a target in slow start that can serve
    /// `rate`. Rounded down, so that a target gets nothing if the result is below 1.
    pub fn shared_rate(&self, rate: f64) -> u32 {
        let bound = rate * self.overage + self.slack;
        rate.min(bound / CONCURRENT_VIEWS).max(0.0) as u32
    }
}

/// What an instance needs, besides the members, to compute its share of the rate of a target in slow
/// start; given only while its view is current.
#[derive(Clone, Copy, Debug)]
pub struct SlowStartInputs<'a> {
    /// Name of this instance among the members.
    pub own: &'a str,
    /// The operators' bound on what a target in slow start receives.
    pub bounds: SlowStartBounds,
}

/// Slow start of one target.
#[derive(Clone, Debug, Default)]
pub struct SlowStart {
    until: Option<Instant>,
    /// This instance's share, requests per second.
    rate: u32,
    /// What `rate` was computed for: the time of the last change of the members, and the shared rate.
    computed_for: Option<(Instant, u32)>,
    /// Earliest time of the next request.
    next_at: Option<Instant>,
}

impl SlowStart {
    /// Begins a slow start of `remaining` at `now`; never shortens one in progress.
    pub fn begin(&mut self, remaining: Duration, now: Instant) {
        if !remaining.is_zero() {
            self.until = self.until.max(Some(now + remaining));
        }
    }

    /// Whether the target is in slow start.
    pub fn is_active(&self, now: Instant) -> bool {
        self.until.is_some_and(|until| now < until)
    }

    /// Whether this instance may send the target a request now. `shared_rate` is the rate of all
    /// instances together, requests per second; `member_share` computes this instance's share of it, and
    /// is called only if that rate changed or the members did, which last changed at
    /// `members_changed_at`.
    pub fn may_send(
        &mut self,
        members_changed_at: Instant,
        shared_rate: u32,
        member_share: impl FnOnce(u32) -> u32,
        now: Instant,
    ) -> bool {
        if now.saturating_duration_since(members_changed_at) < MEMBERS_STABLE_TIME {
            return false;
        }
        if self.computed_for != Some((members_changed_at, shared_rate)) {
            self.rate = member_share(shared_rate);
            self.computed_for = Some((members_changed_at, shared_rate));
        }
        self.rate > 0 && self.next_at.is_none_or(|next_at| next_at <= now)
    }

    /// Records that a request is sent; during slow start, the next one has to wait.
    pub fn record_sent(&mut self, now: Instant) {
        if self.is_active(now) {
            self.next_at = Some(now + request_interval(self.rate));
        }
    }
}

/// Share of the member `own` in `total` requests to the target with the hash `target`; 0 if `own`
/// is not among the members. If there are more members than requests, the first `total` in the
/// target's rendezvous order get one each. Otherwise the share is rounded down, and the remainder of
/// the division stays unused.
///
/// In a large fleet most members are not among the first `total`, which a few dozen names show.
pub fn member_share<'a>(total: u32, target: u64, own: &str, members: impl ExactSizeIterator<Item = &'a str>) -> u32 {
    let mut members = members;
    let count = members.len() as u32;
    if count <= total {
        return if members.any(|name| name == own) { total / count } else { 0 };
    }
    let own_score = rendezvous_score(target, own);
    let (mut position, mut is_member) = (0, false);
    for name in members {
        is_member |= name == own;
        position += u32::from(rendezvous_score(target, name) < own_score);
        if position >= total {
            return 0;
        }
    }
    u32::from(is_member)
}

/// Time between two requests of an instance at `rate`, requests per second.
pub fn request_interval(rate: u32) -> Duration {
    WINDOW / rate.max(1)
}

fn rendezvous_score(target: u64, name: &str) -> u64 {
    xxh3_64_with_seed(name.as_bytes(), target)
}
