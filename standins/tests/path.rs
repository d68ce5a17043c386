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
