//! Rate limits that targets announce: parsing, which announcement applies and for how long, and the
//! shares of instances.

use lockloft::clock::Instant;
use lockloft::decision::capacity::rate_limit::totals::{
    LimitTotals, MAX_TARGETS_PER_MESSAGE, limit_from_message, limit_to_message,
};
use lockloft::decision::capacity::rate_limit::{AnnouncedLimit, LimitSignal, MIN_RATE, RateLimit};
use lockloft::decision::failure::pause::PauseSignal;
use lockloft::decision::registry::members::Members;
use lockloft::decision::registry::signals::{LeavingSignal, ResponseSignals};
use lockloft::decision::registry::target::Target;
use lockloft::decision::registry::target_key::start_key;
use lockloft::model::member::{Capacity, Member};
use lockloft::model::rate_limits::{AnnouncedRate, LimitReport, StartKey, TargetDemand};
use lockloft::model::registration::{StartTime, TargetRegistration, TargetState};
use std::collections::BTreeSet;
use std::time::Duration;

const TARGET: StartKey = StartKey([1; 8]);

fn parse(values: &[&str]) -> LimitSignal {
    LimitSignal::parse(values.iter().map(|value| value.as_bytes()))
}

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

fn members(count: usize, halls: usize) -> Members {
    let mut members = Members::default();
    for number in 0..count {
        let address = "127.0.0.1:1".parse().unwrap();
        let hall = format!("h-{}", number % halls);
        let member = Member {
            hall,
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

fn report(from: &str, hall: &str, demand: f32, announced: Option<AnnouncedRate>) -> LimitReport {
    let targets = vec![TargetDemand { target: TARGET, announced, demand, is_leaving: false }];
    LimitReport { from: from.to_owned(), hall: hall.to_owned(), is_forwarded: false, targets }
}

const NO_SIGNALS: ResponseSignals = ResponseSignals {
    limit: LimitSignal::None,
    leaving: LeavingSignal::None,
    pause: PauseSignal::None,
    is_rejection: false,
};
const ANNOUNCED: Option<AnnouncedRate> = Some(AnnouncedRate { rate: Some(6.0), age_ms: 0 });

#[test]
fn a_limit_is_one_decimal_number() {
    assert_eq!(parse(&[]), LimitSignal::None);
    for (text, rate) in [("4.5", 4.5), ("0", 0.0), (" 12 ", 12.0), (".5", 0.5), ("0.0", 0.0)] {
        assert_eq!(parse(&[text]), LimitSignal::Rate(rate), "{text}");
    }
    let long = "9".repeat(40);
    for text in ["", "-1", "+3", "nan", "inf", "1e3", "1,5", "4.5 a second", "1.2.3", ".", "٤", &long] {
        assert_eq!(parse(&[text]), LimitSignal::Unreadable, "{text}");
    }
    assert_eq!(parse(&["4", "4"]), LimitSignal::Unreadable, "two values");
    assert_eq!(LimitSignal::parse([&[0xff_u8][..]].into_iter()), LimitSignal::Unreadable);
}

#[test]
fn an_unreadable_limit_changes_nothing() {
    let (mut limit, now) = (RateLimit::default(), Instant::now());
    assert_eq!(limit.apply(LimitSignal::Rate(4.0), now, now), Some(Some(4.0)));
    assert_eq!(limit.apply(LimitSignal::Unreadable, now + ms(1), now + ms(2)), None);
    assert_eq!(limit.rate(), Some(4.0));
}

#[test]
fn a_response_to_an_earlier_request_lowers_a_limit_but_neither_raises_nor_lifts_it() {
    let (mut limit, now) = (RateLimit::default(), Instant::now());
    let (before, announced, after) = (now, now + ms(50), now + ms(60));
    assert_eq!(limit.apply(LimitSignal::Rate(4.0), before, announced), Some(Some(4.0)));
    assert_eq!(limit.apply(LimitSignal::None, before, announced + ms(1)), None);
    assert_eq!(limit.apply(LimitSignal::Rate(8.0), before, announced + ms(2)), None);
    assert_eq!(limit.apply(LimitSignal::Rate(2.0), before, announced + ms(3)), Some(Some(2.0)));
    assert_eq!(limit.apply(LimitSignal::Rate(8.0), after, announced + ms(20)), Some(Some(8.0)));
    assert_eq!(limit.apply(LimitSignal::None, after + ms(30), after + ms(40)), Some(None));
}

/// Callers who come back after an outage must not find a limit forgotten. It is not reported to heads any more.
#[test]
fn a_limit_applies_until_an_answer_says_otherwise_and_is_reported_for_ten_seconds() {
    let (mut limit, now) = (RateLimit::default(), Instant::now());
    limit.apply(LimitSignal::Rate(4.0), now, now);
    assert!(limit.take_report(now + ms(9_900)).is_some());
    assert_eq!(limit.take_report(now + ms(10_000)), None);
    let later = now + ms(600_000);
    assert_eq!(limit.rate(), Some(4.0));
    assert!(limit.is_exhausted(later), "no equal share is known");
    assert_eq!(limit.apply(LimitSignal::None, later, later + ms(5)), Some(None));
    assert!(!limit.is_exhausted(later + ms(5)));
}

#[test]
fn a_remote_limit_applies_if_it_is_later_and_is_not_reported_again() {
    let (mut limit, now) = (RateLimit::default(), Instant::now());
    limit.apply(LimitSignal::Rate(4.0), now, now);
    assert_eq!(limit.record_remote(AnnouncedLimit { rate: Some(9.0), at: now - ms(10) }, now + ms(5)), None);
    assert_eq!(limit.record_remote(AnnouncedLimit { rate: None, at: now + ms(20) }, now + ms(30)), Some(None));
    let (own, _) = limit.take_report(now + ms(40)).expect("it had a limit");
    assert_eq!(own, Some(AnnouncedLimit { rate: Some(4.0), at: now }));
}

#[test]
fn the_start_key_depends_on_id_start_and_address() {
    let address = "127.0.0.1:80".parse().unwrap();
    let key = start_key("u", Some(StartTime(1)), address);
    assert_ne!(key, start_key("u", Some(StartTime(2)), address));
    assert_ne!(key, start_key("u", Some(StartTime(1)), "127.0.0.1:81".parse().unwrap()));
    assert_ne!(key, start_key("v", Some(StartTime(1)), address));
    assert_eq!(key, start_key("u", Some(StartTime(1)), address));
}

#[test]
fn instances_together_send_the_share_of_requests_that_the_admit_ratio_allows() {
    let now = Instant::now();
    let mut sent = 0;
    for number in 0..100 {
        let mut limit = RateLimit::default();
        limit.apply(LimitSignal::Rate(4.0), now, now);
        limit.set_admit_ratio(0.3, f64::from(number) / 100.0, now);
        for _ in 0..10 {
            let is_exhausted = limit.is_exhausted(now);
            limit.record_offered(now);
            if !is_exhausted {
                limit.record_sent(now);
                sent += 1;
            }
        }
    }
    assert!((290..=310).contains(&sent), "{sent}");
}

/// Where an equal share is below one request, a few instances send a whole request each and the others
/// none.
#[test]
fn equal_shares_together_stay_within_the_limit_and_allow_a_request() {
    let now = Instant::now();
    for (count, rate) in [(1, 4.0), (12, 4.5), (75, 4.5), (295, 0.0), (12, 40.0)] {
        let members = members(count, 6);
        let sent: usize = (0..count).map(|number| sent_in_window(rate, number, &members, now)).sum();
        assert!(sent as f64 <= (4.0 * rate).max(1.0) && sent >= 1, "{count} {rate}: {sent}");
    }
}

/// Requests that an instance sends in 4 s by its equal share, with a request always waiting.
fn sent_in_window(rate: f64, number: usize, members: &Members, now: Instant) -> usize {
    let mut limit = RateLimit::default();
    limit.apply(LimitSignal::Rate(rate), now, now);
    limit.update_equal_share(7, &format!("e-{number}"), members.names());
    let mut sent = 0;
    for at in (0..4_000).step_by(10).map(|at| now + ms(at)) {
        if !limit.is_exhausted(at) {
            limit.record_offered(at);
            limit.record_sent(at);
            sent += 1;
        }
    }
    sent
}

#[test]
fn a_head_answers_with_the_limit_divided_by_the_total_demand() {
    let (mut totals, now, members) = (LimitTotals::default(), Instant::now(), members(4, 2));
    totals.record_report(&report("e-0", "h-0", 10.0, ANNOUNCED), "h-0", now);
    totals.record_report(&report("e-2", "h-0", 5.0, None), "h-0", now);
    totals.record_report(&LimitReport { is_forwarded: true, ..report("e-1", "h-1", 15.0, None) }, "h-0", now);
    let admit_ratios = totals.target_admit_ratios(&[], &members, "h-0", now);
    assert!((admit_ratios[0].admit_ratio - 0.2).abs() < 0.001, "{admit_ratios:?}");
    // A repeated report replaces the previous one and adds no demand.
    totals.record_report(&report("e-0", "h-0", 10.0, ANNOUNCED), "h-0", now + ms(200));
    totals.record_report(&report("e-0", "h-0", 10.0, ANNOUNCED), "h-0", now + ms(200));
    let admit_ratios = totals.target_admit_ratios(&[], &members, "h-0", now + ms(200));
    assert!((admit_ratios[0].admit_ratio - 0.2).abs() < 0.001, "{admit_ratios:?}");
}

/// A hall is unreachable if no contact with it is recorded.
#[test]
fn an_unreachable_hall_keeps_its_part_of_the_limit() {
    let (mut totals, now, members) = (LimitTotals::default(), Instant::now(), members(6, 3));
    totals.record_report(&report("e-0", "h-0", 12.0, ANNOUNCED), "h-0", now);
    assert!((totals.target_admit_ratios(&[], &members, "h-0", now)[0].admit_ratio - 6.0 / 3.0 / 12.0).abs() < 0.001);
    totals.record_hall_contact("h-1", now);
    assert!(
        (totals.target_admit_ratios(&[], &members, "h-0", now)[0].admit_ratio - 6.0 * 2.0 / 3.0 / 12.0).abs() < 0.001
    );
    let admit_ratios = totals.target_admit_ratios(&[], &members, "h-0", now + ms(1_000));
    assert_eq!(admit_ratios[0].admit_ratio, 1.0, "the reported demand has expired");
}

#[test]
fn a_target_with_limit_zero_gets_the_minimum_rate() {
    let (mut totals, now, members) = (LimitTotals::default(), Instant::now(), members(1, 1));
    let zero_limit = Some(AnnouncedRate { rate: Some(0.0), age_ms: 0 });
    totals.record_report(&report("e-0", "h-0", 10.0, zero_limit), "h-0", now);
    let admit_ratio = f64::from(totals.target_admit_ratios(&[], &members, "h-0", now)[0].admit_ratio);
    assert!((admit_ratio - MIN_RATE / 10.0).abs() < 0.0001, "{admit_ratio}");
}

/// Invalid reports must change no admit ratio. After a report with very many targets, a report to other
/// halls must not exceed the maximum number of targets in one message.
#[test]
fn invalid_reports_change_no_admit_ratio_and_oversized_ones_are_not_forwarded_whole() {
    let (mut totals, now, members) = (LimitTotals::default(), Instant::now(), members(1, 1));
    totals.record_report(&report("e-0", "h-0", 12.0, ANNOUNCED), "h-0", now);
    for demand in [f32::NAN, f32::INFINITY, -5.0] {
        totals.record_report(&report("e-9", "h-0", demand, None), "h-0", now);
    }
    for rate in [f32::NAN, f32::INFINITY, -1.0] {
        assert_eq!(limit_from_message(AnnouncedRate { rate: Some(rate), age_ms: 0 }, now), None);
    }
    assert!((totals.target_admit_ratios(&[], &members, "h-0", now)[0].admit_ratio - 0.5).abs() < 0.001);
    let many = (0..10_000_u64).map(|key| TargetDemand {
        target: StartKey(key.to_be_bytes()),
        announced: ANNOUNCED,
        demand: 1.0,
        is_leaving: false,
    });
    let flood = LimitReport { targets: many.collect(), ..report("e-9", "h-0", 1.0, None) };
    totals.record_report(&flood, "h-0", now);
    assert!(totals.demands_to_forward(now).len() <= MAX_TARGETS_PER_MESSAGE);
}

/// Reports of an instance that names so many leaving targets, as many as fit in each.
fn leaving_reports(targets: u64) -> Vec<LimitReport> {
    let leaving =
        |key: u64| TargetDemand { target: StartKey(key.to_be_bytes()), announced: None, demand: 0.0, is_leaving: true };
    let all: Vec<TargetDemand> = (0..targets).map(leaving).collect();
    let reports = all.chunks(MAX_TARGETS_PER_MESSAGE);
    reports.map(|targets| LimitReport { targets: targets.to_vec(), ..report("e-0", "h-0", 0.0, None) }).collect()
}

#[test]
fn every_target_is_in_one_of_the_next_messages_however_many_there_are() {
    // Targets that were reported as leaving count for 5 s.
    for count in [100_u64, 300, 1_300, 3_000] {
        let (mut totals, now, members) = (LimitTotals::default(), Instant::now(), members(4, 2));
        for report in leaving_reports(count) {
            assert_eq!(totals.record_report(&report, "h-0", now), 0);
        }
        let messages = count.div_ceil(MAX_TARGETS_PER_MESSAGE as u64);
        let (mut answered, mut forwarded) = (BTreeSet::new(), BTreeSet::new());
        for number in 0..messages {
            let at = now + ms(200) * number as u32;
            let answer = totals.target_admit_ratios(&[], &members, "h-0", at);
            let forward = totals.demands_to_forward(now);
            assert!(answer.len().max(forward.len()) <= MAX_TARGETS_PER_MESSAGE);
            answered.extend(answer.iter().map(|target| target.target));
            forwarded.extend(forward.iter().map(|target| target.target));
        }
        assert_eq!((answered.len(), forwarded.len()), (count as usize, count as usize));
    }
}

#[test]
fn targets_beyond_those_that_a_head_can_record_are_counted() {
    let (mut totals, now) = (LimitTotals::default(), Instant::now());
    let left_out: usize = leaving_reports(10_000).iter().map(|report| totals.record_report(report, "h-0", now)).sum();
    assert_eq!(left_out, 10_000 - 4_096);
}

#[test]
fn an_expired_limit_is_not_converted_for_or_from_messages() {
    let now = Instant::now() + ms(60_000);
    assert!(limit_to_message(AnnouncedLimit { rate: Some(1.0), at: now - ms(9_000) }, now).is_some());
    assert!(limit_to_message(AnnouncedLimit { rate: Some(1.0), at: now - ms(11_000) }, now).is_none());
    assert!(limit_from_message(AnnouncedRate { rate: Some(1.0), age_ms: 11_000 }, now).is_none());
}

#[test]
fn a_limit_is_inherited_only_by_the_same_start_at_the_same_address() {
    let now = Instant::now();
    let first = registration(Some(1), "127.0.0.1:1");
    let target = Target::new(&first, "a".into(), now);
    target.apply_signals(ResponseSignals { limit: LimitSignal::Rate(4.0), ..NO_SIGNALS }, 0.0, now, now);
    let moved = target.successor(&registration(Some(1), "127.0.0.1:2"), "a".into(), now);
    assert_eq!(moved.rate_limit(), None);
    let with_more_slots = TargetRegistration { slots: 9, ..first };
    assert_eq!(target.successor(&with_more_slots, "a".into(), now).rate_limit(), Some(4.0));
    assert_eq!(Target::new(&registration(Some(2), "127.0.0.1:1"), "a".into(), now).rate_limit(), None);
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
        slow_start_remaining: Duration::ZERO,
    }
}

/// Guards against two heads that forward each other's reports of a leaving target: each would keep
/// the report alive for the other, and targets that are gone would fill the messages that carry rate
/// limits.
#[test]
fn heads_drop_a_leaving_target_once_no_instance_reports_it() {
    let (mut one, mut other, now) = (LimitTotals::default(), LimitTotals::default(), Instant::now());
    let mut leaving = report("e-0", "h-0", 0.0, None);
    leaving.targets[0].is_leaving = true;
    one.record_report(&leaving, "h-0", now);
    for step in 1..100 {
        let at = now + ms(100 * step);
        let forwarded =
            |from: &str, targets| LimitReport { targets, is_forwarded: true, ..report(from, from, 0.0, None) };
        other.record_report(&forwarded("h-0", one.demands_to_forward(at)), "h-1", at);
        one.record_report(&forwarded("h-1", other.demands_to_forward(at)), "h-0", at);
    }
    assert!(one.demands_to_forward(now + ms(10_000)).is_empty(), "it was reported ten seconds ago");
}
