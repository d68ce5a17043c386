//! Moves out of the default hall: caps bound their number, and only moves that are made are charged.

mod policy_scene;
mod scene;

use policy_scene::{Outcome, apply_policies, decide, hall_of};
use proptest::prelude::*;
use scene::Scene;

/// Maximum effect of rounding a cap on the number of moves.
const ROUNDING_TOLERANCE: f64 = 1e-3;

proptest! {
    #![proptest_config(ProptestConfig { cases: 1_000, ..ProptestConfig::default() })]

    /// In any window of requests that go through the whole choice of a target, at most the share `cap`
    /// of them, and one more, leave their default hall.
    #[test]
    fn no_window_of_choices_exceeds_the_cap(
        cap in 0.0f64..=1.0,
        objects in prop::collection::vec(any::<u64>(), 1..120),
    ) {
        let mut scene = Scene::new();
        let default_halls: Vec<String> = objects.iter().map(|object| scene.choose(*object, &[]).unwrap().hall.to_string()).collect();
        apply_policies(&mut scene, &format!(
            "[[policy]]\nname = \"c\"\ncap = {cap:?}\n\
             [[policy]]\nname = \"d\"\nplaces = {{ region = \"a\" }}\ndrain = true\n"
        ));
        let moved: Vec<bool> = objects.iter().zip(&default_halls).map(|(object, default_hall)| {
            matches!(decide(&scene, *object, None), Outcome::Chosen(target) if hall_of(target) != default_hall)
        }).collect();
        for from in 0..moved.len() {
            for to in from + 1..=moved.len() {
                let count = moved[from..to].iter().filter(|moved| **moved).count() as f64;
                prop_assert!(count <= cap * (to - from) as f64 + 1.0 + ROUNDING_TOLERANCE);
            }
        }
    }
}

/// Both caps that match a request are charged for its move, or neither: if one refuses the move, the
/// credit of the other is not lost.
#[test]
fn a_refused_move_costs_nothing_of_another_cap() {
    let mut scene = Scene::new();
    let object = (0..).find(|object| &*scene.choose(*object, &[]).unwrap().hall == "a-1").unwrap();
    apply_policies(
        &mut scene,
        "[[service]]\nname = \"shop\"\nheaders = { tier = \"x-tier\" }\n\
         [[policy]]\nname = \"all\"\ncap = 0.5\n\
         [[policy]]\nname = \"none\"\nrequests = { tier = \"x\" }\ncap = 0.0\n\
         [[policy]]\nname = \"z\"\nplaces = { hall = \"a-1\" }\ndrain = true\n",
    );
    for _ in 0..4 {
        assert_eq!(decide(&scene, object, Some("x")), Outcome::Capped);
    }
    assert!(matches!(decide(&scene, object, None), Outcome::Chosen(_)), "a refused move was charged");
}
