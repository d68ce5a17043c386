//! Rules of `src/decision/`, each in isolation: tables of inputs and expected results, and
//! comparisons with simple reference implementations.

use lockloft::clock::Instant;
use lockloft::decision::capacity::admission::{has_room, max_load};
use lockloft::decision::capacity::load::Load;
use lockloft::decision::capacity::load_report::LoadReport;
use lockloft::decision::capacity::slow_start::{SlowStart, request_interval};
use lockloft::decision::failure::ejection::Ejection;
use lockloft::decision::failure::latency::{Latency, median};
use lockloft::decision::refusal::stop::accepts_request;
use lockloft::decision::registry::members::Members;
use lockloft::decision::selection::directory::{OwnInstance, instances_for};
use lockloft::model::member::{Capacity, Member};
use proptest::prelude::*;
use std::net::SocketAddr;
use std::time::Duration;

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

#[test]
fn a_report_beyond_the_range_of_the_count_is_capped_at_its_maximum() {
    let mut load = Load::default();
    let now = Instant::now();
    load.record_report(LoadReport { running: u32::MAX, waiting: 1, slots: 1, slowdown: None }, now);
    assert!((load.estimate(now) - f64::from(u32::MAX)).abs() < 1e-9);
}

#[test]
fn load_is_the_requests_in_flight_plus_the_report_weighted_down_with_age() {
    // Requests in flight; reported running and waiting; age of the report, ms; expected load.
    let table = [
        (0, None, 0, 0.0),
        (3, None, 0, 3.0),
        (0, Some((4, 2)), 0, 6.0),
        (2, Some((4, 2)), 0, 6.0),
        (0, Some((4, 2)), 750, 3.0),
        (2, Some((4, 2)), 750, 4.0),
        (2, Some((4, 2)), 1_500, 2.0),
        (2, Some((4, 2)), 9_000, 2.0),
        (5, Some((1, 0)), 0, 5.0),
    ];
    let start = Instant::now();
    for (in_flight, reported, age, expected) in table {
        let mut load = Load::default();
        (0..in_flight).for_each(|_| load.begin_request());
        if let Some((running, waiting)) = reported {
            load.record_report(LoadReport { running, waiting, slots: 4, slowdown: None }, start);
        }
        let found = load.estimate(start + ms(age));
        assert!(
            (found - expected).abs() < 1e-9,
            "load {found}: {in_flight} in flight, report {reported:?}, {age} ms old"
        );
    }
}

#[test]
fn admission_goes_by_rank_and_slots() {
    for (rank, expected) in [(0, 2.0), (1, 1.65), (2, 1.3), (3, 1.3), (50, 1.3)] {
        assert!((max_load(rank) - expected).abs() < 1e-9, "rank {rank}: {}", max_load(rank));
    }
    // Load; slots; rank; whether another request is admitted.
    let table = [
        (0.0, 1, 0, true),
        (1.0, 1, 0, true),
        (1.1, 1, 0, false),
        (7.0, 4, 0, true),
        (7.5, 4, 0, false),
        (5.5, 4, 1, true),
        (5.7, 4, 1, false),
        (4.1, 4, 2, true),
        (4.3, 4, 9, false),
        (0.3, 1, 2, true),
        (0.4, 1, 2, false),
    ];
    for (load, slots, rank, expected) in table {
        assert_eq!(has_room(load, slots, max_load(rank)), expected, "load {load}, {slots} slots, rank {rank}");
    }
}

#[derive(Clone, Copy, Debug)]
enum Event {
    /// Failure of a request sent at the same time, with the length of the ejection it causes, ms.
    Failure(Option<u64>),
    /// Failure of a request that was sent earlier: when it was sent, ms, and the length of the ejection it
    /// causes, ms.
    LateFailure(u64, Option<u64>),
    Success,
    Send,
    Replaced,
}

#[test]
fn ejection_follows_failures_in_a_row() {
    use Event::{Failure, LateFailure, Replaced, Send, Success};
    // Time, ms; event; whether the target is then ejected with one request in flight, and with none.
    let sequences: [&[(u64, Event, bool, bool)]; 6] = [
        &[
            (0, Failure(None), false, false),
            (1, Failure(None), false, false),
            (2, Success, false, false),
            (3, Failure(None), false, false),
            (4, Failure(None), false, false),
            (5, Failure(Some(500)), true, true),
            (504, Send, true, true),
        ],
        &[
            (0, Failure(None), false, false),
            (0, Failure(None), false, false),
            (0, Failure(Some(500)), true, true),
            (500, Send, true, false),
            (501, Failure(Some(1_000)), true, true),
            (1_600, Failure(Some(2_000)), true, true),
            (3_700, Failure(Some(4_000)), true, true),
            (8_000, Failure(Some(4_000)), true, true),
            (12_000, Send, true, false),
            (12_001, Success, false, false),
            (12_002, Failure(None), false, false),
        ],
        // A failure of a request sent during an ejection extends it and counts as another ejection.
        &[
            (0, Failure(None), false, false),
            (0, Failure(None), false, false),
            (0, Failure(Some(500)), true, true),
            (100, Failure(Some(1_000)), true, true),
            (600, Send, true, true),
        ],
        // A failure of a request sent before an ejection does not count, even if it occurs after its end.
        &[
            (10, Failure(None), false, false),
            (10, Failure(None), false, false),
            (10, LateFailure(0, Some(500)), true, true),
            (20, LateFailure(0, None), true, true),
            (20, LateFailure(10, None), true, true),
            (511, LateFailure(9, None), false, false),
            (512, Send, true, false),
            (513, LateFailure(512, Some(1_000)), true, true),
            (514, LateFailure(511, None), true, true),
        ],
        &[(0, Replaced, true, true), (1, Success, true, true), (90_000, Send, true, true)],
        &[(0, Send, false, false), (1, Success, false, false)],
    ];
    let start = Instant::now();
    for events in sequences {
        let mut ejection = Ejection::default();
        for (at, event, with_one, with_none) in events {
            let now = start + ms(*at);
            match event {
                Failure(length) => {
                    assert_eq!(ejection.record_failure(now, now), length.map(ms), "at {at} of {events:?}")
                }
                LateFailure(sent, length) => {
                    let caused = ejection.record_failure(start + ms(*sent), now);
                    assert_eq!(caused, length.map(ms), "at {at} of {events:?}");
                }
                Success => ejection.record_success(),
                Send => ejection.record_sent(),
                Replaced => ejection.mark_replaced(),
            }
            let found = (ejection.is_ejected(1, now), ejection.is_ejected(0, now));
            assert_eq!(found, (*with_one, *with_none), "at {at} of {events:?}");
        }
    }
}

#[test]
fn a_slow_target_is_judged_by_median_and_objective() {
    // Latency, ms; time without a response to a request in flight, ms; median, s; objective, ms; whether
    // the target is slow.
    let table = [
        (900, None, 0.25, 300, true),
        (700, None, 0.25, 300, false),
        (900, None, 0.25, 1_000, false),
        (900, None, f64::INFINITY, 300, false),
        (100, Some(1_000), 0.2, 300, true),
        (100, Some(800), 0.2, 300, false),
        (100, Some(1_000), 0.2, 1_200, false),
    ];
    let start = Instant::now();
    for (response_time, waited, median, objective, expected) in table {
        let mut latency = Latency::default();
        latency.record(ms(response_time), start);
        latency.record_sent(0, start);
        let (in_flight, now) = waited.map_or((0, start), |waited| (1, start + ms(waited)));
        let found = latency.is_slow(median, ms(objective), in_flight, now);
        assert_eq!(
            found, expected,
            "latency {response_time}, waited {waited:?}, median {median}, objective {objective}"
        );
        assert!(!latency.is_slow(median, ms(objective), 0, now) || waited.is_none(), "slow with no request in flight");
    }
}

#[test]
fn a_slow_target_is_probed_with_one_request_a_second() {
    let start = Instant::now();
    let mut latency = Latency::default();
    assert!(latency.may_probe(0, start));
    latency.record_sent(0, start);
    for (in_flight, at, expected) in [(0, 900, false), (0, 1_000, false), (0, 1_001, true), (1, 5_000, false)] {
        assert_eq!(latency.may_probe(in_flight, start + ms(at)), expected, "{in_flight} in flight at {at} ms");
    }
}

#[test]
fn a_slow_target_is_probed_less_often_the_slower_it_is() {
    let start = Instant::now();
    for (average, waits) in [(100, 1_000), (500, 3_000), (720, 4_320)] {
        let mut latency = Latency::default();
        latency.record(ms(average), start);
        latency.record_sent(0, start);
        for (at, expected) in [(waits - 1, false), (waits + 1, true)] {
            assert_eq!(latency.may_probe(0, start + ms(at)), expected, "average {average} ms, at {at} ms");
        }
    }
}

#[test]
fn the_average_follows_faster_responses_sooner() {
    let now = Instant::now();
    let mut latency = Latency::default();
    assert_eq!(latency.average(), None);
    for (response_time, expected) in [(100, 0.1), (200, 0.12), (20, 0.07), (70, 0.07)] {
        latency.record(ms(response_time), now);
        assert!(
            (latency.average().unwrap() - expected).abs() < 1e-9,
            "{:?} after {response_time} ms",
            latency.average()
        );
    }
}

proptest! {
    #[test]
    fn the_median_is_that_of_a_sorted_list(averages in prop::collection::vec(0.0f64..5.0, 0..20)) {
        let found = median(averages.clone());
        let not_above = |limit: f64| averages.iter().filter(|average| **average <= limit).count();
        let below = |limit: f64| averages.iter().filter(|average| **average < limit).count();
        match found {
            None => prop_assert!(averages.is_empty()),
            Some(found) => {
                prop_assert!(averages.contains(&found));
                prop_assert!(below(found) <= averages.len() / 2 && not_above(found) > averages.len() / 2);
            }
        }
    }

    /// Whatever an instance's share, requests per second, it sends no more than that in any second.
    #[test]
    fn slow_start_spaces_an_instance_s_share(rate in 0u32..40, steps in prop::collection::vec(0u64..200, 1..200)) {
        let start = Instant::now();
        let mut slow_start = SlowStart::default();
        slow_start.begin(Duration::from_secs(600), start);
        let mut now = start + Duration::from_secs(2);
        let mut sent: Vec<Instant> = Vec::new();
        for step in steps {
            now += ms(step);
            if slow_start.may_send(start, rate, |shared| shared, now) {
                slow_start.record_sent(now);
                sent.push(now);
            }
        }
        for first in &sent {
            let within = sent.iter().filter(|at| *at >= first && **at < *first + Duration::from_secs(1)).count();
            prop_assert!(within <= rate as usize, "{} requests within a second at a rate of {}", within, rate);
        }
    }
}

proptest! {
    /// For any members, the directory names the instances that a simple filter finds.
    #[test]
    fn the_directory_names_the_nearest_instances(
        regions in prop::collection::vec(prop::sample::select(vec!["a", "b", "c"]), 0..80),
        caller in prop::sample::select(vec!["", "a", "b", "c"]),
        own_region in prop::sample::select(vec!["a", "b", "c"]),
        is_ready: bool,
        is_listed: bool,
    ) {
        let address = |number: usize| SocketAddr::from(([127, 0, 0, 1], 1_000 + number as u16));
        let mut members = Members::default();
        let mut known: Vec<(&str, SocketAddr)> = Vec::new();
        for (number, region) in regions.iter().enumerate() {
            let (here, region) = (address(number), *region);
            let member = Member { callers: here, peer: address(99), hall: "h".into(), region: region.into(), isolated: false, capacity: Capacity::default() };
            members.insert(format!("e-{number:02}"), member, Instant::now());
            known.push((region, here));
        }
        let own = OwnInstance { name: "own", region: own_region, address: address(900), is_ready, is_isolated: false, capacity: Capacity::default() };
        if is_listed {
            let member = Member { callers: address(901), peer: address(99), hall: "h".into(), region: "a".into(), isolated: false, capacity: Capacity::default() };
            members.insert("own".to_owned(), member, Instant::now());
        }
        if is_ready {
            known.push((own_region, own.address));
        }
        let nearest = [caller, own_region].into_iter().find(|wanted| known.iter().any(|(region, _)| region == wanted));
        let wanted = known.iter().filter(|(region, _)| nearest.is_none_or(|nearest| nearest == *region));
        let expected: Vec<SocketAddr> = wanted.map(|(_, address)| *address).take(64).collect();
        prop_assert_eq!(instances_for(caller, own, &members, |_, _| false, 1e4, || panic!("all instances have the same capacity")), expected);
    }
}

#[test]
fn slow_start_waits_for_stable_members_and_is_never_shortened() {
    let start = Instant::now();
    let mut slow_start = SlowStart::default();
    assert!(!slow_start.is_active(start));
    slow_start.begin(ms(3_000), start);
    slow_start.begin(ms(1_000), start + ms(100));
    slow_start.begin(Duration::ZERO, start + ms(200));
    assert!(slow_start.is_active(start + ms(2_999)) && !slow_start.is_active(start + ms(3_000)));
    assert!(!slow_start.may_send(start, 9, |_| 5, start + ms(1_999)));
    assert!(slow_start.may_send(start, 9, |_| 5, start + ms(2_000)));
    // The share is recomputed only if the members or the shared rate have changed.
    assert!(slow_start.may_send(start, 9, |_| 0, start + ms(2_100)));
    assert!(!slow_start.may_send(start + ms(50), 9, |_| 0, start + ms(2_100)));
    assert!(slow_start.may_send(start + ms(50), 8, |_| 5, start + ms(2_100)));
    assert_eq!(request_interval(10), ms(103));
    assert_eq!(request_interval(0), ms(1_030));
}

#[test]
fn requests_are_accepted_in_the_first_half_of_a_stop_and_while_they_end_in_time() {
    let stop = ms(6_000);
    // Time since the stop began, ms; whether a request with a deadline of 30 s is accepted.
    let table = [(None, true), (Some(0), true), (Some(2_999), true), (Some(3_000), false), (Some(6_000), false)];
    for (since, expected) in table {
        assert_eq!(accepts_request(since.map(ms), stop, ms(30_000), f64::INFINITY), expected, "{since:?}");
        assert_eq!(accepts_request(since.map(ms), stop, ms(30_000), 0.5), expected, "{since:?}");
    }
    // One with a deadline of 800 ms is accepted until 300 ms before the instance is killed.
    for (since, expected) in [(3_000, true), (4_900, true), (4_901, false), (6_000, false), (7_000, false)] {
        assert_eq!(accepts_request(Some(ms(since)), stop, ms(800), 0.5), expected, "{since}");
    }
    // One that takes 2 s is expected to take 4 s at most, whatever its deadline.
    for (since, expected) in [(None, true), (Some(0), true), (Some(1_700), true), (Some(1_701), false)] {
        assert_eq!(accepts_request(since.map(ms), stop, ms(30_000), 2.0), expected, "{since:?}");
    }
}
