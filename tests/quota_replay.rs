//! Quotas of a simulated fleet, without sockets, under the loads and faults for which the quota rule is
//! made: in every window, all instances together admit no more than the quota allows, and few requests
//! below the quota are refused.

mod quota_fleet;

use quota_fleet::{Fleet, Load, Mode, Outcome, check_bound, usual_loads};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// The operators' slack, requests.
const SLACK: f64 = 20.0;

/// Fraction of all requests that was refused.
fn refused(outcomes: &[Outcome]) -> f64 {
    let offered: usize = outcomes.iter().map(|outcome| outcome.offered.len()).sum();
    let admitted: usize = outcomes.iter().map(|outcome| outcome.admitted.len()).sum();
    (offered - admitted) as f64 / offered as f64
}

/// Fraction of all tenants' requests below their quotas that was not admitted.
fn total_shortfall(fleet: &Fleet, outcomes: &[Outcome]) -> f64 {
    let counts_of = |(outcome, load): (&Outcome, &Load)| (outcome.admissible(load.quota), outcome.admitted.len());
    let counts: Vec<(usize, usize)> = outcomes.iter().zip(&fleet.loads).map(counts_of).collect();
    let admissible: usize = counts.iter().map(|(admissible, _)| admissible).sum();
    let shortfall: usize = counts.iter().map(|(admissible, admitted)| admissible.saturating_sub(*admitted)).sum();
    shortfall as f64 / admissible as f64
}

/// Fraction of a tenant's requests below its quota that was not admitted.
fn shortfall(outcome: &Outcome, load: &Load) -> f64 {
    let admissible = outcome.admissible(load.quota);
    admissible.saturating_sub(outcome.admitted.len()) as f64 / admissible.max(1) as f64
}

fn assert_bounds(fleet: &Fleet, outcomes: &[Outcome]) {
    for (outcome, load) in outcomes.iter().zip(&fleet.loads) {
        check_bound(outcome, load.quota, SLACK).unwrap_or_else(|error| panic!("{}: {error}", load.name));
    }
}

/// The usual loads, but the tenant with this rank sends `factor` times as much from 5 to 11.5 s.
fn loads_with_surge(rank: usize, factor: f64) -> Vec<Load> {
    let mut loads = usual_loads(1_900.0);
    let usual = (loads[rank - 1].rate)(0);
    loads[rank - 1].rate = Box::new(move |at| if (5_000..11_500).contains(&at) { factor * usual } else { usual });
    loads
}

#[test]
fn tenants_below_their_quotas_are_not_refused() {
    for (instances, halls, total) in [(75, 6, 1_900.0), (12, 6, 450.0), (295, 6, 6_000.0)] {
        let mut fleet = Fleet::new(Mode::Heads, instances, halls, usual_loads(total), 1);
        let outcomes = fleet.run_until(15_000);
        assert_bounds(&fleet, &outcomes);
        let shortfall = total_shortfall(&fleet, &outcomes);
        assert!(shortfall < 0.001, "{instances}: {shortfall}");
    }
}

#[test]
fn equal_shares_alone_refuse_small_tenants_below_their_quotas() {
    let mut fleet = Fleet::new(Mode::EqualShares, 75, 6, usual_loads(1_900.0), 1);
    let outcomes = fleet.run_until(15_000);
    assert_bounds(&fleet, &outcomes);
    assert!(refused(&outcomes) > 0.1, "{}", refused(&outcomes));
}

#[test]
fn a_tenant_that_suddenly_sends_a_multiple_stays_within_its_quota() {
    for (rank, factor) in [(1, 7.5), (1, 13.0), (10, 7.5), (40, 13.0), (80, 7.5), (80, 13.0)] {
        for seed in 0..3 {
            let mut fleet = Fleet::new(Mode::Heads, 75, 6, loads_with_surge(rank, factor), seed);
            let outcomes = fleet.run_until(15_000);
            assert_bounds(&fleet, &outcomes);
            let tenant = rank - 1;
            let shortfall = shortfall(&outcomes[tenant], &fleet.loads[tenant]);
            assert!(shortfall < 0.15, "rank {rank}, {factor} times its usual: {shortfall} not admitted");
            let others: Vec<Outcome> = outcomes
                .into_iter()
                .enumerate()
                .filter(|(other, _)| *other != tenant)
                .map(|(_, outcome)| outcome)
                .collect();
            assert!(refused(&others) < 0.001, "{}", refused(&others));
        }
    }
}

#[test]
fn callers_on_a_single_instance_are_not_refused_below_the_quota() {
    let mut loads = usual_loads(1_900.0);
    for load in &mut loads {
        let own = load.name.len() + load.quota.rate as usize;
        load.uses_instance = Box::new(move |number| number == own % 75);
    }
    let mut fleet = Fleet::new(Mode::Heads, 75, 6, loads, 2);
    let outcomes = fleet.run_until(15_000);
    assert_bounds(&fleet, &outcomes);
    let shortfall = total_shortfall(&fleet, &outcomes);
    assert!(shortfall < 0.001, "{shortfall}");
}

#[test]
fn the_quota_holds_when_all_instances_restart_at_once() {
    let mut loads = usual_loads(1_900.0);
    for rank in [0, 39, 79] {
        let usual = (loads[rank].rate)(0);
        loads[rank].rate = Box::new(move |_| 7.5 * usual);
    }
    let mut fleet = Fleet::new(Mode::Heads, 75, 6, loads, 3);
    let mut outcomes = fleet.run_until(6_000);
    fleet.restart_all();
    for (outcome, after) in outcomes.iter_mut().zip(fleet.run_until(12_000)) {
        outcome.admitted.extend(after.admitted);
    }
    assert_bounds(&fleet, &outcomes);
}

#[test]
fn the_quota_holds_when_all_instances_restart_at_once_for_many_seeds() {
    for seed in 10..18 {
        let mut loads = usual_loads(1_900.0);
        for rank in [0, 39, 79] {
            let usual = (loads[rank].rate)(0);
            loads[rank].rate = Box::new(move |_| 7.5 * usual);
        }
        let mut fleet = Fleet::new(Mode::Heads, 75, 6, loads, seed);
        let mut outcomes = fleet.run_until(6_000);
        fleet.restart_all();
        for (outcome, after) in outcomes.iter_mut().zip(fleet.run_until(12_000)) {
            outcome.admitted.extend(after.admitted);
        }
        assert_bounds(&fleet, &outcomes);
    }
}

/// Checks the lowered quota in windows that start at least two seconds after the change.
#[test]
fn a_lowered_quota_holds_in_each_window_that_starts_two_seconds_later() {
    for rank in [1, 20, 80] {
        let mut fleet = Fleet::new(Mode::Heads, 75, 6, usual_loads(1_900.0), 4);
        fleet.run_until(6_000);
        let lowered = (fleet.loads[rank - 1].quota.rate / 5.0).max(1.0);
        fleet.set_quota(rank - 1, lowered);
        fleet.run_until(8_000);
        let outcomes = fleet.run_until(20_000);
        assert_bounds(&fleet, &outcomes);
    }
}

#[test]
fn killed_heads_cause_no_refusals_below_the_quotas() {
    let mut fleet = Fleet::new(Mode::Heads, 75, 6, usual_loads(1_900.0), 5);
    fleet.run_until(3_000);
    let heads: Vec<usize> = (0..6).map(|hall| fleet.head(&format!("h-{hall}"))).collect();
    for head in &heads {
        fleet.kill(*head);
    }
    let outcomes = fleet.run_until(5_600);
    let shortfall = total_shortfall(&fleet, &outcomes);
    assert!(shortfall < 0.002, "{shortfall}");
    for head in heads {
        fleet.remove_member(head);
    }
    let outcomes = fleet.run_until(12_000);
    assert_bounds(&fleet, &outcomes);
    assert!(refused(&outcomes) < 0.001, "{}", refused(&outcomes));
}

/// Guards against both sides of a partition admitting the whole quota.
#[test]
fn the_quota_holds_while_a_hall_is_cut_off() {
    for is_one_way in [false, true] {
        for rank in [1, 40, 80] {
            let mut fleet = Fleet::new(Mode::Heads, 75, 6, loads_with_surge(rank, 7.5), 6);
            let is_cut_off = |number: usize| number % 6 == 2;
            fleet.drops_message = Box::new(move |from, to, at| {
                let crosses =
                    if is_one_way { is_cut_off(from) && !is_cut_off(to) } else { is_cut_off(from) != is_cut_off(to) };
                crosses && (4_000..16_000).contains(&at)
            });
            let outcomes = fleet.run_until(20_000);
            assert_bounds(&fleet, &outcomes);
        }
    }
}

#[test]
fn the_quota_holds_while_instances_are_cut_off_from_all_others() {
    for rank in [1, 20, 80] {
        let mut fleet = Fleet::new(Mode::Heads, 75, 6, loads_with_surge(rank, 7.5), 7);
        fleet.drops_message =
            Box::new(|from, to, at| from != to && (from % 3 == 0 || to % 3 == 0) && (4_000..16_000).contains(&at));
        let outcomes = fleet.run_until(20_000);
        assert_bounds(&fleet, &outcomes);
    }
}

/// If an answer is lost, the usage in its report is reported again and counts twice. Usage is therefore
/// counted too high, but never too low.
#[test]
fn the_quota_holds_when_lost_answers_make_usage_count_twice() {
    let mut fleet = Fleet::new(Mode::Heads, 75, 6, loads_with_surge(10, 7.5), 8);
    fleet.answer_loss = 0.05;
    let outcomes = fleet.run_until(15_000);
    assert_bounds(&fleet, &outcomes);
}

#[test]
fn traffic_per_instance_stays_bounded_in_larger_fleets() {
    for (instances, halls, total) in [(12, 6, 450.0), (75, 6, 1_900.0), (295, 6, 6_000.0)] {
        let mut fleet = Fleet::new(Mode::Heads, instances, halls, usual_loads(total), 9);
        fleet.run_until(10_000);
        let bytes = fleet.bytes as f64 / 10.0 / instances as f64;
        let messages = fleet.messages as f64 / 10.0 / instances as f64;
        println!("{instances} instances: {bytes:.0} bytes and {messages:.1} messages per second each");
        assert!(bytes < 8_000.0, "{instances}: {bytes}");
    }
}

/// Guards against heads that each grant the whole quota: calls to heads fail at random, so that the callers
/// of these heads skip them for a while, and instances and halls disagree on who is the head.
#[test]
fn the_quota_holds_while_calls_to_heads_fail() {
    for skip_time in [1_000, 1_500] {
        for seed in 0..24 {
            let mut random = StdRng::seed_from_u64(1_000 + seed);
            let loads = vec![Load::new("two", 20.0, |_| 60.0), Load::new("one", 100.0, |_| 60.0)];
            let mut fleet = Fleet::new(Mode::Heads, 5, 3, loads, seed);
            let mut outcomes = fleet.run_until(6_000);
            for until in (6_500..22_000).step_by(500) {
                for _ in 0..random.random_range(0..=2) {
                    let (number, head) = (random.random_range(0..5), random.random_range(0..5));
                    fleet.skip_head(number, head, until - 500 + skip_time);
                }
                for (outcome, after) in outcomes.iter_mut().zip(fleet.run_until(until)) {
                    outcome.admitted.extend(after.admitted);
                }
            }
            assert_bounds(&fleet, &outcomes);
        }
    }
}

/// All registrations are lost at once and restored one by one, six times. Each restored member changes
/// heads, and a new head does not know that its predecessor limited a tenant: its answers do not name
/// the tenant, whose requests are then all admitted until they are reported. With five instances in
/// three halls, a tenant that sends twice its quota had up to 158 requests in 5 s, where 152 are
/// allowed.
#[test]
fn the_quota_holds_while_registrations_are_lost_and_restored() {
    for gap in [50, 150] {
        for seed in 0..20 {
            let loads = vec![Load::new("two", 20.0, |_| 40.0), Load::new("one", 100.0, |_| 60.0)];
            let mut fleet = Fleet::new(Mode::Heads, 5, 3, loads, seed);
            let mut outcomes = fleet.run_until(6_000);
            let mut until = 6_000;
            for round in 0..6 {
                until = lose_and_restore_members(&mut fleet, &mut outcomes, round + seed as usize, gap, until);
                if round % 2 == 0 {
                    fleet.restart((round * 7 + seed as usize + 2) % 5);
                }
            }
            assert_bounds(&fleet, &outcomes);
        }
    }
}

/// Removes all members, and adds them again one by one, one every `gap` milliseconds, starting with the
/// instance `first`. Returns the time up to which the simulation has run.
fn lose_and_restore_members(
    fleet: &mut Fleet,
    outcomes: &mut [Outcome],
    first: usize,
    gap: u64,
    mut until: u64,
) -> u64 {
    let mut run = |fleet: &mut Fleet, until: u64| {
        for (outcome, after) in outcomes.iter_mut().zip(fleet.run_until(until)) {
            outcome.admitted.extend(after.admitted);
        }
    };
    (0..5).for_each(|number| fleet.remove_member(number));
    for number in 0..5 {
        until += gap;
        run(fleet, until);
        fleet.join((first + number) % 5);
    }
    until += 700;
    run(fleet, until);
    until
}
