//! Rate limits of targets: how many requests per second a target takes from all instances together,
//! as it announces in its responses.
//!
//! **Rule.** An instance sends a target with a limit the requests that it was granted, its allowance, and asks the
//! head of its hall for more. Requests for which none is left wait for the answer, or go to other targets of the
//! service, as if this one had less weight. The admit ratio, the limit divided by the demand of all instances, spreads
//! the requests over the instances. An instance whose questions are not answered sends its equal share of the limit.
//!
//! **Inputs**
//! - The limit that the target last announced to this instance or, as heads report it, to another
//!   one: 0 to 0.6 s old in normal operation; without an age limit while the target is silent or not asked. A
//!   target that starts again or changes its address does not inherit its limit.
//! - Requests whose first choice is the target, sent or not; counted here at once.
//! - The allowance, exact; the admit ratio, at most `MAX_ADMIT_RATIO_AGE` (1 s) old; for the equal share the members,
//!   as old as the view.
//!
//! | module | content |
//! |---|---|
//! | `limit_signal` | the header value in a response |
//! | `known_limit` | the limit that the target last announced |
//! | [`allowance`], `ask` | requests that may be sent; what is known of the questions about them |
//! | [`ledger`], [`accounts`], [`owner`] | what heads grant to instances and to each other, and which head grants to all |
//! | `demand` | requests per second that would be sent to the target |
//! | `equal_share` | the share of an instance without a current answer of a head |
//! | `use_counts` | what was sent and why, for the log |
//! | [`totals`] | what a head knows: the demands of all instances, and the admit ratio of each target |
//!
//! **Why.** The operators count all requests sent, including those that the target rejects, so its
//! rejections cannot serve as feedback. A number that is granted bounds what is sent also while demand grows, a
//! ratio does not. Equal shares alone leave most of a limit unused, since affinity keys bring a target's
//! requests to the instances of one region. `docs/design/rate-limits.md` compares both.
//!
//! **Guards** the operators' bound, and the promise that a limit is used. By the bound, all instances
//! that know the limit together send at most 1.5 times the requests that it allows in 4 s, plus 5.
//!
//! **Test**: `tests/rate_limits.rs`, `tests/allowances.rs`, `tests/rate_limit_replay.rs`,
//! `standins/tests/rate_limits.rs`, `standins/tests/limit_growth.rs`.

pub mod accounts;
pub mod allowance;
mod ask;
mod demand;
mod equal_share;
mod known_limit;
pub mod ledger;
mod limit_signal;
pub mod owner;
pub mod totals;
mod use_counts;

pub use ask::{AskOutcome, Permission};
pub use known_limit::AnnouncedLimit;
pub use limit_signal::LimitSignal;
pub use use_counts::{LimitUse, SendKind, UseCounts};

use crate::clock::Instant;
use crate::model::allowances::{AllowanceUse, GrantedAllowance};
use crate::model::rate_limits::StartKey;
use allowance::{Allowance, Holding};
use ask::Ask;
use demand::Demand;
use equal_share::EqualShare;
use known_limit::KnownLimit;
use std::time::Duration;

/// Window of the operators' bound.
const WINDOW: Duration = Duration::from_secs(4);
/// The operators' bound in a window: this factor on the limit, plus `SLACK` requests.
const OVERAGE: f64 = 1.5;
/// See [`OVERAGE`].
const SLACK: f64 = 5.0;
/// Requests per second that a target is sent whatever its limit: if it got none, no instance would
/// learn that the limit was lifted. It amounts to one request in the operators' window.
pub const MIN_RATE: f64 = 0.25;
/// Demand, requests per second, from which that for a target with a limit is reported: an average never reaches
/// zero.
const MIN_ACTIVE_DEMAND: f64 = 0.01;
/// Age up to which an admit ratio applies; it allows for some lost reports.
const MAX_ADMIT_RATIO_AGE: Duration = Duration::from_secs(1);
/// A report is sent at once if the requests since the last one exceed this number plus
/// `SURGE_FACTOR` times those usual in `REPORT_INTERVAL`.
const MIN_SURGE_REQUESTS: f64 = 3.0;
/// Factor on the admit ratio while allowances bound what is sent: the ratio only spreads the requests over
/// instances then, and random changes of demand must not keep requests from being sent.
const SPREAD_FACTOR: f64 = 1.5;
/// Time of its demand for which an instance with many requests holds some in advance.
const INSTANCE_RESERVE: Duration = Duration::from_millis(500);
/// See [`MIN_SURGE_REQUESTS`].
const SURGE_FACTOR: f64 = 2.0;
/// Time between two regular reports.
const REPORT_INTERVAL: Duration = Duration::from_millis(200);

/// An admit ratio that the head of the hall returned.
#[derive(Clone, Copy, Debug)]
struct AdmitRatio {
    /// Share of the requests for the target that may be sent, 0 to 1.
    ratio: f64,
    at: Instant,
}

/// The rate limit of one target, as this instance applies it.
#[derive(Debug, Default)]
pub struct RateLimit {
    known: KnownLimit,
    demand: Demand,
    /// Demand in the last report to the head, requests per second.
    reported_demand: f64,
    /// Requests whose first choice was the target since that report.
    requests_since_report: u32,
    admit_ratio: Option<AdmitRatio>,
    /// Fraction of a request carried over from earlier ones, 0 to 1.
    credit: f64,
    equal_share: EqualShare,
    allowance: Allowance,
    ask: Ask,
    counts: UseCounts,
}

impl RateLimit {
    /// Applies the signal of a response that arrived `now`, to a request sent at `sent`. Returns the
    /// new limit if it changed; the inner `None` means no limit.
    pub fn apply(&mut self, signal: LimitSignal, sent: Instant, now: Instant) -> Option<Option<f64>> {
        self.known.apply(signal, sent, now)
    }

    /// Records a limit that the target announced to another instance. Returns a change as
    /// [`Self::apply`] does.
    pub fn record_remote(&mut self, remote: AnnouncedLimit, now: Instant) -> Option<Option<f64>> {
        self.known.record_remote(remote, now)
    }

    /// The target's limit, requests per second; `None` if it has none.
    pub fn rate(&self) -> Option<f64> {
        self.known.rate()
    }

    /// Whether a limit was announced or lifted less than `MAX_LIMIT_AGE` (10 s) ago, or a target with a limit has
    /// demand.
    pub fn is_active(&self, now: Instant) -> bool {
        let has_demand = self.rate().is_some() && self.demand.rate(now) >= MIN_ACTIVE_DEMAND;
        has_demand || self.known.has_recent_signal(now)
    }

    /// Takes the values for a report to the head: the limit that the target last announced to this
    /// instance, and the demand, requests per second. `None` if it is not active ([`Self::is_active`]).
    pub fn take_report(&mut self, now: Instant) -> Option<(Option<AnnouncedLimit>, f64)> {
        if !self.is_active(now) {
            return None;
        }
        self.reported_demand = self.demand.rate(now);
        self.requests_since_report = 0;
        Some((self.known.own(now), self.reported_demand))
    }

    /// Sets the admit ratio, 0 to 1, that a head returned. If none applied before, the credit starts at
    /// `initial_credit`, random from 0 to 1, so that instances do not send their first requests at the
    /// same time.
    pub fn set_admit_ratio(&mut self, admit_ratio: f64, initial_credit: f64, now: Instant) {
        if self.admit_ratio(now).is_none() {
            self.credit = initial_credit;
        }
        self.admit_ratio = Some(AdmitRatio { ratio: admit_ratio.clamp(0.0, 1.0), at: now });
    }

    /// Recomputes the equal share of the member `own` for the target with the hash `target`.
    pub fn update_equal_share<'a>(&mut self, target: u64, own: &str, members: impl ExactSizeIterator<Item = &'a str>) {
        if let Some(rate) = self.rate() {
            self.equal_share.update(rate, target, own, members);
        }
    }

    /// Whether the limit forbids this instance to send the target a request now.
    pub fn is_exhausted(&self, now: Instant) -> bool {
        self.permission(now) != Permission::Send
    }

    /// Whether this instance may send the target a request now, or may ask for an allowance first.
    pub fn permission(&self, now: Instant) -> Permission {
        let may_send = |is_allowed| if is_allowed { Permission::Send } else { Permission::Exhausted };
        if self.rate().is_none() {
            return Permission::Send;
        }
        match self.ask.last(now) {
            AskOutcome::Unused if self.admit_ratio(now).is_some() => may_send(self.ratio_admits(now)),
            AskOutcome::Unused | AskOutcome::Unanswered => may_send(self.equal_share.may_send(now)),
            AskOutcome::None | AskOutcome::Granted | AskOutcome::Short if !self.ratio_admits(now) => {
                Permission::Exhausted
            }
            _ if self.allowance.left(now) > 0 => Permission::Send,
            AskOutcome::Short => Permission::Exhausted,
            AskOutcome::None | AskOutcome::Granted => Permission::Ask,
        }
    }

    /// Whether the admit ratio lets a request pass; true without a current one.
    fn ratio_admits(&self, now: Instant) -> bool {
        self.spread_ratio(now).is_none_or(|ratio| self.credit + ratio >= 1.0)
    }

    /// The admit ratio by which requests are spread over instances.
    fn spread_ratio(&self, now: Instant) -> Option<f64> {
        let ratio = self.admit_ratio(now)?;
        Some(if self.ask.last(now) == AskOutcome::Unused { ratio } else { (SPREAD_FACTOR * ratio).min(1.0) })
    }

    /// Records a request whose first choice is the target, sent or not.
    pub fn record_offered(&mut self, now: Instant) {
        self.demand.record(1, now);
        self.requests_since_report = self.requests_since_report.saturating_add(1);
        self.counts.offered = self.counts.offered.saturating_add(1);
        if let Some(ratio) = self.spread_ratio(now) {
            self.credit = (self.credit + ratio).min(2.0);
        }
    }

    /// Records a request that is sent, after [`Self::record_offered`]. What is sent while there is no limit does not
    /// count for one that is announced later.
    pub fn record_sent(&mut self, now: Instant) {
        if self.rate().is_none() {
            return;
        }
        if self.admit_ratio(now).is_some() {
            self.credit = (self.credit - 1.0).clamp(0.0, 1.0);
        }
        if self.uses_equal_share(now) {
            self.equal_share.record_sent(now);
        }
        self.allowance.record_used(1);
        self.ask.record_sent(now);
    }

    /// Whether the equal share applies: this instance hears from no head.
    fn uses_equal_share(&self, now: Instant) -> bool {
        match self.ask.last(now) {
            AskOutcome::Unused => self.admit_ratio(now).is_none(),
            outcome => outcome == AskOutcome::Unanswered,
        }
    }

    /// Has requests ask for allowances from now on.
    pub fn use_allowances(&mut self) {
        self.ask.start();
    }

    /// Counts requests that wait for an allowance.
    pub fn add_waiting(&mut self, change: i32) {
        self.ask.waiting = self.ask.waiting.saturating_add_signed(change);
    }

    /// When the question was asked that was answered last; `None` before the first.
    pub fn last_asked_at(&self) -> Option<Instant> {
        self.ask.asked_at()
    }

    /// What to ask the head for now; `None` if there is no reason to ask.
    pub fn begin_ask(&mut self, target: StartKey, now: Instant) -> Option<AllowanceUse> {
        if !self.should_ask(now) {
            return None;
        }
        let rate = self.rate()? as f32;
        let (wanted, in_advance) = (self.ask.waiting, self.wanted_in_advance(now));
        let Holding { used, until } = self.allowance.holding(now);
        self.ask.wanted = wanted;
        Some(AllowanceUse { target, rate, used, until, wanted, in_advance })
    }

    /// Whether the head should be asked: requests wait, more are to come than may be sent, or the head does not
    /// know yet what has been sent.
    pub fn should_ask(&self, now: Instant) -> bool {
        if self.rate().is_none() {
            return false;
        }
        if self.ask.waiting > 0 {
            return true;
        }
        let last = self.ask.last(now);
        let is_low = 2 * self.allowance.left(now) < self.wanted_in_advance(now) && last != AskOutcome::Short;
        is_low || (last != AskOutcome::Unused && self.ask.has_unreported(now))
    }

    /// Requests to hold in advance; none for an instance that sends less than two in the time, since what it
    /// holds others lack.
    fn wanted_in_advance(&self, now: Instant) -> u32 {
        if matches!(self.ask.last(now), AskOutcome::Unused | AskOutcome::Unanswered) {
            return 0;
        }
        let rate = self.demand.rate(now) * self.spread_ratio(now).unwrap_or(1.0);
        let count = rate.min(self.rate().unwrap_or(0.0)) * INSTANCE_RESERVE.as_secs_f64();
        if count < 2.0 { 0 } else { count.ceil() as u32 }
    }

    /// Applies the answer of the head to a question that was asked at `asked_at`; `None` if there is none.
    /// `random` is uniformly random between 0 and 1.
    pub fn apply_allowance(&mut self, answer: Option<GrantedAllowance>, random: f64, asked_at: Instant, now: Instant) {
        let validity = answer.map_or(Duration::ZERO, |granted| Duration::from_millis(granted.valid_ms.into()));
        let outcome = match answer {
            Some(granted) if !validity.is_zero() => {
                let held = self.allowance.used();
                self.allowance.renew(granted.until, validity, asked_at);
                let is_short = granted.until.saturating_sub(held) < self.ask.wanted;
                if is_short { AskOutcome::Short } else { AskOutcome::Granted }
            }
            _ => AskOutcome::Unanswered,
        };
        if outcome == AskOutcome::Unanswered && self.ask.last(now) != AskOutcome::Unanswered {
            self.equal_share.delay(random, now);
        }
        self.ask.record(outcome, asked_at, now);
    }

    /// Counts a request that is sent, for [`Self::take_use`].
    pub fn count_sent(&mut self, kind: SendKind) {
        self.counts.record_sent(kind);
    }

    /// Counts a request that the limit forbids to send, for [`Self::take_use`].
    pub fn count_limited(&mut self) {
        self.counts.limited = self.counts.limited.saturating_add(1);
    }

    /// How the limit is applied, with the counts since the last call. `None` if there is no limit, or no
    /// request came since.
    pub fn take_use(&mut self, now: Instant) -> Option<LimitUse> {
        let latest = self.known.latest()?;
        let counts = std::mem::take(&mut self.counts);
        let admit_ratio = self.admit_ratio.filter(|_| self.admit_ratio(now).is_some());
        (counts != UseCounts::default()).then_some(LimitUse {
            rate: latest.rate?,
            known_for: self.known.known_for(now),
            announced_age: now.saturating_duration_since(latest.at),
            is_remote: self.known.is_remote(),
            demand: self.demand.rate(now),
            reported_demand: self.reported_demand,
            admit_ratio: admit_ratio.map(|answer| (answer.ratio, now.saturating_duration_since(answer.at))),
            allowance: self.allowance.left(now),
            is_equal_share: self.uses_equal_share(now),
            counts,
        })
    }

    /// Whether so many requests came since the last report that the next report should be sent at once.
    pub fn has_surge(&self) -> bool {
        let usual = self.reported_demand * REPORT_INTERVAL.as_secs_f64();
        self.rate().is_some() && f64::from(self.requests_since_report) > MIN_SURGE_REQUESTS + SURGE_FACTOR * usual
    }

    /// The admit ratio, 0 to 1; `None` without a current answer of a head.
    pub fn admit_ratio(&self, now: Instant) -> Option<f64> {
        let admit_ratio = self.admit_ratio?;
        (now.saturating_duration_since(admit_ratio.at) < MAX_ADMIT_RATIO_AGE).then_some(admit_ratio.ratio)
    }
}
