//! Simulation of a fleet without sockets: instances that admit requests by quota, and messages between
//! them that are delayed, lost or blocked by a partition. Time is simulated, in milliseconds.
//!
//! | file | purpose |
//! |---|---|
//! | `load`, `outcome` | requests of tenants, and their outcome |
//! | `instance` | an instance and its state |
//! | `changes` | instances that stop, leave, restart and come back |
//! | `arrivals` | arrival and admission of requests |
//! | `messages` | messages in flight, delayed or lost |
//! | `reports`, `answers` | reports to heads, and their answers |

#![allow(dead_code)]

mod answers;
mod arrivals;
mod changes;
mod instance;
mod load;
mod messages;
mod outcome;
mod reports;

pub use load::{Load, usual_loads};
pub use outcome::{Outcome, check_bound};

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

/// How instances enforce quotas.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// Each instance admits its equal share, without messages.
    EqualShares,
    /// Heads of halls aggregate usage, and answer the ratio to admit.
    Heads,
}

type LossRule = Box<dyn Fn(usize, usize, u64) -> bool>;
type DelayRule = Box<dyn Fn(usize, usize, u64) -> u64>;

/// A simulated fleet with its load.
pub struct Fleet {
    pub mode: Mode,
    /// The operators' slack, requests.
    pub slack: f64,
    /// Whether a message from one instance to another, by their numbers, is lost at a time.
    pub drops_message: LossRule,
    /// Delay of a message from one instance to another at a time, in addition to the latency, as on saturated
    /// links; milliseconds.
    pub extra_delay: DelayRule,
    /// Fraction of answers that are lost.
    pub answer_loss: f64,
    pub loads: Vec<Load>,
    /// Bytes of reports and answers that were sent, lost ones included.
    pub bytes: usize,
    /// Number of deliveries and of call failures that were scheduled.
    pub messages: usize,
    tenants: Tenants,
    instances: Vec<Instance>,
    members: Members,
    start: Instant,
    /// Time since `start`, milliseconds.
    now: u64,
    /// Messages in flight by the time at which they arrive, then in the order in which they were sent.
    queue: BinaryHeap<Reverse<(u64, usize)>>,
    /// Messages in flight by number.
    in_flight: HashMap<usize, Message>,
    last_message_number: usize,
    random: StdRng,
}

impl Fleet {
    pub fn new(mode: Mode, instances: usize, halls: usize, loads: Vec<Load>, seed: u64) -> Self {
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
            mode,
            slack: 20.0,
            drops_message: Box::new(|_, _, _| false),
            extra_delay: Box::new(|_, _, _| 0),
            answer_loss: 0.0,
            loads,
            bytes: 0,
            messages: 0,
            tenants: Tenants::default(),
            instances,
            members,
            start,
            now: 0,
            queue: BinaryHeap::new(),
            in_flight: HashMap::new(),
            last_message_number: 0,
            random,
        };
        fleet.update_tenants();
        fleet
    }

    /// Changes a tenant's quota at all instances.
    pub fn set_quota(&mut self, tenant: usize, quota: f64) {
        self.loads[tenant].quota = Quota { rate: quota, burst: quota };
        self.update_tenants();
    }

    fn update_tenants(&mut self) {
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

    /// Runs the simulation until a time in milliseconds; returns the outcome of each tenant's requests during
    /// this run.
    pub fn run_until(&mut self, until: u64) -> Vec<Outcome> {
        let mut outcomes: Vec<Outcome> = self.loads.iter().map(|_| Outcome::default()).collect();
        while self.now < until {
            self.now += STEP;
            self.deliver();
            for (tenant, outcome) in outcomes.iter_mut().enumerate() {
                self.generate_arrivals(tenant, outcome);
            }
            if self.mode == Mode::Heads {
                for number in 0..self.instances.len() {
                    self.report(number);
                    self.forward(number);
                }
            }
        }
        outcomes
    }
}

/// Usage in which all requests were admitted.
pub fn all_admitted(count: u32) -> Usage {
    Usage { admitted: count as i32, offered: count }
}
