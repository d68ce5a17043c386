//! Retry budget of each service: each request of a caller for the service earns a fixed part of
//! one retry there, and a further try is sent only where a whole retry has been saved up.
//!
//! **Inputs**
//! - `ratio` and `slack`, the settings `bounds.retry_ratio` (retries for each request, no
//!   unit) and `bounds.retry_slack` (retries). A reload counts at once: later requests earn by
//!   the new ratio, and savings above the new part of the slack are lost.
//! - `members`, the number of instances in the view; as old as the view, which is not
//!   bounded while the store is unreachable. An instance counts at least itself.
//! - Requests and retries of this instance by service, counted at once.
//!
//! **Why.** When targets fail, every request of a caller asks for a further try. Without a
//! budget, targets in trouble receive a multiple of their normal load and stay in trouble.
//!
//! A budget for all services together would let the requests of a large service pay for the
//! retries of a small one.
//!
//! **Guards** the promise that all instances together send at most
//! `ratio * requests + slack` further tries to a service. Each instance keeps the bound by itself, with no
//! message: its savings are its equal part of the slack. An instance saves at most
//! `slack * 0.5 / members`. With more than `slack / 2` members that is below 1: a further try is
//! then sent with the probability of what is saved, all of which is spent either way. The
//! instances together send as many as before on average, 32 at once of a slack of 64; that 410
//! instances send more than 64 at once has a probability below 1 in 100,000.
//!
//! **Test**: `second_tries_stay_within_ratio_and_savings` and
//! `members_share_half_of_the_slack_and_four_fifths_of_the_ratio` in `tests/logic.rs`;
//! `tests/retry_budgets.rs`; `standins/tests/retry_budget.rs`.

use std::collections::HashMap;
use std::rc::Rc;

/// Part of the permitted ratio that is earned (no unit). Both sides count the requests of one
/// service; a fifth is left for those that one side counts in another window.
const RATIO_USED: f64 = 0.8;
/// Part of the permitted slack that all instances together may save (no unit). Instances may
/// disagree on the number of members for a moment; half leaves room for that.
const SLACK_USED: f64 = 0.5;

/// The budgets of an instance, by service.
#[derive(Debug)]
pub struct RetryBudgets {
    ratio: f64,
    slack: f64,
    members: usize,
    by_service: HashMap<Rc<str>, RetryBudget>,
}

impl RetryBudgets {
    /// Empty budgets of one of `members` instances under the permitted `ratio` and `slack`.
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

    /// Earns for a request of the service.
    pub fn earn(&mut self, service: &Rc<str>) {
        let (ratio, slack, members) = (self.ratio, self.slack, self.members);
        let new = || budget(ratio, slack, members);
        self.by_service.entry(service.clone()).or_insert_with(new).earn();
    }

    /// Pays for one further try at the service; false where less than a whole retry is saved, or
    /// the `draw`, at random from 0 to 1, says so where none can be saved whole.
    pub fn spend(&mut self, service: &str, draw: f64) -> bool {
        self.by_service.get_mut(service).is_some_and(|budget| budget.spend(draw))
    }

    /// Forgets the budgets of services that are not kept.
    pub fn retain(&mut self, is_kept: impl Fn(&str) -> bool) {
        self.by_service.retain(|service, _| is_kept(service));
    }
}

/// Retries at one service that an instance has saved.
#[derive(Debug)]
pub struct RetryBudget {
    /// Retries earned by each request.
    ratio: f64,
    max_saved: f64,
    saved: f64,
}

/// The budget of one of `members` instances under the permitted `ratio` and `slack`.
pub fn budget(ratio: f64, slack: f64, members: usize) -> RetryBudget {
    RetryBudget::new(ratio * RATIO_USED, max_saved(slack, members))
}

/// The most retries that one of `members` instances may save.
pub fn max_saved(slack: f64, members: usize) -> f64 {
    slack * SLACK_USED / members.max(1) as f64
}

impl RetryBudget {
    /// A budget in which each request earns `ratio` retries and at most `max_saved` are
    /// kept. It starts empty: a process that was just started may follow one that has
    /// spent its part.
    pub fn new(ratio: f64, max_saved: f64) -> Self {
        Self { ratio, max_saved, saved: 0.0 }
    }

    /// Changes how many retries may be saved; savings above that are lost.
    fn set_max_saved(&mut self, max_saved: f64) {
        self.max_saved = max_saved;
        self.saved = self.saved.min(max_saved);
    }

    /// Changes the permitted ratio and slack, and the number of members that share them.
    pub fn set_bounds(&mut self, ratio: f64, slack: f64, members: usize) {
        self.ratio = ratio * RATIO_USED;
        self.set_max_saved(max_saved(slack, members));
    }

    /// Earns for a request.
    pub fn earn(&mut self) {
        self.saved = (self.saved + self.ratio).min(self.max_saved);
    }

    /// Pays for one further try; false where less than a whole retry is saved, or the `draw`, at
    /// random from 0 to 1, says so where none can be saved whole.
    pub fn spend(&mut self, draw: f64) -> bool {
        if self.max_saved < 1.0 {
            return draw < std::mem::take(&mut self.saved);
        }
        if self.saved < 1.0 {
            return false;
        }
        self.saved -= 1.0;
        true
    }
}
