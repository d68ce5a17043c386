//! The credit of caps, which bounds how many requests are moved. A request is moved out of
//! the hall of its default target only if every cap that matches it has credit for a whole
//! move.
//!
//! **Inputs.** The caps that match the request: each a share of the matched requests,
//! 0 to 1. Each cap's [`Credit`], in moves: counted by this instance with each request, so it is
//! always current and exact; it starts at 0 with each revision of the policies. Whether the request
//! has made a deposit or withdrawal before: its [`CapCharge`](super::CapCharge).
//! [`crate::decision::selection::cap_moves`] defines what a move is: the target that the request
//! would be sent to is in another hall than the default target, which is the one that it would go to
//! if no target were draining, drained, cold, full or ejected and no weight policy applied.
//!
//! **Rule.** At each cap, a request deposits the cap's share of a move when the cap first matches it, and
//! nothing at later tries; at the services of a split, other caps may match it. Each cap is charged for a
//! move: the move withdraws 1 from each, or from none if one of them has less; a request withdraws
//! at most one move from each cap. Credit never exceeds 1. A request that is tried again under a later
//! revision is treated as a new one.
//!
//! **Reason.** Instances need no messages to keep a share: if each keeps it for its own
//! requests, it holds for their sum. The limit of 1 prevents a burst of moves after quiet
//! hours.
//!
//! **Guards** the promise that the moved share never exceeds the cap: counted from the first
//! request of a revision, an instance moves at most `cap * requests`, and in any later window
//! at most `cap * requests + 1`. All instances together obey the same bound, with one extra
//! request for each instance.
//!
//! **Tests.** `tests/cap_credit.rs` against plain sums, `tests/naive_choice.rs` against a
//! naive implementation, `tests/cap_moves.rs`;
//! `moved_requests_stay_within_the_cap` in `tests/policies.rs`.

use std::cell::Cell;

/// Credit for one move. Credit is counted in whole millionths of a move, so that many small
/// deposits add up without rounding errors; a cap with more than six decimal places is rounded down.
const ONE_MOVE: i64 = 1_000_000;

/// The credit of one cap at one instance.
#[derive(Debug, Default)]
pub struct Credit(Cell<i64>);

impl Credit {
    /// Adds the deposit of one matched request under `cap`, 0 to 1.
    pub fn deposit(&self, cap: f64) {
        self.add(deposit_amount(cap));
    }

    /// Whether a move could be withdrawn after another deposit under `cap`.
    pub fn can_withdraw_after(&self, cap: f64) -> bool {
        self.0.get() + deposit_amount(cap) >= ONE_MOVE
    }

    /// Withdraws one move; returns false and withdraws nothing if the credit is too low.
    pub fn withdraw(&self) -> bool {
        let is_sufficient = self.0.get() >= ONE_MOVE;
        if is_sufficient {
            self.add(-ONE_MOVE);
        }
        is_sufficient
    }

    /// Reverses [`Self::withdraw`] for a request that was not moved.
    pub fn refund(&self) {
        self.add(ONE_MOVE);
    }

    fn add(&self, amount: i64) {
        self.0.set((self.0.get() + amount).min(ONE_MOVE));
    }
}

fn deposit_amount(cap: f64) -> i64 {
    (cap * ONE_MOVE as f64) as i64
}
