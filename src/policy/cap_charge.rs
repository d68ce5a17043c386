//! What one request has earned for the caps that select it, and paid to them. The rule
//! is in [`super::credit`].

use super::policies::Policies;
use super::set::PolicySet;
use std::cell::Cell;

/// What one request has earned and paid so far, over all its tries: at each service of a
/// split other caps may select it. Begins anew under later policies.
#[derive(Debug, Default)]
pub struct CapCharge {
    /// Revision of the policies that the sets are of; 0 before the first.
    revision: Cell<u64>,
    /// The caps that have earned for it.
    earned: Cell<PolicySet>,
    /// The caps that it has paid for its move.
    paid: Cell<PolicySet>,
    /// Whether nothing is earned or paid: a move is allowed where a request that came now
    /// could pay for it.
    is_dry: bool,
}

impl CapCharge {
    /// A charge that neither earns nor pays, for a decision that sends nothing.
    pub fn dry_run() -> Self {
        Self { is_dry: true, ..Self::default() }
    }

    /// Lets the caps that select the request earn for it, each the first time.
    pub(super) fn deposit(&self, policies: &Policies, caps: PolicySet) {
        if self.is_dry {
            return;
        }
        self.follow(policies);
        let due = caps.difference(self.earned.get());
        for position in due.positions() {
            let Some(cap) = policies.list[position].cap else { continue };
            policies.credits[position].deposit(cap);
        }
        self.earned.set(self.earned.get().union(due));
    }

    /// Pays for a move to the caps that select the request, each the first time.
    ///
    /// # Errors
    /// The position of the first cap that has no credit; nothing is spent then.
    pub(super) fn withdraw(&self, policies: &Policies, caps: PolicySet) -> Result<(), usize> {
        if self.is_dry {
            return could_pay(policies, caps);
        }
        self.follow(policies);
        let due = caps.difference(self.paid.get());
        spend(policies, due)?;
        self.paid.set(self.paid.get().union(due));
        Ok(())
    }

    /// Begins anew where the policies are no longer those of the last try.
    fn follow(&self, policies: &Policies) {
        if self.revision.replace(policies.revision) != policies.revision {
            self.earned.take();
            self.paid.take();
        }
    }
}

/// Spends a move of each cap.
///
/// # Errors
/// The position of the first that has no credit; nothing is spent then.
fn spend(policies: &Policies, caps: PolicySet) -> Result<(), usize> {
    let mut spent = PolicySet::default();
    for position in caps.positions() {
        if !policies.credits[position].withdraw() {
            spent.positions().for_each(|position| policies.credits[position].refund());
            return Err(position);
        }
        spent.insert(position);
    }
    Ok(())
}

/// Whether a request that came now could pay for a move.
///
/// # Errors
/// The position of the first cap whose credit, with what the request earns, falls short.
fn could_pay(policies: &Policies, caps: PolicySet) -> Result<(), usize> {
    let falls_short = |position: &usize| {
        let cap = policies.list[*position].cap.unwrap_or(0.0);
        !policies.credits[*position].can_withdraw_after(cap)
    };
    caps.positions().find(falls_short).map_or(Ok(()), Err)
}
