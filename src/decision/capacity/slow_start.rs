//! Slow start: a target that was just started, or whose hall was evacuated until now, gets
//! only the few requests a second that it bears while its caches are cold, over all
//! instances together; each instance sends its own share, evenly spaced.
//!
//! **Inputs**
//! - Remaining warm-up, seconds, from the registration; counted from its arrival, and never
//!   shortened by a later one. After an evacuation, the service's warm-up from the
//!   configuration, since no registration says whether the target became cold.
//! - Rate that a cold target of the service bears, requests a second, from the configuration.
//!   The share is worked out again when the members, this rate or the bounds change.
//! - [`SlowStartBounds`]: the settings `bounds.cold_overage` (factor) and `bounds.cold_slack`
//!   (requests a second), the operators' bound on what all instances send.
//! - Names of the members in the view, and when they last changed (at least
//!   `MEMBERS_STEADY`, 2 s, ago). The view itself must be younger than `MAX_VIEW_AGE`
//!   (1.3 s), or [`SlowStartShare`] is not given and the target gets nothing.
//!
//! **Why.** Requests beyond the rate wait at the cold target and miss their objective. The
//! instances exchange no messages about it: rendezvous hashing over the members, which all
//! read from the store, gives each its share.
//!
//! **Guards** the promise that a cold target receives at most
//! `rate * overage + slack` requests in any second from all instances together, also while
//! the instances hold two different views of the members.
//!
//! **Test**: `a_cold_target_s_rate_holds_over_disagreeing_views` (property over two views) and
//! `a_cold_target_gets_its_rate_once_the_members_are_steady` in `tests/choice.rs`;
//! `slow_start_spaces_an_instance_s_share` in `tests/rules.rs`.

use crate::clock::Instant;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Different views of the members that instances may hold at the same time and still keep
/// the bound together: those who have seen a change, and those who have not yet.
const VIEWS: f64 = 2.0;
/// Time over which an instance's share is spaced: one second, plus 30 ms for uneven delays.
const WINDOW: Duration = Duration::from_millis(1_030);
/// Time for which the members must have stayed the same before a cold target gets anything:
/// equal to the lag that another instance's view may have, with no margin (the longest wait
/// for a call, 0.7 s, and `MAX_VIEW_AGE`, 1.3 s).
const MEMBERS_STEADY: Duration = Duration::from_millis(2_000);

/// The operators' bound on what a cold target receives, beyond the rate that it bears.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowStartBounds {
    /// Factor on the rate.
    pub overage: f64,
    /// Requests a second besides.
    pub slack: f64,
}

impl SlowStartBounds {
    /// Requests a second that the instances send to a cold target together, of the `rate`
    /// that it bears; rounded down, so that below 1 request/s a cold target gets nothing.
    pub fn shared_rate(&self, rate: f64) -> u32 {
        let bound = rate * self.overage + self.slack;
        rate.min(bound / VIEWS).max(0.0) as u32
    }
}

/// An instance that may send cold targets its share of their rate.
#[derive(Clone, Copy, Debug)]
pub struct SlowStartShare<'a> {
    /// Its name among the members.
    pub own: &'a str,
    /// What cold targets may receive.
    pub bounds: SlowStartBounds,
}

/// Slow start of one target.
#[derive(Clone, Debug, Default)]
pub struct SlowStart {
    until: Option<Instant>,
    /// This instance's share, requests a second.
    rate: u32,
    /// Change of the members and shared rate for which `rate` was worked out.
    worked_out: Option<(Instant, u32)>,
    /// When the next request may be sent.
    next: Option<Instant>,
}

impl SlowStart {
    /// Makes the target cold for `remaining` from now on; never shortens.
    pub fn begin(&mut self, remaining: Duration, now: Instant) {
        if !remaining.is_zero() {
            self.until = self.until.max(Some(now + remaining));
        }
    }

    /// Whether the target is cold.
    pub fn is_active(&self, now: Instant) -> bool {
        self.until.is_some_and(|until| now < until)
    }

    /// Whether this instance may send the target a request now. Its share, `own_rate` of the
    /// `shared` requests a second, is worked out again where that or the members, last changed
    /// at `members_at`, have changed.
    pub fn may_send(
        &mut self,
        members_at: Instant,
        shared: u32,
        own_rate: impl FnOnce(u32) -> u32,
        now: Instant,
    ) -> bool {
        if now.saturating_duration_since(members_at) < MEMBERS_STEADY {
            return false;
        }
        if self.worked_out != Some((members_at, shared)) {
            self.rate = own_rate(shared);
            self.worked_out = Some((members_at, shared));
        }
        self.rate > 0 && self.next.is_none_or(|next| next <= now)
    }

    /// Notes that a request is sent.
    pub fn spend(&mut self, now: Instant) {
        if self.is_active(now) {
            self.next = Some(now + spacing(self.rate));
        }
    }
}

/// The share of `shared` requests a second that the member `own` may send to the target with
/// this hash; 0 for one that is not listed. Where there are more members than requests, the
/// first in the target's own order of the members send one each. Rounded down: the remainder
/// of a division goes unused.
pub fn own_rate<'a>(shared: u32, target: u64, own: &str, members: impl Iterator<Item = &'a str>) -> u32 {
    let own_draw = draw(target, own);
    let (mut count, mut before, mut is_listed) = (0, 0, false);
    for name in members {
        count += 1;
        is_listed |= name == own;
        before += u32::from(draw(target, name) < own_draw);
    }
    match is_listed {
        false => 0,
        true if count > shared => u32::from(before < shared),
        true => shared / count,
    }
}

/// Time from one request to the next at a rate, requests a second.
pub fn spacing(rate: u32) -> Duration {
    WINDOW / rate.max(1)
}

fn draw(target: u64, name: &str) -> u64 {
    xxh3_64_with_seed(name.as_bytes(), target)
}
