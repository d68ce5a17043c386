//! Instances that are behind, paused or short of processor time, while their followers and callers rely on
//! them.

mod common;

use common::program;
use standins::change_scene::{APPLY_BOUND, ChangeScene};
use standins::store::{Trouble, WatchFault};
use std::time::Duration;

/// Pauses of each instance.
const PAUSES: usize = 4;
/// Length of a pause, and of the time between two: both shorter than what makes a view stale.
const PAUSE: Duration = Duration::from_millis(600);
/// Lateness that a pause of `APPLY_BOUND` causes at least, milliseconds: it may begin up to one interval
/// before a timer of the instance is due.
const MIN_LATENESS: u64 = 1_500;
/// Threads that keep processors busy.
const BUSY_THREADS: usize = 8;

/// Asserts that changes made now are in force within their bound at all instances that do not say that their
/// view is stale.
async fn assert_honest(scene: &ChangeScene) {
    let outdated = scene.outdated_after_change().await;
    assert!(outdated.iter().all(|instance| instance.says_stale), "{outdated:?}; {}", scene.logs());
}

#[tokio::test(flavor = "multi_thread")]
async fn followers_of_an_instance_that_is_stopped_have_changes_in_time() {
    let scene = ChangeScene::start(program()).await;
    scene.instances[0].signal(libc::SIGSTOP);
    scene.change();
    tokio::time::sleep(APPLY_BOUND).await;
    scene.instances[0].signal(libc::SIGCONT);
    // The stopped instance itself was running for none of the bound.
    let outdated = scene.outdated().await;
    assert!(outdated.iter().all(|instance| instance.name == "e-1"), "{outdated:?}; {}", scene.logs());
    tokio::time::sleep(APPLY_BOUND).await;
    assert_eq!(scene.outdated().await, [], "{}", scene.logs());
    let pauses = scene.instances[0].events("process_late");
    let is_reported = |line: &serde_json::Value| line["late_ms"].as_u64() >= Some(MIN_LATENESS);
    assert!(pauses.iter().any(is_reported), "{}", scene.logs());
    assert!(scene.instances[0].metric("lockloft_entry_late_ms_total", "").await >= MIN_LATENESS as f64);
}

#[tokio::test(flavor = "multi_thread")]
async fn followers_of_an_instance_whose_store_connection_is_silent_have_changes_in_time() {
    for trouble in [Trouble::Silent, Trouble::Busy] {
        let scene = ChangeScene::start(program()).await;
        scene.endpoints[0].set(trouble);
        assert_eq!(scene.outdated_after_change().await, [], "{trouble:?}: {}", scene.logs());
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn followers_of_an_instance_whose_watches_are_silent_have_changes_in_time() {
    let scene = ChangeScene::start(program()).await;
    scene.endpoints[0].set_watches(WatchFault::Silent);
    assert_eq!(scene.outdated_after_change().await, [], "{}", scene.logs());
}

/// Pauses the instances of each group in `groups` at the same time, one group after the other.
async fn pause_in_series(scene: &ChangeScene, groups: &[&[usize]]) {
    for _ in 0..PAUSES {
        for group in groups {
            group.iter().for_each(|index| scene.instances[*index].signal(libc::SIGSTOP));
            tokio::time::sleep(PAUSE).await;
            group.iter().for_each(|index| scene.instances[*index].signal(libc::SIGCONT));
        }
        tokio::time::sleep(PAUSE).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn instances_that_were_paused_in_series_have_changes_in_time() {
    let together: &[&[usize]] = &[&[0, 1, 2]];
    let in_turn: &[&[usize]] = &[&[0], &[1], &[2]];
    for groups in [together, in_turn] {
        let scene = ChangeScene::start(program()).await;
        // One change falls into the pauses; the pauses end within the bound of the second.
        let write = async {
            tokio::time::sleep(PAUSE).await;
            scene.site.store.put("other/file", "during the pauses");
        };
        tokio::join!(pause_in_series(&scene, groups), write);
        assert_honest(&scene).await;
        let calm = scene.instances.iter().all(|instance| instance.events("view_stale").len() <= PAUSES * 3);
        assert!(calm, "{}", scene.logs());
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn changes_take_effect_beside_busy_processes() {
    let scene = ChangeScene::start(program()).await;
    let mut busy: Vec<_> = (0..BUSY_THREADS)
        .map(|_| {
            std::process::Command::new("sh").args(["-c", "while :; do :; done"]).spawn().expect("there is a shell")
        })
        .collect();
    pause_in_series(&scene, &[&[0], &[1, 2]]).await;
    scene.change();
    tokio::time::sleep(APPLY_BOUND).await;
    let outdated = scene.outdated().await;
    for process in &mut busy {
        let _ = process.kill();
        let _ = process.wait();
    }
    assert!(outdated.iter().all(|instance| instance.says_stale), "{outdated:?}; {}", scene.logs());
}
