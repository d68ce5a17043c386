//! Allowances: what a ledger grants, who owns a limit, and what an instance does with answers and without.

use lockloft::clock::Instant;
use lockloft::decision::capacity::rate_limit::accounts::{Head, LimitAccounts};
use lockloft::decision::capacity::rate_limit::allowance::{ALLOWANCE_VALIDITY, Allowance, Holding};
use lockloft::decision::capacity::rate_limit::ledger::{HolderId, HolderReport, Ledger};
use lockloft::decision::capacity::rate_limit::owner::owner;
use lockloft::decision::capacity::rate_limit::totals::LimitTotals;
use lockloft::decision::capacity::rate_limit::{LimitSignal, Permission, RateLimit};
use lockloft::decision::registry::members::Members;
use lockloft::model::allowances::{AllowanceRequest, AllowanceUse, GrantedAllowance};
use lockloft::model::member::{Capacity, Member};
use lockloft::model::rate_limits::StartKey;
use proptest::prelude::*;
use std::collections::BTreeMap;
use std::time::Duration;

const TARGET: StartKey = StartKey([3; 8]);

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

fn holder(number: usize) -> HolderId {
    HolderId { hall: format!("h-{number}"), name: format!("e-{number}"), epoch: 0 }
}

fn report(used: u32, until: u32, wanted: u32) -> HolderReport {
    HolderReport { holding: Holding { used, until }, wanted, in_advance: 0 }
}

fn members(count: usize, halls: usize) -> Members {
    let mut members = Members::default();
    for number in 0..count {
        let address = "127.0.0.1:1".parse().unwrap();
        let member = Member {
            hall: format!("h-{}", number % halls),
            region: String::new(),
            callers: address,
            peer: address,
            isolated: false,
            capacity: Capacity::default(),
        };
        members.insert(format!("e-{number}"), member, Instant::now());
    }
    members
}

/// What a holder does in a step of the model.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// Sends this part of what it may, and reports; the answer arrives.
    Report { holder: usize, wanted: u32, sent: f64 },
    /// The same, but the answer is lost.
    Lost { holder: usize, wanted: u32, sent: f64 },
    /// Time passes.
    Wait(u64),
    /// Sends what it may.
    Send(usize),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (0..4_usize, 0..60_u32, 0.0..1.0).prop_map(|(holder, wanted, sent)| Step::Report { holder, wanted, sent }),
        (0..4_usize, 0..60_u32, 0.0..1.0).prop_map(|(holder, wanted, sent)| Step::Lost { holder, wanted, sent }),
        (1..700_u64).prop_map(Step::Wait),
        (0..4_usize).prop_map(Step::Send),
    ]
}

proptest! {
    /// Whatever holders want, send and lose: in any window no more is sent than the depth and what the rate adds.
    #[test]
    fn holders_send_no_more_in_a_window_than_the_ledger_allows(steps in proptest::collection::vec(step(), 1..120)) {
        const RATE: f64 = 5.0;
        const DEPTH: f64 = 13.0;
        let (mut ledger, mut now) = (Ledger::default(), Instant::now());
        let mut allowances = [Allowance::default(); 4];
        let mut sent: Vec<Instant> = Vec::new();
        for step in steps {
            match step {
                Step::Wait(milliseconds) => now += ms(milliseconds),
                Step::Send(number) => {
                    let count = allowances[number].left(now);
                    allowances[number].record_used(count);
                    sent.extend((0..count).map(|_| now));
                }
                Step::Report { holder: number, wanted, sent: part } | Step::Lost { holder: number, wanted, sent: part } => {
                    let count = (f64::from(allowances[number].left(now)) * part) as u32;
                    allowances[number].record_used(count);
                    sent.extend((0..count).map(|_| now));
                    ledger.remove_expired(now);
                    let report = HolderReport { holding: allowances[number].holding(now), wanted, in_advance: wanted / 2 };
                    ledger.record(&holder(number), report, now);
                    ledger.refill(RATE, DEPTH, now);
                    let until = ledger.grant(&holder(number), now);
                    if matches!(step, Step::Report { .. }) {
                        allowances[number].renew(until, ALLOWANCE_VALIDITY, now);
                    }
                }
            }
        }
        for (index, first) in sent.iter().enumerate() {
            let in_window = sent[index..].partition_point(|at| *at < *first + Duration::from_secs(4));
            prop_assert!(in_window as f64 <= DEPTH + 4.0 * RATE, "{in_window}");
        }
    }
}

#[test]
fn an_allowance_is_over_after_its_time_or_its_requests() {
    let (mut allowance, now) = (Allowance::default(), Instant::now());
    assert_eq!(allowance.left(now), 0);
    allowance.renew(2, ms(800), now);
    allowance.record_used(1);
    assert_eq!(allowance.left(now + ms(799)), 1);
    assert_eq!(allowance.holding(now + ms(800)), Holding { used: 1, until: 1 });
    allowance.record_used(2);
    assert_eq!(allowance.left(now), 0);
}

#[test]
fn a_silent_holder_counts_as_having_sent_what_it_was_granted() {
    let (mut ledger, now) = (Ledger::default(), Instant::now());
    ledger.refill(5.0, 10.0, now);
    ledger.refill(5.0, 10.0, now + ms(2_000));
    ledger.record(&holder(0), report(0, 0, 6), now + ms(2_000));
    assert_eq!(ledger.grant(&holder(0), now + ms(2_000)), 6);
    assert_eq!(ledger.remove_expired(now + ms(2_900)), 0);
    assert_eq!(ledger.remove_expired(now + ms(3_000)), 6);
    assert!(ledger.level() < 5.0, "{}", ledger.level());
}

#[test]
fn requests_that_wait_come_before_those_to_come() {
    let (mut ledger, now) = (Ledger::default(), Instant::now());
    ledger.refill(10.0, 10.0, now);
    ledger.refill(10.0, 10.0, now + ms(1_000));
    ledger.record(&holder(0), HolderReport { in_advance: 20, ..report(0, 0, 0) }, now + ms(1_000));
    assert_eq!(ledger.grant(&holder(0), now + ms(1_000)), 5, "half of all");
    ledger.record(&holder(1), report(0, 0, 9), now + ms(1_000));
    assert_eq!(ledger.grant(&holder(1), now + ms(1_000)), 5, "what is left");
}

/// Requests sent beside an allowance, such as by an equal share, are owed.
#[test]
fn requests_beyond_an_allowance_lower_what_is_granted_later() {
    let (mut ledger, now) = (Ledger::default(), Instant::now());
    ledger.record(&holder(0), report(0, 0, 0), now);
    ledger.refill(5.0, 10.0, now);
    ledger.record(&holder(0), report(4, 4, 3), now + ms(500));
    ledger.refill(5.0, 10.0, now + ms(500));
    assert_eq!(ledger.grant(&holder(0), now + ms(500)), 4, "nothing is left of its counter");
    assert!(ledger.level() < 0.0);
}

#[test]
fn all_halls_find_the_same_owner_and_another_one_while_it_is_not_reachable() {
    let members = members(12, 6);
    let first = owner(&members, TARGET, |_| true).unwrap();
    let second = owner(&members, TARGET, |hall| hall != first).unwrap();
    assert_ne!(first, second);
    assert_eq!(owner(&members, TARGET, |_| false), None);
    let mut owners = BTreeMap::new();
    for key in 0..600_u64 {
        *owners.entry(owner(&members, StartKey(key.to_be_bytes()), |_| true).unwrap()).or_insert(0) += 1;
    }
    assert!(owners.len() == 6 && owners.values().all(|count| (60..140).contains(count)), "{owners:?}");
}

fn request(name: &str, hall: &str, wanted: u32) -> AllowanceRequest {
    let targets = vec![AllowanceUse { target: TARGET, rate: 6.0, used: 0, until: 0, wanted, in_advance: 0 }];
    AllowanceRequest { from: name.into(), hall: hall.into(), epoch: 1, is_for_hall: false, targets }
}

/// A hall that reaches no other one grants its own part alone, so that halls that are cut from each other keep the
/// limit together.
#[test]
fn a_hall_that_is_cut_off_grants_its_part_of_the_limit() {
    let (members, totals, start) = (members(12, 6), LimitTotals::default(), Instant::now());
    let mut granted = 0;
    for hall in 0..6 {
        let id = holder(hall);
        let mut accounts = LimitAccounts::default();
        let mut until = 0;
        for step in 0..200 {
            let head = Head { id: &id, members: &members, totals: &totals, now: start + ms(20 * step) };
            let mut request = request(&id.name, &id.hall, 50);
            // All that is granted is sent.
            (request.targets[0].used, request.targets[0].until) = (until, until);
            until = accounts.grant_to_instance(&request, &head)[0].until;
        }
        granted += until;
    }
    // 4 s at 6 a second, and half of that as rounding and depth add.
    assert!((12..=41).contains(&granted), "{granted}");
}

#[test]
fn without_an_answer_the_equal_share_applies_and_with_one_the_allowance() {
    let (mut limit, now, members) = (RateLimit::default(), Instant::now(), members(2, 2));
    limit.use_allowances();
    assert_eq!(limit.permission(now), Permission::Send, "no limit is known");
    limit.apply(LimitSignal::Rate(6.0), now, now);
    limit.update_equal_share(7, "e-0", members.names());
    assert_eq!(limit.permission(now), Permission::Ask);
    limit.apply_allowance(None, 0.0, now, now);
    assert_eq!(limit.permission(now), Permission::Send);
    limit.record_offered(now);
    limit.record_sent(now);
    assert_eq!(limit.permission(now + ms(10)), Permission::Exhausted, "the next one is due later");
    limit.add_waiting(1);
    let asked_at = now + ms(1_100);
    let ask = limit.begin_ask(TARGET, asked_at).unwrap();
    assert_eq!((ask.used, ask.until, ask.wanted), (1, 1, 1));
    let granted = GrantedAllowance { target: TARGET, until: 2, valid_ms: 1_000 };
    limit.apply_allowance(Some(granted), 0.0, asked_at, asked_at + ms(5));
    limit.add_waiting(-1);
    assert_eq!(limit.permission(asked_at + ms(5)), Permission::Send);
    limit.record_offered(asked_at + ms(5));
    limit.record_sent(asked_at + ms(5));
    assert_eq!(limit.permission(asked_at + ms(5)), Permission::Ask);
}

/// A request is not kept waiting for an answer that has just been no.
#[test]
fn after_an_answer_that_grants_too_little_requests_do_not_wait() {
    let (mut limit, now) = (RateLimit::default(), Instant::now());
    limit.use_allowances();
    limit.apply(LimitSignal::Rate(6.0), now, now);
    limit.add_waiting(1);
    limit.begin_ask(TARGET, now).unwrap();
    limit.apply_allowance(Some(GrantedAllowance { target: TARGET, until: 0, valid_ms: 900 }), 0.0, now, now);
    limit.add_waiting(-1);
    assert_eq!(limit.permission(now + ms(50)), Permission::Exhausted);
    assert_eq!(limit.permission(now + ms(150)), Permission::Ask);
}

/// A target that names a limit again after it had lifted it is not charged what it took meanwhile, and an instance does
/// not ask about targets without a limit.
#[test]
fn requests_sent_without_a_limit_are_not_counted_and_ask_for_nothing() {
    let (mut limit, now) = (RateLimit::default(), Instant::now());
    limit.use_allowances();
    for number in 0..50 {
        limit.record_offered(now + ms(20 * number));
        limit.record_sent(now + ms(20 * number));
    }
    assert!(!limit.should_ask(now + ms(2_000)));
    limit.apply(LimitSignal::Rate(6.0), now + ms(2_000), now + ms(2_010));
    limit.add_waiting(1);
    let ask = limit.begin_ask(TARGET, now + ms(2_020)).unwrap();
    assert_eq!((ask.used, ask.until, ask.wanted), (0, 0, 1));
}
