//! Requests that no route covers, and requests before any configuration is known.

mod common;

use common::program;
use standins::http::Reply;
use standins::scene::{Setup, look_route, start_target};
use standins::site::{Site, TestRequest};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// The first answer of an instance that is starting.
async fn first_reply(callers: SocketAddr, path: &str) -> Reply {
    let end = Instant::now() + standins::wait::WAIT_TIMEOUT;
    loop {
        match TestRequest::get(path).send(callers).await {
            Ok(reply) => return reply,
            Err(_) => assert!(Instant::now() < end, "the instance does not listen"),
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_unknown_path_gets_404_and_before_any_configuration_503() {
    let scene = Setup::all_kinds(1).start(program()).await;
    assert_eq!(TestRequest::get("/nowhere/x").send(scene.instance.callers).await.unwrap().status, 404);
    let site = Site::start(program()).await;
    let mut instance = site.instance("e-1", "a-1");
    instance.start();
    let reply = first_reply(instance.callers, "/nowhere/x").await;
    assert_eq!(reply.status, 503);
    assert!(!reply.header("retry-after").is_empty());
    assert!(!instance.is_ready().await);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_comes_before_the_first_configuration_waits_a_moment_for_it() {
    let site = Site::start(program()).await;
    let _target = start_target(&site, "u-1", "a-1").await;
    site.configure(1, &[look_route()], &["shop"]);
    site.endpoint.slow(Duration::from_millis(100));
    let mut instance = site.instance("e-1", "a-1");
    instance.start();
    let reply = first_reply(instance.callers, "/look/a").await;
    assert_eq!(reply.status, 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_waits_as_long_as_a_start_among_many_takes() {
    let site = Site::start(program()).await;
    let _target = start_target(&site, "u-1", "a-1").await;
    site.configure(1, &[look_route()], &["shop"]);
    site.endpoint.slow(Duration::from_millis(400));
    let mut instance = site.instance("e-1", "a-1");
    instance.start();
    let reply = first_reply(instance.callers, "/look/a").await;
    assert_eq!(reply.status, 200);
}
