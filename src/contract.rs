//! Contracts: slots that one member of a hall lends to another for a moment,
//! so that uneven arrivals do not leave half of the hall idle.
//!
//! The lender deducts the slots before its answer leaves. The borrower counts
//! the contract from when it asked, and gives it back early when idle. The
//! lender takes slots back when told, or once the contract has run out and
//! the longest request that may still be running on it has too.

use crate::clock;
use crate::load::TargetState;
use std::collections::HashMap;
use std::sync::{Arc, Mutex};

/// How long a contract lets its borrower begin requests, in milliseconds.
pub const TTL_MS: u64 = 1_000;
/// Time after which an ended contract that is still in use is left to its
/// lender to wait out, in milliseconds.
const FORGET_MS: u64 = 600_000;
/// Allowance for clocks of different rates, in milliseconds.
const MARGIN_MS: u64 = 250;

/// Slots of one target under a contract.
#[derive(Clone, Debug)]
pub struct Slots {
    /// The target.
    pub target: Arc<TargetState>,
    /// How many.
    pub count: u32,
}

#[derive(Debug)]
struct Loan {
    slots: Vec<Slots>,
    /// Local time in milliseconds when nothing can run on it any more.
    over: u64,
}

#[derive(Debug)]
struct Debt {
    lender: String,
    contract: u64,
    slots: Vec<Slots>,
    /// Local time in milliseconds after which no request begins on it.
    until: u64,
    /// Whether no request may begin on it any more.
    dropped: bool,
}

/// A contract to give back.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Due {
    /// Name of the lender.
    pub lender: String,
    /// Its number for the contract.
    pub contract: u64,
}

/// Contracts of one instance, both ways.
#[derive(Debug, Default)]
pub struct Contracts {
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    next: u64,
    loans: HashMap<u64, Loan>,
    debts: Vec<Debt>,
}

impl Contracts {
    /// Lends up to `want` slots of `targets`, at most half of those free now:
    /// the other half is for the lender's own next requests. `hold` is the
    /// longest time a request may run on one, in milliseconds; `leased` tells
    /// whether the lender's lease outlasts the contract, without which it has
    /// only its reserve to lend. Returns the contract's number and what was
    /// lent, by position.
    pub fn lend(&self, targets: &[Arc<TargetState>], want: u32, hold: u64, leased: bool) -> (u64, Vec<(usize, u32)>) {
        let usable = targets.iter().filter(|t| t.unusable().is_none());
        let free: u32 = usable.map(|t| t.lendable(leased)).sum();
        let mut left = want.min(free / 2);
        let mut granted = Vec::new();
        let mut slots = Vec::new();
        for (i, target) in targets.iter().enumerate() {
            if left == 0 {
                break;
            }
            if target.unusable().is_some() {
                continue;
            }
            let count = target.lend(left, leased);
            if count > 0 {
                left -= count;
                granted.push((i, count));
                slots.push(Slots { target: target.clone(), count });
            }
        }
        let mut inner = self.inner.lock().expect("no holder panics");
        inner.next += 1;
        let number = inner.next;
        if !slots.is_empty() {
            let over = clock::now_ms() + TTL_MS + MARGIN_MS + hold;
            inner.loans.insert(number, Loan { slots, over });
        }
        (number, granted)
    }

    /// The borrower says that nothing runs on the contract any more.
    pub fn end_loan(&self, contract: u64) {
        let loan = self.inner.lock().expect("no holder panics").loans.remove(&contract);
        if let Some(loan) = loan {
            loan.slots.iter().for_each(|s| s.target.end_loan(s.count));
        }
    }

    /// Takes slots on a contract asked for at local time `asked`.
    pub fn borrow(&self, lender: &str, contract: u64, slots: Vec<Slots>, asked: u64, ttl: u64) {
        slots.iter().for_each(|s| s.target.borrow_slots(s.count));
        let debt = Debt { lender: lender.to_owned(), contract, slots, until: asked + ttl, dropped: false };
        self.inner.lock().expect("no holder panics").debts.push(debt);
    }

    /// Drops debts that ran out or are not needed. Returns those on which
    /// nothing runs any more, to be given back. Slots still in use stay with
    /// the lender's account until they are free or it has waited them out.
    pub fn expire(&self, now: u64) -> Vec<Due> {
        let mut inner = self.inner.lock().expect("no holder panics");
        let mut due = Vec::new();
        inner.debts.retain_mut(|debt| {
            if !debt.dropped && (debt.until <= now || debt.slots.iter().all(|s| s.target.can_spare(s.count))) {
                debt.dropped = true;
                debt.slots.iter().for_each(|s| s.target.drop_borrowed(s.count));
            }
            if !debt.dropped {
                return true;
            }
            let ended = debt.slots.iter().all(|s| s.target.is_within_own());
            if ended {
                due.push(Due { lender: debt.lender.clone(), contract: debt.contract });
            }
            !ended && now < debt.until + FORGET_MS
        });
        due
    }

    /// Takes back loans that have surely run out.
    pub fn reclaim(&self, now: u64) {
        let mut inner = self.inner.lock().expect("no holder panics");
        let over: Vec<u64> = inner.loans.iter().filter(|(_, l)| l.over <= now).map(|(n, _)| *n).collect();
        for number in over {
            if let Some(loan) = inner.loans.remove(&number) {
                loan.slots.iter().for_each(|s| s.target.end_loan(s.count));
            }
        }
    }

    /// Contracts lent and borrowed.
    pub fn counts(&self) -> (usize, usize) {
        let inner = self.inner.lock().expect("no holder panics");
        (inner.loans.len(), inner.debts.len())
    }
}
