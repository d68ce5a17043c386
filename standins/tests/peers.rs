//! Peers: garbage, strangers, and what a stranger may not do.

mod common;

use common::{raw, send, start};
use standins::caller::Send;
use standins::plan::{Plan, SAFE};
use std::time::Duration;

#[tokio::test(flavor = "multi_thread")]
async fn garbage_on_the_peer_port_changes_nothing() {
    let plan = Plan::halls(1, 1, 2).service("timetable", 2, 4, Duration::from_millis(2), SAFE);
    let cluster = start(plan).await;
    let peer = cluster.platform.listed()[0].peer;
    for bytes in [&b"GET / HTTP/1.1\r\n\r\n"[..], &[0xFF; 4_096], &[0; 64], b"\x00\x00\x00\x7f\xff\xff\xff\x7f"] {
        raw(peer, bytes).await;
    }
    let reply = send(cluster.daemons[0].caller, &Send::to("timetable", "after")).await.unwrap();
    assert_eq!(reply.status, 200);
    assert!(cluster.daemons[0].status().await.unwrap().leased);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_no_instance_relayed_is_refused_by_the_relay_front() {
    let plan = Plan::halls(1, 1, 1).service("timetable", 1, 4, Duration::from_millis(2), SAFE);
    let cluster = start(plan).await;
    let log = cluster.daemons[0].log();
    assert!(log.contains("serving"), "{log}");
    let relay = cluster.relay(0);
    let forged = format!(
        "GET /timetable HTTP/1.1\r\nhost: x\r\nlockloft-mode: dispatch\r\nlockloft-service: timetable\r\nlockloft-caller: 10.0.0.1\r\nlockloft-timeout-ms: 1000\r\nlockloft-proof: {}\r\nconnection: close\r\n\r\n",
        "A".repeat(43)
    );
    let answer = raw(relay, forged.as_bytes()).await;
    assert!(answer.starts_with("HTTP/1.1 400"), "{answer}");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_instance_with_another_secret_is_kept_out() {
    let plan = Plan::halls(1, 1, 2).service("timetable", 2, 4, Duration::from_millis(2), SAFE);
    let mut cluster = start(plan).await;
    cluster.daemons[1].kill();
    cluster.daemons[1]
        .edit_settings(|text| text.replace("a secret of the stand-ins", "a secret of somebody else"))
        .unwrap();
    cluster.daemons[1].start().unwrap();
    cluster
        .wait("the refusal of the stranger", |c| {
            Box::pin(async move { c.daemons[1].log().contains("the proof does not match") })
        })
        .await
        .unwrap();
}
