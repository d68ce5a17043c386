//! What a later registration under the same id changes, and what it leaves.

use lockloft::clock::Instant;
use lockloft::decision::registry::targets::{RegistrationOutcome, Targets};
use lockloft::model::registration::{TargetRegistration, TargetState};
use std::time::Duration;

fn registration(sequence: u64) -> TargetRegistration {
    TargetRegistration {
        id: "t".into(),
        start: None,
        service: "shop".into(),
        address: "127.0.0.1:1".parse().unwrap(),
        hall: "a-1".into(),
        version: "1".into(),
        slots: 4,
        state: TargetState::Ready,
        sequence,
        slow_start: Duration::ZERO,
    }
}

fn registered(targets: &mut Targets, registration: &TargetRegistration, now: Instant) -> bool {
    targets.register(registration, "a".into(), now) == RegistrationOutcome::Accepted
}

/// Targets with one that is ejected.
fn with_ejected(now: Instant) -> Targets {
    let mut targets = Targets::default();
    assert!(registered(&mut targets, &registration(1), now));
    let target = targets.get("t").unwrap();
    while !target.is_ejected(now) {
        target.record_failure(now, now);
    }
    targets
}

#[test]
fn another_version_at_the_same_address_keeps_what_was_seen_of_the_target() {
    let now = Instant::now();
    let mut targets = with_ejected(now);
    let first = targets.get("t").unwrap().clone();
    let in_flight = first.begin_request(now);
    let later = TargetRegistration { version: "2".into(), ..registration(2) };
    assert!(registered(&mut targets, &later, now));
    let second = targets.get("t").unwrap();
    assert_eq!((&*second.version, second.sequence()), ("2", 2));
    assert!(second.is_ejected(now));
    assert!((second.load(now) - 1.0).abs() < 1e-9, "the request at the first record counts");
    drop(in_flight);
    assert_eq!((first.in_flight(), second.in_flight()), (0, 0));
    assert_eq!(targets.of_service("shop").len(), 1);
}

#[test]
fn another_address_begins_anew_but_stays_cold() {
    let now = Instant::now();
    let mut targets = with_ejected(now);
    targets.get("t").unwrap().begin_slow_start(Duration::from_secs(3), now);
    let later = TargetRegistration { address: "127.0.0.1:2".parse().unwrap(), ..registration(2) };
    assert!(registered(&mut targets, &later, now));
    let second = targets.get("t").unwrap();
    assert_eq!(second.pool.address(), later.address);
    assert!(!second.is_ejected(now));
    assert!(second.is_in_slow_start(now + Duration::from_millis(2_900)));
}

#[test]
fn a_lower_sequence_changes_nothing_whatever_it_says() {
    let now = Instant::now();
    let mut targets = Targets::default();
    assert!(registered(&mut targets, &registration(2), now));
    let late = TargetRegistration { service: "lists".into(), slots: 9, ..registration(1) };
    assert!(!registered(&mut targets, &late, now));
    let target = targets.get("t").unwrap();
    assert_eq!((&*target.service, target.slots, target.sequence()), ("shop", 4, 2));
    assert!(targets.of_service("lists").is_empty());
}

#[test]
fn the_same_sequence_changes_state_and_slow_start_alone() {
    let now = Instant::now();
    let mut targets = Targets::default();
    assert!(registered(&mut targets, &registration(2), now));
    let address = "127.0.0.1:2".parse().unwrap();
    let slow_start = Duration::from_secs(1);
    let same = TargetRegistration { service: "lists".into(), address, slow_start, ..registration(2) };
    assert!(registered(&mut targets, &same, now));
    let target = targets.get("t").unwrap();
    assert_eq!((&*target.service, target.pool.address()), ("shop", registration(2).address));
    assert!(target.is_in_slow_start(now));
}

#[test]
fn a_target_that_changed_its_service_is_removed_from_the_last_one() {
    let now = Instant::now();
    let mut targets = Targets::default();
    registered(&mut targets, &registration(1), now);
    registered(&mut targets, &TargetRegistration { service: "lists".into(), ..registration(2) }, now);
    assert!(targets.of_service("shop").is_empty());
    let target = targets.get("t").unwrap().clone();
    targets.remove(&target, now);
    assert!(targets.of_service("lists").is_empty() && targets.get("t").is_none());
    assert!(!registered(&mut targets, &registration(2), now), "a late write of a removed target");
}
