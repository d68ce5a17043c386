//! Demand of regions in waves that are out of step, replayed without a network: the weights of regions that
//! stand, such that follow demand, and keys placed near their callers with a bounded load of each target.
//! docs/design/region-demand.md says what was made of it.

use lockloft::decision::selection::region_weight::{LEAST_WEIGHT, weight};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

const REGIONS: usize = 3;
/// Targets of each region, of 200.
const TARGETS: [usize; REGIONS] = [20, 84, 96];
const SLOTS: usize = 6;
const KEYS: usize = 316;
/// Keys that a target remembers.
const KEPT: usize = 20;
const COLD_MS: f64 = 1_160.0;
const WARM: f64 = 0.3;
const FAR_MS: u64 = 24;
const AIM_MS: u64 = 800;
const PERIOD_MS: f64 = 36_000.0;
const SWING: f64 = 0.55;
const WAVES: u64 = 3;
/// Requests a slot with which a first and a second target take a request.
const FIRST_LOAD: f64 = 1.65;
const SECOND_LOAD: f64 = 1.0;
const FILL: f64 = 0.8;
const MOST_NEAR: f64 = 0.95;
/// Age of what instances know of demand.
const DELAY_MS: f64 = 1_000.0;

/// Part of a region's requests that weights by demand move in a second at most.
const MOVED_A_SECOND: f64 = 0.05;
/// Time over which they follow demand.
const SMOOTHED_MS: f64 = 1_000.0;
/// Load up to which a target takes keys that are placed with bounded loads, as a multiple of the mean.
const BOUNDED: f64 = 1.25;
/// Targets of a key that are looked at there.
const LOOKED_AT: usize = 6;
const NEAR_FIRST: f64 = 20.0;
/// Time between two looks at demand.
const STEP_MS: f64 = 100.0;
/// Requests a second of all regions, near what the targets bear at the top of the waves.
const RATE: f64 = 2_000.0;
/// Part of a region's requests that may move to another region from one 2 s to the next.
const MAX_SHIFT: f64 = 0.15;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Way {
    Stands,
    ByDemand,
    Bounded,
}

struct Target {
    region: usize,
    running: BinaryHeap<Reverse<(u64, usize)>>,
    waiting: VecDeque<(u64, usize, usize)>,
    kept: VecDeque<usize>,
}

impl Target {
    fn load(&self) -> f64 {
        (self.running.len() + self.waiting.len()) as f64 / SLOTS as f64
    }

    /// Takes a key into those kept; true where it was there.
    fn touch(&mut self, key: usize) -> bool {
        let known = self.kept.iter().position(|kept| *kept == key);
        if let Some(position) = known {
            self.kept.remove(position);
        }
        self.kept.push_back(key);
        if self.kept.len() > KEPT {
            self.kept.pop_front();
        }
        known.is_some()
    }
}

#[derive(Debug, Default)]
struct Outcome {
    asked: f64,
    in_time: f64,
    late: f64,
    refused: f64,
    cold: f64,
    far: f64,
    by_region: [(f64, f64); REGIONS],
    /// Share of each region's requests that run in each region, by 2 s.
    windows: Vec<[[f64; REGIONS]; REGIONS]>,
}

impl Outcome {
    /// The largest part of a region's requests that runs elsewhere than in the 2 s before, from `after` on.
    fn most_moved(&self, after: usize) -> f64 {
        let pairs = self.windows.windows(2).skip(after);
        let moved = pairs.flat_map(|pair| {
            (0..REGIONS).map(|from| {
                let shares = |window: &[[f64; REGIONS]; REGIONS]| {
                    let all: f64 = window[from].iter().sum::<f64>().max(1.0);
                    window[from].map(|part| part / all)
                };
                let (before, now) = (shares(&pair[0]), shares(&pair[1]));
                before.iter().zip(now).map(|(one, two)| (one - two).abs()).sum::<f64>() / 2.0
            })
        });
        moved.fold(0.0, f64::max)
    }

    /// By how much the part of a region's requests that stays there differs from the wave before, in the
    /// last wave, at most.
    fn unsettled(&self) -> f64 {
        let stays = |window: usize, from: usize| {
            let shares = self.windows[window][from];
            shares[from] / shares.iter().sum::<f64>()
        };
        let wave = (PERIOD_MS / 2_000.0) as usize;
        let last = self.windows.len() - wave..self.windows.len();
        let pairs = last.flat_map(|window| (0..REGIONS).map(move |from| (window, from)));
        pairs.map(|(window, from)| (stays(window, from) - stays(window - wave, from)).abs()).fold(0.0, f64::max)
    }

    fn part(&self, value: f64) -> f64 {
        value / self.asked
    }
}

struct Replay {
    way: Way,
    targets: Vec<Target>,
    /// Draws of each key and target, for a weight of 1.
    draws: Vec<Vec<f64>>,
    stays: [f64; REGIONS],
    demand: [f64; REGIONS],
    known: VecDeque<[f64; REGIONS]>,
    flight: [f64; REGIONS],
    rng: StdRng,
}

/// The part of all targets that a region has.
fn room(region: usize) -> f64 {
    TARGETS[region] as f64 / TARGETS.iter().sum::<usize>() as f64
}

/// The part of its requests that a region keeps with a weight.
fn kept_with(weight: f64, region: usize) -> f64 {
    weight * room(region) / (weight * room(region) + 1.0 - room(region))
}

impl Replay {
    fn new(way: Way, seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let of_region = |region| {
            (0..TARGETS[region]).map(move |_| Target {
                region,
                running: BinaryHeap::new(),
                waiting: VecDeque::new(),
                kept: VecDeque::new(),
            })
        };
        let targets: Vec<Target> = (0..REGIONS).flat_map(of_region).collect();
        let draws = (0..KEYS).map(|_| targets.iter().map(|_| -(1.0 - rng.random::<f64>()).ln()).collect()).collect();
        let stays = [0, 1, 2].map(|region| kept_with(weight(room(region), 1.0, REGIONS), region));
        Self { way, targets, draws, stays, demand: [1.0; REGIONS], known: VecDeque::new(), flight: [0.0; REGIONS], rng }
    }

    fn weight(&self, region: usize) -> f64 {
        self.stays[region] / (1.0 - self.stays[region]) * (1.0 - room(region)) / room(region)
    }

    fn first(&self, key: usize, region: usize, weight: f64, but: Option<usize>) -> usize {
        let draw = |number: &usize| {
            self.draws[key][*number] / if self.targets[*number].region == region { weight } else { 1.0 }
        };
        let all = (0..self.targets.len()).filter(|number| Some(*number) != but);
        all.min_by(|one, two| draw(one).total_cmp(&draw(two))).unwrap()
    }

    fn choose(&self, key: usize, region: usize) -> Option<usize> {
        if self.way == Way::Bounded {
            return self.bounded(key, region);
        }
        let first = self.first(key, region, self.weight(region), None);
        if self.targets[first].load() < FIRST_LOAD {
            return Some(first);
        }
        let second = self.first(key, region, LEAST_WEIGHT, Some(first));
        (self.targets[second].load() < SECOND_LOAD).then_some(second)
    }

    /// The first of the key's targets, near ones before, whose load is below the bound; else that has room.
    fn bounded(&self, key: usize, region: usize) -> Option<usize> {
        let mean = self.targets.iter().map(Target::load).sum::<f64>() / self.targets.len() as f64;
        let bound = (BOUNDED * mean).max(1.0 / SLOTS as f64);
        let draw = |number: &usize| {
            self.draws[key][*number] / if self.targets[*number].region == region { NEAR_FIRST } else { 1.0 }
        };
        let mut order: Vec<usize> = (0..self.targets.len()).collect();
        order.sort_unstable_by(|one, two| draw(one).total_cmp(&draw(two)));
        order.truncate(LOOKED_AT);
        let below = |most: f64| order.iter().copied().find(|number| self.targets[*number].load() < most);
        below(bound).or_else(|| below(FIRST_LOAD))
    }

    fn follow_demand(&mut self) {
        for region in 0..REGIONS {
            self.demand[region] += STEP_MS / 500.0 * (self.flight[region] - self.demand[region]);
        }
        self.known.push_back(self.demand);
        if self.way != Way::ByDemand || (self.known.len() as f64) * STEP_MS < DELAY_MS {
            return;
        }
        let known = self.known.pop_front().unwrap();
        let all: f64 = known.iter().sum::<f64>().max(1.0);
        for (region, known) in known.into_iter().enumerate() {
            let part = (known / all).max(0.01);
            let wanted = (FILL * room(region) / part).min(MOST_NEAR).max(kept_with(1.0, region));
            let step = STEP_MS / SMOOTHED_MS * (wanted - self.stays[region]);
            let most = MOVED_A_SECOND * STEP_MS / 1e3;
            self.stays[region] += step.clamp(-most, most);
        }
    }

    fn start(&mut self, number: usize, now: u64, asked: u64, region: usize, key: usize, result: &mut Outcome) {
        let is_warm = self.targets[number].touch(key);
        result.cold += f64::from(u8::from(!is_warm));
        let spread = 0.85 + 0.3 * self.rng.random::<f64>();
        let work = COLD_MS * if is_warm { WARM } else { 1.0 } * spread;
        let end = now + work as u64;
        self.targets[number].running.push(Reverse((end, region)));
        let way = if self.targets[number].region == region { 0 } else { FAR_MS };
        match end - asked + way <= AIM_MS {
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
                    self.flight[from] -= 1.0;
                    if let Some((asked, region, key)) = self.targets[number].waiting.pop_front() {
                        self.start(number, now, asked, region, key, &mut result);
                    }
                }
            }
            for (region, due) in due.iter_mut().enumerate() {
                let phase = now as f64 / PERIOD_MS - region as f64 / REGIONS as f64;
                let wave = 1.0 + SWING * (phase * std::f64::consts::TAU).sin();
                *due += RATE * wave / REGIONS as f64 / 1e3;
                while *due >= 1.0 {
                    *due -= 1.0;
                    self.ask(now, region, &mut result);
                }
            }
            if now % STEP_MS as u64 == 0 {
                self.follow_demand();
            }
        }
        result
    }

    fn ask(&mut self, now: u64, region: usize, result: &mut Outcome) {
        let key = self.rng.random_range(0..KEYS);
        result.asked += 1.0;
        result.by_region[region].0 += 1.0;
        let Some(number) = self.choose(key, region) else {
            result.refused += 1.0;
            return;
        };
        let to = self.targets[number].region;
        result.far += f64::from(u8::from(to != region));
        result.windows.last_mut().unwrap()[region][to] += 1.0;
        self.flight[region] += 1.0;
        if self.targets[number].running.len() < SLOTS {
            self.start(number, now, now, region, key, result);
        } else {
            self.targets[number].waiting.push_back((now, region, key));
        }
    }
}

#[test]
fn waves_of_demand_move_few_requests_between_regions_and_weights_that_follow_them_gain_little() {
    let [stands, by_demand, bounded] = [Way::Stands, Way::ByDemand, Way::Bounded].map(|way| {
        let outcome = Replay::new(way, 7).run();
        let part = |value: f64| outcome.part(value);
        println!(
            "{way:?}: in time {:.3}, late {:.3}, refused {:.3}, cold {:.3}, far {:.3}, moved in 2 s {:.3}, \
             unsettled {:.3}, in time by region {:.3?}",
            part(outcome.in_time),
            part(outcome.late),
            part(outcome.refused),
            part(outcome.cold),
            part(outcome.far),
            outcome.most_moved(1),
            outcome.unsettled(),
            outcome.by_region.map(|(all, good)| good / all),
        );
        outcome
    });
    assert!(stands.most_moved(1) < MAX_SHIFT && by_demand.most_moved(1) < MAX_SHIFT);
    assert!(by_demand.unsettled() < 0.1, "they swing");
    let gain = |outcome: &Outcome| outcome.part(outcome.in_time) - stands.part(stands.in_time);
    let ask = "weigh this way again, docs/design/region-demand.md";
    assert!(gain(&by_demand) < 0.01, "weights by demand gain {}: {ask}", gain(&by_demand));
    assert!(gain(&bounded) < 0.01, "bounded loads gain {}: {ask}", gain(&bounded));
}
