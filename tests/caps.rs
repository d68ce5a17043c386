//! Caps and the other policies against a naive decider that looks at every
//! policy and every target by name, and at plain sums in place of credit.

mod scene;

use hyper::{HeaderMap, Method, Uri};
use lockloft::decision::choice::{NoTarget, Query, choose};
use lockloft::policy::Sources;
use lockloft::policy::credit::Credit;
use lockloft::policy::{CapCharge, MatchedPolicies, Policies, PolicyDocument, RequestFacts};
use proptest::prelude::*;
use scene::{Scene, route};
use std::collections::BTreeMap;

const HALLS: [&str; 4] = ["a-1", "a-2", "b-1", "b-2"];
const TARGETS: usize = 8;
/// What rounding of a cap may add to a share, in moves.
const ROUNDING: f64 = 1e-3;
/// Credit of one move for the naive decider, which counts in whole millionths: a cap
/// earns what is left of it below that.
const MOVE: i64 = 1_000_000;

fn hall_of(target: usize) -> &'static str {
    HALLS[target / 2]
}

type Labels = BTreeMap<&'static str, String>;

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
            Test::Is(wanted) => value == Some(*wanted),
            Test::OneOf(list) => value.is_some_and(|value| list.contains(&value)),
            Test::Not(list) => value.is_none_or(|value| !list.contains(&value)),
            Test::Exists(wanted) => value.is_some() == *wanted,
        }
    }

    fn toml(&self) -> String {
        match self {
            Test::Is(value) => format!("\"{value}\""),
            Test::OneOf(list) => format!("{list:?}"),
            Test::Not(list) => format!("{{ not = {list:?} }}"),
            Test::Exists(wanted) => format!("{{ exists = {wanted} }}"),
        }
    }
}

type Selector = Vec<(&'static str, Test)>;

fn selects(selector: &Selector, labels: &Labels) -> bool {
    selector.iter().all(|(key, test)| test.passes(labels.get(key).map(String::as_str)))
}

fn selector_toml(selector: &Selector) -> String {
    let tests: Vec<String> = selector.iter().map(|(key, test)| format!("{key} = {}", test.toml())).collect();
    format!("{{ {} }}", tests.join(", "))
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Say {
    Allow,
    Deny,
    Drain,
    Prefer(u16),
    Cap,
}

#[derive(Clone, Debug)]
struct PolicySpec {
    requests: Selector,
    places: Selector,
    say: Say,
    cap: f64,
}

impl PolicySpec {
    fn toml(&self, name: &str) -> String {
        let said = match self.say {
            Say::Allow => "allow = true".to_owned(),
            Say::Deny => "deny = true".to_owned(),
            Say::Drain => "drain = true".to_owned(),
            Say::Prefer(rank) => format!("prefer = {rank}"),
            Say::Cap => format!("cap = {:?}", self.cap),
        };
        let (requests, places) = (selector_toml(&self.requests), selector_toml(&self.places));
        format!("[[policy]]\nname = \"{name}\"\nrequests = {requests}\nplaces = {places}\n{said}\n")
    }
}

#[derive(Clone, Debug)]
struct Spec {
    /// Stage of each target, where it has one.
    stages: Vec<Option<&'static str>>,
    policies: Vec<PolicySpec>,
    /// Targets that are leaving.
    leaving: Vec<bool>,
    /// Object and tier of each request.
    asks: Vec<(u64, Option<&'static str>)>,
}

fn place_test() -> impl Strategy<Value = (&'static str, Test)> {
    prop_oneof![
        prop::sample::select(&HALLS[..]).prop_map(|hall| ("hall", Test::Is(hall))),
        prop::sample::subsequence(HALLS.to_vec(), 1..4).prop_map(|list| ("hall", Test::OneOf(list))),
        Just(("region", Test::Is("b"))),
        Just(("region", Test::Not(vec!["a"]))),
        Just(("target", Test::Not(vec!["t0", "t5"]))),
        Just(("stage", Test::Is("cold"))),
        Just(("stage", Test::Not(vec!["cold"]))),
        any::<bool>().prop_map(|wanted| ("stage", Test::Exists(wanted))),
    ]
}

fn request_test() -> impl Strategy<Value = Selector> {
    prop_oneof![
        3 => Just(vec![]),
        1 => Just(vec![("tier", Test::Is("x"))]),
        1 => Just(vec![("tier", Test::Not(vec!["x"]))]),
        1 => any::<bool>().prop_map(|wanted| vec![("tier", Test::Exists(wanted))]),
        1 => Just(vec![("service", Test::OneOf(vec!["shop", "other"]))]),
        1 => Just(vec![("service", Test::Is("other"))]),
        1 => Just(vec![("method", Test::Is("GET")), ("hall", Test::Is("a-1"))]),
    ]
}

fn policy() -> impl Strategy<Value = PolicySpec> {
    let say = prop_oneof![
        1 => Just(Say::Allow),
        1 => Just(Say::Deny),
        2 => Just(Say::Drain),
        1 => (1u16..4).prop_map(Say::Prefer),
        3 => Just(Say::Cap),
    ];
    let cap = prop_oneof![Just(0.0), Just(1.0), 0.0f64..1.0];
    let places = prop::collection::vec(place_test(), 0..2);
    (request_test(), places, say, cap).prop_map(|(requests, places, say, cap)| PolicySpec {
        requests,
        places,
        say,
        cap,
    })
}

fn spec() -> impl Strategy<Value = Spec> {
    let stage = prop::sample::select(vec![None, Some("cold"), Some("warm")]);
    let tier = prop::sample::select(vec![None, Some("x"), Some("y")]);
    (
        prop::collection::vec(stage, TARGETS),
        prop::collection::vec(policy(), 0..7),
        prop::collection::vec(prop::bool::weighted(0.15), TARGETS),
        prop::collection::vec((any::<u64>(), tier), 1..40),
    )
        .prop_map(|(stages, policies, leaving, asks)| Spec { stages, policies, leaving, asks })
}

impl Spec {
    fn toml(&self) -> String {
        let mut text = "[[service]]\nname = \"shop\"\nheaders = { tier = \"X-Tier\" }\n".to_owned();
        for (number, stage) in self.stages.iter().enumerate() {
            if let Some(stage) = stage {
                text += &format!("[[target]]\nname = \"t{number}\"\nlabels = {{ stage = \"{stage}\" }}\n");
            }
        }
        for (number, policy) in self.policies.iter().enumerate() {
            text += &policy.toml(&format!("p{number}"));
        }
        text
    }

    fn target_labels(&self, target: usize) -> Labels {
        let hall = hall_of(target);
        let mut labels = Labels::from([
            ("hall", hall.to_owned()),
            ("region", hall[..1].to_owned()),
            ("service", "shop".to_owned()),
            ("target", format!("t{target}")),
        ]);
        if let Some(stage) = self.stages[target] {
            labels.insert("stage", stage.to_owned());
        }
        labels
    }

    fn request_labels(tier: Option<&str>) -> Labels {
        let given = [("service", "shop"), ("route", "r"), ("region", "a"), ("hall", "a-1"), ("method", "GET")];
        let mut labels: Labels = given.into_iter().map(|(key, value)| (key, value.to_owned())).collect();
        if let Some(tier) = tier {
            labels.insert("tier", tier.to_owned());
        }
        labels
    }
}

/// What became of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Outcome {
    To(usize),
    Capped,
    NoneUsable,
}

/// The naive decider: the obvious search, and what each policy has earned.
struct Naive<'a> {
    spec: &'a Spec,
    earned: Vec<i64>,
}

impl Naive<'_> {
    /// `place` is the order that place alone gives the targets for the object.
    fn decide(&mut self, place: &[usize], tier: Option<&str>) -> Outcome {
        let spec = self.spec;
        let request = Spec::request_labels(tier);
        let active: Vec<usize> =
            (0..spec.policies.len()).filter(|number| selects(&spec.policies[*number].requests, &request)).collect();
        let saying = |say: fn(&Say) -> bool| -> Vec<&PolicySpec> {
            active.iter().map(|number| &spec.policies[*number]).filter(|policy| say(&policy.say)).collect()
        };
        let reaches = |policy: &PolicySpec, target: usize| selects(&policy.places, &spec.target_labels(target));
        let (denials, drains) = (saying(|say| *say == Say::Deny), saying(|say| *say == Say::Drain));
        let (allowances, preferences) = (saying(|say| *say == Say::Allow), saying(|say| matches!(say, Say::Prefer(_))));
        let is_barred = |target: usize| {
            denials.iter().any(|policy| reaches(policy, target))
                || !allowances.is_empty() && !allowances.iter().any(|policy| reaches(policy, target))
        };
        let is_open = |target: usize| {
            !is_barred(target) && !spec.leaving[target] && !drains.iter().any(|policy| reaches(policy, target))
        };
        let rank = |target: usize| {
            let ranks =
                preferences.iter().filter(|policy| reaches(policy, target)).filter_map(|policy| match policy.say {
                    Say::Prefer(rank) => Some(rank),
                    _ => None,
                });
            ranks.min().unwrap_or(u16::MAX)
        };
        let position = |target: usize| place.iter().position(|other| *other == target).unwrap();
        let best = |targets: Vec<usize>| targets.into_iter().min_by_key(|target| (rank(*target), position(*target)));
        let caps: Vec<usize> = active.into_iter().filter(|number| spec.policies[*number].say == Say::Cap).collect();
        for number in &caps {
            self.earned[*number] = (self.earned[*number] + (spec.policies[*number].cap * MOVE as f64) as i64).min(MOVE);
        }
        let Some(wanted) = best((0..TARGETS).filter(|target| is_open(*target)).collect()) else {
            return Outcome::NoneUsable;
        };
        // Leaving, drained or not: where the request belongs but for troubles.
        let home = best((0..TARGETS).filter(|target| !is_barred(*target)).collect()).map(hall_of);
        if caps.is_empty() || home == Some(hall_of(wanted)) {
            return Outcome::To(wanted);
        }
        if caps.iter().all(|number| self.earned[*number] >= MOVE) {
            caps.iter().for_each(|number| self.earned[*number] -= MOVE);
            return Outcome::To(wanted);
        }
        let at_home = (0..TARGETS).filter(|target| is_open(*target) && Some(hall_of(*target)) == home).collect();
        best(at_home).map_or(Outcome::Capped, Outcome::To)
    }
}

/// The policies of a text, in force in a scene.
fn govern(scene: &mut Scene, text: &str) {
    let sources = Sources::single("policies.toml", text);
    let document = PolicyDocument { revision: 1, id: "1".into(), by: "anna".into(), sources };
    Policies::try_from(&document).unwrap();
    scene.put("policies", std::str::from_utf8(&document.value()).unwrap());
}

fn decide(scene: &Scene, object: u64, tier: Option<&str>) -> Outcome {
    let route = route("r", "a", "/");
    let mut headers = HeaderMap::new();
    if let Some(tier) = tier {
        headers.insert("x-tier", tier.parse().unwrap());
    }
    let facts = RequestFacts {
        service: "shop",
        route: "r",
        region: "a",
        hall: "a-1",
        method: &Method::GET,
        uri: &Uri::from_static("/look/a"),
        headers: &headers,
    };
    let charge = CapCharge::default();
    let active =
        scene.routing.policies.as_ref().and_then(|policies| MatchedPolicies::find(policies, &facts, object, &charge));
    let query = Query {
        route: &route,
        service: "shop",
        affinity: object,
        region: "a",
        slow_start: None,
        active: active.as_ref(),
        tried: &[],
        now: scene.now,
    };
    match choose(&scene.routing, &scene.config, &query) {
        Ok(target) => Outcome::To(target.id[1..].parse().unwrap()),
        Err(NoTarget::Capped(_)) => Outcome::Capped,
        Err(NoTarget::NoneUsable) => Outcome::NoneUsable,
        Err(NoTarget::Full(_)) => unreachable!("nothing is under way"),
    }
}

/// The targets as place alone orders them for an object: asked one by one of
/// a scene without policies.
fn place(scene: &Scene, object: u64) -> Vec<usize> {
    let (mut tried, mut place) = (Vec::new(), Vec::new());
    while let Ok(target) = scene.choose(object, &tried) {
        tried.push(target.key);
        place.push(target.id[1..].parse().unwrap());
    }
    place
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 1_000, ..ProptestConfig::default() })]

    /// Whatever the policies, each request goes where the naive decider sends
    /// it, and is refused where that refuses it.
    #[test]
    fn the_choice_agrees_with_a_naive_one(spec in spec()) {
        let bare = Scene::new();
        let mut scene = Scene::new();
        for (number, leaving) in spec.leaving.iter().enumerate() {
            if *leaving {
                scene.put(&format!("t{number}"), &format!("{} 4 draining 2 0", hall_of(number)));
            }
        }
        govern(&mut scene, &spec.toml());
        let mut naive = Naive { spec: &spec, earned: vec![0; spec.policies.len()] };
        for (object, tier) in &spec.asks {
            let expected = naive.decide(&place(&bare, *object), *tier);
            prop_assert_eq!(decide(&scene, *object, *tier), expected, "object {}, {}", object, spec.toml());
        }
    }

    /// In any window of requests an instance moves at most `cap` of them and
    /// one more.
    #[test]
    fn no_window_exceeds_the_cap(cap in 0.0f64..=1.0, wants in prop::collection::vec(any::<bool>(), 1..400)) {
        let credit = Credit::default();
        let moved: Vec<bool> = wants.iter().map(|wants| {
            credit.earn(cap);
            *wants && credit.spend()
        }).collect();
        for from in 0..moved.len() {
            for to in from + 1..=moved.len() {
                let count = moved[from..to].iter().filter(|moved| **moved).count() as f64;
                prop_assert!(count <= cap * (to - from) as f64 + 1.0 + ROUNDING);
            }
        }
    }

    /// Credit is what a plain sum says, whatever is earned, spent and given
    /// back.
    #[test]
    fn credit_is_a_sum_that_never_exceeds_one(steps in prop::collection::vec((0u8..3, 0.0f64..=1.0), 1..200)) {
        let credit = Credit::default();
        let mut sum = 0i64;
        for (kind, cap) in steps {
            match kind {
                0 => {
                    credit.earn(cap);
                    sum = (sum + (cap * 1e6) as i64).min(1_000_000);
                }
                1 => {
                    prop_assert_eq!(credit.spend(), sum >= 1_000_000);
                    sum -= if sum >= 1_000_000 { 1_000_000 } else { 0 };
                }
                _ => {
                    credit.refund();
                    sum = (sum + 1_000_000).min(1_000_000);
                }
            }
        }
    }

    /// In any window of requests of the whole choice, what leaves the hall
    /// that place gives stays within the cap and one more.
    #[test]
    fn no_window_of_choices_exceeds_the_cap(
        cap in 0.0f64..=1.0,
        objects in prop::collection::vec(any::<u64>(), 1..120),
    ) {
        let mut scene = Scene::new();
        let home: Vec<String> = objects.iter().map(|object| scene.choose(*object, &[]).unwrap().hall.to_string()).collect();
        govern(&mut scene, &format!(
            "[[policy]]\nname = \"c\"\ncap = {cap:?}\n\
             [[policy]]\nname = \"d\"\nplaces = {{ region = \"a\" }}\ndrain = true\n"
        ));
        let moved: Vec<bool> = objects.iter().zip(&home).map(|(object, home)| {
            matches!(decide(&scene, *object, None), Outcome::To(target) if hall_of(target) != home)
        }).collect();
        for from in 0..moved.len() {
            for to in from + 1..=moved.len() {
                let count = moved[from..to].iter().filter(|moved| **moved).count() as f64;
                prop_assert!(count <= cap * (to - from) as f64 + 1.0 + ROUNDING);
            }
        }
    }

    /// A growing weight moves only new objects and keeps those it had.
    #[test]
    fn a_growing_weight_keeps_its_objects(object in any::<u64>(), small in 0.0f64..0.5, more in 0.0f64..0.5) {
        let is_moved = |share: f64| {
            let mut scene = Scene::new();
            let text = format!("[[policy]]\nname = \"w\"\nplaces = {{ hall = \"b-2\" }}\nweight = {share:?}\n");
            let before = decide(&scene, object, None);
            govern(&mut scene, &text);
            let after = decide(&scene, object, None);
            (after != before, matches!(after, Outcome::To(target) if hall_of(target) == "b-2"))
        };
        let ((moved, there), (moved_more, there_more)) = (is_moved(small), is_moved(small + more));
        prop_assert!(!there || there_more, "an object came back");
        prop_assert!(!moved || there, "an object moved elsewhere");
        prop_assert!(!moved_more || there_more, "an object moved elsewhere");
    }
}

/// A request that two caps bound pays both or none: what the one gave is not
/// lost where the other refuses.
#[test]
fn a_refused_move_costs_nothing_of_another_cap() {
    let mut scene = Scene::new();
    let object = (0..).find(|object| &*scene.choose(*object, &[]).unwrap().hall == "a-1").unwrap();
    govern(
        &mut scene,
        "[[service]]\nname = \"shop\"\nheaders = { tier = \"x-tier\" }\n\
         [[policy]]\nname = \"all\"\ncap = 0.5\n\
         [[policy]]\nname = \"none\"\nrequests = { tier = \"x\" }\ncap = 0.0\n\
         [[policy]]\nname = \"z\"\nplaces = { hall = \"a-1\" }\ndrain = true\n",
    );
    for _ in 0..4 {
        assert_eq!(decide(&scene, object, Some("x")), Outcome::Capped);
    }
    assert!(matches!(decide(&scene, object, None), Outcome::To(_)), "its credit was spent for a refused move");
}
