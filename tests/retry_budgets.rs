//! Retry budgets of several services: the requests of one pay for no retry of another.

use lockloft::decision::failure::retry::RetryBudgets;
use proptest::prelude::*;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::rc::Rc;

/// Permitted retries for each request, and besides.
const RATIO: f64 = 0.2;
const SLACK: f64 = 20.0;
/// A draw where whole retries are saved, and none is drawn.
const WHOLE: f64 = 0.0;

proptest! {
    /// Whatever fails in whatever order, the instances together stay within the bound of each
    /// service, in any window of requests.
    #[test]
    fn each_service_stays_within_its_own_bound(
        requests in prop::collection::vec((0usize..3, 0usize..4, any::<bool>()), 1..600),
        members in 1usize..4,
    ) {
        let services: [Rc<str>; 3] = ["one".into(), "two".into(), "three".into()];
        let mut instances: Vec<RetryBudgets> =
            (0..members).map(|_| RetryBudgets::new(RATIO, SLACK, members)).collect();
        // What each service has spent beyond what it has earned, at most so far and least so far.
        let mut balance = [0.0f64; 3];
        let mut least = [0.0f64; 3];
        for (service, instance, fails) in requests {
            let budgets = &mut instances[instance % members];
            budgets.earn(&services[service]);
            balance[service] -= RATIO;
            least[service] = least[service].min(balance[service]);
            if fails && budgets.spend(&services[service], WHOLE) {
                balance[service] += 1.0;
            }
            prop_assert!(balance[service] - least[service] <= SLACK, "service {}", service);
        }
    }
}

#[test]
fn a_large_service_pays_for_no_retry_of_a_small_one() {
    let mut budgets = RetryBudgets::new(RATIO, 64.0, 1);
    let (large, small) = (Rc::from("large"), Rc::from("small"));
    (0..1_000).for_each(|_| budgets.earn(&large));
    (0..10).for_each(|_| budgets.earn(&small));
    assert_eq!((0..10).filter(|_| budgets.spend(&small, WHOLE)).count(), 1);
    assert!(budgets.spend(&large, WHOLE));
}

/// Instances, their part of the slack of 64 below a whole retry, and the requests of each.
const LARGE_FLEET: usize = 410;
const REQUESTS_EACH: usize = 20;

/// Retries that a fleet sends at once when every request fails after a calm time.
fn retries_of_a_large_fleet(random: &mut StdRng) -> usize {
    let service: Rc<str> = "one".into();
    let mut retries = 0;
    for _ in 0..LARGE_FLEET {
        let mut budgets = RetryBudgets::new(RATIO, 64.0, LARGE_FLEET);
        (0..REQUESTS_EACH).for_each(|_| budgets.earn(&service));
        retries += usize::from(budgets.spend(&service, random.random()));
        // What was saved is spent, whatever the draw.
        assert!(!budgets.spend(&service, random.random()));
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
