//! A service whose targets reject a fraction of their requests at any load: the share of requests
//! that callers get answered in time.

mod replay;
mod scene;

use lockloft::decision::capacity::load_report::LoadReport;
use lockloft::decision::failure::shedding::has_free_slot;
use replay::{Load, replay};
use std::time::Duration;

/// A load that uses half of the slots, with two requests in five rejected.
fn load(seed: u64) -> Load {
    let work = Duration::from_millis(350);
    Load {
        seed,
        instances: 12,
        keys: 60,
        rate: 36.0,
        length: Duration::from_secs(60),
        warm_up: Duration::from_secs(20),
        work,
        objective: Duration::from_millis(800),
        cached_keys: 21,
        shed_ratio: 0.4,
        max_queue: 12,
        report_delay: None,
        has_shared_loads: false,
    }
}

#[test]
fn callers_of_a_service_that_sheds_are_answered_in_time() {
    for seed in 0..5 {
        let outcome = replay(&load(seed));
        println!("seed {seed}: {outcome:?}, {:.3} in time", outcome.in_time_ratio());
        assert!(outcome.in_time_ratio() > 0.8, "seed {seed}: {outcome:?}");
    }
}

/// Guards against rules for shedding targets that make a service worse whose targets shed nothing.
#[test]
fn callers_of_a_service_that_does_not_shed_are_answered_in_time() {
    for seed in 0..5 {
        let outcome = replay(&Load { shed_ratio: 0.0, ..load(seed) });
        assert!(outcome.in_time_ratio() > 0.95, "seed {seed}: {outcome:?}");
    }
}

#[test]
fn a_full_target_has_no_free_slot() {
    let report = |running, waiting, slots| Some(LoadReport { running, waiting, slots, slowdown: None });
    assert!(has_free_slot(report(3, 0, 4)));
    assert!(!has_free_slot(report(4, 0, 4)));
    assert!(!has_free_slot(report(4, 12, 4)));
    assert!(!has_free_slot(report(3, 1, 4)), "a request is queued");
    assert!(!has_free_slot(None), "without a report no slot counts as free");
}
