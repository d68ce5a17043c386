//! Discrete-event simulation of a load against the routing rules: no sockets, no processes.
//!
//! Simulates instances, each with its own routing state; targets with slots, a queue, a cache of keys
//! and a fraction of requests that they shed; and callers. If a target rejects a request, the instance
//! makes another try or refuses the request. A caller whose request is refused makes a second attempt
//! after the time in Retry-After. Target choice, retries of instances, retry budget and Retry-After
//! come from the library; everything else is simulated in this file. All randomness follows a seed.

use super::scene::{Scene, route};
use lockloft::clock::Instant;
use lockloft::decision::capacity::in_flight::InFlight;
use lockloft::decision::capacity::load_report::LoadReport;
use lockloft::decision::failure::next_try::{FailedTries, FailureReason, TryDecision, TryOutcome, next_try};
use lockloft::decision::failure::retry::{RetryBudget, member_budget};
use lockloft::decision::failure::shedding::has_free_slot;
use lockloft::decision::refusal::retry_after::{base_wait, with_jitter};
use lockloft::decision::registry::target::Target;
use lockloft::decision::registry::target_key::TargetKey;
use lockloft::decision::selection::choice::{NoTarget, Query, choose};
use lockloft::model::config::Route;
use lockloft::proxy::refusal::Refusal;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::time::Duration;

/// The simulated load, instances and targets.
#[derive(Clone, Debug)]
pub struct Load {
    /// Seed of arrivals, keys, work and shedding.
    pub seed: u64,
    /// Number of instances; each attempt of a caller goes to a random one.
    pub instances: usize,
    /// Number of affinity keys, equally likely.
    pub keys: u64,
    /// Requests per second, with exponentially distributed gaps.
    pub rate: f64,
    /// How long requests arrive after the warm-up.
    pub length: Duration,
    /// Time at the start whose arrivals are not counted, since no target has cached a key yet.
    pub warm_up: Duration,
    /// Mean work on a key that the target has cached; three times as long on another.
    pub work: Duration,
    /// Latency objective, from the caller's first attempt.
    pub objective: Duration,
    /// Keys that a target caches, least recently used evicted first.
    pub cached_keys: usize,
    /// Fraction of its requests that each target sheds after the warm-up, 0 to 1.
    pub shed_ratio: f64,
    /// Queue length from which a target rejects further requests.
    pub max_queue: usize,
    /// Time after which a load report to one instance reaches all instances; `None` if reports are
    /// not shared.
    pub report_delay: Option<Duration>,
    /// Whether instances choose targets as they do when loads are shared.
    pub has_shared_loads: bool,
}

/// Results of the requests after the warm-up, except for the longest queue.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Outcome {
    /// Answered within the objective.
    pub in_time: u32,
    /// Answered after the objective.
    pub late: u32,
    /// Refused at the last attempt: without a Retry-After time, or again after it.
    pub refused: u32,
    /// Requests sent to targets, including retries of instances and second attempts of callers.
    pub sends: u32,
    /// Longest queue at one target, requests; during the warm-up too.
    pub longest_queue: usize,
}

impl Outcome {
    /// Fraction of the requests that were answered within the objective.
    pub fn in_time_ratio(&self) -> f64 {
        f64::from(self.in_time) / f64::from(self.in_time + self.late + self.refused)
    }
}

/// Work on a key that is not cached, as a multiple of the work on a cached one.
const UNCACHED_FACTOR: u32 = 3;
/// Time between updates of the median latencies, as in an instance.
const MEDIAN_UPDATE_INTERVAL: Duration = Duration::from_millis(500);

/// One attempt of a caller.
#[derive(Clone, Copy, Debug)]
struct Request {
    key: u64,
    /// When the caller made its first attempt.
    first_attempt: Duration,
    /// Whether the caller was refused once and has waited for the time in Retry-After.
    is_second_attempt: bool,
}

/// A request sent to a target, running or queued there.
struct SentRequest {
    request: Request,
    instance: usize,
    /// Whether the target is the second one of the affinity key.
    is_second: bool,
    sent_at: Duration,
    in_flight: InFlight<Target>,
}

#[derive(Default)]
struct SimTarget {
    /// Cached keys, the most recently used last.
    cached: VecDeque<u64>,
    running: u32,
    queue: VecDeque<SentRequest>,
}

enum Event {
    Arrival(Request),
    MedianUpdate,
    /// All instances receive a target's load report to one of them: requests, and the time of the
    /// report.
    LoadShared(String, u32, Duration),
    /// The target finishes a request.
    Finished(String, SentRequest),
}

/// Events by time, then in the order in which they were scheduled.
#[derive(Default)]
struct EventQueue {
    order: BinaryHeap<Reverse<(Duration, u64)>>,
    events: BTreeMap<u64, Event>,
    scheduled: u64,
}

impl EventQueue {
    fn schedule(&mut self, at: Duration, event: Event) {
        self.scheduled += 1;
        self.order.push(Reverse((at, self.scheduled)));
        self.events.insert(self.scheduled, event);
    }

    fn next(&mut self) -> Option<(Duration, Event)> {
        let Reverse((at, number)) = self.order.pop()?;
        Some((at, self.events.remove(&number)?))
    }
}

/// Regions to which the instances are assigned in turn.
const REGIONS: [&str; 2] = ["a", "b"];
/// Slots of each target of a [`Scene`].
const SLOTS: u32 = 4;

/// Simulates a load against the eight targets of a [`Scene`].
pub fn replay(load: &Load) -> Outcome {
    let instances = (0..load.instances).map(|_| (Scene::new(), member_budget(0.2, 100.0, load.instances))).collect();
    let route = Route { latency_objective: load.objective, ..route("r", "a", "/") };
    let random = StdRng::seed_from_u64(load.seed);
    let mut simulation = Simulation {
        load,
        route,
        instances,
        random,
        targets: BTreeMap::new(),
        events: EventQueue::default(),
        started_at: Instant::now(),
        outcome: Outcome::default(),
    };
    simulation.schedule_arrivals();
    while let Some((at, event)) = simulation.events.next() {
        match event {
            Event::Arrival(request) => simulation.handle_arrival(request, at),
            Event::MedianUpdate => {
                simulation.instances.iter_mut().for_each(|(scene, _)| scene.routing.update_median_latencies())
            }
            Event::Finished(target, sent) => simulation.finish(&target, sent, at),
            Event::LoadShared(target, requests, reported_at) => simulation.share_load(&target, requests, reported_at),
        }
    }
    simulation.outcome
}

struct Simulation<'a> {
    load: &'a Load,
    route: Route,
    instances: Vec<(Scene, RetryBudget)>,
    random: StdRng,
    targets: BTreeMap<String, SimTarget>,
    events: EventQueue,
    started_at: Instant,
    outcome: Outcome,
}

impl Simulation<'_> {
    fn schedule_arrivals(&mut self) {
        let end = self.load.warm_up + self.load.length;
        let mut at = Duration::ZERO;
        while at < end {
            let key = self.random.random_range(0..self.load.keys);
            self.events.schedule(at, Event::Arrival(Request { key, first_attempt: at, is_second_attempt: false }));
            let gap = -self.random.random::<f64>().max(f64::MIN_POSITIVE).ln() / self.load.rate;
            at += Duration::from_secs_f64(gap);
        }
        for number in 0..(end.as_millis() / MEDIAN_UPDATE_INTERVAL.as_millis()) as u32 {
            self.events.schedule(MEDIAN_UPDATE_INTERVAL * number, Event::MedianUpdate);
        }
    }

    /// Whether the request counts in the outcome: its caller began after the warm-up.
    fn is_measured(&self, request: &Request) -> bool {
        request.first_attempt >= self.load.warm_up
    }

    /// Tries a request as an instance does, until a target accepts it or it is refused.
    fn handle_arrival(&mut self, request: Request, at: Duration) {
        let instance = self.random.random_range(0..self.instances.len());
        self.instances[instance].1.deposit();
        let mut tries = FailedTries::default();
        let mut tried: Vec<TargetKey> = Vec::new();
        loop {
            let costs_retry = match next_try(&tries, (&self.route).into()) {
                TryDecision::Try { costs_retry } => costs_retry,
                TryDecision::Refuse(reason) => return self.refuse(request, reason.into(), instance, at),
            };
            let now = self.started_at + at;
            let (scene, budget) = &mut self.instances[instance];
            let region = REGIONS[instance % REGIONS.len()];
            let affinity = request.key.wrapping_mul(0x9E37_79B9_7F4A_7C15);
            let query = Query {
                route: &self.route,
                tenant: None,
                service: "shop",
                affinity,
                region,
                slow_start: None,
                has_shared_loads: self.load.has_shared_loads,
                matched_policies: None,
                tried: &tried,
                now,
            };
            let chosen = choose(&scene.routing, &scene.config, &query);
            let chosen = match chosen {
                Ok(chosen) => chosen,
                Err(reason) => {
                    let refusal =
                        if matches!(reason, NoTarget::NoneUsable) { Refusal::NoTarget } else { Refusal::Full };
                    let refusal = tries.last.map_or(refusal, |_| refusal_after(&tries));
                    return self.refuse(request, refusal, instance, at);
                }
            };
            if costs_retry && !budget.withdraw(0.0) {
                return self.refuse(request, refusal_after(&tries), instance, at);
            }
            let (id, key) = (chosen.target.id.to_string(), chosen.target.key);
            let sent = SentRequest {
                request,
                instance,
                is_second: chosen.is_second,
                sent_at: at,
                in_flight: chosen.target.begin_request(now),
            };
            tried.push(key);
            self.outcome.sends += u32::from(self.is_measured(&request));
            let Some(rejected) = self.offer(&id, sent, at) else { return };
            let report = self.report(&id);
            rejected.in_flight.target().record_load_report(report, now);
            if has_free_slot(Some(report)) {
                tries.record(TryOutcome::Shed);
                tried.retain(|other| *other != key);
            } else {
                tries.record(TryOutcome::NotExecuted);
            }
        }
    }

    /// Sends a request to a target; returns it if the target rejects it.
    fn offer(&mut self, id: &str, sent: SentRequest, at: Duration) -> Option<SentRequest> {
        let sheds = at >= self.load.warm_up && self.random.random::<f64>() < self.load.shed_ratio;
        let target = self.targets.entry(id.to_owned()).or_default();
        if sheds || target.running == SLOTS && target.queue.len() >= self.load.max_queue {
            return Some(sent);
        }
        if target.running == SLOTS {
            target.queue.push_back(sent);
            self.outcome.longest_queue = self.outcome.longest_queue.max(target.queue.len());
        } else {
            self.start(id, sent, at);
        }
        None
    }

    /// Starts work on a request in a free slot.
    fn start(&mut self, id: &str, sent: SentRequest, at: Duration) {
        let target = self.targets.entry(id.to_owned()).or_default();
        target.running += 1;
        let is_cached = target.cached.contains(&sent.request.key);
        let factor = if is_cached { 1 } else { UNCACHED_FACTOR };
        let work = (self.load.work * factor).mul_f64(self.random.random_range(0.8..1.2));
        self.events.schedule(at + work, Event::Finished(id.to_owned(), sent));
    }

    /// Ends a request at its target, starts the next one in the queue and reports to the instance.
    fn finish(&mut self, id: &str, sent: SentRequest, at: Duration) {
        let target = self.targets.entry(id.to_owned()).or_default();
        target.running -= 1;
        let key = sent.request.key;
        target.cached.retain(|cached| *cached != key);
        target.cached.push_back(key);
        if target.cached.len() > self.load.cached_keys {
            target.cached.pop_front();
        }
        if let Some(next) = target.queue.pop_front() {
            self.start(id, next, at);
        }
        let (now, took) = (self.started_at + at, at - sent.sent_at);
        let report = self.report(id);
        let served = sent.in_flight.target().clone();
        served.record_load_report(report, now);
        if let Some(delay) = self.load.report_delay {
            self.events.schedule(at + delay, Event::LoadShared(id.to_owned(), report.running + report.waiting, at));
        }
        served.record_success(took, now);
        if sent.is_second {
            self.instances[sent.instance].0.routing.record_second_target_latency("shop", took);
        }
        self.record_answered(&sent.request, at);
    }

    /// Passes a load report on to all instances.
    fn share_load(&mut self, id: &str, requests: u32, reported_at: Duration) {
        for (scene, _) in &self.instances {
            let target = scene.routing.targets().find(|target| &*target.id == id);
            target.into_iter().for_each(|target| target.record_remote_load(requests, self.started_at + reported_at));
        }
    }

    fn record_answered(&mut self, request: &Request, at: Duration) {
        if !self.is_measured(request) {
            return;
        }
        match at - request.first_attempt <= self.load.objective {
            true => self.outcome.in_time += 1,
            false => self.outcome.late += 1,
        }
    }

    /// The load report in a target's response.
    fn report(&self, id: &str) -> LoadReport {
        let target = &self.targets[id];
        LoadReport { running: target.running, waiting: target.queue.len() as u32, slots: SLOTS, slowdown: None }
    }

    /// Refuses a request; after its first attempt the caller makes a second one, after the time in Retry-After.
    fn refuse(&mut self, request: Request, refusal: Refusal, instance: usize, at: Duration) {
        let median = self.instances[instance].0.routing.median_latency("shop");
        let capacity_wait = with_jitter(base_wait(median), self.random.random());
        let wait = refusal.retry_after(capacity_wait);
        match wait.filter(|_| !request.is_second_attempt) {
            Some(wait) => {
                self.events.schedule(at + wait, Event::Arrival(Request { is_second_attempt: true, ..request }))
            }
            None => self.outcome.refused += u32::from(self.is_measured(&request)),
        }
    }
}

/// The refusal after failed tries when no further one is made.
fn refusal_after(tries: &FailedTries) -> Refusal {
    let reason = match tries.last {
        Some(TryOutcome::Shed) => FailureReason::Shed,
        _ => FailureReason::NotExecuted,
    };
    reason.into()
}
