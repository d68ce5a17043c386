//! An allowance: a number of requests that its holder may send to a target until it expires. The holder is
//! an instance, or the head of a hall for all instances of the hall.
//!
//! **Inputs**: the answers of the grantor, exact; requests sent, counted at once.
//!
//! **Why.** A count bounds what is sent whatever the demand does before the next answer; a share of the
//! demand does not.
//!
//! Counters run from the start of the holder, so that a message that is lost or repeated changes nothing.
//!
//! **Guards** the operators' bound. **Test**: `tests/allowances.rs`.

use crate::clock::Instant;
use std::time::Duration;

/// Time for which an allowance applies after its holder asked for it. A grantor counts what a silent holder
/// has not used as used from then on.
pub const ALLOWANCE_VALIDITY: Duration = Duration::from_secs(1);

/// What a holder tells its grantor.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Holding {
    /// Requests sent since the holder started.
    pub used: u32,
    /// The value of `used` up to which requests may be sent.
    pub until: u32,
}

impl Holding {
    /// Requests that may still be sent.
    pub fn left(self) -> u32 {
        self.until.saturating_sub(self.used)
    }
}

/// The allowance of one holder for one target.
#[derive(Clone, Copy, Debug, Default)]
pub struct Allowance {
    holding: Holding,
    expires_at: Option<Instant>,
}

impl Allowance {
    /// Requests that may be sent now.
    pub fn left(&self, now: Instant) -> u32 {
        self.holding(now).left()
    }

    /// Time until it expires.
    pub fn validity(&self, now: Instant) -> Duration {
        self.expires_at.map_or(Duration::ZERO, |at| at.saturating_duration_since(now))
    }

    /// Requests sent since the holder started.
    pub fn used(&self) -> u32 {
        self.holding.used
    }

    /// The value of [`Self::used`] that the last answer allowed, expired or not.
    pub fn until(&self) -> u32 {
        self.holding.until
    }

    /// Counts requests that are sent.
    pub fn record_used(&mut self, count: u32) {
        self.holding.used = self.holding.used.saturating_add(count);
    }

    /// What to tell the grantor: nothing is left of an allowance that has expired.
    pub fn holding(&self, now: Instant) -> Holding {
        let Holding { used, until } = self.holding;
        Holding { used, until: if self.validity(now).is_zero() { used } else { until.max(used) } }
    }

    /// Applies an answer to a question that was asked at `asked_at`. It may allow less than before.
    pub fn renew(&mut self, until: u32, validity: Duration, asked_at: Instant) {
        self.holding.until = until;
        self.expires_at = Some(asked_at + validity.min(ALLOWANCE_VALIDITY));
    }
}
