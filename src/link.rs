//! Links: declared one-way delays and rates between halls.

use crate::key::{HallKey, Key, RegionKey};
use std::time::Duration;

/// Delay assumed between two halls of one region without a declared link.
pub const DEFAULT_NEAR: Duration = Duration::from_millis(1);
/// Delay assumed between two regions without a declared link.
pub const DEFAULT_FAR: Duration = Duration::from_millis(50);

/// One-way delays between all halls, and link rates.
#[derive(Clone, Debug, Default)]
pub struct Links {
    halls: usize,
    /// Microseconds, from hall times halls plus to hall.
    delays: Vec<u64>,
    rates: Vec<Option<u64>>,
    /// From each region to each hall, filled by [`Links::close`].
    origins: Vec<u64>,
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
                delays.push(delay.as_micros() as u64);
            }
        }
        Self { halls, delays, rates: vec![None; halls * halls], origins: Vec::new() }
    }

    /// Declares a link in both directions.
    pub fn set(&mut self, a: HallKey, b: HallKey, delay: Duration, rate: Option<u64>) {
        for (x, y) in [(a, b), (b, a)] {
            let i = x.index() * self.halls + y.index();
            self.delays[i] = delay.as_micros() as u64;
            self.rates[i] = rate;
        }
    }

    /// Works out the delays from regions once all links are declared;
    /// `regions` names the region of each hall.
    pub fn close(&mut self, regions: &[RegionKey], count: usize) {
        for region in (0..count).map(RegionKey::from_index) {
            for to in (0..self.halls).map(HallKey::from_index) {
                let own = regions.iter().enumerate().filter(|(_, r)| **r == region);
                let nearest = own.map(|(from, _)| self.delay_us(HallKey::from_index(from), to)).min();
                self.origins.push(nearest.unwrap_or_default());
            }
        }
    }

    /// Smallest one-way delay from any hall of a region to a hall, in
    /// microseconds.
    pub fn from_region_us(&self, region: RegionKey, to: HallKey) -> u64 {
        self.origins[region.index() * self.halls + to.index()]
    }

    /// One-way delay from `a` to `b`.
    pub fn delay(&self, a: HallKey, b: HallKey) -> Duration {
        Duration::from_micros(self.delay_us(a, b))
    }

    /// One-way delay from `a` to `b` in microseconds.
    pub fn delay_us(&self, a: HallKey, b: HallKey) -> u64 {
        self.delays[a.index() * self.halls + b.index()]
    }

    /// Largest rate from `a` to `b` in bytes a second, where one is declared.
    pub fn rate(&self, a: HallKey, b: HallKey) -> Option<u64> {
        self.rates[a.index() * self.halls + b.index()]
    }
}
