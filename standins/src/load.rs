//! An open-loop load: requests begin at their times whether or not earlier
//! ones have ended.

use crate::caller::{Caller, Send};
use crate::http::{NoReply, Reply};
use hdrhistogram::Histogram;
use rand::Rng;
use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::time::{Duration, Instant};
use tokio::sync::Mutex;

/// What is sent.
#[derive(Clone, Debug)]
pub struct Stream {
    /// Service.
    pub service: String,
    /// Requests a second.
    pub rate: f64,
    /// How long.
    pub time: Duration,
    /// Longest wait for an answer.
    pub wait: Duration,
    /// Headers.
    pub headers: Vec<(String, String)>,
    /// Second octet of the callers' addresses: their region in a plan.
    pub region: u8,
    /// Number of callers.
    pub callers: usize,
}

/// What came of it.
pub struct Outcome {
    /// Answers and failures by kind.
    pub counts: BTreeMap<String, u64>,
    /// Times to whole answers of targets, in microseconds.
    pub times: Histogram<u64>,
    /// Answers that were not those of their own request.
    pub foreign: u64,
    /// Answers of targets.
    pub done: Vec<Done>,
    /// When each request began, from the start of the stream.
    pub begun: Vec<Duration>,
}

/// One answer of a target.
#[derive(Clone, Debug)]
pub struct Done {
    /// When it came, from the start of the stream.
    pub at: Duration,
    /// When its request began.
    pub began: Duration,
    /// The target.
    pub target: String,
}

impl Default for Outcome {
    fn default() -> Self {
        let times = Histogram::new_with_bounds(1, 600_000_000, 3).expect("the bounds are constant and valid");
        Self { counts: BTreeMap::new(), times, foreign: 0, done: Vec::new(), begun: Vec::new() }
    }
}

impl Outcome {
    /// Answers of targets.
    pub fn good(&self) -> u64 {
        self.counts.get("200").copied().unwrap_or(0)
    }

    /// All requests.
    pub fn all(&self) -> u64 {
        self.counts.values().sum()
    }

    /// A time in milliseconds by quantile.
    pub fn ms(&self, quantile: f64) -> f64 {
        self.times.value_at_quantile(quantile) as f64 / 1000.0
    }

    fn add(&mut self, run: &str, result: Result<Reply, NoReply>, began: Duration, at: Duration) {
        let kind = match &result {
            Err(error) => format!("{error:?}").to_lowercase(),
            Ok(reply) if reply.status.as_u16() == 200 => "200".to_owned(),
            Ok(reply) => {
                let own: Option<serde_json::Value> = serde_json::from_slice(&reply.body).ok();
                let kind = own.and_then(|v| v["kind"].as_str().map(str::to_owned));
                kind.unwrap_or_else(|| reply.status.as_u16().to_string())
            }
        };
        if let Ok(reply) = &result
            && kind == "200"
        {
            let text = String::from_utf8_lossy(&reply.body);
            let echoed = text.trim_end_matches('.').split(' ').nth(3).unwrap_or("");
            self.foreign += u64::from(echoed != run);
            self.times.saturating_record((at - began).as_micros() as u64);
            self.done.push(Done { at, began, target: reply.header(crate::target::NAME).to_owned() });
        }
        self.begun.push(began);
        *self.counts.entry(kind).or_default() += 1;
    }
}

static NEXT: AtomicU64 = AtomicU64::new(1);

/// A name for a run that no other has.
pub fn fresh_run() -> String {
    format!("run-{}", NEXT.fetch_add(1, Relaxed))
}

/// Sends a stream; `known` are addresses that every caller starts with.
pub async fn run(stream: Stream, known: Vec<SocketAddr>) -> Outcome {
    let outcome = Arc::new(std::sync::Mutex::new(Outcome::default()));
    let mut callers = Vec::new();
    for i in 0..stream.callers {
        let source = IpAddr::V4(Ipv4Addr::new(127, stream.region, (i / 250) as u8 + 1, (i % 250) as u8 + 1));
        let mut known = known.clone();
        let first = i % known.len().max(1);
        known.rotate_left(first);
        // One caller has several connections: a pool of equal ones.
        callers.push(Arc::new(Pool { source, known, idle: Mutex::new(Vec::new()) }));
    }
    let (rate, time) = (stream.rate, stream.time);
    let stream = Arc::new(stream);
    let started = Instant::now();
    let mut tasks = tokio::task::JoinSet::new();
    let mut due = Duration::ZERO;
    while due < time {
        tokio::time::sleep_until((started + due).into()).await;
        let caller = callers[rand::rng().random_range(0..callers.len())].clone();
        let (stream, outcome) = (stream.clone(), outcome.clone());
        tasks.spawn(async move {
            let run = fresh_run();
            let headers: Vec<(&str, &str)> = stream.headers.iter().map(|(k, v)| (k.as_str(), v.as_str())).collect();
            let send = Send { wait: stream.wait, headers: &headers, ..Send::to(&stream.service, &run) };
            let mut one = caller.take().await;
            let began = started.elapsed();
            let result = one.send(&send).await;
            outcome.lock().expect("no holder panics").add(&run, result, began, started.elapsed());
            caller.idle.lock().await.push(one);
        });
        let gap: f64 = -rand::rng().random_range(f64::MIN_POSITIVE..1.0_f64).ln() / rate;
        due += Duration::from_secs_f64(gap);
        while tasks.try_join_next().is_some() {}
    }
    while tasks.join_next().await.is_some() {}
    Arc::try_unwrap(outcome).map(|m| m.into_inner().expect("no holder panics")).unwrap_or_default()
}

struct Pool {
    source: IpAddr,
    known: Vec<SocketAddr>,
    idle: Mutex<Vec<Caller>>,
}

impl Pool {
    async fn take(&self) -> Caller {
        let kept = self.idle.lock().await.pop();
        kept.unwrap_or_else(|| Caller::new(self.source, self.known.clone()))
    }
}
