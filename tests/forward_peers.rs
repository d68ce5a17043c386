//! Which instances a request is forwarded to, and which forwarded requests an instance takes.

use lockloft::clock::Instant;
use lockloft::decision::refusal::forwarded::{ForwardedLimits, ForwardedRate};
use lockloft::decision::registry::forward_peer::ForwardPeer;
use lockloft::decision::registry::members::Members;
use lockloft::decision::selection::forward_peers::{Forwarder, MAX_PEERS, least_busy, preferred_peers};
use lockloft::model::member::{Capacity, Member};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

const STRONG: Capacity = Capacity { core_milli: Some(400), link_kbit: Some(1_000_000) };
const WEAK: Capacity = Capacity { core_milli: Some(100), link_kbit: Some(1_000_000) };
const BYTES: f64 = 1_000.0;

fn members(count: usize, capacity: impl Fn(usize) -> Capacity) -> Members {
    let mut members = Members::default();
    for number in 0..count {
        let address = format!("127.0.0.1:{}", 10_000 + number).parse().unwrap();
        let region = format!("r-{}", number % 3);
        let hall = format!("{region}-h");
        let member =
            Member { callers: address, peer: address, hall, region, isolated: false, capacity: capacity(number) };
        members.insert(format!("e-{number:04}"), member, Instant::now());
    }
    members
}

fn forwarder<'a>(name: &'a str, region: &'a str) -> Forwarder<'a> {
    Forwarder { name, region, request_bytes: BYTES }
}

/// How often each instance is preferred by those for which `is_isolated` holds.
fn spread(members: &Members, is_isolated: impl Fn(&str) -> bool) -> HashMap<String, usize> {
    let mut spread = HashMap::new();
    for (name, member) in members.iter().filter(|(name, _)| is_isolated(name)) {
        let forwarder = forwarder(name, &member.region);
        for peer in preferred_peers(members, forwarder, |_, _| true, |name, _| is_isolated(name)) {
            *spread.entry(peer.name.to_owned()).or_default() += 1;
        }
    }
    spread
}

#[test]
fn half_of_a_fleet_spreads_over_the_other_half_whatever_its_size() {
    for count in [12, 100, 1_000] {
        let members = members(count, |_| STRONG);
        let is_isolated = |name: &str| name.ends_with(['0', '2', '4', '6', '8']);
        let spread = spread(&members, is_isolated);
        assert!(spread.keys().all(|name| !is_isolated(name)));
        assert_eq!(spread.values().sum::<usize>(), count / 2 * MAX_PEERS.min(count / 2), "{count}");
        let most = *spread.values().max().unwrap();
        assert!(most <= 4 * MAX_PEERS, "{most} of {count} forward to one instance");
    }
}

#[test]
fn strong_instances_are_preferred_to_weak_ones_and_near_ones_to_far_ones() {
    let members = members(300, |number| if number % 2 == 0 { STRONG } else { WEAK });
    let (mut strong, mut near, mut all) = (0, 0, 0);
    for (name, member) in members.iter() {
        for peer in preferred_peers(&members, forwarder(name, &member.region), |_, _| true, |_, _| false) {
            strong += usize::from(peer.member.capacity == STRONG);
            near += usize::from(peer.member.region == member.region);
            all += 1;
        }
    }
    assert!(strong * 10 > all * 7, "{strong} of {all} are strong");
    assert!(near * 2 > all, "{near} of {all} are near");
}

#[test]
fn instances_known_to_be_isolated_are_asked_only_if_all_are() {
    let members = members(6, |_| STRONG);
    let own = forwarder("e-0000", "r-0");
    let only_one = preferred_peers(&members, own, |_, _| true, |name, _| name != "e-0003");
    assert_eq!(only_one.iter().map(|peer| peer.name).collect::<Vec<_>>(), ["e-0003"]);
    assert_eq!(preferred_peers(&members, own, |_, _| true, |_, _| true).len(), MAX_PEERS);
    assert!(preferred_peers(&members, own, |_, _| false, |_, _| false).is_empty());
}

#[test]
fn a_request_goes_where_the_fewest_are_in_flight_for_the_capacity() {
    let members = members(3, |number| if number == 1 { STRONG } else { WEAK });
    let peers = preferred_peers(&members, forwarder("other", "r-9"), |_, _| true, |_, _| false);
    let in_flight =
        |strong: u32, weak: u32| move |member: &Member| if member.capacity == STRONG { strong } else { weak };
    assert_eq!(least_busy(&peers, in_flight(0, 0)).unwrap().name, "e-0001");
    assert_eq!(least_busy(&peers, in_flight(2, 0)).unwrap().name, "e-0001");
    assert_ne!(least_busy(&peers, in_flight(4, 0)).unwrap().name, "e-0001");
}

#[test]
fn an_instance_that_failed_is_skipped_longer_each_time_until_it_answers() {
    let peer = Rc::new(ForwardPeer::new("e-1", "h", "127.0.0.1:9".parse().unwrap()));
    let mut now = Instant::now();
    assert!(peer.is_usable(now));
    for skipped in [500, 1_000, 2_000, 4_000, 4_000].map(Duration::from_millis) {
        peer.record_failure(now);
        peer.record_failure(now);
        now += skipped - Duration::from_millis(1);
        assert!(!peer.is_usable(now));
        now += Duration::from_millis(1);
        assert!(peer.is_usable(now), "{skipped:?}");
    }
    peer.record_failure(now);
    peer.record_success();
    assert!(peer.is_usable(now));
    let requests: Vec<_> = (0..64).map(|_| peer.begin_request()).collect();
    assert!(!peer.is_usable(now), "its connections are bounded");
    drop(requests);
    assert!(peer.is_usable(now));
}

#[test]
fn forwarded_requests_take_half_of_what_the_machine_can_serve() {
    let limits = ForwardedLimits::new(4_096, STRONG, BYTES);
    assert_eq!(limits, ForwardedLimits { in_flight: 128, rate: 400.0 });
    let mut rate = ForwardedRate::default();
    let now = Instant::now();
    assert!(!rate.admit(limits, 128, now), "so many at a time");
    let admitted: usize =
        (0..4_000u64).map(|ms| (0..3).filter(|_| rate.admit(limits, 0, now + Duration::from_millis(ms))).count()).sum();
    assert!((1_600..=1_702).contains(&admitted), "{admitted} of 12000 in 4 s");
    assert_eq!(ForwardedLimits::new(0, Capacity::default(), BYTES).rate, f64::INFINITY);
}
