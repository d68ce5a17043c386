//! Callers that send further idempotent requests before the first is answered: these run side by
//! side, their answers come in the order of the requests, and a caller that leaves ends them all.

mod common;

use common::program;
use standins::scene::{SERVICE, Scene, Setup, look_route};
use standins::site::{HOST, RouteSpec, TestRequest, fresh_id};
use standins::wait::wait_until;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Time that a target works on a request.
const WORK: Duration = Duration::from_millis(600);
/// Longest wait for all answers.
const ANSWERS: Duration = Duration::from_secs(5);

/// A target with room for all, whose one object is warm.
async fn scene(work: Duration) -> Scene {
    let scene = steady_scene(Duration::from_millis(1)).await;
    scene.targets[0].set_work(work);
    scene
}

/// The same, whose work has always taken as long.
async fn steady_scene(work: Duration) -> Scene {
    let routes = vec![look_route(), RouteSpec::new("/buy/", "unsafe", SERVICE)];
    let setup = Setup { slots: 64, work, routes, ..Setup::targets(1) };
    let scene = setup.start(program()).await;
    for path in ["/look/a", "/buy/a"] {
        assert_eq!(TestRequest::post(path, "one").affinity(1).send(scene.instance.callers).await.unwrap().status, 200);
    }
    scene
}

fn ids(count: usize) -> Vec<String> {
    (0..count).map(|_| fresh_id()).collect()
}

/// The head of a request without a body.
fn get(path: &str, id: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nHost: {HOST}\r\nLockloft-Request-Id: {id}\r\nLockloft-Affinity-Key: 1\r\n\r\n")
}

/// Requests that may be repeated, one behind the other.
fn looks(ids: &[String]) -> String {
    ids.iter().map(|id| get("/look/a", id)).collect()
}

/// A connection on which text was sent.
async fn sent(scene: &Scene, text: &str) -> TcpStream {
    let mut stream = TcpStream::connect(scene.instance.callers).await.unwrap();
    stream.write_all(text.as_bytes()).await.unwrap();
    stream
}

/// Reads until the bodies of so many answers have come.
async fn answers(stream: &mut TcpStream, ids: &[String]) -> String {
    let mut read = Vec::new();
    let has_all = |read: &[u8]| {
        let text = String::from_utf8_lossy(read);
        ids.iter().all(|id| text.contains(&format!("u-0 {id}")))
    };
    let reading = async { while !has_all(&read) && stream.read_buf(&mut read).await.unwrap() > 0 {} };
    timeout(ANSWERS, reading).await.expect("the answers come");
    String::from_utf8(read).unwrap()
}

/// Demands whole answers in the order of their requests.
fn assert_in_order(text: &str, ids: &[String]) {
    let places: Vec<usize> = ids.iter().map(|id| text.find(&format!("u-0 {id}")).unwrap()).collect();
    assert!(places.is_sorted(), "{text}");
    assert_eq!(text.matches("HTTP/1.1 200").count(), ids.len(), "{text}");
}

#[tokio::test(flavor = "multi_thread")]
async fn four_requests_sent_at_once_run_side_by_side_and_are_answered_in_order() {
    let scene = scene(WORK).await;
    let ids = ids(4);
    let began = Instant::now();
    let mut stream = sent(&scene, &looks(&ids)).await;
    let text = answers(&mut stream, &ids).await;
    let took = began.elapsed();
    assert_in_order(&text, &ids);
    assert!(took < Duration::from_millis(900), "{took:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_leaves_has_all_of_its_requests_broken_off_within_half_a_second() {
    let scene = scene(Duration::from_secs(5)).await;
    let ids = ids(6);
    let stream = sent(&scene, &looks(&ids)).await;
    wait_until("all six under way", || ids.iter().all(|id| scene.runs_of(id) == 1)).await;
    let left = Instant::now();
    drop(stream);
    let is_cut = |id: &String| scene.targets[0].runs().iter().any(|run| run.id == *id && run.cut);
    wait_until("all six broken off", || ids.iter().all(is_cut)).await;
    assert!(left.elapsed() < Duration::from_millis(500), "{:?}", left.elapsed());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_half_closes_or_resets_has_all_of_its_requests_broken_off() {
    for resets in [false, true] {
        let scene = scene(Duration::from_secs(5)).await;
        let ids = ids(6);
        let mut stream = sent(&scene, &looks(&ids)).await;
        wait_until("all six under way", || ids.iter().all(|id| scene.runs_of(id) == 1)).await;
        let left = Instant::now();
        if resets {
            stream.set_zero_linger().unwrap();
            drop(stream);
        } else {
            stream.shutdown().await.unwrap();
        }
        let is_cut = |id: &String| scene.targets[0].runs().iter().any(|run| run.id == *id && run.cut);
        wait_until("all six broken off", || ids.iter().all(is_cut)).await;
        assert!(left.elapsed() < Duration::from_millis(500), "{:?}", left.elapsed());
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_leaves_before_a_request_that_may_run_once_has_begun_never_has_it_run() {
    let scene = scene(WORK).await;
    let ids = ids(3);
    let text = [get("/look/a", &ids[0]), get("/buy/a", &ids[1]), get("/look/a", &ids[2])].concat();
    let stream = sent(&scene, &text).await;
    wait_until("the first under way", || scene.runs_of(&ids[0]) == 1).await;
    drop(stream);
    wait_until("the first broken off", || scene.targets[0].runs().iter().any(|run| run.id == ids[0] && run.cut)).await;
    // One more request, so that whatever had begun by then would have arrived before it.
    assert_eq!(TestRequest::get("/look/a").send(scene.instance.callers).await.unwrap().status, 200);
    assert_eq!([scene.runs_of(&ids[1]), scene.runs_of(&ids[2])], [0, 0]);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_answers_all_requests_that_were_read_and_then_closes() {
    let mut scene = steady_scene(Duration::from_millis(200)).await;
    let ids = ids(5);
    let mut text = looks(&ids[..4]);
    // Within what is left of the stop.
    text += &get("/buy/a", &ids[4]).replace("\r\n\r\n", "\r\nLockloft-Deadline-Ms: 3000\r\n\r\n");
    let mut stream = sent(&scene, &text).await;
    wait_until("four under way", || ids[..4].iter().all(|id| scene.runs_of(id) == 1)).await;
    scene.instance.terminate();
    let mut text = answers(&mut stream, &ids).await;
    timeout(ANSWERS, stream.read_to_string(&mut text)).await.expect("the connection closes").unwrap();
    assert_in_order(&text, &ids);
    assert_eq!(text.matches("connection: close").count(), 1, "{text}");
    assert!(scene.instance.wait_exit().await.success());
    assert!(scene.targets[0].runs().iter().all(|run| !run.cut));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_whose_time_is_over_at_its_turn_runs_nowhere() {
    let scene = scene(WORK).await;
    let ids = ids(2);
    let late = get("/buy/a", &ids[1]).replace("\r\n\r\n", "\r\nLockloft-Deadline-Ms: 300\r\n\r\n");
    let mut stream = sent(&scene, &(get("/look/a", &ids[0]) + &late)).await;
    answers(&mut stream, &ids[..1]).await;
    let line = scene.instance.request_line(&ids[1]).await;
    assert_eq!((&line["sends"], scene.runs_of(&ids[1])), (&0.into(), 0), "{line}");
    for field in ["took_ms", "waited_ms"] {
        assert!(line[field].as_u64().unwrap() >= 300, "its time counts from when it was read: {line}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn log_and_metrics_name_requests_that_were_begun_early() {
    let scene = scene(Duration::from_millis(50)).await;
    let ids = ids(4);
    let mut stream = sent(&scene, &looks(&ids)).await;
    answers(&mut stream, &ids).await;
    let first = scene.instance.request_line(&ids[0]).await;
    assert!(first["early"].is_null(), "{first}");
    for id in &ids[1..] {
        assert_eq!(scene.instance.request_line(id).await["early"], true);
    }
    let metrics = standins::http::get(scene.instance.peers, "/metrics").await.unwrap();
    let text = String::from_utf8_lossy(&metrics.body).into_owned();
    assert!(text.contains("lockloft_entry_early_requests_total 3\n"), "{text}");
}

#[tokio::test(flavor = "multi_thread")]
async fn answers_that_wait_for_those_ahead_of_them_are_bounded_by_the_memory_of_the_instance() {
    let routes = vec![look_route()];
    let setup = Setup { slots: 64, work: Duration::from_millis(100), routes, ..Setup::targets(1) };
    let (site, targets) = setup.deploy(program()).await;
    let mut instance = site.instance("e-1", "a-1");
    instance.edit_settings(|text| text.replace("memory_mb = 260", "memory_mb = 1"));
    instance.start();
    instance.wait_ready().await;
    let scene = Scene { site, instance, targets };
    let ids = ids(6);
    let mut stream = sent(&scene, &looks(&ids)).await;
    let text = answers(&mut stream, &ids).await;
    assert_in_order(&text, &ids);
    let mut early = 0;
    for id in &ids {
        early += usize::from(scene.instance.request_line(id).await["early"] == true);
    }
    // Two of 64 KiB at a time are an eighth of 1 MB: one waits behind two, and then the rest.
    assert!((1..5).contains(&early), "{early} began before their turn");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_for_a_large_answer_begins_at_its_turn() {
    let routes = vec![look_route(), RouteSpec::new("/pack/", "download", SERVICE)];
    let setup = Setup { slots: 64, work: Duration::from_millis(50), routes, ..Setup::targets(1) };
    let scene = setup.start(program()).await;
    let ids = ids(3);
    let text = [get("/look/a", &ids[0]), get("/pack/a", &ids[1]), get("/look/a", &ids[2])].concat();
    let mut stream = sent(&scene, &text).await;
    assert_in_order(&answers(&mut stream, &ids).await, &ids);
    let mut early = Vec::new();
    for id in &ids {
        early.push(scene.instance.request_line(id).await["early"] == true);
    }
    assert_eq!(early, [false, false, true]);
}
