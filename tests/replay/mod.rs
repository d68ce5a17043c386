//! Replay of a load against the rules under simulated time: no sockets, no processes.
//!
//! Instances with a routing each, targets with slots, a queue, a memory of keys and a share of
//! requests that they shed, and callers who return once, when they were told to. Choice,
//! retries, budget and times to return are the program's rules; what is simulated stands in
//! this file. All randomness follows a seed.

use super::scene::{Scene, route};
use lockloft::clock::Instant;
use lockloft::decision::capacity::in_flight::InFlight;
use lockloft::decision::capacity::load_report::LoadReport;
use lockloft::decision::failure::next_try::{Next, Reason, Tries, TryOutcome, next_try};
use lockloft::decision::failure::retry::{RetryBudget, budget};
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

/// What is played.
#[derive(Clone, Debug)]
pub struct Load {
    /// Seed of arrivals, keys, work and shedding.
    pub seed: u64,
    /// Instances, which callers choose by chance.
    pub instances: usize,
    /// Affinity keys, equally likely.
    pub keys: u64,
    /// Requests a second.
    pub rate: f64,
    /// How long requests arrive.
    pub length: Duration,
    /// Time of the first arrivals that are not counted: every key is unknown then.
    pub warm_up: Duration,
    /// Work on a key that the target knows; three times as much on another.
    pub work: Duration,
    /// Time within which an answer is in time, from the caller's first attempt.
    pub objective: Duration,
    /// Keys that a target remembers.
    pub memory: usize,
    /// Share of its requests that each target sheds after the warm-up.
    pub shed: f64,
    /// Requests that wait at a target at most.
    pub queue: usize,
    /// How long after a target told an instance its load all others hear of it; `None` where they
    /// do not.
    pub heard_after: Option<Duration>,
    /// Whether instances choose as they do where loads are shared.
    pub limits_shared: bool,
}

/// What callers got, of the requests that count.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Outcome {
    /// Answered within the objective.
    pub in_time: u32,
    /// Answered later.
    pub late: u32,
    /// Refused twice.
    pub refused: u32,
    /// Tries at targets.
    pub sends: u32,
    /// Most requests that waited at one target at once.
    pub most_waiting: usize,
}

impl Outcome {
    /// Share of the requests that were answered in time.
    pub fn share_in_time(&self) -> f64 {
        f64::from(self.in_time) / f64::from(self.in_time + self.late + self.refused)
    }
}

/// Work on an unknown key, as a multiple.
const UNKNOWN: u32 = 3;
/// Time between two looks at the median latencies, as in an instance.
const SWEEP_EVERY: Duration = Duration::from_millis(500);

/// A caller's request.
#[derive(Clone, Copy, Debug)]
struct Request {
    key: u64,
    first: Duration,
    is_return: bool,
}

struct Running {
    request: Request,
    instance: usize,
    is_second: bool,
    sent: Duration,
    in_flight: InFlight<Target>,
}

#[derive(Default)]
struct SimTarget {
    /// Known keys, the last used one at the end.
    known: VecDeque<u64>,
    running: u32,
    waiting: VecDeque<Running>,
}

enum Event {
    Arrival(Request),
    Sweep,
    /// All instances hear the load that a target told one: requests, and when.
    Heard(String, u32, Duration),
    /// The run at this target ends.
    End(String, Running),
}

/// Events by time, then in the order in which they were planned.
#[derive(Default)]
struct Agenda {
    order: BinaryHeap<Reverse<(Duration, u64)>>,
    events: BTreeMap<u64, Event>,
    planned: u64,
}

impl Agenda {
    fn plan(&mut self, at: Duration, event: Event) {
        self.planned += 1;
        self.order.push(Reverse((at, self.planned)));
        self.events.insert(self.planned, event);
    }

    fn next(&mut self) -> Option<(Duration, Event)> {
        let Reverse((at, number)) = self.order.pop()?;
        Some((at, self.events.remove(&number)?))
    }
}

/// Regions of the instances, in turn.
const REGIONS: [&str; 2] = ["a", "b"];
/// Slots of each target of a [`Scene`].
const SLOTS: u32 = 4;

/// Plays a load against the eight targets of a [`Scene`].
pub fn replay(load: &Load) -> Outcome {
    let instances = (0..load.instances).map(|_| (Scene::new(), budget(0.2, 100.0, load.instances))).collect();
    let route = Route { latency_objective: load.objective, ..route("r", "a", "/") };
    let random = StdRng::seed_from_u64(load.seed);
    let mut world = World {
        load,
        route,
        instances,
        random,
        targets: BTreeMap::new(),
        agenda: Agenda::default(),
        began: Instant::now(),
        outcome: Outcome::default(),
    };
    world.plan_arrivals();
    while let Some((at, event)) = world.agenda.next() {
        match event {
            Event::Arrival(request) => world.arrive(request, at),
            Event::Sweep => world.instances.iter_mut().for_each(|(scene, _)| scene.routing.update_median_latencies()),
            Event::End(target, running) => world.end(&target, running, at),
            Event::Heard(target, requests, told) => world.hear(&target, requests, told),
        }
    }
    world.outcome
}

struct World<'a> {
    load: &'a Load,
    route: Route,
    instances: Vec<(Scene, RetryBudget)>,
    random: StdRng,
    targets: BTreeMap<String, SimTarget>,
    agenda: Agenda,
    began: Instant,
    outcome: Outcome,
}

impl World<'_> {
    fn plan_arrivals(&mut self) {
        let end = self.load.warm_up + self.load.length;
        let mut at = Duration::ZERO;
        while at < end {
            let key = self.random.random_range(0..self.load.keys);
            self.agenda.plan(at, Event::Arrival(Request { key, first: at, is_return: false }));
            let gap = -self.random.random::<f64>().max(f64::MIN_POSITIVE).ln() / self.load.rate;
            at += Duration::from_secs_f64(gap);
        }
        for number in 0..(end.as_millis() / SWEEP_EVERY.as_millis()) as u32 {
            self.agenda.plan(SWEEP_EVERY * number, Event::Sweep);
        }
    }

    fn counts(&self, request: &Request) -> bool {
        request.first >= self.load.warm_up
    }

    /// Tries a request as an instance does, until a target takes it or it is refused.
    fn arrive(&mut self, request: Request, at: Duration) {
        let instance = self.random.random_range(0..self.instances.len());
        self.instances[instance].1.earn();
        let mut tries = Tries::default();
        let mut tried: Vec<TargetKey> = Vec::new();
        loop {
            let costs_retry = match next_try(&tries, (&self.route).into()) {
                Next::Try { costs_retry } => costs_retry,
                Next::Refuse(reason) => return self.refuse(request, reason.into(), instance, at),
            };
            let now = self.began + at;
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
                has_shared_loads: self.load.limits_shared,
                active: None,
                tried: &tried,
                now,
            };
            let chosen = choose(&scene.routing, &scene.config, &query);
            let chosen = match chosen {
                Ok(chosen) => chosen,
                Err(reason) => {
                    let own = if matches!(reason, NoTarget::NoneUsable) { Refusal::NoTarget } else { Refusal::Full };
                    let refusal = tries.last.map_or(own, |_| failed(&tries));
                    return self.refuse(request, refusal, instance, at);
                }
            };
            if costs_retry && !budget.spend(0.0) {
                return self.refuse(request, failed(&tries), instance, at);
            }
            let (id, key) = (chosen.target.id.to_string(), chosen.target.key);
            let running = Running {
                request,
                instance,
                is_second: chosen.is_second,
                sent: at,
                in_flight: chosen.target.begin(now),
            };
            tried.push(key);
            self.outcome.sends += u32::from(self.counts(&request));
            let Some(refused) = self.offer(&id, running, at) else { return };
            let report = self.report(&id);
            refused.in_flight.target().report(report, now);
            if has_free_slot(Some(report)) {
                tries.record(TryOutcome::Shed);
                tried.retain(|other| *other != key);
            } else {
                tries.record(TryOutcome::NotExecuted);
            }
        }
    }

    /// Offers a request to a target; given back where it is turned away.
    fn offer(&mut self, id: &str, running: Running, at: Duration) -> Option<Running> {
        let sheds = at >= self.load.warm_up && self.random.random::<f64>() < self.load.shed;
        let target = self.targets.entry(id.to_owned()).or_default();
        if sheds || target.running == SLOTS && target.waiting.len() >= self.load.queue {
            return Some(running);
        }
        if target.running == SLOTS {
            target.waiting.push_back(running);
            self.outcome.most_waiting = self.outcome.most_waiting.max(target.waiting.len());
        } else {
            self.run(id, running, at);
        }
        None
    }

    fn run(&mut self, id: &str, running: Running, at: Duration) {
        let target = self.targets.entry(id.to_owned()).or_default();
        target.running += 1;
        let is_known = target.known.contains(&running.request.key);
        let times = if is_known { 1 } else { UNKNOWN };
        let work = (self.load.work * times).mul_f64(self.random.random_range(0.8..1.2));
        self.agenda.plan(at + work, Event::End(id.to_owned(), running));
    }

    fn end(&mut self, id: &str, running: Running, at: Duration) {
        let target = self.targets.entry(id.to_owned()).or_default();
        target.running -= 1;
        let key = running.request.key;
        target.known.retain(|known| *known != key);
        target.known.push_back(key);
        if target.known.len() > self.load.memory {
            target.known.pop_front();
        }
        if let Some(next) = target.waiting.pop_front() {
            self.run(id, next, at);
        }
        let (now, took) = (self.began + at, at - running.sent);
        let report = self.report(id);
        let served = running.in_flight.target().clone();
        served.report(report, now);
        if let Some(after) = self.load.heard_after {
            self.agenda.plan(at + after, Event::Heard(id.to_owned(), report.running + report.waiting, at));
        }
        served.record_success(took, now);
        if running.is_second {
            self.instances[running.instance].0.routing.record_second("shop", took);
        }
        self.count(&running.request, at);
    }

    fn hear(&mut self, id: &str, requests: u32, told: Duration) {
        for (scene, _) in &self.instances {
            let target = scene.routing.targets().find(|target| &*target.id == id);
            target.into_iter().for_each(|target| target.hear_load(requests, self.began + told));
        }
    }

    fn count(&mut self, request: &Request, at: Duration) {
        if !self.counts(request) {
            return;
        }
        match at - request.first <= self.load.objective {
            true => self.outcome.in_time += 1,
            false => self.outcome.late += 1,
        }
    }

    fn report(&self, id: &str) -> LoadReport {
        let target = &self.targets[id];
        LoadReport { running: target.running, waiting: target.waiting.len() as u32, slots: SLOTS, slowdown: None }
    }

    /// Sends a caller away, who returns once when it was told to.
    fn refuse(&mut self, request: Request, refusal: Refusal, instance: usize, at: Duration) {
        let median = self.instances[instance].0.routing.median_latency("shop");
        let room_in = with_jitter(base_wait(median), self.random.random());
        let wait = refusal.retry_after(room_in);
        match wait.filter(|_| !request.is_return) {
            Some(wait) => self.agenda.plan(at + wait, Event::Arrival(Request { is_return: true, ..request })),
            None => self.outcome.refused += u32::from(self.counts(&request)),
        }
    }
}

/// The refusal where tries failed and none is left.
fn failed(tries: &Tries) -> Refusal {
    let reason = match tries.last {
        Some(TryOutcome::Shed) => Reason::Shed,
        _ => Reason::NotExecuted,
    };
    reason.into()
}
