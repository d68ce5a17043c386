//! Simulation of a fleet and one target with a rate limit, without sockets: requests arrive at
//! random; responses and messages are delayed.

mod allowances;

use allowances::Exchange;
use lockloft::clock::Instant;
use lockloft::decision::capacity::rate_limit::totals::{LimitTotals, limit_from_message, limit_to_message};
use lockloft::decision::capacity::rate_limit::{LimitSignal, Permission, RateLimit};
use lockloft::decision::quota::{FORWARD_INTERVAL, REPORT_INTERVAL};
use lockloft::decision::registry::members::Members;
use lockloft::model::member::{Capacity, Member};
use lockloft::model::rate_limits::{LimitAnswer, LimitReport, StartKey, TargetDemand};
use lockloft::model::usage::encode;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::VecDeque;
use std::time::Duration;

/// Time step of the simulation.
const STEP: Duration = Duration::from_millis(10);
/// Time from a request to its response.
const RESPONSE_TIME: Duration = Duration::from_millis(150);
/// Delay of a message between two instances.
const NETWORK_DELAY: Duration = Duration::from_millis(12);
/// Window of the operators' bound.
const WINDOW: Duration = Duration::from_secs(4);
/// Time after a limit is announced from which the bound applies.
const ENFORCED_AFTER: Duration = Duration::from_secs(3);
/// Time after an instance passed a response with a limit on to a caller from which its requests count
/// against the bound.
const PROPAGATION_TIME: Duration = Duration::from_millis(500);
/// Share of the requests that arrive in the region of the target, which has a third of the halls.
const TARGET_REGION_RATIO: f64 = 0.85;
/// Time within which each instance that knows no limit asks its head.
const POLL_INTERVAL: Duration = Duration::from_secs(1);
/// Fleet size from which instances that know no limit ask their head every second.
const MIN_POLLING_INSTANCES: usize = 32;
const TARGET: StartKey = StartKey([7; 8]);

/// How instances keep the limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Mode {
    /// Only by their equal shares.
    EqualShares,
    /// Each lowers its rate when the target rejects a request, and raises it otherwise.
    Feedback,
    /// By the admit ratios that the heads of halls answer.
    Heads,
}

/// Result of a simulation.
#[derive(Debug)]
pub struct Outcome {
    /// Maximum number of requests in a window, of instances that know the limit: those that passed it on
    /// to a caller at least `PROPAGATION_TIME` before.
    pub max_sent_with_known_limit: f64,
    /// Maximum number of requests in a window, of all instances, from a second after the limit was
    /// announced.
    pub max_sent: f64,
    /// The operators' bound on both.
    pub allowed: f64,
    /// Fraction of the limit that was used while the bound applied.
    pub used: f64,
    /// Bytes of messages per second and instance, in both directions.
    pub bytes: f64,
}

struct Instance {
    limit: RateLimit,
    hall: usize,
    /// Requests a second that it allows itself, for [`Mode::Feedback`].
    rate: f64,
    /// Accumulated credit, 0 to 1 request, for [`Mode::Feedback`].
    credit: f64,
    /// When it first passed a response with a limit on to a caller.
    passed_on_at: Option<Instant>,
}

/// A response of the target in transit.
struct Response {
    instance: usize,
    sent: Instant,
    due: Instant,
    is_rejected: bool,
}

pub struct Fleet {
    mode: Mode,
    instances: Vec<Instance>,
    heads: Vec<LimitTotals>,
    members: Members,
    /// Delay of a message between two halls.
    hall_delay: Duration,
    demand: f64,
    announced_limit: Option<f64>,
    announced_at: Instant,
    now: Instant,
    step: u64,
    random: StdRng,
    responses: VecDeque<Response>,
    /// Reports in transit, each with its arrival time, its sender and the hall of its receiver.
    reports: VecDeque<(Instant, usize, usize, LimitReport)>,
    /// Answers to reports in transit, each with its arrival time and its receiver.
    limit_answers: VecDeque<(Instant, usize, LimitAnswer)>,
    /// Sent requests: when, and whether the instance knew the limit, as in
    /// [`Outcome::max_sent_with_known_limit`].
    sent: Vec<(Instant, bool)>,
    /// When requests came that the limit kept from being sent.
    limited: Vec<Instant>,
    /// When the target accepted requests, in the last window.
    accepted: VecDeque<Instant>,
    bytes: usize,
    is_partitioned: Vec<bool>,
    /// Whether an instance exchanges no messages with its head.
    is_silent: Vec<bool>,
    /// Fraction of the messages that are lost.
    loss: f64,
    /// Whether the target answers nothing.
    is_target_silent: bool,
    exchange: Exchange,
}

impl Fleet {
    pub fn new(mode: Mode, count: usize, halls: usize, demand: f64, seed: u64) -> Self {
        let now = Instant::now();
        let mut members = Members::default();
        for number in 0..count {
            let address = "127.0.0.1:1".parse().unwrap();
            let hall = hall_name(number % halls);
            let member = Member {
                hall,
                region: String::new(),
                callers: address,
                peer: address,
                isolated: false,
                capacity: Capacity::default(),
            };
            members.insert(name(number), member, now);
        }
        let instance = |number| Instance {
            limit: limit(mode),
            hall: number % halls,
            rate: f64::MAX,
            credit: 0.0,
            passed_on_at: None,
        };
        Self {
            mode,
            instances: (0..count).map(instance).collect(),
            heads: (0..halls).map(|_| LimitTotals::default()).collect(),
            members,
            hall_delay: NETWORK_DELAY,
            demand,
            announced_limit: None,
            announced_at: now,
            now,
            step: 0,
            random: StdRng::seed_from_u64(seed),
            responses: VecDeque::new(),
            reports: VecDeque::new(),
            limit_answers: VecDeque::new(),
            sent: Vec::new(),
            limited: Vec::new(),
            accepted: VecDeque::new(),
            bytes: 0,
            is_partitioned: vec![false; halls],
            is_silent: vec![false; count],
            loss: 0.0,
            is_target_silent: false,
            exchange: Exchange::new(count, halls),
        }
    }

    /// Sets the limit that the target announces from now on; `None` for no limit.
    pub fn set_limit(&mut self, limit: Option<f64>) {
        self.announced_limit = limit;
        self.announced_at = self.now;
    }

    pub fn set_demand(&mut self, demand: f64) {
        self.demand = demand;
    }

    /// Sets the delay of messages between two halls from now on.
    pub fn set_hall_delay(&mut self, delay: Duration) {
        self.hall_delay = delay;
    }

    /// Stops all messages between this hall and the others from now on.
    pub fn partition(&mut self, hall: usize) {
        self.is_partitioned[hall] = true;
    }

    /// Has all messages between this hall and the others arrive again.
    pub fn heal(&mut self, hall: usize) {
        self.is_partitioned[hall] = false;
    }

    /// Sets whether messages between an instance and its head are lost.
    pub fn set_silent(&mut self, instance: usize, is_silent: bool) {
        self.is_silent[instance] = is_silent;
    }

    /// Sets the fraction of messages that are lost.
    pub fn set_loss(&mut self, loss: f64) {
        self.loss = loss;
    }

    /// Sets whether the target answers nothing.
    pub fn set_silent_target(&mut self, is_silent: bool) {
        self.is_target_silent = is_silent;
    }

    /// Has another instance become the head of a hall.
    pub fn replace_head(&mut self, hall: usize) {
        self.heads[hall] = LimitTotals::default();
        self.forget_accounts(hall);
    }

    fn is_lost(&mut self) -> bool {
        self.loss > 0.0 && self.random.random::<f64>() < self.loss
    }

    fn are_connected(&self, hall: usize, other: usize) -> bool {
        !self.is_partitioned[hall] && !self.is_partitioned[other]
    }

    pub fn run(&mut self, seconds: f64) {
        self.run_until(seconds, |_| false);
    }

    /// Runs until `condition` is true of the limit at each instance, at most `seconds`. Returns the
    /// time that passed, seconds.
    pub fn run_until(&mut self, seconds: f64, condition: impl Fn(Option<f64>) -> bool) -> f64 {
        let started = self.now;
        while self.now - started < Duration::from_secs_f64(seconds) {
            self.advance();
            if self.instances.iter().all(|instance| condition(instance.limit.rate())) {
                break;
            }
        }
        (self.now - started).as_secs_f64()
    }

    pub fn outcome(&self, limit: f64) -> Outcome {
        let enforced_from = self.announced_at + ENFORCED_AFTER;
        let known_from = self.announced_at + POLL_INTERVAL;
        let max_in_window = |is_counted: &dyn Fn(&(Instant, bool)) -> bool| {
            let times: Vec<Instant> = self.sent.iter().filter(|sent| is_counted(sent)).map(|(at, _)| *at).collect();
            let within = |first: usize| times[first..].partition_point(|at| *at < times[first] + WINDOW);
            let is_enforced = |first: &usize| times[*first] + WINDOW >= enforced_from;
            (0..times.len()).filter(is_enforced).map(within).max().unwrap_or(0) as f64
        };
        let sent = self.sent.iter().filter(|(at, _)| *at >= enforced_from).count() as f64;
        let elapsed = self.now.saturating_duration_since(enforced_from).as_secs_f64();
        Outcome {
            max_sent_with_known_limit: max_in_window(&|(_, knows_limit)| *knows_limit),
            max_sent: max_in_window(&|(at, _)| *at >= known_from),
            allowed: 1.5 * limit * WINDOW.as_secs_f64() + 5.0,
            used: sent / (elapsed * limit),
            bytes: self.bytes as f64 / self.step as f64 / STEP.as_secs_f64() / self.instances.len() as f64,
        }
    }

    /// Fraction of the requests of the last `seconds` that the limit kept from being sent.
    pub fn limited_in_last(&self, seconds: f64) -> f64 {
        let from = self.now - Duration::from_secs_f64(seconds);
        let limited = self.limited.iter().filter(|at| **at >= from).count() as f64;
        let sent = self.sent.iter().filter(|(at, _)| *at >= from).count() as f64;
        limited / (sent + limited).max(1.0)
    }

    fn advance(&mut self) {
        self.now += STEP;
        self.step += 1;
        self.receive_responses();
        self.send_requests();
        if self.mode == Mode::Heads {
            self.deliver();
            self.report();
            self.forward();
            self.exchange_allowances();
        }
    }

    fn receive_responses(&mut self) {
        while self.responses.front().is_some_and(|response| response.due <= self.now) {
            let response = self.responses.pop_front().unwrap();
            if self.is_target_silent {
                continue;
            }
            let signal = self.announced_limit.map_or(LimitSignal::None, LimitSignal::Rate);
            let instance = &mut self.instances[response.instance];
            instance.limit.apply(signal, response.sent, self.now);
            if self.announced_limit.is_some() {
                instance.passed_on_at.get_or_insert(self.now);
            }
            match response.is_rejected {
                true => instance.rate = instance.rate.min(self.demand) * 0.7,
                false => instance.rate += 0.05,
            }
        }
    }

    fn send_requests(&mut self) {
        // The step has a hundred parts; in each a request arrives with the same probability.
        let probability = self.demand * STEP.as_secs_f64() / 100.0;
        for _ in 0..100 {
            if self.random.random::<f64>() < probability {
                self.request();
            }
        }
        let step = STEP.as_secs_f64();
        self.instances.iter_mut().for_each(|instance| {
            instance.credit = (instance.credit + instance.rate.min(1e3) * step).min(1.0);
        });
    }

    fn request(&mut self) {
        let halls = self.heads.len();
        let halls_of_target_region = halls.div_ceil(3);
        let is_in_target_region = self.random.random::<f64>() < TARGET_REGION_RATIO;
        let number = loop {
            let number = self.random.random_range(0..self.instances.len());
            if (number % halls < halls_of_target_region) == is_in_target_region {
                break number;
            }
        };
        let now = self.now;
        let own = name(number);
        let instance = &mut self.instances[number];
        if instance.limit.rate().is_some() {
            instance.limit.update_equal_share(1, &own, self.members.names());
        }
        match instance.limit.permission(now) {
            Permission::Ask => self.wait_for_allowance(number),
            _ => self.send_or_limit(number),
        }
    }

    /// Sends a request, or counts it where the limit forbids that.
    fn send_or_limit(&mut self, number: usize) {
        let now = self.now;
        let instance = &mut self.instances[number];
        let is_exhausted = match self.mode {
            Mode::Feedback => instance.passed_on_at.is_some() && instance.credit < 1.0,
            Mode::EqualShares | Mode::Heads => instance.limit.is_exhausted(now),
        };
        instance.limit.record_offered(now);
        if is_exhausted {
            self.limited.push(now);
            return;
        }
        instance.limit.record_sent(now);
        instance.credit = (instance.credit - 1.0).max(0.0);
        let knows_limit = instance.passed_on_at.is_some_and(|at| now - at >= PROPAGATION_TIME);
        self.sent.push((now, knows_limit));
        let is_rejected = self.rejects_request();
        self.responses.push_back(Response { instance: number, sent: now, due: now + RESPONSE_TIME, is_rejected });
    }

    /// Whether the target rejects a request that arrives now, since it exceeds the limit.
    fn rejects_request(&mut self) -> bool {
        let now = self.now;
        while self.accepted.front().is_some_and(|at| now - *at > WINDOW) {
            self.accepted.pop_front();
        }
        let max_requests = self.announced_limit.map_or(f64::MAX, |limit| limit * WINDOW.as_secs_f64());
        let is_full = self.accepted.len() as f64 >= max_requests;
        if !is_full {
            self.accepted.push_back(now);
        }
        is_full
    }

    fn report(&mut self) {
        let every = REPORT_INTERVAL.as_millis() as u64 / STEP.as_millis() as u64;
        for number in 0..self.instances.len() {
            let is_due = (self.step + number as u64).is_multiple_of(every);
            if !is_due && !self.instances[number].limit.has_surge() || self.is_silent[number] {
                continue;
            }
            let now = self.now;
            let hall = self.instances[number].hall;
            let asks = self.instances.len() >= MIN_POLLING_INSTANCES && (self.step + number as u64).is_multiple_of(100);
            let targets = match self.instances[number].limit.take_report(now) {
                Some((own, demand)) => {
                    let announced = own.and_then(|limit| limit_to_message(limit, now));
                    vec![TargetDemand { target: TARGET, announced, demand: demand as f32, is_leaving: false }]
                }
                None if asks => Vec::new(),
                None => continue,
            };
            let report = LimitReport { from: name(number), hall: hall_name(hall), is_forwarded: false, targets };
            self.bytes += encode(&report).len();
            if !self.is_lost() {
                self.reports.push_back((now + NETWORK_DELAY, number, hall, report));
            }
        }
    }

    fn forward(&mut self) {
        let every = FORWARD_INTERVAL.as_millis() as u64 / STEP.as_millis() as u64;
        for hall in 0..self.heads.len() {
            let is_due = (self.step + 7 * hall as u64).is_multiple_of(every);
            if !is_due || !self.heads[hall].should_forward(self.now) || self.is_partitioned[hall] {
                continue;
            }
            let targets = self.heads[hall].demands_to_forward(self.now);
            let report = LimitReport { from: name(hall), hall: hall_name(hall), is_forwarded: true, targets };
            let others = (0..self.heads.len()).filter(|other| *other != hall && !self.is_partitioned[*other]);
            for other in others.collect::<Vec<_>>() {
                self.bytes += encode(&report).len();
                if self.is_lost() {
                    continue;
                }
                self.reports.push_back((self.now + self.hall_delay, usize::MAX, other, report.clone()));
                let from = hall_name(other);
                self.heads[hall].record_hall_contact(&from, self.now);
            }
        }
    }

    /// Removes the reports that arrive now: sender, hall and content.
    fn take_due_reports(&mut self) -> Vec<(usize, usize, LimitReport)> {
        let now = self.now;
        let (due, later) = self.reports.drain(..).partition::<Vec<_>, _>(|(due, ..)| *due <= now);
        self.reports = later.into();
        due.into_iter().map(|(_, from, hall, report)| (from, hall, report)).collect()
    }

    fn deliver(&mut self) {
        for (from, hall, report) in self.take_due_reports() {
            let own = hall_name(hall);
            self.heads[hall].record_report(&report, &own, self.now);
            if !report.is_forwarded {
                let targets = self.heads[hall].target_admit_ratios(&report.targets, &self.members, &own, self.now);
                let answer = LimitAnswer { targets };
                self.bytes += encode(&answer).len();
                self.limit_answers.push_back((self.now + NETWORK_DELAY, from, answer));
            }
        }
        while self.limit_answers.front().is_some_and(|(due, ..)| *due <= self.now) {
            let (_, number, answer) = self.limit_answers.pop_front().unwrap();
            for target_admit_ratio in &answer.targets {
                let limit = &mut self.instances[number].limit;
                if let Some(remote) =
                    target_admit_ratio.announced.and_then(|announced| limit_from_message(announced, self.now))
                {
                    limit.record_remote(remote, self.now);
                }
                limit.set_admit_ratio(target_admit_ratio.admit_ratio.into(), self.random.random(), self.now);
            }
        }
    }
}

/// A limit that is not known yet.
fn limit(mode: Mode) -> RateLimit {
    let mut limit = RateLimit::default();
    if mode == Mode::Heads {
        limit.use_allowances();
    }
    limit
}

fn name(number: usize) -> String {
    format!("e-{number}")
}

fn hall_name(number: usize) -> String {
    format!("h-{number}")
}
