//! Rate limits of targets: how many requests a second a target takes of all instances together, as
//! it says in its answers.
//!
//! **Inputs**
//! - What the target's answers say ([`StatedLimit`]).
//!
//! **Test**: `tests/rate_limits.rs`.

mod stated;

pub use stated::StatedLimit;

use crate::clock::Instant;

/// What is known of a target's limit.
#[derive(Clone, Copy, Debug)]
struct Known {
    /// Requests a second; `None` where it names none.
    rate: Option<f64>,
    at: Instant,
}

/// The limit of one target.
#[derive(Debug, Default)]
pub struct RateLimit {
    known: Option<Known>,
}

impl RateLimit {
    /// Takes in what an answer says that arrived now, to a request sent at `sent`; gives the limit
    /// that holds from now on where it is another one, `None` in it for none.
    pub fn state(&mut self, stated: StatedLimit, sent: Instant, now: Instant) -> Option<Option<f64>> {
        let rate = match stated {
            StatedLimit::None => None,
            StatedLimit::Rate(rate) => Some(rate),
            StatedLimit::Unreadable => return None,
        };
        let before = self.rate();
        let is_lower = rate.is_some_and(|rate| before.is_none_or(|before| rate < before));
        // An answer that was under way says nothing against what the target said later.
        let is_later = self.known.is_none_or(|known| known.at <= sent);
        if is_lower || is_later || rate == before {
            self.known = Some(Known { rate, at: now });
        }
        (self.rate() != before).then(|| self.rate())
    }

    /// Requests a second; `None` where it has no limit.
    pub fn rate(&self) -> Option<f64> {
        self.known?.rate
    }
}
