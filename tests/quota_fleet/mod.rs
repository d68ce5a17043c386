//! A fleet without sockets: instances that admit requests by quota, and messages between them that
//! take time, get lost or meet a cut. Time is simulated, in milliseconds.
//!
//! | file | its job |
//! |---|---|
//! | `load`, `seen` | what tenants send, and what became of it |
//! | `instance` | an instance and what it knows |
//! | `changes` | instances that end, leave, start anew and come back |
//! | `arrivals` | requests, and whether they are admitted |
//! | `messages` | what is on its way between instances, late or lost |
//! | `reports`, `answers` | what instances tell heads, and what comes of it |

#![allow(dead_code)]

mod answers;
mod arrivals;
mod changes;
mod instance;
mod load;
mod messages;
mod reports;
mod seen;

pub use load::{Load, usual_loads};
pub use seen::{Seen, holds};

use instance::Instance;
use lockloft::clock::Instant;
use lockloft::decision::registry::members::Members;
use lockloft::model::config::{ApiKey, Quota, Tenant, Tenants};
use lockloft::model::usage::Usage;
use messages::Message;
use rand::SeedableRng;
use rand::rngs::StdRng;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::time::Duration;

/// The operators' window.
pub const WINDOW: Duration = Duration::from_secs(5);
/// Step of the simulation, milliseconds.
const STEP: u64 = 5;

/// How quotas are kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    /// Each instance keeps its equal part, with no message.
    EqualParts,
    /// Heads of halls add up what is used, and answer the share that may pass.
    SharedTotals,
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
            let instance = Instance::new(number, halls, &mut random);
            members.insert(instance.name.clone(), instance.member(), start);
            instance
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
}

/// A usage that is all let through.
pub fn admitted(count: u32) -> Usage {
    Usage { admitted: count as i32, offered: count }
}
