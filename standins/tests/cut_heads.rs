//! Answers that stop within their head, at each byte of it, and heads whose framing is odd: a caller gets a
//! failure, never a success that is short and looks whole.

mod common;

use common::program;
use hyper::Method;
use standins::http::{NoReply, Reply};
use standins::scene::{SERVICE, Scene, Setup, look_route};
use standins::site::{HOST, RouteSpec, TestRequest, fresh_id};
use standins::target_server::Misbehaviour;
use standins::wait::WAIT_TIMEOUT;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// What the heads of good answers have in common, behind their first line.
const SIGNED: &str = "Lockloft-Request-Id: {id}\r\nLockloft-Response-Signature: signed-{id}\r\n";
/// The text of all bodies.
const BODY: &str = "hello";
/// Longest wait of a caller for what it reads by itself.
const ANSWERS: Duration = Duration::from_secs(5);

/// How the connection ends behind the bytes that came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    Close,
    Reset,
}

impl End {
    fn behind(self, text: &'static str) -> Misbehaviour {
        match self {
            Self::Close => Misbehaviour::Raw(text),
            Self::Reset => Misbehaviour::RawReset(text),
        }
    }
}

async fn scene(count: usize) -> Scene {
    let routes = vec![look_route(), RouteSpec::new("/buy/", "unsafe", SERVICE)];
    Setup { slots: 8, routes, ..Setup::targets(count) }.start(program()).await
}

/// Waits until requests are served again: a target that failed gets a moment's rest.
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
        sleep(Duration::from_millis(20)).await;
    }
}

/// The first bytes of a text, up to each place within its first `end` bytes.
fn cuts(text: &'static str, end: usize) -> impl Iterator<Item = &'static str> {
    (0..=end).map(|place| &text[..place])
}

/// Length of a head with the empty line behind it.
fn head_length(text: &str) -> usize {
    text.rfind("\r\n\r\n").unwrap() + 4
}

fn leaked(text: String) -> &'static str {
    text.leak()
}

/// An answer with this framing.
fn answer(framing: &str, body: &str) -> &'static str {
    leaked(format!("HTTP/1.1 200 OK\r\n{SIGNED}{framing}\r\n{body}"))
}

/// Sends requests that may run once while the target's answers are cut; each has to fail visibly.
async fn assert_all_fail(scene: &Scene, end: End, method: &Method, texts: impl Iterator<Item = &'static str>) {
    for text in texts {
        served(scene).await;
        scene.set_all(end.behind(text));
        let request = TestRequest { method: method.clone(), ..TestRequest::post("/buy/x", "one") };
        let reply = request.send(scene.instance.callers).await.unwrap();
        let cut = &text[text.len().saturating_sub(40)..];
        assert_eq!(reply.status, 502, "{end:?} behind {} bytes, ...{cut:?}: {reply:?}", text.len());
        assert!(reply.header("lockloft-response-signature").is_empty(), "{reply:?}");
        assert_eq!(scene.runs_of(&request.id), 1, "it may run once; ...{cut:?}");
        scene.set_all(Misbehaviour::None);
    }
    served(scene).await;
}

async fn assert_heads_fail(end: End, is_kept: bool) {
    let scene = scene(1).await;
    if !is_kept {
        scene.targets[0].state(&[("Connection", "close")]);
    }
    let with_length = answer("Content-Length: 5\r\n", BODY);
    // All places within the body as well.
    assert_all_fail(&scene, end, &Method::POST, cuts(with_length, with_length.len() - 1)).await;
    let chunked = answer("Transfer-Encoding: chunked\r\n", "5\r\nhello\r\n0\r\n\r\n");
    assert_all_fail(&scene, end, &Method::POST, cuts(chunked, chunked.len() - 1)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_head_that_stops_at_any_byte_on_a_kept_connection_is_no_success() {
    assert_heads_fail(End::Close, true).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_head_that_stops_at_any_byte_on_a_new_connection_is_no_success() {
    assert_heads_fail(End::Close, false).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_head_that_is_reset_at_any_byte_on_a_kept_connection_is_no_success() {
    assert_heads_fail(End::Reset, true).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_head_that_is_reset_at_any_byte_on_a_new_connection_is_no_success() {
    assert_heads_fail(End::Reset, false).await;
}

/// An answer without a length is whole once its connection is closed, but not before its head is.
#[tokio::test(flavor = "multi_thread")]
async fn a_head_without_a_length_that_stops_at_any_byte_is_no_success() {
    let scene = scene(1).await;
    let text = answer("", BODY);
    let head = head_length(text);
    assert_all_fail(&scene, End::Close, &Method::POST, cuts(text, head - 1)).await;
    assert_all_fail(&scene, End::Reset, &Method::POST, cuts(text, text.len()).skip(head - 4)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_head_behind_interim_answers_that_stops_at_any_byte_is_no_success() {
    let scene = scene(1).await;
    let interim = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\nContent-Length: 3\r\n\r\n";
    let text = leaked(format!("{interim}{}", answer("Content-Length: 5\r\n", BODY)));
    assert_all_fail(&scene, End::Close, &Method::POST, cuts(text, text.len() - 1)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_head_of_an_answer_without_a_body_that_stops_at_any_byte_is_no_success() {
    let scene = scene(1).await;
    let to_head = answer("Content-Length: 5\r\n", "");
    assert_all_fail(&scene, End::Close, &Method::HEAD, cuts(to_head, to_head.len() - 1)).await;
    for status in ["204 No Content", "304 Not Modified"] {
        let text = leaked(format!("HTTP/1.1 {status}\r\n{SIGNED}\r\n"));
        assert_all_fail(&scene, End::Close, &Method::POST, cuts(text, text.len() - 1)).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn the_head_of_a_large_or_compressed_answer_that_stops_at_any_byte_is_no_success() {
    let scene = scene(1).await;
    let large = answer("Content-Length: 200000\r\n", "");
    assert_all_fail(&scene, End::Close, &Method::POST, cuts(large, large.len() - 1)).await;
    let compressed = answer("Content-Encoding: gzip\r\nContent-Length: 20\r\n", "\x1f");
    assert_all_fail(&scene, End::Close, &Method::POST, cuts(compressed, compressed.len()).skip(90)).await;
}

/// Retries are earned by requests that are served, so that not every place can be retried.
#[tokio::test(flavor = "multi_thread")]
async fn a_safe_request_gets_a_whole_answer_in_place_of_a_head_that_stops() {
    let scene = scene(2).await;
    let text = answer("Content-Length: 5\r\n", BODY);
    for cut in cuts(text, text.len() - 1).step_by(9) {
        for _ in 0..10 {
            assert_eq!(TestRequest::get("/look/a").send(scene.instance.callers).await.unwrap().status, 200);
        }
        let home = scene.targets.iter().max_by_key(|target| target.runs().len()).unwrap();
        home.set(Misbehaviour::Raw(cut));
        let request = TestRequest::get("/look/a");
        let reply = request.send(scene.instance.callers).await.unwrap();
        assert_eq!(reply.status, 200, "{cut:?}");
        assert!(reply.body.ends_with(request.id.as_bytes()), "{cut:?}");
        assert!(scene.runs_of(&request.id) <= 2, "{cut:?}");
        home.set(Misbehaviour::None);
    }
}

/// An answer as it was read.
#[derive(Debug)]
struct Read {
    status: String,
    body: String,
}

/// The whole answers with a length that follow one another in what was read.
fn whole_answers(mut text: &str) -> Vec<Read> {
    let mut all = Vec::new();
    while let Some(end) = text.find("\r\n\r\n") {
        let head = text[..end].to_ascii_lowercase();
        let length = head.lines().find_map(|line| line.strip_prefix("content-length:")?.trim().parse().ok());
        let body_end = end + 4 + length.unwrap_or(0);
        let Some(body) = text.get(end + 4..body_end) else { break };
        all.push(Read { status: head.chars().skip(9).take(3).collect(), body: body.to_owned() });
        text = &text[body_end..];
    }
    all
}

/// Reads so many answers of one connection, as many as come before its end.
async fn read_answers(stream: &mut TcpStream, count: usize) -> Vec<Read> {
    let mut read = Vec::new();
    let found = |read: &[u8]| whole_answers(&String::from_utf8_lossy(read));
    let reading = async { while found(&read).len() < count && stream.read_buf(&mut read).await.unwrap() > 0 {} };
    timeout(ANSWERS, reading).await.expect("the answers come");
    found(&read)
}

fn head(method: &str, path: &str, id: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nLockloft-Request-Id: {id}\r\nLockloft-Affinity-Key: 1\r\n\
         Lockloft-Deadline-Ms: 2500\r\n\r\n"
    )
}

#[tokio::test(flavor = "multi_thread")]
async fn a_head_that_stops_spoils_no_other_answer_on_its_caller_s_connection() {
    let scene = scene(1).await;
    let text = answer("Content-Length: 5\r\n", BODY);
    for cut in cuts(text, text.len() - 1).step_by(7) {
        served(&scene).await;
        let mut stream = TcpStream::connect(scene.instance.callers).await.unwrap();
        // Idempotent ones begin at once, side by side; each of their answers is cut.
        scene.set_all(Misbehaviour::Raw(cut));
        let early: String = (0..3).map(|_| head("GET", "/look/a", &fresh_id())).collect();
        stream.write_all(early.as_bytes()).await.unwrap();
        let answers = read_answers(&mut stream, 3).await;
        let are_failures = answers.iter().all(|answer| ["502", "503"].contains(&answer.status.as_str()));
        assert!(answers.len() == 3 && are_failures, "{cut:?}: {answers:?}");
        scene.set_all(Misbehaviour::None);
        served(&scene).await;
        let id = fresh_id();
        stream.write_all(head("GET", "/buy/a", &id).as_bytes()).await.unwrap();
        let answers = read_answers(&mut stream, 1).await;
        let [Read { status, body }] = &answers[..] else { panic!("{cut:?}: {answers:?}") };
        assert!(status == "200" && body.ends_with(&id), "{cut:?}: {answers:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_head_that_stops_at_any_byte_reaches_no_target() {
    let scene = scene(1).await;
    served(&scene).await;
    let before = scene.targets[0].arrivals();
    for is_reset in [false, true] {
        for method in ["GET", "POST"] {
            let text = head(method, "/buy/a", "cut-head").replace("\r\n\r\n", "\r\nContent-Length: 4\r\n\r\n");
            let mut cut_off = Vec::new();
            for place in 0..text.len() + 3 {
                let sent = format!("{text}body").as_bytes()[..place].to_vec();
                let mut stream = TcpStream::connect(scene.instance.callers).await.unwrap();
                stream.write_all(&sent).await.unwrap();
                match is_reset {
                    true => stream.set_zero_linger().unwrap(),
                    false => stream.shutdown().await.unwrap(),
                }
                cut_off.push((place, stream));
            }
            for (place, mut stream) in cut_off.into_iter().filter(|_| !is_reset) {
                let mut answer = Vec::new();
                let read = timeout(ANSWERS, stream.read_to_end(&mut answer)).await;
                assert!(read.is_ok(), "{method} cut behind {place} bytes: the connection stays open");
                let answer = String::from_utf8_lossy(&answer).into_owned();
                assert!(!answer.starts_with("HTTP/1.1 2"), "{method} cut behind {place} bytes: {answer}");
            }
        }
    }
    served(&scene).await;
    let id = "cut-head";
    assert_eq!(scene.runs_of(id), 0, "a part of a request ran");
    assert_eq!(scene.targets[0].arrivals(), before + 1);
}

/// Framings of which no whole answer can be read, or of which there are two readings.
const ODD: [&str; 33] = [
    "Content-Length: +5\r\n",
    "Content-Length: -5\r\n",
    "Content-Length: 5 5\r\n",
    "Content-Length: 0x5\r\n",
    "Content-Length: 5.0\r\n",
    "Content-Length: 5;\r\n",
    "Content-Length: 18446744073709551615\r\n",
    "Content-Length: 18446744073709551616\r\n",
    "Content-Length: 99999999999999999999999999\r\n",
    "Content-Length: \r\n",
    "Content-Length:\r\n",
    "Content-Length: ,\r\n",
    "Content-Length: 5,\r\n",
    "Content-Length: 5, 3\r\n",
    "Content-Length: 3\r\nContent-Length: 5\r\n",
    "Content-Length: 5\r\nContent-Length:\r\n",
    "Content-Length : 5\r\n",
    "Content-Length:\r\n 5\r\n",
    "X-Folded: a\r\n b\r\nContent-Length: 5\r\n",
    " Content-Length: 5\r\n",
    "X-Nul: a\0b\r\nContent-Length: 5\r\n",
    "X-\0Nul: a\r\nContent-Length: 5\r\n",
    "X-Return: a\rContent-Length: 5\r\n",
    "Transfer-Encoding: gzip\r\n",
    "Transfer-Encoding: identity\r\n",
    "Transfer-Encoding: chunked, identity\r\n",
    "Transfer-Encoding: gzip, chunked\r\n",
    "Transfer-Encoding: chunked, chunked\r\n",
    "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
    "Transfer-Encoding: xchunked\r\n",
    "Transfer-Encoding:\r\n",
    "Transfer-Encoding: chunked\r\nContent-Length: 15\r\n",
    "Content-Length: 5\r\nTransfer-Encoding: identity\r\n",
];

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_with_an_odd_framing_is_no_success() {
    let scene = scene(1).await;
    let mut wrong = Vec::new();
    for framing in ODD {
        for body in [BODY, "5\r\nhello\r\n0\r\n\r\n", ""] {
            served(&scene).await;
            scene.set_all(Misbehaviour::Raw(answer(framing, body)));
            let request = TestRequest::post("/buy/x", "one");
            match request.send(scene.instance.callers).await {
                Ok(reply) if reply.status == 502 => {}
                Ok(Reply { status, body: got, .. }) => wrong.push((framing, body, status.as_u16(), got)),
                Err(error) => assert_eq!(error, NoReply::Broken),
            }
            scene.set_all(Misbehaviour::None);
        }
    }
    assert!(wrong.is_empty(), "{} were passed on: {wrong:#?}", wrong.len());
}

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_that_switches_protocols_is_no_success() {
    let scene = scene(1).await;
    scene.set_all(Misbehaviour::Raw(
        "HTTP/1.1 101 Switching Protocols\r\nLockloft-Request-Id: {id}\r\nLockloft-Response-Signature: signed-{id}\r\n\
         Upgrade: websocket\r\nConnection: upgrade\r\n\r\nhello",
    ));
    let mut stream = TcpStream::connect(scene.instance.callers).await.unwrap();
    stream.write_all(head("GET", "/buy/a", &fresh_id()).as_bytes()).await.unwrap();
    let answers = read_answers(&mut stream, 1).await;
    assert!(matches!(&answers[..], [Read { status, .. }] if status == "502"), "{answers:?}");
    scene.set_all(Misbehaviour::None);
    served(&scene).await;
}

/// The head of one answer that stopped, and that of another behind it.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_whose_head_belongs_to_two_requests_is_no_success() {
    let scene = scene(1).await;
    let stitched = [
        "HTTP/1.1 200 OK\r\nLockloft-Request-Id: {id}\r\nX-Cut: HTTP/1.1 200 OK\r\nLockloft-Request-Id: another\r\n\
         Lockloft-Response-Signature: signed-another\r\nContent-Length: 5\r\n\r\nhello",
        "HTTP/1.1 200 OK\r\nLockloft-Request-Id: {id}\r\nLockloft-Response-Signature: signed-{id}\r\n\
         X-Cut: HTTP/1.1 200 OK\r\nLockloft-Request-Id: {id}\r\nLockloft-Response-Signature: signed-another\r\n\
         Content-Length: 5\r\n\r\nhello",
    ];
    let mut wrong = Vec::new();
    for text in stitched {
        served(&scene).await;
        scene.set_all(Misbehaviour::Raw(text));
        let mut stream = TcpStream::connect(scene.instance.callers).await.unwrap();
        stream.write_all(head("GET", "/buy/a", &fresh_id()).as_bytes()).await.unwrap();
        let answers = read_answers(&mut stream, 1).await;
        if !matches!(&answers[..], [Read { status, .. }] if status == "502") {
            wrong.push((text, answers));
        }
        scene.set_all(Misbehaviour::None);
    }
    assert!(wrong.is_empty(), "{wrong:#?}");
}

/// A caller of an earlier protocol sees no chunks: only a reset tells it that an answer broke off.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_that_breaks_off_is_reset_for_a_caller_that_takes_no_chunks() {
    let scene = scene(1).await;
    let part = "x".repeat(200_000);
    let broken = [
        answer("Transfer-Encoding: chunked\r\n", leaked(format!("{:x}\r\n{part}\r\n", part.len()))),
        answer("Content-Length: 200001\r\n", leaked(part)),
    ];
    for text in broken {
        served(&scene).await;
        scene.set_all(Misbehaviour::Raw(text));
        let mut stream = TcpStream::connect(scene.instance.callers).await.unwrap();
        let request = head("GET", "/buy/a", &fresh_id()).replace("HTTP/1.1", "HTTP/1.0");
        stream.write_all(request.as_bytes()).await.unwrap();
        let mut read = Vec::new();
        let ended = timeout(ANSWERS, stream.read_to_end(&mut read)).await.expect("the connection ends");
        let text = String::from_utf8_lossy(&read).into_owned();
        let answer = &text[..text.len().min(200)];
        let is_short = text.to_ascii_lowercase().contains("content-length: 200001");
        assert!(ended.is_err() || is_short || text.contains(" 502 "), "a short answer looks whole: {answer}");
        scene.set_all(Misbehaviour::None);
    }
}
