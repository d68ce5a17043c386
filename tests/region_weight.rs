//! The weight of the own region, and how many of a region's requests stay there.

mod scene;

use lockloft::decision::selection::region_weight::{LEAST_WEIGHT, weight};
use proptest::prelude::*;
use scene::Scene;
use std::collections::HashMap;
use std::rc::Rc;

/// Targets with these slots in region `a`, and with these in region `b`.
fn scene(near: &[u32], far: &[u32]) -> Scene {
    let halls: HashMap<Rc<str>, Rc<str>> =
        [("a-1", "a"), ("b-1", "b")].map(|(hall, region)| (hall.into(), region.into())).into();
    let mut scene = Scene::with_regions(halls);
    for region in ["a", "b"] {
        scene.put_member(region);
    }
    for (hall, targets) in [("a-1", near), ("b-1", far)] {
        for (number, slots) in targets.iter().enumerate() {
            scene.put(&format!("{hall}-{number}"), &format!("{hall} {slots} ready 1 0"));
        }
    }
    scene
}

/// Share of 4,000 keys whose first target is in region `a`.
fn near_share(scene: &Scene) -> f64 {
    let is_near = |key: &u64| &*scene.choose(*key, &[]).unwrap().region == "a";
    (0..4_000).filter(is_near).count() as f64 / 4_000.0
}

#[test]
fn a_region_with_more_than_its_share_of_the_slots_keeps_nearly_all_of_its_keys() {
    let share = near_share(&scene(&[4, 4, 4], &[4, 4]));
    assert!((0.93..0.97).contains(&share), "{share} stay");
}

#[test]
fn a_region_of_few_slots_keeps_as_many_keys_as_these_bear() {
    // A fifth of the slots for half of the requests: 0.4 of them are borne, which is less
    // than the least weight keeps (0.5).
    let share = near_share(&scene(&[4], &[4, 4, 4, 4]));
    assert!((0.47..0.53).contains(&share), "{share} stay");
    // Half of the slots for half of them: 0.8.
    let share = near_share(&scene(&[4, 4, 4], &[4, 4, 4]));
    assert!((0.78..0.82).contains(&share), "{share} stay");
}

#[test]
fn targets_that_leave_or_are_evacuated_bear_nothing() {
    let mut scene = scene(&[4, 4, 4], &[4, 4, 4]);
    scene.put("a-1-0", "a-1 4 draining 2 0");
    scene.put("a-1-1", "a-1 4 draining 2 0");
    let share = near_share(&scene);
    // A quarter of the slots: half is borne, and the least weight keeps 16 of 28.
    assert!((0.54..0.60).contains(&share), "{share} stay");
    scene.put("evacuation", "evacuated b-1");
    assert!((near_share(&scene) - 1.0).abs() < 1e-9, "only region a has targets");
}

#[test]
fn without_targets_nearby_or_elsewhere_the_weight_is_the_least() {
    for (near, all) in [(0.0, 0.0), (0.0, 8.0), (8.0, 8.0)] {
        assert!((weight(near, all, 3) - LEAST_WEIGHT).abs() < 1e-9, "{near} of {all}");
    }
}

proptest! {
    /// No region is drawn more than its slots bear, but by the least weight; and the weight is
    /// a number that orders targets.
    #[test]
    fn a_weight_draws_what_the_slots_bear(near in 1u32..500, far in 1u32..500, regions in 0usize..12) {
        let (near, far) = (f64::from(near), f64::from(far));
        let all = near + far;
        let weight = weight(near, all, regions);
        prop_assert!(weight.is_finite() && weight >= LEAST_WEIGHT);
        let drawn = weight * near / (weight * near + far);
        let borne = 0.8 * near / all * regions.max(1) as f64;
        prop_assert!(weight == LEAST_WEIGHT || drawn <= borne + 1e-9);
        prop_assert!(weight == LEAST_WEIGHT || drawn <= 0.95 + 1e-9);
    }
}
