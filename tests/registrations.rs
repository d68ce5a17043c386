//! Which state of a target a later registration of the same id changes, and which it keeps.

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
        slow_start_remaining: Duration::ZERO,
    }
}

/// Registers a target; returns whether the registration was accepted.
fn register(targets: &mut Targets, registration: &TargetRegistration, now: Instant) -> bool {
    targets.register(registration, "a".into(), now) == RegistrationOutcome::Accepted
}

/// Targets of which one, `t`, is ejected.
fn with_ejected_target(now: Instant) -> Targets {
    let mut targets = Targets::default();
    assert!(register(&mut targets, &registration(1), now));
    let target = targets.get("t").unwrap();
    while !target.is_ejected(now) {
        target.record_failure(now, now);
    }
    targets
}

#[test]
fn a_new_version_at_the_same_address_keeps_the_observed_state() {
    let now = Instant::now();
    let mut targets = with_ejected_target(now);
    let first = targets.get("t").unwrap().clone();
    let in_flight = first.begin_request(now);
    let later = TargetRegistration { version: "2".into(), ..registration(2) };
    assert!(register(&mut targets, &later, now));
    let second = targets.get("t").unwrap();
    assert_eq!((&*second.version, second.sequence()), ("2", 2));
    assert!(second.is_ejected(now));
    assert!((second.load(now) - 1.0).abs() < 1e-9, "the request in flight at the first record counts");
    drop(in_flight);
    assert_eq!((first.in_flight(), second.in_flight()), (0, 0));
    assert_eq!(targets.of_service("shop").len(), 1);
}

#[test]
fn a_new_address_resets_the_observed_state_but_not_the_slow_start() {
    let now = Instant::now();
    let mut targets = with_ejected_target(now);
    targets.get("t").unwrap().begin_slow_start(Duration::from_secs(3), now);
    let later = TargetRegistration { address: "127.0.0.1:2".parse().unwrap(), ..registration(2) };
    assert!(register(&mut targets, &later, now));
    let second = targets.get("t").unwrap();
    assert_eq!(second.pool.address(), later.address);
    assert!(!second.is_ejected(now));
    assert!(second.is_in_slow_start(now + Duration::from_millis(2_900)));
}

#[test]
fn a_lower_sequence_changes_nothing() {
    let now = Instant::now();
    let mut targets = Targets::default();
    assert!(register(&mut targets, &registration(2), now));
    let stale = TargetRegistration { service: "lists".into(), slots: 9, ..registration(1) };
    assert!(!register(&mut targets, &stale, now));
    let target = targets.get("t").unwrap();
    assert_eq!((&*target.service, target.slots, target.sequence()), ("shop", 4, 2));
    assert!(targets.of_service("lists").is_empty());
}

#[test]
fn the_same_sequence_changes_only_state_and_slow_start() {
    let now = Instant::now();
    let mut targets = Targets::default();
    assert!(register(&mut targets, &registration(2), now));
    let address = "127.0.0.1:2".parse().unwrap();
    let slow_start_remaining = Duration::from_secs(1);
    let same = TargetRegistration { service: "lists".into(), address, slow_start_remaining, ..registration(2) };
    assert!(register(&mut targets, &same, now));
    let target = targets.get("t").unwrap();
    assert_eq!((&*target.service, target.pool.address()), ("shop", registration(2).address));
    assert!(target.is_in_slow_start(now));
}

#[test]
fn a_target_that_changes_its_service_is_removed_from_the_previous_one() {
    let now = Instant::now();
    let mut targets = Targets::default();
    register(&mut targets, &registration(1), now);
    register(&mut targets, &TargetRegistration { service: "lists".into(), ..registration(2) }, now);
    assert!(targets.of_service("shop").is_empty());
    let target = targets.get("t").unwrap().clone();
    targets.remove(&target, now);
    assert!(targets.of_service("lists").is_empty() && targets.get("t").is_none());
    assert!(!register(&mut targets, &registration(2), now), "a late write after the removal");
}
