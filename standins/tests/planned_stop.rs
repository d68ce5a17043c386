//! A planned stop of an instance.

mod common;

use common::program;
use standins::http::raw;
use standins::scene::{SERVICE, Setup};
use standins::site::{HOST, RouteSpec, Site, TestRequest, fresh_id};
use standins::target_server::TargetServer;
use std::time::{Duration, Instant};

async fn site(work: Duration, stop_s: f64) -> (Site, TargetServer) {
    let routes = vec![RouteSpec::new("/buy/", "unsafe", SERVICE)];
    let setup = Setup { slots: 4, work, routes, stop_s: Some(stop_s), ..Setup::targets(1) };
    let (site, mut targets) = setup.deploy(program()).await;
    (site, targets.remove(0))
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_under_way_ends_well_and_its_connection_is_closed() {
    let (site, target) = site(Duration::from_millis(300), 6.0).await;
    let mut instance = site.ready_instance("e-1", "a-1").await;
    let callers = instance.callers;
    let request = tokio::spawn(async move { TestRequest::post("/buy/x", "one").send(callers).await });
    standins::wait::wait_until("the request's arrival", || target.arrivals() == 1).await;
    instance.terminate();
    let reply = request.await.unwrap().unwrap();
    assert_eq!(reply.status, 200);
    assert_eq!(reply.header("connection"), "close");
    assert!(!instance.is_ready().await);
    assert!(instance.wait_exit().await.success());
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_go_on_being_served_after_the_signal_and_none_is_cut_by_the_end() {
    let (site, target) = site(Duration::from_millis(150), 4.0).await;
    let mut instance = site.ready_instance("e-1", "a-1").await;
    instance.terminate();
    let asked = Instant::now();
    let (mut served, mut refused) = (0, 0);
    // A caller that does not heed the directory goes on to the very end.
    while let Ok(reply) = TestRequest::post("/buy/x", "one").send(instance.callers).await {
        match reply.status.as_u16() {
            200 => served += 1,
            503 => refused += 1,
            status => panic!("{status}"),
        }
        if reply.status == 503 {
            assert_eq!(reply.header("connection"), "close");
            assert!(!reply.header("retry-after").is_empty());
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    assert!(served > 0, "nothing was served after the signal");
    assert!(refused > 0, "requests were taken to the very end, after {:?}", asked.elapsed());
    instance.wait_exit().await;
    assert_eq!(target.runs().iter().filter(|run| run.cut).count(), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_ends_in_time_is_served_beyond_half_of_the_stop() {
    let routes = vec![RouteSpec { timeout_ms: 400, ..RouteSpec::new("/buy/", "unsafe", SERVICE) }];
    let setup = Setup { slots: 4, work: Duration::from_millis(50), routes, stop_s: Some(4.0), ..Setup::targets(1) };
    let (site, targets) = setup.deploy(program()).await;
    let mut instance = site.ready_instance("e-1", "a-1").await;
    instance.terminate();
    let asked = Instant::now();
    let mut last_served = Duration::ZERO;
    while let Ok(reply) = TestRequest::post("/buy/x", "one").send(instance.callers).await {
        match reply.status.as_u16() {
            200 => last_served = asked.elapsed(),
            503 => assert_eq!(reply.header("retry-after"), "0", "the other instances take it at once"),
            status => panic!("{status}"),
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    // 4 s less the request's own 0.4 s and the margin of 0.3 s.
    assert!(last_served > Duration::from_millis(2_500), "the last was served {last_served:?} after the signal");
    instance.wait_exit().await;
    assert_eq!(targets[0].runs().iter().filter(|run| run.cut).count(), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_arrives_just_as_an_idle_instance_exits_is_not_cut() {
    let (site, target) = site(Duration::from_millis(150), 6.0).await;
    let mut runs = Vec::new();
    for number in 0..12u64 {
        let mut instance = site.ready_instance(&format!("e-{number}"), "a-1").await;
        runs.push(tokio::spawn(async move {
            instance.terminate();
            let asked = Instant::now();
            tokio::time::sleep(Duration::from_millis(1_200)).await;
            TestRequest::post("/buy/x", "one").send(instance.callers).await.unwrap();
            // A second of quiet is over now; the end comes within 0.1 s.
            tokio::time::sleep_until((asked + Duration::from_millis(2_190 + 10 * number)).into()).await;
            let reply = TestRequest::post("/buy/x", "one").send(instance.callers).await;
            instance.wait_exit().await;
            reply
        }));
    }
    for run in runs {
        if let Ok(reply) = run.await.unwrap() {
            assert!([200, 503].contains(&reply.status.as_u16()), "{reply:?}");
        }
    }
    assert_eq!(target.runs().iter().filter(|run| run.cut).count(), 0);
}

/// Work of which a request that arrives in the first half of a stop of 6 s may not see the end.
const LONG_WORK: Duration = Duration::from_millis(3_000);

/// Guards against requests that are taken in a planned stop, passed on, and cut off at its end.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_whose_work_would_outlast_the_stop_is_refused() {
    let (site, target) = site(LONG_WORK, 6.0).await;
    let mut instance = site.ready_instance("e-1", "a-1").await;
    let request = || TestRequest { deadline_ms: 8_000, ..TestRequest::post("/buy/x", "one") }.affinity("");
    assert_eq!(request().send(instance.callers).await.unwrap().status, 200, "the time that it takes is known");
    instance.terminate();
    let stopped = Instant::now();
    let mut sent = Vec::new();
    while stopped.elapsed() < Duration::from_millis(3_500) {
        let (request, callers) = (request(), instance.callers);
        sent.push(tokio::spawn(async move { (request.send(callers).await, request.id) }));
        tokio::time::sleep(Duration::from_millis(250)).await;
    }
    for sent in sent {
        let (reply, id) = sent.await.unwrap();
        let has_run = target.runs().iter().any(|run| run.id == id);
        let is_answered = reply.is_ok_and(|reply| reply.status == if has_run { 200 } else { 503 });
        assert!(is_answered || !has_run, "{id} ran and got no answer");
    }
    instance.wait_exit().await;
    assert_eq!(target.runs().iter().filter(|run| run.cut).count(), 0);
}

/// Requests on one connection, sent at once; the last closes it.
fn pipelined(ids: &[String]) -> Vec<u8> {
    let last = ids.len() - 1;
    let requests = ids.iter().enumerate().map(|(number, id)| {
        let close = if number == last { "Connection: close\r\n" } else { "" };
        format!(
            "POST /buy/x HTTP/1.1\r\nHost: {HOST}\r\nLockloft-Request-Id: {id}\r\nLockloft-Deadline-Ms: 2500\r\n{close}\
             Content-Length: 3\r\n\r\none"
        )
    });
    requests.collect::<String>().into_bytes()
}

/// Guards against requests behind others on their connection that are passed on late in a stop and cut off.
#[tokio::test(flavor = "multi_thread")]
async fn pipelined_requests_late_in_a_stop_are_answered_if_they_ran() {
    let (site, target) = site(Duration::from_millis(400), 4.0).await;
    let mut instance = site.ready_instance("e-1", "a-1").await;
    instance.terminate();
    let mut sent = Vec::new();
    while !instance.has_exited() {
        let ids: Vec<String> = (0..3).map(|_| fresh_id()).collect();
        let callers = instance.callers;
        sent.push(tokio::spawn(async move { (raw(callers, &pipelined(&ids)).await.unwrap_or_default(), ids) }));
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    let runs = target.runs();
    assert!(runs.len() > 8, "{} runs show nothing", runs.len());
    assert!(runs.iter().all(|run| !run.cut), "{runs:?}");
    for sent in sent {
        let (received, ids) = sent.await.unwrap();
        for id in ids.iter().filter(|id| runs.iter().any(|run| run.id == **id)) {
            assert!(received.contains(&format!("signed-{id}")), "{id} ran and got no answer: {received}");
        }
    }
}
