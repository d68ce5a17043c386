//! The choice of a target, compared with a naive implementation that looks at every policy and
//! every target by name.

mod naive;
mod policy_scene;
mod scene;

use naive::Naive;
use naive::spec::spec;
use policy_scene::{apply_policies, decide, hall_of};
use proptest::prelude::*;
use scene::Scene;

/// The targets in their order for an affinity key alone, found by excluding them one after the other in
/// a scene without policies.
fn affinity_order(scene: &Scene, affinity: u64) -> Vec<usize> {
    let (mut tried, mut order) = (Vec::new(), Vec::new());
    while let Ok(target) = scene.choose(affinity, &tried) {
        tried.push(target.key);
        order.push(target.id[1..].parse().unwrap());
    }
    order
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 1_000, ..ProptestConfig::default() })]

    /// Whatever the policies, each request goes where the naive implementation sends it, and is
    /// refused where that refuses it.
    #[test]
    fn the_choice_agrees_with_a_naive_one(spec in spec()) {
        let without_policies = Scene::new();
        let mut scene = Scene::new();
        for (number, is_draining) in spec.draining.iter().enumerate() {
            if *is_draining {
                scene.put(&format!("t{number}"), &format!("{} 4 draining 2 0", hall_of(number)));
            }
        }
        apply_policies(&mut scene, &spec.toml());
        let mut naive = Naive::new(&spec);
        for (affinity, tier) in &spec.requests {
            let expected = naive.decide(&affinity_order(&without_policies, *affinity), *tier);
            prop_assert_eq!(decide(&scene, *affinity, *tier), expected, "affinity {}, {}", affinity, spec.toml());
        }
    }
}
