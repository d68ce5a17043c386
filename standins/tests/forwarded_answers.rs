//! Answers that break off, or do not end, on their way through another instance: the caller gets a failure,
//! never a success that is short and looks whole.

mod common;

use common::program;
use hyper::StatusCode;
use hyper::header::HeaderValue;
use serde_json::json;
use standins::http::{serve, text};
use standins::partition::{Cut, Partition};
use standins::ports::own_ip;
use standins::proxy::Proxy;
use standins::scene::{SERVICE, look_route};
use standins::site::{InstanceProcess, RouteSpec, Site, TestRequest};
use standins::slow_caller::SlowCaller;
use standins::target_server::{Endless, Misbehaviour, Pace, Registration, Run, TargetServer};
use standins::wait::wait_for;
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::task::JoinHandle;
use tokio::time::sleep;

/// Halls of the targets: all of them have to fail for an instance to be cut off.
const HALLS: [&str; 2] = ["a-1", "a-2"];
const SLOTS: u32 = 8;
const WORK: Duration = Duration::from_millis(2);
/// Time that callers give a request, milliseconds.
const DEADLINE_MS: u64 = 1_000;
/// How much later it may end.
const GRACE: Duration = Duration::from_millis(500);
/// What an instance may hold of answers without end, kB: a fifth of its memory.
const MAX_GROWTH: u64 = 50_000;
/// The head of an answer that is good up to there.
const HEAD: &str = "HTTP/1.1 200 OK\r\nLockloft-Request-Id: {id}\r\nLockloft-Response-Signature: signed-{id}\r\n";

/// Two instances, the first of which reaches no target.
struct Pair {
    site: Site,
    cut_off: InstanceProcess,
    other: InstanceProcess,
    targets: Vec<TargetServer>,
    _proxies: Vec<Proxy>,
}

impl Pair {
    async fn start() -> Self {
        let site = Site::start(program()).await;
        let partition = Partition::default();
        let (mut targets, mut proxies) = (Vec::new(), Vec::new());
        for (number, hall) in HALLS.into_iter().enumerate() {
            let target = TargetServer::start(&format!("u-{number}"), SLOTS, WORK).await.unwrap();
            let proxy = Proxy::start_partitioned(target.address, &partition).await.unwrap();
            site.register_at(&target, proxy.address, &Registration::ready(SERVICE, hall));
            targets.push(target);
            proxies.push(proxy);
        }
        let kinds = [("/buy/", "unsafe"), ("/pack/", "download")];
        let routes = kinds.map(|(prefix, kind)| RouteSpec::new(prefix, kind, SERVICE)).to_vec();
        site.configure(1, &[vec![look_route()], routes].concat(), &[SERVICE]);
        let (cut_off, other) = (site.ready_instance("e-1", "a-1").await, site.ready_instance("e-2", "a-2").await);
        partition.cut(cut_off.pid().unwrap(), Cut::Reset);
        let pair = Self { site, cut_off, other, targets, _proxies: proxies };
        pair.served().await;
        pair
    }

    fn runs(&self) -> Vec<Run> {
        self.targets.iter().flat_map(TargetServer::runs).collect()
    }

    fn set_all(&self, misbehaviour: Misbehaviour) {
        self.targets.iter().for_each(|target| target.set(misbehaviour));
    }

    /// Waits until the other instance serves a request that callers of the first have sent.
    async fn served(&self) {
        self.set_all(Misbehaviour::None);
        wait_for("a request is forwarded", async || {
            let request = TestRequest::post("/buy/a", "one");
            let reply = request.send(self.cut_off.callers).await;
            let is_served = reply.is_ok_and(|reply| reply.status == 200 && reply.body.ends_with(request.id.as_bytes()));
            is_served && !self.cut_off.request_line(&request.id).await["forwarded_to"].is_null()
        })
        .await;
    }

    /// Sends a request that may run once while the targets misbehave; it has to fail, visibly and in time.
    async fn assert_fails(&self, path: &str, misbehaviour: Misbehaviour) {
        self.served().await;
        self.set_all(misbehaviour);
        let request = TestRequest { deadline_ms: DEADLINE_MS, ..TestRequest::get(path) };
        let began = Instant::now();
        // A caller that reads bytes alone has read them once they have come, however they are framed.
        let received = SlowCaller::send(self.cut_off.callers, &request).await.unwrap().read_on().await;
        let took = began.elapsed();
        let (status, size) = (received.status, received.body.len());
        assert!([502, 504].contains(&status) || !received.is_whole, "{misbehaviour:?}: {status}, {size} bytes");
        assert!(took < Duration::from_millis(DEADLINE_MS) + GRACE, "{misbehaviour:?}: {took:?}");
        let runs = self.targets.iter().flat_map(TargetServer::runs).filter(|run| run.id == request.id).count();
        assert_eq!(runs, 1, "{misbehaviour:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_head_that_stops_behind_another_instance_is_no_success() {
    let pair = Pair::start().await;
    for framing in ["Content-Length: 5\r\n\r\nhello", "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n"] {
        let text: &str = format!("{HEAD}{framing}").leak();
        for place in (0..text.len()).step_by(9) {
            let (end, reset) = (Misbehaviour::Raw(&text[..place]), Misbehaviour::RawReset(&text[..place]));
            pair.assert_fails("/buy/a", if place % 2 == 0 { end } else { reset }).await;
        }
    }
    pair.served().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_large_answer_that_breaks_off_behind_another_instance_breaks_visibly() {
    let pair = Pair::start().await;
    let part = "x".repeat(200_000);
    let chunked = format!("{HEAD}Transfer-Encoding: chunked\r\n\r\n{:x}\r\n{part}\r\n", part.len());
    let with_length = format!("{HEAD}Content-Length: {}\r\n\r\n{part}", part.len() + 1);
    for text in [&*chunked.leak(), &*with_length.leak()] {
        for path in ["/buy/a", "/pack/a"] {
            pair.assert_fails(path, Misbehaviour::Raw(text)).await;
        }
    }
    pair.served().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn bytes_without_end_behind_another_instance_break_off_in_time() {
    let pair = Pair::start().await;
    let peaks = || [&pair.cut_off, &pair.other].map(|instance| instance.peak_memory().unwrap());
    let before = peaks();
    for (begin, part) in [
        ("HTTP/1.1 200 OK\r\nX-Fill: ", "a"),
        ("", "HTTP/1.1 100 Continue\r\n\r\n"),
        ("{head}Transfer-Encoding: chunked\r\n\r\n", "0"),
        ("{head}Transfer-Encoding: chunked\r\n\r\n", "1\r\na\r\n"),
        ("{head}\r\n", "a"),
    ] {
        let begin = begin.replace("{head}", HEAD).leak();
        pair.assert_fails("/buy/a", Misbehaviour::Endless(Endless { begin, part, pace: Pace::Fast })).await;
    }
    pair.served().await;
    for (before, after) in before.into_iter().zip(peaks()) {
        assert!(after.saturating_sub(before) < MAX_GROWTH, "{before} kB before, {after} kB after");
    }
}

/// Guards against a part of an answer that the instance in between takes for the whole since its target speaks
/// HTTP/1.0.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_without_a_length_that_is_reset_behind_another_instance_breaks_visibly() {
    let pair = Pair::start().await;
    for (version, size) in [("1.0", 20_000), ("1.0", 200_000), ("1.1", 20_000), ("1.1", 200_000)] {
        let head = HEAD.replace("HTTP/1.1", &format!("HTTP/{version}"));
        let text = format!("{head}\r\n{}", "x".repeat(size));
        for path in ["/buy/a", "/pack/a"] {
            pair.assert_fails(path, Misbehaviour::RawReset(text.clone().leak())).await;
        }
    }
    pair.served().await;
}

/// Guards against a purchase that is repeated since a target that has run it answered 503 to another instance.
#[tokio::test(flavor = "multi_thread")]
async fn a_failure_of_a_forwarded_request_that_ran_does_not_say_that_it_has_not() {
    let pair = Pair::start().await;
    for status in [408, 429, 503] {
        let text = format!(
            "HTTP/1.1 {status} Failed\r\nLockloft-Request-Id: {{id}}\r\nLockloft-Response-Signature: signed\r\nContent-Length: 4\r\n\r\ndone"
        );
        pair.assert_fails("/buy/a", Misbehaviour::Raw(text.leak())).await;
    }
    pair.served().await;
}

/// A registered instance of an earlier version, which passes on any answer.
async fn earlier_version(site: &Site, status: StatusCode) -> JoinHandle<()> {
    let listener = TcpListener::bind((own_ip(), 0)).await.unwrap();
    let peer = listener.local_addr().unwrap();
    let member = json!({"callers": "127.0.0.1:9", "peer": peer, "hall": "a-2", "region": "a"});
    site.store.put("lockloft/entries/e-0", member.to_string());
    serve(listener, move |_| async move {
        let mut response = text(status, "done");
        let headers = response.headers_mut();
        headers.insert("entry-outcome", HeaderValue::from_static("answered"));
        headers.insert("lockloft-response-signature", HeaderValue::from_static("signed"));
        Ok(response)
    })
}

/// Guards against the same while an instance of an earlier version is left.
#[tokio::test(flavor = "multi_thread")]
async fn a_failure_that_an_earlier_version_passes_on_does_not_say_that_the_request_has_not_run() {
    let pair = Pair::start().await;
    let mut other = pair.other;
    other.kill();
    for status in [408, 429, 503] {
        let instance = earlier_version(&pair.site, StatusCode::from_u16(status).unwrap()).await;
        wait_for("the other instance is asked", async || {
            let reply = TestRequest::get("/look/a").send(pair.cut_off.callers).await.unwrap();
            reply.status == status && reply.header("lockloft-response-signature") == "signed"
        })
        .await;
        let reply = TestRequest::post("/buy/a", "one").send(pair.cut_off.callers).await.unwrap();
        assert_eq!(reply.status, StatusCode::BAD_GATEWAY, "{status}");
        assert_eq!(reply.header("lockloft-response-signature"), "", "{status}");
        instance.abort();
    }
}

/// Sends requests that may run once through the whole stop of one of the two instances.
async fn assert_answered_if_run(pair: &mut Pair, stops_other: bool) {
    pair.targets.iter().for_each(|target| target.set_work(Duration::from_millis(400)));
    let (callers, before) = (pair.cut_off.callers, pair.runs().len());
    let stopping = if stops_other { &mut pair.other } else { &mut pair.cut_off };
    stopping.terminate();
    let mut sent = Vec::new();
    while !stopping.has_exited() {
        let request = TestRequest::post("/buy/a", "one");
        sent.push(tokio::spawn(async move { (request.send(callers).await, request.id) }));
        sleep(Duration::from_millis(100)).await;
    }
    let runs = pair.runs();
    assert!(runs.len() > before, "no run shows anything");
    for sent in sent {
        let (reply, id) = sent.await.unwrap();
        let Some(run) = runs.iter().find(|run| run.id == id) else { continue };
        assert!(!run.cut && reply.is_ok_and(|reply| reply.status == 200), "{run:?} got no answer");
    }
}

/// Guards against forwarded requests that are passed on late in a planned stop and cut off at its end.
#[tokio::test(flavor = "multi_thread")]
async fn forwarded_requests_late_in_a_stop_are_answered_if_they_ran() {
    for stops_other in [true, false] {
        assert_answered_if_run(&mut Pair::start().await, stops_other).await;
    }
}
