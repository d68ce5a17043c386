//! A target with a limit a little above its usual demand got far more than the limit allows when demand grew at
//! once: each instance went on to send the share of it that fitted the demand before.

mod common;

use common::program;
use standins::fleet::fleet_in;
use standins::site::{InstanceProcess, TestRequest};
use standins::target_server::TargetServer;
use std::time::{Duration, Instant};
use tokio::time::sleep;

const HALLS: [&str; 8] = ["a-1", "a-2", "a-3", "a-4", "b-1", "b-2", "b-3", "b-4"];
/// Window of the operators' bound.
const WINDOW: Duration = Duration::from_secs(4);
/// Requests a second that the limited target takes.
const LIMIT: f64 = 4.5;
/// Time within which each instance has passed the limit on to a caller, and the bound applies.
const SETTLED_AFTER: Duration = Duration::from_secs(8);

/// Sends requests at a rate, a second, to the instances in turn, whether earlier ones are answered or not.
/// Returns the number of 200 responses.
async fn send(instances: &[InstanceProcess], rate: f64, time: Duration) -> usize {
    let count = (rate * time.as_secs_f64()) as usize;
    let mut requests = Vec::new();
    let started = Instant::now();
    for number in 0..count {
        sleep((started + Duration::from_secs_f64(number as f64 / rate)).saturating_duration_since(Instant::now()))
            .await;
        let address = instances[number % instances.len()].callers;
        let request = TestRequest::get("/look/a").affinity(number as u64 * 7 % 60);
        requests.push(tokio::spawn(async move { request.send(address).await }));
    }
    let mut served = 0;
    for request in requests {
        served += usize::from(request.await.unwrap().is_ok_and(|reply| reply.status == 200));
    }
    served
}

/// Maximum number of arrivals in a window.
fn most_in_window(target: &TargetServer, from: Instant) -> usize {
    let mut times: Vec<Instant> = target.arrival_times().into_iter().filter(|at| *at >= from).collect();
    times.sort();
    let within = |first: usize| times[first..].partition_point(|at| *at < times[first] + WINDOW);
    (0..times.len()).map(within).max().unwrap_or(0)
}

fn assert_kept(target: &TargetServer, from: Instant) {
    let most = most_in_window(target, from) as f64;
    let allowed = 1.5 * LIMIT * WINDOW.as_secs_f64() + 5.0;
    assert!(most <= allowed, "{most} in {WINDOW:?} where {allowed} are allowed");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_limit_is_kept_when_callers_come_back_together() {
    let (_site, instances, targets) = fleet_in(program(), &HALLS, 1).await;
    targets[0].state(&[("Server-Limit", &LIMIT.to_string())]);
    send(&instances, 2.0 * LIMIT, SETTLED_AFTER).await;
    let from = Instant::now();
    for _ in 0..2 {
        send(&instances, 0.9 * LIMIT, Duration::from_secs(5)).await;
        send(&instances, 60.0 * LIMIT, Duration::from_secs(2)).await;
    }
    assert_kept(&targets[0], from);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_limit_is_kept_when_the_other_targets_end_together() {
    let (_site, instances, mut targets) = fleet_in(program(), &HALLS, 20).await;
    targets[0].state(&[("Server-Limit", &LIMIT.to_string())]);
    send(&instances, 200.0, SETTLED_AFTER).await;
    let from = Instant::now();
    let others = targets.split_off(1);
    let traffic = send(&instances, 200.0, Duration::from_secs(4));
    let end = async {
        sleep(Duration::from_secs(1)).await;
        for target in others {
            target.stop().await;
        }
    };
    tokio::join!(traffic, end);
    assert_kept(&targets[0], from);
}
