//! The decider against a naive one, and the properties of caps and targets.

use super::account::{Account, Kind};
use super::cap::Credit;
use super::spread::{Field, NoTarget};
use super::{Ask, Choice, Knowledge, Trial, choose, near};
use crate::declaration::{Declaration, Sources};
use crate::hall::HallSet;
use crate::job::{Asker, set_label};
use crate::key::{HallKey, ServiceKey};
use crate::label::LabelSet;
use crate::load::{Facts, TargetState};
use crate::membership::Id;
use crate::service::Repeat;
use crate::target::{Target, TargetSet};
use crate::view::{HallRoute, View};
use proptest::prelude::*;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// One test of a selector.
#[derive(Clone, Debug)]
enum Test {
    Is(&'static str),
    OneOf(Vec<&'static str>),
    Not(Vec<&'static str>),
    Exists(bool),
}

impl Test {
    fn passes(&self, value: Option<&str>) -> bool {
        match self {
            Test::Is(v) => value == Some(*v),
            Test::OneOf(list) => value.is_some_and(|v| list.contains(&v)),
            Test::Not(list) => value.is_none_or(|v| !list.contains(&v)),
            Test::Exists(wanted) => value.is_some() == *wanted,
        }
    }

    fn toml(&self) -> String {
        match self {
            Test::Is(v) => format!("\"{v}\""),
            Test::OneOf(list) => format!("{list:?}"),
            Test::Not(list) => format!("{{ not = {list:?} }}"),
            Test::Exists(wanted) => format!("{{ exists = {wanted} }}"),
        }
    }
}

type Labels = BTreeMap<&'static str, &'static str>;
type Selector = Vec<(&'static str, Test)>;

fn selects(selector: &Selector, labels: &Labels) -> bool {
    selector.iter().all(|(key, test)| test.passes(labels.get(key).copied()))
}

fn selector_toml(selector: &Selector) -> String {
    let tests: Vec<String> = selector.iter().map(|(k, t)| format!("{k} = {}", t.toml())).collect();
    format!("{{ {} }}", tests.join(", "))
}

#[derive(Clone, Debug)]
enum Say {
    Allow,
    Deny,
    Drain,
    Prefer(u16),
    Weight(f64),
    Cap,
}

#[derive(Clone, Debug)]
struct PolicySpec {
    requests: Selector,
    places: Selector,
    say: Say,
    cap: Option<f64>,
    rich: bool,
}

#[derive(Clone, Debug)]
struct TargetSpec {
    hall: usize,
    stage: Option<&'static str>,
}

#[derive(Clone, Debug)]
struct Spec {
    latency: bool,
    targets: Vec<TargetSpec>,
    policies: Vec<PolicySpec>,
    facts: Vec<Facts>,
    caller: Option<usize>,
    from: Option<usize>,
    tier: Option<&'static str>,
    refused: u64,
    seed: u64,
}

const HALLS: [&str; 5] = ["h0", "h1", "h2", "h3", "h4"];
const REGIONS: [&str; 3] = ["r0", "r1", "r2"];
const REGION_OF: [usize; 5] = [0, 0, 1, 1, 2];

fn stage() -> impl Strategy<Value = Option<&'static str>> {
    prop_oneof![Just(None), Just(Some("cold")), Just(Some("warm"))]
}

fn place_test() -> impl Strategy<Value = (&'static str, Test)> {
    prop_oneof![
        proptest::sample::select(&HALLS[..]).prop_map(|h| ("hall", Test::Is(h))),
        proptest::sample::subsequence(HALLS.to_vec(), 1..4).prop_map(|l| ("hall", Test::OneOf(l))),
        proptest::sample::select(&REGIONS[..]).prop_map(|r| ("region", Test::Is(r))),
        Just(("region", Test::Not(vec!["r0"]))),
        Just(("stage", Test::Is("cold"))),
        Just(("stage", Test::Not(vec!["cold"]))),
        any::<bool>().prop_map(|b| ("stage", Test::Exists(b))),
    ]
}

fn request_test() -> impl Strategy<Value = Selector> {
    prop_oneof![
        3 => Just(vec![]),
        1 => Just(vec![("tier", Test::Is("a"))]),
        1 => Just(vec![("tier", Test::Not(vec!["a"]))]),
        1 => Just(vec![("tier", Test::Exists(true))]),
        1 => Just(vec![("service", Test::Is("quote"))]),
        1 => Just(vec![("caller", Test::Is("c1"))]),
    ]
}

fn policy() -> impl Strategy<Value = PolicySpec> {
    let say = prop_oneof![
        Just(Say::Allow),
        Just(Say::Deny),
        Just(Say::Drain),
        (1_u16..4).prop_map(Say::Prefer),
        (0.0_f64..0.3).prop_map(Say::Weight),
        Just(Say::Cap),
    ];
    let places = proptest::collection::vec(place_test(), 0..2);
    let cap = proptest::option::of(prop_oneof![Just(0.0), Just(0.4), Just(1.0)]);
    (request_test(), places, say, cap, any::<bool>()).prop_map(|(requests, places, say, cap, rich)| {
        let cap = match say {
            Say::Cap => Some(cap.unwrap_or(0.4)),
            Say::Weight(_) => cap,
            _ => None,
        };
        PolicySpec { requests, places, say, cap, rich }
    })
}

fn facts() -> impl Strategy<Value = Facts> {
    let age = prop_oneof![2 => Just(Some(0)), 2 => Just(Some(900)), 1 => Just(Some(60_000)), 1 => Just(None)];
    (0_u32..12, 0_u32..14, prop_oneof![Just(0), 0_u64..900_000], 0_u64..50_000, age)
        .prop_map(|(slots, flight, wait_us, service_us, age_ms)| Facts { slots, flight, wait_us, service_us, age_ms })
}

fn spec() -> impl Strategy<Value = Spec> {
    let target = (0..HALLS.len(), stage()).prop_map(|(hall, stage)| TargetSpec { hall, stage });
    let shape = (any::<bool>(), proptest::collection::vec(target, 1..14), proptest::collection::vec(policy(), 0..6));
    let state = (proptest::collection::vec(facts(), HALLS.len()), proptest::option::of(0..REGIONS.len()));
    let ask = (
        proptest::option::of(0..HALLS.len()),
        prop_oneof![Just(None), Just(Some("a")), Just(Some("b"))],
        prop_oneof![3 => Just(0_u64), 1 => 0_u64..32],
        any::<u64>(),
    );
    (shape, state, ask).prop_map(|((latency, targets, policies), (facts, caller), (from, tier, refused, seed))| Spec {
        latency,
        targets,
        policies,
        facts,
        caller,
        from,
        tier,
        refused,
        seed,
    })
}

impl Spec {
    fn toml(&self) -> String {
        let mut text = String::new();
        for region in REGIONS {
            text += &format!("[[region]]\nname = \"{region}\"\n");
            text += &format!("[[caller]]\nname = \"c{}\"\nregion = \"{region}\"\ndelay = \"3ms\"\n", &region[1..]);
            text += &format!("blocks = [\"10.{}.0.0/16\"]\n", &region[1..]);
        }
        for (i, hall) in HALLS.iter().enumerate() {
            text += &format!("[[hall]]\nname = \"{hall}\"\nregion = \"{}\"\n", REGIONS[REGION_OF[i]]);
        }
        for (a, b, d) in [("r0", "r1", 12), ("r0", "r2", 30), ("r1", "r2", 20)] {
            text += &format!("[[link]]\nname = \"{a}{b}\"\nfrom = \"{a}\"\nto = \"{b}\"\ndelay = \"{d}ms\"\n");
        }
        let objective = if self.latency { "latency" } else { "headroom" };
        text += &format!(
            "[[service]]\nname = \"quote\"\npaths = [\"/q\"]\nrepeat = \"safe\"\nobjective = \"{objective}\"\ntimeout = \"2s\"\n"
        );
        for (i, target) in self.targets.iter().enumerate() {
            let labels = target.stage.map(|s| format!("labels = {{ stage = \"{s}\" }}\n")).unwrap_or_default();
            text += &format!(
                "[[target]]\nname = \"t{i}\"\nservice = \"quote\"\nhall = \"{}\"\naddress = \"10.9.0.{}:80\"\nslots = 4\nconnections = 9\n{labels}",
                HALLS[target.hall],
                i + 1
            );
        }
        for (i, policy) in self.policies.iter().enumerate() {
            text += &format!("[[policy]]\nname = \"p{i}\"\nrequests = {}\n", selector_toml(&policy.requests));
            text += &format!("places = {}\n", selector_toml(&policy.places));
            text += &match policy.say {
                Say::Allow => "allow = true\n".to_owned(),
                Say::Deny => "deny = true\n".to_owned(),
                Say::Drain => "drain = true\n".to_owned(),
                Say::Prefer(rank) => format!("prefer = {rank}\n"),
                Say::Weight(share) => format!("weight = {share:?}\n"),
                Say::Cap => String::new(),
            };
            if let Some(cap) = policy.cap {
                text += &format!("cap = {cap:?}\n");
            }
        }
        text
    }

    fn target_labels(&self, target: &TargetSpec) -> Labels {
        let mut labels = Labels::new();
        labels.insert("region", REGIONS[REGION_OF[target.hall]]);
        labels.insert("hall", HALLS[target.hall]);
        labels.insert("service", "quote");
        if let Some(stage) = target.stage {
            labels.insert("stage", stage);
        }
        labels
    }

    fn request_labels(&self) -> Labels {
        let mut labels = Labels::new();
        labels.insert("service", "quote");
        if let Some(region) = self.caller {
            labels.insert("caller", ["c0", "c1", "c2"][region]);
        }
        if let Some(tier) = self.tier {
            labels.insert("tier", tier);
        }
        labels
    }

    fn between(a: usize, b: usize) -> u64 {
        let (a, b) = (a.min(b), a.max(b));
        match (a, b) {
            _ if a == b => 1,
            (0, 1) => 12,
            (0, 2) => 30,
            _ => 20,
        }
    }

    fn hall_delay(from: usize, to: usize) -> u64 {
        if from == to { 0 } else { Self::between(REGION_OF[from], REGION_OF[to]) }
    }

    fn origin_delay(&self, hall: usize) -> u64 {
        match (self.caller, self.from) {
            (Some(region), _) if region == REGION_OF[hall] => 3,
            (Some(region), _) => 3 + Self::between(region, REGION_OF[hall]),
            (None, Some(from)) => Self::hall_delay(from, hall),
            (None, None) => 0,
        }
    }
}

/// The obvious decider: every policy against every target, by name.
fn naive(spec: &Spec) -> Option<usize> {
    let request = spec.request_labels();
    let active: Vec<&PolicySpec> = spec.policies.iter().filter(|p| selects(&p.requests, &request)).collect();
    let allows = active.iter().any(|p| matches!(p.say, Say::Allow));
    let barred = |t: &TargetSpec| {
        let labels = spec.target_labels(t);
        let denied = active.iter().any(|p| matches!(p.say, Say::Deny) && selects(&p.places, &labels));
        let allowed = active.iter().any(|p| matches!(p.say, Say::Allow) && selects(&p.places, &labels));
        denied || (allows && !allowed)
    };
    let drained = |t: &TargetSpec| {
        let labels = spec.target_labels(t);
        active.iter().any(|p| matches!(p.say, Say::Drain) && selects(&p.places, &labels))
    };
    let of = |hall: usize| spec.targets.iter().filter(move |t| t.hall == hall);
    let reaches = |p: &PolicySpec, hall: usize| of(hall).any(|t| selects(&p.places, &spec.target_labels(t)));
    let rank = |hall: usize| {
        let ranks = active.iter().filter(|p| reaches(p, hall)).filter_map(|p| match p.say {
            Say::Prefer(rank) => Some(rank),
            _ => None,
        });
        ranks.min().unwrap_or(u16::MAX)
    };
    let spread = |hall: usize| std::cmp::Reverse(near::mix(spec.seed, HallKey(hall as u16)));
    let natural = (0..HALLS.len())
        .filter(|h| of(*h).any(|t| !barred(t)))
        .min_by_key(|h| (rank(*h), spec.origin_delay(*h), spec.from != Some(*h), spread(*h)));
    let point = near::unit(spec.seed);
    let mut start = 0.0;
    let mut wanted = None;
    for policy in &spec.policies {
        let Say::Weight(share) = policy.say else { continue };
        let fraction = (share * 1e6).trunc() / 1e6;
        if wanted.is_none() && selects(&policy.requests, &request) && point >= start && point < start + fraction {
            wanted = Some(policy);
        }
        start += share;
    }
    let order = |hall: &usize| {
        let facts = spec.facts[*hall];
        let fresh = facts.age_ms.is_some_and(|a| a <= super::STALE_MS);
        let class = match (fresh, facts.slots, facts.wait_us) {
            (false, _, _) => 2,
            (true, 0, _) => 3,
            (true, _, wait) if wait > 500_000 => 1,
            _ => 0,
        };
        let ask_delay = spec.from.map_or(spec.origin_delay(*hall), |from| Spec::hall_delay(from, *hall));
        let delay = 2_000 * ask_delay;
        let slots = of(*hall).count() as u64 * 4;
        let used = match fresh {
            true => (1_000 * (u64::from(facts.flight) + 1) / u64::from(facts.slots.max(1))).min(10_000),
            false => 500 + 1_000 / slots,
        };
        let score = if spec.latency { delay + facts.wait_us + facts.service_us } else { used / 100 };
        (class, wanted.is_some_and(|w| !reaches(w, *hall)), rank(*hall), score, delay, spread(*hall))
    };
    let mut halls: Vec<usize> = (0..HALLS.len())
        .filter(|h| spec.refused & (1 << h) == 0 && of(*h).any(|t| !barred(t) && !drained(t)))
        .collect();
    halls.sort_by_key(order);
    let serves = halls.iter().any(|h| natural == Some(*h) && order(h).0 <= 1);
    let may_move = active.iter().all(|p| match (p.cap, spec.from) {
        (None, _) => true,
        (Some(cap), Some(_)) => cap >= 1.0 || p.rich,
        (Some(cap), None) => cap >= 1.0 || !serves,
    });
    halls.into_iter().find(|h| natural == Some(*h) || may_move)
}

fn account(view: View, labels: LabelSet, choice: Choice) -> Account {
    Account {
        seq: 1,
        kind: Kind::Request,
        view: Arc::new(view),
        at_ms: 0,
        service: ServiceKey(0),
        caller: "10.0.0.1".parse().unwrap(),
        labels,
        natural: Some(choice.natural),
        hall: Some(choice.hall),
        target: None,
        weight: choice.weight,
        acted: choice.acted,
        alternatives: choice.alternatives,
        linked: None,
        result: "200".into(),
        tries: 1,
        took_us: 0,
    }
}

struct Known<'a>(&'a [Facts]);

impl Knowledge for Known<'_> {
    fn facts(&self, place: &HallRoute, _: u64) -> Facts {
        self.0[usize::from(place.hall.0)]
    }
}

fn view(text: &str) -> View {
    let world = Declaration::try_from(&Sources::single("test.toml", text)).unwrap();
    View::new(1, Arc::new(world), "h0", &BTreeMap::new(), None)
}

fn ask(view: &View, spec: &Spec) -> Ask {
    let address = spec.caller.map_or("192.168.0.1".into(), |r| format!("10.{r}.0.1"));
    let asker = Asker { view, caller: address.parse().unwrap() };
    let mut ask = asker.bare(ServiceKey(0));
    set_label(view, &mut ask, "tier", spec.tier.unwrap_or(""));
    ask.seed = spec.seed;
    ask.from = spec.from.map(|h| HallKey(h as u16));
    ask
}

/// Whether the declaration check takes a spec: some are rightly refused.
fn is_declarable(spec: &Spec) -> bool {
    Declaration::try_from(&Sources::single("test.toml", &spec.toml())).is_ok()
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2_000, max_global_rejects: 200_000, ..ProptestConfig::default() })]

    #[test]
    fn the_decider_agrees_with_the_naive_one(spec in spec()) {
        prop_assume!(is_declarable(&spec));
        let view = view(&spec.toml());
        let ask = ask(&view, &spec);
        for (i, policy) in spec.policies.iter().enumerate() {
            if policy.rich {
                let key = view.world.policies.find(|p| p.name == format!("p{i}")).unwrap();
                view.credits[key].earn(1.0);
            }
        }
        let mut trial = Trial { refused: HallSet(spec.refused), ..Trial::default() };
        let chosen = choose(&view, &ask, &mut trial, &Known(&spec.facts));
        let hall = chosen.as_ref().ok().map(|c| usize::from(c.hall.0));
        prop_assert_eq!(hall, naive(&spec), "{:?}", chosen);
        if let Ok(choice) = chosen {
            let chosen = choice.alternatives.iter().filter(|a| a.refusal.is_none());
            prop_assert_eq!(chosen.map(|a| a.hall).collect::<Vec<_>>(), vec![choice.hall]);
            let mut line = account(view, ask.labels, choice).line(&Id { name: "a".into(), incarnation: 1 });
            line.halls.sort_by(|a, b| a.hall.cmp(&b.hall));
            let mut halls: Vec<&str> = spec.targets.iter().map(|t| HALLS[t.hall]).collect();
            halls.sort_unstable();
            halls.dedup();
            let named: Vec<&str> = line.halls.iter().map(|h| h.hall.as_str()).collect();
            prop_assert_eq!(named, halls, "the account names every hall once");
        }
    }

    /// In any window of requests an instance moves at most `cap` of them and
    /// one more.
    #[test]
    fn no_window_exceeds_the_cap(cap in 0.0_f64..=1.0, wants in proptest::collection::vec(any::<bool>(), 1..400)) {
        let credit = Credit::default();
        let moved: Vec<bool> = wants.iter().map(|want| {
            credit.earn(cap);
            *want && credit.spend()
        }).collect();
        for from in 0..moved.len() {
            for to in from + 1..=moved.len() {
                let count = moved[from..to].iter().filter(|m| **m).count() as f64;
                prop_assert!(count <= cap * (to - from) as f64 + 1.0 + 1e-3);
            }
        }
    }

    /// A growing fraction moves only new callers and keeps those it had.
    #[test]
    fn a_growing_weight_keeps_its_callers(seed in any::<u64>(), small in 0.0_f64..0.5, more in 0.0_f64..0.5) {
        let text = |share: f64| Spec {
            latency: true,
            targets: vec![TargetSpec { hall: 0, stage: None }, TargetSpec { hall: 4, stage: None }],
            policies: vec![PolicySpec {
                requests: vec![],
                places: vec![("hall", Test::Is("h4"))],
                say: Say::Weight(share),
                cap: None,
                rich: false,
            }],
            facts: vec![Facts { slots: 8, age_ms: Some(0), ..Facts::default() }; HALLS.len()],
            caller: Some(0),
            from: None,
            tier: None,
            refused: 0,
            seed,
        };
        let hall = |spec: &Spec| {
            let view = view(&spec.toml());
            choose(&view, &ask(&view, spec), &mut Trial::default(), &Known(&spec.facts)).unwrap().hall
        };
        if hall(&text(small)) == HallKey(4) {
            prop_assert_eq!(hall(&text(small + more)), HallKey(4));
        }
    }

    /// A target never gets more than its quota, and a free usable slot is
    /// always found.
    #[test]
    fn targets_are_filled_to_their_quota_and_no_further(quotas in proptest::collection::vec(0_u32..5, 1..8), seeds in proptest::collection::vec(any::<u64>(), 1..60), safe in any::<bool>()) {
        let targets = targets(&quotas);
        let gone = TargetSet::default();
        let field = Field { targets: &targets, first: 0, gone: &gone, leased: true };
        let repeat = if safe { Repeat::Safe } else { Repeat::Never };
        let total: u32 = quotas.iter().sum();
        for (taken, seed) in seeds.iter().enumerate() {
            let result = field.take(repeat, *seed);
            prop_assert_eq!(result.is_ok(), (taken as u32) < total);
        }
        for (target, quota) in targets.iter().zip(&quotas) {
            prop_assert!(target.flight() <= *quota);
        }
    }
}

fn declared(name: &str, warmup: Duration) -> Target {
    Target {
        name: name.into(),
        service: ServiceKey(0),
        hall: HallKey(0),
        address: "127.0.0.1:1".parse().unwrap(),
        slots: 8,
        connections: 8,
        probe: "/probe".into(),
        warmup,
        labels: LabelSet::default(),
    }
}

fn targets(quotas: &[u32]) -> Vec<Arc<TargetState>> {
    let make = |(i, quota): (usize, &u32)| {
        let target = TargetState::new(&declared(&format!("t{i}"), Duration::ZERO), false);
        target.set_quota(0, *quota);
        Arc::new(target)
    };
    quotas.iter().enumerate().map(make).collect()
}

#[test]
fn a_target_that_says_it_is_leaving_gets_nothing() {
    let targets = targets(&[4, 4]);
    targets[0].set_leaving(true);
    let gone = TargetSet::default();
    let field = Field { targets: &targets, first: 0, gone: &gone, leased: true };
    for seed in 0..4 {
        assert_eq!(field.take(Repeat::Safe, seed), Ok(1));
    }
    assert_eq!(field.take(Repeat::Safe, 9), Err(NoTarget::Full));
}

#[test]
fn ejection_never_takes_out_more_than_half() {
    let targets = targets(&[2, 2, 2, 2]);
    for target in &targets {
        while !target.failed() {}
    }
    let gone = TargetSet::default();
    let field = Field { targets: &targets, first: 0, gone: &gone, leased: true };
    let (slots, _) = field.slots();
    assert_eq!(slots, 4, "two of four stay in use when all fail");
}

#[test]
fn one_failing_target_is_ejected_and_the_rest_serve() {
    let targets = targets(&[2, 2, 2]);
    while !targets[1].failed() {}
    let gone = TargetSet::default();
    let field = Field { targets: &targets, first: 0, gone: &gone, leased: true };
    let taken: Vec<_> = (0..4).map(|seed| field.take(Repeat::Never, seed)).collect();
    assert!(taken.iter().all(|t| t.is_ok_and(|i| i != 1)), "{taken:?}");
}

#[test]
fn a_report_only_lowers_belief() {
    let targets = targets(&[4]);
    let before = targets[0].report_penalty();
    targets[0].report(0);
    assert!(targets[0].report_penalty() >= before, "a target that claims to be idle gains nothing");
    targets[0].report(1_000);
    assert!(targets[0].report_penalty() > before);
}

#[test]
fn without_a_lease_only_the_reserve_is_used() {
    let targets = targets(&[4]);
    targets[0].set_quota(1, 4);
    let gone = TargetSet::default();
    let field = Field { targets: &targets, first: 0, gone: &gone, leased: false };
    assert!(field.take(Repeat::Never, 1).is_ok());
    assert_eq!(field.take(Repeat::Never, 1), Err(NoTarget::Full));
}

#[test]
fn a_cold_target_is_ramped_up() {
    let cold = declared("cold", Duration::from_secs(3_600));
    let state = TargetState::new(&cold, true);
    state.set_quota(8, 8);
    assert_eq!(state.limit(true), 2, "a quarter of its quota at first");
    let warm = TargetState::new(&declared("warm", Duration::ZERO), true);
    warm.set_quota(8, 8);
    assert_eq!(warm.limit(true), 8);
}

#[test]
fn a_hall_without_measurements_does_not_look_faster_than_the_own_one() {
    let spec = Spec {
        latency: true,
        targets: vec![TargetSpec { hall: 0, stage: None }, TargetSpec { hall: 1, stage: None }],
        policies: vec![],
        facts: vec![
            Facts { slots: 4, service_us: 9_000, age_ms: Some(0), ..Facts::default() },
            Facts { slots: 4, service_us: 0, age_ms: Some(0), ..Facts::default() },
        ],
        caller: None,
        from: Some(0),
        tier: None,
        refused: 0,
        seed: 1,
    };
    let view = view(&spec.toml());
    view.routes[ServiceKey(0)].traffic.took.observe(9_000);
    let choice = choose(&view, &ask(&view, &spec), &mut Trial::default(), &Known(&spec.facts)).unwrap();
    assert_eq!(choice.hall, HallKey(0));
}
