//! Reports of targets' loads in a simulated fleet: what each role sends and receives, and how old the
//! loads are that instances know, at the sizes of the deployments and at twice the size of the largest.
//! Messages, their sizes and the loads that they contain come from the library.

use lockloft::clock::Instant;
use lockloft::decision::capacity::shared_loads::SharedLoads;
use lockloft::decision::quota::{FORWARD_INTERVAL, REPORT_INTERVAL};
use lockloft::model::usage::{ShortKey, TargetLoad, UsageAnswer, UsageReport, encode};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::time::Duration;

/// Instances, halls and targets of a fleet.
#[derive(Clone, Copy, Debug)]
struct Size {
    instances: usize,
    halls: usize,
    targets: u32,
}

const SIZES: [Size; 4] = [
    Size { instances: 89, halls: 6, targets: 394 },
    Size { instances: 295, halls: 9, targets: 1_077 },
    Size { instances: 985, halls: 9, targets: 9_999 },
    Size { instances: 2_000, halls: 9, targets: 20_000 },
];
/// Requests of an instance, a second.
const REQUEST_RATE: f64 = 2.7;
/// Step of the simulation.
const STEP: Duration = Duration::from_millis(20);
/// Simulated time, of which the first second is not counted.
const LENGTH: Duration = Duration::from_secs(4);
const WARM_UP: Duration = Duration::from_secs(1);
const SEED: u64 = 985;
/// What an instance may send and receive for control, bytes per second: the aim of the project.
const MAX_CONTROL_RATE: f64 = 8_000.0;
/// Age from which a load is dropped (1 s), and age of a snapshot (0.1 s).
const MAX_AGE: Duration = Duration::from_millis(1_100);

/// Bytes of messages, and ages of the loads in answers.
#[derive(Debug, Default)]
struct Traffic {
    reports: usize,
    answers: usize,
    forwards: usize,
    ages: Vec<Duration>,
}

/// What one instance does, bytes per second in both directions, and what it knows.
#[derive(Debug)]
struct Cost {
    ordinary: f64,
    /// Of a head for each other hall, besides what it exchanges with the instances of its own.
    head_per_hall: f64,
    median_age: Duration,
    longest_age: Duration,
}

struct Instance {
    hall: usize,
    /// Offset of its reports.
    phase: Duration,
    /// Loads that targets reported to it, with the time of the response.
    unshared: Vec<(ShortKey, u32, Duration)>,
}

struct Fleet {
    size: Size,
    instances: Vec<Instance>,
    heads: Vec<SharedLoads>,
    started_at: Instant,
    random: StdRng,
    traffic: Traffic,
}

impl Fleet {
    fn new(size: Size) -> Self {
        let mut random = StdRng::seed_from_u64(SEED);
        let instance = |number| Instance {
            hall: number % size.halls,
            phase: STEP * random.random_range(0..(REPORT_INTERVAL.as_millis() / STEP.as_millis()) as u32),
            unshared: Vec::new(),
        };
        let instances = (0..size.instances).map(instance).collect();
        let heads = (0..size.halls).map(|_| SharedLoads::default()).collect();
        Self { size, instances, heads, started_at: Instant::now(), random, traffic: Traffic::default() }
    }

    /// A response of a random target, with its load, to some of the instances.
    fn receive_responses(&mut self, now: Duration) {
        for instance in &mut self.instances {
            if self.random.random::<f64>() < REQUEST_RATE * STEP.as_secs_f64() {
                let target = ShortKey(self.random.random_range(0..self.size.targets).to_be_bytes());
                instance.unshared.push((target, self.random.random_range(1..8), now));
            }
        }
    }

    fn report(&mut self, now: Duration) {
        let at = self.started_at + now;
        for instance in &mut self.instances {
            if !is_due(now, instance.phase, REPORT_INTERVAL) {
                continue;
            }
            let load = |(target, requests, reported)| TargetLoad::new(target, requests, now - reported);
            let loads: Vec<TargetLoad> = instance.unshared.drain(..).map(load).collect();
            let head = &mut self.heads[instance.hall];
            head.record(&loads, true, at);
            let answer = UsageAnswer { loads: head.loads_for_instances(at), ..UsageAnswer::default() };
            if now >= WARM_UP {
                self.traffic.reports += encode(&usage_report(loads)).len();
                self.traffic.answers += encode(&answer).len();
                self.traffic.ages.extend(answer.loads.iter().map(TargetLoad::age));
            }
        }
    }

    fn forward(&mut self, now: Duration) {
        let at = self.started_at + now;
        for hall in 0..self.size.halls {
            if !is_due(now, STEP * hall as u32, FORWARD_INTERVAL) {
                continue;
            }
            let loads = self.heads[hall].loads_for_halls(at);
            let others = (0..self.size.halls).filter(|other| *other != hall);
            for other in others {
                self.heads[other].record(&loads, false, at);
                if now >= WARM_UP {
                    self.traffic.forwards += encode(&usage_report(loads.clone())).len();
                }
            }
        }
    }

    fn run(mut self) -> Cost {
        let steps = (LENGTH.as_millis() / STEP.as_millis()) as u32;
        for now in (0..steps).map(|step| STEP * step) {
            self.receive_responses(now);
            self.report(now);
            self.forward(now);
        }
        let Self { size, mut traffic, .. } = self;
        let seconds = (LENGTH - WARM_UP).as_secs_f64();
        let ordinary = (traffic.reports + traffic.answers) as f64 / seconds / size.instances as f64;
        let pairs = (size.halls * (size.halls - 1)) as f64;
        traffic.ages.sort_unstable();
        Cost {
            ordinary,
            head_per_hall: 2.0 * traffic.forwards as f64 / seconds / pairs,
            median_age: traffic.ages[traffic.ages.len() / 2],
            longest_age: traffic.ages[traffic.ages.len() - 1],
        }
    }
}

fn usage_report(loads: Vec<TargetLoad>) -> UsageReport {
    UsageReport {
        from: "edge-batumi-terminal-100".to_owned(),
        hall: "batumi-terminal".to_owned(),
        loads,
        ..UsageReport::default()
    }
}

fn is_due(now: Duration, phase: Duration, interval: Duration) -> bool {
    now >= phase && (now - phase).as_millis().is_multiple_of(interval.as_millis())
}

#[test]
fn what_an_instance_sends_and_knows_of_loads_does_not_depend_on_the_size_of_the_fleet() {
    let mut costs = Vec::new();
    for size in SIZES {
        let cost = Fleet::new(size).run();
        println!("{size:?}: {cost:?}, loads {:?} old in the middle", cost.median_age);
        costs.push(cost);
    }
    for larger in &costs[1..] {
        assert!(larger.ordinary < 1.1 * costs[0].ordinary, "{larger:?}");
    }
    assert!(costs[3].head_per_hall < 1.1 * costs[2].head_per_hall, "{:?}", costs[3]);
    for cost in &costs {
        assert!(cost.ordinary < MAX_CONTROL_RATE && cost.head_per_hall < MAX_CONTROL_RATE, "{cost:?}");
        assert!(cost.longest_age <= MAX_AGE, "{cost:?}");
    }
}
