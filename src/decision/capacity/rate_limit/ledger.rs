//! A ledger: the requests that a grantor may still grant for one target, and what its holders have of it.
//!
//! **Rule.** What may be granted and what is granted and unused never exceed the depth together. Holders get
//! what they want for requests that wait, and some in advance; they give the rest back.
//!
//! **Inputs**: reports of the holders, exact when they were sent. A holder that is silent for
//! `MAX_HOLDER_AGE` (1 s) counts as having sent everything that it was granted.
//!
//! **Guards** the operators' bound: in any window no more is sent than the depth, plus what the rate adds in it.
//! **Test**: `tests/allowances.rs`.

use super::allowance::{ALLOWANCE_VALIDITY, Holding};
use crate::clock::Instant;
use std::collections::BTreeMap;
use std::time::Duration;

/// Age from which a holder is dropped: its allowance has expired for certain, since it counts from an earlier
/// moment.
const MAX_HOLDER_AGE: Duration = ALLOWANCE_VALIDITY;
/// Part of all that may be granted that holders get in advance (no unit): what one holds the others lack.
const ADVANCE_FRACTION: f64 = 0.5;

/// Identifies a holder: one start of an instance.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct HolderId {
    /// Name of the hall.
    pub hall: String,
    /// Name of the instance.
    pub name: String,
    /// Number drawn when it started.
    pub epoch: u32,
}

/// What a holder reports and wants.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HolderReport {
    /// What it has used and holds.
    pub holding: Holding,
    /// Requests that it wants to hold for those that wait, or that it has granted itself.
    pub wanted: u32,
    /// Requests that it wants to hold beside them, for those to come.
    pub in_advance: u32,
}

impl HolderReport {
    /// Requests that it wants to hold for those that wait, and in advance.
    pub fn wants(self) -> (u32, u32) {
        (self.wanted, self.in_advance)
    }
}

#[derive(Clone, Copy, Debug)]
struct Holder {
    report: HolderReport,
    at: Instant,
}

/// The ledger of one target.
#[derive(Debug, Default)]
pub struct Ledger {
    /// Requests that may be granted; below zero while holders have sent more than they held.
    level: f64,
    refilled_at: Option<Instant>,
    holders: BTreeMap<HolderId, Holder>,
}

impl Ledger {
    /// A ledger without holders.
    pub fn starting_with(level: f64) -> Self {
        Self { level, ..Self::default() }
    }

    /// Requests that may be granted now; below zero while holders have sent more than they held.
    pub fn level(&self) -> f64 {
        self.level
    }

    /// Requests that are granted and, as far as known, unused.
    pub fn outstanding(&self) -> u32 {
        self.holders.values().map(|holder| holder.report.holding.left()).fold(0, u32::saturating_add)
    }

    /// Adds what `rate`, requests per second, has brought since the last call, up to `depth`, requests.
    pub fn refill(&mut self, rate: f64, depth: f64, now: Instant) {
        let elapsed = self.refilled_at.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        self.refilled_at = Some(now);
        let max_level = depth - f64::from(self.outstanding());
        self.level = (self.level + rate * elapsed.as_secs_f64()).min(max_level);
    }

    /// Sets what may be granted and what is granted together, requests.
    pub fn set_total(&mut self, total: u32) {
        self.level = f64::from(total) - f64::from(self.outstanding());
    }

    /// Records a report, and returns the number of requests that the holder has sent since its last one.
    /// What a new holder has was granted by another ledger.
    pub fn record(&mut self, id: &HolderId, report: HolderReport, now: Instant) -> u32 {
        let Some(holder) = self.holders.get_mut(id) else {
            self.holders.insert(id.clone(), Holder { report, at: now });
            return 0;
        };
        let used = report.holding.used.saturating_sub(holder.report.holding.used);
        let (held, holds) = (holder.report.holding.left(), report.holding.left());
        self.level += f64::from(held) - f64::from(used) - f64::from(holds);
        *holder = Holder { report, at: now };
        used
    }

    /// Grants a holder what it wants now, and its part of what all of them want in advance; returns the value of its
    /// counter up to which it may send. What the holder is to give back counts as its own until its next report.
    pub fn grant(&mut self, id: &HolderId, now: Instant) -> u32 {
        let capacity = self.level.max(0.0) + f64::from(self.outstanding());
        let all_in_advance: f64 = self.holders.values().map(|holder| f64::from(holder.report.in_advance)).sum();
        let Some(holder) = self.holders.get_mut(id) else { return 0 };
        let HolderReport { holding, wanted, in_advance } = &mut holder.report;
        let scale = (ADVANCE_FRACTION * capacity / all_in_advance.max(1.0)).min(1.0);
        let part = wanted.saturating_add((f64::from(*in_advance) * scale) as u32);
        let granted = part.saturating_sub(holding.left()).min(self.level.max(0.0) as u32);
        self.level -= f64::from(granted);
        holding.until = holding.until.max(holding.used).saturating_add(granted);
        holder.at = now;
        holding.used.saturating_add(part.min(holding.left()))
    }

    /// Drops silent holders, and returns the number of requests that they may have sent since.
    pub fn remove_expired(&mut self, now: Instant) -> u32 {
        let mut unreported = 0_u32;
        self.holders.retain(|_, holder| {
            let is_current = now.saturating_duration_since(holder.at) < MAX_HOLDER_AGE;
            if !is_current {
                unreported = unreported.saturating_add(holder.report.holding.left());
            }
            is_current
        });
        unreported
    }

    /// Whether there is no holder.
    pub fn is_empty(&self) -> bool {
        self.holders.is_empty()
    }

    /// The halls of the holders; a hall with several comes several times in a row.
    pub fn halls(&self) -> impl Iterator<Item = &str> {
        self.holders.keys().map(|id| id.hall.as_str())
    }
}
