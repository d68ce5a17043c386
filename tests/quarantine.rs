//! Strikes against requests, and quarantine: which requests are refused, for how long, and what
//! instances share about them through the store.

use lockloft::clock::Instant;
use lockloft::decision::failure::quarantine::{
    FIRST_PROBE_DELAY, MAX_PROBES, QUARANTINE_THRESHOLD, QUARANTINE_TTL, Quarantine, Quarantined, STRIKES_TTL,
    StrikeReport,
};
use lockloft::decision::registry::target_key::TargetKey;
use lockloft::model::fingerprint::{Fingerprint, RequestIdentity};
use lockloft::model::strikes::Strikes;
use proptest::prelude::*;
use std::time::Duration;

/// Name of the instance under test.
const OWN: &str = "e-1";
const OTHER: &str = "e-2";

fn request(number: u64) -> Fingerprint {
    let path = format!("/look/{number}");
    Fingerprint::new(&RequestIdentity { method: "GET", host: "", path: &path, affinity_key: None }, None, [])
}

fn record(strikes: u32, by: &str) -> Strikes {
    Strikes { strikes, by: by.to_owned() }
}

/// A quarantine in which the request has `strikes` local strikes, counted one after the other.
fn with_strikes(fingerprint: Fingerprint, strikes: u32, now: Instant) -> Quarantine {
    let mut quarantine = Quarantine::default();
    for known in 0..strikes {
        assert_eq!(quarantine.record_strike(fingerprint, known, now), Some(known + 1));
    }
    quarantine
}

#[test]
fn a_request_is_refused_from_the_third_strike_on() {
    let (fingerprint, now) = (request(0), Instant::now());
    for strikes in 0..QUARANTINE_THRESHOLD {
        assert_eq!(with_strikes(fingerprint, strikes, now).admit(fingerprint, OWN, now), Ok(strikes));
    }
    let mut quarantine = with_strikes(fingerprint, QUARANTINE_THRESHOLD, now);
    assert_eq!(quarantine.admit(fingerprint, OWN, now), Err(Quarantined));
    assert_eq!(quarantine.admit(request(1), OWN, now), Ok(0));
}

#[test]
fn targets_that_crash_at_the_same_moment_make_one_strike() {
    let (fingerprint, now) = (request(0), Instant::now());
    let mut quarantine = Quarantine::default();
    assert_eq!(quarantine.record_strike(fingerprint, 0, now), Some(1));
    // These tries began before the first strike was known.
    assert_eq!(quarantine.record_strike(fingerprint, 0, now), None);
    assert_eq!(quarantine.record_strike(fingerprint, 0, now), None);
    assert_eq!(quarantine.admit(fingerprint, OWN, now), Ok(1));
}

#[test]
fn a_response_clears_the_request_for_all_instances() {
    let (fingerprint, now) = (request(0), Instant::now());
    let mut quarantine = with_strikes(fingerprint, 2, now);
    assert!(!quarantine.record_response(fingerprint), "the store has no record of it");
    assert_eq!(quarantine.admit(fingerprint, OWN, now), Ok(0));

    assert_eq!(quarantine.apply(fingerprint, record(QUARANTINE_THRESHOLD, OTHER), 7, now), Some(true));
    assert!(quarantine.record_response(fingerprint));
    assert_eq!(quarantine.admit(fingerprint, OWN, now), Ok(0));
    assert_eq!(quarantine.pending_report(fingerprint, now), Some(StrikeReport { strikes: 0, replaced_revision: 7 }));
    assert_eq!(quarantine.apply(fingerprint, record(0, OWN), 8, now), Some(false));
    assert_eq!(quarantine.pending_report(fingerprint, now), None);
    assert_eq!(quarantine.admit(fingerprint, OWN, now), Ok(0));
    assert_eq!(quarantine.record_strike(fingerprint, 0, now), Some(1), "strikes start again at 1");
    assert_eq!(quarantine.pending_report(fingerprint, now), Some(StrikeReport { strikes: 1, replaced_revision: 8 }));
}

#[test]
fn strikes_that_are_cleared_during_a_try_are_not_added_to_the_strike_of_that_try() {
    let (fingerprint, now) = (request(0), Instant::now());
    let mut quarantine = with_strikes(fingerprint, 2, now);
    let known = quarantine.admit(fingerprint, OWN, now).unwrap();
    quarantine.record_response(fingerprint);
    assert_eq!(quarantine.record_strike(fingerprint, known, now), Some(1));
}

#[test]
fn a_record_without_strikes_clears_local_strikes() {
    let (fingerprint, now) = (request(0), Instant::now());
    let mut quarantine = with_strikes(fingerprint, QUARANTINE_THRESHOLD, now);
    quarantine.apply(fingerprint, record(0, OTHER), 7, now);
    assert_eq!(quarantine.admit(fingerprint, OWN, now), Ok(0));
}

#[test]
fn a_later_record_counts_after_an_earlier_one_was_cleared() {
    let (fingerprint, now) = (request(0), Instant::now());
    let mut quarantine = Quarantine::default();
    quarantine.apply(fingerprint, record(1, OTHER), 7, now);
    quarantine.record_response(fingerprint);
    quarantine.apply(fingerprint, record(QUARANTINE_THRESHOLD, OTHER), 9, now);
    assert_eq!(quarantine.admit(fingerprint, OWN, now), Err(Quarantined));
}

#[test]
fn strikes_of_other_instances_add_to_local_strikes() {
    let (fingerprint, now) = (request(0), Instant::now());
    let mut quarantine = Quarantine::default();
    assert_eq!(quarantine.apply(fingerprint, record(2, OTHER), 5, now), None);
    assert_eq!(quarantine.admit(fingerprint, OWN, now), Ok(2));
    assert_eq!(quarantine.record_strike(fingerprint, 2, now), Some(QUARANTINE_THRESHOLD));
    assert_eq!(quarantine.admit(fingerprint, OWN, now), Err(Quarantined));
    assert_eq!(
        quarantine.pending_report(fingerprint, now),
        Some(StrikeReport { strikes: QUARANTINE_THRESHOLD, replaced_revision: 5 })
    );
    assert_eq!(quarantine.apply(fingerprint, record(QUARANTINE_THRESHOLD, OWN), 6, now), Some(true));
    assert_eq!(quarantine.pending_report(fingerprint, now), None);
    assert_eq!(quarantine.quarantined_count(), 1);
}

/// Guards against further crashes while a check of the crashed target is under way.
#[test]
fn an_unconfirmed_strike_counts_here_and_is_shared_once_it_is_confirmed() {
    let (fingerprint, now) = (request(0), Instant::now());
    let mut quarantine = with_strikes(fingerprint, 2, now);
    let strike = quarantine.record_unconfirmed(fingerprint, 2, now).unwrap();
    assert_eq!(quarantine.admit(fingerprint, OWN, now), Err(Quarantined));
    assert_eq!(quarantine.pending_report(fingerprint, now), Some(StrikeReport { strikes: 2, replaced_revision: 0 }));
    assert_eq!(quarantine.confirm(strike), Some(QUARANTINE_THRESHOLD));
    let report = StrikeReport { strikes: QUARANTINE_THRESHOLD, replaced_revision: 0 };
    assert_eq!(quarantine.pending_report(fingerprint, now), Some(report));
}

#[test]
fn an_unconfirmed_strike_is_withdrawn_if_the_target_runs() {
    let (fingerprint, now) = (request(0), Instant::now());
    let mut quarantine = with_strikes(fingerprint, 2, now);
    let strike = quarantine.record_unconfirmed(fingerprint, 2, now).unwrap();
    quarantine.withdraw(strike);
    assert_eq!(quarantine.admit(fingerprint, OWN, now), Ok(2));
}

/// Guards against strikes that are not shared because an expired one is deducted from them.
#[test]
fn later_strikes_are_shared_after_an_unconfirmed_one_has_expired() {
    let (fingerprint, now) = (request(0), Instant::now());
    let mut quarantine = Quarantine::default();
    let _unresolved = quarantine.record_unconfirmed(fingerprint, 0, now).unwrap();
    let later = now + STRIKES_TTL;
    assert_eq!(quarantine.record_strike(fingerprint, 0, later), Some(1));
    assert_eq!(quarantine.pending_report(fingerprint, later), Some(StrikeReport { strikes: 1, replaced_revision: 0 }));
}

/// The same, where other instances have counted strikes since.
#[test]
fn a_strike_after_those_of_others_is_shared_although_an_unconfirmed_one_has_expired() {
    let (fingerprint, now) = (request(0), Instant::now());
    let mut quarantine = Quarantine::default();
    let _unresolved = quarantine.record_unconfirmed(fingerprint, 0, now).unwrap();
    let later = now + STRIKES_TTL;
    quarantine.apply(fingerprint, record(2, OTHER), 5, later);
    assert_eq!(quarantine.record_strike(fingerprint, 2, later), Some(QUARANTINE_THRESHOLD));
    let report = StrikeReport { strikes: QUARANTINE_THRESHOLD, replaced_revision: 5 };
    assert_eq!(quarantine.pending_report(fingerprint, later), Some(report));
}

#[test]
fn a_response_clears_unconfirmed_strikes_for_good() {
    let (fingerprint, now) = (request(0), Instant::now());
    let mut quarantine = Quarantine::default();
    let (one, other) = (
        quarantine.record_unconfirmed(fingerprint, 0, now).unwrap(),
        quarantine.record_unconfirmed(fingerprint, 1, now).unwrap(),
    );
    quarantine.record_response(fingerprint);
    assert_eq!(quarantine.record_strike(fingerprint, 0, now), Some(1));
    quarantine.withdraw(one);
    assert_eq!(quarantine.confirm(other), None);
    assert_eq!(quarantine.admit(fingerprint, OWN, now), Ok(1), "only the strike after the response counts");
}

/// During an outage of the store, the lease of a record can end before the time of the quarantine is over.
#[test]
fn a_record_lost_in_an_outage_still_counts_and_is_rewritten_by_its_writer() {
    let (fingerprint, now) = (request(0), Instant::now());
    let mut writer = Quarantine::default();
    let mut other = Quarantine::default();
    for quarantine in [&mut writer, &mut other] {
        quarantine.apply(fingerprint, record(QUARANTINE_THRESHOLD, OWN), 5, now);
    }
    let later = now + Duration::from_secs(20);
    assert!(writer.apply_expiry(fingerprint, OWN, later));
    assert!(!other.apply_expiry(fingerprint, OTHER, later), "another instance writes it");
    assert_eq!(
        writer.pending_report(fingerprint, later),
        Some(StrikeReport { strikes: QUARANTINE_THRESHOLD, replaced_revision: 0 })
    );
    for quarantine in [&mut writer, &mut other] {
        assert_eq!(quarantine.admit(fingerprint, OTHER, later), Err(Quarantined));
        assert_eq!(quarantine.remove_expired(later), []);
        assert_eq!(quarantine.remove_expired(now + QUARANTINE_TTL), [fingerprint]);
        assert_eq!(quarantine.admit(fingerprint, OTHER, later), Ok(0));
    }
}

#[test]
fn a_record_that_expires_on_time_is_not_rewritten() {
    let (fingerprint, now) = (request(0), Instant::now());
    let mut quarantine = Quarantine::default();
    quarantine.apply(fingerprint, record(QUARANTINE_THRESHOLD, OWN), 5, now);
    assert!(!quarantine.apply_expiry(fingerprint, OWN, now + QUARANTINE_TTL - Duration::from_secs(30)));
    assert!(!quarantine.apply_expiry(request(1), OWN, now));
}

#[test]
fn a_response_after_the_record_is_gone_is_still_reported() {
    let (fingerprint, now) = (request(0), Instant::now());
    let mut quarantine = Quarantine::default();
    quarantine.apply(fingerprint, record(2, OTHER), 5, now);
    // Other instances still count the strikes of the lost record.
    quarantine.apply_expiry(fingerprint, OWN, now);
    assert!(quarantine.record_response(fingerprint));
    assert_eq!(quarantine.pending_report(fingerprint, now), Some(StrikeReport { strikes: 0, replaced_revision: 0 }));
}

#[test]
fn strikes_expire() {
    let (fingerprint, now) = (request(0), Instant::now());
    let mut quarantine = with_strikes(fingerprint, 2, now);
    assert_eq!(quarantine.admit(fingerprint, OWN, now + STRIKES_TTL - Duration::from_millis(1)), Ok(2));
    assert_eq!(quarantine.admit(fingerprint, OWN, now + STRIKES_TTL), Ok(0));
    let mut quarantine = with_strikes(fingerprint, QUARANTINE_THRESHOLD, now);
    assert_eq!(quarantine.admit(fingerprint, OWN, now + QUARANTINE_TTL), Ok(0));
}

#[test]
fn one_probe_is_let_through_at_a_time_and_few_in_all() {
    let (fingerprint, mut now) = (request(0), Instant::now());
    let mut quarantine = with_strikes(fingerprint, QUARANTINE_THRESHOLD, now);
    let mut wait = FIRST_PROBE_DELAY;
    for probe in 0..MAX_PROBES {
        let strikes = QUARANTINE_THRESHOLD + probe;
        assert_eq!(quarantine.admit(fingerprint, OWN, now + wait - Duration::from_millis(1)), Err(Quarantined));
        now += wait;
        assert_eq!(quarantine.admit(fingerprint, OWN, now), Ok(strikes));
        assert_eq!(quarantine.admit(fingerprint, OWN, now), Err(Quarantined), "a second probe at the same time");
        assert_eq!(quarantine.record_strike(fingerprint, strikes, now), Some(strikes + 1));
        wait *= 2;
    }
    assert_eq!(quarantine.admit(fingerprint, OWN, now + QUARANTINE_TTL - Duration::from_millis(1)), Err(Quarantined));
}

#[test]
fn only_the_instance_that_counted_the_last_strike_sends_probes() {
    let (fingerprint, now) = (request(0), Instant::now());
    let mut quarantine = with_strikes(fingerprint, QUARANTINE_THRESHOLD, now);
    quarantine.apply(fingerprint, record(QUARANTINE_THRESHOLD, OTHER), 7, now);
    assert_eq!(quarantine.admit(fingerprint, OWN, now + FIRST_PROBE_DELAY), Err(Quarantined));
    // Also after a restart, when it knows only the record.
    let mut quarantine = Quarantine::default();
    quarantine.apply(fingerprint, record(QUARANTINE_THRESHOLD, OWN), 8, now);
    assert_eq!(quarantine.admit(fingerprint, OWN, now + FIRST_PROBE_DELAY), Ok(QUARANTINE_THRESHOLD));
}

#[test]
fn memory_is_bounded_and_a_request_that_keeps_arriving_is_not_evicted() {
    let (fingerprint, now) = (request(0), Instant::now());
    let mut quarantine = with_strikes(fingerprint, QUARANTINE_THRESHOLD, now);
    for number in 1..20_000 {
        quarantine.record_strike(request(number), 0, now);
        if number % 500 == 0 {
            // Each refused attempt looks the request up, which keeps it in the LRU cache.
            assert_eq!(quarantine.admit(fingerprint, OWN, now), Err(Quarantined), "{number}");
        }
    }
    let kept = (1..20_000).filter(|number| quarantine.admit(request(*number), OWN, now) == Ok(1)).count();
    assert!(kept < 1_000, "{kept}");
}

#[test]
fn instances_share_no_new_request_beyond_the_bound_and_rely_on_local_strikes() {
    let (fingerprint, now) = (request(0), Instant::now());
    let mut quarantine = with_strikes(fingerprint, QUARANTINE_THRESHOLD, now);
    for number in 1..=500 {
        quarantine.apply(request(number), record(1, OTHER), number, now);
    }
    assert_eq!(quarantine.pending_report(fingerprint, now), None);
    assert_eq!(quarantine.admit(fingerprint, OWN, now), Err(Quarantined));
    let known = request(1);
    assert_eq!(quarantine.record_strike(known, 1, now), Some(2));
    assert_eq!(quarantine.pending_report(known, now), Some(StrikeReport { strikes: 2, replaced_revision: 1 }));
}

/// An event at one of three instances that share a store.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// A try begins; its target crashes later, at `Crash`.
    Begin,
    /// The target of the oldest try in flight crashes.
    Crash,
    /// The instance's pending report reaches the store.
    Write,
    /// The instance receives the store's record.
    Receive,
}

fn step() -> impl Strategy<Value = (usize, Step)> {
    (0..3usize, prop_oneof![Just(Step::Begin), Just(Step::Crash), Just(Step::Write), Just(Step::Receive)])
}

proptest! {
    /// Three instances, one request that crashes every target: an instance that knows of the third
    /// strike sends no more, and no instance counts more strikes than targets crashed.
    #[test]
    fn no_instance_sends_a_request_that_it_knows_to_crash_targets(steps in prop::collection::vec(step(), 1..200)) {
        let (fingerprint, now) = (request(0), Instant::now());
        let mut instances = [OWN, OTHER, "e-3"].map(|name| (name, Quarantine::default(), Vec::<u32>::new()));
        let (mut stored, mut crashed) = (None::<(Strikes, u64)>, 0);
        for (number, step) in steps {
            let (name, quarantine, in_flight) = &mut instances[number];
            match step {
                Step::Begin => {
                    if let Ok(strikes) = quarantine.admit(fingerprint, name, now) {
                        prop_assert!(strikes < QUARANTINE_THRESHOLD);
                        in_flight.push(strikes);
                    }
                }
                Step::Crash if !in_flight.is_empty() => {
                    crashed += 1;
                    if let Some(strikes) = quarantine.record_strike(fingerprint, in_flight.remove(0), now) {
                        prop_assert!(strikes <= crashed);
                    }
                }
                Step::Write => {
                    let revision = stored.as_ref().map_or(0, |(_, revision)| *revision);
                    if let Some(StrikeReport { strikes, replaced_revision }) = quarantine.pending_report(fingerprint, now)
                        && replaced_revision == revision
                    {
                        stored = Some((record(strikes, name), revision + 1));
                    }
                }
                Step::Receive => {
                    if let Some((strikes, revision)) = &stored {
                        quarantine.apply(fingerprint, strikes.clone(), *revision, now);
                    }
                }
                Step::Crash => {}
            }
        }
    }
}

/// A quarantine with shared first strikes of `count` other requests, counted by another instance.
fn with_shared_first_strikes(count: u64, now: Instant) -> Quarantine {
    let mut quarantine = Quarantine::default();
    for number in 0..count {
        quarantine.apply(request(1_000 + number), record(1, OTHER), number + 1, now);
    }
    quarantine
}

#[test]
fn first_strikes_leave_room_for_a_request_that_goes_on_to_crash_targets() {
    let (fingerprint, now) = (request(0), Instant::now());
    let mut quarantine = with_shared_first_strikes(250, now);
    assert_eq!(quarantine.record_strike(fingerprint, 0, now), Some(1));
    assert_eq!(quarantine.pending_report(fingerprint, now), None);
    assert_eq!(quarantine.record_strike(fingerprint, 1, now), Some(2));
    assert_eq!(quarantine.pending_report(fingerprint, now), Some(StrikeReport { strikes: 2, replaced_revision: 0 }));
    let mut quarantine = with_shared_first_strikes(249, now);
    quarantine.record_strike(fingerprint, 0, now);
    assert_eq!(quarantine.pending_report(fingerprint, now), Some(StrikeReport { strikes: 1, replaced_revision: 0 }));
}

#[test]
fn first_strikes_of_targets_that_are_lost_together_are_not_shared() {
    let now = Instant::now();
    let mut quarantine = Quarantine::default();
    for number in 0..5_u64 {
        quarantine.record_crash(TargetKey::new(&format!("u-{number}")), now);
        assert_eq!(quarantine.record_strike(request(number), 0, now), Some(1));
    }
    let shared: Vec<bool> = (0..5).map(|number| quarantine.pending_report(request(number), now).is_some()).collect();
    assert_eq!(shared, [true, true, false, false, false]);
    // The request is sent again and crashes another target: its second strike is shared.
    assert_eq!(quarantine.admit(request(4), OWN, now), Ok(1));
    assert_eq!(quarantine.record_strike(request(4), 1, now), Some(2));
    assert_eq!(quarantine.pending_report(request(4), now), Some(StrikeReport { strikes: 2, replaced_revision: 0 }));
    // One target that crashes under several requests is not a loss of several targets.
    let mut quarantine = Quarantine::default();
    for number in 0..5 {
        quarantine.record_crash(TargetKey::new("u-0"), now);
        quarantine.record_strike(request(number), 0, now);
        assert!(quarantine.pending_report(request(number), now).is_some());
    }
}
