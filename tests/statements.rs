//! What targets say of themselves: the values, and which start of a target they hold for.

use lockloft::clock::Instant;
use lockloft::decision::capacity::rate_limit::LimitSignal;
use lockloft::decision::failure::pause::{Pause, StatedPause};
use lockloft::decision::registry::statements::{Stated, StatedChange, StatedLeaving};
use lockloft::decision::registry::targets::{Registered, Targets};
use lockloft::model::registration::{StartTime, TargetRegistration, TargetState};
use std::time::Duration;

const NOTHING: Stated =
    Stated { limit: LimitSignal::None, leaving: StatedLeaving::None, pause: StatedPause::None, turns_away: false };
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
    assert_eq!(target.take_statements(LEAVES, 0.0, now, now), StatedChange { leaves: true, ..StatedChange::default() });
    assert_eq!(target.take_statements(LEAVES, 0.0, now, now), StatedChange::default(), "it is known");
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
    target.take_statements(NOTHING, 0.0, now, now);
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
    earlier.take_statements(LEAVES, 0.0, now, now);
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
    earlier.take_statements(LEAVES, 0.0, now, now);
    assert!(!targets.get("t").unwrap().is_leaving());
}

fn pause(values: &[&str]) -> StatedPause {
    StatedPause::parse(values.iter().map(|value| value.as_bytes()))
}

fn seconds(seconds: f64) -> StatedPause {
    StatedPause::For(Duration::from_secs_f64(seconds))
}

#[test]
fn a_pause_is_one_decimal_number_of_seconds() {
    assert_eq!(pause(&[]), StatedPause::None);
    for (text, value) in [("3", 3.0), ("0.5", 0.5), (" 2 ", 2.0), ("0", 0.0)] {
        assert_eq!(pause(&[text]), seconds(value), "{text}");
    }
    let day = Duration::from_secs(86_400);
    assert_eq!(pause(&["99999999999999999999999999"]), StatedPause::For(day), "as long as any");
    let date = "Thu, 03 Dec 2026 06:00:00 GMT";
    for text in ["", "-1", "nan", "inf", "3s", "1e2", date, &"9".repeat(40)] {
        assert_eq!(pause(&[text]), StatedPause::Unreadable, "{text}");
    }
    assert_eq!(pause(&["3", "3"]), StatedPause::Unreadable, "named twice");
}

#[test]
fn the_latest_end_of_several_pauses_holds() {
    let (mut known, now) = (Pause::default(), Instant::now());
    assert!(known.state(seconds(3.0), 0.0, now));
    assert!(!known.state(seconds(1.0), 0.0, now + Duration::from_secs(1)), "a shorter one that comes later");
    assert_eq!(known.left(now + Duration::from_secs(1)), Some(Duration::from_secs(2)));
    assert!(!known.state(seconds(3.0), 0.0, now + Duration::from_secs(2)), "it goes on");
    assert_eq!(known.left(now + Duration::from_secs(2)), Some(Duration::from_secs(3)));
    assert!(!known.state(seconds(0.0), 0.0, now + Duration::from_secs(4)));
    assert_eq!(known.left(now + Duration::from_secs(5)), None);
}

#[test]
fn after_a_pause_one_request_at_a_time_is_sent_until_one_is_answered() {
    let (mut known, now) = (Pause::default(), Instant::now());
    known.state(seconds(1.0), 0.0, now);
    known.record_answer(now + Duration::from_millis(500));
    let after = now + Duration::from_secs(1);
    assert!(known.excludes(0, after - Duration::from_millis(1)));
    assert!(!known.excludes(0, after));
    assert!(known.excludes(1, after), "an answer during the pause was under way");
    assert!(!known.excludes(1, after + Duration::from_secs(2)), "it may be an exchange of minutes");
    known.record_answer(after + Duration::from_millis(200));
    assert!(!known.excludes(5, after + Duration::from_millis(200)));
}

#[test]
fn pauses_that_begin_together_end_at_different_times_and_never_too_early() {
    let now = Instant::now();
    let ends = [0.0, 0.5, 0.999].map(|draw| {
        let mut known = Pause::default();
        known.state(seconds(3.0), draw, now);
        known.left(now).expect("it has begun")
    });
    assert!(ends[0] >= Duration::from_secs(3) && ends.is_sorted() && ends[2] > ends[0], "{ends:?}");
    assert!(ends[2] <= Duration::from_secs(4), "{ends:?}");
}

#[test]
fn only_an_answer_that_turns_a_request_away_begins_a_pause_of_its_start() {
    let (mut targets, now) = (Targets::default(), Instant::now());
    targets.register(&written(Some(1), 1), "a".into(), now);
    let target = targets.get("t").unwrap().clone();
    let asks = Stated { pause: seconds(3.0), turns_away: true, ..NOTHING };
    let change = target.take_statements(asks, 0.0, now, now);
    assert_eq!(change.pause, Some(Duration::from_secs(3)));
    assert!(target.is_paused(now));
    targets.register(&written(Some(2), 1), "a".into(), now);
    assert!(!targets.get("t").unwrap().is_paused(now), "another start");
}
