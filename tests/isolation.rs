//! The rule of isolation, replayed: which failures and answers isolate an instance.

use lockloft::clock::Instant;
use lockloft::decision::failure::isolation::{
    Failure, FailureKind, Isolation, PROBE_INTERVAL, Reach, SILENCE, TargetSpread, overdue_after,
};
use lockloft::decision::registry::target_key::TargetKey;
use std::time::Duration;

const SPREAD: TargetSpread = TargetSpread { targets: 12, halls: 3 };
const STEP: Duration = Duration::from_millis(50);

/// What happens to an instance.
#[derive(Clone, Copy)]
enum Event {
    /// A target answers.
    Answer,
    /// A target answers over a new connection.
    Connected,
    /// A request fails at a target: its number, which also decides its hall, and how.
    Fails(usize, FailureKind),
    /// A probe fails there.
    ProbeFails(usize, FailureKind),
}

use Event::{Answer, Connected, Fails, ProbeFails};
use FailureKind::{NoAnswer, NoConnection};

struct Replay {
    isolation: Isolation,
    now: Instant,
}

impl Replay {
    fn new() -> Self {
        let now = Instant::now();
        Self { isolation: Isolation::new(now), now }
    }

    /// Lets time pass, then has the events happen; what follows.
    fn after(&mut self, time: Duration, events: &[Event]) -> Reach {
        self.now += time;
        for event in events {
            match *event {
                Answer => self.isolation.record_answer(self.now),
                Connected => self.isolation.record_connected(self.now),
                Fails(target, kind) => self.fail(target, kind, false),
                ProbeFails(target, kind) => self.fail(target, kind, true),
            }
        }
        self.isolation.judge(SPREAD, self.now)
    }

    fn fail(&mut self, target: usize, kind: FailureKind, is_probe: bool) {
        let hall = format!("h-{}", target % SPREAD.halls).into();
        let target = TargetKey::new(&format!("t-{target}"));
        self.isolation.record_failure(&Failure { target, hall, kind, is_probe });
    }
}

#[test]
fn an_instance_is_isolated_once_targets_of_two_halls_and_probes_have_failed_and_none_answers() {
    let mut replay = Replay::new();
    assert_eq!(replay.after(STEP, &[Answer, Connected]), Reach::Targets);
    assert_eq!(replay.after(STEP, &[Fails(0, NoAnswer), Fails(1, NoAnswer), Fails(2, NoAnswer)]), Reach::Targets);
    assert_eq!(replay.after(SILENCE, &[]), Reach::Targets, "no probe has failed");
    assert_eq!(replay.after(STEP, &[ProbeFails(3, NoAnswer)]), Reach::Targets, "one may be lost");
    assert_eq!(replay.after(STEP, &[ProbeFails(4, NoAnswer)]), Reach::Nothing);
    assert_eq!(replay.after(STEP, &[Answer]), Reach::Targets, "the first answer ends it");
    assert_eq!(replay.isolation.next_probe(), None);
}

#[test]
fn a_request_that_fails_at_one_target_or_one_hall_isolates_nobody() {
    let mut replay = Replay::new();
    replay.after(STEP, &[Answer, Connected]);
    let same_target = [ProbeFails(0, NoConnection), ProbeFails(0, NoConnection), ProbeFails(0, NoConnection)];
    assert_eq!(replay.after(2 * SILENCE, &same_target), Reach::Targets);
    let same_hall = [3, 6, 9].map(|target| ProbeFails(target, NoConnection));
    assert_eq!(replay.after(STEP, &same_hall), Reach::Targets);
    assert_eq!(replay.after(STEP, &[Fails(1, NoConnection)]), Reach::Nothing, "another hall as well");
}

#[test]
fn failures_between_answers_isolate_nobody() {
    let mut replay = Replay::new();
    for target in 0..100 {
        let events = [ProbeFails(target, NoConnection), ProbeFails(target + 1, NoAnswer), Answer, Connected];
        assert_eq!(replay.after(SILENCE, &events), Reach::Targets);
    }
}

#[test]
fn what_fails_before_an_answer_does_not_count_after_it() {
    let mut replay = Replay::new();
    replay.after(2 * SILENCE, &[ProbeFails(0, NoAnswer), ProbeFails(1, NoAnswer), Answer, ProbeFails(2, NoAnswer)]);
    assert_eq!(replay.after(SILENCE, &[ProbeFails(3, NoAnswer)]), Reach::Targets, "two targets since the answer");
    assert_eq!(replay.after(STEP, &[Fails(4, NoAnswer)]), Reach::Nothing);
}

#[test]
fn open_connections_that_live_on_are_told_from_new_ones_that_fail() {
    let mut replay = Replay::new();
    replay.after(STEP, &[Answer, Connected]);
    for target in 0..4 {
        replay.after(SILENCE, &[Answer, ProbeFails(target, NoConnection)]);
    }
    assert_eq!(replay.isolation.reach(), Reach::OpenConnections);
    assert!(!replay.isolation.has_contact(replay.now), "requests of others would not get through");
    assert_eq!(replay.after(STEP, &[Connected]), Reach::Targets);
    assert!(replay.isolation.has_contact(replay.now));
}

#[test]
fn new_connections_that_fail_in_a_single_hall_are_looked_into_if_there_is_no_other() {
    let failure = Failure { target: TargetKey::new("t"), hall: "h".into(), kind: NoConnection, is_probe: false };
    for (halls, is_due) in [(1, true), (2, false)] {
        let mut isolation = Isolation::new(Instant::now());
        let now = Instant::now() + 2 * SILENCE;
        isolation.record_failure(&failure);
        isolation.record_answer(now);
        isolation.judge(TargetSpread { targets: 4, halls }, now);
        assert_eq!(isolation.next_probe().is_some(), is_due, "{halls}");
    }
}

#[test]
fn probes_are_due_only_after_a_silence_with_a_failure() {
    let mut replay = Replay::new();
    replay.after(STEP, &[Answer]);
    let answered = replay.now;
    assert_eq!(replay.isolation.next_probe(), None);
    replay.after(PROBE_INTERVAL, &[Fails(0, NoAnswer)]);
    assert_eq!(replay.isolation.next_probe(), Some(answered + SILENCE));
}

#[test]
fn contact_is_an_answer_of_the_last_second() {
    let mut replay = Replay::new();
    assert!(!replay.isolation.has_contact(replay.now), "nothing is known yet");
    replay.after(STEP, &[Answer]);
    assert!(replay.isolation.has_contact(replay.now));
    replay.after(Duration::from_millis(1_100), &[]);
    assert!(!replay.isolation.has_contact(replay.now));
}

#[test]
fn small_deployments_are_judged_by_all_targets_that_they_have() {
    let mut isolation = Isolation::new(Instant::now());
    let now = Instant::now() + 2 * SILENCE;
    let failure = Failure { target: TargetKey::new("t"), hall: "h".into(), kind: NoAnswer, is_probe: true };
    isolation.record_failure(&failure);
    isolation.record_failure(&failure);
    let only_one = TargetSpread { targets: 1, halls: 1 };
    assert_eq!(isolation.clone().judge(only_one, now), Reach::Nothing);
    assert_eq!(isolation.judge(TargetSpread { targets: 2, halls: 1 }, now), Reach::Targets);
}

#[test]
fn an_answer_is_overdue_by_what_is_usual_within_limits() {
    assert_eq!(overdue_after(0.01), Duration::from_millis(300));
    assert_eq!(overdue_after(0.15), Duration::from_millis(450));
    assert_eq!(overdue_after(f64::INFINITY), Duration::from_millis(700));
}
