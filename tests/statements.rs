//! What targets say of themselves: the values, and which start of a target they hold for.

use lockloft::clock::Instant;
use lockloft::decision::capacity::rate_limit::StatedLimit;
use lockloft::decision::registry::statements::{Stated, StatedChange, StatedLeaving};
use lockloft::decision::registry::targets::{Registered, Targets};
use lockloft::model::registration::{StartTime, TargetRegistration, TargetState};
use std::time::Duration;

const NOTHING: Stated = Stated { limit: StatedLimit::None, leaving: StatedLeaving::None };
const LEAVES: Stated = Stated { leaving: StatedLeaving::Leaves, ..NOTHING };

fn written(start: Option<u64>, sequence: u64) -> TargetRegistration {
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
        slow_start: Duration::ZERO,
    }
}

fn parse(values: &[&str]) -> StatedLeaving {
    StatedLeaving::parse(values.iter().map(|value| value.as_bytes()))
}

#[test]
fn a_target_leaves_that_says_one() {
    assert_eq!(parse(&[]), StatedLeaving::None);
    assert_eq!(parse(&["1"]), StatedLeaving::Leaves);
    assert_eq!(parse(&[" 1 "]), StatedLeaving::Leaves);
    assert_eq!(parse(&["1", "1"]), StatedLeaving::Leaves);
    assert_eq!(parse(&["0", "1"]), StatedLeaving::Leaves, "one of them is clear");
    for text in ["0", "", "true", "-1", "11", "1.0"] {
        assert_eq!(parse(&[text]), StatedLeaving::Unreadable, "{text}");
    }
}

/// Targets with one of this registration that has said that it leaves.
fn left(registration: &TargetRegistration) -> Targets {
    let (mut targets, now) = (Targets::default(), Instant::now());
    targets.register(registration, "a".into(), now);
    let target = targets.get("t").unwrap().clone();
    assert_eq!(target.take_statements(LEAVES, now, now), StatedChange { limit: None, leaves: true });
    assert_eq!(target.take_statements(LEAVES, now, now), StatedChange::default(), "it is known");
    targets
}

fn leaves_after(mut targets: Targets, registration: &TargetRegistration) -> bool {
    assert_eq!(targets.register(registration, "a".into(), Instant::now()), Registered::Taken);
    targets.get("t").unwrap().is_leaving()
}

#[test]
fn neither_an_answer_without_it_nor_another_registration_takes_it_back() {
    let targets = left(&written(None, 1));
    let (target, now) = (targets.get("t").unwrap().clone(), Instant::now());
    target.take_statements(NOTHING, now, now);
    assert!(target.is_leaving());
    assert!(leaves_after(targets, &written(None, 2)));
    let described_anew = TargetRegistration { slots: 9, ..written(None, 2) };
    assert!(leaves_after(left(&written(None, 1)), &described_anew));
}

#[test]
fn a_registration_that_was_gone_and_comes_back_is_of_the_same_start() {
    for start in [None, Some(5)] {
        let mut targets = left(&written(start, 1));
        let target = targets.get("t").unwrap().clone();
        targets.remove(&target, Instant::now());
        assert!(leaves_after(targets, &written(start, 2)), "{start:?}");
    }
}

#[test]
fn what_an_earlier_record_hears_late_counts_for_the_same_start() {
    let mut targets = Targets::default();
    let now = Instant::now();
    targets.register(&written(None, 1), "a".into(), now);
    let earlier = targets.get("t").unwrap().clone();
    targets.remove(&earlier, now);
    targets.register(&written(None, 2), "a".into(), now);
    earlier.take_statements(LEAVES, now, now);
    assert!(targets.get("t").unwrap().is_leaving());
}

#[test]
fn another_start_or_address_inherits_nothing_and_hears_nothing_that_comes_late() {
    let later = written(Some(2), 1);
    assert!(!leaves_after(left(&written(Some(1), 1)), &later));
    assert!(!leaves_after(left(&written(None, 1)), &later));
    let moved = TargetRegistration { address: "127.0.0.1:2".parse().unwrap(), ..written(None, 2) };
    assert!(!leaves_after(left(&written(None, 1)), &moved));

    let mut targets = Targets::default();
    let now = Instant::now();
    targets.register(&written(Some(1), 1), "a".into(), now);
    let earlier = targets.get("t").unwrap().clone();
    targets.register(&later, "a".into(), now);
    earlier.take_statements(LEAVES, now, now);
    assert!(!targets.get("t").unwrap().is_leaving());
}
