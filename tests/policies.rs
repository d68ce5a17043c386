//! The effect of the operators' policies on an instance's choice of targets.

mod scene;

use hyper::{HeaderMap, Method, Uri};
use lockloft::decision::registry::target::Target;
use lockloft::decision::selection::choice::{NoTarget, Query, Verdict, choose, explain};
use lockloft::decision::selection::exclusion::Exclusion;
use lockloft::policy::Sources;
use lockloft::policy::{CapCharge, MatchedPolicies, Policies, PolicyDocument, PolicySet, RequestAttributes};
use proptest::prelude::*;
use scene::{Scene, route};
use std::collections::{BTreeSet, HashMap};
use std::rc::Rc;

fn document(revision: u64, text: &str) -> PolicyDocument {
    let sources = Sources::single("policies.toml", text);
    PolicyDocument { revision, id: revision.to_string(), by: "anna".into(), sources }
}

/// The parts of a caller's request that its labels are read from.
struct RequestParts {
    method: Method,
    uri: Uri,
    headers: HeaderMap,
}

impl RequestParts {
    fn plain() -> Self {
        Self { method: Method::GET, uri: Uri::from_static("/look/a"), headers: HeaderMap::new() }
    }

    fn with_header(name: &'static str, value: &'static str) -> Self {
        let mut request = Self::plain();
        request.headers.insert(name, value.parse().unwrap());
        request
    }
}

fn apply_policies(scene: &mut Scene, revision: u64, text: &str) {
    let document = document(revision, text);
    Policies::try_from(&document).unwrap();
    scene.put("policies", std::str::from_utf8(&document.to_json()).unwrap());
}

/// The target chosen for a request with this affinity hash, and the names of the policies that
/// affected the choice.
fn choose_with_policies(
    scene: &Scene,
    request: &RequestParts,
    affinity: u64,
) -> (Result<Rc<Target>, NoTarget>, Vec<String>) {
    let (chosen, policies) = decide(scene, request, affinity, &CapCharge::default(), choose);
    (chosen.map(|chosen| chosen.target), policies)
}

/// The result of `run` (`choose` or `explain`) for a request with this affinity hash, and the names of
/// the policies that affected it.
fn decide<T>(
    scene: &Scene,
    request: &RequestParts,
    affinity: u64,
    charge: &CapCharge,
    run: impl Fn(&lockloft::decision::registry::routing::Routing, &lockloft::model::config::Config, &Query<'_>) -> T,
) -> (T, Vec<String>) {
    let route = route("r", "a", "/");
    let attributes = RequestAttributes {
        service: "shop",
        route: "r",
        region: "a",
        hall: "a-1",
        method: &request.method,
        uri: &request.uri,
        headers: &request.headers,
    };
    let matched_policies = scene
        .routing
        .policies
        .as_ref()
        .and_then(|policies| MatchedPolicies::find(policies, &attributes, affinity, charge));
    let query = Query {
        route: &route,
        tenant: None,
        service: "shop",
        affinity,
        region: "a",
        slow_start: None,
        has_shared_loads: false,
        matched_policies: matched_policies.as_ref(),
        tried: &[],
        now: scene.now,
    };
    let decided = run(&scene.routing, &scene.config, &query);
    (decided, matched_policies.as_ref().map_or_else(Vec::new, MatchedPolicies::applied))
}

fn requests_by_hall(scene: &Scene, request: &RequestParts, affinities: std::ops::Range<u64>) -> HashMap<String, u32> {
    let mut counts = HashMap::new();
    for affinity in affinities {
        if let Ok(target) = choose_with_policies(scene, request, affinity).0 {
            *counts.entry(target.hall.to_string()).or_default() += 1;
        }
    }
    counts
}

#[test]
fn a_drained_hall_gets_no_requests_and_the_others_keep_theirs() {
    let mut scene = Scene::new();
    let before: Vec<Rc<Target>> = (0..300).map(|affinity| scene.choose(affinity, &[]).unwrap()).collect();
    apply_policies(&mut scene, 1, "[[policy]]\nname = \"d\"\nplaces = { hall = \"a-1\" }\ndrain = true\n");
    for (affinity, earlier) in before.iter().enumerate() {
        let (target, applied) = choose_with_policies(&scene, &RequestParts::plain(), affinity as u64);
        let target = target.unwrap();
        assert_ne!(&*target.hall, "a-1");
        assert!(
            &*earlier.hall == "a-1" || earlier.id == target.id,
            "the request with affinity hash {affinity} moved, but its hall is not drained"
        );
        assert_eq!(applied, ["d"]);
    }
}

#[test]
fn allow_policies_add_up_and_deny_policies_override_them() {
    let mut scene = Scene::new();
    apply_policies(
        &mut scene,
        1,
        "[[policy]]\nname = \"one\"\nplaces = { hall = \"a-1\" }\nallow = true\n\
         [[policy]]\nname = \"two\"\nplaces = { region = \"b\" }\nallow = true\n\
         [[policy]]\nname = \"not\"\nplaces = { target = \"t4\" }\ndeny = true\n",
    );
    let counts = requests_by_hall(&scene, &RequestParts::plain(), 0..400);
    let used_halls: BTreeSet<&str> = counts.keys().map(String::as_str).collect();
    assert_eq!(used_halls, BTreeSet::from(["a-1", "b-1", "b-2"]));
    let chosen = (0..400).filter_map(|affinity| choose_with_policies(&scene, &RequestParts::plain(), affinity).0.ok());
    assert!(chosen.into_iter().all(|target| &*target.id != "t4"));
}

#[test]
fn a_preferred_hall_is_used_first_and_others_get_requests_when_it_is_full() {
    let mut scene = Scene::new();
    apply_policies(&mut scene, 1, "[[policy]]\nname = \"p\"\nplaces = { hall = \"b-2\" }\nprefer = 1\n");
    assert_eq!(requests_by_hall(&scene, &RequestParts::plain(), 0..200), HashMap::from([("b-2".to_owned(), 200)]));
    let mut in_flight = Vec::new();
    loop {
        let (target, applied) = choose_with_policies(&scene, &RequestParts::plain(), 7);
        let target = target.unwrap();
        if &*target.hall != "b-2" {
            assert!(applied.is_empty());
            break;
        }
        assert_eq!(applied, ["p"]);
        in_flight.push(target.begin_request(scene.now));
        assert!(in_flight.len() <= 16, "the hall took more than twice the slots of its two targets");
    }
}

#[test]
fn selectors_match_labels_of_halls_targets_and_requests() {
    let mut scene = Scene::new();
    apply_policies(
        &mut scene,
        1,
        "[[hall]]\nname = \"a-1\"\nlabels = { tier = \"old\" }\n\
         [[target]]\nname = \"t1\"\nlabels = { tier = \"new\" }\n\
         [[service]]\nname = \"shop\"\nheaders = { agent = \"X-Agent\" }\nquery = { trial = \"trial\" }\n\
         [[policy]]\nname = \"old\"\nrequests = { agent = \"partner\" }\nplaces = { tier = \"old\" }\nallow = true\n\
         [[policy]]\nname = \"trial\"\nrequests = { trial = { exists = true } }\nplaces = { tier = \"new\" }\nallow = true\n",
    );
    let only = |request: &RequestParts| -> BTreeSet<String> {
        (0..200).map(|affinity| choose_with_policies(&scene, request, affinity).0.unwrap().id.to_string()).collect()
    };
    assert_eq!(only(&RequestParts::with_header("x-agent", "partner")), BTreeSet::from(["t0".to_owned()]));
    let trial = RequestParts { uri: Uri::from_static("/look/a?trial=1"), ..RequestParts::plain() };
    assert_eq!(only(&trial), BTreeSet::from(["t1".to_owned()]));
    assert_eq!(only(&RequestParts::with_header("x-agent", "other")).len(), 8);
}

#[test]
fn a_later_revision_replaces_an_earlier_one_and_never_the_reverse() {
    let mut scene = Scene::new();
    let drain = |hall: &str| format!("[[policy]]\nname = \"d\"\nplaces = {{ hall = \"{hall}\" }}\ndrain = true\n");
    apply_policies(&mut scene, 4, &drain("a-1"));
    assert!(!requests_by_hall(&scene, &RequestParts::plain(), 0..200).contains_key("a-1"));
    apply_policies(&mut scene, 5, &drain("b-1"));
    apply_policies(&mut scene, 4, &drain("a-1"));
    let counts = requests_by_hall(&scene, &RequestParts::plain(), 0..200);
    assert!(counts.contains_key("a-1") && !counts.contains_key("b-1"), "{counts:?}");
    scene.put("policies", "no document");
    assert_eq!(scene.routing.policies.as_ref().unwrap().revision, 5);
}

#[test]
fn a_dry_run_explains_why_each_target_is_not_used() {
    let mut scene = Scene::new();
    scene.put("t7", "b-2 4 draining 2 0");
    apply_policies(
        &mut scene,
        1,
        "[[policy]]\nname = \"d\"\nplaces = { hall = \"a-1\" }\ndrain = true\n\
         [[policy]]\nname = \"n\"\nplaces = { hall = \"b-1\" }\ndeny = true\n",
    );
    let (verdicts, _) = decide(&scene, &RequestParts::plain(), 7, &CapCharge::dry_run(), explain);
    let verdict_on = |id: &str| verdicts.iter().find(|(target, _)| &*target.id == id).unwrap().1;
    assert_eq!(verdicts.len(), 8);
    assert_eq!([verdict_on("t0"), verdict_on("t1")], [Verdict::Excluded(Exclusion::Drained); 2]);
    assert_eq!([verdict_on("t4"), verdict_on("t5")], [Verdict::Excluded(Exclusion::Denied); 2]);
    assert_eq!(verdict_on("t7"), Verdict::Excluded(Exclusion::Draining));
    let rest = [verdict_on("t2"), verdict_on("t3"), verdict_on("t6")];
    assert_eq!(rest.iter().filter(|verdict| **verdict == Verdict::Chosen).count(), 1);
    assert_eq!(rest.iter().filter(|verdict| **verdict == Verdict::Next).count(), 1);
    assert_eq!(rest.iter().filter(|verdict| **verdict == Verdict::NotPreferred).count(), 1);
}

#[test]
fn invalid_policies_are_rejected_as_a_whole_with_file_line_field_and_remedy() {
    let cases = [
        ("[[policy]]\nname = \"a\"\nplaces = {}\n", "policy \"a\""),
        ("[[policy]]\nname = \"a\"\ndrain = true\n", "policy \"a\".places"),
        ("[[policy]]\nname = \"a\"\nplaces = {}\nweight = 2.0\n", "policy \"a\".weight"),
        ("[[policy]]\nname = \"a\"\ncap = -1.0\n", "policy \"a\".cap"),
        ("[[policy]]\nname = \"a\"\nplaces = {}\nlimit = { flight = 3 }\n", "policy \"a\".limit"),
        ("[[policy]]\nname = \"a\"\npriority = 3\n", "policy \"a\".priority"),
        ("[[hall]]\nname = \"h\"\nlabels = { region = \"x\" }\n", "hall \"h\".labels"),
        ("[[service]]\nname = \"s\"\nheaders = { route = \"x\" }\n", "service \"s\".headers"),
        ("[[link]]\nname = \"l\"\n", "unknown field"),
        ("[[hall]]\nname = \"h\"\nlabels = {}\n[[hall]]\nname = \"h\"\nlabels = {}\n", "hall \"h\""),
    ];
    for (text, field) in cases {
        let error = Policies::check(1, &Sources::single("p.toml", text)).unwrap_err().to_string();
        assert!(error.starts_with("p.toml:") && error.contains(field), "{error}");
        assert!(error.contains("remedy"), "{error}");
    }
}

#[test]
fn a_request_that_may_not_be_moved_is_sent_to_another_target_of_its_hall() {
    let mut scene = Scene::new();
    apply_policies(&mut scene, 1, "[[policy]]\nname = \"c\"\ncap = 0.0\n");
    let default_target = scene.choose(7, &[]).unwrap();
    for _ in 0..3 {
        default_target.record_failure(scene.now, scene.now);
    }
    let (target, applied) = choose_with_policies(&scene, &RequestParts::plain(), 7);
    let target = target.unwrap();
    assert_eq!(target.hall, default_target.hall);
    assert_ne!(target.id, default_target.id);
    assert_eq!(applied.len(), usize::from(scene.choose(7, &[]).unwrap().hall != default_target.hall));
}

proptest! {
    /// A cap limits how many requests a drain moves, in any sequence of requests.
    #[test]
    fn moved_requests_stay_within_the_cap(
        cap in 0.0f64..1.0,
        affinities in prop::collection::vec(any::<u64>(), 1..300),
    ) {
        let mut scene = Scene::new();
        let default_targets: Vec<Rc<Target>> =
            affinities.iter().map(|affinity| scene.choose(*affinity, &[]).unwrap()).collect();
        apply_policies(
            &mut scene,
            1,
            &format!(
                "[[policy]]\nname = \"c\"\ncap = {cap:?}\n\
                 [[policy]]\nname = \"d\"\nplaces = {{ hall = [\"a-1\", \"b-1\"] }}\ndrain = true\n"
            ),
        );
        let (mut requests, mut moved) = (0u32, 0u32);
        for (affinity, default_target) in affinities.iter().zip(&default_targets) {
            requests += 1;
            let (target, applied) = choose_with_policies(&scene, &RequestParts::plain(), *affinity);
            match target {
                Ok(target) if target.hall != default_target.hall => moved += 1,
                Ok(target) => prop_assert_eq!(&target.id, &default_target.id),
                Err(refusal) => {
                    prop_assert!(matches!(refusal, NoTarget::Capped(_)));
                    prop_assert!(applied.contains(&"c".to_owned()));
                }
            }
            prop_assert!(f64::from(moved) <= cap * f64::from(requests) + 1e-3, "{} of {}", moved, requests);
        }
    }

    /// A weight sends its share of the requests to its targets, and each affinity hash always to
    /// the same target.
    #[test]
    fn a_weight_sends_its_share_to_its_targets(share in 0.0f64..1.0) {
        let mut scene = Scene::new();
        apply_policies(
            &mut scene,
            1,
            &format!("[[policy]]\nname = \"w\"\nplaces = {{ hall = \"b-2\" }}\nweight = {share:?}\n"),
        );
        let by_weight =
            (0..2_000u64)
                .filter(|affinity| choose_with_policies(&scene, &RequestParts::plain(), *affinity).1 == ["w"])
                .count();
        prop_assert!((by_weight as f64 / 2_000.0 - share).abs() < 0.05, "{} for {}", by_weight, share);
        for affinity in 0..50 {
            let (first, again) = (
                choose_with_policies(&scene, &RequestParts::plain(), affinity),
                choose_with_policies(&scene, &RequestParts::plain(), affinity),
            );
            prop_assert_eq!(&first.0.unwrap().id, &again.0.unwrap().id);
        }
    }

    #[test]
    fn a_policy_set_behaves_like_an_ordinary_set(
        one in prop::collection::btree_set(0usize..128, 0..40),
        other in prop::collection::btree_set(0usize..128, 0..40),
    ) {
        let policy_set = |set: &BTreeSet<usize>| {
            let mut policies = PolicySet::default();
            set.iter().for_each(|position| policies.insert(*position));
            policies
        };
        let positions = |set: PolicySet| set.positions().collect::<Vec<_>>();
        prop_assert_eq!(positions(policy_set(&one)), one.iter().copied().collect::<Vec<_>>());
        let both: Vec<usize> = one.intersection(&other).copied().collect();
        prop_assert_eq!(positions(policy_set(&one).intersection(policy_set(&other))), both);
        let either: Vec<usize> = one.union(&other).copied().collect();
        prop_assert_eq!(positions(policy_set(&one).union(policy_set(&other))), either);
        prop_assert_eq!(policy_set(&one).is_empty(), one.is_empty());
        prop_assert!((0..128).all(|position| policy_set(&one).contains(position) == one.contains(&position)));
    }
}
