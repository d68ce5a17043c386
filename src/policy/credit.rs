//! Caps as credit: how the share of moved requests is bounded without any
//! message between instances.
//!
//! Each selected request earns `cap` of credit, each moved one spends 1, and
//! credit never exceeds 1. So in any window an instance moves at most
//! `cap * requests + 1`, and the sum over instances obeys the same bound with
//! one extra request for each instance.

use std::cell::Cell;

/// One moved request, in units of credit. Whole numbers, so that many small
/// gains add up without rounding.
const ONE: i64 = 1_000_000;

/// The credit of one policy in one instance.
#[derive(Debug, Default)]
pub struct Credit(Cell<i64>);

impl Credit {
    /// Earns for one selected request under `cap`, 0 to 1.
    pub fn earn(&self, cap: f64) {
        self.add((cap * ONE as f64) as i64);
    }

    /// Spends for one moved request; false where the credit does not reach.
    pub fn spend(&self) -> bool {
        let reaches = self.0.get() >= ONE;
        if reaches {
            self.add(-ONE);
        }
        reaches
    }

    /// Gives back what [`Self::spend`] took for a request that was not moved.
    pub fn refund(&self) {
        self.add(ONE);
    }

    fn add(&self, gain: i64) {
        self.0.set((self.0.get() + gain).min(ONE));
    }
}
