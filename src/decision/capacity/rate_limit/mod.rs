//! Rate limits of targets: how many requests a second a target takes of all instances together, as
//! it says in its answers.
//!
//! **Rule.** A target that named a limit is sent the share of its requests that the head of the hall
//! answered last: the limit over what all instances have to send there. An instance that hears from
//! no head sends its equal part. What is not sent there goes to other targets of the service, as if
//! this one had less weight.
//!
//! **Inputs**
//! - What the target's answers said last, to this instance or, told by heads, to another one: 0 to
//!   0.6 s old in normal operation, forgotten after `LIMIT_LIFE` (10 s). One start of a target at one
//!   address inherits nothing from another.
//! - Requests that would go to the target first, sent or not; counted here at once.
//! - The share, at most `SHARE_AGE` (1 s) old; else the members, as old as the view.
//!
//! | module | its job |
//! |---|---|
//! | `stated` | the value in an answer |
//! | `known` | what the target said last |
//! | `demand` | requests a second that would be sent there |
//! | `part` | the equal part of an instance that hears from no head |
//! | [`totals`] | what a head knows: demands of all instances, shares |
//!
//! **Why.** What counts is what is sent, also what the target turns away, so that its refusals are
//! no feedback. The share of a head is used where the callers come in; equal parts alone leave most
//! of a limit unused, since keys bring a target's requests to the instances of one region. Both are
//! compared in `docs/design/rate-limits.md`.
//!
//! **Guards** the operators' bound: in 4 s at most one and a half times the limit and 5 requests, over
//! all instances that know of it; and the promise that a limit is used.
//!
//! **Test**: `tests/rate_limits.rs`, `tests/rate_limit_replay.rs`, `standins/tests/rate_limits.rs`.

mod demand;
mod known;
mod part;
mod stated;
pub mod totals;

pub use known::Said;
pub use stated::StatedLimit;

use crate::clock::Instant;
use demand::Demand;
use known::KnownLimit;
use part::Part;
use std::time::Duration;

/// Requests a second that a target is sent whatever it says: of one that is sent nothing nobody would
/// learn that its limit is gone. In the operators' window it is one.
pub const LEAST_RATE: f64 = 0.25;
/// Age up to which a share holds: some reports may be lost.
const SHARE_AGE: Duration = Duration::from_secs(1);
/// Requests since the last report from which the head is told at once: so many, and this factor on
/// those that are usual in `USUAL_TIME`.
const LEAST_UNUSUAL: f64 = 3.0;
/// See [`LEAST_UNUSUAL`].
const UNUSUAL: f64 = 2.0;
/// Time between two reports.
const USUAL_TIME: Duration = Duration::from_millis(200);

/// The share of requests to a target that may be sent.
#[derive(Clone, Copy, Debug)]
struct Share {
    pass: f64,
    at: Instant,
}

/// The limit of one target at this instance.
#[derive(Debug, Default)]
pub struct RateLimit {
    known: KnownLimit,
    demand: Demand,
    /// Requests a second that the head was told last, and requests since.
    told: f64,
    untold: u32,
    share: Option<Share>,
    /// What earlier requests left of the share, 0 to 1 request.
    credit: f64,
    part: Part,
}

impl RateLimit {
    /// Takes in what an answer says that arrived now, to a request sent at `sent`; gives the limit
    /// that holds from now on where it is another one, `None` in it for none.
    pub fn state(&mut self, stated: StatedLimit, sent: Instant, now: Instant) -> Option<Option<f64>> {
        self.known.state(stated, sent, now)
    }

    /// Takes in what the target said to another instance; gives a change as [`Self::state`].
    pub fn hear(&mut self, said: Said, now: Instant) -> Option<Option<f64>> {
        self.known.hear(said, now)
    }

    /// Requests a second that the target takes; `None` where it has no limit.
    pub fn rate(&self, now: Instant) -> Option<f64> {
        self.known.rate(now)
    }

    /// Whether the target said something of a limit lately, also that it has none any more.
    pub fn has_word(&self, now: Instant) -> bool {
        self.known.has_word(now)
    }

    /// What a head is told: what the target said here last, and the demand. `None` where nothing
    /// was said lately.
    pub fn tell(&mut self, now: Instant) -> Option<(Option<Said>, f64)> {
        if !self.known.has_word(now) {
            return None;
        }
        self.told = self.demand.rate(now);
        self.untold = 0;
        Some((self.known.own(now), self.told))
    }

    /// Takes the share that a head answered. The first one begins with `draw`, at random from 0 to
    /// 1, so that instances do not send their first requests together.
    pub fn set_share(&mut self, pass: f64, draw: f64, now: Instant) {
        if self.pass(now).is_none() {
            self.credit = draw;
        }
        self.share = Some(Share { pass: pass.clamp(0.0, 1.0), at: now });
    }

    /// Works out the equal part of the member `own` again.
    pub fn update_part<'a>(&mut self, target: u64, own: &str, members: impl Iterator<Item = &'a str>, now: Instant) {
        if let Some(rate) = self.rate(now) {
            self.part.update(rate, target, own, members);
        }
    }

    /// Whether the target may get no request of this instance now.
    pub fn is_used_up(&self, now: Instant) -> bool {
        if self.rate(now).is_none() {
            return false;
        }
        match self.pass(now) {
            Some(pass) => self.credit + pass < 1.0,
            None => !self.part.may_send(now),
        }
    }

    /// Counts a request that would go there first, sent or not.
    pub fn offer(&mut self, now: Instant) {
        self.demand.add(now);
        self.untold = self.untold.saturating_add(1);
        if let Some(pass) = self.pass(now) {
            self.credit += pass;
        }
    }

    /// Counts a request that is sent; it was offered.
    pub fn spend(&mut self, now: Instant) {
        match self.pass(now) {
            Some(_) => self.credit = (self.credit - 1.0).clamp(0.0, 1.0),
            None => self.part.spend(now),
        }
    }

    /// Whether so many requests came since the last report that the head should be told at once.
    pub fn is_unusual(&self, now: Instant) -> bool {
        let usual = self.told * USUAL_TIME.as_secs_f64();
        self.rate(now).is_some() && f64::from(self.untold) > LEAST_UNUSUAL + UNUSUAL * usual
    }

    /// The share that holds; `None` where no head answered lately.
    pub fn pass(&self, now: Instant) -> Option<f64> {
        let share = self.share?;
        (now.saturating_duration_since(share.at) < SHARE_AGE).then_some(share.pass)
    }
}
