//! Weights of instances, and the instances that the directory names by them.

use lockloft::clock::Instant;
use lockloft::decision::registry::members::Members;
use lockloft::decision::selection::directory::{OwnInstance, instances_for};
use lockloft::decision::selection::instance_weight::{MAX_SHARE, bearable, weights};
use lockloft::decision::selection::request_size::RequestSize;
use lockloft::model::member::{Capacity, Member};
use proptest::prelude::*;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;

const STRONG: Capacity = Capacity { core_milli: Some(500), link_kbit: Some(200_000) };
const WEAK: Capacity = Capacity { core_milli: Some(100), link_kbit: Some(10_000) };
/// Bytes of a request whose answers are small but for one in nine.
const BYTES: f64 = 12_000.0;

fn address(number: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], 1_000 + number as u16))
}

/// The instances of a region, as one of them that is not named itself knows them.
struct Region {
    members: Members,
    capacities: Vec<Capacity>,
}

impl Region {
    fn of(strong: usize, weak: usize) -> Self {
        Self::new([vec![STRONG; strong], vec![WEAK; weak]].concat())
    }

    fn new(capacities: Vec<Capacity>) -> Self {
        let mut members = Members::default();
        for (number, capacity) in capacities.iter().enumerate() {
            let callers = address(number);
            let member = Member { callers, peer: callers, hall: "a-1".into(), region: "a".into(), capacity: *capacity };
            members.insert(format!("i-{number:03}"), member, Instant::now());
        }
        Self { members, capacities }
    }

    fn answer(&self, draw: impl FnMut() -> f64) -> Vec<usize> {
        let own = OwnInstance {
            name: "own",
            region: "a",
            address: address(900),
            is_ready: false,
            capacity: Capacity::default(),
        };
        let named = instances_for("a", own, &self.members, BYTES, draw);
        named.into_iter().map(|address| usize::from(address.port()) - 1_000).collect()
    }

    /// Part of the new connections that each instance gets over so many answers.
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
fn a_machine_bears_what_its_core_or_its_link_does_whichever_is_less() {
    assert_eq!(bearable(WEAK, 12_500.0), Some(100.0));
    assert_eq!(bearable(WEAK, 1_250.0), Some(200.0));
    assert_eq!(bearable(Capacity { core_milli: None, ..WEAK }, 1_250.0), Some(1_000.0));
    assert_eq!(bearable(Capacity { link_kbit: None, ..WEAK }, 12_500.0), Some(200.0));
}

#[test]
fn zero_says_as_little_as_nothing() {
    assert_eq!(bearable(Capacity::default(), BYTES), None);
    assert_eq!(bearable(Capacity { core_milli: Some(0), link_kbit: Some(0) }, BYTES), None);
    assert_eq!(bearable(Capacity { core_milli: Some(0), ..WEAK }, 12_500.0), Some(100.0));
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
fn a_region_of_few_instances_is_named_whole_and_evenly() {
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
                prop_assert!(one > two || other <= second, "a weaker machine weighs more: {weights:?}");
            }
        }
    }

    #[test]
    fn an_answer_names_some_that_are_there_each_once_in_order(
        strong in 0_usize..6,
        weak in 0_usize..90,
        seed: u64,
    ) {
        let mut rng = StdRng::seed_from_u64(seed);
        let named = Region::of(strong, weak).answer(|| rng.random());
        prop_assert!(named.len() >= (strong + weak).min(4) && named.len() <= 64, "{named:?}");
        prop_assert!(named.windows(2).all(|pair| pair[0] < pair[1]), "{named:?}");
        prop_assert!(named.iter().all(|number| *number < strong + weak), "{named:?}");
    }
}

#[test]
fn instances_that_are_alike_are_all_named_without_chance() {
    for region in [Region::of(0, 9), Region::new(vec![Capacity::default(); 9])] {
        assert_eq!(region.answer(|| panic!("nothing is drawn")), (0..9).collect::<Vec<_>>());
    }
}

#[test]
fn shares_of_callers_follow_the_weights_and_their_bound() {
    let mut rng = StdRng::seed_from_u64(1);
    for (strong, weak) in [(4, 22), (4, 8), (1, 20)] {
        let region = Region::of(strong, weak);
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
fn who_loses_its_strong_instance_has_others_and_they_are_a_bounded_part() {
    let mut rng = StdRng::seed_from_u64(2);
    let region = Region::of(4, 8);
    let mut met = 0;
    for _ in 0..10_000 {
        let named = region.answer(|| rng.random());
        assert!(named.len() >= 4, "{named:?}");
        met += usize::from(named[rng.random_range(0..named.len())] == 0);
    }
    println!("of callers at 4 strong and 8 weak instances, {met} in 10,000 meet one strong that died");
    assert!(met < 2_200, "{met}");
}

#[test]
fn records_without_a_capacity_are_read_and_written_as_before() {
    let old = r#"{"callers":"10.0.0.1:1","peer":"10.0.0.1:2","hall":"a-1","region":"a"}"#;
    let member: Member = serde_json::from_str(old).unwrap();
    assert_eq!(member.capacity, Capacity::default());
    assert_eq!(member.to_json(), old.as_bytes());
    let known = Member { capacity: WEAK, ..member };
    let text = String::from_utf8(known.to_json().to_vec()).unwrap();
    assert!(text.ends_with(r#""core_milli":100,"link_kbit":10000}"#), "{text}");
    assert_eq!(serde_json::from_str::<Member>(&text).unwrap(), known);
}

#[test]
fn the_size_of_a_request_follows_what_is_answered() {
    let size = RequestSize::default();
    let first = size.bytes();
    (0..5_000).for_each(|number| size.observe(0, if number % 10 == 0 { 90_000 } else { 1_500 }));
    assert!((9_000.0..13_000.0).contains(&size.bytes()), "{first}, then {}", size.bytes());
    (0..5_000).for_each(|_| size.observe(100_000, 100));
    assert!((99_000.0..102_000.0).contains(&size.bytes()), "{}", size.bytes());
}

/// What one second of the load does to the instances of a region.
struct Replay {
    region: Region,
    /// Whether answers name all evenly, as they did without weights.
    is_even: bool,
    rng: StdRng,
}

/// The busiest instance of a kind: of a second's link, in the middle second and in the worst.
#[derive(Debug)]
struct Busiest {
    middle: f64,
    worst: f64,
    /// Part of seconds in which an instance of the kind is asked for more than its link bears.
    full: f64,
}

const CALLERS: usize = 300;
const PERIOD: f64 = 36.0;
const SECONDS: usize = 72;
/// Time for which callers keep an answer.
const TTL: usize = 5;

impl Replay {
    fn new(strong: usize, weak: usize, is_even: bool) -> Self {
        Self { region: Region::of(strong, weak), is_even, rng: StdRng::seed_from_u64(3) }
    }

    fn answer(&mut self) -> Vec<usize> {
        let Self { region, is_even, rng } = self;
        if *is_even { (0..region.capacities.len()).collect() } else { region.answer(|| rng.random()) }
    }

    /// Bits that each instance's link is asked for in each second. Two requests of three come over a
    /// new connection; the others over one that is kept while the answer names its instance.
    fn run(mut self, mean_rate: f64) -> (Vec<Capacity>, Vec<Vec<f64>>) {
        let mut answers: Vec<Vec<usize>> = (0..CALLERS).map(|_| self.answer()).collect();
        let mut kept: HashMap<usize, usize> = HashMap::new();
        let mut seconds = Vec::new();
        for second in 0..SECONDS {
            for caller in (0..CALLERS).filter(|caller| (caller + second) % TTL == 0) {
                answers[caller] = self.answer();
                kept.retain(|other, instance| *other != caller || answers[caller].contains(instance));
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
        let of_kind = |bits: &Vec<f64>| -> f64 {
            let used = bits.iter().zip(&capacities).filter(|(_, capacity)| **capacity == kind);
            used.map(|(bits, _)| bits / link).fold(0.0, f64::max)
        };
        let mut most: Vec<f64> = seconds.iter().map(of_kind).collect();
        most.sort_unstable_by(f64::total_cmp);
        let full = most.iter().filter(|used| **used > 1.0).count() as f64 / most.len() as f64;
        Busiest { middle: most[SECONDS / 2], worst: most[SECONDS - 1], full }
    }
}

#[test]
fn waves_of_callers_fill_no_link_where_instances_are_weighed() {
    for (strong, weak, rate) in [(4, 22, 1_300.0), (4, 8, 700.0)] {
        let busiest = |is_even, kind| Replay::new(strong, weak, is_even).busiest(rate, kind);
        let before = busiest(true, WEAK);
        let [weak_now, strong_now] = [WEAK, STRONG].map(|kind| busiest(false, kind));
        println!("{strong} strong and {weak} weak, {rate} a second, busiest second of a link:");
        println!("even: weak {before:.2?}\nby weight: weak {weak_now:.2?}, strong {strong_now:.2?}");
        assert!(before.full > 0.3, "the load is too small to show anything: {before:?}");
        assert!(weak_now.full < 0.05 && strong_now.worst < 0.9, "{weak_now:?} {strong_now:?}");
        assert!(weak_now.middle < 0.5 * before.middle, "{weak_now:?} {before:?}");
    }
}

#[test]
fn answers_of_one_instance_differ_so_that_all_get_callers() {
    let mut rng = StdRng::seed_from_u64(4);
    let region = Region::of(4, 22);
    let seen: BTreeSet<usize> = (0..400).flat_map(|_| region.answer(|| rng.random())).collect();
    assert_eq!(seen.len(), 26);
}
