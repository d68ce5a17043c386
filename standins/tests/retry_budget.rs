//! The retry budget pays for further tries that are sent, and for no others.

mod common;

use common::program;
use hyper::StatusCode;
use standins::scene::{SERVICE, Scene, Setup, look_route};
use standins::site::{InstanceProcess, RouteSpec, TestRequest};
use standins::target_server::{Misbehaviour, Registration, TargetServer};
use standins::wait::wait_until;
use std::time::Duration;

/// A body that is streamed, and so can be sent once only; bytes.
const STREAMED: usize = 2_000_000;

/// Earns retries: the budget starts empty.
async fn earn(instance: &InstanceProcess) {
    for _ in 0..30 {
        assert_eq!(TestRequest::get("/look/a").send(instance.callers).await.unwrap().status, 200);
    }
}

async fn paid(instance: &InstanceProcess) -> f64 {
    instance.metric("lockloft_entry_retries_total", "").await
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_whose_streamed_body_is_gone_costs_no_retry() {
    let routes = vec![look_route(), RouteSpec::new("/send/", "upload", SERVICE)];
    let scene = Setup { routes, ..Setup::targets(2) }.start(program()).await;
    earn(&scene.instance).await;
    scene.set_all(Misbehaviour::Full);
    let status = TestRequest::post("/send/x", vec![7; STREAMED]).send(scene.instance.callers).await.unwrap().status;
    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
    let arrivals: u64 = scene.targets.iter().map(TargetServer::arrivals).sum();
    assert_eq!(arrivals, 31, "it was sent once");
    assert_eq!(paid(&scene.instance).await, 0.0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_target_that_no_request_can_name_costs_no_retry() {
    let Scene { site, instance, targets } = Setup::targets(1).start(program()).await;
    earn(&instance).await;
    let unnamed = TargetServer::start("u-\u{7}", 8, Duration::ZERO).await.unwrap();
    site.register_as(&unnamed, &Registration::ready(SERVICE, "a-1"));
    wait_until("two targets", || instance.events("target").len() == 2).await;
    targets[0].set(Misbehaviour::Full);
    // An object of the first target is tried there, then at the one that cannot be named.
    for object in 0..40 {
        let _ = TestRequest::get("/look/a").affinity(object).send(instance.callers).await;
    }
    wait_until("a line", || !instance.events("target_id_invalid").is_empty()).await;
    assert!(targets[0].arrivals() > 30, "some were sent");
    assert_eq!(unnamed.arrivals(), 0);
    assert_eq!(paid(&instance).await, 0.0);
}

#[tokio::test(flavor = "multi_thread")]
async fn the_requests_of_one_service_pay_for_no_retry_of_another() {
    let routes = vec![look_route(), RouteSpec::new("/list/", "safe", "lists")];
    let Scene { site, instance, targets: _shop } =
        Setup { routes: routes.clone(), ..Setup::targets(1) }.start(program()).await;
    site.configure(2, &routes, &[SERVICE, "lists"]);
    let mut small = Vec::new();
    for id in ["u-8", "u-9"] {
        let target = TargetServer::start(id, 8, Duration::ZERO).await.unwrap();
        site.register(&target, "lists", "a-1");
        target.set(Misbehaviour::Full);
        small.push(target);
    }
    wait_until("both targets", || instance.events("target").len() == 3).await;
    for _ in 0..5 {
        earn(&instance).await;
    }
    for object in 0..20 {
        let _ = TestRequest::get("/list/a").affinity(object).send(instance.callers).await;
    }
    let arrivals: u64 = small.iter().map(TargetServer::arrivals).sum();
    assert!(arrivals > 20, "some are tried again");
    assert!(arrivals <= 20 + 4, "{arrivals} arrivals of 20 requests, a fifth of which may be tried again");
}
