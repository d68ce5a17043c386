//! Load limit of second targets, depending on their recent latency.

mod scene;

use lockloft::decision::capacity::second_target::SecondTargetLatency;
use lockloft::decision::registry::target::Target;
use lockloft::decision::selection::choice::NoTarget;
use proptest::prelude::*;
use scene::Scene;
use std::rc::Rc;
use std::time::Duration;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A scene whose targets respond in 100 ms, and whose second targets recently took `second_target_latency`.
fn scene(second_target_latency: Option<Duration>) -> Scene {
    let mut scene = Scene::new();
    for target in scene.routing.targets() {
        scene.routing.observe(target);
        target.record_latency(ms(100), scene.now);
    }
    scene.routing.update_median_latencies();
    for _ in 0..100 {
        second_target_latency
            .into_iter()
            .for_each(|latency| scene.routing.record_second_target_latency("shop", latency));
    }
    scene
}

/// Sends requests for key 7 until none is accepted. Returns the key's first target, and the number of
/// requests that its second target took.
fn fill(scene: &Scene) -> (Rc<Target>, usize) {
    let first = scene.choose(7, &[]).unwrap();
    let mut held = Vec::new();
    let mut at_second = 0;
    while let Ok(target) = scene.choose(7, &[]) {
        at_second += usize::from(target.key != first.key);
        held.push(target.begin_request(scene.now));
        assert!(held.len() < 100, "the load limit was never reached");
    }
    (first, at_second)
}

#[test]
fn a_second_target_has_the_ordinary_limit_if_its_latency_is_unknown_or_low() {
    // The objective is 300 ms; the ordinary limit is two requests for each of four slots.
    assert_eq!(fill(&scene(None)).1, 8);
    assert_eq!(fill(&scene(Some(ms(150)))).1, 8);
}

#[test]
fn a_second_target_has_a_lower_limit_the_higher_the_latency() {
    // The objective leaves 50 ms, half of the median latency: 1.5 requests per slot.
    assert_eq!(fill(&scene(Some(ms(250)))).1, 6);
    // Responses are late even without a queue. A free slot is still used, so that an improvement is
    // measured.
    assert_eq!(fill(&scene(Some(ms(900)))).1, 3);
}

#[test]
fn a_request_without_room_at_either_target_is_refused_as_full_at_its_first() {
    let scene = scene(Some(ms(900)));
    let first = scene.choose(7, &[]).unwrap();
    let second = loop {
        let target = scene.choose(7, &[]).unwrap();
        if target.key != first.key {
            break target;
        }
        std::mem::forget(target.begin_request(scene.now));
    };
    (0..3).for_each(|_| std::mem::forget(second.begin_request(scene.now)));
    assert!(matches!(scene.choose(7, &[]), Err(NoTarget::Full(preferred)) if preferred.key == first.key));
    // Once the request was sent to the first target, the second is preferred and has the ordinary limit.
    assert_eq!(scene.choose(7, &[first.key]).unwrap().key, second.key);
}

proptest! {
    /// The limit is at most that of a first target, and at least what one free slot allows.
    #[test]
    fn the_limit_is_at_least_0_8_and_at_most_that_of_a_first_target(
        latencies in prop::collection::vec(0u64..10_000, 0..50),
        objective in 0u64..5_000,
        median in prop_oneof![Just(f64::INFINITY), Just(0.0), 0.001f64..5.0],
        first_limit in 1.0f64..3.0,
    ) {
        let latency = SecondTargetLatency::default();
        latencies.iter().for_each(|elapsed| latency.record(ms(*elapsed)));
        let limit = latency.max_load(first_limit, ms(objective), median);
        prop_assert!((0.8..=first_limit).contains(&limit));
    }

    /// Recent latencies outweigh earlier ones, so that the limit rises again once second targets are
    /// faster.
    #[test]
    fn the_average_follows_recent_latencies(before in 0u64..10_000, after in 1u64..200) {
        let latency = SecondTargetLatency::default();
        (0..100).for_each(|_| latency.record(ms(before)));
        (0..100).for_each(|_| latency.record(ms(after)));
        let average = latency.average().unwrap();
        prop_assert!((average - after as f64 / 1_000.0).abs() < 0.001);
    }
}
