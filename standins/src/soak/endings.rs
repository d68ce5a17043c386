//! Requests that end the targets which run them, beside the other load and faults of a soak: a
//! service of its own, whose targets end and come back, and a caller that sends such requests
//! again and again to any instance.
//!
//! Owns these targets. What is checked of them is in [`super::promises`].

use super::callers::Shared;
use super::layout::HALLS;
use super::observations::Incarnation;
use crate::site::{RouteSpec, Site, TestRequest, fresh_id};
use crate::target_server::{Misbehaviour, Registration, TargetServer};
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use std::sync::Arc;
use std::sync::atomic::Ordering::Relaxed;
use std::time::{Duration, Instant};

/// The service.
pub const SERVICE: &str = "frail";
/// In the path of requests that end targets.
pub const ENDING: &str = "/frail/ending";
/// Different requests that do.
const REQUESTS: u32 = 3;
/// Targets of the service.
const TARGETS: usize = 8;
/// Requests that a target runs at a time.
const SLOTS: u32 = 4;
/// Time that a target works on a request.
const WORK: Duration = Duration::from_millis(10);
/// Time after which a target that ended is back, with another id.
const DOWN: Duration = Duration::from_millis(1_500);
/// Pause between attempts.
const PAUSE_MS: std::ops::Range<u64> = 50..250;

/// The route of the service.
pub fn route() -> RouteSpec {
    RouteSpec::new("/frail/", "safe", SERVICE)
}

/// The targets of the service.
pub struct FrailTargets {
    running: Vec<Frail>,
    ended: Vec<Incarnation>,
}

struct Frail {
    target: TargetServer,
    hall: usize,
    ended_at: Option<Instant>,
}

impl FrailTargets {
    /// Starts them.
    pub async fn start(site: &Site) -> Self {
        let mut running = Vec::new();
        for number in 0..TARGETS {
            running.push(Frail::start(site, number % HALLS.len()).await);
        }
        Self { running, ended: Vec::new() }
    }

    /// Starts those again that ended some time ago.
    pub async fn restart_ended(&mut self, site: &Site) {
        for frail in &mut self.running {
            if frail.is_due() {
                site.store.remove(&format!("servers/{}", frail.target.id));
                let new = Frail::start(site, frail.hall).await;
                let old = std::mem::replace(frail, new);
                self.ended.push(old.observed());
            }
        }
    }

    /// What they ran.
    pub fn observed(&self) -> Vec<Incarnation> {
        self.ended.iter().cloned().chain(self.running.iter().map(Frail::observed)).collect()
    }
}

impl Frail {
    async fn start(site: &Site, hall: usize) -> Self {
        let id = fresh_id().replace("request", "f");
        let target = TargetServer::start(&id, SLOTS, WORK).await.expect("loopback has free ports");
        target.set(Misbehaviour::EndOn(ENDING));
        site.register_as(&target, &Registration::ready(SERVICE, HALLS[hall]));
        Self { target, hall, ended_at: None }
    }

    /// Whether it ended so long ago that it is back.
    fn is_due(&mut self) -> bool {
        if !self.target.has_ended() {
            return false;
        }
        self.ended_at.get_or_insert_with(Instant::now).elapsed() >= DOWN
    }

    fn observed(&self) -> Incarnation {
        Incarnation {
            runs: self.target.runs(),
            drained: None,
            slow_until: None,
            evacuated: Vec::new(),
            resets: Vec::new(),
            ended: None,
        }
    }
}

/// Sends requests that end targets, to any instance, until the callers are to end.
pub async fn run_caller(shared: Arc<Shared>, seed: u64) {
    let mut random = StdRng::seed_from_u64(seed);
    while !shared.stop.load(Relaxed) {
        tokio::time::sleep(Duration::from_millis(random.random_range(PAUSE_MS))).await;
        let instance = shared.instances.choose(&mut random).expect("there is one").callers;
        let number = random.random_range(0..REQUESTS);
        let request = TestRequest::get(&format!("{ENDING}{number}")).affinity(number);
        // What it is answered does not matter here; an instance may be down.
        tokio::spawn(async move { request.send(instance).await });
    }
}
