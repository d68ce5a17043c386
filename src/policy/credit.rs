//! Credit of caps: the account that pays for moves. A request is moved out of
//! the hall of its default target only if every cap that selects it has credit
//! for a whole move.
//!
//! **Inputs.** The caps that select the request: each a share of the selected
//! requests, 0 to 1. Each cap's [`Credit`]: this instance's own count, in
//! moves, exact to the request; it begins at 0 with each revision of the
//! policies. Whether the request has earned and paid before: its
//! [`CapCharge`](super::CapCharge).
//! What a move is, is decided by the caller: the target that would be sent to is
//! in another hall than the default target, the one that the request would go to
//! if no target had any trouble ([`crate::decision::selection::cap_moves`]).
//!
//! **Rule.** A request earns `cap` for each cap when this first selects it, and nothing
//! for later tries; at the services of a split other caps may select it. A move spends 1
//! of each cap, or of none where one of them has less; a request pays each cap for one
//! move at most. Credit never exceeds 1. A request that is tried under a later revision
//! earns and pays there as a new one.
//!
//! **Why.** Instances need no message to keep a share: any instance that keeps
//! it for its own requests keeps it for the sum. The limit of 1 keeps quiet
//! hours from saving up a burst of moves.
//!
//! **What it guards.** A shift never exceeds its cap: from the first request of a
//! revision an instance moves at most `cap * requests`, and in any later window
//! `cap * requests + 1`; all instances together obey the same bound, with one
//! extra request for each instance.
//!
//! **Tests.** `tests/cap_credit.rs` against plain sums, `tests/naive_choice.rs` against a
//! naive decider, `tests/cap_moves.rs`;
//! `what_is_moved_stays_within_the_cap` in `tests/policies.rs`.

use std::cell::Cell;

/// Credit of one move, in units of credit. Whole numbers, so that many small gains add up without
/// rounding; a millionth is the step in which a cap counts, and a finer cap is rounded down.
const ONE_MOVE: i64 = 1_000_000;

/// The credit of one cap at one instance.
#[derive(Debug, Default)]
pub struct Credit(Cell<i64>);

impl Credit {
    /// Earns for one selected request under `cap`, 0 to 1.
    pub fn deposit(&self, cap: f64) {
        self.add(gain(cap));
    }

    /// Whether it would reach for a move after earning once more.
    pub fn can_withdraw_after(&self, cap: f64) -> bool {
        self.0.get() + gain(cap) >= ONE_MOVE
    }

    /// Spends for one moved request; false, and nothing spent, where the credit
    /// does not reach.
    pub fn withdraw(&self) -> bool {
        let reaches = self.0.get() >= ONE_MOVE;
        if reaches {
            self.add(-ONE_MOVE);
        }
        reaches
    }

    /// Gives back what [`Self::withdraw`] took for a request that was not moved.
    pub fn refund(&self) {
        self.add(ONE_MOVE);
    }

    fn add(&self, gain: i64) {
        self.0.set((self.0.get() + gain).min(ONE_MOVE));
    }
}

fn gain(cap: f64) -> i64 {
    (cap * ONE_MOVE as f64) as i64
}
