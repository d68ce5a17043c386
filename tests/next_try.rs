//! The retry rule: every outcome, on every kind of route, at all counts.

use lockloft::decision::failure::next_try::{
    MAX_UNREACHABLE_TRIES, MIN_TIME_LEFT, Next, Obstacle, Reason, Tries, TryLimits, TryOutcome, has_time, next_try,
    reason_despite,
};
use lockloft::model::config::Repeat;
use std::time::Duration;

const OUTCOMES: [TryOutcome; 5] =
    [TryOutcome::Unreachable, TryOutcome::NotExecuted, TryOutcome::Shed, TryOutcome::Lost, TryOutcome::TimedOut];
const OBSTACLES: [Obstacle; 4] = [Obstacle::NoTarget, Obstacle::TooLate, Obstacle::OverBudget, Obstacle::NoRequest];
const FREE: Next = Next::Try { costs_retry: false };
const PAID: Next = Next::Try { costs_retry: true };

fn after(outcomes: &[TryOutcome]) -> Tries {
    let mut tries = Tries::default();
    outcomes.iter().for_each(|outcome| tries.record(*outcome));
    tries
}

fn next(outcomes: &[TryOutcome], repeat: Repeat, max_attempts: u32) -> Next {
    next_try(&after(outcomes), TryLimits { repeat, max_attempts })
}

/// All rows of outcomes up to a length.
fn rows(length: usize) -> Vec<Vec<TryOutcome>> {
    let mut all = vec![Vec::new()];
    let mut from = 0;
    for _ in 0..length {
        let to = all.len();
        for index in from..to {
            for outcome in OUTCOMES {
                let mut row = all[index].clone();
                row.push(outcome);
                all.push(row);
            }
        }
        from = to;
    }
    all
}

#[test]
fn one_try_of_each_outcome() {
    use {Next::Refuse, TryOutcome::*};
    let table = [
        // outcome, repeat, max_attempts, next
        (Unreachable, Repeat::Safe, 1, FREE),
        (Unreachable, Repeat::Safe, 2, FREE),
        (Unreachable, Repeat::Once, 1, FREE),
        (Unreachable, Repeat::Once, 2, FREE),
        (NotExecuted, Repeat::Safe, 1, Refuse(Reason::NotExecuted)),
        (NotExecuted, Repeat::Safe, 2, PAID),
        (NotExecuted, Repeat::Once, 1, Refuse(Reason::NotExecuted)),
        (NotExecuted, Repeat::Once, 2, PAID),
        (Shed, Repeat::Safe, 1, Refuse(Reason::Shed)),
        (Shed, Repeat::Safe, 2, PAID),
        (Shed, Repeat::Once, 1, Refuse(Reason::Shed)),
        (Shed, Repeat::Once, 2, PAID),
        (Lost, Repeat::Safe, 1, Refuse(Reason::Lost)),
        (Lost, Repeat::Safe, 2, PAID),
        (Lost, Repeat::Once, 1, Refuse(Reason::Lost)),
        (Lost, Repeat::Once, 2, Refuse(Reason::Lost)),
        (TimedOut, Repeat::Safe, 1, Refuse(Reason::TimedOut)),
        (TimedOut, Repeat::Safe, 2, Refuse(Reason::TimedOut)),
        (TimedOut, Repeat::Once, 1, Refuse(Reason::TimedOut)),
        (TimedOut, Repeat::Once, 2, Refuse(Reason::TimedOut)),
    ];
    for (outcome, repeat, max_attempts, expected) in table {
        assert_eq!(next(&[outcome], repeat, max_attempts), expected, "{outcome:?} {repeat:?} {max_attempts}");
    }
}

#[test]
fn several_tries() {
    use {Next::Refuse, Repeat::*, TryOutcome::*};
    let table: [(&[TryOutcome], Repeat, u32, Next); 12] = [
        (&[], Safe, 1, FREE),
        (&[], Once, 1, FREE),
        (&[], Safe, 0, Refuse(Reason::NotTried)),
        (&[Unreachable, Unreachable], Once, 1, FREE),
        (&[Unreachable, Unreachable, Unreachable], Once, 3, Refuse(Reason::Unreachable)),
        (&[NotExecuted, Unreachable], Once, 2, PAID),
        (&[Unreachable, NotExecuted], Once, 1, Refuse(Reason::NotExecuted)),
        (&[NotExecuted, Lost], Once, 3, Refuse(Reason::Lost)),
        (&[NotExecuted, Lost], Safe, 3, PAID),
        // What failed after a try that may have run does not take that back.
        (&[Lost, NotExecuted], Safe, 2, Refuse(Reason::Lost)),
        (&[Lost, Unreachable, Unreachable, Unreachable], Safe, 2, Refuse(Reason::Lost)),
        (&[Lost, TimedOut], Safe, 3, Refuse(Reason::TimedOut)),
    ];
    for (outcomes, repeat, max_attempts, expected) in table {
        assert_eq!(next(outcomes, repeat, max_attempts), expected, "{outcomes:?} {repeat:?} {max_attempts}");
    }
}

/// The rule as one plain loop over the outcomes of tries; `None` where another try
/// would follow the last of them.
fn naive(outcomes: &[TryOutcome], repeat: Repeat, max_attempts: u32) -> Option<Reason> {
    let (mut sends, mut unreachable, mut may_have_run) = (0, 0, false);
    let mut last = Reason::NotTried;
    let mut outcomes = outcomes.iter();
    while sends < max_attempts && unreachable < MAX_UNREACHABLE_TRIES {
        match outcomes.next()? {
            TryOutcome::Unreachable => {
                unreachable += 1;
                last = Reason::Unreachable;
            }
            TryOutcome::NotExecuted => {
                sends += 1;
                last = Reason::NotExecuted;
            }
            TryOutcome::Shed => {
                sends += 1;
                last = Reason::Shed;
            }
            TryOutcome::Lost => {
                sends += 1;
                may_have_run = true;
                if repeat == Repeat::Once {
                    return Some(Reason::Lost);
                }
            }
            TryOutcome::TimedOut => return Some(Reason::TimedOut),
        }
    }
    Some(if may_have_run { Reason::Lost } else { last })
}

/// Follows the rule over a row of outcomes for as long as it tries again.
fn followed(outcomes: &[TryOutcome], limits: TryLimits) -> (Tries, Next) {
    let mut tries = Tries::default();
    for outcome in outcomes {
        if let Next::Refuse(_) = next_try(&tries, limits) {
            break;
        }
        tries.record(*outcome);
    }
    (tries, next_try(&tries, limits))
}

#[test]
fn every_row_of_outcomes_ends_as_in_a_plain_loop() {
    for outcomes in rows(6) {
        for repeat in [Repeat::Safe, Repeat::Once] {
            for max_attempts in 0..4 {
                let (tries, next) = followed(&outcomes, TryLimits { repeat, max_attempts });
                let expected = match naive(&outcomes, repeat, max_attempts) {
                    Some(reason) => Next::Refuse(reason),
                    None => Next::Try { costs_retry: tries.sends > 0 },
                };
                assert_eq!(next, expected, "{outcomes:?} {repeat:?} {max_attempts}");
            }
        }
    }
}

#[test]
fn a_request_that_may_have_run_runs_again_on_a_safe_route_alone() {
    for outcomes in rows(5) {
        let (tries, next) = followed(&outcomes, TryLimits { repeat: Repeat::Once, max_attempts: 9 });
        if tries.may_have_run {
            assert!(matches!(next, Next::Refuse(Reason::Lost | Reason::TimedOut)), "{outcomes:?}: {next:?}");
        }
    }
}

#[test]
fn a_request_that_may_have_run_is_never_answered_as_not_run() {
    for outcomes in rows(6) {
        for repeat in [Repeat::Safe, Repeat::Once] {
            let (tries, next) = followed(&outcomes, TryLimits { repeat, max_attempts: 3 });
            if !tries.may_have_run {
                continue;
            }
            let mut reasons = OBSTACLES.map(|obstacle| reason_despite(&tries, obstacle)).to_vec();
            if let Next::Refuse(reason) = next {
                reasons.push(Some(reason));
            }
            let is_open = |reason: &Option<Reason>| matches!(reason, Some(Reason::Lost | Reason::TimedOut));
            assert!(reasons.iter().all(is_open), "{outcomes:?}: {reasons:?}");
        }
    }
}

#[test]
fn an_obstacle_leaves_the_last_failure_standing_but_for_the_time() {
    use {Obstacle::*, TryOutcome::*};
    let table: [(&[TryOutcome], [Option<Reason>; 4]); 6] = [
        // failed tries; no target, too late, over budget, no request
        (&[], [None, None, None, None]),
        (&[Unreachable], [Some(Reason::Unreachable), None, Some(Reason::Unreachable), Some(Reason::Unreachable)]),
        (&[NotExecuted], [Some(Reason::NotExecuted), None, Some(Reason::NotExecuted), Some(Reason::NotExecuted)]),
        (&[Lost], [Some(Reason::Lost); 4]),
        (&[Lost, NotExecuted], [Some(Reason::Lost); 4]),
        (&[Lost, Unreachable], [Some(Reason::Lost); 4]),
    ];
    for (outcomes, expected) in table {
        let tries = after(outcomes);
        let reasons = [NoTarget, TooLate, OverBudget, NoRequest].map(|obstacle| reason_despite(&tries, obstacle));
        assert_eq!(reasons, expected, "{outcomes:?}");
    }
}

#[test]
fn a_request_is_sent_only_with_time_left() {
    assert!(!has_time(Duration::ZERO));
    assert!(!has_time(MIN_TIME_LEFT));
    assert!(has_time(MIN_TIME_LEFT + Duration::from_nanos(1)));
}

#[test]
fn outcomes_have_the_words_of_the_log() {
    assert_eq!(OUTCOMES.map(TryOutcome::as_str), ["unreachable", "not-executed", "shed", "lost", "silent"]);
}
