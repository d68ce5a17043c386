//! Answers that their callers read slowly, while the instance stops or closes the connection: an answer is
//! finished once its caller's system has acknowledged the last byte, wherever its bytes were before.

mod common;

use common::program;
use standins::http;
use standins::scene::{SERVICE, Setup, look_route};
use standins::site::{HOST, InstanceProcess, RouteSpec, Site, TestRequest, fresh_id};
use standins::slow_caller::{Received, SlowCaller, head};
use standins::store::Trouble;
use standins::target_server::{TargetServer, large_body};
use standins::wait::wait_until;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// Rest of a caller in the middle of its answer: an instance without unfinished answers has stopped by then.
const REST: Duration = Duration::from_millis(2_900);
/// Time that a caller gives an answer, milliseconds.
const DEADLINE_MS: u64 = 8_000;
/// Bodies that a socket holds, that leave up to a part of 32 KiB in the connection's buffer, and that are
/// also held before it, bytes.
const SIZES: [usize; 10] = [1_000, 60_000, 75_000, 85_000, 95_000, 105_000, 115_000, 130_000, 180_000, 540_000];
/// Longest time of a stop of an instance that has nothing to wait for.
const SHORT_STOP: Duration = Duration::from_millis(2_500);
/// Idle time after which the configuration has a connection closed.
const IDLE_TIME: Duration = Duration::from_secs(5);

fn routes() -> Vec<RouteSpec> {
    let kinds = [("/buy/", "unsafe"), ("/send/", "upload"), ("/pack/", "download")];
    [vec![look_route()], kinds.map(|(prefix, kind)| RouteSpec::new(prefix, kind, SERVICE)).to_vec()].concat()
}

async fn site() -> (Site, Vec<TargetServer>) {
    Setup { slots: 64, routes: routes(), ..Setup::targets(2) }.deploy(program()).await
}

fn asked(path: &str) -> TestRequest {
    TestRequest { deadline_ms: DEADLINE_MS, ..TestRequest::get(path) }
}

/// An instance and a caller that has read the first bytes of what it asked for.
struct Reading {
    instance: InstanceProcess,
    caller: SlowCaller,
}

impl Reading {
    async fn begin(site: &Site, number: usize, request: &TestRequest) -> Self {
        let instance = site.ready_instance(&format!("e-{number}"), "a-1").await;
        let mut caller = SlowCaller::send_kept(instance.callers, request).await.unwrap();
        caller.read_head().await;
        Self { instance, caller }
    }

    /// Stops the instance while the caller rests; then the caller reads so many answers to their end.
    async fn stop(mut self, count: usize) -> Vec<Received> {
        self.instance.terminate();
        sleep(REST).await;
        let received = self.caller.read_answers(count).await;
        assert!(self.instance.wait_exit().await.success());
        received
    }
}

fn assert_whole(received: &[Received], id: &str, size: usize) {
    let [answer] = received else { panic!("{id}: {} answers", received.len()) };
    assert!(answer.is_whole, "{id}: {} of {size} bytes, status {}", answer.body.len(), answer.status);
    assert_eq!(answer.status, 200, "{id}");
    assert!(answer.body == large_body(id, size).as_bytes(), "{id}: the body is another");
}

/// What is done to an instance while a caller rests.
async fn assert_whole_for(sizes: &[usize], path: impl Fn(usize) -> String, meanwhile: impl AsyncFn(&Site, &Reading)) {
    let (site, _targets) = site().await;
    let mut resting = Vec::new();
    for (number, size) in sizes.iter().copied().enumerate() {
        let request = asked(&path(size));
        resting.push((Reading::begin(&site, number, &request).await, request.id, size));
    }
    let mut reading = Vec::new();
    for (begun, id, size) in resting {
        meanwhile(&site, &begun).await;
        reading.push(tokio::spawn(async move { (begun.stop(1).await, id, size) }));
    }
    let mut cut = Vec::new();
    for task in reading {
        let (received, id, size) = task.await.unwrap();
        match received.iter().all(|answer| answer.is_whole) {
            true => assert_whole(&received, &id, size),
            false => cut.push((size, received.iter().map(|answer| answer.body.len()).collect::<Vec<_>>())),
        }
    }
    assert!(cut.is_empty(), "answers of these sizes were cut after so many bytes: {cut:?}");
}

/// Guards against a stop that ends the process while the connection's buffer still has bytes of an answer.
#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_waits_for_bytes_in_the_buffer_of_a_connection() {
    assert_whole_for(&SIZES, |size| format!("/pack/{size}"), async |_, _| {}).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_waits_for_an_answer_without_a_length() {
    assert_whole_for(&SIZES, |size| format!("/pack/{size}/chunks"), async |_, _| {}).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_reload_before_a_planned_stop_cuts_no_answer() {
    let reload = async |_: &Site, reading: &Reading| {
        reading.instance.signal(libc::SIGHUP);
        wait_until("the reload", || !reading.instance.events("reloaded").is_empty()).await;
    };
    assert_whole_for(&[85_000, 100_000, 115_000, 300_000], |size| format!("/pack/{size}"), reload).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_while_the_store_is_away_cuts_no_answer() {
    let silence = async |site: &Site, _: &Reading| site.endpoint.set(Trouble::Silent);
    assert_whole_for(&[85_000, 100_000, 115_000, 300_000], |size| format!("/pack/{size}"), silence).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_second_signal_does_not_shorten_a_planned_stop() {
    let terminate = async |_: &Site, reading: &Reading| {
        reading.instance.terminate();
        wait_until("the stop", || !reading.instance.events("stopping").is_empty()).await;
    };
    assert_whole_for(&[85_000, 100_000, 115_000, 300_000], |size| format!("/pack/{size}"), terminate).await;
}

/// Bytes that arrive when the process is gone have the system reset the connection, and drop what the socket
/// still held.
#[tokio::test(flavor = "multi_thread")]
async fn bytes_that_a_caller_sends_late_do_not_cut_its_answer_in_a_planned_stop() {
    let (site, _targets) = site().await;
    for (number, size) in [60_000, 100_000, 115_000].into_iter().enumerate() {
        let request = asked(&format!("/pack/{size}"));
        let mut reading = Reading::begin(&site, number, &request).await;
        reading.instance.terminate();
        sleep(REST).await;
        // It fails only once the connection was reset, which the answer then shows.
        let _ = reading.caller.write("GET /look/next HTTP/1.1\r\n").await;
        sleep(Duration::from_millis(100)).await;
        assert_whole(&reading.caller.read_answers(1).await, &request.id, size);
        assert!(reading.instance.wait_exit().await.success());
    }
}

/// Pipelined requests of a caller that rests; all get whole answers while the instance stops.
async fn assert_pipelined_whole(cases: &[(usize, usize)], route: &str) {
    let (site, _targets) = site().await;
    let mut reading = Vec::new();
    for (number, (count, size)) in cases.iter().copied().enumerate() {
        let requests: Vec<TestRequest> = (0..count).map(|_| asked(&format!("{route}pack/{size}"))).collect();
        let instance = site.ready_instance(&format!("e-{number}"), "a-1").await;
        let mut caller = SlowCaller::connect(instance.callers).await.unwrap();
        let heads: String = requests.iter().map(|request| head(request, "")).collect();
        caller.write(&heads).await.unwrap();
        caller.read_head().await;
        sleep(Duration::from_millis(200)).await;
        reading.push(tokio::spawn(async move {
            let received = Reading { instance, caller }.stop(count).await;
            let whole = received.iter().filter(|answer| answer.is_whole && answer.status == 200).count();
            let expected = |at: usize| large_body(&requests[at].id, size);
            let is_own = received.iter().take(whole).enumerate().all(|(at, got)| got.body == expected(at).as_bytes());
            assert!(is_own, "an answer is not its request's own");
            (count, size, whole)
        }));
    }
    let mut cut = Vec::new();
    for task in reading {
        let (count, size, whole) = task.await.unwrap();
        if whole < count {
            cut.push(format!("{whole} of {count} with {size} bytes"));
        }
    }
    assert!(cut.is_empty(), "whole answers: {cut:?}");
}

/// Answers of up to 32 KiB, and those that are read into memory whole.
const PIPELINED: [(usize, usize); 7] =
    [(2, 20_000), (5, 20_000), (4, 25_000), (3, 32_000), (2, 45_000), (2, 64_000), (40, 2_500)];

#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_waits_for_small_answers_to_requests_sent_one_behind_another() {
    assert_pipelined_whole(&PIPELINED, "/").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_waits_for_small_answers_to_requests_that_began_early() {
    assert_pipelined_whole(&PIPELINED, "/look/").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_waits_for_the_answer_to_an_upload() {
    let (site, _targets) = site().await;
    let mut reading = Vec::new();
    for (number, (upload, size)) in
        [(10, 90_000), (10, 105_000), (200_000, 95_000), (700_000, 100_000)].into_iter().enumerate()
    {
        let id = fresh_id();
        let instance = site.ready_instance(&format!("e-{number}"), "a-1").await;
        let mut caller = SlowCaller::connect(instance.callers).await.unwrap();
        let text = format!(
            "POST /send/pack/{size} HTTP/1.1\r\nHost: {HOST}\r\nLockloft-Request-Id: {id}\r\n\
             Lockloft-Deadline-Ms: {DEADLINE_MS}\r\nContent-Length: {upload}\r\n\r\n{}",
            "u".repeat(upload)
        );
        caller.write(&text).await.unwrap();
        caller.read_head().await;
        let begun = Reading { instance, caller };
        reading.push(tokio::spawn(async move { assert_whole(&begun.stop(1).await, &id, size) }));
    }
    for task in reading {
        task.await.unwrap();
    }
}

/// Asks for the same on one connection until a caller that does not read holds up the answers, stops the
/// instance, and checks that all answers that had begun come whole.
async fn assert_internal_whole(address: SocketAddr, instance: InstanceProcess, path: &str, count: usize) -> usize {
    let mut caller = SlowCaller::connect(address).await.unwrap();
    let request = format!("GET {path} HTTP/1.1\r\nHost: {HOST}\r\n\r\n");
    caller.write(&request.repeat(count)).await.unwrap();
    sleep(Duration::from_millis(300)).await;
    // Before the first byte is read; answers without a deadline are waited for while they are read.
    instance.terminate();
    let received = caller.read_paced(Duration::from_millis(60)).await;
    let cut = received.iter().filter(|answer| !answer.is_whole).count();
    assert_eq!(cut, 0, "{path}: the last of {} answers is cut", received.len());
    assert!(received.iter().all(|answer| answer.status == 200), "{path}");
    received.iter().map(|answer| answer.body.len()).sum()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_cuts_no_answer_of_the_directory_to_peers_or_to_operators() {
    let (site, _targets) = site().await;
    for number in 0..400 {
        let value = format!(
            r#"{{"id":"none-{number}","spec":{{"service":"none","zone":"a-1","address":"127.0.0.1:9"}},"status":{{"state":"ready","sequence":1,"warmup_ms":0}}}}"#
        );
        site.store.put(&format!("servers/none-{number}"), value);
    }
    let resolve = format!("/-/resolve?name={HOST}&region=a&zone=any");
    let cases = [("directory", resolve.as_str(), 60), ("peers", "/metrics", 20), ("peers", "/changes?after=0", 6)];
    for (number, (listener, path, count)) in cases.into_iter().enumerate() {
        let instance = site.ready_instance(&format!("e-{number}"), "a-1").await;
        let address = if listener == "directory" { instance.directory } else { instance.peers };
        let bytes = assert_internal_whole(address, instance, path, count).await;
        println!("{path}: {bytes} bytes");
    }
}

/// Guards against a close for idleness while bytes of the last answer are in the connection's buffer.
#[tokio::test(flavor = "multi_thread")]
async fn a_connection_with_an_unfinished_answer_is_not_idle() {
    let (site, _targets) = site().await;
    let mut reading = Vec::new();
    for (number, size) in [60_000, 85_000, 95_000, 105_000, 115_000, 300_000].into_iter().enumerate() {
        let request = asked(&format!("/pack/{size}"));
        let mut begun = Reading::begin(&site, number, &request).await;
        reading.push(tokio::spawn(async move {
            sleep(IDLE_TIME + Duration::from_millis(1_500)).await;
            let received = begun.caller.read_answers(1).await;
            begun.instance.kill();
            (received, request.id, size)
        }));
    }
    let mut cut = Vec::new();
    for task in reading {
        let (received, _, size) = task.await.unwrap();
        if !received.iter().all(|answer| answer.is_whole) {
            cut.push(size);
        }
    }
    assert!(cut.is_empty(), "answers of these sizes were cut: {cut:?}");
}

/// Guards against a reset that takes back what the socket holds: the caller's bytes arrive after the close.
#[tokio::test(flavor = "multi_thread")]
async fn bytes_behind_the_last_request_do_not_cut_its_answer() {
    let (site, _targets) = site().await;
    let instance = site.ready_instance("e-1", "a-1").await;
    for size in [1_000, 60_000, 100_000, 115_000, 300_000] {
        for more in [10, 100_000] {
            let request = asked(&format!("/pack/{size}"));
            let mut caller = SlowCaller::send(instance.callers, &request).await.unwrap();
            caller.read_head().await;
            sleep(Duration::from_millis(300)).await;
            // It fails only once the connection was reset, which the answer then shows.
            let _ = caller.write(&"x".repeat(more)).await;
            sleep(Duration::from_millis(300)).await;
            assert_whole(&[caller.read_on().await], &request.id, size);
        }
    }
}

/// Guards against a reset that takes back a refusal of a request whose body nobody has read.
#[tokio::test(flavor = "multi_thread")]
async fn a_refusal_reaches_a_caller_that_is_still_sending() {
    let (site, _targets) = site().await;
    let instance = site.ready_instance("e-1", "a-1").await;
    for (path, length, status) in [("/none/x", 3_000_000, 404), ("/send/x", 5_000_000, 413), ("/none/x", 20_000, 404)] {
        let mut caller = SlowCaller::connect(instance.callers).await.unwrap();
        let head = format!("POST {path} HTTP/1.1\r\nHost: {HOST}\r\nContent-Length: {length}\r\n\r\n");
        let written = caller.write(&format!("{head}{}", "u".repeat(length))).await;
        let received = caller.read_answers(1).await;
        let [answer] = &received[..] else { panic!("{path}: {} answers, after {written:?}", received.len()) };
        assert_eq!((answer.status, answer.is_whole), (status, true), "{path}");
        assert!(written.is_ok(), "{path}: {written:?}");
    }
}

/// Guards against a reset by the end of a process that has not read all of what its caller sent.
#[tokio::test(flavor = "multi_thread")]
async fn answers_in_the_socket_outlast_a_stop_whose_time_is_over() {
    const REQUESTS: usize = 200;
    let setup = Setup { slots: 64, routes: routes(), stop_s: Some(3.0), ..Setup::targets(2) };
    let (site, _targets) = setup.deploy(program()).await;
    let mut instance = site.ready_instance("e-1", "a-1").await;
    let mut caller = SlowCaller::connect(instance.callers).await.unwrap();
    let request = TestRequest { deadline_ms: 60_000, ..asked("/look/pack/2500") };
    caller.write(&head(&request, "").repeat(REQUESTS)).await.unwrap();
    sleep(Duration::from_millis(500)).await;
    instance.terminate();
    assert!(instance.wait_exit().await.success());
    let stopped = instance.events("stopped").remove(0);
    let in_socket = stopped["in_socket"].as_u64().unwrap() as usize;
    assert!(in_socket > 30_000, "{stopped}");
    let received = caller.read_answers(REQUESTS).await;
    let whole: usize = received.iter().filter(|answer| answer.is_whole).map(|answer| answer.body.len()).sum();
    assert!(whole > in_socket * 9 / 10, "{whole} bytes of whole answers; {stopped}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_reads_nothing_does_not_hold_a_stop_beyond_its_deadline() {
    let (site, _targets) = site().await;
    let mut instance = site.ready_instance("e-1", "a-1").await;
    let request = TestRequest { deadline_ms: 1_000, ..asked("/pack/300000") };
    let caller = SlowCaller::send_kept(instance.callers, &request).await.unwrap();
    sleep(Duration::from_millis(500)).await;
    instance.terminate();
    let stopping = Instant::now();
    let status = instance.wait_exit().await;
    assert!(status.success());
    assert!(stopping.elapsed() < Duration::from_millis(3_000), "{:?}", stopping.elapsed());
    let lines = instance.events("answer_unfinished");
    let [line] = &lines[..] else { panic!("{lines:?}") };
    assert_eq!((&line["id"], &line["cut"]), (&request.id.clone().into(), &true.into()), "{line}");
    assert!(line["buffered"].as_u64() > Some(0) && line["in_socket"].as_u64() > Some(0), "{line}");
    drop(caller);
}

#[tokio::test(flavor = "multi_thread")]
async fn callers_that_read_nothing_hold_a_stop_until_its_time_at_most() {
    const CALLERS: usize = 40;
    let (site, _targets) = site().await;
    let mut instance = site.ready_instance("e-1", "a-1").await;
    let mut callers = Vec::new();
    for number in 0..CALLERS {
        let request = TestRequest { deadline_ms: 60_000, ..asked("/pack/100000") }.affinity(number);
        callers.push(SlowCaller::send_kept(instance.callers, &request).await.unwrap());
    }
    sleep(Duration::from_millis(800)).await;
    instance.terminate();
    let stopping = Instant::now();
    assert!(instance.wait_exit().await.success());
    let took = stopping.elapsed();
    // The stop of the site's settings takes 6 s.
    assert!(took > Duration::from_secs(5) && took < Duration::from_secs(6), "{took:?}");
    assert_eq!(instance.events("answer_unfinished").len(), 16, "lines about single answers are bounded");
    let stopped = instance.events("stopped").remove(0);
    assert_eq!((&stopped["unfinished"], &stopped["cut"]), (&CALLERS.into(), &CALLERS.into()), "{stopped}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stop_without_unfinished_answers_is_short() {
    let (site, _targets) = site().await;
    let mut instance = site.ready_instance("e-1", "a-1").await;
    let mut kept = Vec::new();
    for number in 0..40 {
        let mut connection = http::Connection::open(instance.callers).await.unwrap();
        let request = TestRequest::get("/look/a").affinity(number).request();
        assert_eq!(connection.send(request, Duration::from_secs(5)).await.unwrap().status, 200);
        kept.push(connection);
    }
    let request = asked("/pack/300000");
    let read = SlowCaller::send_kept(instance.callers, &request).await.unwrap().read_answers(1).await;
    assert_whole(&read, &request.id, 300_000);
    instance.terminate();
    let stopping = Instant::now();
    assert!(instance.wait_exit().await.success());
    assert!(stopping.elapsed() < SHORT_STOP, "{:?}", stopping.elapsed());
    println!("a stop without unfinished answers took {:?}", stopping.elapsed());
    assert_eq!(instance.events("stopped")[0]["unfinished"], 0);
}
