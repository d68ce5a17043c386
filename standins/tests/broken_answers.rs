//! Answers of targets that are no good HTTP or break off: a caller gets a
//! whole answer to its own request, or one that says that there is none.

mod common;

use common::program;
use hyper::StatusCode;
use standins::http::{NoReply, raw};
use standins::scene::{SERVICE, Scene, Setup, look_route};
use standins::site::{HOST, RouteSpec, TestRequest};
use standins::target_server::Misbehaviour;
use standins::wait::WAIT_TIMEOUT;
use std::time::{Duration, Instant};

/// The head of an answer that is good up to there.
const HEAD: &str = "HTTP/1.1 200 OK\r\nLockloft-Request-Id: {id}\r\nLockloft-Response-Signature: signed-{id}\r\n";
/// Answers up to this size are read whole before they are passed on.
const LARGE: usize = 200_000;

/// What stands behind the head in answers that are broken.
const BROKEN: [&str; 14] = [
    // Chunks that break off, at each place.
    "Transfer-Encoding: chunked\r\n\r\n",
    "Transfer-Encoding: chunked\r\n\r\n5\r\nhel",
    "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n",
    "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n",
    "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nTrailer: hal",
    // Chunks whose size is no size, or not theirs.
    "Transfer-Encoding: chunked\r\n\r\nfive\r\nhello\r\n0\r\n\r\n",
    "Transfer-Encoding: chunked\r\n\r\n-5\r\nhello\r\n0\r\n\r\n",
    "Transfer-Encoding: chunked\r\n\r\nfffffffffffffffff\r\nhello\r\n0\r\n\r\n",
    "Transfer-Encoding: chunked\r\n\r\n3\r\nhello\r\n0\r\n\r\n",
    // Lengths that are none, contradict each other, or are not reached.
    "Content-Length: -5\r\n\r\nhello",
    "Content-Length: five\r\n\r\nhello",
    "Content-Length: 5\r\nContent-Length: 7\r\n\r\nhello",
    "Content-Length: 9\r\n\r\nhello",
    // A head that does not end.
    "Content-Length: 5\r\nX-Cut: of",
];

/// Answers whose head is broken from its first line on.
const HEADLESS: [&str; 7] = [
    "",
    "HTTP/1.1 000 None\r\nContent-Length: 0\r\n\r\n",
    "HTTP/1.1 099 None\r\nContent-Length: 0\r\n\r\n",
    "HTTP/1.1 20\r\n\r\n",
    "HTTP/1.1 abc OK\r\nContent-Length: 0\r\n\r\n",
    "HTTP/1.1 200 OK\r\nno colon here\r\n\r\n",
    "HTTP/9.9 200 OK\r\nContent-Length: 0\r\n\r\n",
];

async fn scene(count: usize) -> Scene {
    let routes = vec![look_route(), RouteSpec::new("/buy/", "unsafe", SERVICE)];
    Setup { slots: 4, routes, ..Setup::targets(count) }.start(program()).await
}

/// Waits until requests are served again: a target that failed gets a
/// moment's rest. Each answer on the way has to be the request's own.
async fn served(scene: &Scene) {
    let end = Instant::now() + WAIT_TIMEOUT;
    loop {
        let request = TestRequest::post("/buy/x", "one");
        let reply = request.send(scene.instance.callers).await.unwrap();
        if reply.status == 200 {
            assert!(reply.body.ends_with(request.id.as_bytes()), "the answer of another request: {reply:?}");
            return;
        }
        assert_eq!(reply.status, 503, "nothing is broken any more");
        assert!(Instant::now() < end, "nothing is served any more");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

fn broken() -> impl Iterator<Item = &'static str> {
    let behind_head = BROKEN.iter().map(|rest| &*format!("{HEAD}{rest}").leak());
    HEADLESS.into_iter().chain(behind_head)
}

/// A large answer in chunks, or with a length, that ends before it is whole.
fn large(is_chunked: bool) -> &'static str {
    let part = "x".repeat(LARGE);
    let text = match is_chunked {
        true => format!("{HEAD}Transfer-Encoding: chunked\r\n\r\n{LARGE:x}\r\n{part}\r\n"),
        false => format!("{HEAD}Content-Length: {}\r\n\r\n{part}", LARGE + 1),
    };
    text.leak()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_broken_answer_to_a_request_that_may_run_once_is_a_502_and_spoils_no_other() {
    let scene = scene(1).await;
    for text in broken() {
        served(&scene).await;
        scene.set_all(Misbehaviour::Raw(text));
        let request = TestRequest::post("/buy/x", "one");
        let reply = request.send(scene.instance.callers).await.unwrap();
        assert_eq!(reply.status, StatusCode::BAD_GATEWAY, "{text:?}");
        assert_eq!(scene.runs_of(&request.id), 1, "{text:?}");
        assert!(reply.header("lockloft-response-signature").is_empty(), "{text:?}");
        assert!(!String::from_utf8_lossy(&reply.body).contains("hel"), "{text:?}: {reply:?}");
        scene.set_all(Misbehaviour::None);
    }
    served(&scene).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_safe_request_gets_another_target_s_answer_in_place_of_a_broken_one() {
    let scene = scene(2).await;
    for text in broken() {
        // Retries have to be earned.
        for _ in 0..10 {
            assert_eq!(TestRequest::get("/look/a").send(scene.instance.callers).await.unwrap().status, 200);
        }
        let home = scene.targets.iter().max_by_key(|target| target.runs().len()).unwrap();
        home.set(Misbehaviour::Raw(text));
        let request = TestRequest::get("/look/a");
        let reply = request.send(scene.instance.callers).await.unwrap();
        assert_eq!(reply.status, 200, "{text:?}");
        assert!(reply.body.ends_with(request.id.as_bytes()), "{text:?}");
        assert_eq!(scene.runs_of(&request.id), 2, "{text:?}");
        home.set(Misbehaviour::None);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_chunked_answer_that_breaks_off_is_not_made_whole() {
    let scene = scene(1).await;
    for text in [large(true), &*format!("{HEAD}{}", BROKEN[2]).leak()] {
        served(&scene).await;
        scene.set_all(Misbehaviour::Raw(text));
        let request = format!(
            "GET /look/x HTTP/1.1\r\nHost: {HOST}\r\nLockloft-Request-Id: cut-1\r\nLockloft-Deadline-Ms: 2000\r\n\
             Connection: close\r\n\r\n"
        );
        let answer = raw(scene.instance.callers, request.as_bytes()).await.unwrap();
        assert!(!answer.ends_with("0\r\n\r\n"), "a short answer was closed as if it were whole");
        assert!(!answer.starts_with("HTTP/1.1 200") || answer.contains("chunked"), "its length is a lie");
        scene.set_all(Misbehaviour::None);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_large_answer_that_breaks_off_breaks_visibly() {
    let scene = scene(1).await;
    for text in [large(true), large(false)] {
        for path in ["/look/x", "/buy/x"] {
            served(&scene).await;
            scene.set_all(Misbehaviour::Raw(text));
            let request = TestRequest::post(path, "one");
            match request.send(scene.instance.callers).await {
                Err(broken) => assert_eq!(broken, NoReply::Broken),
                Ok(reply) => assert_eq!(reply.status, 502, "never short and well-formed"),
            }
            assert_eq!(scene.runs_of(&request.id), 1, "a part of it was passed on already");
            scene.set_all(Misbehaviour::None);
        }
    }
    served(&scene).await;
}

/// Of a length and chunks at once, one reading leaves bytes that look like an
/// answer to the next request.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_with_two_readings_spoils_no_other() {
    let scene = scene(1).await;
    let smuggled = "HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\nsmuggled";
    for framing in
        ["Content-Length: 5\r\nTransfer-Encoding: chunked", "Transfer-Encoding: chunked\r\nContent-Length: 5"]
    {
        served(&scene).await;
        scene.set_all(Misbehaviour::Raw(format!("{HEAD}{framing}\r\n\r\n0\r\n\r\n{smuggled}").leak()));
        let mut connection = standins::http::Connection::open(scene.instance.callers).await.unwrap();
        let first = connection.send(TestRequest::post("/buy/x", "one").request(), Duration::from_secs(5)).await;
        assert!(!first.is_ok_and(|reply| String::from_utf8_lossy(&reply.body).contains("smuggled")));
        scene.set_all(Misbehaviour::None);
        served(&scene).await;
    }
}
