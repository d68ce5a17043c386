//! The whole path, as separate processes.

use standins::caller::{Caller, Send};
use standins::cluster::Cluster;
use standins::plan::{NEVER, Plan, SAFE};
use std::net::{IpAddr, Ipv4Addr};
use std::path::Path;
use std::time::Duration;

const PROGRAM: &str = env!("CARGO_BIN_EXE_standins");

#[tokio::test(flavor = "multi_thread")]
async fn a_request_is_served_and_explained() {
    let plan = Plan::halls(2, 1, 1).service("timetable", 2, 4, Duration::from_millis(2), SAFE).service(
        "booking",
        2,
        4,
        Duration::from_millis(2),
        NEVER,
    );
    let cluster = Cluster::start(plan, Path::new(PROGRAM)).await.unwrap();
    let known = vec![cluster.daemons[0].caller];
    let mut caller = Caller::new(IpAddr::V4(Ipv4Addr::new(127, 240, 1, 1)), known);
    let reply = caller.send(&Send::to("timetable", "one")).await.unwrap();
    assert_eq!(reply.status, 200);
    let decision = reply.header("lockloft-decision").to_owned();
    let explained = standins::http::get(cluster.daemons[1].operator, &format!("/explain?decision={decision}")).await;
    let text = String::from_utf8(explained.unwrap().body.to_vec()).unwrap();
    assert!(text.contains(reply.header("x-target")), "{text}");
}

#[tokio::test(flavor = "multi_thread")]
async fn health_and_metrics_are_exposed() {
    let plan = Plan::halls(1, 1, 1).service("timetable", 1, 4, Duration::from_millis(2), SAFE);
    let cluster = Cluster::start(plan, Path::new(PROGRAM)).await.unwrap();
    let operator = cluster.daemons[0].operator;
    for path in ["/healthz", "/readyz"] {
        assert_eq!(standins::http::get(operator, path).await.unwrap().status, 200, "{path}");
    }
    let mut caller = Caller::new(IpAddr::V4(Ipv4Addr::new(127, 240, 1, 1)), vec![cluster.daemons[0].caller]);
    caller.send(&Send::to("timetable", "one")).await.unwrap();
    let reply = standins::http::get(operator, "/metrics").await.unwrap();
    let text = String::from_utf8(reply.body.to_vec()).unwrap();
    for name in [
        "lockloft_requests_total",
        "lockloft_decisions_total",
        "lockloft_request_seconds_bucket",
        "lockloft_platform_calls_total",
        "lockloft_config_revision 1",
        "lockloft_config_age_seconds",
        "lockloft_quota_slots",
        "lockloft_in_flight",
        "lockloft_queued",
    ] {
        assert!(text.contains(name), "{name} is missing");
    }
}
