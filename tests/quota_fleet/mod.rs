//! A fleet without sockets: instances that admit requests by quota, and messages between them that
//! take time, get lost or meet a cut. Time is simulated, in milliseconds.

#![allow(dead_code)]

use lockloft::clock::Instant;
use lockloft::decision::quota::heads::heads;
use lockloft::decision::quota::own_use::{Admission, OwnUse};
use lockloft::decision::quota::part::{Fleet as FleetSize, Part};
use lockloft::decision::quota::totals::{Place, Rules, Totals};
use lockloft::decision::quota::{FORWARD_EVERY, REPORT_EVERY, REPORT_GAP};
use lockloft::decision::registry::members::Members;
use lockloft::model::config::{ApiKey, Quota, Tenant, Tenants};
use lockloft::model::member::{Capacity, Member};
use lockloft::model::usage::{Usage, UsageAnswer, UsageReport, encode};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// The operators' window.
pub const WINDOW: Duration = Duration::from_secs(5);
/// Step of the simulation, milliseconds.
const STEP: u64 = 5;
/// Time until a call that is lost counts as failed, milliseconds.
const CALL_TIME: u64 = 300;
/// Calls in a row that fail before a head is passed over.
const FAILURES: u32 = 2;
/// Time for which a head that failed is passed over, milliseconds.
const PASS_OVER: u64 = 5_000;
/// One way within a hall, with the work at both ends, milliseconds.
const NEAR: u64 = 5;
/// One way between halls, milliseconds.
const FAR: u64 = 17;

/// How quotas are kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    /// Each instance keeps its equal part, with no message.
    EqualParts,
    /// Heads of halls add up what is used, and answer the share that may pass.
    SharedTotals,
}

/// A tenant's callers.
pub struct Load {
    pub name: Rc<str>,
    pub quota: Quota,
    /// Requests a second at a time, milliseconds.
    pub rate: Box<dyn Fn(u64) -> f64>,
    /// Whether its callers come to an instance.
    pub reaches: Box<dyn Fn(usize) -> bool>,
}

impl Load {
    /// A tenant with this quota a second and burst, whose callers come everywhere.
    pub fn new(name: &str, quota: f64, rate: impl Fn(u64) -> f64 + 'static) -> Self {
        let quota = Quota { rate: quota, burst: quota };
        Self { name: name.into(), quota, rate: Box::new(rate), reaches: Box::new(|_| true) }
    }
}

/// What became of a tenant's requests.
#[derive(Default)]
pub struct Seen {
    pub offered: Vec<u64>,
    pub admitted: Vec<u64>,
}

impl Seen {
    /// Requests that one place which sees all at once would have admitted: each that finds the
    /// quota of the window before it not used up.
    pub fn owed(&self, quota: Quota) -> usize {
        let most = quota.rate * WINDOW.as_secs_f64() + quota.burst;
        let mut owed: Vec<u64> = Vec::new();
        for time in &self.offered {
            let start = owed.partition_point(|at| at + WINDOW.as_millis() as u64 <= *time);
            if (owed.len() - start) as f64 + 1.0 <= most {
                owed.push(*time);
            }
        }
        owed.len()
    }

    /// Most admitted in a window, milliseconds.
    pub fn most_in(&self, window: u64) -> usize {
        let mut start = 0;
        let mut most = 0;
        for (end, time) in self.admitted.iter().enumerate() {
            while self.admitted[start] + window <= *time {
                start += 1;
            }
            most = most.max(end + 1 - start);
        }
        most
    }
}

struct Instance {
    name: String,
    hall: String,
    peer: SocketAddr,
    own: OwnUse,
    totals: Totals,
    parts: HashMap<Rc<str>, Part>,
    next_report: u64,
    reported: Option<u64>,
    is_reporting: bool,
    next_forward: u64,
    forwarding: Vec<String>,
    failed: HashMap<SocketAddr, u64>,
    failures: HashMap<SocketAddr, u32>,
    is_up: bool,
}

enum Message {
    Report {
        from: usize,
        to: usize,
        report: UsageReport,
        sent: u64,
    },
    /// A report that comes when nobody waits for its answer any more.
    LateReport {
        to: usize,
        report: UsageReport,
    },
    Answer {
        to: usize,
        head: SocketAddr,
        report: UsageReport,
        answer: UsageAnswer,
    },
    Lost {
        to: usize,
        head: SocketAddr,
        report: UsageReport,
    },
}

type Cut = Box<dyn Fn(usize, usize, u64) -> bool>;
type Wait = Box<dyn Fn(usize, usize, u64) -> u64>;

/// A fleet with its load.
pub struct Fleet {
    pub way: Way,
    /// The operators' slack, requests.
    pub slack: f64,
    /// Whether a message from one instance to another is lost at a time.
    pub is_cut: Cut,
    /// How long a message from one instance to another waits at full links, milliseconds.
    pub waits: Wait,
    /// Part of the answers that are lost.
    pub lost_answers: f64,
    pub loads: Vec<Load>,
    /// Bytes and messages between instances.
    pub bytes: usize,
    pub messages: usize,
    tenants: Tenants,
    instances: Vec<Instance>,
    members: Members,
    start: Instant,
    now: u64,
    queue: BinaryHeap<Reverse<(u64, usize)>>,
    waiting: HashMap<usize, Message>,
    sent: usize,
    random: StdRng,
}

impl Fleet {
    pub fn new(way: Way, instances: usize, halls: usize, loads: Vec<Load>, seed: u64) -> Self {
        let start = Instant::now();
        let mut random = StdRng::seed_from_u64(seed);
        let mut members = Members::default();
        let instances = (0..instances).map(|number| {
            let (name, hall) = (format!("e-{number}"), format!("h-{}", number % halls));
            let peer: SocketAddr = ([127, 0, 0, 1], 1_000 + number as u16).into();
            let member = Member {
                callers: peer,
                peer,
                hall: hall.clone(),
                region: "r".to_owned(),
                capacity: Capacity::default(),
            };
            members.insert(name.clone(), member, start);
            Instance {
                name,
                hall,
                peer,
                own: OwnUse::default(),
                totals: Totals::default(),
                parts: HashMap::new(),
                next_report: random.random_range(0..200),
                reported: None,
                is_reporting: false,
                next_forward: random.random_range(0..300),
                forwarding: Vec::new(),
                failed: HashMap::new(),
                failures: HashMap::new(),
                is_up: true,
            }
        });
        let instances = instances.collect();
        let mut fleet = Self {
            way,
            slack: 20.0,
            is_cut: Box::new(|_, _, _| false),
            waits: Box::new(|_, _, _| 0),
            lost_answers: 0.0,
            loads,
            bytes: 0,
            messages: 0,
            tenants: Tenants::default(),
            instances,
            members,
            start,
            now: 0,
            queue: BinaryHeap::new(),
            waiting: HashMap::new(),
            sent: 0,
            random,
        };
        fleet.follow_quotas();
        fleet
    }

    /// Hall of an instance, by number.
    pub fn hall(&self, number: usize) -> &str {
        &self.instances[number].hall
    }

    /// The instance that is the head of a hall.
    pub fn head(&self, hall: &str) -> usize {
        let heads = heads(&self.members, |_| true);
        self.instances.iter().position(|instance| instance.name == heads[hall].name).unwrap()
    }

    /// Ends an instance; the others see it go after a lease of 2.6 s.
    pub fn kill(&mut self, number: usize) {
        self.instances[number].is_up = false;
    }

    /// A killed instance leaves the members.
    pub fn forget(&mut self, number: usize) {
        let (name, now) = (self.instances[number].name.clone(), self.instant());
        self.members.remove(&name, now);
    }

    /// All instances start anew, knowing nothing.
    pub fn restart_all(&mut self) {
        for instance in &mut self.instances {
            (instance.own, instance.totals) = (OwnUse::default(), Totals::default());
            (instance.is_reporting, instance.is_up) = (false, true);
            instance.forwarding.clear();
            instance.parts.clear();
        }
        self.queue.clear();
        self.waiting.clear();
    }

    /// An instance starts anew, knowing nothing.
    pub fn restart(&mut self, number: usize) {
        let instance = &mut self.instances[number];
        (instance.own, instance.totals) = (OwnUse::default(), Totals::default());
        (instance.is_reporting, instance.is_up) = (false, true);
        instance.forwarding.clear();
        instance.parts.clear();
    }

    /// An instance that had left the members is among them again.
    pub fn join(&mut self, number: usize) {
        let (instance, now) = (&self.instances[number], self.instant());
        let member = Member {
            callers: instance.peer,
            peer: instance.peer,
            hall: instance.hall.clone(),
            region: "r".to_owned(),
            capacity: Capacity::default(),
        };
        self.members.insert(instance.name.clone(), member, now);
    }

    /// Changes a tenant's quota at all instances.
    pub fn set_quota(&mut self, tenant: usize, quota: f64) {
        self.loads[tenant].quota = Quota { rate: quota, burst: quota };
        self.follow_quotas();
    }

    fn follow_quotas(&mut self) {
        let tenant = |load: &Load| Tenant {
            name: load.name.clone(),
            api_keys: vec![ApiKey::new(&load.name)],
            priority: 0,
            quota: Some(load.quota),
            allowed_regions: Vec::new(),
        };
        self.tenants = Tenants::try_from(self.loads.iter().map(tenant).collect::<Vec<_>>()).unwrap();
    }

    fn instant(&self) -> Instant {
        self.start + Duration::from_millis(self.now)
    }

    /// Plays on until a time, milliseconds; gives what became of each tenant's requests from the
    /// start of this part.
    pub fn play(&mut self, until: u64) -> Vec<Seen> {
        let mut seen: Vec<Seen> = self.loads.iter().map(|_| Seen::default()).collect();
        while self.now < until {
            self.now += STEP;
            self.deliver();
            for (tenant, seen) in seen.iter_mut().enumerate() {
                self.arrivals(tenant, seen);
            }
            if self.way == Way::SharedTotals {
                for number in 0..self.instances.len() {
                    self.report(number);
                    self.forward(number);
                }
            }
        }
        seen
    }

    fn arrivals(&mut self, tenant: usize, seen: &mut Seen) {
        let expected = (self.loads[tenant].rate)(self.now) * STEP as f64 / 1e3;
        let mut left: f64 = -self.random.random::<f64>().ln();
        while left < expected {
            left -= self.random.random::<f64>().ln();
            let Some(number) = self.reached(tenant) else { continue };
            seen.offered.push(self.now);
            if self.admit(number, tenant) {
                seen.admitted.push(self.now);
            }
        }
    }

    fn reached(&mut self, tenant: usize) -> Option<usize> {
        let load = &self.loads[tenant];
        let open = |number: &usize| self.instances[*number].is_up && (load.reaches)(*number);
        let open: Vec<usize> = (0..self.instances.len()).filter(open).collect();
        (!open.is_empty()).then(|| open[self.random.random_range(0..open.len())])
    }

    fn admit(&mut self, number: usize, tenant: usize) -> bool {
        let (now, draw) = (self.instant(), self.random.random());
        let Load { name, quota, .. } = &self.loads[tenant];
        let size = FleetSize { members: self.members.recent_count(now), is_member: true };
        let instance = &mut self.instances[number];
        if self.way == Way::EqualParts {
            return instance.parts.entry(name.clone()).or_default().take(*quota, size, now);
        }
        let admitted = instance.own.admit(name, *quota, size, draw, now) == Admission::Admitted;
        if instance.own.is_unusual(name) {
            let soonest = instance.reported.map_or(0, |at| at + REPORT_GAP.as_millis() as u64);
            instance.next_report = instance.next_report.min(soonest.max(self.now));
        }
        admitted
    }

    fn head_of(&self, number: usize, hall: &str) -> Option<usize> {
        let instance = &self.instances[number];
        let may_ask = |peer| instance.failed.get(&peer).is_none_or(|until| *until <= self.now);
        let heads = heads(&self.members, may_ask);
        let peer = heads.get(hall)?.peer;
        self.instances.iter().position(|other| other.peer == peer)
    }

    fn report(&mut self, number: usize) {
        let instance = &self.instances[number];
        if !instance.is_up || instance.is_reporting || instance.next_report > self.now {
            return;
        }
        let hall = instance.hall.clone();
        let Some(head) = self.head_of(number, &hall) else { return };
        let now = self.instant();
        let instance = &mut self.instances[number];
        instance.is_reporting = true;
        instance.reported = Some(self.now);
        instance.next_report = self.now + REPORT_EVERY.as_millis() as u64;
        let over_ms = instance.own.untold_for(now).as_millis() as u32;
        let tenants = instance.own.begin_report(now);
        let report = UsageReport {
            from: instance.name.clone(),
            hall,
            is_forwarded: false,
            over_ms,
            tenants,
            ..Default::default()
        };
        self.send(number, head, report);
    }

    fn forward(&mut self, number: usize) {
        let now = self.instant();
        let instance = &mut self.instances[number];
        let rules = Rules {
            tenants: &self.tenants,
            members: &self.members,
            window: WINDOW,
            slack: self.slack,
            own: Place { name: &instance.name, hall: &instance.hall },
        };
        if instance.totals.is_urgent(rules) {
            let gap = REPORT_GAP.as_millis() as u64;
            let soonest = (instance.next_forward + gap).saturating_sub(FORWARD_EVERY.as_millis() as u64);
            instance.next_forward = instance.next_forward.min(soonest.max(self.now));
        }
        if !instance.is_up || instance.next_forward > self.now || !instance.totals.is_head(now) {
            return;
        }
        instance.next_forward = self.now + FORWARD_EVERY.as_millis() as u64;
        let own = instance.hall.clone();
        let mut halls: Vec<String> = self.members.iter().map(|(_, member)| member.hall.clone()).collect();
        halls.sort_unstable();
        halls.dedup();
        for hall in halls.into_iter().filter(|hall| *hall != own) {
            if self.instances[number].forwarding.contains(&hall) {
                continue;
            }
            let Some(head) = self.head_of(number, &hall) else { continue };
            let instance = &mut self.instances[number];
            instance.forwarding.push(hall.clone());
            let (tenants, over) = instance.totals.begin_forward(&hall, now);
            let over_ms = over.as_millis() as u32;
            let report = UsageReport {
                from: instance.name.clone(),
                hall: own.clone(),
                is_forwarded: true,
                over_ms,
                tenants,
                ..Default::default()
            };
            self.send(number, head, report);
        }
    }

    fn send(&mut self, from: usize, to: usize, report: UsageReport) {
        self.bytes += encode(&report).len();
        let is_lost = (self.is_cut)(from, to, self.now) || !self.instances[to].is_up;
        let way = self.way_between(from, to);
        let head = self.instances[to].peer;
        if !is_lost && way < CALL_TIME {
            self.put(way, Message::Report { from, to, report, sent: self.now });
            return;
        }
        if !is_lost {
            self.put(way, Message::LateReport { to, report: report.clone() });
        }
        self.put(CALL_TIME, Message::Lost { to: from, head, report });
    }

    fn way_between(&mut self, from: usize, to: usize) -> u64 {
        if from == to {
            return 0;
        }
        let base = if self.instances[from].hall == self.instances[to].hall { NEAR } else { FAR };
        base + self.random.random_range(0..base) + (self.waits)(from, to, self.now)
    }

    fn put(&mut self, after: u64, message: Message) {
        self.sent += 1;
        self.messages += 1;
        self.waiting.insert(self.sent, message);
        self.queue.push(Reverse((self.now + after, self.sent)));
    }

    fn deliver(&mut self) {
        while let Some(Reverse((at, number))) = self.queue.peek().copied() {
            if at > self.now {
                return;
            }
            self.queue.pop();
            match self.waiting.remove(&number).unwrap() {
                Message::Report { from, to, report, sent } => self.take_report(from, to, report, sent),
                Message::LateReport { to, report } => drop(self.count(to, &report)),
                Message::Answer { to, head, report, answer } => self.take_answer(to, head, &report, &answer),
                Message::Lost { to, head, report } => self.take_loss(to, head, report),
            }
        }
    }

    /// A report counted at a head; the answer, and whether the head hears from no other instance.
    fn count(&mut self, to: usize, report: &UsageReport) -> (UsageAnswer, bool) {
        let now = self.instant();
        let head = &mut self.instances[to];
        let rules = Rules {
            tenants: &self.tenants,
            members: &self.members,
            window: WINDOW,
            slack: self.slack,
            own: Place { name: &head.name, hall: &head.hall },
        };
        (head.totals.take(report, rules, now), head.totals.is_alone(rules, now))
    }

    fn take_report(&mut self, from: usize, to: usize, report: UsageReport, sent: u64) {
        let (answer, is_alone) = self.count(to, &report);
        if from == to && is_alone {
            let head = &mut self.instances[to];
            head.is_reporting = false;
            head.own.forget_report();
            return;
        }
        let is_lost = (self.is_cut)(to, from, self.now) || self.random.random::<f64>() < self.lost_answers;
        let peer = self.instances[to].peer;
        self.bytes += encode(&answer).len();
        let way = self.way_between(to, from);
        let given_up = sent + CALL_TIME;
        let (after, message) = match is_lost || self.now + way > given_up {
            true if is_lost => (CALL_TIME, Message::Lost { to: from, head: peer, report }),
            true => (given_up - self.now, Message::Lost { to: from, head: peer, report }),
            false => (way, Message::Answer { to: from, head: peer, report, answer }),
        };
        self.put(after, message);
    }

    fn take_answer(&mut self, to: usize, head: SocketAddr, report: &UsageReport, answer: &UsageAnswer) {
        let now = self.instant();
        let instance = &mut self.instances[to];
        instance.failures.remove(&head);
        if report.is_forwarded {
            let hall = self.forwarded_to(to);
            self.instances[to].forwarding.retain(|other| !hall.contains(other));
            return;
        }
        instance.is_reporting = false;
        instance.own.take_answer(answer, now);
    }

    /// The halls to which nothing is under way any more.
    fn forwarded_to(&self, number: usize) -> Vec<String> {
        let is_under_way = |hall: &String| {
            self.waiting.values().any(|message| match message {
                Message::Report { from, to, report, .. } => {
                    *from == number && report.is_forwarded && self.instances[*to].hall == *hall
                }
                Message::Lost { to, head, report } => {
                    let is_there = |other: &Instance| other.peer == *head && other.hall == *hall;
                    *to == number && report.is_forwarded && self.instances.iter().any(is_there)
                }
                Message::Answer { .. } | Message::LateReport { .. } => false,
            })
        };
        self.instances[number].forwarding.iter().filter(|hall| !is_under_way(hall)).cloned().collect()
    }

    fn take_loss(&mut self, to: usize, head: SocketAddr, report: UsageReport) {
        let now = self.instant();
        let hall = self.instances.iter().find(|other| other.peer == head).unwrap().hall.clone();
        let instance = &mut self.instances[to];
        let failures = instance.failures.entry(head).or_default();
        *failures += 1;
        if *failures >= FAILURES {
            *failures = 0;
            instance.failed.insert(head, self.now + PASS_OVER);
        }
        if report.is_forwarded {
            instance.forwarding.retain(|other| *other != hall);
            instance.totals.restore_forward(&hall, report.tenants, now);
        } else {
            instance.is_reporting = false;
            instance.own.restore_report();
            instance.next_report = self.now;
        }
    }
}

/// Eighty tenants, a few of them large: each sends 0.62 of its quota on average.
pub fn usual_loads(total: f64) -> Vec<Load> {
    let weights: f64 = (1..=80).map(|rank| 1.0 / f64::from(rank)).sum();
    let load = |rank: u32| {
        let usual = total / weights / f64::from(rank);
        Load::new(&format!("t-{rank}"), (1.6 * usual).round().max(1.0), move |_| usual)
    };
    (1..=80).map(load).collect()
}

/// Whether the operators' bound holds in each window of 5 s.
pub fn holds(seen: &Seen, quota: Quota, slack: f64) -> Result<(), String> {
    let most = (quota.rate * 5.0 + quota.burst) * 1.1 + slack;
    let found = seen.most_in(5_000);
    if found as f64 <= most { Ok(()) } else { Err(format!("{found} in 5 s, allowed {most:.0}")) }
}

/// A usage that is all let through.
pub fn admitted(count: u32) -> Usage {
    Usage { admitted: count as i32, offered: count }
}
