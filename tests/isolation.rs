//! The rule of isolation, replayed: which failures and answers isolate an instance.

use lockloft::clock::Instant;
use lockloft::decision::failure::isolation::{
    Failure, FailureKind, Isolation, KnownLoad, PROBE_INTERVAL, PROBE_TIMEOUT, Reach, SILENCE, TargetSpread,
    overdue_after,
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
    Fails(usize, Fault),
    /// A probe fails there.
    ProbeFails(usize, Fault),
}

/// How it fails, and whether over a new connection.
type Fault = (FailureKind, bool);

use Event::{Answer, Connected, Fails, ProbeFails};
use FailureKind::{Refused, Unanswered, Unconnected, Waiting};

const NO_CONNECTION: Fault = (Unconnected, true);
const NO_ANSWER: Fault = (Unanswered, false);
/// A new connection that is refused or closed.
const REFUSED: Fault = (Refused, true);
const WAITS: Fault = (Waiting, true);

struct Replay {
    isolation: Isolation,
    now: Instant,
    /// Since when a request has waited on an open connection.
    waiting_since: Option<Instant>,
}

impl Replay {
    fn new() -> Self {
        let now = Instant::now();
        Self { isolation: Isolation::new(now), now, waiting_since: None }
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
        self.isolation.judge(SPREAD, self.waiting_since, self.now)
    }

    fn fail(&mut self, target: usize, (kind, is_new): Fault, is_probe: bool) {
        let hall = format!("h-{}", target % SPREAD.halls).into();
        let target = TargetKey::new(&format!("t-{target}"));
        self.isolation.record_failure(&Failure { target, hall, kind, is_new, is_probe }, self.now);
    }
}

#[test]
fn an_instance_is_isolated_once_targets_of_two_halls_and_probes_have_failed_and_none_answers() {
    let mut replay = Replay::new();
    assert_eq!(replay.after(STEP, &[Answer, Connected]), Reach::Targets);
    assert_eq!(replay.after(STEP, &[Fails(0, NO_ANSWER), Fails(1, NO_ANSWER), Fails(2, NO_ANSWER)]), Reach::Targets);
    assert_eq!(replay.after(SILENCE, &[]), Reach::Targets, "no probe has failed");
    assert_eq!(replay.after(STEP, &[ProbeFails(3, NO_ANSWER)]), Reach::Targets, "one may be lost");
    assert_eq!(replay.after(STEP, &[ProbeFails(4, NO_ANSWER)]), Reach::Nothing);
    assert_eq!(replay.after(STEP, &[Answer]), Reach::Targets, "the first answer ends it");
    assert_eq!(replay.isolation.next_probe(), None);
}

#[test]
fn a_request_that_fails_at_one_target_or_one_hall_isolates_nobody() {
    let mut replay = Replay::new();
    replay.after(STEP, &[Answer, Connected]);
    let same_target = [ProbeFails(0, NO_CONNECTION), ProbeFails(0, NO_CONNECTION), ProbeFails(0, NO_CONNECTION)];
    assert_eq!(replay.after(2 * SILENCE, &same_target), Reach::Targets);
    let same_hall = [3, 6, 9].map(|target| ProbeFails(target, NO_CONNECTION));
    assert_eq!(replay.after(STEP, &same_hall), Reach::Targets);
    assert_eq!(replay.after(STEP, &[Fails(1, NO_CONNECTION)]), Reach::Nothing, "another hall as well");
}

#[test]
fn failures_between_answers_isolate_nobody() {
    let mut replay = Replay::new();
    for target in 0..100 {
        let events = [ProbeFails(target, NO_CONNECTION), ProbeFails(target + 1, NO_ANSWER), Answer, Connected];
        assert_eq!(replay.after(SILENCE, &events), Reach::Targets);
    }
}

#[test]
fn what_fails_before_an_answer_does_not_count_after_it() {
    let mut replay = Replay::new();
    replay.after(2 * SILENCE, &[ProbeFails(0, NO_ANSWER), ProbeFails(1, NO_ANSWER), Answer, ProbeFails(2, NO_ANSWER)]);
    assert_eq!(replay.after(SILENCE, &[ProbeFails(3, NO_ANSWER)]), Reach::Targets, "two targets since the answer");
    assert_eq!(replay.after(STEP, &[Fails(4, NO_ANSWER)]), Reach::Nothing);
}

#[test]
fn open_connections_that_live_on_are_told_from_new_ones_that_fail() {
    let mut replay = Replay::new();
    replay.after(STEP, &[Answer, Connected]);
    for target in 0..4 {
        replay.after(SILENCE, &[Answer, ProbeFails(target, NO_CONNECTION)]);
    }
    assert_eq!(replay.isolation.reach(), Reach::OpenConnections);
    assert!(!replay.isolation.has_contact(replay.now), "requests of others would not get through");
    assert_eq!(replay.after(STEP, &[Connected]), Reach::Targets);
    assert!(replay.isolation.has_contact(replay.now));
}

#[test]
fn new_connections_that_fail_in_a_single_hall_are_looked_into_if_there_is_no_other() {
    let target = TargetKey::new("t");
    let failure = Failure { target, hall: "h".into(), kind: Unconnected, is_new: true, is_probe: false };
    for (halls, is_due) in [(1, true), (2, false)] {
        let mut isolation = Isolation::new(Instant::now());
        let now = Instant::now() + 2 * SILENCE;
        isolation.record_failure(&failure, now);
        isolation.record_answer(now);
        isolation.judge(TargetSpread { targets: 4, halls }, None, now);
        assert_eq!(isolation.next_probe().is_some(), is_due, "{halls}");
    }
}

#[test]
fn probes_are_due_only_after_a_silence_with_a_failure() {
    let mut replay = Replay::new();
    replay.after(STEP, &[Answer]);
    let answered = replay.now;
    assert_eq!(replay.isolation.next_probe(), None);
    replay.after(PROBE_INTERVAL, &[Fails(0, NO_ANSWER)]);
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
    let target = TargetKey::new("t");
    let failure = Failure { target, hall: "h".into(), kind: Unanswered, is_new: false, is_probe: true };
    isolation.record_failure(&failure, now);
    isolation.record_failure(&failure, now);
    let only_one = TargetSpread { targets: 1, halls: 1 };
    assert_eq!(isolation.clone().judge(only_one, None, now), Reach::Nothing);
    assert_eq!(isolation.judge(TargetSpread { targets: 2, halls: 1 }, None, now), Reach::Targets);
}

#[test]
fn an_answer_is_overdue_by_what_is_usual_within_limits() {
    assert_eq!(overdue_after(0.01), Duration::from_millis(300));
    assert_eq!(overdue_after(0.15), Duration::from_millis(450));
    assert_eq!(overdue_after(f64::INFINITY), Duration::from_millis(700));
}

/// Guards against requests that are given up because all targets are at work.
#[test]
fn requests_and_probes_that_wait_at_busy_targets_leave_an_instance_uncertain() {
    let mut replay = Replay::new();
    replay.after(STEP, &[Answer, Connected]);
    for target in 0..24 {
        let waits = [Fails(target, WAITS), ProbeFails(target + 1, WAITS)];
        let reach = replay.after(PROBE_INTERVAL, &waits);
        assert_eq!(reach, if target == 0 { Reach::Targets } else { Reach::Uncertain });
        assert!(!reach.is_isolated() && replay.isolation.next_probe().is_some(), "probes find out");
    }
    assert!(!replay.isolation.has_contact(replay.now));
    assert_eq!(replay.after(STEP, &[Answer]), Reach::Targets);
    replay.after(2 * SILENCE, &[Fails(0, WAITS), ProbeFails(1, WAITS), ProbeFails(2, WAITS)]);
    let silent = [ProbeFails(0, NO_CONNECTION), ProbeFails(1, NO_CONNECTION), ProbeFails(2, NO_CONNECTION)];
    assert_eq!(replay.after(STEP, &silent), Reach::Nothing, "a busy target accepts connections");
}

#[test]
fn an_answer_to_a_later_request_through_another_instance_shows_that_targets_are_not_busy() {
    let mut replay = Replay::new();
    replay.after(STEP, &[Answer, Connected]);
    let before = replay.now;
    let waits = [Fails(0, WAITS), ProbeFails(1, WAITS), ProbeFails(2, WAITS)];
    assert_eq!(replay.after(2 * SILENCE, &waits), Reach::Uncertain);
    replay.isolation.record_answer_elsewhere(before);
    assert_eq!(replay.isolation.reach(), Reach::Uncertain, "the request is as old as those that wait");
    replay.isolation.record_answer_elsewhere(replay.now);
    assert_eq!(replay.isolation.reach(), Reach::Nothing);
    assert_eq!(replay.after(STEP, &[Answer]), Reach::Targets);
    replay.isolation.record_answer_elsewhere(replay.now);
    assert_eq!(replay.isolation.reach(), Reach::Targets, "nothing waits");
}

/// Guards against requests that are given up because targets with long queues reset new connections.
#[test]
fn refused_connections_isolate_nobody_while_a_request_waits_on_one_from_before() {
    for (waits_for, reach) in [(None, Reach::Nothing), (Some(STEP), Reach::OpenConnections)] {
        let mut replay = Replay::new();
        replay.after(STEP, &[Answer, Connected]);
        replay.waiting_since = waits_for.map(|time| replay.now + SILENCE - time);
        let refused = [ProbeFails(0, REFUSED), ProbeFails(1, REFUSED), Fails(2, REFUSED)];
        assert_eq!(replay.after(SILENCE, &refused), reach);
        replay.waiting_since = None;
        assert_eq!(replay.after(STEP, &[]), Reach::Nothing, "the connection was closed as well");
    }
}

#[test]
fn a_request_that_began_to_wait_after_the_first_refusal_says_nothing_of_it() {
    let mut replay = Replay::new();
    replay.after(STEP, &[Answer, Connected]);
    replay.after(SILENCE, &[Fails(2, REFUSED)]);
    replay.waiting_since = Some(replay.now + STEP);
    assert_eq!(replay.after(2 * STEP, &[ProbeFails(0, REFUSED), ProbeFails(1, REFUSED)]), Reach::Nothing);
}

/// A target of whose six slots one is in use.
const FREE: KnownLoad =
    KnownLoad { others: 0.0, in_flight: 1, unanswered_for: Duration::ZERO, slots: 6, instances: 3, median: 0.3 };

#[test]
fn a_wait_is_a_failure_only_beyond_the_time_that_the_load_explains() {
    let second = Duration::from_secs(1);
    assert_eq!(FailureKind::of_wait(second, FREE), Unanswered);
    assert_eq!(
        FailureKind::of_wait(second, KnownLoad { others: 9.0, ..FREE }),
        Waiting,
        "one and a half times as long"
    );
    assert_eq!(FailureKind::of_wait(2 * second, KnownLoad { others: 9.0, ..FREE }), Unanswered);
    assert_eq!(FailureKind::of_wait(second, KnownLoad { median: 1.3, ..FREE }), Waiting);
    assert_eq!(FailureKind::of_wait(second, KnownLoad { median: f64::INFINITY, ..FREE }), Waiting);
    assert_eq!(FailureKind::of_probe_wait(FREE), Unanswered);
    assert_eq!(FailureKind::of_probe_wait(KnownLoad { others: 6.0, ..FREE }), Waiting);
    assert_eq!(FailureKind::of_probe_wait(KnownLoad { others: 6.0, median: 0.05, ..FREE }), Unanswered);
}

/// Guards against requests that are given up since others have filled all targets at the same moment.
#[test]
fn other_instances_are_taken_to_load_a_target_as_this_one_does_until_its_answers_are_late() {
    let shared = KnownLoad { in_flight: 2, ..FREE };
    assert!(shared.may_be_full(), "two requests of each of three instances for six slots");
    assert!(!KnownLoad { instances: 2, ..shared }.may_be_full());
    let late = KnownLoad { unanswered_for: Duration::from_secs(1), ..shared };
    assert!(!late.may_be_full(), "they would have been answered");
    assert!(KnownLoad { others: 6.0, ..late }.may_be_full(), "so many are known to be there");
}

/// Guards against requests that wait on a lost link and are taken for the load of their target.
#[test]
fn requests_that_are_late_do_not_count_as_load() {
    let lost = KnownLoad { in_flight: 12, unanswered_for: Duration::from_secs(1), ..FREE };
    assert!(!lost.may_be_full());
    assert_eq!(FailureKind::of_probe_wait(lost), Unanswered);
}

#[test]
fn a_round_of_probes_that_no_target_answers_isolates_an_instance_whose_requests_all_wait() {
    let mut replay = Replay::new();
    replay.after(STEP, &[Answer, Connected]);
    replay.after(SILENCE, &[Fails(0, WAITS)]);
    let round = [ProbeFails(0, NO_ANSWER), ProbeFails(1, NO_ANSWER), ProbeFails(2, NO_ANSWER)];
    assert_eq!(replay.after(PROBE_TIMEOUT, &round), Reach::Nothing);
}
