//! Targets to which no connection comes up, as behind a link that swallows everything.

mod common;
#[path = "common/hanging_address.rs"]
mod hanging_address;

use common::program;
use hanging_address::hanging_address;
use standins::scene::{SERVICE, Scene, Setup, start_target_of};
use standins::site::{RouteSpec, TestRequest};
use standins::target_server::{Registration, TargetServer};
use standins::wait::wait_until;
use std::time::Duration;

/// Less than an instance gives a connection to come up.
const TIMEOUT_MS: u64 = 250;

#[tokio::test(flavor = "multi_thread")]
async fn a_request_whose_time_runs_out_before_a_connection_is_open_is_said_not_to_have_run() {
    let mut routes = ["unsafe", "upload", "safe"].map(|kind| {
        let prefix = format!("/{kind}/");
        RouteSpec { timeout_ms: TIMEOUT_MS, ..RouteSpec::new(&prefix, kind, SERVICE) }
    });
    routes[0].max_attempts = 1;
    let Scene { site, instance, .. } = Setup { routes: routes.to_vec(), ..Setup::targets(0) }.start(program()).await;
    let answering = start_target_of(&site, "u-0", "other", "b-1").await;
    let other = RouteSpec::new("/other/", "safe", "other");
    site.configure(2, &[routes.to_vec(), vec![other]].concat(), &[SERVICE, "other"]);
    instance.wait_status("/other/a", 200).await;
    let (address, _listener, _waiting) = hanging_address();
    let target = TargetServer::start("u-1", 8, Duration::ZERO).await.unwrap();
    site.register_at(&target, address, &Registration::ready(SERVICE, "a-1"));
    wait_until("the registration", || instance.events("target").iter().any(|line| line["id"] == "u-1")).await;
    let callers = instance.callers;
    // Shows the instance that its links work.
    let answered = tokio::spawn(async move {
        loop {
            assert_eq!(TestRequest::get("/other/a").send(callers).await.unwrap().status, 200);
        }
    });
    for path in ["/unsafe/a", "/upload/a", "/safe/a"] {
        for size in [10, 700_000] {
            let reply = TestRequest::post(path, vec![1; size]).send(callers).await.unwrap();
            assert_eq!(reply.status, 503, "{path} with {size} bytes");
        }
    }
    assert!(target.runs().is_empty());
    assert!(instance.events("reach").is_empty());
    answered.abort();
    drop(answering);
}
