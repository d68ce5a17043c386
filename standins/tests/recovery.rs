//! Starting, stopping and losing each other, together or twice.

mod common;

use common::{caller, send, start};
use standins::caller::Send;
use standins::key_value::Faults;
use standins::plan::{Plan, SAFE};
use std::sync::atomic::Ordering::Relaxed;
use std::time::Duration;

fn plan() -> Plan {
    Plan::halls(2, 1, 2).service("timetable", 2, 4, Duration::from_millis(2), SAFE)
}

#[tokio::test(flavor = "multi_thread")]
async fn a_replaced_instance_serves_while_the_platform_is_down() {
    let mut plan = plan();
    plan.seeds = true;
    let mut cluster = start(plan).await;
    cluster.platform.set(Faults { down: true, ..Faults::default() });
    cluster.daemons[0].kill();
    // Also when the sibling has no lease to lend from any more.
    cluster
        .wait("the lapse of the sibling's lease", |c| {
            Box::pin(async move { c.daemons[1].status().await.is_some_and(|s| !s.leased) })
        })
        .await
        .unwrap();
    cluster.daemons[0].start().unwrap();
    cluster
        .wait("service by the replaced instance", |c| {
            Box::pin(async move {
                let reply = send(c.daemons[0].caller, &Send::to("timetable", "replaced")).await;
                reply.is_ok_and(|r| r.status == 200)
            })
        })
        .await
        .unwrap();
    let status = cluster.daemons[0].status().await.unwrap();
    assert!(!status.member, "it may not take a share of its own while the record cannot be written");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_instance_cut_off_from_everything_serves_its_own_callers() {
    let cluster = start(plan().wired()).await;
    let all: Vec<_> = cluster.daemons.iter().map(|d| d.ip).collect();
    cluster.net.cut(&all, &all);
    cluster.net.cut(&all, &[cluster.platform_ip()]);
    cluster
        .wait("the lapse of the lease", |c| {
            Box::pin(async move { c.daemons[0].status().await.is_some_and(|s| !s.leased) })
        })
        .await
        .unwrap();
    for daemon in &cluster.daemons {
        let reply = send(daemon.caller, &Send::to("timetable", "cut-off")).await.unwrap();
        assert_eq!(reply.status, 200, "{}", daemon.name);
    }
    cluster.net.heal();
    cluster.ready().await.unwrap();
}

#[tokio::test(flavor = "multi_thread")]
async fn a_paused_instance_finds_itself_lapsed() {
    let cluster = start(plan()).await;
    cluster.daemons[0].pause();
    cluster
        .wait("the removal of the paused instance", |c| {
            Box::pin(async move {
                c.daemons[1].status().await.is_some_and(|s| s.withheld.iter().any(|w| w.name == c.daemons[0].name))
            })
        })
        .await
        .unwrap();
    cluster.daemons[0].resume();
    // It joins again as soon as it sees that it was taken out, and the
    // reserve that was withheld from its earlier stay is released by itself.
    cluster.ready().await.unwrap();
    let status = cluster.daemons[1].status().await.unwrap();
    assert!(status.withheld.is_empty(), "{:?}", status.withheld);
    for target in &cluster.targets {
        assert!(target.seen.peak.load(Relaxed) <= target.slots());
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_second_death_in_a_hall_of_three_is_taken_over_too() {
    let plan = Plan::halls(1, 1, 3).service("timetable", 3, 4, Duration::from_millis(2), SAFE);
    let mut cluster = start(plan).await;
    cluster.daemons[0].kill();
    cluster.daemons[1].kill();
    cluster
        .wait("both removals", |c| {
            Box::pin(async move { c.daemons[2].status().await.is_some_and(|s| s.withheld.len() == 2 && s.leased) })
        })
        .await
        .unwrap();
    let mut caller = caller(&cluster);
    assert_eq!(caller.send(&Send::to("timetable", "survivor")).await.unwrap().status, 200);
    // An operator who knows that one is gone releases its reserve.
    let name = cluster.daemons[0].name.clone();
    let reply =
        standins::cluster::post(&cluster.daemons[2], &format!("/remove?name={name}"), Vec::new()).await.unwrap();
    assert_eq!(reply.status, 200, "{}", String::from_utf8_lossy(&reply.body));
    assert_eq!(cluster.daemons[2].status().await.unwrap().withheld.len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn one_daemon_alone_serves_a_declaration_file() {
    let plan = Plan::halls(1, 1, 1).service("timetable", 1, 4, Duration::from_millis(2), SAFE);
    let mut cluster = standins::cluster::Cluster::prepare(plan, common::program()).await.unwrap();
    let file = cluster.folder().join("world.toml");
    std::fs::write(&file, cluster.declaration()).unwrap();
    let embedded = format!("kind = \"embedded\"\ndeclaration = \"{}\"", file.display());
    cluster.daemons[0]
        .edit_settings(|text| {
            let lines = text.lines().filter(|l| !l.starts_with("address ="));
            lines.map(|l| if l == "kind = \"http\"" { embedded.as_str() } else { l }).collect::<Vec<_>>().join("\n")
        })
        .unwrap();
    cluster.daemons[0].start().unwrap();
    cluster
        .wait("service by the lone daemon", |c| {
            Box::pin(async move {
                let reply = send(c.daemons[0].caller, &Send::to("timetable", "alone")).await;
                reply.is_ok_and(|r| r.status == 200)
            })
        })
        .await
        .unwrap();
}
