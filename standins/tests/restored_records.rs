//! Records that a restored store lacks are kept for a grace, within which they can be written again.

mod common;

use common::program;
use standins::scene::{look_route, start_target};
use standins::site::{InstanceProcess, Site};
use standins::target_server::TargetServer;
use standins::wait::{wait_for, wait_until};
use std::time::{Duration, Instant};

/// Time from the restore to the repetition of the lost writes: shorter than the grace (2 s).
const REWRITE_DELAY: Duration = Duration::from_millis(1_500);
/// Time from the first era to the second restore: within the grace of 2 s.
const SECOND_RESTORE: Duration = Duration::from_millis(1_200);
/// Time from the restore by which records that were not written again are removed.
const REMOVAL_BOUND: Duration = Duration::from_millis(3_500);

/// Two instances, of which the second follows the first as its relay, and a target; a second target,
/// a third instance and an evacuation that the snapshot lacks.
struct Scene {
    site: Site,
    relay: InstanceProcess,
    follower: InstanceProcess,
    _third_instance: InstanceProcess,
    targets: [TargetServer; 2],
}

impl Scene {
    /// Starts all processes, and restores the store from a snapshot that lacks the last records.
    async fn restored() -> Self {
        let site = Site::start(program()).await;
        site.configure(1, &[look_route()], &["shop"]);
        let first = start_target(&site, "u-1", "b-1").await;
        let relay = site.ready_instance("e-1", "a-1").await;
        let follower = site.ready_instance("e-2", "a-1").await;
        wait_for("both members", async || follower.status().await["members"] == 2).await;
        let snapshot = site.store.snapshot();
        let second = start_target(&site, "u-2", "a-1").await;
        let third_instance = site.ready_instance("e-3", "a-2").await;
        site.store.put("op/evacuate/b-1", "{}");
        let scene = Self { site, relay, follower, _third_instance: third_instance, targets: [first, second] };
        wait_for("all records", async || scene.has_all_records().await).await;
        scene.site.store.restore(snapshot);
        scene
    }

    fn instances(&self) -> [&InstanceProcess; 2] {
        [&self.relay, &self.follower]
    }

    /// Whether both instances have three members, two targets and the evacuated hall.
    async fn has_all_records(&self) -> bool {
        for instance in self.instances() {
            let status = instance.status().await;
            if status["members"] != 3 || status["targets"] != 2 || status["evacuated"][0] != "b-1" {
                return false;
            }
        }
        true
    }

    async fn wait_era(&self) {
        for instance in self.instances() {
            wait_for("the view of the restored store", async || instance.status().await["store_era"] == 2).await;
        }
    }

    /// Writes the lost registration and the lost evacuation again, unchanged.
    fn repeat_lost_writes(&self) {
        self.site.register(&self.targets[1], "shop", "a-1");
        self.site.store.put("op/evacuate/b-1", "{}");
    }
}

/// Guards against a gap between the restore and the time at which lost records are written again.
#[tokio::test(flavor = "multi_thread")]
async fn members_targets_and_evacuations_that_a_restored_store_lacks_are_kept_until_written_again() {
    let scene = Scene::restored().await;
    let restored = Instant::now();
    let mut is_rewritten = false;
    while restored.elapsed() < REMOVAL_BOUND + REWRITE_DELAY {
        if !is_rewritten && restored.elapsed() > REWRITE_DELAY {
            scene.repeat_lost_writes();
            is_rewritten = true;
        }
        assert!(scene.has_all_records().await, "dropped after {:?}: {}", restored.elapsed(), scene.relay.log());
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    scene.wait_era().await;
}

/// Guards against keeping lost records for good, and against rejecting the unchanged registration as
/// late once its target was removed.
#[tokio::test(flavor = "multi_thread")]
async fn records_that_are_not_written_again_after_a_restore_are_removed() {
    let scene = Scene::restored().await;
    let restored = Instant::now();
    scene.wait_era().await;
    for instance in scene.instances() {
        let has_removed_records = async || {
            let status = instance.status().await;
            status["targets"] == 1 && status["evacuated"].as_array().is_some_and(Vec::is_empty)
        };
        wait_for("the removal of the lost records", has_removed_records).await;
    }
    assert!(restored.elapsed() < REMOVAL_BOUND, "removed after {:?}", restored.elapsed());
    // The registration is accepted although its sequence number is unchanged.
    scene.repeat_lost_writes();
    wait_until("the registration", || scene.relay.events("target").last().is_some_and(|line| line["state"] == "ready"))
        .await;
    wait_for("all records", async || scene.has_all_records().await).await;
}

/// Guards against dropping lost records at the end of the first grace if the store is restored again
/// within it.
#[tokio::test(flavor = "multi_thread")]
async fn records_missing_after_two_restores_are_kept_until_written_again() {
    let scene = Scene::restored().await;
    scene.wait_era().await;
    let observed = Instant::now();
    let (mut snapshot, mut is_rewritten) = (Some(scene.site.store.snapshot()), false);
    while observed.elapsed() < REMOVAL_BOUND + REWRITE_DELAY {
        if observed.elapsed() > SECOND_RESTORE
            && let Some(snapshot) = snapshot.take()
        {
            scene.site.store.restore(snapshot);
            // Ends the watches, so that the era is observed at once.
            scene.site.store.put("other/file", "1");
        }
        if !is_rewritten && observed.elapsed() > SECOND_RESTORE + REWRITE_DELAY {
            scene.repeat_lost_writes();
            is_rewritten = true;
        }
        assert!(scene.has_all_records().await, "dropped after {:?}: {}", observed.elapsed(), scene.relay.log());
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}
