//! The weight of the own region, and the share of a region's requests that stay there.

mod scene;

use lockloft::decision::selection::region_weight::{MIN_WEIGHT, weight};
use proptest::prelude::*;
use scene::Scene;
use std::collections::HashMap;
use std::rc::Rc;

/// Targets with the slots in `own` in region `a`, and with those in `other` in region `b`.
fn scene(own: &[u32], other: &[u32]) -> Scene {
    let halls: HashMap<Rc<str>, Rc<str>> =
        [("a-1", "a"), ("b-1", "b")].map(|(hall, region)| (hall.into(), region.into())).into();
    let mut scene = Scene::with_regions(halls);
    for region in ["a", "b"] {
        scene.put_member(region);
    }
    for (hall, targets) in [("a-1", own), ("b-1", other)] {
        for (number, slots) in targets.iter().enumerate() {
            scene.put(&format!("{hall}-{number}"), &format!("{hall} {slots} ready 1 0"));
        }
    }
    scene
}

/// Share of 4,000 keys whose first target is in region `a`.
fn own_region_share(scene: &Scene) -> f64 {
    let is_in_own_region = |key: &u64| &*scene.choose(*key, &[]).unwrap().region == "a";
    (0..4_000).filter(is_in_own_region).count() as f64 / 4_000.0
}

#[test]
fn a_region_with_more_than_its_share_of_the_slots_keeps_nearly_all_of_its_keys() {
    let share = own_region_share(&scene(&[4, 4, 4], &[4, 4]));
    assert!((0.93..0.97).contains(&share), "{share} stay");
}

#[test]
fn a_region_of_few_slots_keeps_as_many_keys_as_they_can_serve() {
    // A fifth of the slots for half of the requests: they can serve 0.4 of these, which is less than
    // the smallest weight keeps (0.5).
    let share = own_region_share(&scene(&[4], &[4, 4, 4, 4]));
    assert!((0.47..0.53).contains(&share), "{share} stay");
    // Half of the slots for half of the requests: 0.8.
    let share = own_region_share(&scene(&[4, 4, 4], &[4, 4, 4]));
    assert!((0.78..0.82).contains(&share), "{share} stay");
}

#[test]
fn draining_and_evacuated_targets_do_not_count() {
    let mut scene = scene(&[4, 4, 4], &[4, 4, 4]);
    scene.put("a-1-0", "a-1 4 draining 2 0");
    scene.put("a-1-1", "a-1 4 draining 2 0");
    let share = own_region_share(&scene);
    // A quarter of the slots: they can serve half of the requests, and the smallest weight keeps 16 of 28.
    assert!((0.54..0.60).contains(&share), "{share} stay");
    scene.put("evacuation", "evacuated b-1");
    assert!((own_region_share(&scene) - 1.0).abs() < 1e-9, "only region a has usable targets");
}

#[test]
fn the_weight_is_the_smallest_where_the_region_or_all_others_have_no_slots() {
    for (own_slots, all_slots) in [(0.0, 0.0), (0.0, 8.0), (8.0, 8.0)] {
        assert!((weight(own_slots, all_slots, 3) - MIN_WEIGHT).abs() < 1e-9, "{own_slots} of {all_slots}");
    }
}

proptest! {
    /// A region sends its own targets no more than their slots can serve, unless its weight is the
    /// smallest. The weight is finite, so that it can order targets.
    #[test]
    fn a_weight_sends_no_more_than_the_slots_can_serve(own in 1u32..500, other in 1u32..500, regions in 0usize..12) {
        let (own, other) = (f64::from(own), f64::from(other));
        let all = own + other;
        let weight = weight(own, all, regions);
        prop_assert!(weight.is_finite() && weight >= MIN_WEIGHT);
        let sent = weight * own / (weight * own + other);
        let servable = 0.8 * own / all * regions.max(1) as f64;
        prop_assert!(weight == MIN_WEIGHT || sent <= servable + 1e-9);
        prop_assert!(weight == MIN_WEIGHT || sent <= 0.95 + 1e-9);
    }
}
