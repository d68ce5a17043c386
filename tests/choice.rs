//! The choice of targets: by object, room, warmth and failures.

mod scene;

use lockloft::decision::capacity::load_report::LoadReport;
use lockloft::decision::capacity::slow_start::{SlowStartBounds, own_rate};
use lockloft::decision::selection::affinity::draw;
use lockloft::decision::selection::choice::{NoTarget, Query, SlowStartShare, choose};
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

/// What all members of a view send a cold target in a second.
fn rate_of_view(shared: u32, target: u64, view: &[String]) -> u32 {
    view.iter().map(|own| own_rate(shared, target, own, view.iter().map(String::as_str))).sum()
}

proptest! {
    /// Instances that see two different member lists keep the bound together,
    /// whatever the lists have in common; instances that see the same one use
    /// the rate well.
    #[test]
    fn a_cold_target_s_rate_holds_over_disagreeing_views(
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
        prop_assert!(first >= shared / 2, "{} of {} are used", first, shared);
        prop_assert_eq!(own_rate(shared, target, "not listed", one.iter().map(String::as_str)), 0);
    }
}

proptest! {
    /// A key's first target is the one of the smallest draw, its second that of the smallest
    /// draw for the second place among the others; there is no third.
    #[test]
    fn a_key_s_targets_are_those_that_a_naive_search_finds(
        slots in prop::collection::vec(1u32..9, 8),
        regions in prop::sample::subsequence(vec!["a", "b", "c"], 0..=3),
        key in any::<u64>(),
    ) {
        let mut scene = Scene::new();
        scene.remove_all();
        let mut draws = Vec::new();
        for region in &regions {
            scene.put_member(region);
        }
        for (number, slots) in slots.iter().enumerate() {
            let hall = ["a-1", "a-2", "b-1", "b-2"][number / 2];
            scene.put(&format!("n{number}"), &format!("{hall} {slots} ready 1 0"));
        }
        let near: u32 = slots[..4].iter().sum();
        let all: u32 = slots.iter().sum();
        let weight = weight(f64::from(near), f64::from(all), regions.len());
        for target in scene.routing.targets() {
            let draw_with = |weight| {
                let factor = if &*target.region == "a" { weight } else { 1.0 };
                draw(target.key.hash(), target.slots, factor, key)
            };
            draws.push((draw_with(weight), draw_with(4.0), target.id.clone()));
        }
        draws.sort_by(|one, other| one.0.total_cmp(&other.0));
        draws[1..].sort_by(|one, other| one.1.total_cmp(&other.1));
        let mut held = Vec::new();
        for (_, _, expected) in draws.iter().take(2) {
            let target = scene.choose(key, &[]).unwrap();
            prop_assert_eq!(&target.id, expected);
            held.extend((0..2 * target.slots).map(|_| target.begin(scene.now)));
        }
        let full = matches!(scene.choose(key, &[]), Err(NoTarget::Full(preferred)) if preferred.id == draws[0].2);
        prop_assert!(full, "a third target was chosen");
    }
}

#[test]
fn objects_move_only_from_the_target_that_left() {
    let mut scene = Scene::new();
    let before: Vec<Rc<str>> = (0..500).map(|object| scene.choose(object, &[]).unwrap().id.clone()).collect();
    scene.put("t0", "a-1 4 draining 2 0");
    for (object, had) in before.iter().enumerate() {
        let has = scene.choose(object as u64, &[]).unwrap().id.clone();
        assert!(&**had == "t0" || has == *had, "object {object} moved from {had} to {has}");
        assert_ne!(&*has, "t0");
    }
}

#[test]
fn most_objects_live_in_the_own_region_and_all_targets_have_some() {
    let scene = Scene::new();
    let mut counts: HashMap<Rc<str>, u32> = HashMap::new();
    for object in 0..4_000 {
        *counts.entry(scene.choose(object, &[]).unwrap().id.clone()).or_default() += 1;
    }
    assert_eq!(counts.len(), 8);
    let own: u32 = (0..4).map(|number| counts[format!("t{number}").as_str()]).sum();
    assert!((3_000..3_400).contains(&own), "{own} of 4000 with a weight of 4 to 1");
}

#[test]
fn a_full_target_gives_way_to_the_object_s_second_and_then_to_a_refusal() {
    let scene = Scene::new();
    let first = scene.choose(7, &[]).unwrap();
    let mut held = Vec::new();
    while scene.choose(7, &[]).unwrap().id == first.id {
        held.push(first.begin(scene.now));
        assert!(held.len() <= 8, "more than twice the slots were sent");
    }
    assert_eq!(held.len(), 8);
    let second = scene.choose(7, &[]).unwrap();
    held.extend((0..8).map(|_| second.begin(scene.now)));
    assert!(matches!(scene.choose(7, &[]).unwrap_err(), NoTarget::Full(preferred) if preferred.id == first.id));
    drop(held);
    assert_eq!(scene.choose(7, &[]).unwrap().id, first.id);
}

#[test]
fn a_reported_load_counts_and_fades() {
    let mut scene = Scene::new();
    let first = scene.choose(7, &[]).unwrap();
    first.report(LoadReport { running: 4, waiting: 6, slots: 4, slowdown: None }, scene.now);
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
    let mut held = Vec::new();
    while let Ok(target) = scene.choose_on(&patient, 7, &[]) {
        held.push(target.begin(scene.now));
    }
    assert!(scene.choose_on(&urgent, 7, &[]).is_ok());
}

#[test]
fn cold_evacuated_forbidden_and_tried_targets_are_excluded() {
    let mut scene = Scene::new();
    for number in 0..6 {
        let hall = ["a-1", "a-2", "b-1"][number / 2];
        scene.put(&format!("t{number}"), &format!("{hall} 4 ready 2 3000"));
    }
    for object in 0..50 {
        assert_eq!(&*scene.choose(object, &[]).unwrap().hall, "b-2");
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

/// What `own` sends a cold target in `seconds` of a caller's steady load.
fn sent_while_cold(scene: &mut Scene, own: &str, seconds: u64) -> usize {
    let end = scene.now + Duration::from_secs(seconds);
    let bounds = SlowStartBounds { overage: 1.5, slack: 5.0 };
    let mut sent = 0;
    while scene.now < end {
        let slow_start = Some(SlowStartShare { own, bounds });
        let route = route("r", "a", "/");
        let query = Query {
            route: &route,
            tenant: None,
            service: "shop",
            affinity: 7,
            region: "a",
            slow_start,
            has_shared_loads: false,
            active: None,
            tried: &[],
            now: scene.now,
        };
        if let Ok(chosen) = choose(&scene.routing, &scene.config, &query) {
            chosen.target.begin(scene.now);
            sent += 1;
        }
        scene.now += Duration::from_millis(10);
    }
    sent
}

/// A scene in which only the cold `t0` takes requests, and four members.
fn cold_scene() -> Scene {
    let mut scene = Scene::new();
    scene.put("op", "config 9");
    for number in 0..8 {
        let hall = ["a-1", "a-2", "b-1", "b-2"][number / 2];
        let (state, cold) = if number == 0 { ("ready", 60_000) } else { ("draining", 0) };
        scene.put(&format!("t{number}"), &format!("{hall} 40 {state} 2 {cold}"));
    }
    let here = "127.0.0.1:1".parse().unwrap();
    let member =
        Member { callers: here, peer: here, hall: "a-1".into(), region: "a".into(), capacity: Capacity::default() };
    let value = String::from_utf8(member.to_json().to_vec()).unwrap();
    for name in ["e-1", "e-2", "e-3", "e-4"] {
        scene.put(name, &value);
    }
    scene
}

#[test]
fn a_cold_target_gets_its_rate_once_the_members_are_steady() {
    let mut scene = cold_scene();
    assert_eq!(sent_while_cold(&mut scene, "e-1", 2), 0, "the members have just changed");
    // 9 a second for four: two each, somewhat more than a second apart in all.
    let sent = sent_while_cold(&mut scene, "e-1", 10);
    assert!((18..=20).contains(&sent), "{sent} in ten seconds");
}

#[test]
fn an_instance_that_is_not_listed_sends_a_cold_target_nothing() {
    assert_eq!(sent_while_cold(&mut cold_scene(), "e-9", 6), 0);
}

#[test]
fn a_failing_target_is_ejected_and_tried_with_one_request() {
    let mut scene = Scene::new();
    let first = scene.choose(7, &[]).unwrap();
    for _ in 0..3 {
        first.record_failure(scene.now, scene.now);
    }
    assert_ne!(scene.choose(7, &[]).unwrap().id, first.id);
    scene.now += Duration::from_millis(600);
    assert_eq!(scene.choose(7, &[]).unwrap().id, first.id);
    let trial = first.begin(scene.now);
    assert_ne!(scene.choose(7, &[]).unwrap().id, first.id);
    first.record_success(Duration::from_millis(50), scene.now);
    drop(trial);
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
    assert_ne!(scene.choose(7, &[]).unwrap().id, first.id, "it did not register again");
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
    assert_eq!(rate, Some(9.0), "the version is the same");
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
    assert!(!is_there(&scene), "the last registration was written again");
    scene.now += Duration::from_secs(119);
    scene.put("t0", "a-1 4 ready 4 0");
    assert!(!is_there(&scene), "an older registration was written late");
    scene.put("t0", "a-1 4 ready 6 0");
    assert!(is_there(&scene), "it registered again");
    scene.remove("t0", None);
    scene.now += Duration::from_secs(120);
    scene.put("t0", "a-1 4 ready 1 0");
    assert!(is_there(&scene), "the tombstone is old");
}

#[test]
fn a_target_that_was_draining_is_not_kept_and_none_while_the_store_answers() {
    let mut scene = Scene::new();
    let first = scene.choose(7, &[]).unwrap();
    scene.put(first.id.as_ref(), &format!("{} 4 draining 2 0", first.hall));
    scene.remove(&first.id, Some(scene.now + Duration::from_secs(2)));
    assert!(scene.routing.targets().all(|target| target.id != first.id));
    let second = scene.choose(7, &[]).unwrap();
    scene.remove(&second.id, None);
    assert!(scene.routing.targets().all(|target| target.id != second.id));
}
