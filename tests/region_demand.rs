//! Compares three ways to choose targets under out-of-phase waves of demand in several regions, simulated
//! without a network: fixed region weights, region weights that follow demand, and keys placed near their
//! callers with bounded loads. docs/design/region-demand.md has the results and the decision.

use lockloft::decision::selection::region_weight::{MIN_WEIGHT, weight};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

const REGIONS: usize = 3;
/// Targets in each region, 200 in all.
const TARGETS: [usize; REGIONS] = [20, 84, 96];
/// Slots of each target.
const SLOTS: usize = 6;
const KEYS: usize = 316;
/// Keys whose objects a target has in its cache.
const CACHED_KEYS: usize = 20;
/// Time that a request takes where its object is not cached.
const UNCACHED_MS: f64 = 1_160.0;
/// Factor on that time where the object is cached.
const CACHED_FACTOR: f64 = 0.3;
/// Additional latency of a response from another region.
const CROSS_REGION_MS: u64 = 24;
/// The latency objective.
const OBJECTIVE_MS: u64 = 800;
/// Period of the waves of demand.
const PERIOD_MS: f64 = 36_000.0;
/// Amplitude of the waves, relative to the mean demand.
const AMPLITUDE: f64 = 0.55;
const WAVES: u64 = 3;
/// Load limits of a key's first and second target, requests per slot.
const FIRST_MAX_LOAD: f64 = 1.65;
const SECOND_MAX_LOAD: f64 = 1.0;
/// As in `region_weight`: the planned utilization, and the largest share that stays in a region.
const PLANNED_UTILIZATION: f64 = 0.8;
const MAX_OWN_REGION_SHARE: f64 = 0.95;
/// Age of the demand that instances know.
const DELAY_MS: f64 = 1_000.0;

/// Largest share of a region's requests that weights by demand move per second.
const MAX_MOVED_PER_SECOND: f64 = 0.05;
/// Time constant with which weights follow demand.
const SMOOTHING_MS: f64 = 1_000.0;
/// With bounded loads: the load up to which a target accepts a key, as a multiple of the mean load.
const LOAD_BOUND: f64 = 1.25;
/// With bounded loads: the number of a key's targets that are considered.
const CONSIDERED_TARGETS: usize = 6;
/// With bounded loads: the factor on the weight of targets in the own region.
const BOUNDED_OWN_WEIGHT: f64 = 20.0;
/// Interval at which demand is observed.
const STEP_MS: f64 = 100.0;
/// Requests per second of all regions, close to the capacity of the targets at the peak of the waves.
const RATE: f64 = 2_000.0;
/// Largest share of a region's requests that may move to another region from one window of 2 s to the next.
const MAX_SHIFT: f64 = 0.15;

/// How targets are chosen.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Strategy {
    /// Region weights as `region_weight` computes them.
    FixedWeights,
    /// Region weights that follow demand.
    DemandWeights,
    /// Rendezvous hashing with bounded loads.
    BoundedLoads,
}

struct Target {
    region: usize,
    /// End, ms, and the caller's region of each request that occupies a slot.
    running: BinaryHeap<Reverse<(u64, usize)>>,
    /// Arrival, ms, the caller's region and the key of each queued request.
    waiting: VecDeque<(u64, usize, usize)>,
    /// Cached keys, the least recently used first.
    cached: VecDeque<usize>,
}

impl Target {
    fn load(&self) -> f64 {
        (self.running.len() + self.waiting.len()) as f64 / SLOTS as f64
    }

    /// Adds a key to the cache, as the most recently used; true where it was there.
    fn touch(&mut self, key: usize) -> bool {
        let position = self.cached.iter().position(|cached| *cached == key);
        if let Some(position) = position {
            self.cached.remove(position);
        }
        self.cached.push_back(key);
        if self.cached.len() > CACHED_KEYS {
            self.cached.pop_front();
        }
        position.is_some()
    }
}

#[derive(Debug, Default)]
struct Outcome {
    requests: f64,
    in_time: f64,
    late: f64,
    refused: f64,
    uncached: f64,
    cross_region: f64,
    /// Requests, and those answered in time, by region of the caller.
    by_region: [(f64, f64); REGIONS],
    /// Requests of each region by the region in which they run, for each window of 2 s.
    windows: Vec<[[f64; REGIONS]; REGIONS]>,
}

impl Outcome {
    /// The largest share of a region's requests that moved to another region from one window to the next;
    /// the first `skipped` pairs of windows are left out.
    fn max_shift(&self, skipped: usize) -> f64 {
        let pairs = self.windows.windows(2).skip(skipped);
        let moved = pairs.flat_map(|pair| {
            (0..REGIONS).map(|from| {
                let shares = |window: &[[f64; REGIONS]; REGIONS]| {
                    let all: f64 = window[from].iter().sum::<f64>().max(1.0);
                    window[from].map(|count| count / all)
                };
                let (before, now) = (shares(&pair[0]), shares(&pair[1]));
                before.iter().zip(now).map(|(one, two)| (one - two).abs()).sum::<f64>() / 2.0
            })
        });
        moved.fold(0.0, f64::max)
    }

    /// The largest difference between the last wave and the one before in the share of a region's requests
    /// that stay there.
    fn wave_difference(&self) -> f64 {
        let own_share = |window: usize, region: usize| {
            let counts = self.windows[window][region];
            counts[region] / counts.iter().sum::<f64>()
        };
        let windows_per_wave = (PERIOD_MS / 2_000.0) as usize;
        let last = self.windows.len() - windows_per_wave..self.windows.len();
        let pairs = last.flat_map(|window| (0..REGIONS).map(move |region| (window, region)));
        pairs
            .map(|(window, region)| (own_share(window, region) - own_share(window - windows_per_wave, region)).abs())
            .fold(0.0, f64::max)
    }

    fn share(&self, value: f64) -> f64 {
        value / self.requests
    }
}

struct Replay {
    strategy: Strategy,
    targets: Vec<Target>,
    /// Rendezvous score of each key and target, for a weight of 1.
    scores: Vec<Vec<f64>>,
    /// Share of each region's requests that its weight keeps there.
    kept_share: [f64; REGIONS],
    /// Smoothed demand of each region, requests in flight.
    demand: [f64; REGIONS],
    /// Demand at earlier steps, which instances know with a delay.
    delayed_demand: VecDeque<[f64; REGIONS]>,
    /// Requests in flight of each region.
    in_flight: [f64; REGIONS],
    rng: StdRng,
}

/// A region's share of all targets.
fn target_share(region: usize) -> f64 {
    TARGETS[region] as f64 / TARGETS.iter().sum::<usize>() as f64
}

/// The share of its requests that a region keeps with a weight.
fn kept_share(weight: f64, region: usize) -> f64 {
    weight * target_share(region) / (weight * target_share(region) + 1.0 - target_share(region))
}

impl Replay {
    fn new(strategy: Strategy, seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let of_region = |region| {
            (0..TARGETS[region]).map(move |_| Target {
                region,
                running: BinaryHeap::new(),
                waiting: VecDeque::new(),
                cached: VecDeque::new(),
            })
        };
        let targets: Vec<Target> = (0..REGIONS).flat_map(of_region).collect();
        let scores = (0..KEYS).map(|_| targets.iter().map(|_| -(1.0 - rng.random::<f64>()).ln()).collect()).collect();
        let kept_share = [0, 1, 2].map(|region| kept_share(weight(target_share(region), 1.0, REGIONS), region));
        Self {
            strategy,
            targets,
            scores,
            kept_share,
            demand: [1.0; REGIONS],
            delayed_demand: VecDeque::new(),
            in_flight: [0.0; REGIONS],
            rng,
        }
    }

    fn weight(&self, region: usize) -> f64 {
        self.kept_share[region] / (1.0 - self.kept_share[region]) * (1.0 - target_share(region)) / target_share(region)
    }

    fn first(&self, key: usize, region: usize, weight: f64, excluded: Option<usize>) -> usize {
        let score = |number: &usize| {
            self.scores[key][*number] / if self.targets[*number].region == region { weight } else { 1.0 }
        };
        let all = (0..self.targets.len()).filter(|number| Some(*number) != excluded);
        all.min_by(|one, two| score(one).total_cmp(&score(two))).unwrap()
    }

    fn choose(&self, key: usize, region: usize) -> Option<usize> {
        if self.strategy == Strategy::BoundedLoads {
            return self.choose_bounded(key, region);
        }
        let first = self.first(key, region, self.weight(region), None);
        if self.targets[first].load() < FIRST_MAX_LOAD {
            return Some(first);
        }
        let second = self.first(key, region, MIN_WEIGHT, Some(first));
        (self.targets[second].load() < SECOND_MAX_LOAD).then_some(second)
    }

    /// The first of the key's targets, with those of the own region preferred, whose load is below the
    /// bound; without one, the first that has room.
    fn choose_bounded(&self, key: usize, region: usize) -> Option<usize> {
        let mean = self.targets.iter().map(Target::load).sum::<f64>() / self.targets.len() as f64;
        let bound = (LOAD_BOUND * mean).max(1.0 / SLOTS as f64);
        let score = |number: &usize| {
            self.scores[key][*number] / if self.targets[*number].region == region { BOUNDED_OWN_WEIGHT } else { 1.0 }
        };
        let mut order: Vec<usize> = (0..self.targets.len()).collect();
        order.sort_unstable_by(|one, two| score(one).total_cmp(&score(two)));
        order.truncate(CONSIDERED_TARGETS);
        let first_below = |limit: f64| order.iter().copied().find(|number| self.targets[*number].load() < limit);
        first_below(bound).or_else(|| first_below(FIRST_MAX_LOAD))
    }

    fn follow_demand(&mut self) {
        for region in 0..REGIONS {
            self.demand[region] += STEP_MS / 500.0 * (self.in_flight[region] - self.demand[region]);
        }
        self.delayed_demand.push_back(self.demand);
        if self.strategy != Strategy::DemandWeights || (self.delayed_demand.len() as f64) * STEP_MS < DELAY_MS {
            return;
        }
        let known = self.delayed_demand.pop_front().unwrap();
        let all: f64 = known.iter().sum::<f64>().max(1.0);
        for (region, demand) in known.into_iter().enumerate() {
            let share = (demand / all).max(0.01);
            let wanted = (PLANNED_UTILIZATION * target_share(region) / share)
                .min(MAX_OWN_REGION_SHARE)
                .max(kept_share(1.0, region));
            let step = STEP_MS / SMOOTHING_MS * (wanted - self.kept_share[region]);
            let max_step = MAX_MOVED_PER_SECOND * STEP_MS / 1e3;
            self.kept_share[region] += step.clamp(-max_step, max_step);
        }
    }

    fn start(&mut self, number: usize, now: u64, arrival: u64, region: usize, key: usize, result: &mut Outcome) {
        let is_cached = self.targets[number].touch(key);
        result.uncached += f64::from(u8::from(!is_cached));
        let spread = 0.85 + 0.3 * self.rng.random::<f64>();
        let work = UNCACHED_MS * if is_cached { CACHED_FACTOR } else { 1.0 } * spread;
        let end = now + work as u64;
        self.targets[number].running.push(Reverse((end, region)));
        let transit = if self.targets[number].region == region { 0 } else { CROSS_REGION_MS };
        match end - arrival + transit <= OBJECTIVE_MS {
            true => {
                result.in_time += 1.0;
                result.by_region[region].1 += 1.0;
            }
            false => result.late += 1.0,
        }
    }

    fn run(mut self) -> Outcome {
        let mut result = Outcome::default();
        let mut due = [0.0; REGIONS];
        for now in 0..(WAVES as f64 * PERIOD_MS) as u64 {
            if now % 2_000 == 0 {
                result.windows.push(Default::default());
            }
            for number in 0..self.targets.len() {
                while self.targets[number].running.peek().is_some_and(|Reverse((end, _))| *end <= now) {
                    let Reverse((_, from)) = self.targets[number].running.pop().unwrap();
                    self.in_flight[from] -= 1.0;
                    if let Some((arrival, region, key)) = self.targets[number].waiting.pop_front() {
                        self.start(number, now, arrival, region, key, &mut result);
                    }
                }
            }
            for (region, due) in due.iter_mut().enumerate() {
                let phase = now as f64 / PERIOD_MS - region as f64 / REGIONS as f64;
                let wave = 1.0 + AMPLITUDE * (phase * std::f64::consts::TAU).sin();
                *due += RATE * wave / REGIONS as f64 / 1e3;
                while *due >= 1.0 {
                    *due -= 1.0;
                    self.request(now, region, &mut result);
                }
            }
            if now % STEP_MS as u64 == 0 {
                self.follow_demand();
            }
        }
        result
    }

    fn request(&mut self, now: u64, region: usize, result: &mut Outcome) {
        let key = self.rng.random_range(0..KEYS);
        result.requests += 1.0;
        result.by_region[region].0 += 1.0;
        let Some(number) = self.choose(key, region) else {
            result.refused += 1.0;
            return;
        };
        let to = self.targets[number].region;
        result.cross_region += f64::from(u8::from(to != region));
        result.windows.last_mut().unwrap()[region][to] += 1.0;
        self.in_flight[region] += 1.0;
        if self.targets[number].running.len() < SLOTS {
            self.start(number, now, now, region, key, result);
        } else {
            self.targets[number].waiting.push_back((now, region, key));
        }
    }
}

#[test]
fn waves_of_demand_move_few_requests_between_regions_and_weights_that_follow_demand_gain_little() {
    let [fixed, by_demand, bounded] =
        [Strategy::FixedWeights, Strategy::DemandWeights, Strategy::BoundedLoads].map(|strategy| {
            let outcome = Replay::new(strategy, 7).run();
            let share = |value: f64| outcome.share(value);
            println!(
                "{strategy:?}: in time {:.3}, late {:.3}, refused {:.3}, uncached {:.3}, cross-region {:.3}, \
             moved in 2 s {:.3}, difference between waves {:.3}, in time by region {:.3?}",
                share(outcome.in_time),
                share(outcome.late),
                share(outcome.refused),
                share(outcome.uncached),
                share(outcome.cross_region),
                outcome.max_shift(1),
                outcome.wave_difference(),
                outcome.by_region.map(|(all, good)| good / all),
            );
            outcome
        });
    assert!(fixed.max_shift(1) < MAX_SHIFT && by_demand.max_shift(1) < MAX_SHIFT);
    assert!(by_demand.wave_difference() < 0.1, "weights by demand oscillate");
    let gain = |outcome: &Outcome| outcome.share(outcome.in_time) - fixed.share(fixed.in_time);
    let advice = "reconsider the decision in docs/design/region-demand.md";
    assert!(gain(&by_demand) < 0.01, "weights by demand gain {}: {advice}", gain(&by_demand));
    assert!(gain(&bounded) < 0.01, "bounded loads gain {}: {advice}", gain(&bounded));
}
