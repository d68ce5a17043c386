//! A short soak of instances; long ones are run by hand (`standins soak`).

mod common;

use common::program;
use standins::soak::faults::{Fault, Planned};
use standins::soak::{self, Soak};
use std::time::Duration;

#[tokio::test(flavor = "multi_thread")]
async fn no_promise_is_broken_in_a_short_soak() {
    let soak = Soak {
        seed: 7,
        instances: 3,
        targets: 4,
        callers: 6,
        time: Duration::from_secs(8),
        silences: false,
        endings: false,
        tenants: false,
        statements: false,
        hard_load: false,
        restores: false,
        isolations: false,
        slow_readers: false,
    };
    let outcome = soak::run(program(), soak).await;
    assert!(outcome.broken.is_none(), "{outcome:?}");
    assert!(outcome.faults > 5 && outcome.served > 100, "{outcome:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn no_promise_is_broken_in_a_short_soak_whose_connections_go_silent() {
    let soak = Soak { silences: true, ..Soak::new(2002, 5) };
    let outcome = soak::run(program(), soak).await;
    assert!(outcome.broken.is_none(), "{outcome:?}");
    assert!(outcome.faults > 30 && outcome.served > 100, "{outcome:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn no_promise_is_broken_in_a_short_soak_with_requests_that_end_targets() {
    let soak = Soak { silences: true, endings: true, ..Soak::new(31, 5) };
    let outcome = soak::run(program(), soak).await;
    assert!(outcome.broken.is_none(), "{outcome:?}");
    assert!(outcome.faults > 30 && outcome.served > 100, "{outcome:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn no_promise_is_broken_in_a_short_soak_with_keys_and_quotas() {
    let soak = Soak { silences: true, tenants: true, ..Soak::new(12, 5) };
    let outcome = soak::run(program(), soak).await;
    assert!(outcome.broken.is_none(), "{outcome:?}");
    assert!(outcome.faults > 30 && outcome.served > 100, "{outcome:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn no_promise_is_broken_in_a_short_soak_with_keys_and_quotas_beside_requests_that_end_targets() {
    let soak = Soak { silences: true, endings: true, tenants: true, ..Soak::new(9113, 5) };
    let outcome = soak::run(program(), soak).await;
    assert!(outcome.broken.is_none(), "{outcome:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn no_promise_is_broken_in_a_short_soak_whose_targets_speak_of_themselves() {
    let soak = Soak { silences: true, statements: true, ..Soak::new(49, 5) };
    let outcome = soak::run(program(), soak).await;
    assert!(outcome.broken.is_none(), "{outcome:?}");
    assert!(outcome.faults > 30 && outcome.served > 100, "{outcome:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn no_promise_is_broken_in_a_short_soak_whose_instances_lose_all_targets() {
    let soak = Soak { silences: true, tenants: true, isolations: true, ..Soak::new(72, 5) };
    let outcome = soak::run(program(), soak).await;
    assert!(outcome.broken.is_none(), "{outcome:?}");
    assert!(outcome.faults > 40 && outcome.served > 100, "{outcome:?}");
}

/// Guards against answers that a planned stop cuts while their callers rest.
#[tokio::test(flavor = "multi_thread")]
async fn no_promise_is_broken_in_a_short_soak_whose_callers_rest_while_they_read() {
    let soak = Soak { silences: true, slow_readers: true, ..Soak::new(8101, 5) };
    let outcome = soak::run(program(), soak).await;
    assert!(outcome.broken.is_none(), "{outcome:?}");
    assert!(outcome.faults > 40 && outcome.served > 100, "{outcome:?}");
}

/// Guards against promises broken when restores of the store overlap other faults.
#[tokio::test(flavor = "multi_thread")]
async fn no_promise_is_broken_in_a_short_soak_whose_store_is_restored() {
    let soak = Soak { silences: true, restores: true, ..Soak::new(57, 5) };
    let outcome = soak::run(program(), soak).await;
    assert!(outcome.broken.is_none(), "{outcome:?}");
    assert!(outcome.faults > 30 && outcome.served > 100, "{outcome:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn no_promise_is_broken_in_a_short_soak_under_hard_load() {
    let soak = Soak { silences: true, hard_load: true, ..Soak::new(61, 5) };
    let outcome = soak::run(program(), soak).await;
    assert!(outcome.broken.is_none(), "{outcome:?}");
    assert!(outcome.faults > 30 && outcome.served > 100, "{outcome:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn kills_and_a_stop_of_one_instance_that_overlap_start_it_once() {
    let soak = Soak {
        seed: 1,
        instances: 2,
        targets: 2,
        callers: 2,
        time: Duration::from_secs(5),
        silences: false,
        endings: false,
        tenants: false,
        statements: false,
        hard_load: false,
        restores: false,
        isolations: false,
        slow_readers: false,
    };
    let planned = |at_ms, lasts_ms, fault| Planned {
        at: Duration::from_millis(at_ms),
        lasts: Duration::from_millis(lasts_ms),
        fault,
    };
    let faults = [
        planned(100, 500, Fault::Kill(0)),
        planned(200, 1_500, Fault::Kill(1)),
        planned(300, 2_000, Fault::Kill(0)),
        planned(400, 200, Fault::Stop(1)),
        planned(1_500, 200, Fault::Stop(0)),
    ];
    let outcome = soak::run_faults(program(), soak, &faults).await;
    assert!(outcome.broken.is_none(), "{outcome:?}");
    assert_eq!(outcome.faults, faults.len());
}

mod promises {
    use standins::soak::observations::{AfterFaults, Incarnation, Interval, Observations, SentRequest};
    use standins::soak::promises::Violations;
    use standins::target_server::Run;
    use std::time::{Duration, Instant};

    fn sent(id: &str, status: Option<u16>) -> SentRequest {
        let now = Instant::now();
        SentRequest {
            id: id.to_owned(),
            safe: false,
            instance: 0,
            sent: now,
            ended: now,
            time: Duration::from_millis(1_500),
            status,
            api_key: None,
            sound: true,
        }
    }

    fn run(id: &str, at: Instant) -> Run {
        Run {
            id: id.to_owned(),
            line: String::new(),
            body: Vec::new(),
            deadline_ms: None,
            tenant: None,
            has_key: false,
            at,
            cut: false,
            breaks_off: false,
        }
    }

    fn incarnation(runs: Vec<Run>) -> Incarnation {
        Incarnation { runs, drained: None, slow_until: None, evacuated: Vec::new(), resets: Vec::new(), ended: None }
    }

    fn seconds(number: u64) -> Duration {
        Duration::from_secs(number)
    }

    #[test]
    fn sound_observations_break_nothing() {
        let observed = Observations {
            requests: vec![sent("1", Some(200)), sent("2", Some(503)), sent("3", Some(502))],
            incarnations: vec![incarnation(vec![run("1", Instant::now()), run("3", Instant::now())])],
            after: AfterFaults { sent: 10, served: 10 },
            ..Default::default()
        };
        assert_eq!(observed.violations(), Violations::default());
    }

    #[test]
    fn a_configuration_that_goes_back_and_a_view_believed_too_young_are_found() {
        let observed = Observations { went_back: 1, believed_fresh: 2, ..Default::default() };
        let expected = Violations { went_back: 1, believed_fresh: 2, ..Default::default() };
        assert_eq!(observed.violations(), expected);
        assert!(!observed.violations().is_none());
    }

    #[test]
    fn an_instance_that_takes_more_memory_than_it_may_is_found() {
        let observed = Observations { peak_memory: vec![90_000, 261_000], ..Default::default() };
        let expected = Violations { over_memory: 1, ..Default::default() };
        assert_eq!(observed.violations(), expected);
    }

    #[test]
    fn a_second_run_a_false_promise_and_an_unsound_success_are_found() {
        let now = Instant::now();
        let mut unsound = sent("4", Some(200));
        unsound.sound = false;
        let observed = Observations {
            requests: vec![sent("1", Some(200)), sent("2", Some(503)), unsound],
            incarnations: vec![
                incarnation(vec![run("1", now), run("2", now)]),
                incarnation(vec![run("1", now), run("4", now)]),
            ],
            ..Default::default()
        };
        let expected = Violations { ran_twice: 1, false_promise: 1, unsound: 1, ..Default::default() };
        assert_eq!(observed.violations(), expected);
    }

    #[test]
    fn late_runs_after_a_drain_and_an_evacuation_are_found_unless_the_view_was_disturbed() {
        let start = Instant::now();
        let mut drained = incarnation(vec![run("1", start + seconds(1)), run("2", start + seconds(3))]);
        drained.drained = Some(start);
        let mut evacuated = incarnation(vec![run("3", start + seconds(4)), run("4", start + seconds(6))]);
        evacuated.evacuated = vec![Interval { from: start, to: start + seconds(8) }];
        let mut observed = Observations { incarnations: vec![drained, evacuated], ..Default::default() };
        let expected = Violations { after_drain: 1, after_evacuation: 1, ..Default::default() };
        assert_eq!(observed.violations(), expected);
        observed.view_faults = vec![Interval { from: start + seconds(1), to: start + seconds(2) }];
        assert_eq!(observed.violations(), Violations::default());
    }

    #[test]
    fn a_cut_by_a_planned_stop_is_found_unless_the_instance_was_killed_or_frozen() {
        let start = Instant::now();
        let mut cut = sent("1", None);
        cut.ended = start + seconds(1);
        let mut observed = Observations {
            requests: vec![cut],
            incarnations: vec![incarnation(vec![run("1", start)])],
            stops: vec![(0, Interval { from: start, to: start + seconds(2) })],
            ..Default::default()
        };
        assert_eq!(observed.violations().cut_by_stop, 1);
        observed.outages = vec![(0, Interval { from: start, to: start })];
        assert_eq!(observed.violations().cut_by_stop, 0);
    }

    #[test]
    fn an_answer_that_its_target_or_the_network_to_it_broke_off_is_no_cut_by_a_stop() {
        let start = Instant::now();
        let cut = SentRequest { sent: start, ended: start + seconds(1), ..sent("1", None) };
        let cuts_with = |incarnations: Vec<Incarnation>| {
            let stops = vec![(0, Interval { from: start, to: start + seconds(2) })];
            Observations { requests: vec![cut.clone()], incarnations, stops, ..Default::default() }
                .violations()
                .cut_by_stop
        };
        let broken_off = |at| incarnation(vec![Run { breaks_off: true, ..run("1", at) }]);
        let whole = |at| incarnation(vec![run("1", at)]);
        assert_eq!(cuts_with(vec![broken_off(start)]), 0);
        assert_eq!(cuts_with(vec![broken_off(start), whole(start + seconds(1))]), 1, "the last run was answered");
        let reset = |from, to| Incarnation { resets: vec![Interval { from, to }], ..whole(start) };
        assert_eq!(cuts_with(vec![reset(start, start + seconds(1))]), 0);
        assert_eq!(cuts_with(vec![reset(start + seconds(2), start + seconds(3))]), 1, "the reset came later");
        let ended = |at| Incarnation { ended: Some(at), ..whole(start) };
        assert_eq!(cuts_with(vec![ended(start + seconds(1))]), 0, "the target ended");
        assert_eq!(cuts_with(vec![ended(start + seconds(2))]), 1, "the target ended later");
        let elsewhere = Incarnation { runs: Vec::new(), ..reset(start, start + seconds(1)) };
        assert_eq!(cuts_with(vec![whole(start), elsewhere]), 1, "another target's connections were reset");
    }

    #[test]
    fn an_answer_that_ends_with_the_time_of_its_route_is_no_cut_by_a_stop() {
        let start = Instant::now();
        let cut_after = |ms| SentRequest { ended: start + Duration::from_millis(ms), ..sent("1", None) };
        let observed = |request| Observations {
            requests: vec![request],
            incarnations: vec![incarnation(vec![run("1", start)])],
            stops: vec![(0, Interval { from: start, to: start + seconds(2) })],
            ..Default::default()
        };
        let at = |ms| SentRequest { sent: start, ..cut_after(ms) };
        assert_eq!(observed(at(1_400)).violations().cut_by_stop, 1);
        assert_eq!(observed(at(1_500)).violations().cut_by_stop, 0);
    }

    #[test]
    fn a_request_that_goes_on_to_end_targets_is_found_unless_the_view_was_disturbed() {
        let start = Instant::now();
        let ends = |count: u64| (0..count).map(|n| incarnation(vec![run("", start + seconds(n))])).collect();
        // The third is at 2 s; those at 6, 7 and 8 s are late.
        assert_eq!(Observations { frail: ends(9), ..Default::default() }.violations(), Violations::default());
        let mut observed = Observations { frail: ends(10), ..Default::default() };
        assert_eq!(observed.violations(), Violations { over_endings: 1, ..Default::default() });
        observed.view_faults = vec![Interval { from: start + seconds(5), to: start + seconds(5) }];
        assert_eq!(observed.violations(), Violations::default());
        let many = Observations { frail: ends(13), view_faults: observed.view_faults, ..Default::default() };
        assert_eq!(many.violations(), Violations { over_endings: 1, ..Default::default() });
    }

    #[test]
    fn too_many_retries_and_too_many_requests_in_a_slow_start_are_found() {
        let start = Instant::now();
        let runs: Vec<Run> = (0..80).flat_map(|n| [run(&n.to_string(), start), run(&n.to_string(), start)]).collect();
        let mut cold = incarnation(runs);
        cold.slow_until = Some(start + seconds(1));
        let observed = Observations {
            requests: (0..10).map(|n| SentRequest { safe: true, ..sent(&n.to_string(), Some(200)) }).collect(),
            incarnations: vec![cold],
            ..Default::default()
        };
        let broken = observed.violations();
        assert_eq!(broken.over_budget, 1);
        assert!(broken.over_cold > 0);
        assert_eq!(
            Observations { after: AfterFaults { sent: 100, served: 80 }, ..Default::default() }
                .violations()
                .not_recovered,
            1
        );
    }
}
