//! Weights of instances, and the instances that the directory names according to them.

use lockloft::clock::Instant;
use lockloft::decision::registry::members::Members;
use lockloft::decision::selection::directory::{OwnInstance, instances_for};
use lockloft::decision::selection::instance_weight::{MAX_SHARE, max_request_rate, weights};
use lockloft::decision::selection::request_size::RequestSize;
use lockloft::model::member::{Capacity, Member};
use proptest::prelude::*;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;

const STRONG: Capacity = Capacity { core_milli: Some(500), link_kbit: Some(200_000) };
const WEAK: Capacity = Capacity { core_milli: Some(100), link_kbit: Some(10_000) };
/// Mean bytes of a request where one response in nine is large and the others are small.
const BYTES: f64 = 12_000.0;

fn address(number: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], 1_000 + number as u16))
}

/// The instances of a region, as known to an instance that does not accept requests, so that its answers
/// do not name it.
struct Region {
    members: Members,
    capacities: Vec<Capacity>,
}

impl Region {
    fn with(strong: usize, weak: usize) -> Self {
        Self::new([vec![STRONG; strong], vec![WEAK; weak]].concat())
    }

    fn new(capacities: Vec<Capacity>) -> Self {
        let mut members = Members::default();
        for (number, capacity) in capacities.iter().enumerate() {
            let callers = address(number);
            let member = Member {
                callers,
                peer: callers,
                hall: "a-1".into(),
                region: "a".into(),
                isolated: false,
                capacity: *capacity,
            };
            members.insert(format!("i-{number:03}"), member, Instant::now());
        }
        Self { members, capacities }
    }

    fn answer(&self, random: impl FnMut() -> f64) -> Vec<usize> {
        let own = OwnInstance {
            name: "own",
            region: "a",
            address: address(900),
            is_isolated: false,
            is_ready: false,
            capacity: Capacity::default(),
        };
        let named = instances_for("a", own, &self.members, |_, _| false, BYTES, random);
        named.into_iter().map(|address| usize::from(address.port()) - 1_000).collect()
    }

    /// Share of new connections that each instance gets, over this number of answers.
    fn shares(&self, answers: usize, rng: &mut StdRng) -> Vec<f64> {
        let mut shares = vec![0.0; self.capacities.len()];
        for _ in 0..answers {
            let named = self.answer(|| rng.random());
            named.iter().for_each(|number| shares[*number] += 1.0 / named.len() as f64 / answers as f64);
        }
        shares
    }
}

#[test]
fn the_request_rate_of_a_machine_is_limited_by_the_weaker_of_core_and_link() {
    assert_eq!(max_request_rate(WEAK, 12_500.0), Some(100.0));
    assert_eq!(max_request_rate(WEAK, 1_250.0), Some(200.0));
    assert_eq!(max_request_rate(Capacity { core_milli: None, ..WEAK }, 1_250.0), Some(1_000.0));
    assert_eq!(max_request_rate(Capacity { link_kbit: None, ..WEAK }, 12_500.0), Some(200.0));
}

#[test]
fn a_capacity_of_zero_counts_as_unknown() {
    assert_eq!(max_request_rate(Capacity::default(), BYTES), None);
    assert_eq!(max_request_rate(Capacity { core_milli: Some(0), link_kbit: Some(0) }, BYTES), None);
    assert_eq!(max_request_rate(Capacity { core_milli: Some(0), ..WEAK }, 12_500.0), Some(100.0));
}

#[test]
fn an_instance_of_which_nothing_is_known_counts_as_the_weakest() {
    let fleet = [vec![STRONG; 4], vec![WEAK; 22], vec![Capacity::default(); 2]].concat();
    let weights = weights(&fleet, BYTES);
    assert!(weights[0] > 5.0, "{weights:?}");
    assert!(weights[4..].iter().all(|weight| *weight == 1.0), "{weights:?}");
}

#[test]
fn weights_are_one_where_nothing_is_known_or_machines_hardly_differ() {
    assert_eq!(weights(&[Capacity::default(); 3], BYTES), [1.0; 3]);
    let near = [10_000, 11_000, 12_000].map(|link| Capacity { link_kbit: Some(link), ..WEAK });
    assert_eq!(weights(&near, BYTES), [1.0; 3]);
    assert!(weights(&[], BYTES).is_empty());
}

#[test]
fn the_instances_of_a_small_region_have_equal_weights() {
    assert_eq!(weights(&[STRONG, WEAK, WEAK], BYTES), [1.0; 3]);
}

proptest! {
    #[test]
    fn no_weight_gives_more_than_the_largest_share(
        links in prop::collection::vec(1_u32..2_000_000, 1..60),
        bytes in 100.0..1e6_f64,
    ) {
        let fleet: Vec<Capacity> =
            links.iter().map(|link| Capacity { core_milli: None, link_kbit: Some(*link) }).collect();
        let weights = weights(&fleet, bytes);
        let total: f64 = weights.iter().sum();
        let most = MAX_SHARE.max(1.0 / links.len() as f64) + 1e-9;
        prop_assert!(weights.iter().all(|weight| *weight >= 1.0 && weight / total <= most), "{weights:?}");
        for (one, other) in links.iter().zip(&weights) {
            for (two, second) in links.iter().zip(&weights) {
                prop_assert!(one > two || other <= second, "a weaker machine has the larger weight: {weights:?}");
            }
        }
    }

    #[test]
    fn an_answer_names_existing_instances_once_and_in_order(
        strong in 0_usize..6,
        weak in 0_usize..90,
        seed: u64,
    ) {
        let mut rng = StdRng::seed_from_u64(seed);
        let named = Region::with(strong, weak).answer(|| rng.random());
        prop_assert!(named.len() >= (strong + weak).min(4) && named.len() <= 64, "{named:?}");
        prop_assert!(named.windows(2).all(|pair| pair[0] < pair[1]), "{named:?}");
        prop_assert!(named.iter().all(|number| *number < strong + weak), "{named:?}");
    }
}

#[test]
fn all_instances_are_named_where_machines_are_alike() {
    for region in [Region::with(0, 9), Region::new(vec![Capacity::default(); 9])] {
        assert_eq!(region.answer(|| panic!("no random number is needed")), (0..9).collect::<Vec<_>>());
    }
}

#[test]
fn shares_of_callers_follow_the_weights_and_their_bound() {
    let mut rng = StdRng::seed_from_u64(1);
    for (strong, weak) in [(4, 22), (4, 8), (1, 20)] {
        let region = Region::with(strong, weak);
        let weights = weights(&region.capacities, BYTES);
        let total: f64 = weights.iter().sum();
        let shares = region.shares(20_000, &mut rng);
        for (weight, share) in weights.iter().zip(&shares) {
            let expected = weight / total;
            assert!((share / expected - 1.0).abs() < 0.2, "{strong} and {weak}: {share} for {expected}");
            assert!(*share <= MAX_SHARE * 1.1, "{strong} and {weak}: {share}");
        }
    }
}

#[test]
fn a_failed_strong_instance_affects_a_bounded_share_of_callers_and_they_know_others() {
    let mut rng = StdRng::seed_from_u64(2);
    let region = Region::with(4, 8);
    let mut affected = 0;
    for _ in 0..10_000 {
        let named = region.answer(|| rng.random());
        assert!(named.len() >= 4, "{named:?}");
        affected += usize::from(named[rng.random_range(0..named.len())] == 0);
    }
    println!("with 4 strong and 8 weak instances, the failure of one strong affects {affected} of 10,000 callers");
    assert!(affected < 2_200, "{affected}");
}

#[test]
fn records_without_a_capacity_are_read_and_written_as_before() {
    let old = r#"{"callers":"10.0.0.1:1","peer":"10.0.0.1:2","hall":"a-1","region":"a"}"#;
    let member: Member = serde_json::from_str(old).unwrap();
    assert_eq!(member.capacity, Capacity::default());
    assert_eq!(member.to_json(), old.as_bytes());
    let known = Member { isolated: false, capacity: WEAK, ..member };
    let text = String::from_utf8(known.to_json().to_vec()).unwrap();
    assert!(text.ends_with(r#""core_milli":100,"link_kbit":10000}"#), "{text}");
    assert_eq!(serde_json::from_str::<Member>(&text).unwrap(), known);
}

#[test]
fn the_average_request_size_follows_the_sizes_of_request_and_response_bodies() {
    let size = RequestSize::default();
    let first = size.bytes();
    (0..5_000).for_each(|number| size.record(0, if number % 10 == 0 { 90_000 } else { 1_500 }));
    assert!((9_000.0..13_000.0).contains(&size.bytes()), "{first}, then {}", size.bytes());
    (0..5_000).for_each(|_| size.record(100_000, 100));
    assert!((99_000.0..102_000.0).contains(&size.bytes()), "{}", size.bytes());
}

/// Replays waves of load on the instances of a region, second by second.
struct Replay {
    region: Region,
    /// Whether answers name all instances, as they would without weights.
    is_unweighted: bool,
    rng: StdRng,
}

/// Link utilization of the busiest instance of a kind, per second: the median and the maximum.
#[derive(Debug)]
struct Busiest {
    median: f64,
    max: f64,
    /// Share of the seconds in which an instance of the kind gets more than its link can carry.
    overloaded: f64,
}

const CALLERS: usize = 300;
/// Period of the waves of load, seconds.
const PERIOD: f64 = 36.0;
/// Length of a replay, seconds.
const SECONDS: usize = 72;
/// Time for which callers keep an answer, seconds.
const TTL: usize = 5;

impl Replay {
    fn new(strong: usize, weak: usize, is_unweighted: bool) -> Self {
        Self { region: Region::with(strong, weak), is_unweighted, rng: StdRng::seed_from_u64(3) }
    }

    fn answer(&mut self) -> Vec<usize> {
        let Self { region, is_unweighted, rng } = self;
        if *is_unweighted { (0..region.capacities.len()).collect() } else { region.answer(|| rng.random()) }
    }

    /// Bits that each instance's link has to carry in each second. Two of three requests use a new
    /// connection; the others reuse one, which is kept as long as the caller's answer names its instance.
    fn run(mut self, mean_rate: f64) -> (Vec<Capacity>, Vec<Vec<f64>>) {
        let mut answers: Vec<Vec<usize>> = (0..CALLERS).map(|_| self.answer()).collect();
        let mut kept: HashMap<usize, usize> = HashMap::new();
        let mut seconds = Vec::new();
        for second in 0..SECONDS {
            for caller in (0..CALLERS).filter(|caller| (caller + second) % TTL == 0) {
                answers[caller] = self.answer();
                kept.retain(|owner, instance| *owner != caller || answers[caller].contains(instance));
            }
            let wave = 1.0 + 0.55 * (second as f64 / PERIOD * std::f64::consts::TAU).sin();
            let mut bits = vec![0.0; self.region.capacities.len()];
            for number in 0..(mean_rate * wave) as usize {
                let caller = self.rng.random_range(0..CALLERS);
                let named = &answers[caller];
                let chosen = named[self.rng.random_range(0..named.len())];
                let instance = if number % 3 == 0 { *kept.entry(caller).or_insert(chosen) } else { chosen };
                let body = if self.rng.random_bool(0.11) { 90_000.0 } else { 1_500.0 };
                bits[instance] += 8.0 * (600.0 + body);
            }
            seconds.push(bits);
        }
        (self.region.capacities, seconds)
    }

    fn busiest(self, mean_rate: f64, kind: Capacity) -> Busiest {
        let (capacities, seconds) = self.run(mean_rate);
        let link = f64::from(kind.link_kbit.unwrap()) * 1e3;
        let max_of_kind = |bits: &Vec<f64>| -> f64 {
            let used = bits.iter().zip(&capacities).filter(|(_, capacity)| **capacity == kind);
            used.map(|(bits, _)| bits / link).fold(0.0, f64::max)
        };
        let mut utilization: Vec<f64> = seconds.iter().map(max_of_kind).collect();
        utilization.sort_unstable_by(f64::total_cmp);
        let overloaded = utilization.iter().filter(|used| **used > 1.0).count() as f64 / utilization.len() as f64;
        Busiest { median: utilization[SECONDS / 2], max: utilization[SECONDS - 1], overloaded }
    }
}

#[test]
fn weights_keep_waves_of_load_from_overloading_links() {
    for (strong, weak, rate) in [(4, 22, 1_300.0), (4, 8, 700.0)] {
        let busiest = |is_unweighted, kind| Replay::new(strong, weak, is_unweighted).busiest(rate, kind);
        let before = busiest(true, WEAK);
        let [weak_now, strong_now] = [WEAK, STRONG].map(|kind| busiest(false, kind));
        println!("{strong} strong and {weak} weak instances, {rate} requests/s, utilization of the busiest link:");
        println!("unweighted: weak {before:.2?}\nweighted: weak {weak_now:.2?}, strong {strong_now:.2?}");
        assert!(before.overloaded > 0.3, "the load is too low to show a difference: {before:?}");
        assert!(weak_now.overloaded < 0.05 && strong_now.max < 0.9, "{weak_now:?} {strong_now:?}");
        assert!(weak_now.median < 0.5 * before.median, "{weak_now:?} {before:?}");
    }
}

#[test]
fn answers_vary_so_that_every_instance_gets_callers() {
    let mut rng = StdRng::seed_from_u64(4);
    let region = Region::with(4, 22);
    let seen: BTreeSet<usize> = (0..400).flat_map(|_| region.answer(|| rng.random())).collect();
    assert_eq!(seen.len(), 26);
}
