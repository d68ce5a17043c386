//! Quotas over several instances: what targets run of a tenant, whatever instances its callers use.

mod common;

use common::program;
use standins::scene::{Setup, look_route};
use standins::site::{InstanceProcess, Site, TenantSpec, TestRequest};
use standins::target_server::{Misbehaviour, TargetServer};
use standins::wait::wait_for;
use std::time::{Duration, Instant};

const KEY: &str = "key-of-one";
const RATE: f64 = 30.0;

fn tenants(rate: f64) -> Vec<TenantSpec> {
    vec![TenantSpec::new("one", &[KEY]).quota(rate, rate), TenantSpec::new("free", &["key-of-free"])]
}

/// Six instances in three halls, and a target.
async fn fleet() -> (Site, Vec<InstanceProcess>, TargetServer) {
    let setup = Setup { slots: 64, ..Setup::targets(1) };
    let (site, mut targets) = setup.deploy(program()).await;
    site.configure_tenants(2, &[look_route()], &["shop"], &tenants(RATE));
    let mut instances = Vec::new();
    for (number, hall) in ["a-1", "a-1", "a-2", "a-2", "b-1", "b-1"].into_iter().enumerate() {
        let mut instance = site.instance(&format!("e-{number}"), hall);
        instance.start();
        instances.push(instance);
    }
    for instance in &instances {
        instance.wait_ready().await;
    }
    (site, instances, targets.remove(0))
}

/// Sends ten requests a second to each instance for a time; gives the statuses other than 200, and
/// how many there were of all.
async fn load(instances: &[InstanceProcess], time: Duration, key: &'static str) -> (Vec<u16>, usize) {
    let end = Instant::now() + time;
    let callers = instances.iter().map(|instance| instance.callers).map(|address| {
        tokio::spawn(async move {
            let mut statuses = Vec::new();
            while Instant::now() < end {
                let reply = TestRequest::get("/look/a").key(key).send(address).await;
                statuses.push(reply.map_or(0, |reply| reply.status.as_u16()));
                tokio::time::sleep(Duration::from_millis(25)).await;
            }
            statuses
        })
    });
    let mut statuses = Vec::new();
    for caller in callers.collect::<Vec<_>>() {
        statuses.extend(caller.await.expect("no caller panics"));
    }
    let all = statuses.len();
    statuses.retain(|status| *status != 200);
    (statuses, all)
}

/// Most runs in a window of 5 s.
fn most_in_window(target: &TargetServer) -> usize {
    let mut times: Vec<Instant> = target.runs().iter().map(|run| run.at).collect();
    times.sort();
    let window = Duration::from_secs(5);
    let within = |from: usize| times[from..].partition_point(|at| *at < times[from] + window);
    (0..times.len()).map(within).max().unwrap_or(0)
}

fn allowed(rate: f64) -> f64 {
    (5.0 * rate + rate) * 1.1 + 20.0
}

#[tokio::test(flavor = "multi_thread")]
async fn a_tenant_s_requests_through_all_instances_stay_within_its_quota() {
    let (_site, instances, target) = fleet().await;
    let (refused, all) = load(&instances, Duration::from_secs(8), KEY).await;
    assert!(refused.iter().all(|status| *status == 429), "{refused:?}");
    assert!(all > 600, "{all}");
    let most = most_in_window(&target) as f64;
    assert!(most <= allowed(RATE), "{most}");
    assert!(most >= 5.0 * RATE * 0.9, "{most}");
    assert!(target.runs().iter().all(|run| run.tenant.as_deref() == Some("one") && !run.has_key));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_tenant_without_a_quota_is_not_refused() {
    let (_site, instances, _target) = fleet().await;
    let (refused, _) = load(&instances, Duration::from_secs(2), "key-of-free").await;
    assert!(refused.is_empty(), "{refused:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn the_store_is_down_and_an_instance_of_each_hall_dies() {
    let (site, mut instances, target) = fleet().await;
    load(&instances, Duration::from_secs(2), KEY).await;
    site.endpoint.set(standins::store::Trouble::Silent);
    for dead in [0, 2, 4] {
        instances[dead].kill();
    }
    let left: Vec<InstanceProcess> = instances.into_iter().skip(1).step_by(2).collect();
    load(&left, Duration::from_secs(7), KEY).await;
    let most = most_in_window(&target) as f64;
    assert!(most <= allowed(RATE), "{most}");
    assert!(most >= 5.0 * RATE * 0.4, "{most}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_quota_that_is_lowered_holds_after_the_window_in_which_it_was() {
    let (site, instances, target) = fleet().await;
    load(&instances, Duration::from_secs(2), KEY).await;
    site.configure_tenants(3, &[look_route()], &["shop"], &tenants(RATE / 6.0));
    load(&instances, Duration::from_secs(6), KEY).await;
    let lowered = Instant::now();
    load(&instances, Duration::from_secs(6), KEY).await;
    let after = target.runs().iter().filter(|run| run.at > lowered).count() as f64;
    assert!(after <= allowed(RATE / 6.0) + RATE / 6.0, "{after}");
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_that_no_target_ran_use_up_nothing() {
    let (_site, instances, target) = fleet().await;
    target.set(Misbehaviour::Full);
    let (refused, _) = load(&instances[..1], Duration::from_secs(4), KEY).await;
    let over = refused.iter().filter(|status| **status == 429).count();
    assert_eq!(over, 0, "{refused:?}");
    target.set(Misbehaviour::None);
    wait_for("a request that is served", async || {
        let reply = TestRequest::get("/look/a").key(KEY).send(instances[0].callers).await;
        reply.is_ok_and(|reply| reply.status == 200)
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn one_who_is_refused_is_told_when_to_come_back() {
    let (_site, instances, _target) = fleet().await;
    let address = instances[0].callers;
    let reply = loop {
        let reply = TestRequest::get("/look/a").key(KEY).send(address).await.expect("it answers");
        if reply.status != 200 {
            break reply;
        }
    };
    assert_eq!(reply.status, 429);
    let seconds: f64 = reply.header("retry-after").parse().expect("a number of seconds");
    assert!((0.5..=1.5).contains(&seconds), "{seconds}");
}
