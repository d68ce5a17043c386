//! Quotas: how what a hall may carry is divided among its members, so that
//! the shares in use never add to more than the whole.
//!
//! See `docs/DESIGN.md`, "Quotas", for the argument and its alternatives.

mod ledger;
mod limit;
#[cfg(test)]
mod tests;

pub use ledger::{Beat, Ledger, MAX_HOLD_MS, Reply, Timing, beat_period};
pub use limit::{LimitState, declared, hall_share};

use crate::membership::Seat;

/// A member's share of one divided thing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Part {
    /// Held for as long as the member is in the record.
    pub reserve: u32,
    /// Held while its lease is valid; includes the reserve.
    pub full: u32,
}

impl Part {
    /// The smaller of both, field by field.
    pub fn min(self, other: Part) -> Part {
        Part { reserve: self.reserve.min(other.reserve), full: self.full.min(other.full) }
    }
}

/// Deals `total` among `seat.count` members; the parts sum to `total`. The
/// remainder goes round with `offset`.
pub fn deal(total: u32, seat: Seat, offset: usize) -> u32 {
    let count = seat.count as u32;
    let rest = (total % count) as usize;
    let extra = (seat.index + offset) % seat.count < rest;
    total / count + u32::from(extra)
}

/// Half of a share, rounded up for every other seat and thing.
pub fn reserve(share: u32, seat: Seat, offset: usize) -> u32 {
    (share + ((seat.index + offset) % 2) as u32) / 2
}
