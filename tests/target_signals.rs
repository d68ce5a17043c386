//! Signals that targets send about themselves in response headers: how their values are parsed, and
//! which start of a target they apply to.

use lockloft::clock::Instant;
use lockloft::decision::capacity::rate_limit::LimitSignal;
use lockloft::decision::failure::pause::{Pause, PauseSignal};
use lockloft::decision::registry::signals::{LeavingSignal, ResponseSignals, SignalChange};
use lockloft::decision::registry::targets::{RegistrationOutcome, Targets};
use lockloft::model::registration::{StartTime, TargetRegistration, TargetState};
use std::time::Duration;

const NO_SIGNALS: ResponseSignals = ResponseSignals {
    limit: LimitSignal::None,
    leaving: LeavingSignal::None,
    pause: PauseSignal::None,
    is_rejection: false,
};
const LEAVING: ResponseSignals = ResponseSignals { leaving: LeavingSignal::Leaving, ..NO_SIGNALS };

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

fn parse_leaving(values: &[&str]) -> LeavingSignal {
    LeavingSignal::parse(values.iter().map(|value| value.as_bytes()))
}

#[test]
fn a_leaving_header_of_one_means_leaving() {
    assert_eq!(parse_leaving(&[]), LeavingSignal::None);
    assert_eq!(parse_leaving(&["1"]), LeavingSignal::Leaving);
    assert_eq!(parse_leaving(&[" 1 "]), LeavingSignal::Leaving);
    assert_eq!(parse_leaving(&["1", "1"]), LeavingSignal::Leaving);
    assert_eq!(parse_leaving(&["0", "1"]), LeavingSignal::Leaving, "one valid value is enough");
    for text in ["0", "", "true", "-1", "11", "1.0"] {
        assert_eq!(parse_leaving(&[text]), LeavingSignal::Unreadable, "{text}");
    }
}

/// Targets of which one, with this registration, is leaving.
fn with_leaving_target(registration: &TargetRegistration) -> Targets {
    let (mut targets, now) = (Targets::default(), Instant::now());
    targets.register(registration, "a".into(), now);
    let target = targets.get("t").unwrap().clone();
    assert_eq!(
        target.apply_signals(LEAVING, 0.0, now, now),
        SignalChange { began_leaving: true, ..SignalChange::default() }
    );
    assert_eq!(target.apply_signals(LEAVING, 0.0, now, now), SignalChange::default(), "already known");
    targets
}

/// Whether the target is leaving after a further registration.
fn is_leaving_after(mut targets: Targets, registration: &TargetRegistration) -> bool {
    assert_eq!(targets.register(registration, "a".into(), Instant::now()), RegistrationOutcome::Accepted);
    targets.get("t").unwrap().is_leaving()
}

#[test]
fn neither_a_response_without_the_header_nor_a_registration_ends_leaving() {
    let targets = with_leaving_target(&registration(None, 1));
    let (target, now) = (targets.get("t").unwrap().clone(), Instant::now());
    target.apply_signals(NO_SIGNALS, 0.0, now, now);
    assert!(target.is_leaving());
    assert!(is_leaving_after(targets, &registration(None, 2)));
    let changed = TargetRegistration { slots: 9, ..registration(None, 2) };
    assert!(is_leaving_after(with_leaving_target(&registration(None, 1)), &changed));
}

#[test]
fn a_target_that_registers_the_same_start_again_after_its_removal_is_still_leaving() {
    for start in [None, Some(5)] {
        let mut targets = with_leaving_target(&registration(start, 1));
        let target = targets.get("t").unwrap().clone();
        targets.remove(&target, Instant::now());
        assert!(is_leaving_after(targets, &registration(start, 2)), "{start:?}");
    }
}

#[test]
fn a_late_response_to_an_earlier_record_applies_to_the_same_start() {
    let mut targets = Targets::default();
    let now = Instant::now();
    targets.register(&registration(None, 1), "a".into(), now);
    let earlier = targets.get("t").unwrap().clone();
    targets.remove(&earlier, now);
    targets.register(&registration(None, 2), "a".into(), now);
    earlier.apply_signals(LEAVING, 0.0, now, now);
    assert!(targets.get("t").unwrap().is_leaving());
}

#[test]
fn another_start_or_address_inherits_no_signals_and_no_late_responses() {
    let later = registration(Some(2), 1);
    assert!(!is_leaving_after(with_leaving_target(&registration(Some(1), 1)), &later));
    assert!(!is_leaving_after(with_leaving_target(&registration(None, 1)), &later));
    let moved = TargetRegistration { address: "127.0.0.1:2".parse().unwrap(), ..registration(None, 2) };
    assert!(!is_leaving_after(with_leaving_target(&registration(None, 1)), &moved));

    let mut targets = Targets::default();
    let now = Instant::now();
    targets.register(&registration(Some(1), 1), "a".into(), now);
    let earlier = targets.get("t").unwrap().clone();
    targets.register(&later, "a".into(), now);
    earlier.apply_signals(LEAVING, 0.0, now, now);
    assert!(!targets.get("t").unwrap().is_leaving());
}

fn parse_pause(values: &[&str]) -> PauseSignal {
    PauseSignal::parse(values.iter().map(|value| value.as_bytes()))
}

fn pause_of(seconds: f64) -> PauseSignal {
    PauseSignal::For(Duration::from_secs_f64(seconds))
}

#[test]
fn a_pause_is_one_decimal_number_of_seconds() {
    assert_eq!(parse_pause(&[]), PauseSignal::None);
    for (text, value) in [("3", 3.0), ("0.5", 0.5), (" 2 ", 2.0), ("0", 0.0)] {
        assert_eq!(parse_pause(&[text]), pause_of(value), "{text}");
    }
    let day = Duration::from_secs(86_400);
    assert_eq!(parse_pause(&["99999999999999999999999999"]), PauseSignal::For(day), "limited to a day");
    let date = "Thu, 03 Dec 2026 06:00:00 GMT";
    for text in ["", "-1", "nan", "inf", "3s", "1e2", date, &"9".repeat(40)] {
        assert_eq!(parse_pause(&[text]), PauseSignal::Unreadable, "{text}");
    }
    assert_eq!(parse_pause(&["3", "3"]), PauseSignal::Unreadable, "two values");
}

#[test]
fn the_latest_end_of_several_pauses_applies() {
    let (mut pause, now) = (Pause::default(), Instant::now());
    assert!(pause.apply(pause_of(3.0), 0.0, now));
    assert!(!pause.apply(pause_of(1.0), 0.0, now + Duration::from_secs(1)), "a later signal with an earlier end");
    assert_eq!(pause.remaining(now + Duration::from_secs(1)), Some(Duration::from_secs(2)));
    assert!(!pause.apply(pause_of(3.0), 0.0, now + Duration::from_secs(2)), "the same pause is extended");
    assert_eq!(pause.remaining(now + Duration::from_secs(2)), Some(Duration::from_secs(3)));
    assert!(!pause.apply(pause_of(0.0), 0.0, now + Duration::from_secs(4)));
    assert_eq!(pause.remaining(now + Duration::from_secs(5)), None);
}

#[test]
fn after_a_pause_one_request_at_a_time_is_sent_until_a_response() {
    let (mut pause, now) = (Pause::default(), Instant::now());
    pause.apply(pause_of(1.0), 0.0, now);
    pause.record_response(now + Duration::from_millis(500));
    let after = now + Duration::from_secs(1);
    assert!(pause.excludes(0, after - Duration::from_millis(1)));
    assert!(!pause.excludes(0, after));
    assert!(pause.excludes(1, after), "a response during the pause belongs to an earlier request");
    assert!(!pause.excludes(1, after + Duration::from_secs(2)), "the request may take minutes");
    pause.record_response(after + Duration::from_millis(200));
    assert!(!pause.excludes(5, after + Duration::from_millis(200)));
}

#[test]
fn pauses_that_begin_together_end_at_different_times_and_never_early() {
    let now = Instant::now();
    let ends = [0.0, 0.5, 0.999].map(|draw| {
        let mut pause = Pause::default();
        pause.apply(pause_of(3.0), draw, now);
        pause.remaining(now).expect("the pause has begun")
    });
    assert!(ends[0] >= Duration::from_secs(3) && ends.is_sorted() && ends[2] > ends[0], "{ends:?}");
    assert!(ends[2] <= Duration::from_secs(4), "{ends:?}");
}

#[test]
fn a_rejection_begins_a_pause_of_its_start_only() {
    let (mut targets, now) = (Targets::default(), Instant::now());
    targets.register(&registration(Some(1), 1), "a".into(), now);
    let target = targets.get("t").unwrap().clone();
    let rejection = ResponseSignals { pause: pause_of(3.0), is_rejection: true, ..NO_SIGNALS };
    let change = target.apply_signals(rejection, 0.0, now, now);
    assert_eq!(change.pause, Some(Duration::from_secs(3)));
    assert!(target.is_paused(now));
    targets.register(&registration(Some(2), 1), "a".into(), now);
    assert!(!targets.get("t").unwrap().is_paused(now), "another start");
}
