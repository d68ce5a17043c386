//! Requests through an instance: whole answers to their own requests,
//! never run twice, never falsely said not to have run.

mod common;

use common::program;
use hyper::StatusCode;
use standins::http::{NoReply, raw};
use standins::scene::{SERVICE, Scene, Setup, look_route};
use standins::site::{HOST, RouteSpec, Site, TestRequest};
use standins::target_server::{Misbehaviour, TargetServer};
use standins::wait::{wait_for, wait_until};
use std::time::{Duration, Instant};

/// One instance and `count` targets of a service that takes all routes.
async fn scene(count: usize) -> Scene {
    scene_with(count, |_| {}).await
}

async fn scene_with(count: usize, change: impl Fn(&mut RouteSpec)) -> Scene {
    let mut routes =
        vec![look_route(), RouteSpec::new("/buy/", "unsafe", SERVICE), RouteSpec::new("/send/", "upload", SERVICE)];
    routes.iter_mut().for_each(change);
    let setup = Setup { slots: 4, work: Duration::from_millis(5), routes, version: 3, ..Setup::targets(count) };
    setup.start(program()).await
}

/// Earns retries: the budget starts empty.
async fn earn_retries(scene: &Scene) {
    for _ in 0..30 {
        assert_eq!(TestRequest::get("/look/a").send(scene.instance.callers).await.unwrap().status, 200);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn the_answer_is_the_targets_own_with_its_signature() {
    let scene = scene(2).await;
    let request = TestRequest::post("/buy/x?berth=2", "two berths");
    let reply = request.send(scene.instance.callers).await.unwrap();
    assert_eq!(reply.status, 200);
    assert_eq!(reply.header("lockloft-response-signature"), format!("signed-{}", request.id));
    assert!(reply.body.ends_with(request.id.as_bytes()));
    let run = scene.targets.iter().flat_map(TargetServer::runs).find(|run| run.id == request.id).unwrap();
    assert_eq!((run.line.as_str(), run.body.as_slice()), ("POST /buy/x?berth=2 HTTP/1.1", b"two berths".as_slice()));
    assert!(run.deadline_ms.unwrap() <= request.deadline_ms);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_chunked_body_arrives_unchanged() {
    let scene = scene(1).await;
    let text = format!(
        "POST /send/x HTTP/1.1\r\nHost: {HOST}\r\nLockloft-Request-Id: chunked-1\r\nLockloft-Deadline-Ms: 2000\r\n\
         Transfer-Encoding: chunked\r\nConnection: close\r\n\r\n5\r\nhello\r\n6\r\n world\r\n0\r\n\r\n"
    );
    assert!(raw(scene.instance.callers, text.as_bytes()).await.unwrap().starts_with("HTTP/1.1 200"));
    assert_eq!(scene.targets[0].runs()[0].body, b"hello world");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_body_too_large_to_be_held_passes_through_unchanged() {
    let scene = scene(1).await;
    let body: Vec<u8> = (0..2_000_000u32).map(|n| (n % 251) as u8).collect();
    let reply = TestRequest::post("/send/x", body.clone()).send(scene.instance.callers).await.unwrap();
    assert_eq!(reply.status, 200);
    assert_eq!(scene.targets[0].runs()[0].body, body);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_body_over_the_limit_gets_413_and_runs_nowhere() {
    let scene = scene(1).await;
    let text = format!(
        "POST /send/x HTTP/1.1\r\nHost: {HOST}\r\nLockloft-Request-Id: big-1\r\nContent-Length: 9000000\r\n\r\n"
    );
    assert!(raw(scene.instance.callers, text.as_bytes()).await.unwrap().starts_with("HTTP/1.1 413"));
    assert_eq!(scene.targets[0].arrivals(), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn malformed_and_oversized_heads_get_400_and_431() {
    let scene = scene(1).await;
    assert!(raw(scene.instance.callers, b"nonsense\r\n\r\n").await.unwrap().starts_with("HTTP/1.1 400"));
    let text = format!("GET /look/x HTTP/1.1\r\nHost: {HOST}\r\nX: {}\r\n\r\n", "x".repeat(40_000));
    assert!(raw(scene.instance.callers, text.as_bytes()).await.unwrap().starts_with("HTTP/1.1 431"));
    let text =
        format!("GET /look/x HTTP/1.1\r\nHost: {HOST}\r\nLockloft-Deadline-Ms: soon\r\nConnection: close\r\n\r\n");
    assert!(raw(scene.instance.callers, text.as_bytes()).await.unwrap().starts_with("HTTP/1.1 400"));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_head_that_comes_too_slowly_is_closed() {
    let scene = scene(1).await;
    let started = Instant::now();
    let answer = raw(scene.instance.callers, b"GET /look/x HTTP/1.1\r\nHo").await.unwrap();
    assert!(answer.is_empty(), "{answer}");
    assert!(started.elapsed() < Duration::from_secs(4), "the limit is one second");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_unknown_path_gets_404_and_before_any_configuration_503() {
    let scene = scene(1).await;
    assert_eq!(TestRequest::get("/nowhere/x").send(scene.instance.callers).await.unwrap().status, 404);
    let site = Site::start(program()).await;
    let mut instance = site.instance("e-1", "a-1");
    instance.start();
    let end = Instant::now() + standins::wait::WAIT_TIMEOUT;
    let reply = loop {
        match TestRequest::get("/nowhere/x").send(instance.callers).await {
            Ok(reply) => break reply,
            Err(_) => assert!(Instant::now() < end, "the instance does not listen"),
        }
    };
    assert_eq!(reply.status, 503);
    assert!(!reply.header("retry-after").is_empty());
    assert!(!instance.is_ready().await);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_lost_answer_of_a_request_that_may_run_once_is_a_502_and_runs_once() {
    let scene = scene(2).await;
    earn_retries(&scene).await;
    for misbehaviour in [
        Misbehaviour::LoseAnswer,
        Misbehaviour::Truncate,
        Misbehaviour::Unsigned,
        Misbehaviour::WrongId,
        Misbehaviour::Garbage,
        Misbehaviour::UnframedReset,
    ] {
        scene.set_all(misbehaviour);
        let request = TestRequest::post("/buy/x", "one");
        let reply = request.send(scene.instance.callers).await.unwrap();
        // A target that failed too often is ejected for a moment: then the
        // request did not run.
        let expected =
            if scene.runs_of(&request.id) == 0 { StatusCode::SERVICE_UNAVAILABLE } else { StatusCode::BAD_GATEWAY };
        assert_eq!(reply.status, expected, "{misbehaviour:?}");
        assert!(scene.runs_of(&request.id) <= 1, "{misbehaviour:?}");
        assert!(reply.header("lockloft-response-signature").is_empty());
        scene.set_all(Misbehaviour::None);
        until_served(&scene).await;
    }
}

async fn until_served(scene: &Scene) {
    let callers = scene.instance.callers;
    let is_served = async || {
        let reply = TestRequest::post("/buy/x", "one").send(callers).await;
        reply.is_ok_and(|reply| reply.status == 200)
    };
    wait_for("a served request", is_served).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_safe_request_whose_answer_is_lost_is_served_by_another_target() {
    let scene = scene(2).await;
    earn_retries(&scene).await;
    // Object 1 lives at one of the two; only that one loses its answers.
    let home = scene.targets.iter().max_by_key(|target| target.runs().len()).unwrap();
    for misbehaviour in [Misbehaviour::LoseAnswer, Misbehaviour::Truncate] {
        home.set(misbehaviour);
        let request = TestRequest::get("/look/a");
        let reply = request.send(scene.instance.callers).await.unwrap();
        assert_eq!(reply.status, 200, "{misbehaviour:?}");
        assert!(reply.body.ends_with(request.id.as_bytes()));
        assert_eq!(scene.runs_of(&request.id), 2, "{misbehaviour:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn retries_stay_within_the_budget() {
    let scene = scene(2).await;
    scene.set_all(Misbehaviour::LoseAnswer);
    for _ in 0..100 {
        let _ = TestRequest::get("/look/a").send(scene.instance.callers).await;
    }
    let arrivals: u64 = scene.targets.iter().map(TargetServer::arrivals).sum();
    assert!(arrivals <= 120, "{arrivals} arrivals of 100 requests at a ratio of 0.2");
}

#[tokio::test(flavor = "multi_thread")]
async fn surplus_answers_never_reach_a_caller() {
    let scene = scene(1).await;
    for misbehaviour in [Misbehaviour::SurplusAnswer, Misbehaviour::LateSurplusAnswer] {
        scene.set_all(misbehaviour);
        for _ in 0..20 {
            let request = TestRequest::get("/look/a");
            let reply = request.send(scene.instance.callers).await.unwrap();
            if reply.status == 200 {
                assert!(reply.body.ends_with(request.id.as_bytes()));
            }
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_without_a_length_is_whole_or_not_passed_on() {
    let scene = scene(1).await;
    scene.set_all(Misbehaviour::Unframed);
    let request = TestRequest::post("/buy/x", "one");
    let reply = request.send(scene.instance.callers).await.unwrap();
    assert_eq!(reply.status, 200);
    assert!(reply.body.ends_with(request.id.as_bytes()));
    scene.set_all(Misbehaviour::UnframedReset);
    let reply = TestRequest::post("/buy/x", "one").send(scene.instance.callers).await.unwrap();
    assert_eq!(reply.status, 502);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_before_the_body_is_through_closes_that_connection() {
    let scene = scene(1).await;
    scene.set_all(Misbehaviour::AnswerEarly);
    let body = vec![7u8; 3_000_000];
    let reply = TestRequest::post("/send/x", body.clone()).send(scene.instance.callers).await.unwrap();
    assert_eq!(reply.status, 503);
    scene.set_all(Misbehaviour::None);
    let reply = TestRequest::post("/send/x", body.clone()).send(scene.instance.callers).await.unwrap();
    assert_eq!(reply.status, 200);
    // Nothing else was taken for the rest of the first body.
    assert_eq!(scene.targets[0].runs().len(), 1);
    assert_eq!(scene.targets[0].runs()[0].body, body);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_target_that_is_full_leads_to_another_and_all_full_to_a_503() {
    let scene = scene(2).await;
    earn_retries(&scene).await;
    scene.targets[0].set(Misbehaviour::Full);
    for object in 0..10 {
        let request = TestRequest::post("/buy/x", "one").affinity(object);
        assert_eq!(request.send(scene.instance.callers).await.unwrap().status, 200);
        assert_eq!(scene.runs_of(&request.id), 1);
        for _ in 0..10 {
            TestRequest::get("/look/a").send(scene.instance.callers).await.unwrap();
        }
    }
    scene.set_all(Misbehaviour::Full);
    let request = TestRequest::post("/buy/x", "one");
    let reply = request.send(scene.instance.callers).await.unwrap();
    assert_eq!(reply.status, 503);
    assert!(reply.header("retry-after").parse::<f64>().unwrap() > 0.0);
    assert_eq!(scene.runs_of(&request.id), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_address_that_another_target_took_over_runs_nothing() {
    let mut scene = scene(2).await;
    earn_retries(&scene).await;
    let left = scene.targets.remove(0);
    let address = left.address;
    left.stop().await;
    let other = TargetServer::start_at(address, "u-other", 4, Duration::from_millis(5)).await.unwrap();
    for object in 0..8 {
        let request = TestRequest::post("/buy/x", "one").affinity(object);
        assert_eq!(request.send(scene.instance.callers).await.unwrap().status, 200);
        for _ in 0..10 {
            TestRequest::get("/look/a").affinity("fixed").send(scene.instance.callers).await.unwrap();
        }
    }
    assert!(other.arrivals() > 0, "no object lived at the address");
    assert!(other.runs().is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_dead_target_is_passed_over_even_by_requests_that_may_run_once() {
    let mut scene = scene(2).await;
    scene.targets.remove(0).stop().await;
    for object in 0..20 {
        let request = TestRequest::post("/buy/x", "one").affinity(object);
        let status = request.send(scene.instance.callers).await.unwrap().status;
        assert_eq!(status, 200, "{}", scene.instance.log());
        assert_eq!(scene.runs_of(&request.id), 1);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_route_s_timeout_is_answered_when_it_ends_and_promises_nothing() {
    let scene = scene_with(1, |route| route.timeout_ms = 300).await;
    scene.set_all(Misbehaviour::NoAnswer);
    let started = Instant::now();
    let reply = TestRequest::post("/buy/x", "one").send(scene.instance.callers).await.unwrap();
    assert_eq!(reply.status, 504);
    let took = started.elapsed();
    assert!((Duration::from_millis(290)..Duration::from_millis(700)).contains(&took), "{took:?}");
    assert!(scene.targets[0].runs()[0].deadline_ms.unwrap() <= 300);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_leaves_cancels_its_request_at_the_target() {
    let scene = scene(1).await;
    scene.targets[0].set_work(Duration::from_secs(3));
    let callers = scene.instance.callers;
    let caller = tokio::spawn(async move { TestRequest::get("/look/a").send(callers).await });
    wait_until("the request's arrival", || scene.targets[0].runs().len() == 1).await;
    caller.abort();
    wait_until("the cut at the target", || scene.targets[0].runs()[0].cut).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_target_s_own_failure_is_passed_on_unchanged() {
    let scene = scene(1).await;
    scene.set_all(Misbehaviour::ServerError);
    let request = TestRequest::post("/buy/x", "one");
    let reply = request.send(scene.instance.callers).await.unwrap();
    assert_eq!((reply.status.as_u16(), reply.body.as_ref()), (500, b"failed".as_slice()));
    assert_eq!(reply.header("lockloft-response-signature"), format!("signed-{}", request.id));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_connection_that_rests_within_the_limit_stays_usable() {
    let scene = scene(1).await;
    let mut connection = standins::http::Connection::open(scene.instance.callers).await.unwrap();
    let first = connection.send(TestRequest::get("/look/a").request(), Duration::from_secs(5)).await.unwrap();
    assert_eq!(first.status, 200);
    // Four fifths of the five seconds that the configuration allows.
    tokio::time::sleep(Duration::from_secs(4)).await;
    let second = connection.send(TestRequest::get("/look/a").request(), Duration::from_secs(5)).await;
    assert_eq!(second.map(|reply| reply.status.as_u16()), Ok::<_, NoReply>(200));
}

#[tokio::test(flavor = "multi_thread")]
async fn every_request_has_one_line_in_the_log_with_its_outcome() {
    let scene = scene(1).await;
    let request = TestRequest::get("/look/a");
    request.send(scene.instance.callers).await.unwrap();
    let line = scene.instance.request_line(&request.id).await;
    assert_eq!((line["outcome"].as_str(), line["status"].as_u64()), (Some("answered"), Some(200)));
    assert_eq!((line["target"].as_str(), line["config"].as_u64()), (Some("u-0"), Some(3)));
    let request = TestRequest::get("/nowhere/a");
    request.send(scene.instance.callers).await.unwrap();
    assert_eq!(scene.instance.request_line(&request.id).await["outcome"], "no-route");
    assert!(scene.instance.metric("lockloft_entry_requests_total", "answered").await >= 1.0);
    let text = line.to_string();
    assert!(
        matches!(
            lockloft::telemetry::access_log::Line::read(&text),
            Some(lockloft::telemetry::access_log::Line::Request(_))
        ),
        "{text}"
    );
    drop(scene.site);
}

#[tokio::test(flavor = "multi_thread")]
async fn connections_beyond_half_of_the_descriptors_wait_to_be_accepted() {
    let site = Site::start(program()).await;
    let target = TargetServer::start("u-0", 4, Duration::from_millis(5)).await.unwrap();
    site.register(&target, "shop", "a-1");
    site.configure(1, &[RouteSpec::new("/look/", "safe", "shop")], &["shop"]);
    let mut instance = site.instance("e-1", "a-1");
    instance.edit_settings(|text| text.replace("descriptors = 4100", "descriptors = 40"));
    instance.start();
    instance.wait_ready().await;
    let mut held = Vec::new();
    for _ in 0..20 {
        let mut connection = standins::http::Connection::open(instance.callers).await.unwrap();
        let reply = connection.send(TestRequest::get("/look/a").request(), Duration::from_secs(5)).await.unwrap();
        assert_eq!(reply.status, 200);
        held.push(connection);
    }
    let mut one_more = standins::http::Connection::open(instance.callers).await.unwrap();
    let waits = one_more.send(TestRequest::get("/look/a").request(), Duration::from_millis(300)).await;
    assert_eq!(waits.map(|reply| reply.status.as_u16()), Err::<u16, _>(NoReply::Broken));
    held.clear();
    assert_eq!(TestRequest::get("/look/a").send(instance.callers).await.unwrap().status, 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_body_counts_as_held_until_its_request_has_ended() {
    let scene = scene(1).await;
    scene.targets[0].set_work(Duration::from_millis(400));
    let callers = scene.instance.callers;
    let request = tokio::spawn(async move { TestRequest::post("/send/x", vec![7; 100_000]).send(callers).await });
    wait_until("the request's arrival", || scene.targets[0].runs().len() == 1).await;
    assert_eq!(scene.instance.metric("lockloft_entry_held_body_bytes", "").await, 100_000.0);
    assert_eq!(request.await.unwrap().unwrap().status, 200);
    assert_eq!(scene.instance.metric("lockloft_entry_held_body_bytes", "").await, 0.0);
}
