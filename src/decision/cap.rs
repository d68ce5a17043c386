//! Caps as credit: how the share of moved requests is bounded without any
//! message between instances.
//!
//! Each selected request earns `cap` of credit, each moved one spends 1, and
//! credit never exceeds 1. So in any window an instance moves at most
//! `cap * requests + 1`, and the sum over instances obeys the same bound with
//! one extra request for each instance.

use std::sync::atomic::{AtomicI64, Ordering::Relaxed};

/// One moved request, in units of credit.
const ONE: i64 = 1_000_000;

/// The credit of one policy in one instance.
#[derive(Debug, Default)]
pub struct Credit(AtomicI64);

impl Credit {
    /// Earns for one selected request under `cap`, 0 to 1.
    pub fn earn(&self, cap: f64) {
        let gain = (cap * ONE as f64) as i64;
        let _ = self.0.fetch_update(Relaxed, Relaxed, |c| Some((c + gain).min(ONE)));
    }

    /// Spends for one moved request; false where the credit does not reach.
    pub fn spend(&self) -> bool {
        self.0.fetch_update(Relaxed, Relaxed, |c| (c >= ONE).then_some(c - ONE)).is_ok()
    }

    /// Gives back what [`Self::spend`] took for a request that was not moved.
    pub fn refund(&self) {
        let _ = self.0.fetch_update(Relaxed, Relaxed, |c| Some((c + ONE).min(ONE)));
    }
}

/// The credits of one policy: look-ups and requests are counted apart, since
/// a look-up announces a request that is counted itself when it comes.
#[derive(Debug, Default)]
pub struct Credits {
    /// For requests.
    pub requests: Credit,
    /// For look-ups.
    pub lookups: Credit,
}

impl Credits {
    /// The credit that an ask from an entry, or a look-up, spends.
    pub fn of(&self, lookup: bool) -> &Credit {
        if lookup { &self.lookups } else { &self.requests }
    }
}
