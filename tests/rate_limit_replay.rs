//! Simulates a target with a rate limit and a fleet whose demand for it is far higher, without
//! sockets. Checks the operators' bound in each window and how much of the limit is used. The fleet
//! keeps the limit in one of three ways: by equal shares, by feedback, or by the admit ratios that heads
//! answer.

mod limit_fleet;
mod limit_growth;

use limit_fleet::{Fleet, Mode, Outcome};

/// Fleet sizes: instances, halls.
const SIZES: [(usize, usize); 4] = [(2, 2), (12, 6), (75, 6), (295, 12)];
/// Limits and demands, requests a second.
const LOADS: [(f64, f64); 3] = [(4.5, 12.0), (9.3, 29.0), (60.0, 200.0)];

fn simulate(mode: Mode, (instances, halls): (usize, usize), (limit, demand): (f64, f64), seed: u64) -> Outcome {
    let mut fleet = Fleet::new(mode, instances, halls, demand, seed);
    fleet.run(2.0);
    fleet.set_limit(Some(limit));
    fleet.run(20.0);
    fleet.outcome(limit)
}

#[test]
fn the_limit_is_kept_and_used_at_all_sizes() {
    for size in SIZES {
        for load in LOADS {
            for seed in 0..3 {
                let outcome = simulate(Mode::Heads, size, load, seed);
                assert!(outcome.max_sent_with_known_limit <= outcome.allowed, "{size:?} {load:?} {seed}: {outcome:?}");
                assert!(outcome.max_sent <= outcome.allowed, "{size:?} {load:?} {seed}: {outcome:?}");
                assert!(outcome.used >= 0.8, "{size:?} {load:?} {seed}: {outcome:?}");
            }
        }
    }
}

#[test]
fn equal_shares_alone_keep_the_limit() {
    for size in SIZES {
        for load in LOADS {
            let outcome = simulate(Mode::EqualShares, size, load, 7);
            assert!(outcome.max_sent_with_known_limit <= outcome.allowed, "{size:?} {load:?}: {outcome:?}");
        }
    }
}

#[test]
fn the_limit_is_kept_when_demand_suddenly_grows_fivefold() {
    for size in SIZES {
        let mut fleet = Fleet::new(Mode::Heads, size.0, size.1, 6.0, 3);
        fleet.set_limit(Some(5.0));
        fleet.run(8.0);
        fleet.set_demand(30.0);
        fleet.run(10.0);
        let outcome = fleet.outcome(5.0);
        assert!(outcome.max_sent_with_known_limit <= outcome.allowed, "{size:?}: {outcome:?}");
    }
}

/// A partitioned hall keeps its part of the limit, and the others do not use that part.
#[test]
fn the_limit_is_kept_while_a_hall_is_partitioned() {
    for size in [(12, 6), (75, 6), (295, 12)] {
        let mut fleet = Fleet::new(Mode::Heads, size.0, size.1, 40.0, 5);
        fleet.set_limit(Some(8.0));
        fleet.run(6.0);
        fleet.partition(0);
        fleet.run(12.0);
        let outcome = fleet.outcome(8.0);
        assert!(outcome.max_sent_with_known_limit <= outcome.allowed, "{size:?}: {outcome:?}");
    }
}

#[test]
fn instances_that_know_a_limit_follow_when_it_is_lowered_and_lifted() {
    for size in SIZES {
        let mut fleet = Fleet::new(Mode::Heads, size.0, size.1, 40.0, 11);
        fleet.set_limit(Some(20.0));
        fleet.run(6.0);
        fleet.set_limit(Some(5.0));
        let lowered = fleet.run_until(3.0, |limit| limit.is_none_or(|limit| limit == 5.0));
        assert!(lowered <= 1.0, "{size:?}: {lowered}");
        fleet.run(5.0);
        fleet.set_limit(None);
        let lifted = fleet.run_until(6.0, |limit| limit.is_none());
        assert!(lifted <= 2.0, "{size:?}: {lifted}");
    }
}

/// Prints the table of `docs/design/rate-limits.md`:
/// `cargo test --test rate_limit_replay -- --ignored --nocapture`.
#[test]
#[ignore = "prints a table and checks nothing"]
fn table() {
    for size in SIZES.into_iter().chain([(3607, 24)]) {
        for mode in [Mode::EqualShares, Mode::Feedback, Mode::Heads] {
            let outcome = simulate(mode, size, LOADS[1], 1);
            println!("{size:?} {mode:?}: {outcome:?} {:.0} bytes", outcome.bytes);
        }
    }
}
