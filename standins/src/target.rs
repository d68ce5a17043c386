//! A target: slots, service time, reports, and the ways it can misbehave.

use crate::http::{Closed, serve, text};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::sync::Semaphore;
use tokio::task::JoinHandle;

/// Request header that names a run, to count how often it ran.
pub const RUN: &str = "x-run";
/// Response header with the target's name.
pub const NAME: &str = "x-target";

/// How a target behaves; all may change while it runs.
#[derive(Debug, Default)]
pub struct Behaviour {
    /// Mean time for one request, in microseconds.
    pub service_us: AtomicU64,
    /// It says that it is leaving.
    pub leaving: AtomicBool,
    /// It reports that it is idle, whatever it does.
    pub lies: AtomicBool,
    /// It reports nothing.
    pub silent: AtomicBool,
    /// It answers nothing any more, but keeps its connections.
    pub frozen: AtomicBool,
    /// It sheds each request before running it, and says so.
    pub sheds: AtomicBool,
    /// It breaks off in the middle of each answer.
    pub breaks: AtomicBool,
    /// It answers each request with an error after this status, 0 for none.
    pub status: AtomicU32,
    /// It closes the connection instead of answering, after running.
    pub closes: AtomicBool,
    /// Time to open a connection, in microseconds.
    pub open_us: AtomicU64,
    /// Time to answer a probe, in microseconds.
    pub probe_us: AtomicU64,
    /// Bytes of each answer beyond the echo.
    pub answer_bytes: AtomicU64,
    /// Requests after its start that take four times as long: a cold cache.
    pub cold: AtomicU64,
}

/// What a target saw.
#[derive(Debug, Default)]
pub struct Seen {
    /// Requests there now, running or waiting for a slot.
    pub flight: AtomicU32,
    /// The most there ever were.
    pub peak: AtomicU32,
    /// Requests run to their end.
    pub done: AtomicU64,
    /// Requests whose caller left before the end.
    pub cancelled: AtomicU64,
    /// Requests that began more than two seconds after it said it was leaving.
    pub late: AtomicU64,
    /// Probes answered.
    pub probes: AtomicU64,
    /// Connections accepted.
    pub connections: AtomicU64,
    /// How often each run began.
    pub runs: Mutex<HashMap<String, u32>>,
    left: Mutex<Option<Instant>>,
}

/// A running target.
pub struct Target {
    /// Its name.
    pub name: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// How it behaves.
    pub behaviour: Arc<Behaviour>,
    /// What it saw.
    pub seen: Arc<Seen>,
    slots: u32,
    task: Mutex<Option<JoinHandle<()>>>,
}

impl Drop for Target {
    fn drop(&mut self) {
        self.kill();
    }
}

struct Inner {
    name: String,
    slots: u32,
    running: Semaphore,
    behaviour: Arc<Behaviour>,
    seen: Arc<Seen>,
}

impl Target {
    /// Starts on `address`.
    pub async fn start(name: &str, address: SocketAddr, slots: u32, service: Duration) -> std::io::Result<Self> {
        let behaviour = Arc::new(Behaviour::default());
        behaviour.service_us.store(service.as_micros() as u64, Relaxed);
        let target =
            Self { name: name.to_owned(), address, behaviour, seen: Arc::default(), slots, task: Mutex::new(None) };
        target.restart().await?;
        Ok(target)
    }

    /// Starts it again after [`Self::kill`].
    pub async fn restart(&self) -> std::io::Result<()> {
        let listener = TcpListener::bind(self.address).await?;
        let inner = Arc::new(Inner {
            name: self.name.clone(),
            slots: self.slots,
            running: Semaphore::new(self.slots as usize),
            behaviour: self.behaviour.clone(),
            seen: self.seen.clone(),
        });
        let open = {
            let (behaviour, seen) = (self.behaviour.clone(), self.seen.clone());
            Arc::new(move || {
                seen.connections.fetch_add(1, Relaxed);
                Duration::from_micros(behaviour.open_us.load(Relaxed))
            })
        };
        let task = serve(listener, open, move |request| answer(inner.clone(), request));
        *self.task.lock().expect("no holder panics") = Some(task);
        Ok(())
    }

    /// Ends it with all its connections.
    pub fn kill(&self) {
        if let Some(task) = self.task.lock().expect("no holder panics").take() {
            task.abort();
        }
    }

    /// Has it say that it is leaving, or stays.
    pub fn leave(&self, leaving: bool) {
        self.behaviour.leaving.store(leaving, Relaxed);
        *self.seen.left.lock().expect("no holder panics") = leaving.then(Instant::now);
    }

    /// Starts the count of work that came too late, for a drain that is
    /// declared rather than said by the target.
    pub fn count_late_from_now(&self) {
        *self.seen.left.lock().expect("no holder panics") = Some(Instant::now());
    }

    /// Its slots.
    pub fn slots(&self) -> u32 {
        self.slots
    }
}

struct Flight(Arc<Seen>, bool);

impl Flight {
    fn new(seen: Arc<Seen>) -> Self {
        let now = seen.flight.fetch_add(1, Relaxed) + 1;
        seen.peak.fetch_max(now, Relaxed);
        Self(seen, false)
    }
}

impl Drop for Flight {
    fn drop(&mut self) {
        self.0.flight.fetch_sub(1, Relaxed);
        if !self.1 {
            self.0.cancelled.fetch_add(1, Relaxed);
        }
    }
}

/// Grace between a target's word and the end of new work.
const LEAVE_GRACE: Duration = Duration::from_secs(2);

async fn answer(inner: Arc<Inner>, request: Request<Incoming>) -> Result<Response<Full<Bytes>>, Closed> {
    if request.uri().path() == "/probe" {
        return Ok(probe(&inner).await);
    }
    let behaviour = &inner.behaviour;
    if behaviour.sheds.load(Relaxed) {
        let mut response = text(StatusCode::SERVICE_UNAVAILABLE, "shed");
        response.headers_mut().insert("lockloft-shed", "not-run".parse().expect("a word"));
        return Ok(response);
    }
    let mut flight = Flight::new(inner.seen.clone());
    if inner.seen.left.lock().expect("no holder panics").is_some_and(|at| at.elapsed() > LEAVE_GRACE) {
        inner.seen.late.fetch_add(1, Relaxed);
    }
    let run = request.headers().get(RUN).and_then(|v| v.to_str().ok()).map(str::to_owned);
    let method = request.method().clone();
    let path = request.uri().path_and_query().map(|p| p.to_string()).unwrap_or_default();
    let Ok(body) = request.into_body().collect().await else { return Err(Closed) };
    let body = body.to_bytes();
    let _slot = inner.running.acquire().await.expect("the semaphore is never closed");
    if let Some(run) = &run {
        *inner.seen.runs.lock().expect("no holder panics").entry(run.clone()).or_default() += 1;
    }
    if behaviour.frozen.load(Relaxed) {
        std::future::pending::<()>().await;
    }
    let time = inner.service_time();
    if !time.is_zero() {
        tokio::time::sleep(time).await;
    }
    flight.1 = true;
    inner.seen.done.fetch_add(1, Relaxed);
    if behaviour.closes.load(Relaxed) {
        return Err(Closed);
    }
    Ok(respond(&inner, &format!("{method} {path} {} {}", body.len(), run.unwrap_or_default())))
}

impl Inner {
    fn service_time(&self) -> Duration {
        let mean = self.behaviour.service_us.load(Relaxed) as f64;
        let jitter = 0.7 + 0.6 * rand::random::<f64>();
        let cold = self.behaviour.cold.load(Relaxed) > self.seen.done.load(Relaxed);
        let factor = if cold { 4.0 } else { 1.0 };
        Duration::from_micros((mean * jitter * factor) as u64)
    }
}

fn respond(inner: &Inner, echo: &str) -> Response<Full<Bytes>> {
    let behaviour = &inner.behaviour;
    let mut body = echo.as_bytes().to_vec();
    body.resize(body.len() + behaviour.answer_bytes.load(Relaxed) as usize, b'.');
    let status = behaviour.status.load(Relaxed) as u16;
    let mut response = text(StatusCode::from_u16(status).unwrap_or(StatusCode::OK), body);
    let headers = response.headers_mut();
    headers.insert(NAME, inner.name.parse().expect("a plain name"));
    if !behaviour.silent.load(Relaxed) {
        let flight = if behaviour.lies.load(Relaxed) { 0 } else { inner.seen.flight.load(Relaxed) };
        let use_ = f64::from(flight) / f64::from(inner.slots);
        let leaving = u8::from(behaviour.leaving.load(Relaxed));
        let report = format!(
            "JSON {{\"application_utilization\":{use_},\"named_metrics\":{{\"in_flight\":{flight},\"slots\":{},\"leaving\":{leaving}}}}}",
            inner.slots
        );
        headers.insert("endpoint-load-metrics", report.parse().expect("plain text"));
    }
    if behaviour.breaks.load(Relaxed) {
        response.headers_mut().insert("content-length", "1000000".parse().expect("a number"));
    }
    response
}

async fn probe(inner: &Inner) -> Response<Full<Bytes>> {
    let behaviour = &inner.behaviour;
    if behaviour.frozen.load(Relaxed) {
        std::future::pending::<()>().await;
    }
    tokio::time::sleep(Duration::from_micros(behaviour.probe_us.load(Relaxed))).await;
    inner.seen.probes.fetch_add(1, Relaxed);
    let state = if behaviour.leaving.load(Relaxed) { "leaving" } else { "live" };
    let flight = inner.seen.flight.load(Relaxed);
    text(StatusCode::OK, format!("{{\"state\":\"{state}\",\"in_flight\":{flight},\"slots\":{}}}", inner.slots))
}
