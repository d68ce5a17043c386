//! Bad input and bad targets: clear errors, nothing mixed up, memory flat.

mod common;

use bytes::Bytes;
use common::{caller, kind, raw, send, start};
use standins::caller::Send;
use standins::cluster::Cluster;
use standins::http::{Connection, NoReply};
use standins::measure::process::resident;
use standins::plan::{NEVER, Plan, SAFE};
use std::sync::atomic::Ordering::Relaxed;
use std::time::Duration;

async fn one() -> Cluster {
    let plan = Plan::halls(1, 1, 1)
        .service("timetable", 2, 4, Duration::from_millis(2), &format!("{SAFE}body = 1000\n"))
        .service("booking", 2, 4, Duration::from_millis(2), &format!("{NEVER}body = 1000\n"));
    start(plan).await
}

#[tokio::test(flavor = "multi_thread")]
async fn malformed_requests_get_clear_errors() {
    let cluster = one().await;
    let entry = cluster.daemons[0].caller;
    let answer = raw(entry, b"NOT HTTP AT ALL\r\n\r\n").await;
    assert!(answer.starts_with("HTTP/1.1 400"), "{answer:?}");
    let huge = format!("GET /timetable HTTP/1.1\r\nhost: x\r\nx-huge: {}\r\n\r\n", "y".repeat(40_000));
    let answer = raw(entry, huge.as_bytes()).await;
    assert!(answer.starts_with("HTTP/1.1 431"), "{answer:?}");
    let both = b"POST /timetable HTTP/1.1\r\nhost: x\r\ncontent-length: 3\r\ntransfer-encoding: chunked\r\n\r\nabc";
    let answer = raw(entry, both).await;
    assert!(!answer.starts_with("HTTP/1.1 200"), "{answer:?}");
    let reply = send(entry, &Send::to("timetable", "after")).await.unwrap();
    assert_eq!(reply.status, 200, "the entry goes on serving");
}

#[tokio::test(flavor = "multi_thread")]
async fn refusals_name_kind_outcome_and_remedy() {
    let cluster = one().await;
    let entry = cluster.daemons[0].caller;
    let reply = send(entry, &Send::to("nowhere", "x")).await.unwrap();
    assert_eq!((reply.status.as_u16(), kind(&reply).as_str()), (404, "unknown-service"));
    assert_eq!(reply.header("lockloft-outcome"), "not-run");
    assert!(String::from_utf8_lossy(&reply.body).contains("remedy"));
    let large = Send { body: Bytes::from(vec![b'x'; 5_000]), ..Send::to("timetable", "large") };
    let reply = send(entry, &large).await.unwrap();
    assert_eq!((reply.status.as_u16(), kind(&reply).as_str()), (413, "too-large"));
    let foreign = Send { key: Some("of-my-own-making"), ..Send::to("booking", "foreign") };
    let reply = send(entry, &foreign).await.unwrap();
    assert_eq!((reply.status.as_u16(), kind(&reply).as_str()), (400, "foreign-key"));
    let reply = standins::http::get(entry, "/lookup?service=timetable&caller=here").await.unwrap();
    assert_eq!((reply.status.as_u16(), kind(&reply).as_str()), (400, "malformed"));
    let ran: u64 = cluster.targets.iter().map(|t| t.seen.done.load(Relaxed)).sum();
    assert_eq!(ran, 0, "what was refused as not run did not run");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_target_that_breaks_off_makes_a_visible_break() {
    let cluster = one().await;
    cluster.targets.iter().for_each(|t| t.behaviour.breaks.store(true, Relaxed));
    let reply = send(cluster.daemons[0].caller, &Send::to("timetable", "broken")).await;
    match reply {
        Err(error) => assert_eq!(error, NoReply::Broken),
        Ok(reply) => assert_ne!(reply.status, 200, "never short and well-formed"),
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_closing_target_is_unknown_unless_the_request_may_run_twice() {
    let cluster = one().await;
    cluster.targets.iter().for_each(|t| t.behaviour.closes.store(true, Relaxed));
    let reply = send(cluster.daemons[0].caller, &Send::to("booking", "closed")).await.unwrap();
    assert_eq!(reply.header("lockloft-outcome"), "unknown", "{reply:?}");
    let runs = |t: &standins::target::Target| t.seen.runs.lock().unwrap().get("closed").copied().unwrap_or(0);
    assert_eq!(cluster.targets.iter().map(runs).sum::<u32>(), 1, "it was sent once");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_shedding_target_did_not_run_it() {
    let cluster = one().await;
    cluster.targets.iter().for_each(|t| t.behaviour.sheds.store(true, Relaxed));
    let reply = send(cluster.daemons[0].caller, &Send::to("booking", "shed")).await.unwrap();
    assert_eq!(reply.header("lockloft-outcome"), "not-run");
    assert!(!reply.header("retry-after").is_empty());
    assert!(cluster.targets.iter().all(|t| t.seen.runs.lock().unwrap().is_empty()));
}

#[tokio::test(flavor = "multi_thread")]
async fn late_answers_after_cancellation_reach_nobody_else() {
    let cluster = one().await;
    let entry = cluster.daemons[0].caller;
    let slow = |us: u64| cluster.targets.iter().for_each(|t| t.behaviour.service_us.store(us, Relaxed));
    for round in 0..20 {
        slow(60_000);
        let lost = format!("lost-{round}");
        // Gives up before the answer: its connection is dropped.
        let mut connection = Connection::open(entry, None).await.unwrap();
        let gone = connection.send(Send::to("timetable", &lost).request(), Duration::from_millis(10)).await;
        assert!(gone.is_err());
        drop(connection);
        slow(500);
        let run = format!("kept-{round}");
        let reply = send(entry, &Send::to("timetable", &run)).await.unwrap();
        let text = String::from_utf8_lossy(&reply.body).into_owned();
        assert!(text.ends_with(&run), "the answer of another request came: {text}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn answers_out_of_order_reach_their_own_requests() {
    let cluster = one().await;
    let mut tasks = tokio::task::JoinSet::new();
    for i in 0..60 {
        let entry = cluster.daemons[0].caller;
        tasks.spawn(async move {
            let run = format!("mixed-{i}");
            let reply = send(entry, &Send::to("timetable", &run)).await.unwrap();
            reply.status == 200 && String::from_utf8_lossy(&reply.body).ends_with(&run)
        });
        cluster.targets[i % 2].behaviour.service_us.store(500 + (i as u64 % 7) * 3_000, Relaxed);
    }
    while let Some(own) = tasks.join_next().await {
        assert!(own.unwrap());
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_key_runs_once_and_repeats_get_its_answer() {
    let cluster = one().await;
    let mut caller = caller(&cluster);
    let key = caller.look("booking").await.unwrap().key.unwrap();
    let send = Send { key: Some(&key), ..Send::to("booking", "once") };
    let first = caller.send(&send).await.unwrap();
    let second = caller.send(&send).await.unwrap();
    assert_eq!((first.status.as_u16(), second.status.as_u16()), (200, 200));
    assert_eq!(first.body, second.body);
    let other = Send { key: Some(&key), ..Send::to("timetable", "other") };
    assert_eq!(caller.send(&other).await.unwrap().status, 200, "a key means nothing to a service that may repeat");
    let runs = |t: &standins::target::Target| t.seen.runs.lock().unwrap().get("once").copied().unwrap_or(0);
    assert_eq!(cluster.targets.iter().map(runs).sum::<u32>(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn ten_thousand_idle_connections_cost_little() {
    let cluster = one().await;
    let daemon = &cluster.daemons[0];
    let before = resident(daemon.pid().unwrap());
    let mut idle = Vec::new();
    for i in 0..10_000_u32 {
        let source = std::net::Ipv4Addr::new(127, 245, (i / 250) as u8, (i % 250) as u8 + 1);
        idle.push(standins::http::connect(daemon.caller, Some(source.into())).await.unwrap());
    }
    let reply = send(daemon.caller, &Send::to("timetable", "among-idle")).await.unwrap();
    assert_eq!(reply.status, 200);
    let grown = resident(daemon.pid().unwrap()).saturating_sub(before);
    assert!(grown < 200 << 20, "{grown} bytes for idle connections");
}

/// Answers every connection with the start of a chunked answer, then closes.
async fn half_a_chunked_answer(listener: tokio::net::TcpListener) {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    loop {
        let Ok((mut stream, _)) = listener.accept().await else { return };
        let mut head = [0; 4_096];
        let _ = stream.read(&mut head).await;
        let _ = stream.write_all(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n").await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_chunked_answer_that_breaks_off_is_not_made_whole() {
    let plan = Plan::halls(1, 1, 1).service("timetable", 1, 4, Duration::from_millis(2), SAFE);
    let cluster = start(plan).await;
    cluster.targets[0].kill();
    let mut listener = tokio::net::TcpListener::bind(cluster.targets[0].address).await;
    while listener.is_err() {
        tokio::task::yield_now().await;
        listener = tokio::net::TcpListener::bind(cluster.targets[0].address).await;
    }
    let target = tokio::spawn(half_a_chunked_answer(listener.unwrap()));
    let answer =
        raw(cluster.daemons[0].caller, b"GET /timetable HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n").await;
    target.abort();
    assert!(!answer.ends_with("0\r\n\r\n"), "a short answer was closed as if it were whole: {answer:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_repeatable_request_is_tried_at_another_target_of_the_hall() {
    let lines = format!("{SAFE}retry = 1.0\n");
    let plan = Plan::halls(1, 1, 1).service("timetable", 2, 4, Duration::from_millis(2), &lines);
    let cluster = start(plan).await;
    let entry = cluster.daemons[0].caller;
    // A caller stays with its target, so that one is made to fail.
    let first = send(entry, &Send::to("timetable", "first")).await.unwrap();
    let failing = cluster.targets.iter().find(|t| t.name == first.header("x-target")).unwrap();
    failing.behaviour.closes.store(true, Relaxed);
    for i in 0..20 {
        let run = format!("tried-{i}");
        let reply = send(entry, &Send::to("timetable", &run)).await.unwrap();
        assert_eq!(reply.status, 200, "{}", String::from_utf8_lossy(&reply.body));
        assert_ne!(reply.header("x-target"), failing.name);
    }
}
