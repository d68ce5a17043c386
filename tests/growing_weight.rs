//! A weight policy whose weight is increased.

mod policy_scene;
mod scene;

use policy_scene::{Outcome, apply_policies, decide, hall_of};
use proptest::prelude::*;
use scene::Scene;

proptest! {
    #![proptest_config(ProptestConfig { cases: 1_000, ..ProptestConfig::default() })]

    /// A larger weight moves further objects to the policy's targets and keeps those that were there.
    #[test]
    fn a_growing_weight_keeps_its_objects(object in any::<u64>(), small in 0.0f64..0.5, more in 0.0f64..0.5) {
        let is_moved = |weight: f64| {
            let mut scene = Scene::new();
            let text = format!("[[policy]]\nname = \"w\"\nplaces = {{ hall = \"b-2\" }}\nweight = {weight:?}\n");
            let before = decide(&scene, object, None);
            apply_policies(&mut scene, &text);
            let after = decide(&scene, object, None);
            (after != before, matches!(after, Outcome::Chosen(target) if hall_of(target) == "b-2"))
        };
        let ((moved, there), (moved_more, there_more)) = (is_moved(small), is_moved(small + more));
        prop_assert!(!there || there_more, "an object moved back");
        prop_assert!(!moved || there, "an object moved elsewhere");
        prop_assert!(!moved_more || there_more, "an object moved elsewhere");
    }
}
