//! Instances whose targets are all busy: nothing that waits there is a sign of lost links.

mod common;

use common::program;
use hyper::StatusCode;
use standins::http::{NoReply, Reply};
use standins::scene::SERVICE;
use standins::site::{InstanceProcess, RouteSpec, Site, TestRequest};
use standins::target_server::{NewConnections, TargetServer};
use std::collections::HashMap;
use std::time::Duration;
use tokio::task::JoinHandle;
use tokio::time::sleep;

/// Halls of the instances, and of the targets in turn.
const HALLS: [&str; 3] = ["a-1", "a-2", "b-1"];
const TARGETS: usize = 4;
const SLOTS: u32 = 6;
const ALL_SLOTS: usize = TARGETS * SLOTS as usize;
/// Several times the time after which probes find out about a silence.
const WORK: Duration = Duration::from_millis(1_600);
const DEADLINE_MS: u64 = 8_000;
/// Waves in a row, which fill all queues.
const WAVES: usize = 20;
/// Time from a wave until an instance is stopped.
const UNTIL_STOP: Duration = Duration::from_millis(200);

struct Fleet {
    _site: Site,
    targets: Vec<TargetServer>,
    instances: Vec<InstanceProcess>,
}

impl Fleet {
    async fn start(new_connections: NewConnections) -> Self {
        let site = Site::start(program()).await;
        let mut targets = Vec::new();
        for number in 0..TARGETS {
            let target = TargetServer::start(&format!("u-{number}"), SLOTS, WORK).await.unwrap();
            site.register(&target, SERVICE, HALLS[number % HALLS.len()]);
            targets.push(target);
        }
        let route = |prefix, kind| RouteSpec { timeout_ms: DEADLINE_MS, ..RouteSpec::new(prefix, kind, SERVICE) };
        site.configure(1, &[route("/look/", "safe"), route("/buy/", "unsafe")], &[SERVICE]);
        let mut instances = Vec::new();
        for (number, hall) in HALLS.iter().enumerate() {
            instances.push(site.ready_instance(&format!("e-{number}"), hall).await);
        }
        let fleet = Self { _site: site, targets, instances };
        // Every instance knows how long the work takes.
        for _ in 0..2 {
            fleet.wave(ALL_SLOTS / 2).assert_served().await;
        }
        fleet.targets.iter().for_each(|target| target.set_new_connections(new_connections));
        fleet
    }

    /// Sends requests to all instances in turn, at once.
    fn wave(&self, count: usize) -> Wave {
        let send = |number: usize| {
            let path = if number.is_multiple_of(4) { "/buy/a" } else { "/look/a" };
            let request = TestRequest { deadline_ms: DEADLINE_MS, ..TestRequest::get(path) };
            // Without an object, all work takes the same time.
            let request = request.affinity("");
            let callers = self.instances[number % self.instances.len()].callers;
            tokio::spawn(async move { (request.clone(), request.send(callers).await) })
        };
        Wave((0..count).map(send).collect())
    }

    /// Checks that no run was cut off, and that every instance took the targets for reached.
    fn assert_undisturbed(&self) {
        let cut: Vec<_> = self.targets.iter().flat_map(TargetServer::runs).filter(|run| run.cut).collect();
        assert!(cut.is_empty(), "{} runs were cut off: {cut:?}", cut.len());
        for instance in &self.instances {
            let turns = instance.events("reach");
            assert!(turns.is_empty(), "{}: {turns:?}", instance.name);
        }
    }
}

/// Requests that were sent at once.
struct Wave(Vec<JoinHandle<(TestRequest, Result<Reply, NoReply>)>>);

impl Wave {
    async fn assert_served(self) {
        for sent in self.0 {
            let (request, reply) = sent.await.unwrap();
            let reply = reply.unwrap_or_else(|error| panic!("{request:?}: {error:?}"));
            assert_eq!(reply.status, StatusCode::OK, "{request:?}: {}", String::from_utf8_lossy(&reply.body));
        }
    }
}

/// Guards against 502s of instances that take themselves for cut off since health checks wait for a slot.
#[tokio::test(flavor = "multi_thread")]
async fn requests_are_served_by_busy_targets_whose_health_checks_wait() {
    let fleet = Fleet::start(NewConnections::Accepted).await;
    for count in [ALL_SLOTS, 2 * ALL_SLOTS] {
        fleet.wave(count).assert_served().await;
    }
    fleet.assert_undisturbed();
}

/// Guards against requests that a planned stop breaks off while busy targets are at work on them.
#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_breaks_off_no_request_at_busy_targets() {
    let mut fleet = Fleet::start(NewConnections::Accepted).await;
    let wave = fleet.wave(ALL_SLOTS + ALL_SLOTS / 2);
    sleep(UNTIL_STOP).await;
    fleet.instances[0].terminate();
    wave.assert_served().await;
    fleet.assert_undisturbed();
    assert!(fleet.instances[0].wait_exit().await.success());
}

/// Guards against requests that are given up at targets which take up new connections only as slots come free.
#[tokio::test(flavor = "multi_thread")]
async fn requests_are_served_by_busy_targets_whose_new_connections_wait() {
    let fleet = Fleet::start(NewConnections::WaitForSlot).await;
    for count in [ALL_SLOTS, 2 * ALL_SLOTS] {
        fleet.wave(count).assert_served().await;
    }
    assert!(fleet.targets.iter().flat_map(TargetServer::runs).all(|run| !run.cut));
}

/// Guards against requests that are given up since targets with a queue reset the connections of others.
#[tokio::test(flavor = "multi_thread")]
async fn requests_under_way_are_served_while_busy_targets_reset_new_connections() {
    let fleet = Fleet::start(NewConnections::ResetBesideQueue).await;
    let mut replies = HashMap::new();
    let first = fleet.wave(2 * ALL_SLOTS);
    sleep(UNTIL_STOP).await;
    // Most of these find no connection; whatever becomes of them, those under way are not given up.
    let second = fleet.wave(ALL_SLOTS);
    for sent in first.0.into_iter().chain(second.0) {
        let (request, reply) = sent.await.unwrap();
        replies.insert(request.id, reply.map(|reply| reply.status));
    }
    let runs: Vec<_> = fleet.targets.iter().flat_map(TargetServer::runs).collect();
    let late: Vec<_> = runs.iter().filter(|run| replies.contains_key(&run.id)).collect();
    assert!(late.len() >= ALL_SLOTS, "{} runs show nothing", late.len());
    for run in late {
        assert!(!run.cut && matches!(replies[&run.id], Ok(StatusCode::OK)), "{run:?}: {:?}", replies[&run.id]);
    }
}

/// Guards against strikes, and in the end a quarantine, of requests that busy targets have reset.
#[tokio::test(flavor = "multi_thread")]
async fn busy_targets_that_reset_new_connections_are_not_taken_for_crashed() {
    let fleet = Fleet::start(NewConnections::ResetBesideQueue).await;
    let mut waves = Vec::new();
    for _ in 0..WAVES {
        waves.push(fleet.wave(ALL_SLOTS));
        sleep(UNTIL_STOP).await;
    }
    for sent in waves.into_iter().flat_map(|wave| wave.0) {
        assert!(sent.await.unwrap().1.is_ok(), "every request is answered");
    }
    for instance in &fleet.instances {
        let strikes = instance.events("strike");
        assert!(strikes.is_empty(), "{}: {strikes:?}", instance.name);
    }
}
