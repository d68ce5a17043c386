//! Links: declared one-way delays and rates between halls.

use crate::key::{HallKey, Key};
use std::time::Duration;

/// Delay assumed between two halls of one region without a declared link.
pub const DEFAULT_NEAR: Duration = Duration::from_millis(1);
/// Delay assumed between two regions without a declared link.
pub const DEFAULT_FAR: Duration = Duration::from_millis(50);

/// One-way delays between all halls, and link rates.
#[derive(Clone, Debug, Default)]
pub struct Links {
    halls: usize,
    delays: Vec<Duration>,
    rates: Vec<Option<u64>>,
}

impl Links {
    /// A table for `halls` halls with the default delays; `same` tells
    /// whether two halls share a region.
    pub fn new(halls: usize, same: impl Fn(HallKey, HallKey) -> bool) -> Self {
        let mut delays = Vec::with_capacity(halls * halls);
        for a in 0..halls {
            for b in 0..halls {
                let near = same(HallKey::from_index(a), HallKey::from_index(b));
                let delay = match (a == b, near) {
                    (true, _) => Duration::ZERO,
                    (false, true) => DEFAULT_NEAR,
                    (false, false) => DEFAULT_FAR,
                };
                delays.push(delay);
            }
        }
        Self { halls, delays, rates: vec![None; halls * halls] }
    }

    /// Declares a link in both directions.
    pub fn set(&mut self, a: HallKey, b: HallKey, delay: Duration, rate: Option<u64>) {
        for (x, y) in [(a, b), (b, a)] {
            let i = x.index() * self.halls + y.index();
            self.delays[i] = delay;
            self.rates[i] = rate;
        }
    }

    /// One-way delay from `a` to `b`.
    pub fn delay(&self, a: HallKey, b: HallKey) -> Duration {
        self.delays[a.index() * self.halls + b.index()]
    }

    /// Largest rate from `a` to `b` in bytes a second, where one is declared.
    pub fn rate(&self, a: HallKey, b: HallKey) -> Option<u64> {
        self.rates[a.index() * self.halls + b.index()]
    }
}
