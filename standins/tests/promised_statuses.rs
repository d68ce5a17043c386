//! Targets that fail a request which has run with a status that promises callers the opposite.

mod common;

use common::program;
use hyper::StatusCode;
use standins::http::{self, Reply};
use standins::scene::{SERVICE, Scene, Setup};
use standins::site::{HOST, RouteSpec, TestRequest, fresh_id};
use standins::target_server::Misbehaviour;
use standins::wait::wait_for;
use std::net::SocketAddr;

/// Statuses that promise that a request has not run.
const PROMISES: [u16; 3] = [408, 429, 503];
/// What such an answer has in its head and after it.
const FORMS: [&str; 4] = [
    "Content-Length: 4\r\n\r\ndone",
    "Transfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n",
    "Retry-After: 0.2\r\nContent-Length: 0\r\n\r\n",
    "Connection: close\r\n\r\ndone",
];
/// Kinds of routes whose requests may run once.
const ONCE: [&str; 3] = ["unsafe", "upload", "keyed"];
/// Kinds of routes whose requests may run again.
const REPEATABLE: [&str; 2] = ["safe", "download"];

async fn scene() -> Scene {
    let routes = ONCE.iter().chain(&REPEATABLE).map(|kind| RouteSpec::new(&format!("/{kind}/"), kind, SERVICE));
    Setup { routes: routes.collect(), ..Setup::targets(1) }.start(program()).await
}

/// A signed answer; `id` is its line with the identity of the request.
fn answer(status: u16, id: &str, form: &str) -> Misbehaviour {
    let text = format!("HTTP/1.1 {status} Failed\r\n{id}Lockloft-Response-Signature: signed\r\n{form}");
    Misbehaviour::Raw(text.leak())
}

/// What callers get for requests on a connection, sent one behind the other without an identity where `id` is empty.
async fn pipelined(callers: SocketAddr, path: &str, ids: &[&str]) -> String {
    let request = |id: &&str| {
        let id = if id.is_empty() { String::new() } else { format!("Lockloft-Request-Id: {id}\r\n") };
        format!(
            "POST {path} HTTP/1.1\r\nHost: {HOST}\r\n{id}Lockloft-Deadline-Ms: 1000\r\nContent-Length: 3\r\n\r\none"
        )
    };
    let mut text: String = ids.iter().map(request).collect();
    text.push_str(&format!("GET /none/a HTTP/1.1\r\nHost: {HOST}\r\nConnection: close\r\n\r\n"));
    http::raw(callers, text.as_bytes()).await.unwrap()
}

/// The reply to a request that has run at a target which answers like this. Where the target asked for a pause,
/// requests are refused unrun for a while.
async fn reply_of_run(scene: &Scene, path: &str, answer: Misbehaviour) -> Reply {
    let mut found = None;
    // A success in between, so that the target is not ejected.
    scene.set_all(Misbehaviour::None);
    let _ = TestRequest::post("/safe/a", "one").send(scene.instance.callers).await;
    scene.set_all(answer);
    wait_for("a run", async || {
        let request = TestRequest::post(path, "one");
        let reply = request.send(scene.instance.callers).await.unwrap();
        let has_run = scene.runs_of(&request.id) == 1;
        found = Some(reply);
        has_run
    })
    .await;
    found.expect("a request was sent")
}

/// Guards against a purchase that is repeated since a target that has run it answered 503.
#[tokio::test(flavor = "multi_thread")]
async fn a_failure_of_a_request_that_ran_does_not_say_that_it_has_not() {
    let scene = scene().await;
    for status in PROMISES {
        for form in FORMS {
            let answer = answer(status, "Lockloft-Request-Id: {id}\r\n", form);
            for kind in ONCE {
                let reply = reply_of_run(&scene, &format!("/{kind}/a"), answer).await;
                assert_eq!(reply.status, StatusCode::BAD_GATEWAY, "{kind} {status} {form:?}");
                assert_eq!(reply.header("lockloft-response-signature"), "", "{kind} {status} {form:?}");
            }
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_failure_of_a_request_that_may_run_again_is_passed_on_unchanged() {
    let scene = scene().await;
    for status in PROMISES {
        for form in FORMS {
            let answer = answer(status, "Lockloft-Request-Id: {id}\r\n", form);
            for kind in REPEATABLE {
                let reply = reply_of_run(&scene, &format!("/{kind}/a"), answer).await;
                assert_eq!(reply.status.as_u16(), status, "{kind} {form:?}");
                assert_eq!(reply.header("lockloft-response-signature"), "signed", "{kind} {status} {form:?}");
            }
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_failure_of_a_pipelined_request_that_ran_does_not_say_that_it_has_not() {
    let scene = scene().await;
    for status in PROMISES {
        let ids = [fresh_id(), fresh_id()];
        scene.set_all(answer(status, "Lockloft-Request-Id: {id}\r\n", FORMS[0]));
        let received = pipelined(scene.instance.callers, "/unsafe/a", &[&ids[0], &ids[1]]).await;
        assert_eq!(received.matches("HTTP/1.1 502 ").count(), 2, "{status}: {received}");
        assert!(!received.contains(&format!("HTTP/1.1 {status} ")), "{received}");
        assert!(!received.contains("signed"), "{received}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_failure_of_a_request_without_an_identity_that_ran_does_not_say_that_it_has_not() {
    let scene = scene().await;
    for status in PROMISES {
        scene.set_all(answer(status, "", FORMS[0]));
        let received = pipelined(scene.instance.callers, "/unsafe/a", &[""]).await;
        assert_eq!(received.matches("HTTP/1.1 502 ").count(), 1, "{status}: {received}");
        assert!(!received.contains("signed"), "{received}");
    }
}
