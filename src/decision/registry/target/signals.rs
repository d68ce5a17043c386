//! Access to the signals that a target has sent about itself.
//!
//! Owns no state: the signals are shared by all records of one start of the target. Relies on
//! [`TargetSignals`].

use super::Target;
use crate::clock::Instant;
use crate::decision::capacity::rate_limit::{AnnouncedLimit, LimitUse, Permission, SendKind};
use crate::decision::registry::signals::{ResponseSignals, SignalChange, TargetSignals};
use crate::model::allowances::{AllowanceUse, GrantedAllowance};
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

/// A request that waits for an allowance.
pub struct WaitingRequest(Rc<Target>);

impl Drop for WaitingRequest {
    fn drop(&mut self) {
        self.0.signals.borrow_mut().limit.add_waiting(-1);
    }
}

impl Target {
    /// Its signals, shared with the other records of the same start.
    pub fn signals(&self) -> Rc<RefCell<TargetSignals>> {
        self.signals.clone()
    }

    /// Shares the signals of an earlier record of the same start.
    pub fn inherit_signals(&mut self, signals: Rc<RefCell<TargetSignals>>) {
        self.signals = signals;
    }

    /// Applies the signals in the response to a request that was sent at `sent`. `random` is uniformly
    /// random between 0 and 1.
    pub fn apply_signals(&self, signals: ResponseSignals, random: f64, sent: Instant, now: Instant) -> SignalChange {
        self.signals.borrow_mut().apply(signals, random, sent, now)
    }

    /// Remaining time of the pause that it requested; `None` if there is none.
    pub fn pause_remaining(&self, now: Instant) -> Option<Duration> {
        self.signals.borrow().pause.remaining(now)
    }

    /// Whether its pause forbids this instance to send it a request now.
    pub fn is_paused(&self, now: Instant) -> bool {
        self.signals.borrow().pause.excludes(self.in_flight(), now)
    }

    /// Whether it has announced that it is leaving.
    pub fn is_leaving(&self) -> bool {
        self.signals.borrow().is_leaving()
    }

    /// Records that it is leaving, as it announced to another instance; returns whether this was not
    /// known before.
    pub fn mark_leaving(&self) -> bool {
        self.signals.borrow_mut().mark_leaving()
    }

    /// Records a rate limit that it announced to another instance; returns the limit in force from now
    /// on if it changed.
    pub fn record_remote_limit(&self, remote: AnnouncedLimit, now: Instant) -> Option<Option<f64>> {
        self.signals.borrow_mut().limit.record_remote(remote, now)
    }

    /// Its rate limit over all instances, requests per second; `None` if it has none.
    pub fn rate_limit(&self) -> Option<f64> {
        self.signals.borrow().limit.rate()
    }

    /// Whether it recently announced a rate limit or that it no longer has one, or has one and there is demand for it.
    pub fn has_active_limit(&self, now: Instant) -> bool {
        self.signals.borrow().limit.is_active(now)
    }

    /// Takes the values for the next report to a head: the limit that it last announced to this instance,
    /// and the demand for the target, requests per second. `None` if no limit is known and none was lifted
    /// in the last 10 s.
    pub fn take_limit_report(&self, now: Instant) -> Option<(Option<AnnouncedLimit>, f64)> {
        self.signals.borrow_mut().limit.take_report(now)
    }

    /// Sets the share of its requests, 0 to 1, that a head allows to be sent. `random` is uniformly
    /// random between 0 and 1.
    pub fn set_limit_admit_ratio(&self, admit_ratio: f64, random: f64, now: Instant) {
        self.signals.borrow_mut().limit.set_admit_ratio(admit_ratio, random, now);
    }

    /// Share of its requests that may be sent, 0 to 1; `None` without a current answer of a head.
    pub fn limit_admit_ratio(&self, now: Instant) -> Option<f64> {
        self.signals.borrow().limit.admit_ratio(now)
    }

    /// Recomputes the equal share of its limit for the member `own`.
    pub fn update_equal_limit_share<'a>(&self, own: &str, members: impl ExactSizeIterator<Item = &'a str>) {
        self.signals.borrow_mut().limit.update_equal_share(self.key.hash(), own, members);
    }

    /// Whether its rate limit lets this instance send it a request now, or ask for an allowance first.
    pub fn limit_permission(&self, now: Instant) -> Permission {
        self.signals.borrow().limit.permission(now)
    }

    /// Counts a request that waits for an allowance, until the result is dropped.
    pub fn wait_for_allowance(self: &Rc<Self>) -> WaitingRequest {
        self.signals.borrow_mut().limit.add_waiting(1);
        WaitingRequest(self.clone())
    }

    /// When the question about allowances was asked that was answered last; `None` before the first.
    pub fn last_asked_at(&self) -> Option<Instant> {
        self.signals.borrow().limit.last_asked_at()
    }

    /// Whether the head should be asked for an allowance.
    pub fn should_ask(&self, now: Instant) -> bool {
        self.signals.borrow().limit.should_ask(now)
    }

    /// What to ask the head for now; `None` if there is no reason to ask.
    pub fn begin_ask(&self, now: Instant) -> Option<AllowanceUse> {
        self.signals.borrow_mut().limit.begin_ask(self.start_key, now)
    }

    /// Applies the answer of the head to a question that was asked at `asked_at`; `None` if there is none.
    /// `random` is uniformly random between 0 and 1.
    pub fn apply_allowance(&self, answer: Option<GrantedAllowance>, random: f64, asked_at: Instant, now: Instant) {
        self.signals.borrow_mut().limit.apply_allowance(answer, random, asked_at, now);
    }

    /// Counts a request whose first choice it is, but that is diverted to another target by its rate limit.
    pub fn record_limited_demand(&self, now: Instant) {
        let mut signals = self.signals.borrow_mut();
        signals.limit.record_offered(now);
        signals.limit.count_limited();
    }

    /// Counts a request that is sent to it, for the log.
    pub fn count_sent(&self, kind: SendKind) {
        self.signals.borrow_mut().limit.count_sent(kind);
    }

    /// How its limit is applied, with the counts since the last call; `None` if it has none, or no
    /// request came since.
    pub fn take_limit_use(&self, now: Instant) -> Option<LimitUse> {
        self.signals.borrow_mut().limit.take_use(now)
    }

    /// Whether the next request to it is a probe, since it was ejected or paused.
    pub fn awaits_probe(&self) -> bool {
        self.ejection.borrow().awaits_probe() || self.signals.borrow().pause.awaits_probe()
    }

    /// Whether demand has risen so much since the last report that the head should be sent one at once.
    pub fn has_demand_surge(&self) -> bool {
        self.signals.borrow().limit.has_surge()
    }

    /// Counts a request that is sent to it: in the demand for it, and as use of its rate limit.
    pub(super) fn record_limit_use(&self, now: Instant) {
        let mut signals = self.signals.borrow_mut();
        signals.limit.record_offered(now);
        signals.limit.record_sent(now);
    }

    /// Logs that a field of its responses is unreadable, once per record of the target.
    pub fn log_unreadable(&self, field: &str) {
        if !self.is_unreadable_logged.replace(true) {
            tracing::warn!(event = "target_statement_unreadable", id = &*self.id, hall = &*self.hall, field);
        }
    }
}
