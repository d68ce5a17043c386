//! The operators' policies over an instance's choice of targets.

mod scene;

use hyper::{HeaderMap, Method, Uri};
use lockloft::decision::registry::target::Target;
use lockloft::decision::selection::choice::{NoTarget, Query, Verdict, choose, explain};
use lockloft::decision::selection::exclusion::Exclusion;
use lockloft::policy::Sources;
use lockloft::policy::{CapCharge, MatchedPolicies, Policies, PolicyDocument, PolicySet, RequestFacts};
use proptest::prelude::*;
use scene::{Scene, route};
use std::collections::{BTreeSet, HashMap};
use std::rc::Rc;

fn document(revision: u64, text: &str) -> PolicyDocument {
    let sources = Sources::single("policies.toml", text);
    PolicyDocument { revision, id: revision.to_string(), by: "anna".into(), sources }
}

/// A caller's request as its labels see it.
struct Asked {
    method: Method,
    uri: Uri,
    headers: HeaderMap,
}

impl Asked {
    fn plain() -> Self {
        Self { method: Method::GET, uri: Uri::from_static("/look/a"), headers: HeaderMap::new() }
    }

    fn with_header(name: &'static str, value: &'static str) -> Self {
        let mut asked = Self::plain();
        asked.headers.insert(name, value.parse().unwrap());
        asked
    }
}

fn govern(scene: &mut Scene, revision: u64, text: &str) {
    let document = document(revision, text);
    Policies::try_from(&document).unwrap();
    scene.put("policies", std::str::from_utf8(&document.to_json()).unwrap());
}

/// Chooses for an object, with the names of the policies that had a part.
fn governed(scene: &Scene, asked: &Asked, object: u64) -> (Result<Rc<Target>, NoTarget>, Vec<String>) {
    let (chosen, policies) = decide(scene, asked, object, &CapCharge::default(), choose);
    (chosen.map(|chosen| chosen.target), policies)
}

fn decide<T>(
    scene: &Scene,
    asked: &Asked,
    object: u64,
    trial: &CapCharge,
    with: impl Fn(&lockloft::decision::registry::routing::Routing, &lockloft::model::config::Config, &Query<'_>) -> T,
) -> (T, Vec<String>) {
    let route = route("r", "a", "/");
    let facts = RequestFacts {
        service: "shop",
        route: "r",
        region: "a",
        hall: "a-1",
        method: &asked.method,
        uri: &asked.uri,
        headers: &asked.headers,
    };
    let active =
        scene.routing.policies.as_ref().and_then(|policies| MatchedPolicies::find(policies, &facts, object, trial));
    let query = Query {
        route: &route,
        tenant: None,
        service: "shop",
        affinity: object,
        region: "a",
        slow_start: None,
        has_shared_loads: false,
        active: active.as_ref(),
        tried: &[],
        now: scene.now,
    };
    let decided = with(&scene.routing, &scene.config, &query);
    (decided, active.as_ref().map_or_else(Vec::new, MatchedPolicies::applied))
}

fn halls(scene: &Scene, asked: &Asked, objects: std::ops::Range<u64>) -> HashMap<String, u32> {
    let mut counts = HashMap::new();
    for object in objects {
        if let Ok(target) = governed(scene, asked, object).0 {
            *counts.entry(target.hall.to_string()).or_default() += 1;
        }
    }
    counts
}

#[test]
fn a_drained_place_gets_nothing_and_others_keep_their_objects() {
    let mut scene = Scene::new();
    let before: Vec<Rc<Target>> = (0..300).map(|object| scene.choose(object, &[]).unwrap()).collect();
    govern(&mut scene, 1, "[[policy]]\nname = \"d\"\nplaces = { hall = \"a-1\" }\ndrain = true\n");
    for (object, had) in before.iter().enumerate() {
        let (target, acted) = governed(&scene, &Asked::plain(), object as u64);
        let target = target.unwrap();
        assert_ne!(&*target.hall, "a-1");
        assert!(&*had.hall == "a-1" || had.id == target.id, "object {object} moved without need");
        assert_eq!(acted, ["d"]);
    }
}

#[test]
fn allowances_add_up_and_denials_go_before_them() {
    let mut scene = Scene::new();
    govern(
        &mut scene,
        1,
        "[[policy]]\nname = \"one\"\nplaces = { hall = \"a-1\" }\nallow = true\n\
         [[policy]]\nname = \"two\"\nplaces = { region = \"b\" }\nallow = true\n\
         [[policy]]\nname = \"not\"\nplaces = { target = \"t4\" }\ndeny = true\n",
    );
    let counts = halls(&scene, &Asked::plain(), 0..400);
    let used: BTreeSet<&str> = counts.keys().map(String::as_str).collect();
    assert_eq!(used, BTreeSet::from(["a-1", "b-1", "b-2"]));
    let to_t4 = (0..400).filter_map(|object| governed(&scene, &Asked::plain(), object).0.ok());
    assert!(to_t4.into_iter().all(|target| &*target.id != "t4"));
}

#[test]
fn a_preferred_place_goes_first_and_others_take_what_it_has_no_room_for() {
    let mut scene = Scene::new();
    govern(&mut scene, 1, "[[policy]]\nname = \"p\"\nplaces = { hall = \"b-2\" }\nprefer = 1\n");
    assert_eq!(halls(&scene, &Asked::plain(), 0..200), HashMap::from([("b-2".to_owned(), 200)]));
    let mut held = Vec::new();
    loop {
        let (target, acted) = governed(&scene, &Asked::plain(), 7);
        let target = target.unwrap();
        if &*target.hall != "b-2" {
            assert!(acted.is_empty());
            break;
        }
        assert_eq!(acted, ["p"]);
        held.push(target.begin(scene.now));
        assert!(held.len() <= 16, "two targets of four slots took more than twice their slots");
    }
}

#[test]
fn labels_of_places_targets_and_requests_are_selected_by() {
    let mut scene = Scene::new();
    govern(
        &mut scene,
        1,
        "[[hall]]\nname = \"a-1\"\nlabels = { tier = \"old\" }\n\
         [[target]]\nname = \"t1\"\nlabels = { tier = \"new\" }\n\
         [[service]]\nname = \"shop\"\nheaders = { agent = \"X-Agent\" }\nquery = { trial = \"trial\" }\n\
         [[policy]]\nname = \"old\"\nrequests = { agent = \"partner\" }\nplaces = { tier = \"old\" }\nallow = true\n\
         [[policy]]\nname = \"trial\"\nrequests = { trial = { exists = true } }\nplaces = { tier = \"new\" }\nallow = true\n",
    );
    let only = |asked: &Asked| -> BTreeSet<String> {
        (0..200).map(|object| governed(&scene, asked, object).0.unwrap().id.to_string()).collect()
    };
    assert_eq!(only(&Asked::with_header("x-agent", "partner")), BTreeSet::from(["t0".to_owned()]));
    let trial = Asked { uri: Uri::from_static("/look/a?trial=1"), ..Asked::plain() };
    assert_eq!(only(&trial), BTreeSet::from(["t1".to_owned()]));
    assert_eq!(only(&Asked::with_header("x-agent", "other")).len(), 8);
}

#[test]
fn a_later_revision_replaces_the_earlier_one_and_none_comes_back() {
    let mut scene = Scene::new();
    let drain = |hall: &str| format!("[[policy]]\nname = \"d\"\nplaces = {{ hall = \"{hall}\" }}\ndrain = true\n");
    govern(&mut scene, 4, &drain("a-1"));
    assert!(!halls(&scene, &Asked::plain(), 0..200).contains_key("a-1"));
    govern(&mut scene, 5, &drain("b-1"));
    govern(&mut scene, 4, &drain("a-1"));
    let counts = halls(&scene, &Asked::plain(), 0..200);
    assert!(counts.contains_key("a-1") && !counts.contains_key("b-1"), "{counts:?}");
    scene.put("policies", "no document");
    assert_eq!(scene.routing.policies.as_ref().unwrap().revision, 5);
}

#[test]
fn a_dry_decision_says_why_each_target_is_not_used() {
    let mut scene = Scene::new();
    scene.put("t7", "b-2 4 draining 2 0");
    govern(
        &mut scene,
        1,
        "[[policy]]\nname = \"d\"\nplaces = { hall = \"a-1\" }\ndrain = true\n\
         [[policy]]\nname = \"n\"\nplaces = { hall = \"b-1\" }\ndeny = true\n",
    );
    let (verdicts, _) = decide(&scene, &Asked::plain(), 7, &CapCharge::dry_run(), explain);
    let of = |id: &str| verdicts.iter().find(|(target, _)| &*target.id == id).unwrap().1;
    assert_eq!(verdicts.len(), 8);
    assert_eq!([of("t0"), of("t1")], [Verdict::Excluded(Exclusion::Drained); 2]);
    assert_eq!([of("t4"), of("t5")], [Verdict::Excluded(Exclusion::Denied); 2]);
    assert_eq!(of("t7"), Verdict::Excluded(Exclusion::Draining));
    let rest = [of("t2"), of("t3"), of("t6")];
    assert_eq!(rest.iter().filter(|verdict| **verdict == Verdict::Chosen).count(), 1);
    assert_eq!(rest.iter().filter(|verdict| **verdict == Verdict::Next).count(), 1);
    assert_eq!(rest.iter().filter(|verdict| **verdict == Verdict::NotPreferred).count(), 1);
}

#[test]
fn bad_policies_are_refused_whole_with_file_line_field_and_remedy() {
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
fn a_request_that_may_not_be_moved_goes_to_another_target_of_its_hall() {
    let mut scene = Scene::new();
    govern(&mut scene, 1, "[[policy]]\nname = \"c\"\ncap = 0.0\n");
    let natural = scene.choose(7, &[]).unwrap();
    for _ in 0..3 {
        natural.record_failure(scene.now, scene.now);
    }
    let (target, acted) = governed(&scene, &Asked::plain(), 7);
    let target = target.unwrap();
    assert_eq!(target.hall, natural.hall);
    assert_ne!(target.id, natural.id);
    assert_eq!(acted.len(), usize::from(scene.choose(7, &[]).unwrap().hall != natural.hall));
}

proptest! {
    /// A cap bounds what a drain may move, in any run of requests.
    #[test]
    fn what_is_moved_stays_within_the_cap(
        cap in 0.0f64..1.0,
        objects in prop::collection::vec(any::<u64>(), 1..300),
    ) {
        let mut scene = Scene::new();
        let natural: Vec<Rc<Target>> = objects.iter().map(|object| scene.choose(*object, &[]).unwrap()).collect();
        govern(
            &mut scene,
            1,
            &format!(
                "[[policy]]\nname = \"c\"\ncap = {cap:?}\n\
                 [[policy]]\nname = \"d\"\nplaces = {{ hall = [\"a-1\", \"b-1\"] }}\ndrain = true\n"
            ),
        );
        let (mut asked, mut moved) = (0u32, 0u32);
        for (object, natural) in objects.iter().zip(&natural) {
            asked += 1;
            let (target, acted) = governed(&scene, &Asked::plain(), *object);
            match target {
                Ok(target) if target.hall != natural.hall => moved += 1,
                Ok(target) => prop_assert_eq!(&target.id, &natural.id),
                Err(refusal) => {
                    prop_assert!(matches!(refusal, NoTarget::Capped(_)));
                    prop_assert!(acted.contains(&"c".to_owned()));
                }
            }
            prop_assert!(f64::from(moved) <= cap * f64::from(asked) + 1e-3, "{} of {}", moved, asked);
        }
    }

    /// A weight sends its share to its places, and the same objects whenever
    /// they come.
    #[test]
    fn a_weight_sends_its_share_to_its_places(share in 0.0f64..1.0) {
        let mut scene = Scene::new();
        govern(
            &mut scene,
            1,
            &format!("[[policy]]\nname = \"w\"\nplaces = {{ hall = \"b-2\" }}\nweight = {share:?}\n"),
        );
        let by_weight =
            (0..2_000u64).filter(|object| governed(&scene, &Asked::plain(), *object).1 == ["w"]).count();
        prop_assert!((by_weight as f64 / 2_000.0 - share).abs() < 0.05, "{} for {}", by_weight, share);
        for object in 0..50 {
            let (first, again) = (governed(&scene, &Asked::plain(), object), governed(&scene, &Asked::plain(), object));
            prop_assert_eq!(&first.0.unwrap().id, &again.0.unwrap().id);
        }
    }

    /// Sets of policies against ordinary sets.
    #[test]
    fn a_policy_mask_is_a_set(
        one in prop::collection::btree_set(0usize..128, 0..40),
        other in prop::collection::btree_set(0usize..128, 0..40),
    ) {
        let mask = |set: &BTreeSet<usize>| {
            let mut mask = PolicySet::default();
            set.iter().for_each(|position| mask.insert(*position));
            mask
        };
        let positions = |mask: PolicySet| mask.positions().collect::<Vec<_>>();
        prop_assert_eq!(positions(mask(&one)), one.iter().copied().collect::<Vec<_>>());
        let both: Vec<usize> = one.intersection(&other).copied().collect();
        prop_assert_eq!(positions(mask(&one).intersection(mask(&other))), both);
        let either: Vec<usize> = one.union(&other).copied().collect();
        prop_assert_eq!(positions(mask(&one).union(mask(&other))), either);
        prop_assert_eq!(mask(&one).is_empty(), one.is_empty());
        prop_assert!((0..128).all(|position| mask(&one).contains(position) == one.contains(&position)));
    }
}
