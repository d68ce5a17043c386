//! A store whose revisions go back without a later era: one that was restored from a snapshot and does not
//! say so, and one that named a position which it has not reached.

mod common;

use common::program;
use standins::change_scene::ChangeScene;
use standins::http::get;
use standins::wait::wait_for;
use std::time::Duration;

/// Changes that are lost in a restore.
const LOST_CHANGES: usize = 30;
/// Calls that the instances make at most while their views are behind; far above those of one list and a
/// watch each.
const MAX_CALLS: u64 = 100;
/// Time in which instances tell each other of an era, longer than the interval of their questions.
const SPREAD_TIME: Duration = Duration::from_secs(2);

/// Writes changes that a snapshot lacks, and waits until every instance has them.
async fn write_lost_changes(scene: &ChangeScene) {
    let last = (0..LOST_CHANGES).map(|number| scene.site.store.put("other/file", format!("{number}"))).last();
    for instance in &scene.instances {
        let has_arrived = async || instance.status().await["view_revision"].as_u64() >= last;
        wait_for("the last change", has_arrived).await;
    }
}

/// Starts a fleet whose store reports the era `era` throughout, restores it, and makes the changes.
async fn assert_changes_after_restore(era: Option<&'static str>, waits_for_later: bool) {
    let mut scene = ChangeScene::deploy(program()).await;
    scene.site.store.set_era_header(era);
    scene.site.store.set_waits_for_later(waits_for_later);
    scene.start_instances().await;
    let snapshot = scene.site.store.snapshot();
    write_lost_changes(&scene).await;
    let calls = scene.site.store.calls("kv-range") + scene.site.store.calls("kv-watch");
    scene.site.store.restore_unmarked(snapshot);
    let outdated = scene.outdated_after_change().await;
    let calls = scene.site.store.calls("kv-range") + scene.site.store.calls("kv-watch") - calls;
    assert_eq!(outdated, [], "{calls} calls; {}", scene.logs());
    assert!(calls < MAX_CALLS, "{calls} calls; {}", scene.logs());
}

#[tokio::test(flavor = "multi_thread")]
async fn changes_after_a_restore_that_reports_no_era_take_effect() {
    assert_changes_after_restore(None, false).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn changes_after_a_restore_in_the_same_era_take_effect() {
    assert_changes_after_restore(Some("1"), true).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn changes_after_a_restore_with_an_unreadable_era_take_effect() {
    assert_changes_after_restore(Some("later"), true).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn changes_after_an_era_went_back_take_effect() {
    let mut scene = ChangeScene::deploy(program()).await;
    scene.site.store.set_era_header(Some("9"));
    scene.start_instances().await;
    scene.site.store.set_era_header(Some("1"));
    assert_eq!(scene.outdated_after_change().await, [], "{}", scene.logs());
}

#[tokio::test(flavor = "multi_thread")]
async fn changes_take_effect_whatever_era_a_peer_names() {
    let scene = ChangeScene::start(program()).await;
    for rewinds in [0, 1 << 16, u32::MAX] {
        let path = format!("/changes?after=0&wait_ms=0&latest_era={}&latest_rewinds={rewinds}", u64::MAX);
        assert_eq!(get(scene.instances[0].peers, &path).await.unwrap().status, 200);
        tokio::time::sleep(SPREAD_TIME).await;
    }
    assert_eq!(scene.outdated_after_change().await, [], "{}", scene.logs());
    let has_unreadable = scene.instances.iter().any(|instance| instance.log().contains("unreadable"));
    assert!(!has_unreadable, "{}", scene.logs());
}

#[tokio::test(flavor = "multi_thread")]
async fn changes_after_a_position_that_the_store_has_not_reached_take_effect() {
    let scene = ChangeScene::start(program()).await;
    scene.site.store.set_claimed_revision(Some(u64::MAX));
    let claimed = scene.site.store.put("other/file", "claimed");
    for instance in &scene.instances {
        let has_arrived = async || instance.status().await["view_revision"].as_u64() > Some(claimed);
        wait_for("the position", has_arrived).await;
    }
    scene.site.store.set_claimed_revision(None);
    assert_eq!(scene.outdated_after_change().await, [], "{}", scene.logs());
}

#[tokio::test(flavor = "multi_thread")]
async fn changes_take_effect_whatever_position_a_peer_names() {
    let scene = ChangeScene::start(program()).await;
    for instance in &scene.instances {
        let path = format!("/changes?after={}&wait_ms=0&era=1&latest_era=1", u64::MAX);
        assert_eq!(get(instance.peers, &path).await.unwrap().status, 200);
    }
    assert_eq!(scene.outdated_after_change().await, [], "{}", scene.logs());
}

#[tokio::test(flavor = "multi_thread")]
async fn changes_of_a_key_with_a_revision_that_the_store_has_not_reached_take_effect() {
    let scene = ChangeScene::start(program()).await;
    let stored = scene.site.store.value("op/config").expect("it was written");
    scene.site.store.put_at("op/config", stored, u64::MAX);
    let last = scene.site.store.put("other/file", "last");
    for instance in &scene.instances {
        let has_arrived = async || instance.status().await["view_revision"].as_u64() >= Some(last);
        wait_for("the last change", has_arrived).await;
    }
    assert_eq!(scene.outdated_after_change().await, [], "{}", scene.logs());
}
