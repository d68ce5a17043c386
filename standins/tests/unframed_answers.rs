//! Answers without a length whose connection is reset midway: no caller can take the part for the whole.

mod common;

use common::program;
use standins::http::{Ending, raw_with_ending};
use standins::scene::{SERVICE, Scene, Setup};
use standins::site::{HOST, RouteSpec, TestRequest, fresh_id};
use standins::target_server::Misbehaviour;
use standins::wait::wait_for;

/// Sizes of uploads: none, one that is buffered, and one that is streamed.
const UPLOADS: [usize; 3] = [0, 100_000, 1_500_000];
/// Sizes of the part that a target sends: one that is read before it is passed on, and a larger one.
const PARTS: [usize; 2] = [20_000, 200_000];
const VERSIONS: [&str; 2] = ["1.0", "1.1"];
const KINDS: [&str; 4] = ["safe", "unsafe", "upload", "download"];

async fn scene() -> Scene {
    let routes = KINDS.iter().map(|kind| RouteSpec::new(&format!("/{kind}/"), kind, SERVICE));
    Setup { slots: 16, routes: routes.collect(), ..Setup::targets(1) }.start(program()).await
}

/// The head and a part of the body of an answer without a length, with more header lines.
fn part(version: &str, more: &str, size: usize) -> &'static str {
    let body = "x".repeat(size);
    format!(
        "HTTP/{version} 200 OK\r\nLockloft-Request-Id: {{id}}\r\nLockloft-Response-Signature: signed-{{id}}\r\n{more}\r\n{body}"
    )
    .leak()
}

/// What a caller of this version receives for an upload, and how its connection ends.
async fn upload(scene: &Scene, version: &str, kind: &str, size: usize) -> (String, Ending) {
    let id = fresh_id();
    let head = format!(
        "POST /{kind}/a HTTP/{version}\r\nHost: {HOST}\r\nLockloft-Request-Id: {id}\r\nLockloft-Deadline-Ms: 2000\r\n\
         Connection: close\r\nContent-Length: {size}\r\n\r\n"
    );
    let bytes = [head.as_bytes(), &vec![b'y'; size]].concat();
    raw_with_ending(scene.instance.callers, &bytes).await.unwrap()
}

/// Whether a caller takes what it has received for a whole success.
fn is_whole_success(received: &str, ending: Ending) -> bool {
    let Some((head, body)) = received.split_once("\r\n\r\n") else { return false };
    let head = head.to_ascii_lowercase();
    let length = head.lines().find_map(|line| line.strip_prefix("content-length:")?.trim().parse::<usize>().ok());
    let is_whole = match length {
        _ if head.contains("transfer-encoding: chunked") => body.ends_with("0\r\n\r\n"),
        Some(length) => body.len() == length,
        None => ending == Ending::Closed,
    };
    head.split(' ').nth(1) == Some("200") && is_whole
}

/// Waits until requests are served: a target that failed rests for a moment.
async fn served(scene: &Scene) {
    scene.set_all(Misbehaviour::None);
    wait_for("a success", async || {
        TestRequest::get("/safe/a").send(scene.instance.callers).await.is_ok_and(|reply| reply.status == 200)
    })
    .await;
}

async fn assert_visible(misbehaviour: impl Fn(&'static str) -> Misbehaviour, more: &str) {
    let scene = scene().await;
    let mut begun = 0;
    for (target, caller) in VERSIONS.iter().flat_map(|target| VERSIONS.map(|caller| (target, caller))) {
        for (size, part_size) in UPLOADS.iter().flat_map(|size| PARTS.map(|part_size| (*size, part_size))) {
            for kind in KINDS {
                served(&scene).await;
                scene.set_all(misbehaviour(part(target, more, part_size)));
                let (received, ending) = upload(&scene, caller, kind, size).await;
                begun += usize::from(received.split(' ').nth(1) == Some("200"));
                let begin = &received[..received.len().min(300)];
                assert!(
                    !is_whole_success(&received, ending),
                    "target {target}, caller {caller}, {kind}, {size} and {part_size} bytes, {ending:?}: {begin}"
                );
            }
        }
    }
    assert!(begun >= VERSIONS.len().pow(2), "{begun} successes that began show nothing");
}

/// Guards against a part of an answer that a caller takes for the whole since its target speaks HTTP/1.0.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_without_a_length_that_is_reset_breaks_visibly() {
    assert_visible(Misbehaviour::RawReset, "").await;
}

/// Guards against the same where the reset meets an upload that is still being written.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_without_a_length_that_is_reset_during_an_upload_breaks_visibly() {
    assert_visible(Misbehaviour::EarlyRawReset, "").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_compressed_answer_without_a_length_that_is_reset_breaks_visibly() {
    assert_visible(Misbehaviour::EarlyRawReset, "Content-Encoding: gzip\r\n").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_whole_answer_without_a_length_arrives_whole_whatever_versions_are_spoken() {
    let scene = scene().await;
    for (target, caller) in VERSIONS.iter().flat_map(|target| VERSIONS.map(|caller| (target, caller))) {
        for size in PARTS {
            scene.set_all(Misbehaviour::Raw(part(target, "", size)));
            let (received, ending) = upload(&scene, caller, "safe", 0).await;
            let body = received.matches('x').count();
            assert!(is_whole_success(&received, ending) && body >= size, "target {target}, caller {caller}, {size}");
            assert!(received.starts_with(&format!("HTTP/{caller} 200")), "{}", &received[..20]);
        }
    }
}
