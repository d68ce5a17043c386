//! Answers that come late or out of order: each reaches its own request, and
//! nobody gets that of a request which was given up.

mod common;

use common::program;
use standins::http::{Connection, NoReply, raw};
use standins::scene::{SERVICE, Scene, Setup, look_route};
use standins::site::{HOST, RouteSpec, TestRequest};
use standins::target_server::Misbehaviour;
use standins::wait::wait_until;
use std::time::Duration;

/// Requests that are under way together.
const TOGETHER: usize = 6;

/// A target with room for all, whose one object is warm.
async fn scene(timeout_ms: u64) -> Scene {
    let mut routes = vec![look_route(), RouteSpec::new("/buy/", "unsafe", SERVICE)];
    routes.iter_mut().for_each(|route| route.timeout_ms = timeout_ms);
    let setup = Setup { slots: 64, work: Duration::from_millis(1), routes, ..Setup::targets(1) };
    let scene = setup.start(program()).await;
    served(&scene, "/look/a").await;
    scene
}

/// Sends a request and demands its own answer.
async fn served(scene: &Scene, path: &str) {
    let request = TestRequest::post(path, "one");
    let reply = request.send(scene.instance.callers).await.unwrap();
    assert_eq!(reply.status, 200);
    assert_eq!(reply.header("lockloft-response-signature"), format!("signed-{}", request.id));
    assert!(reply.body.ends_with(request.id.as_bytes()), "the answer of another request came: {reply:?}");
}

async fn arrived(scene: &Scene, id: &str) {
    wait_until("the request's arrival", || scene.runs_of(id) > 0).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn answers_out_of_order_reach_their_own_requests() {
    let scene = scene(0).await;
    let mut inversions = 0;
    for round in 0..10 {
        let mut tasks = tokio::task::JoinSet::new();
        for number in 0..TOGETHER {
            // The later a request comes, the sooner it is answered.
            scene.targets[0].set_work(Duration::from_millis(280 - 50 * number as u64));
            let path = if (round + number) % 2 == 0 { "/look/a" } else { "/buy/a" };
            let (request, callers) = (TestRequest::post(path, "one"), scene.instance.callers);
            let id = request.id.clone();
            tasks.spawn(async move { (number, request.id.clone(), request.send(callers).await.unwrap()) });
            arrived(&scene, &id).await;
        }
        let mut order = Vec::new();
        while let Some(ended) = tasks.join_next().await {
            let (number, id, reply) = ended.unwrap();
            assert_eq!(reply.status, 200);
            assert_eq!(reply.header("lockloft-response-signature"), format!("signed-{id}"));
            assert!(reply.body.ends_with(id.as_bytes()), "the answer of another request came: {reply:?}");
            order.push(number);
        }
        inversions += usize::from(!order.is_sorted());
    }
    assert!(inversions > 0, "all answers came in the order of their requests");
}

#[tokio::test(flavor = "multi_thread")]
async fn late_answers_after_cancellation_reach_nobody_else() {
    let scene = scene(0).await;
    for misbehaviour in [Misbehaviour::None, Misbehaviour::IgnoreClose] {
        for path in ["/look/a", "/buy/a"].repeat(5) {
            scene.targets[0].set(misbehaviour);
            scene.targets[0].set_work(Duration::from_millis(60));
            // Gives up before the answer: its connection is dropped.
            let request = TestRequest::post(path, "one");
            let mut connection = Connection::open(scene.instance.callers).await.unwrap();
            let lost = connection.send(request.request(), Duration::from_millis(25)).await;
            assert_eq!(lost.map(|reply| reply.status.as_u16()), Err(NoReply::Broken));
            drop(connection);
            scene.targets[0].set(Misbehaviour::None);
            scene.targets[0].set_work(Duration::from_millis(1));
            for _ in 0..4 {
                served(&scene, path).await;
            }
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn answers_that_come_after_the_route_s_time_reach_nobody_else() {
    let scene = scene(100).await;
    for path in ["/look/a", "/buy/a"].repeat(4) {
        scene.targets[0].set(Misbehaviour::IgnoreClose);
        scene.targets[0].set_work(Duration::from_millis(130));
        // The caller's own connection stays in use after the timeout.
        let mut connection = Connection::open(scene.instance.callers).await.unwrap();
        let late = connection.send(TestRequest::post(path, "one").request(), Duration::from_secs(5)).await.unwrap();
        assert_eq!(late.status, 504);
        scene.targets[0].set(Misbehaviour::None);
        scene.targets[0].set_work(Duration::from_millis(1));
        for _ in 0..4 {
            let request = TestRequest::post(path, "one");
            let reply = connection.send(request.request(), Duration::from_secs(5)).await.unwrap();
            assert!(reply.status != 200 || reply.body.ends_with(request.id.as_bytes()), "{reply:?}");
            served(&scene, path).await;
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn answers_to_requests_sent_at_once_come_in_their_order() {
    let scene = scene(0).await;
    let ids: Vec<String> = (0..4).map(|_| standins::site::fresh_id()).collect();
    let request = |id: &String| {
        let close = if *id == ids[3] { "Connection: close\r\n" } else { "" };
        format!(
            "GET /look/a HTTP/1.1\r\nHost: {HOST}\r\nLockloft-Request-Id: {id}\r\nLockloft-Affinity-Key: 1\r\n{close}\r\n"
        )
    };
    let text: String = ids.iter().map(request).collect();
    let answers = raw(scene.instance.callers, text.as_bytes()).await.unwrap();
    let places: Vec<usize> = ids.iter().map(|id| answers.find(&format!("u-0 {id}")).unwrap()).collect();
    assert!(places.is_sorted(), "{answers}");
    assert_eq!(answers.matches("HTTP/1.1 200").count(), 4, "{answers}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_its_caller_left_halfway_runs_nowhere() {
    let scene = scene(0).await;
    let mut stream = tokio::net::TcpStream::connect(scene.instance.callers).await.unwrap();
    let half = format!(
        "POST /buy/a HTTP/1.1\r\nHost: {HOST}\r\nLockloft-Request-Id: half-1\r\nContent-Length: 10\r\n\r\nhalf"
    );
    tokio::io::AsyncWriteExt::write_all(&mut stream, half.as_bytes()).await.unwrap();
    drop(stream);
    let line = scene.instance.request_line("half-1").await;
    assert_eq!(line["sends"], 0, "{line}");
    assert!(scene.targets[0].runs().iter().all(|run| run.id != "half-1"));
}
