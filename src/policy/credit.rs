//! The cap rule: a request is moved out of the hall of its default target only
//! if every cap that selects it has credit for a whole move.
//!
//! **Inputs.** The caps that select the request: each a share of the selected
//! requests, 0 to 1. Each cap's [`Credit`]: this instance's own count, in
//! moves, exact to the request; it begins at 0 with each revision of the
//! policies. Whether the request has earned and paid before: its [`CapCharge`].
//! What a move is, is decided by the caller: the target that would be sent to is
//! in another hall than the default target, the one that the request would go to
//! if no target had any trouble (`decision/choice.rs`).
//!
//! **Rule.** A request earns `cap` for each cap that selects it when it is first
//! decided on, and nothing for later tries. A move spends 1 of each cap, or of
//! none where one of them has less; a request pays for one move at most. Credit
//! never exceeds 1.
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
//! **Tests.** `tests/caps.rs` against plain sums and a naive decider;
//! `what_is_moved_stays_within_the_cap` in `tests/policies.rs`.

use super::policies::Policies;
use super::set::PolicySet;
use std::cell::Cell;

/// Credit of one move, in units of credit. Whole numbers, so that many small
/// gains add up without rounding; a millionth is the step in which a cap counts,
/// and a finer cap is rounded down. Follows from arithmetic, no run on record.
const ONE_MOVE: i64 = 1_000_000;

/// The credit of one cap at one instance.
#[derive(Debug, Default)]
pub struct Credit(Cell<i64>);

impl Credit {
    /// Earns for one selected request under `cap`, 0 to 1.
    pub fn earn(&self, cap: f64) {
        self.add((cap * ONE_MOVE as f64) as i64);
    }

    /// Spends for one moved request; false, and nothing spent, where the credit
    /// does not reach.
    pub fn spend(&self) -> bool {
        let reaches = self.0.get() >= ONE_MOVE;
        if reaches {
            self.add(-ONE_MOVE);
        }
        reaches
    }

    /// Gives back what [`Self::spend`] took for a request that was not moved.
    pub fn refund(&self) {
        self.add(ONE_MOVE);
    }

    fn add(&self, gain: i64) {
        self.0.set((self.0.get() + gain).min(ONE_MOVE));
    }
}

/// What one request has earned and paid so far, over all its tries.
#[derive(Debug, Default)]
pub struct CapCharge {
    /// Whether its caps have earned for it.
    earned: Cell<bool>,
    /// Whether it has paid for a move.
    paid: Cell<bool>,
}

impl CapCharge {
    /// A charge that neither earns nor pays, for a decision that sends nothing.
    pub fn dry() -> Self {
        Self { earned: Cell::new(true), paid: Cell::new(true) }
    }

    /// Lets the caps that select the request earn for it, the first time.
    pub(super) fn earn(&self, policies: &Policies, caps: PolicySet) {
        if self.earned.replace(true) {
            return;
        }
        for position in caps.positions() {
            let Some(cap) = policies.list[position].cap else { continue };
            policies.credits[position].earn(cap);
        }
    }

    /// Pays for a move, the first time.
    ///
    /// # Errors
    /// The position of the first cap that has no credit; nothing is spent then.
    pub(super) fn pay(&self, policies: &Policies, caps: PolicySet) -> Result<(), usize> {
        if self.paid.get() {
            return Ok(());
        }
        let mut spent = PolicySet::default();
        for position in caps.positions() {
            if !policies.credits[position].spend() {
                spent.positions().for_each(|position| policies.credits[position].refund());
                return Err(position);
            }
            spent.insert(position);
        }
        self.paid.set(true);
        Ok(())
    }
}
