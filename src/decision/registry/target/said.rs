//! What a target has said of itself, for whoever asks the target.
//!
//! Owns nothing: the statements are shared by all records of one start of the target. Relies on
//! [`Statements`].

use super::Target;
use crate::clock::Instant;
use crate::decision::capacity::rate_limit::AnnouncedLimit;
use crate::decision::registry::statements::{Stated, StatedChange, Statements};
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

impl Target {
    /// What it has said of itself.
    pub fn statements(&self) -> Rc<RefCell<Statements>> {
        self.statements.clone()
    }

    /// Goes on with what an earlier record of the same start has heard.
    pub fn keep_statements(&mut self, statements: Rc<RefCell<Statements>>) {
        self.statements = statements;
    }

    /// Takes in what an answer to a request sent at `sent` says.
    /// `draw` is at random from 0 to 1.
    pub fn take_statements(&self, stated: Stated, draw: f64, sent: Instant, now: Instant) -> StatedChange {
        self.statements.borrow_mut().take(stated, draw, sent, now)
    }

    /// What is left of the pause that it asked for; `None` where there is none.
    pub fn pause_left(&self, now: Instant) -> Option<Duration> {
        self.statements.borrow().pause.left(now)
    }

    /// Whether its pause leaves this instance no request now.
    pub fn is_paused(&self, now: Instant) -> bool {
        self.statements.borrow().pause.excludes(self.in_flight(), now)
    }

    /// Whether it has said that it leaves.
    pub fn is_leaving(&self) -> bool {
        self.statements.borrow().is_leaving()
    }

    /// Takes in that it leaves, as it said to another instance; gives whether that was not known.
    pub fn hear_leaving(&self) -> bool {
        self.statements.borrow_mut().leave()
    }

    /// Takes in what it said of its rate limit to another instance; gives the limit that
    /// holds from now on where it is another one.
    pub fn hear_limit(&self, said: AnnouncedLimit, now: Instant) -> Option<Option<f64>> {
        self.statements.borrow_mut().limit.record_remote(said, now)
    }

    /// Requests a second that it takes of all instances; `None` where it has no limit.
    pub fn rate_limit(&self, now: Instant) -> Option<f64> {
        self.statements.borrow().limit.rate(now)
    }

    /// Whether it said something of a limit lately, also that it has none any more.
    pub fn has_limit_word(&self, now: Instant) -> bool {
        self.statements.borrow().limit.has_recent_signal(now)
    }

    /// What a head is told of its limit and of the demand for it.
    pub fn tell_limit(&self, now: Instant) -> Option<(Option<AnnouncedLimit>, f64)> {
        self.statements.borrow_mut().limit.take_report(now)
    }

    /// Takes the share of its requests that a head answered.
    pub fn set_limit_share(&self, pass: f64, draw: f64, now: Instant) {
        self.statements.borrow_mut().limit.set_share(pass, draw, now);
    }

    /// Share of its requests that may be sent; `None` where no head answered lately.
    pub fn limit_share(&self, now: Instant) -> Option<f64> {
        self.statements.borrow().limit.admit_ratio(now)
    }

    /// Works out the equal part of its limit of the member `own` again.
    pub fn update_limit_part<'a>(&self, own: &str, members: impl Iterator<Item = &'a str>, now: Instant) {
        self.statements.borrow_mut().limit.update_equal_share(self.key.hash(), own, members, now);
    }

    /// Whether its limit leaves this instance no request now.
    pub fn is_limit_used_up(&self, now: Instant) -> bool {
        self.statements.borrow().limit.is_exhausted(now)
    }

    /// Counts a request that its limit sends elsewhere.
    pub fn offer_limited(&self, now: Instant) {
        self.statements.borrow_mut().limit.record_offered(now);
    }

    /// Whether a head should be told at once of what comes for it.
    pub fn is_demand_unusual(&self, now: Instant) -> bool {
        self.statements.borrow().limit.has_surge(now)
    }

    pub(super) fn spend_limit(&self, now: Instant) {
        let mut statements = self.statements.borrow_mut();
        statements.limit.record_offered(now);
        statements.limit.record_sent(now);
    }

    /// Logs that its answers say something of it that cannot be read; one line for each start.
    pub fn log_unreadable(&self, field: &str) {
        if !self.was_unreadable.replace(true) {
            tracing::warn!(event = "target_statement_unreadable", id = &*self.id, hall = &*self.hall, field);
        }
    }
}
