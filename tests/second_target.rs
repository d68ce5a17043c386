//! What second targets take, by how long they lately took to answer.

mod scene;

use lockloft::decision::capacity::second_target::SecondLatency;
use lockloft::decision::registry::target::Target;
use lockloft::decision::selection::choice::NoTarget;
use proptest::prelude::*;
use scene::Scene;
use std::rc::Rc;
use std::time::Duration;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A scene whose targets answer in 100 ms, and whose second targets lately took `second`.
fn scene(second: Option<Duration>) -> Scene {
    let mut scene = Scene::new();
    for target in scene.routing.targets() {
        target.record_latency(ms(100), scene.now);
    }
    scene.routing.update_median_latencies();
    for _ in 0..100 {
        second.into_iter().for_each(|took| scene.routing.record_second_latency("shop", took));
    }
    scene
}

/// Requests that fill the first target of key 7, and those that the second takes then.
fn fill(scene: &Scene) -> (Rc<Target>, usize) {
    let first = scene.choose(7, &[]).unwrap();
    let mut held = Vec::new();
    let mut at_second = 0;
    while let Ok(target) = scene.choose(7, &[]) {
        at_second += usize::from(target.key != first.key);
        held.push(target.begin_request(scene.now));
        assert!(held.len() < 100, "no limit holds");
    }
    (first, at_second)
}

#[test]
fn a_second_target_takes_as_much_as_a_first_while_nothing_is_known_or_it_answers_soon() {
    // The objective is 300 ms: two requests for each of four slots.
    assert_eq!(fill(&scene(None)).1, 8);
    assert_eq!(fill(&scene(Some(ms(150)))).1, 8);
}

#[test]
fn a_second_target_takes_less_the_longer_second_targets_take() {
    // 50 ms are left of the objective, half of an answer's time: 1.5 requests a slot.
    assert_eq!(fill(&scene(Some(ms(250)))).1, 6);
    // Answers come late whatever waits: a free slot is used, so that it is seen when that ends.
    assert_eq!(fill(&scene(Some(ms(900)))).1, 3);
}

#[test]
fn a_request_that_the_second_target_does_not_take_is_refused_for_its_first() {
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
    // Where its first may not be used, the second is the preferred one and has all its room.
    assert_eq!(scene.choose(7, &[first.key]).unwrap().key, second.key);
}

proptest! {
    /// No more than the first's limit, and never less than a free slot bears.
    #[test]
    fn the_limit_stays_between_a_free_slot_and_the_first_s(
        times in prop::collection::vec(0u64..10_000, 0..50),
        objective in 0u64..5_000,
        median in prop_oneof![Just(f64::INFINITY), Just(0.0), 0.001f64..5.0],
        most in 1.0f64..3.0,
    ) {
        let latency = SecondLatency::default();
        times.iter().for_each(|took| latency.record(ms(*took)));
        let limit = latency.max_load(most, ms(objective), median);
        prop_assert!((0.8..=most).contains(&limit));
    }

    /// Later answers outweigh earlier ones, so that the rule lets go once targets answer soon.
    #[test]
    fn the_average_forgets(before in 0u64..10_000, after in 1u64..200) {
        let latency = SecondLatency::default();
        (0..100).for_each(|_| latency.record(ms(before)));
        (0..100).for_each(|_| latency.record(ms(after)));
        let average = latency.average().unwrap();
        prop_assert!((average - after as f64 / 1_000.0).abs() < 0.001);
    }
}
