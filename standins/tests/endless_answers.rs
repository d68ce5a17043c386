//! Bytes that are no answer and come without end, from targets, callers, peers and the store: the connection
//! they come on is closed, what they cost is bounded, and all other requests are served meanwhile.

mod common;

use common::program;
use standins::http::{NoReply, Reply};
use standins::ports::own_ip;
use standins::scene::{SERVICE, Scene, Setup, look_route, start_target_of};
use standins::site::{HOST, InstanceProcess, MEMORY_MB, RouteSpec, TestRequest, fresh_id};
use standins::store::Trouble;
use standins::target_server::{Endless, Misbehaviour, Pace, TargetServer};
use standins::wait::{WAIT_TIMEOUT, wait_for, wait_until};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};

/// Service of the target whose answers do not end.
const FLOOD: &str = "flood";
/// Time that callers give a request that such a target gets, milliseconds.
const DEADLINE_MS: u64 = 1_000;
/// How much later such a request may end, and its connection be closed.
const GRACE: Duration = Duration::from_millis(500);
/// Time in which all other requests are served: that which they give.
const OTHERS_WAIT: Duration = Duration::from_millis(2_500);
/// Pause between the other requests.
const PAUSE: Duration = Duration::from_millis(10);
/// What an instance may hold of all that comes without end at a time, kB: a fifth of its memory.
const MAX_GROWTH: u64 = 50_000;
/// What it may hold of bodies that it has not read far, kB.
const MAX_SMALL_GROWTH: u64 = 8_000;
/// Processor time that bytes which are no answer may take, where they come as fast as they are read.
const MAX_PROCESSOR_TIME: Duration = Duration::from_millis(500);
/// Bytes that are sent at a time where no target sends them.
const BLOCK: usize = 64 * 1024;
/// Time after which all that comes without end ends.
const LONGEST: Duration = Duration::from_secs(7);

/// The head of an answer that is good up to there.
const HEAD: &str = "HTTP/1.1 200 OK\r\nLockloft-Request-Id: {id}\r\nLockloft-Response-Signature: signed-{id}\r\n";

/// Bytes without end that are no part of any answer: what comes first, and what is repeated.
const NO_ANSWER: [(&str, &str); 14] = [
    ("HTTP/1.1 200 OK\r\n", "X-Fill: a\r\n"),
    ("HTTP/1.1 200 OK\r\nX-Fill: ", "a"),
    ("HTTP/1.1 200 OK\r\n", "a"),
    ("HTTP/1.1 200 ", "OK "),
    ("HTTP/1.1", " "),
    ("", "\r\n"),
    ("", "\0"),
    ("", "HTTP/1.1 100 Continue\r\n\r\n"),
    ("", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"),
    ("HTTP/1.1 200 OK\r\nX-Fill: a\r\n", " b\r\n"),
    ("{head}Transfer-Encoding: chunked\r\n\r\n5", ";a=b"),
    ("{head}Transfer-Encoding: chunked\r\n\r\n5", " "),
    ("{head}Transfer-Encoding: chunked\r\n\r\n", "0"),
    ("{head}Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n", "X-Fill: a\r\n"),
];

/// Bodies without end.
const BODIES: [(&str, &str); 4] = [
    ("{head}\r\n", "a"),
    ("{head}Transfer-Encoding: chunked\r\n\r\n", "1\r\na\r\n"),
    ("{head}Transfer-Encoding: chunked\r\n\r\n", "5;a\r\nhello\r\n"),
    ("{head}Content-Length: 18446744073709551613\r\n\r\n", "a"),
];

fn endless((begin, part): (&str, &'static str), pace: Pace) -> Endless {
    Endless { begin: begin.replace("{head}", HEAD).leak(), part, pace }
}

/// An instance, its good target and one whose answers do not end.
struct Flood {
    scene: Scene,
    target: TargetServer,
}

impl Flood {
    async fn start() -> Self {
        let kinds = [("/flood/", "unsafe"), ("/safe/", "safe"), ("/pack/", "download")];
        let floods = kinds.map(|(prefix, kind)| RouteSpec::new(prefix, kind, FLOOD));
        let routes = [vec![look_route(), RouteSpec::new("/send/", "upload", SERVICE)], floods.to_vec()].concat();
        let (site, targets) = Setup { routes: routes.clone(), ..Setup::targets(1) }.deploy(program()).await;
        site.configure(2, &routes, &[SERVICE, FLOOD]);
        let target = start_target_of(&site, "flood-1", FLOOD, "a-1").await;
        let instance = site.ready_instance("e-1", "a-1").await;
        instance.wait_status("/flood/a", 200).await;
        instance.wait_status("/look/a", 200).await;
        Self { scene: Scene { site, instance, targets }, target }
    }

    /// Waits until the target is asked again: one that failed gets a moment's rest.
    async fn recover(&self) {
        self.target.set(Misbehaviour::None);
        self.scene.instance.wait_status("/flood/a", 200).await;
    }
}

/// What an instance has used up.
#[derive(Clone, Copy, Debug)]
struct Used {
    memory: u64,
    processor: Duration,
}

impl Used {
    fn by(instance: &InstanceProcess) -> Self {
        let memory = instance.peak_memory().expect("it runs");
        Self { memory, processor: instance.processor_time().expect("it runs") }
    }

    fn since(self, before: Self) -> Self {
        // The system keeps its count of the memory on several processors, so that the peak may be read lower.
        let memory = self.memory.saturating_sub(before.memory);
        Self { memory, processor: self.processor - before.processor }
    }
}

/// Requests to the good target on connections of their own, and one on which they follow one another.
struct Others {
    stop: Arc<AtomicBool>,
    task: JoinHandle<(usize, Duration)>,
}

impl Others {
    fn start(callers: SocketAddr) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let task = tokio::spawn(Self::run(callers, stop.clone()));
        Self { stop, task }
    }

    async fn run(callers: SocketAddr, stop: Arc<AtomicBool>) -> (usize, Duration) {
        let mut kept = standins::http::Connection::open(callers).await.unwrap();
        let (mut count, mut slowest) = (0, Duration::ZERO);
        while !stop.load(Relaxed) {
            let request = TestRequest::get("/look/a");
            let began = Instant::now();
            let sent = match count % 2 {
                0 => kept.send(request.request(), OTHERS_WAIT).await,
                _ => standins::http::once(callers, request.request(), OTHERS_WAIT).await,
            };
            let reply = sent.unwrap_or_else(|error| panic!("{error:?} after {:?}", began.elapsed()));
            assert!(reply.status == 200 && reply.body.ends_with(request.id.as_bytes()), "{reply:?}");
            (count, slowest) = (count + 1, slowest.max(began.elapsed()));
            sleep(PAUSE).await;
        }
        (count, slowest)
    }

    async fn finish(self, what: &str) {
        self.stop.store(true, Relaxed);
        let (count, slowest) = self.task.await.expect("all are served");
        println!("{what}: {count} others, the slowest after {slowest:?}");
    }
}

/// A success that a caller may take for a whole answer.
fn is_success(reply: &Result<Reply, NoReply>) -> bool {
    reply.as_ref().is_ok_and(|reply| reply.status.is_success())
}

async fn assert_no_answer_is_cut_off(path: &str, pace: Pace) {
    let flood = Flood::start().await;
    let (instance, callers) = (&flood.scene.instance, flood.scene.instance.callers);
    let others = Others::start(callers);
    let (mut wrong, first) = (Vec::new(), Used::by(instance));
    for case in NO_ANSWER {
        flood.recover().await;
        let (ended, before) = (flood.target.endless_ends().len(), Used::by(instance));
        flood.target.set(Misbehaviour::Endless(endless(case, pace)));
        let request = TestRequest { deadline_ms: DEADLINE_MS, ..TestRequest::post(path, "one") };
        let began = Instant::now();
        let reply = request.send(callers).await;
        let took = began.elapsed();
        wait_until("the end of the bytes", || flood.target.endless_ends().len() > ended).await;
        let end = flood.target.endless_ends().remove(ended);
        let used = Used::by(instance).since(before);
        let status = reply.as_ref().ok().map(|reply| reply.status.as_u16());
        println!("{case:?} {status:?} after {took:?}, {} bytes, {used:?}", end.sent);
        let is_late = took > Duration::from_millis(DEADLINE_MS) + GRACE;
        let stays_open = !end.was_closed || end.lasted > Duration::from_millis(DEADLINE_MS) + GRACE;
        let is_costly = pace == Pace::Fast && used.processor > MAX_PROCESSOR_TIME;
        if is_success(&reply) || is_late || stays_open || is_costly {
            wrong.push((case, status, took, end, used));
        }
    }
    let growth = Used::by(instance).since(first).memory;
    others.finish("no answer").await;
    assert!(wrong.is_empty(), "{wrong:#?}");
    assert!(growth < MAX_GROWTH, "{growth} kB");
}

#[tokio::test(flavor = "multi_thread")]
async fn bytes_of_a_target_that_are_no_answer_and_do_not_end_are_cut_off() {
    assert_no_answer_is_cut_off("/flood/a", Pace::Fast).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn bytes_of_a_target_that_are_no_answer_and_come_bit_by_bit_are_cut_off() {
    assert_no_answer_is_cut_off("/flood/a", Pace::Parts).await;
}

async fn assert_bodies_end(pace: Pace, max_growth: u64) {
    /// Callers at a time.
    const CALLERS: usize = 4;
    let flood = Flood::start().await;
    let (instance, callers) = (&flood.scene.instance, flood.scene.instance.callers);
    let others = Others::start(callers);
    let before = Used::by(instance);
    for case in BODIES {
        flood.recover().await;
        flood.target.set(Misbehaviour::Endless(endless(case, pace)));
        let began = Instant::now();
        let asked = (0..CALLERS).map(|number| {
            let path = if number % 2 == 0 { "/flood/a" } else { "/pack/a" };
            let request = TestRequest { deadline_ms: DEADLINE_MS, ..TestRequest::post(path, "one") };
            tokio::spawn(async move { request.send(callers).await })
        });
        for task in asked.collect::<Vec<_>>() {
            let reply = task.await.unwrap();
            assert!(!is_success(&reply), "{case:?}: {:?}", reply.map(|reply| reply.body.len()));
        }
        let took = began.elapsed();
        println!("{case:?} after {took:?}, {:?}", Used::by(instance).since(before));
        assert!(took < Duration::from_millis(DEADLINE_MS) + GRACE, "{case:?}: {took:?}");
        wait_until("the end of the bytes", || flood.target.endless_ends().len() % CALLERS == 0).await;
        assert!(flood.target.endless_ends().iter().all(|end| end.was_closed), "{case:?}");
    }
    let growth = Used::by(instance).since(before).memory;
    others.finish("bodies").await;
    assert!(growth < max_growth, "{growth} kB");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_body_without_end_breaks_off_at_the_deadline() {
    assert_bodies_end(Pace::Fast, MAX_GROWTH).await;
}

/// Guards against small pieces of a body that keep whole read buffers in memory.
#[tokio::test(flavor = "multi_thread")]
async fn a_body_without_end_that_comes_bit_by_bit_takes_little_memory() {
    assert_bodies_end(Pace::Parts, MAX_SMALL_GROWTH).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn bytes_behind_a_whole_answer_spoil_nothing_and_close_the_connection() {
    let flood = Flood::start().await;
    let callers = flood.scene.instance.callers;
    for framing in ["Content-Length: 5\r\n\r\nhello", "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n"] {
        for part in ["a", "\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nspoil", "HTTP/1.1 100 Continue\r\n\r\n"]
        {
            flood.recover().await;
            let ended = flood.target.endless_ends().len();
            let begin = format!("{HEAD}{framing}").leak();
            flood.target.set(Misbehaviour::Endless(Endless { begin, part, pace: Pace::Fast }));
            let request = TestRequest::post("/flood/a", "one");
            let reply = request.send(callers).await.unwrap();
            assert_eq!((reply.status.as_u16(), &reply.body[..]), (200, &b"hello"[..]), "{part:?}");
            wait_until("the end of the bytes", || flood.target.endless_ends().len() > ended).await;
            let end = flood.target.endless_ends().remove(ended);
            assert!(end.was_closed && end.lasted < GRACE, "{part:?}: {end:?}");
        }
    }
}

/// The start of requests of callers that do not end, and what is repeated.
const REQUESTS: [(&str, &str); 9] = [
    ("GET /look/a HTTP/1.1\r\n", "X-Fill: a\r\n"),
    ("GET /look/a HTTP/1.1\r\nX-Fill: ", "a"),
    ("GET /", "a"),
    ("", "\r\n"),
    ("{post}Transfer-Encoding: chunked\r\n\r\n5", ";a=b"),
    ("{post}Transfer-Encoding: chunked\r\n\r\n", "0"),
    ("{post}Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n", "X-Fill: a\r\n"),
    ("{post}Transfer-Encoding: chunked\r\n\r\n", "1\r\na\r\n"),
    ("{post}Content-Length: 18446744073709551613\r\n\r\n", "a"),
];

/// Bodies of callers that come bit by bit; the first does not end.
const BITS: [(&str, &str); 2] =
    [("{post}Transfer-Encoding: chunked\r\n\r\n", "1\r\na\r\n"), ("{post}Content-Length: 400000\r\n\r\n", "a")];

/// Sends bytes without end on a new connection; returns what was answered, and whether the connection was
/// closed.
async fn send_endless(address: SocketAddr, begin: &str, part: &str, pace: Pace) -> (String, bool) {
    let stream = TcpStream::connect(address).await.unwrap();
    stream.set_nodelay(true).unwrap();
    let (mut reader, mut writer) = stream.into_split();
    let answer = tokio::spawn(async move {
        let mut answer = Vec::new();
        // What came before a reset counts.
        let _ = timeout(LONGEST, reader.read_to_end(&mut answer)).await;
        String::from_utf8_lossy(&answer).into_owned()
    });
    let repeated = match pace {
        Pace::Fast => part.repeat(BLOCK.div_ceil(part.len())),
        Pace::Parts => part.to_owned(),
    };
    let sending = async {
        if writer.write_all(begin.as_bytes()).await.is_ok() {
            while writer.write_all(repeated.as_bytes()).await.is_ok() {
                tokio::task::yield_now().await;
            }
        }
    };
    let is_closed = timeout(LONGEST, sending).await.is_ok();
    (answer.await.unwrap(), is_closed)
}

async fn assert_requests_are_cut_off(cases: &[(&str, &'static str)], pace: Pace, max_growth: u64) {
    let flood = Flood::start().await;
    let instance = &flood.scene.instance;
    let others = Others::start(instance.callers);
    let before = Used::by(instance);
    let sent = cases.iter().flat_map(|case| ["/look/a", "/send/a"].map(|path| (*case, path)));
    let tasks = sent.map(|((begin, part), path)| {
        let (callers, id) = (instance.callers, fresh_id());
        let post = format!(
            "POST {path} HTTP/1.1\r\nHost: {HOST}\r\nLockloft-Request-Id: {id}\r\n\
             Lockloft-Deadline-Ms: {DEADLINE_MS}\r\n"
        );
        let begin = begin.replace("{post}", &post);
        tokio::spawn(async move { (id, part, begin.clone(), send_endless(callers, &begin, part, pace).await) })
    });
    let mut wrong = Vec::new();
    for task in tasks.collect::<Vec<_>>() {
        let (id, part, begin, (answer, is_closed)) = task.await.unwrap();
        let took_ms = match begin.starts_with("POST") {
            true => instance.request_line(&id).await["took_ms"].as_u64(),
            false => None,
        };
        println!("{part:?} after {took_ms:?} ms, closed {is_closed}: {:?}", answer.lines().next());
        let is_late = took_ms.is_some_and(|ms| Duration::from_millis(ms) > Duration::from_millis(DEADLINE_MS) + GRACE);
        if !is_closed || answer.starts_with("HTTP/1.1 2") || is_late {
            wrong.push((begin, part, took_ms, answer));
        }
    }
    let used = Used::by(instance).since(before);
    println!("{used:?}");
    others.finish("requests").await;
    assert!(wrong.is_empty(), "{wrong:#?}");
    assert!(used.memory < max_growth, "{used:?}");
    let runs = flood.scene.targets[0].runs();
    assert!(runs.iter().all(|run| run.line.starts_with("GET ")), "a part of a request ran");
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_without_end_are_cut_off_and_run_nowhere() {
    assert_requests_are_cut_off(&REQUESTS, Pace::Fast, MAX_GROWTH).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_without_end_that_come_bit_by_bit_take_little_memory() {
    assert_requests_are_cut_off(&BITS, Pace::Parts, MAX_SMALL_GROWTH).await;
}

/// What comes without end in place of the answers of a peer or the store.
const SYSTEM_ANSWERS: [(&str, &str); 7] = [
    ("HTTP/1.1 200 OK\r\nX-Fill: ", "a"),
    ("", "HTTP/1.1 100 Continue\r\n\r\n"),
    ("", "\r\n"),
    ("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5", ";a=b"),
    ("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "0"),
    ("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n", " "),
    ("HTTP/1.1 200 OK\r\nContent-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\na\r\n"),
];

/// A relay before an address that answers by itself, without end, while it is told to.
struct Relay {
    address: SocketAddr,
    /// Number of the answer without end, from 1 on; 0 for none.
    answer: Arc<AtomicU64>,
    /// Bytes without end that were taken.
    sent: Arc<AtomicU64>,
    task: JoinHandle<()>,
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Relay {
    async fn start(to: SocketAddr) -> Self {
        let listener = TcpListener::bind((own_ip(), 0)).await.unwrap();
        let address = listener.local_addr().unwrap();
        let (answer, sent) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
        let (answer_number, count) = (answer.clone(), sent.clone());
        let task = tokio::spawn(async move {
            let mut open = tokio::task::JoinSet::new();
            while let Ok((stream, _)) = listener.accept().await {
                open.spawn(Self::pass(stream, to, answer_number.clone(), count.clone()));
            }
        });
        Self { address, answer, sent, task }
    }

    async fn pass(mut caller: TcpStream, to: SocketAddr, answer: Arc<AtomicU64>, sent: Arc<AtomicU64>) {
        let Ok(mut server) = TcpStream::connect(to).await else { return };
        let (mut asked, mut answered) = (vec![0; BLOCK], vec![0; BLOCK]);
        loop {
            tokio::select! {
                read = caller.read(&mut asked) => {
                    let Ok(size @ 1..) = read else { return };
                    let number = answer.load(Relaxed) as usize;
                    if number > 0 {
                        return Self::flood(caller, SYSTEM_ANSWERS[number - 1], &sent).await;
                    }
                    if server.write_all(&asked[..size]).await.is_err() {
                        return;
                    }
                }
                read = server.read(&mut answered) => {
                    let Ok(size @ 1..) = read else { return };
                    if caller.write_all(&answered[..size]).await.is_err() {
                        return;
                    }
                }
            }
        }
    }

    async fn flood(mut caller: TcpStream, (begin, part): (&str, &str), sent: &AtomicU64) {
        let repeated = part.repeat(BLOCK.div_ceil(part.len()));
        let sending = async {
            if caller.write_all(begin.as_bytes()).await.is_ok() {
                while caller.write_all(repeated.as_bytes()).await.is_ok() {
                    sent.fetch_add(repeated.len() as u64, Relaxed);
                }
            }
        };
        // It ends by itself where nobody closes the connection.
        let _ = timeout(LONGEST, sending).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn answers_of_the_store_without_end_cost_little_and_the_store_is_regained() {
    let (site, _targets) = Setup::targets(1).deploy(program()).await;
    let relay = Relay::start(site.endpoint.address).await;
    let mut instance = site.instance("e-1", "a-1");
    let (own, relayed) = (site.endpoint.address.to_string(), relay.address.to_string());
    instance.edit_settings(|text| text.replace(&own, &relayed));
    instance.start();
    instance.wait_ready().await;
    instance.wait_status("/look/a", 200).await;
    let others = Others::start(instance.callers);
    for number in 1..=SYSTEM_ANSWERS.len() {
        let (before, sent) = (Used::by(&instance), relay.sent.load(Relaxed));
        relay.answer.store(number as u64, Relaxed);
        // Several calls, each of which ends.
        sleep(Duration::from_secs(1)).await;
        relay.answer.store(0, Relaxed);
        let (used, sent) = (Used::by(&instance).since(before), relay.sent.load(Relaxed) - sent);
        println!("{:?} {sent} bytes, {used:?}", SYSTEM_ANSWERS[number - 1]);
        wait_for("the store is regained", async || instance.status().await["store"]["lost"] != true).await;
    }
    let peak = Used::by(&instance).memory;
    others.finish("store").await;
    assert!(peak < MEMORY_MB * 1_000, "{peak} kB");
    assert!(instance.is_ready().await);
}

#[tokio::test(flavor = "multi_thread")]
async fn answers_of_peers_without_end_keep_no_instance_from_its_view() {
    let Scene { site, instance: first, targets: _targets } = Setup::targets(1).start(program()).await;
    let mut relays = Vec::new();
    for number in 1..=SYSTEM_ANSWERS.len() {
        let relay = Relay::start(first.peers).await;
        relay.answer.store(number as u64, Relaxed);
        relays.push(relay);
    }
    site.endpoint.set(Trouble::Silent);
    let seeds: Vec<SocketAddr> = relays.iter().map(|relay| relay.address).chain([first.peers]).collect();
    let mut instance = site.instance_at("e-2", "a-2", &site.endpoint, &seeds);
    instance.start();
    let end = Instant::now() + WAIT_TIMEOUT;
    while !TestRequest::get("/look/a").send(instance.callers).await.is_ok_and(|reply| reply.status == 200) {
        assert!(Instant::now() < end, "it got no view: {}", instance.log());
        sleep(Duration::from_millis(50)).await;
    }
    let used = Used::by(&instance);
    println!("{used:?}");
    assert!(used.memory < MEMORY_MB * 1_000, "{used:?}");
}
