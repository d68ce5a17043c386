//! The accounts of a head: for each target with a limit, what its hall may send, what the hall's instances have
//! of it, and, where the hall owns the limit, what all halls have.
//!
//! **Rule.** An instance asks the head of its hall, which grants from the hall's allowance; the head asks the
//! head of the owner ([`super::owner`]), which grants from a ledger that the limit refills.
//!
//! **Inputs**: requests of the own hall's instances and of other heads, exact; the limit, the own hall's demand
//! and which halls are reachable, as in [`super::totals`].
//!
//! **Why.** Two levels, so that no head hears from all instances. A hall holds some requests in advance, so that
//! its instances get theirs within the hall.
//!
//! **Guards** the operators' bound, and the promise that a limit is used. **Test**: `tests/allowances.rs`,
//! `tests/rate_limit_growth.rs`.

use super::allowance::{ALLOWANCE_VALIDITY, Allowance, Holding};
use super::demand::Demand;
use super::ledger::{HolderId, HolderReport, Ledger};
use super::owner::owner;
use super::totals::LimitTotals;
use super::{MIN_RATE, OVERAGE, SLACK, WINDOW};
use crate::clock::Instant;
use crate::decision::registry::members::Members;
use crate::model::allowances::{AllowanceRequest, AllowanceUse, GrantedAllowance};
use crate::model::rate_limits::StartKey;
use std::collections::BTreeMap;
use std::time::Duration;

/// Time of its demand for which a hall holds requests in advance, and one standard deviation more: longer than the
/// time between two renewals and the way to the owner and back.
const HALL_RESERVE: Duration = Duration::from_millis(600);
/// Remaining validity at which a hall's allowance is renewed although nothing has changed: allows for a lost
/// message.
const RENEW_BEFORE: Duration = Duration::from_millis(500);
/// Requests expected in [`HALL_RESERVE`] below which a hall counts as idle: an average never reaches zero.
const MIN_MEAN: f64 = 0.05;
/// Requests that an owner may grant at once when it begins: one, so that a target that is not asked for long can
/// announce that it has no limit any more.
const INITIAL_LEVEL: f64 = 1.0;
/// Part of what the bound allows beyond the limit that is granted in advance (no unit). The rest is for requests
/// of instances that send their equal shares.
const DEPTH_FRACTION: f64 = 0.9;
/// Maximum number of accounts; bounds the memory.
const MAX_ACCOUNTS: usize = 4_096;
/// Maximum number of requests that instances asked for in vain and that count until the next renewal.
const MAX_UNMET: u32 = 64;
/// Time without a request of an instance after which an account is dropped.
const MAX_IDLE_TIME: Duration = Duration::from_secs(10);
/// Maximum number of targets in one message.
pub const MAX_TARGETS_PER_REQUEST: usize = 128;

/// What a head knows apart from its accounts.
pub struct Head<'a> {
    /// This instance as a holder.
    pub id: &'a HolderId,
    /// All instances.
    pub members: &'a Members,
    /// Limits and demands.
    pub totals: &'a LimitTotals,
    /// The time.
    pub now: Instant,
}

impl Head<'_> {
    /// The hall that grants requests for a target to this one.
    fn owner(&self, target: StartKey) -> &str {
        let is_reachable = |hall: &str| hall == self.id.hall || self.totals.is_reachable(hall, self.now);
        owner(self.members, target, is_reachable).unwrap_or(&self.id.hall)
    }

    /// The part of a target's limit, 0 to 1, that this head grants: that of all reachable halls where all would
    /// go to it, or else that of the halls that do.
    fn granted_fraction(&self, target: StartKey, ledger: &Ledger) -> f64 {
        if owner(self.members, target, |_| true).is_none_or(|hall| hall == self.id.hall) {
            return self.totals.reachable_fraction(self.members, &self.id.hall, self.now).min(1.0);
        }
        let asking = |hall: &str| hall == self.id.hall || ledger.halls().any(|other| other == hall);
        let count = self.members.iter().filter(|(_, member)| asking(&member.hall)).count();
        (count as f64 / self.members.recent_count(self.now).max(1) as f64).min(1.0)
    }
}

/// The account of one target.
#[derive(Debug)]
struct Account {
    /// Limit, requests per second.
    rate: f64,
    /// What the own hall may send; its `used` counts what its instances have sent.
    allowance: Allowance,
    /// What the own hall's instances have.
    instances: Ledger,
    /// What all halls have, where the own hall is the owner.
    halls: Ledger,
    /// What instances have sent, requests per second.
    demand: Demand,
    /// Requests that instances asked for in vain since the last renewal.
    unmet: u32,
    /// What the owner was last asked for, and the part of it that instances asked for in vain.
    requested: HolderReport,
    requested_unmet: u32,
    /// Whether the owner granted less.
    is_short: bool,
    asked_at: Instant,
}

/// What a head knows of one account, for the log.
#[derive(Clone, Copy, Debug)]
pub struct AccountSummary {
    /// Target at one start and address.
    pub target: StartKey,
    /// Requests that the hall's instances have sent since this instance is the head.
    pub used: u32,
    /// Requests that the hall may send.
    pub left: u32,
    /// Those of them that its instances have.
    pub dealt: u32,
    /// Requests that instances asked for in vain.
    pub unmet: u32,
    /// Whether this hall owns the limit.
    pub is_owner: bool,
    /// As the owner, requests that may be granted; and those that halls have.
    pub grantable: f64,
    /// See [`Self::grantable`].
    pub granted: u32,
}

/// The accounts of a head.
#[derive(Debug, Default)]
pub struct LimitAccounts {
    targets: BTreeMap<StartKey, Account>,
}

impl LimitAccounts {
    /// Answers an instance of the own hall.
    pub fn grant_to_instance(&mut self, request: &AllowanceRequest, head: &Head<'_>) -> Vec<GrantedAllowance> {
        let id = holder_id(request);
        let mut granted = Vec::new();
        for target_use in request.targets.iter().take(MAX_TARGETS_PER_REQUEST) {
            let Some(account) = self.account(target_use, head) else { continue };
            account.asked_at = head.now;
            granted.push(account.grant_to_instance(&id, target_use, head));
        }
        granted
    }

    /// Answers an instance again, after a renewal.
    pub fn grant_again(&mut self, request: &AllowanceRequest, head: &Head<'_>) -> Vec<GrantedAllowance> {
        let id = holder_id(request);
        let accounts = request.targets.iter().filter_map(|target_use| {
            let account = self.targets.get_mut(&target_use.target)?;
            Some(account.grant(&id, target_use.target, head.now))
        });
        accounts.take(MAX_TARGETS_PER_REQUEST).collect()
    }

    /// Answers the head of another hall.
    pub fn grant_to_hall(&mut self, request: &AllowanceRequest, head: &Head<'_>) -> Vec<GrantedAllowance> {
        let id = holder_id(request);
        let mut granted = Vec::new();
        for target_use in request.targets.iter().take(MAX_TARGETS_PER_REQUEST) {
            let Some(account) = self.account(target_use, head) else { continue };
            let until = account.grant_to_hall(&id, target_use.target, report_of(target_use), head);
            granted.push(GrantedAllowance { target: target_use.target, until, valid_ms: ms(ALLOWANCE_VALIDITY) });
        }
        granted
    }

    /// What to ask the owners of limits for, by hall, but those halls for which `is_busy` holds: they have not
    /// answered the last request. Also renews allowances that the own hall owns.
    pub fn renewals(&mut self, head: &Head<'_>, is_busy: impl Fn(&str) -> bool) -> BTreeMap<String, Vec<AllowanceUse>> {
        self.remove_expired(head.now);
        let mut renewals: BTreeMap<String, Vec<AllowanceUse>> = BTreeMap::new();
        for (target, account) in &mut self.targets {
            let owner = head.owner(*target);
            if owner == head.id.hall {
                account.renew_here(*target, head);
            } else if !is_busy(owner) && account.needs_renewal(head) {
                renewals.entry(owner.to_owned()).or_default().push(account.renewal(*target, head));
            }
        }
        renewals
    }

    /// Applies the answer of an owner to a request that was sent at `asked_at`.
    pub fn apply_renewal(&mut self, granted: &[GrantedAllowance], asked_at: Instant) {
        for GrantedAllowance { target, until, valid_ms } in granted {
            let Some(account) = self.targets.get_mut(target) else { continue };
            account.renew(*until, Duration::from_millis((*valid_ms).into()), asked_at);
            account.is_short = until.saturating_sub(account.requested.holding.used) < account.requested.wanted;
            account.unmet = account.unmet.saturating_sub(account.requested_unmet);
        }
    }

    /// Whether instances asked for one of the targets in vain, and the owner may grant more at once.
    pub fn awaits_renewal(&self, targets: &[AllowanceUse]) -> bool {
        self.accounts_of(targets).any(|account| account.unmet > 0 && !account.is_short)
    }

    /// Whether the hall has nothing left for one of the targets, and the owner may grant more.
    pub fn should_renew(&self, targets: &[AllowanceUse], now: Instant) -> bool {
        let is_used_up = |account: &Account| account.allowance.left(now) <= account.instances.outstanding();
        self.accounts_of(targets).any(|account| !account.is_short && (account.unmet > 0 || is_used_up(account)))
    }

    /// What is known of each account.
    pub fn summaries(&self, head: &Head<'_>) -> Vec<AccountSummary> {
        let summary = |(target, account): (&StartKey, &Account)| AccountSummary {
            target: *target,
            used: account.allowance.used(),
            left: account.allowance.left(head.now),
            dealt: account.instances.outstanding(),
            unmet: account.unmet,
            is_owner: head.owner(*target) == head.id.hall,
            grantable: account.halls.level(),
            granted: account.halls.outstanding(),
        };
        self.targets.iter().map(summary).collect()
    }

    fn accounts_of(&self, targets: &[AllowanceUse]) -> impl Iterator<Item = &Account> {
        targets.iter().filter_map(|target_use| self.targets.get(&target_use.target))
    }

    /// Whether there is anything to renew.
    pub fn is_empty(&self) -> bool {
        self.targets.is_empty()
    }

    /// The account of a target; `None` if there are too many others.
    fn account(&mut self, target_use: &AllowanceUse, head: &Head<'_>) -> Option<&mut Account> {
        let reported = f64::from(target_use.rate);
        let reported = if reported.is_finite() { reported.max(0.0) } else { 0.0 };
        let rate = head.totals.rate(target_use.target, head.now).unwrap_or(reported);
        if !self.targets.contains_key(&target_use.target) && self.targets.len() >= MAX_ACCOUNTS {
            return None;
        }
        let account = self.targets.entry(target_use.target).or_insert_with(|| Account::new(rate, head.now));
        account.rate = rate;
        Some(account)
    }

    /// Drops accounts that are not used any more.
    fn remove_expired(&mut self, now: Instant) {
        self.targets.retain(|_, account| {
            account.halls.remove_expired(now);
            now.saturating_duration_since(account.asked_at) < MAX_IDLE_TIME || !account.halls.is_empty()
        });
    }
}

impl Account {
    fn new(rate: f64, now: Instant) -> Self {
        Self {
            rate,
            allowance: Allowance::default(),
            instances: Ledger::default(),
            halls: Ledger::starting_with(INITIAL_LEVEL),
            demand: Demand::of_hall(),
            unmet: 0,
            requested: HolderReport::default(),
            requested_unmet: 0,
            is_short: false,
            asked_at: now,
        }
    }

    fn grant_to_instance(&mut self, id: &HolderId, target_use: &AllowanceUse, head: &Head<'_>) -> GrantedAllowance {
        let report = report_of(target_use);
        let used = self.instances.record(id, report, head.now);
        self.allowance.record_used(used);
        self.demand.record(used, head.now);
        let missing = report.wanted.saturating_sub(report.holding.left());
        self.unmet = self.unmet.saturating_add(missing).min(MAX_UNMET);
        if head.owner(target_use.target) == head.id.hall {
            self.renew_here(target_use.target, head);
        }
        let granted = self.grant(id, target_use.target, head.now);
        let gained = granted.until.saturating_sub(target_use.until.max(target_use.used));
        self.unmet = self.unmet.saturating_sub(gained);
        granted
    }

    /// Grants an instance what the hall's allowance leaves.
    fn grant(&mut self, id: &HolderId, target: StartKey, now: Instant) -> GrantedAllowance {
        self.count_silent(now);
        self.instances.set_total(self.allowance.left(now));
        let until = self.instances.grant(id, now);
        GrantedAllowance { target, until, valid_ms: ms(self.allowance.validity(now)) }
    }

    /// Counts what silent instances may have sent.
    fn count_silent(&mut self, now: Instant) {
        let unreported = self.instances.remove_expired(now);
        self.allowance.record_used(unreported);
    }

    /// As the owner, grants a hall what the limit leaves; returns the value of its counter up to which it may
    /// send.
    fn grant_to_hall(&mut self, id: &HolderId, target: StartKey, report: HolderReport, head: &Head<'_>) -> u32 {
        let fraction = head.granted_fraction(target, &self.halls);
        let depth = depth(self.rate) * fraction;
        self.halls.remove_expired(head.now);
        self.halls.record(id, report, head.now);
        self.halls.refill(self.rate.max(MIN_RATE) * fraction, depth, head.now);
        self.halls.grant(id, head.now)
    }

    /// What the hall has and wants.
    fn hall_report(&mut self, head: &Head<'_>) -> HolderReport {
        self.count_silent(head.now);
        let mean = self.demand.rate(head.now) * HALL_RESERVE.as_secs_f64();
        let in_advance = if mean < MIN_MEAN { 0 } else { (mean + mean.sqrt()).ceil() as u32 };
        let wanted = self.instances.outstanding().saturating_add(self.unmet);
        HolderReport { holding: self.allowance.holding(head.now), wanted, in_advance }
    }

    /// Whether the owner does not know of requests that were sent, more or fewer are wanted, or the allowance is about
    /// to expire.
    fn needs_renewal(&mut self, head: &Head<'_>) -> bool {
        let HolderReport { holding, wanted, in_advance } = self.hall_report(head);
        let is_used = holding.used != self.requested.holding.used;
        let is_kept = holding.left() > 0 && self.allowance.validity(head.now) < RENEW_BEFORE;
        is_used || is_kept || wanted > holding.left() || (wanted, in_advance) != self.requested.wants()
    }

    /// Renews the hall's allowance as the owner.
    fn renew_here(&mut self, target: StartKey, head: &Head<'_>) {
        let report = self.hall_report(head);
        let until = self.grant_to_hall(head.id, target, report, head);
        self.renew(until, ALLOWANCE_VALIDITY, head.now);
        // All that there is has been granted.
        (self.is_short, self.unmet) = (true, 0);
    }

    /// Applies the owner's answer. What instances hold cannot be given back.
    fn renew(&mut self, until: u32, validity: Duration, asked_at: Instant) {
        let dealt = self.allowance.used().saturating_add(self.instances.outstanding());
        self.allowance.renew(until.max(dealt.min(self.allowance.until())), validity, asked_at);
    }

    fn renewal(&mut self, target: StartKey, head: &Head<'_>) -> AllowanceUse {
        self.requested = self.hall_report(head);
        self.requested_unmet = self.unmet;
        let HolderReport { holding: Holding { used, until }, wanted, in_advance } = self.requested;
        AllowanceUse { target, rate: self.rate as f32, used, until, wanted, in_advance }
    }
}

/// Requests beyond the limit that may be granted in advance, so that in any window no more are sent than the
/// operators' bound.
fn depth(rate: f64) -> f64 {
    let window = WINDOW.as_secs_f64();
    (OVERAGE * rate * window + SLACK - rate.max(MIN_RATE) * window) * DEPTH_FRACTION
}

fn holder_id(request: &AllowanceRequest) -> HolderId {
    HolderId { hall: request.hall.clone(), name: request.from.clone(), epoch: request.epoch }
}

fn report_of(target_use: &AllowanceUse) -> HolderReport {
    let AllowanceUse { used, until, wanted, in_advance, .. } = *target_use;
    HolderReport { holding: Holding { used, until }, wanted, in_advance }
}

fn ms(duration: Duration) -> u16 {
    u16::try_from(duration.as_millis()).unwrap_or(u16::MAX)
}
