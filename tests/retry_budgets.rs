//! Retry budgets of several services: requests to one service add nothing to the budget of another.

use lockloft::decision::failure::retry::RetryBudgets;
use proptest::prelude::*;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::rc::Rc;

/// Permitted retries for each request.
const RATIO: f64 = 0.2;
/// Permitted retries beyond the ratio.
const SLACK: f64 = 20.0;
/// The random number passed to `withdraw` where the maximum balance is at least 1, so that it is not
/// used.
const UNUSED_RANDOM: f64 = 0.0;

proptest! {
    /// In any window of requests the instances together stay within the bound of each service,
    /// whichever requests fail in whichever order.
    #[test]
    fn each_service_stays_within_its_own_bound(
        requests in prop::collection::vec((0usize..3, 0usize..4, any::<bool>()), 1..600),
        members in 1usize..4,
    ) {
        let services: [Rc<str>; 3] = ["one".into(), "two".into(), "three".into()];
        let mut instances: Vec<RetryBudgets> =
            (0..members).map(|_| RetryBudgets::new(RATIO, SLACK, members)).collect();
        // Retries of each service minus what its requests permit, and the lowest value so far.
        let mut excess = [0.0f64; 3];
        let mut lowest = [0.0f64; 3];
        for (service, instance, fails) in requests {
            let budgets = &mut instances[instance % members];
            budgets.deposit(&services[service]);
            excess[service] -= RATIO;
            lowest[service] = lowest[service].min(excess[service]);
            if fails && budgets.withdraw(&services[service], UNUSED_RANDOM) {
                excess[service] += 1.0;
            }
            prop_assert!(excess[service] - lowest[service] <= SLACK, "service {}", service);
        }
    }
}

#[test]
fn requests_to_a_large_service_permit_no_retries_of_a_small_one() {
    let mut budgets = RetryBudgets::new(RATIO, 64.0, 1);
    let (large, small) = (Rc::from("large"), Rc::from("small"));
    (0..1_000).for_each(|_| budgets.deposit(&large));
    (0..10).for_each(|_| budgets.deposit(&small));
    assert_eq!((0..10).filter(|_| budgets.withdraw(&small, UNUSED_RANDOM)).count(), 1);
    assert!(budgets.withdraw(&large, UNUSED_RANDOM));
}

/// Instances; each one's share of the slack of 64 is below a whole retry.
const LARGE_FLEET: usize = 410;
/// Requests that each instance receives before the failures.
const REQUESTS_EACH: usize = 20;

/// Retries that a fleet sends at once when every request begins to fail after a time without failures.
fn retries_of_a_large_fleet(random: &mut StdRng) -> usize {
    let service: Rc<str> = "one".into();
    let mut retries = 0;
    for _ in 0..LARGE_FLEET {
        let mut budgets = RetryBudgets::new(RATIO, 64.0, LARGE_FLEET);
        (0..REQUESTS_EACH).for_each(|_| budgets.deposit(&service));
        retries += usize::from(budgets.withdraw(&service, random.random()));
        // The balance is emptied whatever the random number.
        assert!(!budgets.withdraw(&service, random.random()));
    }
    retries
}

#[test]
fn a_fleet_of_more_instances_than_the_slack_retries_within_it() {
    for seed in 0..500 {
        let retries = retries_of_a_large_fleet(&mut StdRng::seed_from_u64(seed));
        assert!((1..=64).contains(&retries), "{retries} retries, seed {seed}");
    }
}
