//! Outlier ejection: after three consecutive failures a target is ejected, first for 500 ms and
//! then for twice as long each time, up to 4 s. Every further failure of a request that was sent
//! after the last ejection began ejects it again. After an ejection, one request at a time is sent
//! as a probe until one succeeds.
//!
//! **Inputs**
//! - Failures attributed to the target, and valid responses, as this instance observed them. A
//!   failure is a connection that cannot be made, a broken exchange, a server error, or a response
//!   that cannot be parsed, lacks the request's id or carries another one, or reports success without
//!   the target's signature. A valid response resets the failures and the ejection, but not the mark
//!   that the target was replaced. Until a valid response, failures count however old they are. The
//!   failure of a request that was sent before the last ejection carries no new information and does
//!   not count.
//! - When the failed request was sent; exact.
//! - Requests of this instance in flight at the target; exact.
//! - A misdirected response: another target listens at the address. This start of the target is
//!   then sent nothing more there; a new start has a registration of its own.
//!
//! **Why.** The store lists a dead target until its lease expires, which takes seconds. Requests
//! sent there in the meantime are lost or cost a retry.
//!
//! **Guards** the promises that a dead or broken target costs an instance few requests (the first
//! failures, those in flight at the time, and the probes), and that a recovered target is used again
//! within seconds.
//!
//! **Test**: `a_failing_target_is_ejected_and_probed_with_one_request` in
//! `tests/choice.rs`; `ejection_follows_failures_in_a_row` in `tests/rules.rs`;
//! `standins/tests/ejection.rs`.

use crate::clock::Instant;
use std::time::Duration;

/// Consecutive failures after which a target is ejected. One or two occur by chance on lossy
/// links.
const FAILURES_TO_EJECT: u32 = 3;
/// Length of the first ejection. Short, because a wrong ejection wastes the objects that the
/// target has cached.
const FIRST_EJECTION: Duration = Duration::from_millis(500);
/// Maximum length of an ejection: bounds how late a recovered target is used again; disruptions last
/// about 3 to 8 s.
const MAX_EJECTION: Duration = Duration::from_secs(4);

/// Consecutive failures of one target, and its ejection.
#[derive(Clone, Debug, Default)]
pub struct Ejection {
    failures: u32,
    ejections: u32,
    /// Start of the last ejection; `None` since the last success.
    ejected_at: Option<Instant>,
    /// End of the last ejection; `None` since the last success.
    ejected_until: Option<Instant>,
    /// Whether a request was sent after the last ejection began.
    probe_sent: bool,
    is_replaced: bool,
}

impl Ejection {
    /// Whether the target was ejected, and no request has succeeded since.
    pub fn awaits_probe(&self) -> bool {
        self.ejected_until.is_some()
    }

    /// Records that a request is sent.
    pub fn record_sent(&mut self) {
        self.probe_sent |= self.ejected_until.is_some();
    }

    /// Records a valid response, which resets the failures and ends the ejection.
    pub fn record_success(&mut self) {
        *self = Self { is_replaced: self.is_replaced, ..Self::default() };
    }

    /// Records that a request sent at `sent` failed because of the target, and returns the length
    /// of the ejection that this starts, if any. From the third consecutive failure on, each one
    /// starts an ejection, except those of requests that were sent before the last ejection began.
    pub fn record_failure(&mut self, sent: Instant, now: Instant) -> Option<Duration> {
        if self.ejected_at.is_some_and(|ejected_at| sent <= ejected_at) {
            return None;
        }
        self.failures += 1;
        let probe_failed = self.ejected_until.is_some_and(|until| now >= until);
        if self.failures < FAILURES_TO_EJECT && !probe_failed {
            return None;
        }
        let length = (FIRST_EJECTION * 2u32.pow(self.ejections.min(8))).min(MAX_EJECTION);
        self.ejections += 1;
        self.ejected_at = Some(now);
        self.ejected_until = Some(now + length);
        self.probe_sent = false;
        Some(length)
    }

    /// Records that another target responds at the address: this start has ended for good.
    pub fn mark_replaced(&mut self) {
        self.is_replaced = true;
    }

    /// Whether the target gets no request now, given `in_flight` requests of this instance there.
    pub fn is_ejected(&self, in_flight: u32, now: Instant) -> bool {
        let is_probe_in_flight = self.probe_sent && in_flight > 0;
        self.is_replaced || self.ejected_until.is_some_and(|until| now < until || is_probe_in_flight)
    }
}
