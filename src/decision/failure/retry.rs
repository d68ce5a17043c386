//! Retry budget of each service: each request that arrives for a service deposits a fixed fraction of
//! a retry into the balance of that service, and a retry is sent only if it can be withdrawn.
//!
//! **Inputs**
//! - `ratio` and `slack`, the settings `bounds.retry_ratio` (retries for each request, no
//!   unit) and `bounds.retry_slack` (retries). A reload applies at once: later requests deposit by
//!   the new ratio, and a balance above the new share of the slack is cut to it.
//! - `members`, the number of instances in the view; as old as the view, whose age is not
//!   bounded while the store is unreachable. An instance counts at least itself.
//! - Requests and retries of this instance by service, counted at once.
//!
//! **Why.** When targets fail, every request needs a retry. Without a budget, failing targets receive
//! a multiple of their normal load and cannot recover.
//!
//! With one budget for all services, the requests of a large service would pay for the retries of
//! a small one.
//!
//! **Guards** the promise that all instances together send at most `ratio * requests + slack` retries
//! to a service. Each instance enforces its part of the bound alone, without messages: its balance is
//! limited to an equal share of the slack, `slack * 0.5 / members`. With more than `slack / 2`
//! members that is below 1: a retry is then sent with a probability equal to the balance, and the
//! balance is emptied whether it is sent or not. On average the instances together send as many at
//! once as with fewer members, 32 for a slack of 64; the probability that 410 instances send more
//! than 64 at once is below 1 in 100,000.
//!
//! **Test**: `retries_stay_within_the_ratio_of_the_budget` and
//! `members_share_half_of_the_retry_slack_and_four_fifths_of_the_ratio` in `tests/logic.rs`;
//! `tests/retry_budgets.rs`; `standins/tests/retry_budget.rs`.

use std::collections::HashMap;
use std::rc::Rc;

/// Fraction of the permitted ratio that requests deposit (no unit). This budget and the check of
/// the bound both count the requests of one service, but may count a request in different windows;
/// the remaining fifth covers that.
const RATIO_USED: f64 = 0.8;
/// Fraction of the permitted slack that all instances together may hold (no unit). Instances may
/// briefly disagree on the number of members; the other half covers that.
const SLACK_USED: f64 = 0.5;

/// Retry budgets of an instance, by service.
#[derive(Debug)]
pub struct RetryBudgets {
    ratio: f64,
    slack: f64,
    members: usize,
    by_service: HashMap<Rc<str>, RetryBudget>,
}

impl RetryBudgets {
    /// Creates the budgets of one of `members` instances under the permitted `ratio` and `slack`.
    /// Balances start at 0.
    pub fn new(ratio: f64, slack: f64, members: usize) -> Self {
        Self { ratio, slack, members, by_service: HashMap::new() }
    }

    /// Changes the permitted ratio and slack, and the number of members that share them.
    pub fn set_bounds(&mut self, ratio: f64, slack: f64, members: usize) {
        (self.ratio, self.slack, self.members) = (ratio, slack, members);
        for budget in self.by_service.values_mut() {
            budget.set_bounds(ratio, slack, members);
        }
    }

    /// Deposits for a request to the service.
    pub fn deposit(&mut self, service: &Rc<str>) {
        let (ratio, slack, members) = (self.ratio, self.slack, self.members);
        let new = || member_budget(ratio, slack, members);
        self.by_service.entry(service.clone()).or_insert_with(new).deposit();
    }

    /// Withdraws one retry at the service; see [`RetryBudget::withdraw`]. False also if the service
    /// had no request yet.
    pub fn withdraw(&mut self, service: &str, random: f64) -> bool {
        self.by_service.get_mut(service).is_some_and(|budget| budget.withdraw(random))
    }

    /// Removes the budgets of services for which `is_kept` is false.
    pub fn retain(&mut self, is_kept: impl Fn(&str) -> bool) {
        self.by_service.retain(|service, _| is_kept(service));
    }
}

/// Retry budget of an instance for one service.
#[derive(Debug)]
pub struct RetryBudget {
    /// Retries that each request deposits.
    ratio: f64,
    /// Maximum balance, retries.
    max_balance: f64,
    /// Retries that may be sent now.
    balance: f64,
}

/// Creates the budget of one of `members` instances under the permitted `ratio` and `slack`.
pub fn member_budget(ratio: f64, slack: f64, members: usize) -> RetryBudget {
    RetryBudget::new(ratio * RATIO_USED, max_balance(slack, members))
}

/// Maximum balance of one of `members` instances, retries.
pub fn max_balance(slack: f64, members: usize) -> f64 {
    slack * SLACK_USED / members.max(1) as f64
}

impl RetryBudget {
    /// Creates a budget in which each request deposits `ratio` retries, up to a balance of
    /// `max_balance`. It starts empty: a process that was just started may follow one that has
    /// used up its share.
    pub fn new(ratio: f64, max_balance: f64) -> Self {
        Self { ratio, max_balance, balance: 0.0 }
    }

    /// Changes the maximum balance; a higher current balance is cut to it.
    fn set_max_balance(&mut self, max_balance: f64) {
        self.max_balance = max_balance;
        self.balance = self.balance.min(max_balance);
    }

    /// Changes the permitted ratio and slack, and the number of members that share them.
    pub fn set_bounds(&mut self, ratio: f64, slack: f64, members: usize) {
        self.ratio = ratio * RATIO_USED;
        self.set_max_balance(max_balance(slack, members));
    }

    /// Deposits for one request.
    pub fn deposit(&mut self) {
        self.balance = (self.balance + self.ratio).min(self.max_balance);
    }

    /// Withdraws one retry; false if the balance is below 1. If the maximum balance is itself
    /// below 1, the balance is emptied, and the result is true if `random`, uniformly random between
    /// 0 and 1, was below the balance.
    pub fn withdraw(&mut self, random: f64) -> bool {
        if self.max_balance < 1.0 {
            return random < std::mem::take(&mut self.balance);
        }
        if self.balance < 1.0 {
            return false;
        }
        self.balance -= 1.0;
        true
    }
}
