//! What a target has said of itself, for whoever asks the target.
//!
//! Owns nothing: the signals are shared by all records of one start of the target. Relies on
//! [`TargetSignals`].

use super::Target;
use crate::clock::Instant;
use crate::decision::capacity::rate_limit::Said;
use crate::decision::registry::signals::{ResponseSignals, SignalChange, TargetSignals};
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

impl Target {
    /// What it has said of itself.
    pub fn signals(&self) -> Rc<RefCell<TargetSignals>> {
        self.signals.clone()
    }

    /// Goes on with what an earlier record of the same start has heard.
    pub fn inherit_signals(&mut self, signals: Rc<RefCell<TargetSignals>>) {
        self.signals = signals;
    }

    /// Takes in what an answer to a request sent at `sent` says.
    /// `draw` is at random from 0 to 1.
    pub fn apply_signals(&self, signals: ResponseSignals, draw: f64, sent: Instant, now: Instant) -> SignalChange {
        self.signals.borrow_mut().apply(signals, draw, sent, now)
    }

    /// What is left of the pause that it asked for; `None` where there is none.
    pub fn pause_remaining(&self, now: Instant) -> Option<Duration> {
        self.signals.borrow().pause.left(now)
    }

    /// Whether its pause leaves this instance no request now.
    pub fn is_paused(&self, now: Instant) -> bool {
        self.signals.borrow().pause.excludes(self.in_flight(), now)
    }

    /// Whether it has said that it leaves.
    pub fn is_leaving(&self) -> bool {
        self.signals.borrow().is_leaving()
    }

    /// Takes in that it leaves, as it said to another instance; gives whether that was not known.
    pub fn mark_leaving(&self) -> bool {
        self.signals.borrow_mut().mark_leaving()
    }

    /// Takes in what it said of its rate limit to another instance; gives the limit that
    /// holds from now on where it is another one.
    pub fn record_remote_limit(&self, said: Said, now: Instant) -> Option<Option<f64>> {
        self.signals.borrow_mut().limit.hear(said, now)
    }

    /// Requests a second that it takes of all instances; `None` where it has no limit.
    pub fn rate_limit(&self, now: Instant) -> Option<f64> {
        self.signals.borrow().limit.rate(now)
    }

    /// Whether it said something of a limit lately, also that it has none any more.
    pub fn has_recent_limit_signal(&self, now: Instant) -> bool {
        self.signals.borrow().limit.has_word(now)
    }

    /// What a head is told of its limit and of the demand for it.
    pub fn take_limit_report(&self, now: Instant) -> Option<(Option<Said>, f64)> {
        self.signals.borrow_mut().limit.tell(now)
    }

    /// Takes the share of its requests that a head answered.
    pub fn set_limit_share(&self, pass: f64, draw: f64, now: Instant) {
        self.signals.borrow_mut().limit.set_share(pass, draw, now);
    }

    /// Share of its requests that may be sent; `None` where no head answered lately.
    pub fn limit_share(&self, now: Instant) -> Option<f64> {
        self.signals.borrow().limit.pass(now)
    }

    /// Works out the equal part of its limit of the member `own` again.
    pub fn update_equal_limit_share<'a>(&self, own: &str, members: impl Iterator<Item = &'a str>, now: Instant) {
        self.signals.borrow_mut().limit.update_part(self.key.hash(), own, members, now);
    }

    /// Whether its limit leaves this instance no request now.
    pub fn is_limit_exhausted(&self, now: Instant) -> bool {
        self.signals.borrow().limit.is_used_up(now)
    }

    /// Counts a request that its limit sends elsewhere.
    pub fn record_offered(&self, now: Instant) {
        self.signals.borrow_mut().limit.offer(now);
    }

    /// Whether a head should be told at once of what comes for it.
    pub fn has_demand_surge(&self, now: Instant) -> bool {
        self.signals.borrow().limit.is_unusual(now)
    }

    pub(super) fn record_sent(&self, now: Instant) {
        let mut signals = self.signals.borrow_mut();
        signals.limit.offer(now);
        signals.limit.spend(now);
    }

    /// Logs that its answers say something of it that cannot be read; one line for each start.
    pub fn log_unreadable(&self, field: &str) {
        if !self.is_unreadable_logged.replace(true) {
            tracing::warn!(event = "target_statement_unreadable", id = &*self.id, hall = &*self.hall, field);
        }
    }
}
