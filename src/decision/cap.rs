//! Caps as credit: how the share of moved requests is bounded without any
//! message between instances.
//!
//! Each selected request earns `cap` of credit, each moved one spends 1, and
//! credit never exceeds 1. So in any window an instance moves at most
//! `cap * requests + 1`, and the sum over instances obeys the same bound with
//! one extra request for each instance.

use std::sync::atomic::{AtomicI64, AtomicU32, Ordering::Relaxed};

/// One moved request, in units of credit.
const ONE: i64 = 1_000_000;
/// The most moves that are owed at once.
const MOST_OWED: u32 = 64;

/// The credit of one policy in one instance.
#[derive(Debug, Default)]
pub struct Credit {
    credit: AtomicI64,
    owed: AtomicU32,
}

impl Credit {
    /// Earns for one selected request under `cap`, 0 to 1.
    pub fn earn(&self, cap: f64) {
        let gain = (cap * ONE as f64) as i64;
        let _ = self.credit.fetch_update(Relaxed, Relaxed, |c| Some((c + gain).min(ONE)));
    }

    /// Spends for one moved request; false where the credit does not reach.
    pub fn spend(&self) -> bool {
        self.credit.fetch_update(Relaxed, Relaxed, |c| (c >= ONE).then_some(c - ONE)).is_ok()
    }

    /// Gives back what [`Self::spend`] took for a request that was not moved.
    pub fn refund(&self) {
        let _ = self.credit.fetch_update(Relaxed, Relaxed, |c| Some((c + ONE).min(ONE)));
    }

    /// Notes that a caller whom a weight moves had to stay for want of
    /// credit. Callers arrive in bursts and credit does not build up, so
    /// without this a weight near its cap would move far less than its share.
    pub fn owe(&self) {
        let _ = self.owed.fetch_update(Relaxed, Relaxed, |n| (n < MOST_OWED).then_some(n + 1));
    }

    /// Takes one owed move, to be made with another caller in its stead.
    pub fn take_owed(&self) -> bool {
        self.owed.fetch_update(Relaxed, Relaxed, |n| n.checked_sub(1)).is_ok()
    }
}
