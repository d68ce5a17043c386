//! The retry rule: every sequence of up to six outcomes, on every kind of route, with several limits of
//! tries.

use lockloft::decision::failure::next_try::{
    FailedTries, FailureReason, MAX_UNREACHABLE_TRIES, MIN_TIME_LEFT, TryDecision, TryLimits, TryOutcome,
    UnmetPrecondition, earlier_failure_reason, has_time, next_try,
};
use lockloft::model::config::Idempotency;
use std::time::Duration;

const OUTCOMES: [TryOutcome; 5] =
    [TryOutcome::Unreachable, TryOutcome::NotExecuted, TryOutcome::Shed, TryOutcome::Lost, TryOutcome::TimedOut];
const UNMET_PRECONDITIONS: [UnmetPrecondition; 4] = [
    UnmetPrecondition::NoTarget,
    UnmetPrecondition::TooLate,
    UnmetPrecondition::OverBudget,
    UnmetPrecondition::RequestUnavailable,
];
/// A try that is not charged to the retry budget.
const UNCHARGED: TryDecision = TryDecision::Try { costs_retry: false };
/// A try that is charged to the retry budget.
const CHARGED: TryDecision = TryDecision::Try { costs_retry: true };

fn after(outcomes: &[TryOutcome]) -> FailedTries {
    let mut tries = FailedTries::default();
    outcomes.iter().for_each(|outcome| tries.record(*outcome));
    tries
}

fn next(outcomes: &[TryOutcome], idempotency: Idempotency, max_attempts: u32) -> TryDecision {
    next_try(&after(outcomes), TryLimits { idempotency, max_attempts })
}

/// All sequences of outcomes up to a length.
fn sequences(length: usize) -> Vec<Vec<TryOutcome>> {
    let mut all = vec![Vec::new()];
    let mut from = 0;
    for _ in 0..length {
        let to = all.len();
        for index in from..to {
            for outcome in OUTCOMES {
                let mut sequence = all[index].clone();
                sequence.push(outcome);
                all.push(sequence);
            }
        }
        from = to;
    }
    all
}

#[test]
fn one_try_of_each_outcome() {
    use {TryDecision::Refuse, TryOutcome::*};
    let table = [
        // outcome, idempotency, max_attempts, next
        (Unreachable, Idempotency::Idempotent, 1, UNCHARGED),
        (Unreachable, Idempotency::Idempotent, 2, UNCHARGED),
        (Unreachable, Idempotency::NonIdempotent, 1, UNCHARGED),
        (Unreachable, Idempotency::NonIdempotent, 2, UNCHARGED),
        (NotExecuted, Idempotency::Idempotent, 1, Refuse(FailureReason::NotExecuted)),
        (NotExecuted, Idempotency::Idempotent, 2, CHARGED),
        (NotExecuted, Idempotency::NonIdempotent, 1, Refuse(FailureReason::NotExecuted)),
        (NotExecuted, Idempotency::NonIdempotent, 2, CHARGED),
        (Shed, Idempotency::Idempotent, 1, Refuse(FailureReason::Shed)),
        (Shed, Idempotency::Idempotent, 2, CHARGED),
        (Shed, Idempotency::NonIdempotent, 1, Refuse(FailureReason::Shed)),
        (Shed, Idempotency::NonIdempotent, 2, CHARGED),
        (Lost, Idempotency::Idempotent, 1, Refuse(FailureReason::Lost)),
        (Lost, Idempotency::Idempotent, 2, CHARGED),
        (Lost, Idempotency::NonIdempotent, 1, Refuse(FailureReason::Lost)),
        (Lost, Idempotency::NonIdempotent, 2, Refuse(FailureReason::Lost)),
        (TimedOut, Idempotency::Idempotent, 1, Refuse(FailureReason::TimedOut)),
        (TimedOut, Idempotency::Idempotent, 2, Refuse(FailureReason::TimedOut)),
        (TimedOut, Idempotency::NonIdempotent, 1, Refuse(FailureReason::TimedOut)),
        (TimedOut, Idempotency::NonIdempotent, 2, Refuse(FailureReason::TimedOut)),
    ];
    for (outcome, idempotency, max_attempts, expected) in table {
        assert_eq!(next(&[outcome], idempotency, max_attempts), expected, "{outcome:?} {idempotency:?} {max_attempts}");
    }
}

#[test]
fn several_tries() {
    use {Idempotency::*, TryDecision::Refuse, TryOutcome::*};
    let table: [(&[TryOutcome], Idempotency, u32, TryDecision); 12] = [
        (&[], Idempotent, 1, UNCHARGED),
        (&[], NonIdempotent, 1, UNCHARGED),
        (&[], Idempotent, 0, Refuse(FailureReason::NotTried)),
        (&[Unreachable, Unreachable], NonIdempotent, 1, UNCHARGED),
        (&[Unreachable, Unreachable, Unreachable], NonIdempotent, 3, Refuse(FailureReason::Unreachable)),
        (&[NotExecuted, Unreachable], NonIdempotent, 2, CHARGED),
        (&[Unreachable, NotExecuted], NonIdempotent, 1, Refuse(FailureReason::NotExecuted)),
        (&[NotExecuted, Lost], NonIdempotent, 3, Refuse(FailureReason::Lost)),
        (&[NotExecuted, Lost], Idempotent, 3, CHARGED),
        // After a try that may have run the request, no later failure is reported as not run.
        (&[Lost, NotExecuted], Idempotent, 2, Refuse(FailureReason::Lost)),
        (&[Lost, Unreachable, Unreachable, Unreachable], Idempotent, 2, Refuse(FailureReason::Lost)),
        (&[Lost, TimedOut], Idempotent, 3, Refuse(FailureReason::TimedOut)),
    ];
    for (outcomes, idempotency, max_attempts, expected) in table {
        assert_eq!(next(outcomes, idempotency, max_attempts), expected, "{outcomes:?} {idempotency:?} {max_attempts}");
    }
}

/// Reference implementation of the rule as a loop over the outcomes of tries; `None` if another
/// try would follow the last of them.
fn reference(outcomes: &[TryOutcome], idempotency: Idempotency, max_attempts: u32) -> Option<FailureReason> {
    let (mut sends, mut unreachable, mut may_have_run) = (0, 0, false);
    let mut last = FailureReason::NotTried;
    let mut outcomes = outcomes.iter();
    while sends < max_attempts && unreachable < MAX_UNREACHABLE_TRIES {
        match outcomes.next()? {
            TryOutcome::Unreachable => {
                unreachable += 1;
                last = FailureReason::Unreachable;
            }
            TryOutcome::NotExecuted => {
                sends += 1;
                last = FailureReason::NotExecuted;
            }
            TryOutcome::Shed => {
                sends += 1;
                last = FailureReason::Shed;
            }
            TryOutcome::Lost => {
                sends += 1;
                may_have_run = true;
                if idempotency == Idempotency::NonIdempotent {
                    return Some(FailureReason::Lost);
                }
            }
            TryOutcome::TimedOut => return Some(FailureReason::TimedOut),
        }
    }
    Some(if may_have_run { FailureReason::Lost } else { last })
}

/// Applies the rule to a sequence of outcomes for as long as it allows another try.
fn apply_rule(outcomes: &[TryOutcome], limits: TryLimits) -> (FailedTries, TryDecision) {
    let mut tries = FailedTries::default();
    for outcome in outcomes {
        if let TryDecision::Refuse(_) = next_try(&tries, limits) {
            break;
        }
        tries.record(*outcome);
    }
    (tries, next_try(&tries, limits))
}

#[test]
fn every_sequence_of_outcomes_matches_the_reference() {
    for outcomes in sequences(6) {
        for idempotency in [Idempotency::Idempotent, Idempotency::NonIdempotent] {
            for max_attempts in 0..4 {
                let (tries, next) = apply_rule(&outcomes, TryLimits { idempotency, max_attempts });
                let expected = match reference(&outcomes, idempotency, max_attempts) {
                    Some(reason) => TryDecision::Refuse(reason),
                    None => TryDecision::Try { costs_retry: tries.sends > 0 },
                };
                assert_eq!(next, expected, "{outcomes:?} {idempotency:?} {max_attempts}");
            }
        }
    }
}

#[test]
fn a_request_that_may_have_run_is_repeated_only_on_an_idempotent_route() {
    for outcomes in sequences(5) {
        let (tries, next) =
            apply_rule(&outcomes, TryLimits { idempotency: Idempotency::NonIdempotent, max_attempts: 9 });
        if tries.may_have_run {
            assert!(
                matches!(next, TryDecision::Refuse(FailureReason::Lost | FailureReason::TimedOut)),
                "{outcomes:?}: {next:?}"
            );
        }
    }
}

#[test]
fn a_request_that_may_have_run_is_never_reported_as_not_run() {
    for outcomes in sequences(6) {
        for idempotency in [Idempotency::Idempotent, Idempotency::NonIdempotent] {
            let (tries, next) = apply_rule(&outcomes, TryLimits { idempotency, max_attempts: 3 });
            if !tries.may_have_run {
                continue;
            }
            let mut reasons = UNMET_PRECONDITIONS.map(|unmet| earlier_failure_reason(&tries, unmet)).to_vec();
            if let TryDecision::Refuse(reason) = next {
                reasons.push(Some(reason));
            }
            let admits_run =
                |reason: &Option<FailureReason>| matches!(reason, Some(FailureReason::Lost | FailureReason::TimedOut));
            assert!(reasons.iter().all(admits_run), "{outcomes:?}: {reasons:?}");
        }
    }
}

#[test]
fn an_earlier_failure_takes_precedence_over_any_unmet_precondition_but_time() {
    use {TryOutcome::*, UnmetPrecondition::*};
    let table: [(&[TryOutcome], [Option<FailureReason>; 4]); 6] = [
        // failed tries; no target, too late, over budget, request unavailable
        (&[], [None, None, None, None]),
        (
            &[Unreachable],
            [
                Some(FailureReason::Unreachable),
                None,
                Some(FailureReason::Unreachable),
                Some(FailureReason::Unreachable),
            ],
        ),
        (
            &[NotExecuted],
            [
                Some(FailureReason::NotExecuted),
                None,
                Some(FailureReason::NotExecuted),
                Some(FailureReason::NotExecuted),
            ],
        ),
        (&[Lost], [Some(FailureReason::Lost); 4]),
        (&[Lost, NotExecuted], [Some(FailureReason::Lost); 4]),
        (&[Lost, Unreachable], [Some(FailureReason::Lost); 4]),
    ];
    for (outcomes, expected) in table {
        let tries = after(outcomes);
        let reasons =
            [NoTarget, TooLate, OverBudget, RequestUnavailable].map(|unmet| earlier_failure_reason(&tries, unmet));
        assert_eq!(reasons, expected, "{outcomes:?}");
    }
}

#[test]
fn a_request_is_sent_only_if_enough_time_is_left() {
    assert!(!has_time(Duration::ZERO));
    assert!(!has_time(MIN_TIME_LEFT));
    assert!(has_time(MIN_TIME_LEFT + Duration::from_nanos(1)));
}

#[test]
fn outcomes_have_their_log_names() {
    assert_eq!(OUTCOMES.map(TryOutcome::as_str), ["unreachable", "not-executed", "shed", "lost", "silent"]);
}
