//! A store that answers its operator and the reads of instances, but does not let any of them follow its
//! changes: watches or lists fail at all instances.

mod common;

use common::program;
use standins::change_scene::{APPLY_BOUND, ChangeScene};
use standins::store::{ListFault, WatchFault};
use std::time::Duration;

/// Lists and watches that three instances make at most within the bound: several times those of a store
/// without faults, and few against what a store allows a fleet.
const MAX_CALLS: u64 = 100;
/// Time that a slow store takes for each answer, below the timeout of a call.
const SLOW_ANSWER: Duration = Duration::from_millis(600);
/// Changes that take several seconds to arrive from a slow store, some 500 with each answer.
const BACKLOG: usize = 6_000;
/// Items on a page, so that each list has several.
const PAGE_SIZE: usize = 3;

fn set_faults(scene: &ChangeScene, lists: ListFault, watches: WatchFault) {
    for endpoint in &scene.endpoints {
        endpoint.set_lists(lists);
        endpoint.set_watches(watches);
    }
}

/// Lists, watches and reads so far.
fn calls(scene: &ChangeScene) -> u64 {
    scene.site.store.calls("kv-range") + scene.site.store.calls("kv-watch")
}

/// Starts a fleet, begins the faults and makes the changes; they are in force at each instance within their
/// bound, or it has logged that its view is stale. They are in force once the faults are over.
async fn assert_honest(lists: ListFault, watches: WatchFault) -> ChangeScene {
    let scene = ChangeScene::start(program()).await;
    scene.site.store.set_page_size(PAGE_SIZE);
    set_faults(&scene, lists, watches);
    let before = calls(&scene);
    let outdated = scene.outdated_after_change().await;
    let calls = calls(&scene) - before;
    let has_silent = outdated.iter().any(|instance| !instance.says_stale);
    assert!(!has_silent, "{outdated:?}; {calls} calls; {}", scene.logs());
    assert!(calls < MAX_CALLS, "{outdated:?}; {calls} calls; {}", scene.logs());
    eprintln!("{lists:?} {watches:?}: {outdated:?}; {calls} calls");
    set_faults(&scene, ListFault::None, WatchFault::None);
    tokio::time::sleep(APPLY_BOUND).await;
    assert_eq!(scene.outdated().await, [], "after the faults: {}", scene.logs());
    scene
}

#[tokio::test(flavor = "multi_thread")]
async fn changes_take_effect_while_no_watch_is_answered() {
    let scene = ChangeScene::start(program()).await;
    set_faults(&scene, ListFault::None, WatchFault::Silent);
    assert_eq!(scene.outdated_after_change().await, [], "{}", scene.logs());
}

#[tokio::test(flavor = "multi_thread")]
async fn changes_take_effect_while_all_history_is_compacted_at_once() {
    let scene = ChangeScene::start(program()).await;
    set_faults(&scene, ListFault::None, WatchFault::Gone);
    let before = calls(&scene);
    assert_eq!(scene.outdated_after_change().await, [], "{}", scene.logs());
    let calls = calls(&scene) - before;
    assert!(calls < MAX_CALLS, "{calls} calls; {}", scene.logs());
}

#[tokio::test(flavor = "multi_thread")]
async fn instances_say_that_their_view_is_stale_while_lists_and_watches_are_refused() {
    assert_honest(ListFault::Refused, WatchFault::Refused).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn instances_say_that_their_view_is_stale_while_later_pages_of_lists_are_cut() {
    assert_honest(ListFault::LaterPagesCut, WatchFault::Gone).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_empty_page_that_says_that_more_follow_removes_no_target() {
    let scene = assert_honest(ListFault::EmptyPage, WatchFault::Gone).await;
    for instance in &scene.instances {
        let gone = instance.events("target").into_iter().filter(|line| line["state"] == "gone").count();
        assert_eq!(gone, 0, "{}", instance.log());
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_list_that_never_ends_costs_no_endless_calls() {
    assert_honest(ListFault::SamePage, WatchFault::Gone).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn instances_that_receive_a_backlog_do_not_take_its_parts_for_all_of_it() {
    let scene = ChangeScene::start(program()).await;
    for endpoint in &scene.endpoints {
        endpoint.slow(SLOW_ANSWER);
    }
    for number in 0..BACKLOG {
        scene.site.store.put(&format!("other/{number}"), "changed");
    }
    let outdated = scene.outdated_after_change().await;
    assert!(outdated.iter().all(|instance| instance.says_stale), "{outdated:?}; {}", scene.logs());
}
