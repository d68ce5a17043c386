//! The choice of a target within the hall.

use super::near::splitmix;
use crate::load::{TargetState, Unusable};
use crate::service::Repeat;
use crate::target::TargetSet;
use rand::Rng;
use std::sync::Arc;

/// How far above the average load a target may go before a repeatable
/// request passes on to the next in its own order.
const BOUND: f64 = 1.25;
/// The largest part of a hall's targets that ejection may take out.
const MAX_EJECTED: f64 = 0.5;

/// What the choice is made among.
pub struct Field<'a> {
    /// The hall's targets of the service.
    pub targets: &'a [Arc<TargetState>],
    /// Position in the service of the first of them.
    pub first: usize,
    /// Targets that policies or limits take away, by position in the service.
    pub gone: &'a TargetSet,
    /// Whether this instance's lease is valid.
    pub leased: bool,
}

/// Why no target took the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoTarget {
    /// Every target is excluded, leaving or ejected.
    None,
    /// This instance has no quota here.
    NoQuota,
    /// All slots of this instance's quota are in use.
    Full,
}

impl Field<'_> {
    /// Takes a slot of the best target; the index is within the hall.
    ///
    /// # Errors
    /// [`NoTarget`] tells whether waiting for a slot can help.
    pub fn take(&self, repeat: Repeat, seed: u64) -> Result<usize, NoTarget> {
        let usable = self.usable();
        if usable.is_empty() {
            return Err(NoTarget::None);
        }
        let taken = match repeat {
            Repeat::Safe => self.by_hash(&usable, seed),
            Repeat::Never => self.by_two_choices(&usable),
        };
        taken.ok_or_else(|| self.why_full(&usable))
    }

    /// Slots of usable targets that this instance may use, and those in use.
    pub fn slots(&self) -> (u32, u32) {
        let usable = self.usable();
        let slots = usable.iter().map(|i| self.targets[*i].limit(self.leased)).sum();
        let flight = usable.iter().map(|i| self.targets[*i].flight()).sum();
        (slots, flight)
    }

    /// Targets that may take work. Ejection stops at [`MAX_EJECTED`]: past
    /// it the failures speak of the hall, not of the targets.
    fn usable(&self) -> Vec<usize> {
        let mut usable = Vec::with_capacity(self.targets.len());
        let mut ejected = Vec::new();
        for (i, target) in self.targets.iter().enumerate() {
            if self.gone.contains(self.first + i) {
                continue;
            }
            match target.unusable() {
                None => usable.push(i),
                Some(Unusable::Ejected) => ejected.push(i),
                Some(Unusable::Leaving) => {}
            }
        }
        let total = usable.len() + ejected.len();
        let most = (total as f64 * MAX_EJECTED) as usize;
        if ejected.len() > most {
            usable.extend(ejected.drain(most..));
        }
        usable
    }

    /// Rendezvous hash with bounded load: the same caller meets the same
    /// warm cache until that target is above its bound.
    fn by_hash(&self, usable: &[usize], seed: u64) -> Option<usize> {
        let flight: u32 = usable.iter().map(|i| self.targets[*i].flight()).sum();
        let quota: u32 = usable.iter().map(|i| self.targets[*i].limit(self.leased)).sum();
        let share = f64::from(flight + 1) / f64::from(quota.max(1));
        let mut order: Vec<(u64, usize)> =
            usable.iter().map(|i| (splitmix(seed ^ self.targets[*i].hash), *i)).collect();
        order.sort_unstable_by(|a, b| b.cmp(a));
        let bounded = |i: usize| {
            let limit = self.targets[i].limit(self.leased);
            let bound = (f64::from(limit) * share * BOUND).ceil() as u32;
            self.targets[i].try_take(bound.min(limit))
        };
        let first = order.iter().map(|(_, i)| *i).find(|i| bounded(*i));
        first.or_else(|| order.iter().map(|(_, i)| *i).find(|i| self.try_take(*i)))
    }

    /// The better of two random targets with free slots, then any other.
    fn by_two_choices(&self, usable: &[usize]) -> Option<usize> {
        let mut rng = rand::rng();
        let a = usable[rng.random_range(0..usable.len())];
        let b = usable[rng.random_range(0..usable.len())];
        let (first, second) = if self.cost(a) <= self.cost(b) { (a, b) } else { (b, a) };
        if self.try_take(first) {
            return Some(first);
        }
        if self.try_take(second) {
            return Some(second);
        }
        let start = rng.random_range(0..usable.len());
        let mut rest = (0..usable.len()).map(|i| usable[(start + i) % usable.len()]);
        rest.find(|i| self.try_take(*i))
    }

    fn cost(&self, i: usize) -> f64 {
        let target = &self.targets[i];
        let latency = target.latency.micros().max(1) as f64;
        latency * f64::from(target.flight() + 1) * target.report_penalty()
    }

    fn try_take(&self, i: usize) -> bool {
        let target = &self.targets[i];
        target.try_take(target.limit(self.leased))
    }

    fn why_full(&self, usable: &[usize]) -> NoTarget {
        let quota: u32 = usable.iter().map(|i| self.targets[*i].limit(self.leased)).sum();
        if quota == 0 { NoTarget::NoQuota } else { NoTarget::Full }
    }
}
