//! Loads of targets that instances share: which loads are sent to whom, and how many more callers get
//! an answer in time when targets are near their capacity.

mod replay;
mod scene;

use lockloft::clock::Instant;
use lockloft::decision::capacity::load::Load as TargetLoadState;
use lockloft::decision::capacity::load_report::LoadReport;
use lockloft::decision::capacity::shared_loads::SharedLoads;
use lockloft::model::usage::{ShortKey, TargetLoad};
use replay::{Load, Outcome, replay};
use std::time::Duration;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn load(target: u8, requests: u32, age: Duration) -> TargetLoad {
    TargetLoad::new(ShortKey([target, 0, 0, 0]), requests, age)
}

/// The targets of a message with their requests, sorted.
fn sorted_loads(loads: Vec<TargetLoad>) -> Vec<(u8, u8)> {
    let mut sorted: Vec<(u8, u8)> = loads.iter().map(|load| (load.target.0[0], load.requests)).collect();
    sorted.sort_unstable();
    sorted
}

#[test]
fn instances_get_the_latest_load_of_each_target() {
    let now = Instant::now();
    let mut shared = SharedLoads::default();
    shared.record(&[load(1, 5, ms(100)), load(2, 1, ms(0))], true, now);
    assert_eq!(sorted_loads(shared.loads_for_instances(now)), [(1, 5), (2, 1)]);
    let next = now + ms(100);
    shared.record(&[load(1, 9, ms(400)), load(2, 4, ms(0))], true, next);
    assert_eq!(sorted_loads(shared.loads_for_instances(next)), [(1, 5), (2, 4)]);
}

#[test]
fn a_snapshot_is_reused_for_100_ms_with_growing_ages() {
    let now = Instant::now();
    let mut shared = SharedLoads::default();
    shared.record(&[load(1, 5, ms(0))], true, now);
    let first = shared.loads_for_instances(now);
    shared.record(&[load(1, 6, ms(0))], true, now + ms(50));
    let second = shared.loads_for_instances(now + ms(50));
    assert_eq!((sorted_loads(first.clone()), sorted_loads(second.clone())), (vec![(1, 5)], vec![(1, 5)]));
    assert!(second[0].age() >= first[0].age() + ms(50));
    assert_eq!(sorted_loads(shared.loads_for_instances(now + ms(100))), [(1, 6)]);
}

#[test]
fn other_halls_get_only_the_own_hall_s_loads() {
    let now = Instant::now();
    let mut shared = SharedLoads::default();
    shared.record(&[load(1, 5, ms(0))], true, now);
    shared.record(&[load(2, 6, ms(0))], false, now);
    assert_eq!(sorted_loads(shared.loads_for_halls(now)), [(1, 5)]);
    assert_eq!(sorted_loads(shared.loads_for_instances(now)), [(1, 5), (2, 6)]);
}

#[test]
fn a_message_contains_the_most_loaded_targets_and_no_expired_load() {
    let now = Instant::now();
    let mut shared = SharedLoads::default();
    let many: Vec<TargetLoad> = (0..200).map(|target| load(target, target.into(), ms(0))).collect();
    shared.record(&many, true, now);
    let selected = sorted_loads(shared.loads_for_instances(now));
    assert_eq!((selected.len(), selected[0]), (128, (72, 72)));
    assert!(shared.loads_for_instances(now + ms(1_100)).is_empty());
}

#[test]
fn an_age_in_a_message_is_never_too_low() {
    for age in [0, 9, 10, 11, 995, 5_000] {
        assert!(load(1, 1, ms(age)).age() >= ms(age.min(2_550)), "{age}");
    }
}

#[test]
fn the_latest_report_counts_whichever_instance_received_it() {
    let now = Instant::now();
    let mut state = TargetLoadState::default();
    state.record_report(LoadReport { running: 3, waiting: 1, slots: 3, slowdown: None }, now);
    assert_eq!(state.take_unshared(), Some((4, now)));
    assert_eq!(state.take_unshared(), None);
    state.record_remote(0, now.checked_sub(ms(50)).unwrap());
    assert_eq!(state.estimate(now), 4.0);
    state.record_remote(9, now + ms(50));
    assert_eq!((state.estimate(now + ms(50)), state.take_unshared()), (9.0, None));
}

/// Replays a load near the capacity of eight targets with four slots each, at a utilization of about
/// 85 %. The cache of each target has room for the keys of which it is the first or the second target.
fn replay_near_capacity(seed: u64, report_delay: Option<Duration>, has_shared_loads: bool) -> Outcome {
    replay(&Load {
        seed,
        instances: 60,
        keys: 60,
        rate: 170.0,
        length: Duration::from_secs(60),
        warm_up: Duration::from_secs(20),
        work: ms(150),
        objective: ms(450),
        cached_keys: 20,
        shed_ratio: 0.0,
        max_queue: 12,
        report_delay,
        has_shared_loads,
    })
}

#[test]
fn more_callers_are_answered_in_time_where_loads_are_shared() {
    let mean = |report_delay, has_shared_loads| {
        let ratios = (0..5).map(|seed| replay_near_capacity(seed, report_delay, has_shared_loads).in_time_ratio());
        ratios.sum::<f64>() / 5.0
    };
    let own = mean(None, false);
    let own_higher = mean(None, true);
    let shared = mean(Some(ms(300)), false);
    let shared_higher = mean(Some(ms(300)), true);
    println!(
        "own {own:.4}, own with higher limits {own_higher:.4}, shared {shared:.4}, with higher limits {shared_higher:.4}"
    );
    assert!(shared_higher > own + 0.005, "{shared_higher} {own}");
    assert!(shared_higher > own_higher, "{shared_higher} {own_higher}");
}
