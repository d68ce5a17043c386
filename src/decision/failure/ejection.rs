//! Outlier ejection: the third failure in a row, and each later one of a request that was sent
//! after the last ejection began, sets a new ejection from then on, twice as long as the last,
//! at most 4 s; after it, one request at a time is sent as a trial until one succeeds.
//!
//! **Inputs**
//! - Failures that speak against the target (no connection, a broken exchange, an answer that
//!   is not its own) and sound answers, as this instance has seen them. A sound answer resets
//!   all but the mark that the target was replaced; failures without one count however old
//!   they are. A failure of a request that was sent before the last ejection says nothing new
//!   and does not count.
//! - When the request that failed was sent; exact.
//! - Requests of this instance in flight at the target; exact.
//! - A misdirected answer: another target listens at the address. This is final, since a new
//!   run of a target has a new registration.
//!
//! **Why.** The store lists a dead target until its lease runs out, some seconds. Requests
//! sent there meanwhile are lost or cost a retry.
//!
//! **Guards** the promise that requests are not lost at targets that are dead or broken, and
//! that a recovered target is used again within seconds.
//!
//! **Test**: `a_failing_target_is_ejected_and_tried_with_one_request` in
//! `tests/choice.rs`; `ejection_follows_failures_in_a_row` in `tests/rules.rs`;
//! `standins/tests/ejection.rs`.

use crate::clock::Instant;
use std::time::Duration;

/// Failures in a row after which a target is ejected. One or two happen by chance on lossy
/// links.
///
/// At 2 and 6 the value of three days on which targets crash differs by 2 in 1,000 at most.
const FAILURES_TO_EJECT: u32 = 3;
/// Length of the first ejection. Short, since objects cached at the target are lost to an
/// ejection that was wrong.
///
/// At half and double the value of three days on which targets crash differs by 2 in 1,000 at
/// most.
const FIRST_EJECTION: Duration = Duration::from_millis(500);
/// Longest ejection: bounds the delay with which a recovered target is used again;
/// disruptions last some 3 to 8 s.
///
/// At half and double the value of three days on which targets crash differs by 1 in 1,000 at
/// most.
const MAX_EJECTION: Duration = Duration::from_secs(4);

/// Failures of one target, and its ejection.
#[derive(Clone, Debug, Default)]
pub struct Ejection {
    failures: u32,
    ejections: u32,
    /// Beginning of the last ejection; `None` since the last success.
    since: Option<Instant>,
    /// End of the last ejection; `None` since the last success.
    until: Option<Instant>,
    /// Whether a request was sent after the last ejection.
    on_trial: bool,
    is_replaced: bool,
}

impl Ejection {
    /// Notes that a request is sent.
    pub fn begin(&mut self) {
        self.on_trial |= self.until.is_some();
    }

    /// Notes a sound answer: the target is trusted again.
    pub fn record_success(&mut self) {
        *self = Self { is_replaced: self.is_replaced, ..Self::default() };
    }

    /// Notes that a request sent at `sent` has failed, which speaks against the target; gives
    /// the length of the ejection that it causes. From the third in a row on each one causes
    /// the next, but for one of a request in flight since before the last ejection.
    pub fn record_failure(&mut self, sent: Instant, now: Instant) -> Option<Duration> {
        if self.since.is_some_and(|since| sent <= since) {
            return None;
        }
        self.failures += 1;
        let failed_trial = self.until.is_some_and(|until| now >= until);
        if self.failures < FAILURES_TO_EJECT && !failed_trial {
            return None;
        }
        let length = (FIRST_EJECTION * 2u32.pow(self.ejections.min(8))).min(MAX_EJECTION);
        self.ejections += 1;
        self.since = Some(now);
        self.until = Some(now + length);
        self.on_trial = false;
        Some(length)
    }

    /// Notes that another target answers at the address: this run is over.
    pub fn mark_replaced(&mut self) {
        self.is_replaced = true;
    }

    /// Whether the target gets no request now, with `in_flight` requests of this instance
    /// there.
    pub fn is_ejected(&self, in_flight: u32, now: Instant) -> bool {
        let on_trial = self.on_trial && in_flight > 0;
        self.is_replaced || self.until.is_some_and(|until| now < until || on_trial)
    }
}
