//! Slow start when the rate or the operators' bound changes while the members stay the same.

mod scene;

use lockloft::decision::capacity::slow_start::SlowStartBounds;
use lockloft::decision::selection::choice::{Query, SlowStartInputs, choose};
use lockloft::model::member::{Capacity, Member};
use scene::{Scene, config_with_rate, route};
use std::time::Duration;

/// The operators' bound at the start of the test.
const BOUNDS: SlowStartBounds = SlowStartBounds { overage: 1.5, slack: 5.0 };

/// A scene with a single target `t0`, in slow start, and one member, which has been unchanged for long
/// enough that the target may be sent requests.
fn slow_start_scene(rate: u32) -> Scene {
    let mut scene = Scene::new();
    scene.remove_all();
    put_rate(&mut scene, 1, rate);
    scene.put("t0", "a-1 4 ready 2 600000");
    let address = "127.0.0.1:1".parse().unwrap();
    let member = Member {
        callers: address,
        peer: address,
        hall: "a-1".to_owned(),
        region: "a".to_owned(),
        isolated: false,
        capacity: Capacity::default(),
    };
    scene.put("e-1", std::str::from_utf8(&member.to_json()).unwrap());
    scene.now += Duration::from_secs(3);
    scene
}

/// Applies a configuration with another slow start rate.
fn put_rate(scene: &mut Scene, version: u64, rate: u32) {
    let mut config = config_with_rate(f64::from(rate));
    config.version = version;
    scene.routing.config = Some(config.into());
}

/// Makes one request every 5 ms for ten seconds; returns how many the target in slow start got.
fn send_for_ten_seconds(scene: &mut Scene, bounds: SlowStartBounds) -> usize {
    let end = scene.now + Duration::from_secs(10);
    let mut sent = 0;
    while scene.now < end {
        let route = route("r", "a", "/");
        let query = Query {
            route: &route,
            tenant: None,
            service: "shop",
            affinity: 7,
            region: "a",
            slow_start: Some(SlowStartInputs { own: "e-1", bounds }),
            has_shared_loads: false,
            matched_policies: None,
            tried: &[],
            now: scene.now,
        };
        if let Ok(chosen) = choose(&scene.routing, &scene.config, &query) {
            chosen.target.begin_request(scene.now);
            sent += 1;
        }
        scene.now += Duration::from_millis(5);
    }
    sent
}

#[test]
fn a_changed_rate_or_bound_applies_at_once_with_unchanged_members() {
    let mut scene = slow_start_scene(4);
    let at_first = send_for_ten_seconds(&mut scene, BOUNDS);
    assert!((36..=40).contains(&at_first), "{at_first} in ten seconds at 4 a second");
    put_rate(&mut scene, 2, 8);
    let faster = send_for_ten_seconds(&mut scene, BOUNDS);
    assert!((72..=80).contains(&faster), "{faster} in ten seconds at 8 a second");
    put_rate(&mut scene, 3, 2);
    let slower = send_for_ten_seconds(&mut scene, BOUNDS);
    assert!((18..=20).contains(&slower), "{slower} in ten seconds at 2 a second");
    // Half the bound, for two views of the members, is now below the rate: one request a second.
    let bounded = send_for_ten_seconds(&mut scene, SlowStartBounds { overage: 1.0, slack: 0.0 });
    assert!((9..=10).contains(&bounded), "{bounded} in ten seconds at 1 a second");
}
