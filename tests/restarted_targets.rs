//! A target that restarts under the same id: which of its registrations are accepted, and which
//! observed state of the earlier start is kept.

use lockloft::clock::Instant;
use lockloft::decision::capacity::load_report::LoadReport;
use lockloft::decision::registry::targets::{RegistrationOutcome, Targets};
use lockloft::model::registration::{StartTime, TargetRegistration, TargetState};
use proptest::prelude::*;
use std::time::Duration;

fn registration(start: Option<u64>, sequence: u64) -> TargetRegistration {
    TargetRegistration {
        id: "t".into(),
        start: start.map(StartTime),
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

/// Applies registrations of one target in this order; returns the targets and the outcome of each
/// registration.
fn register_all(registrations: &[TargetRegistration]) -> (Targets, Vec<RegistrationOutcome>) {
    let mut targets = Targets::default();
    let now = Instant::now();
    let outcomes = registrations.iter().map(|one| targets.register(one, "a".into(), now)).collect();
    (targets, outcomes)
}

#[test]
fn a_later_start_replaces_an_earlier_one_despite_a_lower_sequence() {
    let (targets, outcomes) = register_all(&[registration(Some(1_000), 40), registration(Some(2_000), 1)]);
    assert_eq!(outcomes, [RegistrationOutcome::Accepted, RegistrationOutcome::Accepted]);
    let target = targets.get("t").unwrap();
    assert_eq!((target.start, target.sequence()), (Some(StartTime(2_000)), 1));
    assert_eq!(targets.of_service("shop").len(), 1);
}

#[test]
fn a_late_write_of_an_earlier_start_changes_nothing() {
    let drain = TargetRegistration { state: TargetState::Draining, ..registration(Some(1_000), 41) };
    let (targets, outcomes) = register_all(&[registration(Some(1_000), 40), registration(Some(2_000), 1), drain]);
    assert_eq!(outcomes[2], RegistrationOutcome::Stale);
    assert!(targets.get("t").unwrap().is_ready());
}

#[test]
fn no_observed_state_of_an_earlier_start_applies_to_the_next() {
    let now = Instant::now();
    let in_slow_start =
        TargetRegistration { slow_start_remaining: Duration::from_secs(9), ..registration(Some(1_000), 40) };
    let (mut targets, _) = register_all(&[in_slow_start]);
    let previous = targets.get("t").unwrap().clone();
    let in_flight = previous.begin_request(now);
    previous.record_load_report(LoadReport::parse("4,9,4").unwrap(), now);
    previous.record_latency(Duration::from_secs(5), now);
    previous.mark_replaced();
    previous.begin_grace(now);
    assert_eq!(targets.register(&registration(Some(2_000), 1), "a".into(), now), RegistrationOutcome::Accepted);
    let next = targets.get("t").unwrap();
    assert_eq!((next.load(now), next.average_latency()), (0.0, None));
    assert!(!next.is_ejected(now) && !next.is_in_slow_start(now) && !next.has_expired(now));
    drop(in_flight);
    assert_eq!((previous.in_flight(), next.in_flight()), (0, 0));
    assert_eq!(previous.key, next.key, "a request that was sent to the previous start is not sent to the next one");
}

#[test]
fn a_removed_target_that_restarts_is_added_by_its_first_registration() {
    let now = Instant::now();
    let (mut targets, _) = register_all(&[registration(Some(1_000), 40)]);
    let previous = targets.get("t").unwrap().clone();
    targets.remove(&previous, now);
    assert_eq!(targets.register(&registration(Some(1_000), 40), "a".into(), now), RegistrationOutcome::Stale);
    assert_eq!(targets.register(&registration(Some(2_000), 1), "a".into(), now), RegistrationOutcome::Accepted);
    let next = targets.get("t").unwrap().clone();
    targets.remove(&next, now);
    assert_eq!(targets.register(&registration(Some(1_000), 99), "a".into(), now), RegistrationOutcome::Stale);
}

#[test]
fn a_registration_without_a_start_is_invalid_once_an_earlier_one_had_one() {
    let (_, outcomes) = register_all(&[registration(None, 7), registration(Some(1_000), 1), registration(None, 8)]);
    assert_eq!(
        outcomes,
        [RegistrationOutcome::Accepted, RegistrationOutcome::Accepted, RegistrationOutcome::MissingStart]
    );
}

#[test]
fn the_next_valid_registration_restores_an_invalid_target_with_its_observed_state() {
    let now = Instant::now();
    let (mut targets, _) = register_all(&[registration(Some(1_000), 4)]);
    let target = targets.get("t").unwrap().clone();
    target.record_latency(Duration::from_secs(1), now);
    assert!(target.invalidate() && !target.invalidate() && !target.is_ready());
    assert_eq!(targets.register(&registration(Some(1_000), 3), "a".into(), now), RegistrationOutcome::Stale);
    assert!(!target.is_ready(), "a late write does not make it valid");
    assert_eq!(targets.register(&registration(Some(1_000), 5), "a".into(), now), RegistrationOutcome::Accepted);
    assert!(target.is_ready());
    assert_eq!(target.average_latency(), Some(1.0));
}

proptest! {
    /// In any order of arrival, the latest start and its highest sequence are in effect.
    #[test]
    fn the_registration_in_effect_does_not_depend_on_the_order_of_arrival(
        writes in prop::collection::vec((1u64..4, 0u64..5), 1..12),
    ) {
        let registrations: Vec<_> = writes.iter().map(|(start, sequence)| registration(Some(*start), *sequence)).collect();
        let (targets, _) = register_all(&registrations);
        let latest = registrations.iter().map(TargetRegistration::order).max();
        prop_assert_eq!(targets.get("t").map(|target| target.order()), latest);
        prop_assert_eq!(targets.of_service("shop").len(), 1);
    }
}
