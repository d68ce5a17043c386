//! A store that is restored from a snapshot: later writes are lost, and revisions and leases are
//! issued again.

mod common;

use common::program;
use standins::scene::{look_route, start_target};
use standins::site::{InstanceProcess, RouteSpec, Site, TestRequest};
use standins::store::{Snapshot, Trouble};
use standins::target_server::{Registration, TargetServer, TargetState};
use standins::wait::{wait_for, wait_until};
use std::time::{Duration, Instant};

/// The operators' shortest bound on the delay of a configuration and of a drain.
const BOUND: Duration = Duration::from_secs(2);
/// Changes that are lost in the restore.
const LOST_CHANGES: usize = 10;

/// A route that configurations have from a version on.
fn route_since(version: u64) -> RouteSpec {
    RouteSpec::new(&format!("/since-{version}/"), "safe", "shop")
}

fn configure(site: &Site, version: u64) {
    let routes: Vec<RouteSpec> = (2..=version).map(route_since).chain([look_route()]).collect();
    site.configure(version, &routes, &["shop"]);
}

/// Two instances in one hall, of which the second follows the first as its relay, one instance in
/// another region, and a target.
struct Fleet {
    site: Site,
    target: TargetServer,
    instances: Vec<InstanceProcess>,
}

impl Fleet {
    async fn start() -> Self {
        let site = Site::start(program()).await;
        configure(&site, 1);
        let target = start_target(&site, "u-1", "a-1").await;
        let mut instances = Vec::new();
        for (name, hall) in [("e-1", "a-1"), ("e-2", "a-1"), ("e-3", "b-1")] {
            instances.push(site.ready_instance(name, hall).await);
        }
        let fleet = Self { site, target, instances };
        for instance in &fleet.instances {
            wait_for("all members", async || instance.status().await["members"] == 3).await;
        }
        fleet
    }

    /// Writes changes that the snapshot lacks, including configuration 2, and waits until every
    /// instance has them.
    async fn write_after_snapshot(&self) {
        let write = |number| self.site.store.put("other/file", format!("{number}"));
        let last = (0..LOST_CHANGES).map(write).last();
        configure(&self.site, 2);
        self.wait_config(2).await;
        for instance in &self.instances {
            let has_arrived = async || instance.status().await["view_revision"].as_u64() > last;
            wait_for("the last change", has_arrived).await;
        }
    }

    async fn wait_config(&self, version: u64) {
        for instance in &self.instances {
            let name = format!("configuration {version} at {}", instance.name);
            wait_for(&name, async || instance.status().await["config"] == version).await;
        }
    }

    fn drain(&self) {
        let drain = Registration { state: TargetState::Draining, sequence: 2, ..Registration::ready("shop", "a-1") };
        self.site.register_as(&self.target, &drain);
    }

    async fn wait_drained(&self) {
        for instance in &self.instances {
            let is_drained = || instance.events("target").iter().any(|line| line["state"] == "draining");
            wait_until(&format!("the drain at {}", instance.name), is_drained).await;
        }
    }

    async fn is_served(&self, path: &str) -> bool {
        let mut is_served = true;
        for instance in &self.instances {
            let reply = TestRequest::get(path).send(instance.callers).await;
            is_served &= reply.is_ok_and(|reply| reply.status == 200);
        }
        is_served
    }
}

/// A fleet, and a snapshot of its store that lacks the last changes.
async fn fleet_and_old_snapshot() -> (Fleet, Snapshot) {
    let fleet = Fleet::start().await;
    let snapshot = fleet.site.store.snapshot();
    fleet.write_after_snapshot().await;
    (fleet, snapshot)
}

#[tokio::test(flavor = "multi_thread")]
async fn a_configuration_and_a_drain_after_a_restore_take_effect_in_time() {
    let (fleet, snapshot) = fleet_and_old_snapshot().await;
    fleet.site.store.restore(snapshot);
    let written = Instant::now();
    configure(&fleet.site, 3);
    fleet.drain();
    fleet.wait_config(3).await;
    fleet.wait_drained().await;
    assert!(written.elapsed() < BOUND, "known after {:?}", written.elapsed());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_change_at_a_reissued_revision_is_not_missed() {
    let (fleet, snapshot) = fleet_and_old_snapshot().await;
    fleet.site.store.restore(snapshot);
    configure(&fleet.site, 3);
    // Pending watches are answered once the store's revision passes theirs.
    for number in 0..3 * LOST_CHANGES {
        fleet.site.store.put("other/file", format!("again {number}"));
    }
    let written = Instant::now();
    fleet.wait_config(3).await;
    assert!(written.elapsed() < BOUND, "known after {:?}", written.elapsed());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_configuration_that_the_snapshot_lacks_stays_in_force() {
    let (fleet, snapshot) = fleet_and_old_snapshot().await;
    fleet.site.store.restore(snapshot);
    for instance in &fleet.instances {
        wait_until("the era", || instance.events("store_era").iter().any(|line| line["era"] == 2)).await;
        wait_for("the view of the restored store", async || instance.status().await["store_era"] == 2).await;
    }
    assert!(fleet.is_served("/since-2/a").await);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_second_restore_right_after_the_first_hides_no_change() {
    let (fleet, first) = fleet_and_old_snapshot().await;
    fleet.site.store.restore(first);
    let second = fleet.site.store.snapshot();
    configure(&fleet.site, 3);
    tokio::time::sleep(Duration::from_millis(300)).await;
    fleet.site.store.restore(second);
    let written = Instant::now();
    configure(&fleet.site, 4);
    fleet.wait_config(4).await;
    assert!(written.elapsed() < BOUND, "known after {:?}", written.elapsed());
}

#[tokio::test(flavor = "multi_thread")]
async fn an_instance_without_a_store_connection_learns_the_era_from_its_peers() {
    let mut fleet = Fleet::start().await;
    let endpoint = fleet.site.store.endpoint().await.unwrap();
    let mut disconnected = fleet.site.instance_at("d-1", "b-2", &endpoint, &[]);
    disconnected.start();
    disconnected.wait_ready().await;
    fleet.instances.push(disconnected);
    let snapshot = fleet.site.store.snapshot();
    fleet.write_after_snapshot().await;
    endpoint.set(Trouble::Silent);
    fleet.site.store.restore(snapshot);
    configure(&fleet.site, 3);
    fleet.wait_config(3).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn changes_take_effect_whatever_era_the_store_reports() {
    let fleet = Fleet::start().await;
    for (version, era) in [(2, None), (3, Some("later")), (4, Some("")), (5, Some("1"))] {
        fleet.site.store.set_era_header(era);
        let written = Instant::now();
        configure(&fleet.site, version);
        fleet.wait_config(version).await;
        assert!(written.elapsed() < BOUND, "with {era:?} known after {:?}", written.elapsed());
    }
}
