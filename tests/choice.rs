//! The choice of a target by affinity key, load, slow start and failures.

mod scene;

use lockloft::decision::capacity::load_report::LoadReport;
use lockloft::decision::capacity::slow_start::{SlowStartBounds, member_share};
use lockloft::decision::selection::affinity::{exponential_variate, weighted_score};
use lockloft::decision::selection::choice::{NoTarget, Query, SlowStartInputs, choose};
use lockloft::decision::selection::region_weight::weight;
use lockloft::model::member::{Capacity, Member};
use proptest::prelude::*;
use scene::{Scene, config, route};
use std::collections::{BTreeSet, HashMap};
use std::rc::Rc;
use std::time::Duration;

fn member_names(numbers: &BTreeSet<u8>) -> Vec<String> {
    numbers.iter().map(|number| format!("e-{number}")).collect()
}

/// Requests per second that all members of a view together send to a target in slow start.
fn rate_of_view(shared: u32, target: u64, view: &[String]) -> u32 {
    view.iter().map(|own| member_share(shared, target, own, view.iter().map(String::as_str))).sum()
}

proptest! {
    /// Instances with two different member lists together keep within the bound, whatever the lists
    /// have in common; instances with the same list use at least half of the shared rate.
    #[test]
    fn the_rate_in_slow_start_holds_over_disagreeing_views(
        rate in 0.0f64..60.0,
        overage in 1.0f64..2.0,
        slack in 0.0f64..10.0,
        target in any::<u64>(),
        one in prop::collection::btree_set(any::<u8>(), 1..100),
        other in prop::collection::btree_set(any::<u8>(), 1..100),
    ) {
        let bounds = SlowStartBounds { overage, slack };
        let shared = bounds.shared_rate(rate);
        let (one, other) = (member_names(&one), member_names(&other));
        let (first, second) = (rate_of_view(shared, target, &one), rate_of_view(shared, target, &other));
        prop_assert!(f64::from(first + second) <= rate * overage + slack);
        prop_assert!(f64::from(first) <= rate);
        prop_assert!(first >= shared / 2, "only {} of {} requests are used", first, shared);
        prop_assert_eq!(member_share(shared, target, "not listed", one.iter().map(String::as_str)), 0);
    }
}

proptest! {
    /// The first target of a key is the one with the lowest score, the second the one with the lowest
    /// score for the second place among the others; there is no third.
    #[test]
    fn the_targets_of_a_key_match_a_naive_search(
        slots in prop::collection::vec(1u32..9, 8),
        regions in prop::sample::subsequence(vec!["a", "b", "c"], 0..=3),
        key in any::<u64>(),
    ) {
        let mut scene = Scene::new();
        scene.remove_all();
        let mut scores = Vec::new();
        for region in &regions {
            scene.put_member(region);
        }
        for (number, slots) in slots.iter().enumerate() {
            let hall = ["a-1", "a-2", "b-1", "b-2"][number / 2];
            scene.put(&format!("n{number}"), &format!("{hall} {slots} ready 1 0"));
        }
        let own_slots: u32 = slots[..4].iter().sum();
        let all_slots: u32 = slots.iter().sum();
        let weight = weight(f64::from(own_slots), f64::from(all_slots), regions.len());
        for target in scene.routing.targets() {
            let score_with = |weight| {
                let region_weight = if &*target.region == "a" { weight } else { 1.0 };
                weighted_score(exponential_variate(target.key.hash(), key), target.slots, region_weight)
            };
            scores.push((score_with(weight), score_with(4.0), target.id.clone()));
        }
        scores.sort_by(|one, other| one.0.total_cmp(&other.0));
        scores[1..].sort_by(|one, other| one.1.total_cmp(&other.1));
        let mut in_flight = Vec::new();
        for (_, _, expected) in scores.iter().take(2) {
            let target = scene.choose(key, &[]).unwrap();
            prop_assert_eq!(&target.id, expected);
            in_flight.extend((0..2 * target.slots).map(|_| target.begin_request(scene.now)));
        }
        let is_full = matches!(scene.choose(key, &[]), Err(NoTarget::Full(preferred)) if preferred.id == scores[0].2);
        prop_assert!(is_full, "a third target was chosen");
    }
}

#[test]
fn keys_move_only_from_the_target_that_left() {
    let mut scene = Scene::new();
    let before: Vec<Rc<str>> = (0..500).map(|key| scene.choose(key, &[]).unwrap().id.clone()).collect();
    scene.put("t0", "a-1 4 draining 2 0");
    for (key, previous) in before.iter().enumerate() {
        let current = scene.choose(key as u64, &[]).unwrap().id.clone();
        assert!(&**previous == "t0" || current == *previous, "key {key} moved from {previous} to {current}");
        assert_ne!(&*current, "t0");
    }
}

#[test]
fn most_keys_are_served_in_the_own_region_and_every_target_serves_some() {
    let scene = Scene::new();
    let mut counts: HashMap<Rc<str>, u32> = HashMap::new();
    for key in 0..4_000 {
        *counts.entry(scene.choose(key, &[]).unwrap().id.clone()).or_default() += 1;
    }
    assert_eq!(counts.len(), 8);
    let own: u32 = (0..4).map(|number| counts[format!("t{number}").as_str()]).sum();
    assert!((3_000..3_400).contains(&own), "{own} of 4000 keys in the own region, with a weight of 4 to 1");
}

#[test]
fn a_request_goes_to_the_second_target_if_the_first_is_full_and_is_refused_if_both_are() {
    let scene = Scene::new();
    let first = scene.choose(7, &[]).unwrap();
    let mut in_flight = Vec::new();
    while scene.choose(7, &[]).unwrap().id == first.id {
        in_flight.push(first.begin_request(scene.now));
        assert!(in_flight.len() <= 8, "more than two requests per slot were sent");
    }
    assert_eq!(in_flight.len(), 8);
    let second = scene.choose(7, &[]).unwrap();
    in_flight.extend((0..8).map(|_| second.begin_request(scene.now)));
    assert!(matches!(scene.choose(7, &[]).unwrap_err(), NoTarget::Full(preferred) if preferred.id == first.id));
    drop(in_flight);
    assert_eq!(scene.choose(7, &[]).unwrap().id, first.id);
}

#[test]
fn a_reported_load_counts_until_it_is_too_old() {
    let mut scene = Scene::new();
    let first = scene.choose(7, &[]).unwrap();
    first.record_load_report(LoadReport { running: 4, waiting: 6, slots: 4, slowdown: None }, scene.now);
    assert_ne!(scene.choose(7, &[]).unwrap().id, first.id);
    scene.now += Duration::from_secs(2);
    assert_eq!(scene.choose(7, &[]).unwrap().id, first.id);
}

#[test]
fn less_urgent_requests_are_refused_before_more_urgent_ones() {
    let mut scene = Scene::new();
    let (mut urgent, mut patient) = (route("urgent", "a", "/u/"), route("patient", "a", "/p/"));
    urgent.priority = 1;
    patient.priority = 2;
    scene.config = config(vec![urgent.clone(), patient.clone()]);
    let mut in_flight = Vec::new();
    while let Ok(target) = scene.choose_on(&patient, 7, &[]) {
        in_flight.push(target.begin_request(scene.now));
    }
    assert!(scene.choose_on(&urgent, 7, &[]).is_ok());
}

#[test]
fn targets_that_are_in_slow_start_evacuated_forbidden_or_tried_are_excluded() {
    let mut scene = Scene::new();
    for number in 0..6 {
        let hall = ["a-1", "a-2", "b-1"][number / 2];
        scene.put(&format!("t{number}"), &format!("{hall} 4 ready 2 3000"));
    }
    for key in 0..50 {
        assert_eq!(&*scene.choose(key, &[]).unwrap().hall, "b-2");
    }
    let one = scene.choose(7, &[]).unwrap();
    let other = scene.choose(7, &[one.key]).unwrap();
    assert_ne!(one.id, other.id);
    let mut only_a = route("r", "a", "/");
    only_a.allowed_regions = vec!["a".into()];
    assert!(matches!(scene.choose_on(&only_a, 7, &[]), Err(NoTarget::NoneUsable)));
    scene.put("op", "evacuated b-2");
    assert!(matches!(scene.choose(7, &[]), Err(NoTarget::NoneUsable)));
    scene.now += Duration::from_millis(3_100);
    assert!(scene.choose_on(&only_a, 7, &[]).is_ok());
}

/// Number of requests that `own` sends to a target in slow start in `seconds` under steady load.
fn sent_in_slow_start(scene: &mut Scene, own: &str, seconds: u64) -> usize {
    let end = scene.now + Duration::from_secs(seconds);
    let bounds = SlowStartBounds { overage: 1.5, slack: 5.0 };
    let mut sent = 0;
    while scene.now < end {
        let slow_start = Some(SlowStartInputs { own, bounds });
        let route = route("r", "a", "/");
        let query = Query {
            route: &route,
            tenant: None,
            service: "shop",
            affinity: 7,
            region: "a",
            slow_start,
            has_shared_loads: false,
            matched_policies: None,
            tried: &[],
            now: scene.now,
        };
        if let Ok(chosen) = choose(&scene.routing, &scene.config, &query) {
            chosen.target.begin_request(scene.now);
            sent += 1;
        }
        scene.now += Duration::from_millis(10);
    }
    sent
}

/// A scene with four members in which only `t0` accepts requests, and is in slow start.
fn slow_start_scene() -> Scene {
    let mut scene = Scene::new();
    scene.put("op", "config 9");
    for number in 0..8 {
        let hall = ["a-1", "a-2", "b-1", "b-2"][number / 2];
        let (state, slow_start_ms) = if number == 0 { ("ready", 60_000) } else { ("draining", 0) };
        scene.put(&format!("t{number}"), &format!("{hall} 40 {state} 2 {slow_start_ms}"));
    }
    let address = "127.0.0.1:1".parse().unwrap();
    let member = Member {
        callers: address,
        peer: address,
        hall: "a-1".into(),
        region: "a".into(),
        isolated: false,
        capacity: Capacity::default(),
    };
    let value = String::from_utf8(member.to_json().to_vec()).unwrap();
    for name in ["e-1", "e-2", "e-3", "e-4"] {
        scene.put(name, &value);
    }
    scene
}

#[test]
fn a_target_in_slow_start_gets_its_rate_once_the_members_are_stable() {
    let mut scene = slow_start_scene();
    assert_eq!(sent_in_slow_start(&mut scene, "e-1", 2), 0, "the members have only just changed");
    // Four members share 9 requests per second: two each, spaced over somewhat more than a second.
    let sent = sent_in_slow_start(&mut scene, "e-1", 10);
    assert!((18..=20).contains(&sent), "{sent} requests in ten seconds");
}

#[test]
fn an_instance_that_is_not_listed_sends_a_target_in_slow_start_nothing() {
    assert_eq!(sent_in_slow_start(&mut slow_start_scene(), "e-9", 6), 0);
}

#[test]
fn a_failing_target_is_ejected_and_probed_with_one_request() {
    let mut scene = Scene::new();
    let first = scene.choose(7, &[]).unwrap();
    for _ in 0..3 {
        first.record_failure(scene.now, scene.now);
    }
    assert_ne!(scene.choose(7, &[]).unwrap().id, first.id);
    scene.now += Duration::from_millis(600);
    assert_eq!(scene.choose(7, &[]).unwrap().id, first.id);
    let probe = first.begin_request(scene.now);
    assert_ne!(scene.choose(7, &[]).unwrap().id, first.id);
    first.record_success(Duration::from_millis(50), scene.now);
    drop(probe);
    assert_eq!(scene.choose(7, &[]).unwrap().id, first.id);
}

#[test]
fn a_target_whose_registration_expired_while_the_store_was_unreachable_is_kept_for_the_grace() {
    let mut scene = Scene::new();
    let grace_until = Some(scene.now + Duration::from_secs(2));
    let first = scene.choose(7, &[]).unwrap();
    scene.remove(&first.id, grace_until);
    assert_eq!(scene.choose(7, &[]).unwrap().id, first.id);
    scene.now += Duration::from_millis(1_900);
    assert!(scene.routing.remove_expired(scene.now).is_empty());
    scene.now += Duration::from_millis(200);
    assert_ne!(scene.choose(7, &[]).unwrap().id, first.id, "the grace has ended without a new registration");
    assert_eq!(scene.routing.remove_expired(scene.now).len(), 1);
}

#[test]
fn a_target_in_grace_that_registers_again_stays() {
    let mut scene = Scene::new();
    let first = scene.choose(7, &[]).unwrap();
    scene.remove(&first.id, Some(scene.now + Duration::from_secs(2)));
    scene.put(first.id.as_ref(), &format!("{} 4 ready 2 0", first.hall));
    scene.now += Duration::from_secs(5);
    assert!(scene.routing.remove_expired(scene.now).is_empty());
    assert_eq!(scene.choose(7, &[]).unwrap().id, first.id);
}

#[test]
fn an_earlier_registration_or_configuration_that_arrives_late_changes_nothing() {
    let mut scene = Scene::new();
    scene.put("op", "config 9");
    scene.put("op", "config 5");
    let rate = scene.routing.config.as_ref().map(|config| config.services["shop"].slow_start_rate);
    assert_eq!(rate, Some(9.0), "a configuration of the same version was applied");
    scene.put("t0", "a-1 4 draining 3 0");
    scene.put("t0", "a-1 4 ready 2 0");
    let is_ready = |scene: &Scene| scene.routing.targets().any(|target| &*target.id == "t0" && target.is_ready());
    assert!(!is_ready(&scene));
    scene.put("t0", "a-1 4 ready 4 0");
    assert!(is_ready(&scene));
}

#[test]
fn a_registration_written_late_does_not_add_a_removed_target() {
    let mut scene = Scene::new();
    let is_there = |scene: &Scene| scene.routing.targets().any(|target| &*target.id == "t0");
    scene.put("t0", "a-1 4 ready 5 0");
    scene.remove("t0", None);
    scene.put("t0", "a-1 4 ready 5 0");
    assert!(!is_there(&scene), "the last registration was written a second time and added the target");
    scene.now += Duration::from_secs(119);
    scene.put("t0", "a-1 4 ready 4 0");
    assert!(!is_there(&scene), "an older registration was written late and added the target");
    scene.put("t0", "a-1 4 ready 6 0");
    assert!(is_there(&scene), "a newer registration must add the target");
    scene.remove("t0", None);
    scene.now += Duration::from_secs(120);
    scene.put("t0", "a-1 4 ready 1 0");
    assert!(is_there(&scene), "the tombstone must have expired");
}

#[test]
fn a_removed_target_is_not_kept_if_it_was_draining_or_the_store_responds() {
    let mut scene = Scene::new();
    let first = scene.choose(7, &[]).unwrap();
    scene.put(first.id.as_ref(), &format!("{} 4 draining 2 0", first.hall));
    scene.remove(&first.id, Some(scene.now + Duration::from_secs(2)));
    assert!(scene.routing.targets().all(|target| target.id != first.id));
    let second = scene.choose(7, &[]).unwrap();
    scene.remove(&second.id, None);
    assert!(scene.routing.targets().all(|target| target.id != second.id));
}
