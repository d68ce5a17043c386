//! A fleet and one target with a limit, without sockets: requests come at random, answers and
//! messages take their time on the way.

use lockloft::clock::Instant;
use lockloft::decision::capacity::rate_limit::totals::{LimitTotals, said, told_rate};
use lockloft::decision::capacity::rate_limit::{RateLimit, StatedLimit};
use lockloft::decision::quota::{FORWARD_INTERVAL, REPORT_INTERVAL};
use lockloft::decision::registry::members::Members;
use lockloft::model::member::{Capacity, Member};
use lockloft::model::rate_limits::{LimitAnswer, LimitReport, StartKey, TargetDemand};
use lockloft::model::usage::encode;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::VecDeque;
use std::time::Duration;

/// Time between looks.
const STEP: Duration = Duration::from_millis(10);
/// Time from a request to its answer.
const ANSWER_TIME: Duration = Duration::from_millis(150);
/// Time of a message between two instances.
const WAY_TIME: Duration = Duration::from_millis(12);
/// The operators' window.
const WINDOW: Duration = Duration::from_secs(4);
/// Time after a limit is named from which it binds.
const BINDS_AFTER: Duration = Duration::from_secs(3);
/// Time after which an instance that passed on such an answer counts.
const HEARD_AFTER: Duration = Duration::from_millis(500);
/// Share of the requests that come in at the region of the target, which has a third of the halls.
const NEAR: f64 = 0.85;
/// Time within which instances that know no limit ask.
const ASKED_WITHIN: Duration = Duration::from_secs(1);
/// Instances from which those that know no limit ask each second.
const ASKS_FROM: usize = 32;
const TARGET: StartKey = StartKey([7; 8]);

/// How instances keep a limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Way {
    /// By their equal parts alone.
    Parts,
    /// Each lowers what it sends when the target turns it away, and raises it otherwise.
    Feedback,
    /// By what the heads of halls answer.
    Heads,
}

/// What came of a play.
#[derive(Debug)]
pub struct Outcome {
    /// Most requests in a window that count: of instances that had passed on the limit.
    pub most: f64,
    /// Most requests in a window of those that any instance sent a second after the limit was named.
    pub most_sent: f64,
    /// The operators' bound on it.
    pub allowed: f64,
    /// Part of the limit that was used once it bound.
    pub used: f64,
    /// Bytes a second of messages an instance, both ways.
    pub bytes: f64,
}

struct Instance {
    limit: RateLimit,
    hall: usize,
    /// Requests a second that it sends by itself, for [`Way::Feedback`].
    rate: f64,
    saved: f64,
    /// When it passed on an answer that named a limit.
    told: Option<Instant>,
}

struct Answer {
    instance: usize,
    sent: Instant,
    due: Instant,
    is_turned_away: bool,
}

pub struct Fleet {
    way: Way,
    instances: Vec<Instance>,
    heads: Vec<LimitTotals>,
    members: Members,
    demand: f64,
    named: Option<f64>,
    named_at: Instant,
    now: Instant,
    step: u64,
    random: StdRng,
    answers: VecDeque<Answer>,
    /// Reports and answers to them on the way, each with when it arrives and at which head.
    reports: VecDeque<(Instant, usize, usize, LimitReport)>,
    shares: VecDeque<(Instant, usize, LimitAnswer)>,
    /// What was sent: when, and whether its instance had passed on the limit before.
    sent: Vec<(Instant, bool)>,
    /// When the target took requests of the last second.
    taken: VecDeque<Instant>,
    bytes: usize,
    is_cut: Vec<bool>,
}

impl Fleet {
    pub fn new(way: Way, count: usize, halls: usize, demand: f64, seed: u64) -> Self {
        let now = Instant::now();
        let mut members = Members::default();
        for number in 0..count {
            let address = "127.0.0.1:1".parse().unwrap();
            let hall = hall_name(number % halls);
            let member =
                Member { hall, region: String::new(), callers: address, peer: address, capacity: Capacity::default() };
            members.insert(name(number), member, now);
        }
        let instance = |number| Instance {
            limit: RateLimit::default(),
            hall: number % halls,
            rate: f64::MAX,
            saved: 0.0,
            told: None,
        };
        Self {
            way,
            instances: (0..count).map(instance).collect(),
            heads: (0..halls).map(|_| LimitTotals::default()).collect(),
            members,
            demand,
            named: None,
            named_at: now,
            now,
            step: 0,
            random: StdRng::seed_from_u64(seed),
            answers: VecDeque::new(),
            reports: VecDeque::new(),
            shares: VecDeque::new(),
            sent: Vec::new(),
            taken: VecDeque::new(),
            bytes: 0,
            is_cut: vec![false; halls],
        }
    }

    /// The target names another limit from now on, or none.
    pub fn name(&mut self, limit: Option<f64>) {
        self.named = limit;
        self.named_at = self.now;
    }

    pub fn set_demand(&mut self, demand: f64) {
        self.demand = demand;
    }

    /// No message comes into or out of the hall from now on.
    pub fn cut_off(&mut self, hall: usize) {
        self.is_cut[hall] = true;
    }

    pub fn run(&mut self, seconds: f64) {
        self.run_until(seconds, |_| false);
    }

    /// Runs until it holds of the limit at all instances, `seconds` at most; gives how long that took.
    pub fn run_until(&mut self, seconds: f64, holds: impl Fn(Option<f64>) -> bool) -> f64 {
        let begun = self.now;
        while self.now - begun < Duration::from_secs_f64(seconds) {
            self.advance();
            if self.instances.iter().all(|instance| holds(instance.limit.rate(self.now))) {
                break;
            }
        }
        (self.now - begun).as_secs_f64()
    }

    pub fn outcome(&self, limit: f64) -> Outcome {
        let bound = self.named_at + BINDS_AFTER;
        let heard = self.named_at + ASKED_WITHIN;
        let most_of = |is_counted: &dyn Fn(&(Instant, bool)) -> bool| {
            let times: Vec<Instant> = self.sent.iter().filter(|sent| is_counted(sent)).map(|(at, _)| *at).collect();
            let within = |first: usize| times[first..].partition_point(|at| *at < times[first] + WINDOW);
            let ends = |first: &usize| times[*first] + WINDOW >= bound;
            (0..times.len()).filter(ends).map(within).max().unwrap_or(0) as f64
        };
        let after = self.sent.iter().filter(|(at, _)| *at >= bound).count() as f64;
        let lasted = self.now.saturating_duration_since(bound).as_secs_f64();
        Outcome {
            most: most_of(&|(_, counts)| *counts),
            most_sent: most_of(&|(at, _)| *at >= heard),
            allowed: 1.5 * limit * WINDOW.as_secs_f64() + 5.0,
            used: after / (lasted * limit),
            bytes: self.bytes as f64 / self.step as f64 / STEP.as_secs_f64() / self.instances.len() as f64,
        }
    }

    fn advance(&mut self) {
        self.now += STEP;
        self.step += 1;
        self.take_answers();
        self.send_requests();
        if self.way == Way::Heads {
            self.deliver();
            self.report();
            self.forward();
        }
    }

    fn take_answers(&mut self) {
        while self.answers.front().is_some_and(|answer| answer.due <= self.now) {
            let answer = self.answers.pop_front().unwrap();
            let stated = self.named.map_or(StatedLimit::None, StatedLimit::Rate);
            let instance = &mut self.instances[answer.instance];
            instance.limit.state(stated, answer.sent, self.now);
            if self.named.is_some() {
                instance.told.get_or_insert(self.now);
            }
            match answer.is_turned_away {
                true => instance.rate = instance.rate.min(self.demand) * 0.7,
                false => instance.rate += 0.05,
            }
        }
    }

    fn send_requests(&mut self) {
        // A request comes in each of a hundred parts of the step with the same probability.
        let probability = self.demand * STEP.as_secs_f64() / 100.0;
        for _ in 0..100 {
            if self.random.random::<f64>() < probability {
                self.request();
            }
        }
        let step = STEP.as_secs_f64();
        self.instances.iter_mut().for_each(|instance| {
            instance.saved = (instance.saved + instance.rate.min(1e3) * step).min(1.0);
        });
    }

    fn request(&mut self) {
        let halls = self.heads.len();
        let near = halls.div_ceil(3);
        let is_near = self.random.random::<f64>() < NEAR;
        let number = loop {
            let number = self.random.random_range(0..self.instances.len());
            if (number % halls < near) == is_near {
                break number;
            }
        };
        let (now, way) = (self.now, self.way);
        let own = name(number);
        let instance = &mut self.instances[number];
        if way == Way::Parts || instance.limit.pass(now).is_none() {
            instance.limit.update_part(1, &own, self.members.names(), now);
        }
        let is_held = match way {
            Way::Feedback => instance.told.is_some() && instance.saved < 1.0,
            Way::Parts | Way::Heads => instance.limit.is_used_up(now),
        };
        instance.limit.offer(now);
        if is_held {
            return;
        }
        instance.limit.spend(now);
        instance.saved = (instance.saved - 1.0).max(0.0);
        let counts = instance.told.is_some_and(|told| now - told >= HEARD_AFTER);
        self.sent.push((now, counts));
        let is_turned_away = self.turns_away();
        self.answers.push_back(Answer { instance: number, sent: now, due: now + ANSWER_TIME, is_turned_away });
    }

    /// Whether the target turns a request away now that arrives beyond its limit.
    fn turns_away(&mut self) -> bool {
        let now = self.now;
        while self.taken.front().is_some_and(|at| now - *at > WINDOW) {
            self.taken.pop_front();
        }
        let most = self.named.map_or(f64::MAX, |limit| limit * WINDOW.as_secs_f64());
        let is_full = self.taken.len() as f64 >= most;
        if !is_full {
            self.taken.push_back(now);
        }
        is_full
    }

    fn report(&mut self) {
        let every = REPORT_INTERVAL.as_millis() as u64 / STEP.as_millis() as u64;
        for number in 0..self.instances.len() {
            let is_due = (self.step + number as u64).is_multiple_of(every);
            if !is_due && !self.instances[number].limit.is_unusual(self.now) {
                continue;
            }
            let now = self.now;
            let hall = self.instances[number].hall;
            let asks = self.instances.len() >= ASKS_FROM && (self.step + number as u64).is_multiple_of(100);
            let targets = match self.instances[number].limit.tell(now) {
                Some((own, demand)) => {
                    let told = own.and_then(|said| told_rate(said, now));
                    vec![TargetDemand { target: TARGET, told, demand: demand as f32, leaves: false }]
                }
                None if asks => Vec::new(),
                None => continue,
            };
            let report = LimitReport { from: name(number), hall: hall_name(hall), is_forwarded: false, targets };
            self.bytes += encode(&report).len();
            self.reports.push_back((now + WAY_TIME, number, hall, report));
        }
    }

    fn forward(&mut self) {
        let every = FORWARD_INTERVAL.as_millis() as u64 / STEP.as_millis() as u64;
        for hall in 0..self.heads.len() {
            let is_due = (self.step + 7 * hall as u64).is_multiple_of(every);
            if !is_due || !self.heads[hall].forwards(self.now) || self.is_cut[hall] {
                continue;
            }
            let targets = self.heads[hall].forward(self.now);
            let report = LimitReport { from: name(hall), hall: hall_name(hall), is_forwarded: true, targets };
            for other in (0..self.heads.len()).filter(|other| *other != hall && !self.is_cut[*other]) {
                self.bytes += encode(&report).len();
                self.reports.push_back((self.now + WAY_TIME, usize::MAX, other, report.clone()));
                let from = hall_name(other);
                self.heads[hall].hear_hall(&from, self.now);
            }
        }
    }

    fn deliver(&mut self) {
        while self.reports.front().is_some_and(|(due, ..)| *due <= self.now) {
            let (_, from, hall, report) = self.reports.pop_front().unwrap();
            let own = hall_name(hall);
            self.heads[hall].take(&report, &own, self.now);
            if !report.is_forwarded {
                let shares = self.heads[hall].shares(&report.targets, &self.members, &own, self.now);
                let answer = LimitAnswer { shares };
                self.bytes += encode(&answer).len();
                self.shares.push_back((self.now + WAY_TIME, from, answer));
            }
        }
        while self.shares.front().is_some_and(|(due, ..)| *due <= self.now) {
            let (_, number, answer) = self.shares.pop_front().unwrap();
            for share in &answer.shares {
                let limit = &mut self.instances[number].limit;
                if let Some(said) = share.told.and_then(|told| said(told, self.now)) {
                    limit.hear(said, self.now);
                }
                limit.set_share(share.pass.into(), self.random.random(), self.now);
            }
        }
    }
}

fn name(number: usize) -> String {
    format!("e-{number}")
}

fn hall_name(number: usize) -> String {
    format!("h-{number}")
}
