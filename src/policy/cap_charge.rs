//! The deposits and withdrawals that one request has made at the caps that match it.
//! [`super::credit`] describes the rule.

use super::policies::Policies;
use super::set::PolicySet;
use std::cell::Cell;

/// The deposits and withdrawals of one request over all its tries: at each service of a
/// split, other caps may match it. Reset when the policies change between tries.
#[derive(Debug, Default)]
pub struct CapCharge {
    /// Revision of the policies to which the sets below refer; 0 before the first try.
    revision: Cell<u64>,
    /// Caps that have received a deposit for this request.
    deposited: Cell<PolicySet>,
    /// Caps from which a move of this request has been withdrawn.
    withdrawn: Cell<PolicySet>,
    /// Whether this is a dry run, which changes no credit. A move is allowed in it if a
    /// request that arrived now could be moved.
    is_dry_run: bool,
}

impl CapCharge {
    /// A charge that changes no credit, for a decision that sends no request.
    pub fn dry_run() -> Self {
        Self { is_dry_run: true, ..Self::default() }
    }

    /// Makes the request's deposit at each cap that matches it, once at each.
    pub(super) fn deposit(&self, policies: &Policies, caps: PolicySet) {
        if self.is_dry_run {
            return;
        }
        self.reset_on_new_revision(policies);
        let due = caps.difference(self.deposited.get());
        for position in due.positions() {
            let Some(cap) = policies.list[position].cap else { continue };
            policies.credits[position].deposit(cap);
        }
        self.deposited.set(self.deposited.get().union(due));
    }

    /// Withdraws a move from the caps that match the request, once from each.
    ///
    /// # Errors
    /// The position of the first cap without enough credit; nothing is withdrawn then.
    pub(super) fn withdraw(&self, policies: &Policies, caps: PolicySet) -> Result<(), usize> {
        if self.is_dry_run {
            return check_credit(policies, caps);
        }
        self.reset_on_new_revision(policies);
        let due = caps.difference(self.withdrawn.get());
        withdraw_from_all(policies, due)?;
        self.withdrawn.set(self.withdrawn.get().union(due));
        Ok(())
    }

    /// Clears the sets if the policies are of another revision than at the last try.
    fn reset_on_new_revision(&self, policies: &Policies) {
        if self.revision.replace(policies.revision) != policies.revision {
            self.deposited.take();
            self.withdrawn.take();
        }
    }
}

/// Withdraws a move from each cap.
///
/// # Errors
/// The position of the first cap without enough credit; nothing is withdrawn then.
fn withdraw_from_all(policies: &Policies, caps: PolicySet) -> Result<(), usize> {
    let mut withdrawn = PolicySet::default();
    for position in caps.positions() {
        if !policies.credits[position].withdraw() {
            withdrawn.positions().for_each(|position| policies.credits[position].refund());
            return Err(position);
        }
        withdrawn.insert(position);
    }
    Ok(())
}

/// Checks whether a request that arrived now could be moved.
///
/// # Errors
/// The position of the first cap without enough credit even after the request's deposit.
fn check_credit(policies: &Policies, caps: PolicySet) -> Result<(), usize> {
    let is_insufficient = |position: &usize| {
        let cap = policies.list[*position].cap.unwrap_or(0.0);
        !policies.credits[*position].can_withdraw_after(cap)
    };
    caps.positions().find(is_insufficient).map_or(Ok(()), Err)
}
