//! Allowances for targets with a rate limit: what this instance asks for, what requests wait for, and what it
//! grants as the head of a hall.
//!
//! Owns the accounts that it keeps as a head, and the signals between requests and the tasks of
//! [`crate::sync::allowances`], which exchange the messages. The rules are in
//! [`crate::decision::capacity::rate_limit`].

use super::Instance;
use crate::clock::{Instant, timeout};
use crate::decision::capacity::rate_limit::accounts::{AccountSummary, Head, LimitAccounts, MAX_TARGETS_PER_REQUEST};
use crate::decision::capacity::rate_limit::ledger::HolderId;
use crate::decision::registry::target::Target;
use crate::model::allowances::{AllowanceAnswer, AllowanceRequest, AllowanceUse, GrantedAllowance};
use crate::platform::Platform;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;

/// Maximum time for which a request waits for an allowance while another target may be used: a second choice is
/// better than a long wait.
const MAX_WAIT: Duration = Duration::from_millis(60);
/// Maximum time for which a request waits for an allowance that it cannot be sent without.
const MAX_LAST_WAIT: Duration = Duration::from_millis(250);

/// Allowances of this instance, and those that it grants.
#[derive(Debug)]
pub struct Allowances {
    /// Kept as the head of a hall.
    accounts: RefCell<LimitAccounts>,
    /// Tells this start of the instance from earlier ones.
    epoch: u32,
    ask_due: Notify,
    answered: Notify,
    renewal_due: Notify,
    renewed: Notify,
}

impl Default for Allowances {
    fn default() -> Self {
        Self {
            accounts: RefCell::default(),
            epoch: rand::random(),
            ask_due: Notify::new(),
            answered: Notify::new(),
            renewal_due: Notify::new(),
            renewed: Notify::new(),
        }
    }
}

impl Allowances {
    /// Completes once the head should be asked.
    pub async fn ask_due(&self) {
        self.ask_due.notified().await;
    }

    /// Has the head asked at once.
    pub fn ask_now(&self) {
        self.ask_due.notify_one();
    }

    /// Completes once the hall's allowances should be renewed.
    pub async fn renewal_due(&self) {
        self.renewal_due.notified().await;
    }

    /// Completes with the next renewal of the hall's allowances.
    pub async fn renewed(&self) {
        self.renewed.notified().await;
    }

    /// Whether an instance of the own hall waits for a renewal of one of the targets.
    pub fn await_renewal(&self, targets: &[AllowanceUse]) -> bool {
        self.accounts.borrow().awaits_renewal(targets)
    }

    /// Whether there is no account.
    pub fn is_empty(&self) -> bool {
        self.accounts.borrow().is_empty()
    }

    /// Applies an owner's answer to a request that was sent at `asked_at`.
    pub fn apply_renewal(&self, answer: &AllowanceAnswer, asked_at: Instant) {
        self.accounts.borrow_mut().apply_renewal(&answer.targets, asked_at);
        self.renewed.notify_waiters();
    }
}

impl<P: Platform> Instance<P> {
    /// Waits until the head has answered a question that includes this request, or the time is over.
    pub async fn wait_for_allowance(&self, target: &Rc<Target>, has_alternative: bool) {
        let (started, _waiting) = (Instant::now(), target.wait_for_allowance());
        self.allowances.ask_now();
        let is_answered = || target.last_asked_at().is_some_and(|asked_at| asked_at >= started);
        let answer = async {
            while !is_answered() {
                self.allowances.answered.notified().await;
            }
        };
        // Whether answered or not, the choice is made again.
        let _ = timeout(if has_alternative { MAX_WAIT } else { MAX_LAST_WAIT }, answer).await;
    }

    /// Has the head asked where requests for a target make that necessary.
    pub fn ask_if_due(&self, target: &Target) {
        if target.should_ask(Instant::now()) {
            self.allowances.ask_now();
        }
    }

    /// Takes what to ask the head for, with the targets in the same order; `None` if there is nothing to ask.
    pub fn begin_ask(&self) -> Option<(AllowanceRequest, Vec<Rc<Target>>)> {
        let (now, routing) = (Instant::now(), self.routing.borrow());
        let observed = routing.observed_targets();
        let uses = observed.iter().filter_map(|target| Some((target.begin_ask(now)?, target.clone())));
        let (uses, targets): (Vec<AllowanceUse>, Vec<Rc<Target>>) = uses.take(MAX_TARGETS_PER_REQUEST).unzip();
        (!uses.is_empty()).then(|| (self.allowance_request(uses, false), targets))
    }

    /// Applies the head's answer to a question about `targets` that was asked at `asked_at`; `None` if there is none.
    pub fn apply_allowances(&self, targets: &[Rc<Target>], answer: Option<&AllowanceAnswer>, asked_at: Instant) {
        let now = Instant::now();
        for target in targets {
            let granted = answer.and_then(|answer| answer.targets.iter().find(|to| to.target == target.start_key));
            target.apply_allowance(granted.copied(), rand::random(), asked_at, now);
        }
        self.allowances.answered.notify_waiters();
    }

    /// A request to the head of the own hall, or to another head for the hall.
    pub fn allowance_request(&self, targets: Vec<AllowanceUse>, is_for_hall: bool) -> AllowanceRequest {
        let settings = self.settings();
        let (from, hall) = (settings.name.clone(), settings.hall.to_string());
        AllowanceRequest { from, hall, epoch: self.allowances.epoch, is_for_hall, targets }
    }

    /// Grants allowances as the head of a hall.
    pub fn grant_allowances(&self, request: &AllowanceRequest) -> Vec<GrantedAllowance> {
        if request.is_for_hall {
            return self.with_accounts(|accounts, head| accounts.grant_to_hall(request, head));
        }
        let granted = self.with_accounts(|accounts, head| accounts.grant_to_instance(request, head));
        if self.allowances.accounts.borrow().should_renew(&request.targets, Instant::now()) {
            self.allowances.renewal_due.notify_one();
        }
        granted
    }

    /// Grants allowances of an instance again, after a renewal.
    pub fn grant_allowances_again(&self, request: &AllowanceRequest) -> Vec<GrantedAllowance> {
        self.with_accounts(|accounts, head| accounts.grant_again(request, head))
    }

    /// What to ask the heads of other halls for, but those for which `is_busy` holds.
    pub fn allowance_renewals(&self, is_busy: impl Fn(&str) -> bool) -> BTreeMap<String, Vec<AllowanceUse>> {
        self.with_accounts(|accounts, head| accounts.renewals(head, is_busy))
    }

    /// What this instance knows as a head of each account, for the log.
    pub(super) fn account_summaries(&self) -> Vec<AccountSummary> {
        self.with_accounts(|accounts, head| accounts.summaries(head))
    }

    fn with_accounts<T>(&self, access: impl FnOnce(&mut LimitAccounts, &Head<'_>) -> T) -> T {
        let (settings, routing) = (self.settings(), self.routing.borrow());
        let (name, hall) = (settings.name.clone(), settings.hall.to_string());
        let id = HolderId { hall, name, epoch: self.allowances.epoch };
        let totals = self.rate_limits.totals();
        let head = Head { id: &id, members: &routing.members, totals: &totals, now: Instant::now() };
        access(&mut self.allowances.accounts.borrow_mut(), &head)
    }
}
