//! Replays a target that names a limit beside a fleet that has far more to send there, without
//! sockets: the operators' bound in each window, and how much of the limit is used, by three ways.

mod limit_fleet;

use limit_fleet::{Fleet, Outcome, Way};

/// Sizes of fleets: instances, halls.
const SIZES: [(usize, usize); 4] = [(2, 2), (12, 6), (75, 6), (295, 12)];
/// Limits, requests a second, and what would be sent there.
const LOADS: [(f64, f64); 3] = [(4.5, 12.0), (9.3, 29.0), (60.0, 200.0)];

fn play(way: Way, (instances, halls): (usize, usize), (limit, demand): (f64, f64), seed: u64) -> Outcome {
    let mut fleet = Fleet::new(way, instances, halls, demand, seed);
    fleet.run(2.0);
    fleet.name(Some(limit));
    fleet.run(20.0);
    fleet.outcome(limit)
}

#[test]
fn the_limit_is_kept_and_used_at_all_sizes() {
    for size in SIZES {
        for load in LOADS {
            for seed in 0..3 {
                let outcome = play(Way::Heads, size, load, seed);
                assert!(outcome.most <= outcome.allowed, "{size:?} {load:?} {seed}: {outcome:?}");
                assert!(outcome.most_sent <= outcome.allowed, "{size:?} {load:?} {seed}: {outcome:?}");
                assert!(outcome.used >= 0.8, "{size:?} {load:?} {seed}: {outcome:?}");
            }
        }
    }
}

#[test]
fn equal_parts_keep_the_limit_where_nobody_is_heard() {
    for size in SIZES {
        for load in LOADS {
            let outcome = play(Way::Parts, size, load, 7);
            assert!(outcome.most <= outcome.allowed, "{size:?} {load:?}: {outcome:?}");
        }
    }
}

#[test]
fn the_limit_is_kept_while_demand_grows_fivefold_at_one_moment() {
    for size in SIZES {
        let mut fleet = Fleet::new(Way::Heads, size.0, size.1, 6.0, 3);
        fleet.name(Some(5.0));
        fleet.run(8.0);
        fleet.set_demand(30.0);
        fleet.run(10.0);
        let outcome = fleet.outcome(5.0);
        assert!(outcome.most <= outcome.allowed, "{size:?}: {outcome:?}");
    }
}

#[test]
fn a_hall_that_is_cut_off_keeps_its_part() {
    for size in [(12, 6), (75, 6), (295, 12)] {
        let mut fleet = Fleet::new(Way::Heads, size.0, size.1, 40.0, 5);
        fleet.name(Some(8.0));
        fleet.run(6.0);
        fleet.cut_off(0);
        fleet.run(12.0);
        let outcome = fleet.outcome(8.0);
        assert!(outcome.most <= outcome.allowed, "{size:?}: {outcome:?}");
    }
}

#[test]
fn a_limit_that_is_lowered_and_lifted_is_followed_by_all_that_know_it() {
    for size in SIZES {
        let mut fleet = Fleet::new(Way::Heads, size.0, size.1, 40.0, 11);
        fleet.name(Some(20.0));
        fleet.run(6.0);
        fleet.name(Some(5.0));
        let lowered = fleet.run_until(3.0, |limit| limit.is_none_or(|limit| limit == 5.0));
        assert!(lowered <= 1.0, "{size:?}: {lowered}");
        fleet.run(5.0);
        fleet.name(None);
        let lifted = fleet.run_until(6.0, |limit| limit.is_none());
        assert!(lifted <= 2.0, "{size:?}: {lifted}");
    }
}

/// Prints the table of the design page: `cargo test --test rate_limit_replay -- --ignored --nocapture`.
#[test]
#[ignore = "prints a table, and proves nothing"]
fn table() {
    for size in SIZES.into_iter().chain([(3607, 24)]) {
        for way in [Way::Parts, Way::Feedback, Way::Heads] {
            let outcome = play(way, size, LOADS[1], 1);
            println!("{size:?} {way:?}: {outcome:?} {:.0} bytes", outcome.bytes);
        }
    }
}
