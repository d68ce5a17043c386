//! Rate limits that targets name: their values, how long they hold and for what, the parts of
//! instances.

use lockloft::clock::Instant;
use lockloft::decision::capacity::rate_limit::totals::{LimitTotals, MAX_TOLD, said, told_rate};
use lockloft::decision::capacity::rate_limit::{LEAST_RATE, RateLimit, Said, StatedLimit};
use lockloft::decision::failure::pause::PauseSignal;
use lockloft::decision::registry::members::Members;
use lockloft::decision::registry::statements::{Stated, StatedLeaving};
use lockloft::decision::registry::target::Target;
use lockloft::decision::registry::target_key::start_key;
use lockloft::model::member::{Capacity, Member};
use lockloft::model::rate_limits::{AnnouncedRate, LimitReport, StartKey, TargetDemand};
use lockloft::model::registration::{StartTime, TargetRegistration, TargetState};
use std::time::Duration;

const TARGET: StartKey = StartKey([1; 8]);

fn parse(values: &[&str]) -> StatedLimit {
    StatedLimit::parse(values.iter().map(|value| value.as_bytes()))
}

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn members(count: usize, halls: usize) -> Members {
    let mut members = Members::default();
    for number in 0..count {
        let address = "127.0.0.1:1".parse().unwrap();
        let hall = format!("h-{}", number % halls);
        let member =
            Member { hall, region: String::new(), callers: address, peer: address, capacity: Capacity::default() };
        members.insert(format!("e-{number}"), member, Instant::now());
    }
    members
}

fn report(from: &str, hall: &str, demand: f32, told: Option<AnnouncedRate>) -> LimitReport {
    let targets = vec![TargetDemand { target: TARGET, told, demand, leaves: false }];
    LimitReport { from: from.to_owned(), hall: hall.to_owned(), is_forwarded: false, targets }
}

const NOTHING: Stated =
    Stated { limit: StatedLimit::None, leaving: StatedLeaving::None, pause: PauseSignal::None, turns_away: false };
const NAMED: Option<AnnouncedRate> = Some(AnnouncedRate { rate: Some(6.0), age_ms: 0 });

#[test]
fn a_limit_is_one_decimal_number() {
    assert_eq!(parse(&[]), StatedLimit::None);
    for (text, rate) in [("4.5", 4.5), ("0", 0.0), (" 12 ", 12.0), (".5", 0.5), ("0.0", 0.0)] {
        assert_eq!(parse(&[text]), StatedLimit::Rate(rate), "{text}");
    }
    let long = "9".repeat(40);
    for text in ["", "-1", "+3", "nan", "inf", "1e3", "1,5", "4.5 a second", "1.2.3", ".", "٤", &long] {
        assert_eq!(parse(&[text]), StatedLimit::Unreadable, "{text}");
    }
    assert_eq!(parse(&["4", "4"]), StatedLimit::Unreadable, "named twice");
    assert_eq!(StatedLimit::parse([&[0xff_u8][..]].into_iter()), StatedLimit::Unreadable);
}

#[test]
fn what_cannot_be_read_changes_nothing() {
    let (mut limit, now) = (RateLimit::default(), Instant::now());
    assert_eq!(limit.state(StatedLimit::Rate(4.0), now, now), Some(Some(4.0)));
    assert_eq!(limit.state(StatedLimit::Unreadable, now + ms(1), now + ms(2)), None);
    assert_eq!(limit.rate(now + ms(2)), Some(4.0));
}

#[test]
fn an_answer_that_was_under_way_lowers_a_limit_but_neither_raises_nor_lifts_it() {
    let (mut limit, now) = (RateLimit::default(), Instant::now());
    let (before, named, after) = (now, now + ms(50), now + ms(60));
    assert_eq!(limit.state(StatedLimit::Rate(4.0), before, named), Some(Some(4.0)));
    assert_eq!(limit.state(StatedLimit::None, before, named + ms(1)), None);
    assert_eq!(limit.state(StatedLimit::Rate(8.0), before, named + ms(2)), None);
    assert_eq!(limit.state(StatedLimit::Rate(2.0), before, named + ms(3)), Some(Some(2.0)));
    assert_eq!(limit.state(StatedLimit::Rate(8.0), after, named + ms(20)), Some(Some(8.0)));
    assert_eq!(limit.state(StatedLimit::None, after + ms(30), after + ms(40)), Some(None));
}

#[test]
fn a_target_that_says_nothing_for_ten_seconds_has_no_limit() {
    let (mut limit, now) = (RateLimit::default(), Instant::now());
    limit.state(StatedLimit::Rate(4.0), now, now);
    assert_eq!(limit.rate(now + ms(9_900)), Some(4.0));
    assert_eq!(limit.rate(now + ms(10_000)), None);
    assert!(!limit.is_used_up(now + ms(10_000)));
}

#[test]
fn what_others_were_told_counts_where_it_is_later_and_is_not_told_on() {
    let (mut limit, now) = (RateLimit::default(), Instant::now());
    limit.state(StatedLimit::Rate(4.0), now, now);
    assert_eq!(limit.hear(Said { rate: Some(9.0), at: now - ms(10) }, now + ms(5)), None);
    assert_eq!(limit.hear(Said { rate: None, at: now + ms(20) }, now + ms(30)), Some(None));
    let (own, _) = limit.tell(now + ms(40)).expect("it had a limit");
    assert_eq!(own, Some(Said { rate: Some(4.0), at: now }));
}

#[test]
fn another_start_or_address_has_another_key() {
    let address = "127.0.0.1:80".parse().unwrap();
    let key = start_key("u", Some(StartTime(1)), address);
    assert_ne!(key, start_key("u", Some(StartTime(2)), address));
    assert_ne!(key, start_key("u", Some(StartTime(1)), "127.0.0.1:81".parse().unwrap()));
    assert_ne!(key, start_key("v", Some(StartTime(1)), address));
    assert_eq!(key, start_key("u", Some(StartTime(1)), address));
}

#[test]
fn of_many_instances_with_a_share_so_many_requests_are_sent() {
    let now = Instant::now();
    let mut sent = 0;
    for number in 0..100 {
        let mut limit = RateLimit::default();
        limit.state(StatedLimit::Rate(4.0), now, now);
        limit.set_share(0.3, f64::from(number) / 100.0, now);
        for _ in 0..10 {
            let is_held = limit.is_used_up(now);
            limit.offer(now);
            if !is_held {
                limit.spend(now);
                sent += 1;
            }
        }
    }
    assert!((290..=310).contains(&sent), "{sent}");
}

#[test]
fn equal_parts_are_whole_requests_of_few_instances() {
    let now = Instant::now();
    for (count, rate) in [(1, 4.0), (12, 4.5), (75, 4.5), (295, 0.0), (12, 40.0)] {
        let members = members(count, 6);
        let sent: usize = (0..count).map(|number| sent_in_window(rate, number, &members, now)).sum();
        assert!(sent as f64 <= (4.0 * rate).max(1.0) && sent >= 1, "{count} {rate}: {sent}");
    }
}

/// What an instance sends by its equal part in 4 s, with requests all the time.
fn sent_in_window(rate: f64, number: usize, members: &Members, now: Instant) -> usize {
    let mut limit = RateLimit::default();
    limit.state(StatedLimit::Rate(rate), now, now);
    limit.update_part(7, &format!("e-{number}"), members.names(), now);
    let mut sent = 0;
    for at in (0..4_000).step_by(10).map(|at| now + ms(at)) {
        if !limit.is_used_up(at) {
            limit.offer(at);
            limit.spend(at);
            sent += 1;
        }
    }
    sent
}

#[test]
fn a_head_answers_the_limit_over_all_demands() {
    let (mut totals, now, members) = (LimitTotals::default(), Instant::now(), members(4, 2));
    totals.take(&report("e-0", "h-0", 10.0, NAMED), "h-0", now);
    totals.take(&report("e-2", "h-0", 5.0, None), "h-0", now);
    totals.take(&LimitReport { is_forwarded: true, ..report("e-1", "h-1", 15.0, None) }, "h-0", now);
    let shares = totals.shares(&[], &members, "h-0", now);
    assert!((shares[0].pass - 0.2).abs() < 0.001, "{shares:?}");
    // The same demand told again is no more than it was.
    totals.take(&report("e-0", "h-0", 10.0, NAMED), "h-0", now + ms(200));
    totals.take(&report("e-0", "h-0", 10.0, NAMED), "h-0", now + ms(200));
    let shares = totals.shares(&[], &members, "h-0", now + ms(200));
    assert!((shares[0].pass - 0.2).abs() < 0.001, "{shares:?}");
}

#[test]
fn a_hall_that_is_not_heard_from_keeps_its_part_of_the_limit() {
    let (mut totals, now, members) = (LimitTotals::default(), Instant::now(), members(6, 3));
    totals.take(&report("e-0", "h-0", 12.0, NAMED), "h-0", now);
    assert!((totals.shares(&[], &members, "h-0", now)[0].pass - 6.0 / 3.0 / 12.0).abs() < 0.001);
    totals.hear_hall("h-1", now);
    assert!((totals.shares(&[], &members, "h-0", now)[0].pass - 6.0 * 2.0 / 3.0 / 12.0).abs() < 0.001);
    let shares = totals.shares(&[], &members, "h-0", now + ms(1_000));
    assert_eq!(shares[0].pass, 1.0, "no demand is known");
}

#[test]
fn a_target_that_takes_nothing_is_sent_the_least() {
    let (mut totals, now, members) = (LimitTotals::default(), Instant::now(), members(1, 1));
    let nothing = Some(AnnouncedRate { rate: Some(0.0), age_ms: 0 });
    totals.take(&report("e-0", "h-0", 10.0, nothing), "h-0", now);
    let pass = f64::from(totals.shares(&[], &members, "h-0", now)[0].pass);
    assert!((pass - LEAST_RATE / 10.0).abs() < 0.0001, "{pass}");
}

#[test]
fn nonsense_in_a_message_changes_no_share_and_fills_no_memory() {
    let (mut totals, now, members) = (LimitTotals::default(), Instant::now(), members(1, 1));
    totals.take(&report("e-0", "h-0", 12.0, NAMED), "h-0", now);
    for demand in [f32::NAN, f32::INFINITY, -5.0] {
        totals.take(&report("e-9", "h-0", demand, None), "h-0", now);
    }
    for rate in [f32::NAN, f32::INFINITY, -1.0] {
        assert_eq!(said(AnnouncedRate { rate: Some(rate), age_ms: 0 }, now), None);
    }
    assert!((totals.shares(&[], &members, "h-0", now)[0].pass - 0.5).abs() < 0.001);
    let many = (0..10_000_u64).map(|key| TargetDemand {
        target: StartKey(key.to_be_bytes()),
        told: NAMED,
        demand: 1.0,
        leaves: false,
    });
    let flood = LimitReport { targets: many.collect(), ..report("e-9", "h-0", 1.0, None) };
    totals.take(&flood, "h-0", now);
    assert!(totals.forward(now).len() <= MAX_TOLD);
}

#[test]
fn what_was_said_too_long_ago_is_not_told() {
    let now = Instant::now() + ms(60_000);
    assert!(told_rate(Said { rate: Some(1.0), at: now - ms(9_000) }, now).is_some());
    assert!(told_rate(Said { rate: Some(1.0), at: now - ms(11_000) }, now).is_none());
    assert!(said(AnnouncedRate { rate: Some(1.0), age_ms: 11_000 }, now).is_none());
}

#[test]
fn a_later_start_or_another_address_inherits_no_limit_and_the_same_one_keeps_it() {
    let now = Instant::now();
    let first = registration(Some(1), "127.0.0.1:1");
    let target = Target::new(&first, "a".into(), now);
    target.take_statements(Stated { limit: StatedLimit::Rate(4.0), ..NOTHING }, 0.0, now, now);
    let moved = target.succeeded_by(&registration(Some(1), "127.0.0.1:2"), "a".into(), now);
    assert_eq!(moved.rate_limit(now), None);
    let described_anew = TargetRegistration { slots: 9, ..first };
    assert_eq!(target.succeeded_by(&described_anew, "a".into(), now).rate_limit(now), Some(4.0));
    assert_eq!(Target::new(&registration(Some(2), "127.0.0.1:1"), "a".into(), now).rate_limit(now), None);
}

fn registration(start: Option<u64>, address: &str) -> TargetRegistration {
    TargetRegistration {
        id: "u".into(),
        start: start.map(StartTime),
        service: "shop".into(),
        address: address.parse().unwrap(),
        hall: "a-1".into(),
        version: "1".into(),
        slots: 4,
        state: TargetState::Ready,
        sequence: 1,
        slow_start: Duration::ZERO,
    }
}

/// Two heads told each other that a target leaves, each what the other had told it, so that it was never
/// forgotten: targets that are gone would fill the messages in which limits are told.
#[test]
fn heads_forget_a_target_that_left_once_no_instance_tells_of_it() {
    let (mut one, mut other, now) = (LimitTotals::default(), LimitTotals::default(), Instant::now());
    let mut told = report("e-0", "h-0", 0.0, None);
    told.targets[0].leaves = true;
    one.take(&told, "h-0", now);
    for step in 1..100 {
        let at = now + ms(100 * step);
        let forwarded =
            |from: &str, targets| LimitReport { targets, is_forwarded: true, ..report(from, from, 0.0, None) };
        other.take(&forwarded("h-0", one.forward(at)), "h-1", at);
        one.take(&forwarded("h-1", other.forward(at)), "h-0", at);
    }
    assert!(one.forward(now + ms(10_000)).is_empty(), "it was told ten seconds ago");
}
