//! The pure parts of an entry instance against naive versions.

use bytes::Bytes;
use lockloft::entry::catalog::{CallerLimits, Catalog, Part, Repeat, Route, Service};
use lockloft::entry::choice::{NoTarget, Query, Warming, choose};
use lockloft::entry::cold::{ColdBounds, own_rate};
use lockloft::entry::member::Member;
use lockloft::entry::platform::{Event, Fact, Item, Listing, Platform, TargetEntry, TargetState};
use lockloft::entry::retry::RetryBudget;
use lockloft::entry::split::Splits;
use lockloft::entry::target::{LoadReport, Target};
use lockloft::entry::view::StoreView;
use lockloft::entry::world::World;
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

fn route(name: &str, host: &str, prefix: &str) -> Route {
    Route {
        name: name.into(),
        host: host.to_owned(),
        prefix: prefix.to_owned(),
        repeat: Repeat::Safe,
        parts: vec![Part { service: "shop".into(), weight: 1.0 }],
        timeout: None,
        objective: Duration::from_millis(300),
        priority: 1,
        max_attempts: 2,
        affinity: true,
        allowed_regions: Vec::new(),
    }
}

fn catalog(routes: Vec<Route>) -> Catalog {
    Catalog::new(1, routes, HashMap::new(), CallerLimits::default())
}

/// A catalog whose service bears `rate` requests a second while cold.
fn catalog_with_rate(rate: f64) -> Catalog {
    let service = Service {
        max_connections: 100,
        warmup: Duration::from_secs(3),
        warmup_rate: rate,
        health_path: "/health".to_owned(),
    };
    Catalog::new(1, Vec::new(), HashMap::from([("shop".into(), service)]), CallerLimits::default())
}

// The view of the store against a plain replay.

#[derive(Clone, Debug)]
enum Change {
    Put(u8),
    Remove(u8),
}

fn change() -> impl Strategy<Value = Change> {
    prop_oneof![3 => (0u8..6).prop_map(Change::Put), 1 => (0u8..6).prop_map(Change::Remove)]
}

/// The history of a store: after each revision, its events and its items.
struct History {
    events: Vec<Event>,
    states: Vec<BTreeMap<String, Item>>,
}

fn replay(changes: &[Change]) -> History {
    let mut items: BTreeMap<String, Item> = BTreeMap::new();
    let mut history = History { events: Vec::new(), states: vec![BTreeMap::new()] };
    for change in changes {
        let revision = history.states.len() as u64;
        match change {
            Change::Put(key) => {
                let key = format!("k{key}");
                let item = Item { key: key.clone(), value: Bytes::from(revision.to_string()), revision };
                items.insert(key, item.clone());
                history.events.push(Event::Put(item));
            }
            Change::Remove(key) => {
                let key = format!("k{key}");
                items.remove(&key);
                history.events.push(Event::Gone { key, revision });
            }
        }
        history.states.push(items.clone());
    }
    history
}

fn items(view: &StoreView) -> BTreeMap<String, Item> {
    view.items().map(|item| (item.key.clone(), item.clone())).collect()
}

proptest! {
    /// Watches, lists, late lists and peers in any order: the view is always
    /// exactly the store at some revision, and never goes back.
    #[test]
    fn the_view_is_the_store_at_a_revision_and_never_goes_back(
        changes in prop::collection::vec(change(), 1..40),
        steps in prop::collection::vec((0u8..4, 0.0f64..1.0), 1..30),
    ) {
        let history = replay(&changes);
        let last = changes.len() as u64;
        let (mut view, mut peer) = (StoreView::default(), StoreView::default());
        for (kind, part) in steps {
            let before = view.at();
            let some = (part * (last + 1) as f64) as u64;
            let listing = |at: u64| Listing { items: history.states[at as usize].values().cloned().collect(), at };
            let events = |after: u64, to: u64| history.events[after as usize..to.max(after) as usize].to_vec();
            match kind {
                0 => { view.replace(listing(some)); }
                1 => { let to = some.max(before); view.apply(events(before, to), to); }
                2 => { peer.replace(listing(some)); }
                _ => {
                    let told: Option<Vec<Event>> = peer.changes_after(before).map(|told| told.cloned().collect());
                    match told {
                        Some(told) => { view.apply(told, peer.at()); }
                        None => { view.replace(Listing { items: peer.items().cloned().collect(), at: peer.at() }); }
                    }
                }
            }
            prop_assert!(view.at() >= before);
            prop_assert_eq!(&items(&view), &history.states[view.at() as usize]);
        }
    }

    /// The longest prefix of the host wins, as in a search of all routes.
    #[test]
    fn a_route_is_found_as_a_naive_search_finds_it(
        prefixes in prop::collection::btree_set(("[ab]", "(/[xy]){0,3}/"), 1..12),
        host in "[abc]",
        path in "(/[xyz]){0,4}/?",
    ) {
        let routes: Vec<Route> =
            prefixes.iter().enumerate().map(|(n, (host, prefix))| route(&n.to_string(), host, prefix)).collect();
        let naive = routes
            .iter()
            .filter(|route| route.host == host && path.starts_with(&route.prefix))
            .max_by_key(|route| route.prefix.len())
            .map(|route| route.name.clone());
        let catalog = catalog(routes);
        let found = catalog.find(&format!("{}:80", host.to_uppercase()), &path);
        prop_assert_eq!(found.map(|key| catalog.route(key).name.clone()), naive);
    }

    /// Whatever objects come, the counted shares of a split stay near its
    /// weights.
    #[test]
    fn a_split_keeps_its_shares_whatever_objects_come(
        weight in 0.05f64..0.95,
        objects in prop::collection::vec(0.0f64..1.0, 8..60),
    ) {
        let mut split = route("split", "a", "/");
        split.parts = vec![
            Part { service: "one".into(), weight },
            Part { service: "two".into(), weight: 1.0 - weight },
        ];
        let mut splits = Splits::default();
        let mut ones = 0;
        for number in 0..2_000 {
            let part = splits.pick(&split, objects[number * 7 % objects.len()]);
            ones += usize::from(&*part.service == "one");
        }
        let share = ones as f64 / 2_000.0;
        prop_assert!((share - weight).abs() < 0.2, "{} of {}", share, weight);
    }

    /// Second tries never exceed the ratio and what was saved.
    #[test]
    fn second_tries_stay_within_ratio_and_savings(asks in prop::collection::vec(any::<bool>(), 1..500)) {
        let mut budget = RetryBudget::new(0.1, 5.0);
        let (mut requests, mut tries) = (0u32, 0u32);
        for wants in asks {
            budget.earn();
            requests += 1;
            if wants && budget.spend() {
                tries += 1;
            }
            prop_assert!(f64::from(tries) <= 0.1 * f64::from(requests) + 1e-6);
        }
    }
}

fn member_names(numbers: &BTreeSet<u8>) -> Vec<String> {
    numbers.iter().map(|number| format!("e-{number}")).collect()
}

/// What all members of a view send a cold target in a second.
fn rate_of_view(shared: u32, target: u64, view: &[String]) -> u32 {
    view.iter().map(|own| own_rate(shared, target, own, view.iter().map(String::as_str))).sum()
}

proptest! {
    /// Entries that see two different member lists keep the bound together,
    /// whatever the lists have in common; entries that see the same one use
    /// the rate well.
    #[test]
    fn a_cold_target_s_rate_holds_over_disagreeing_views(
        rate in 0.0f64..60.0,
        overage in 1.0f64..2.0,
        slack in 0.0f64..10.0,
        target in any::<u64>(),
        one in prop::collection::btree_set(any::<u8>(), 1..100),
        other in prop::collection::btree_set(any::<u8>(), 1..100),
    ) {
        let bounds = ColdBounds { overage, slack };
        let shared = bounds.shared_rate(rate);
        let (one, other) = (member_names(&one), member_names(&other));
        let (first, second) = (rate_of_view(shared, target, &one), rate_of_view(shared, target, &other));
        prop_assert!(f64::from(first + second) <= rate * overage + slack);
        prop_assert!(f64::from(first) <= rate);
        prop_assert!(first >= shared / 2, "{} of {} are used", first, shared);
        prop_assert_eq!(own_rate(shared, target, "not listed", one.iter().map(String::as_str)), 0);
    }
}

#[test]
fn a_part_with_no_weight_gets_nothing() {
    let mut split = route("split", "a", "/");
    split.parts = vec![Part { service: "none".into(), weight: 0.0 }, Part { service: "all".into(), weight: 5.0 }];
    let mut splits = Splits::default();
    for number in 0..1_000 {
        assert_eq!(&*splits.pick(&split, f64::from(number) / 1_000.0).service, "all");
    }
}

// The choice of targets.

struct Plain;

impl Platform for Plain {
    type Store = NoStore;
    fn headers() -> lockloft::entry::platform::HeaderNames {
        unimplemented!("no test here sends requests")
    }
    fn ready_path() -> &'static str {
        ""
    }
    fn own_prefix() -> &'static str {
        ""
    }
    fn read(item: &Item) -> Result<Fact, lockloft::entry::platform::TranslateError> {
        let text = String::from_utf8_lossy(&item.value).into_owned();
        if Member::read(&item.value).is_some() {
            return Ok(Fact::Own(item.key.clone()));
        }
        if let Some(rate) = text.strip_prefix("catalog ") {
            return Ok(Fact::Catalog(catalog_with_rate(rate.parse().unwrap())));
        }
        let words: Vec<&str> = text.split(' ').collect();
        Ok(match words.as_slice() {
            ["evacuated", hall] => Fact::Evacuation((*hall).into()),
            [hall, slots, state, sequence, cold_ms] => Fact::Target(TargetEntry {
                id: item.key.as_str().into(),
                service: "shop".into(),
                address: "127.0.0.1:1".parse().unwrap(),
                hall: (*hall).into(),
                slots: slots.parse().unwrap(),
                state: if *state == "ready" { TargetState::Ready } else { TargetState::Draining },
                sequence: sequence.parse().unwrap(),
                cold: Duration::from_millis(cold_ms.parse().unwrap()),
            }),
            _ => Fact::Unknown,
        })
    }
    fn read_gone(key: &str) -> lockloft::entry::platform::Removal {
        lockloft::entry::platform::Removal::Target(key.to_owned())
    }
    fn directory_question(_: &str, _: &str) -> Option<lockloft::entry::platform::CallerPlace> {
        None
    }
    fn directory_answer(_: &[std::net::SocketAddr], _: Duration) -> Bytes {
        Bytes::new()
    }
}

struct NoStore;

impl lockloft::entry::platform::Store for NoStore {
    async fn list(&self, _: &str) -> Result<Listing, lockloft::entry::platform::StoreError> {
        unimplemented!("no test here asks the store")
    }
    async fn watch(
        &self,
        _: &str,
        _: u64,
        _: Duration,
    ) -> Result<lockloft::entry::platform::Watched, lockloft::entry::platform::StoreError> {
        unimplemented!("no test here asks the store")
    }
    async fn grant(
        &self,
        _: Duration,
    ) -> Result<lockloft::entry::platform::LeaseId, lockloft::entry::platform::StoreError> {
        unimplemented!("no test here asks the store")
    }
    async fn renew(&self, _: lockloft::entry::platform::LeaseId) -> Result<(), lockloft::entry::platform::StoreError> {
        unimplemented!("no test here asks the store")
    }
    async fn end(&self, _: lockloft::entry::platform::LeaseId) -> Result<(), lockloft::entry::platform::StoreError> {
        unimplemented!("no test here asks the store")
    }
    async fn put(
        &self,
        _: &str,
        _: Bytes,
        _: lockloft::entry::platform::LeaseId,
    ) -> Result<(), lockloft::entry::platform::StoreError> {
        unimplemented!("no test here asks the store")
    }
}

struct Scene {
    world: World,
    catalog: Catalog,
    revision: u64,
    now: Instant,
}

impl Scene {
    /// Targets `t0` to `t7` of four slots each, two a hall; halls `a-1`, `a-2`
    /// in region `a`, `b-1`, `b-2` in region `b`.
    fn new() -> Self {
        let regions = [("a-1", "a"), ("a-2", "a"), ("b-1", "b"), ("b-2", "b")];
        let world = World::new(regions.iter().map(|(hall, region)| ((*hall).into(), (*region).into())).collect());
        let mut scene = Self { world, catalog: catalog(Vec::new()), revision: 0, now: Instant::now() };
        for number in 0..8 {
            let hall = regions[number / 2].0;
            scene.put(&format!("t{number}"), &format!("{hall} 4 ready 1 0"));
        }
        scene
    }

    fn put(&mut self, key: &str, value: &str) {
        self.revision += 1;
        let item = Item { key: key.to_owned(), value: Bytes::from(value.to_owned()), revision: self.revision };
        self.world.apply::<Plain>(&[Event::Put(item)], self.now);
    }

    fn choose(&self, object: u64, tried: &[Rc<str>]) -> Result<Rc<Target>, NoTarget> {
        self.choose_on(&route("r", "a", "/"), object, tried)
    }

    fn choose_on(&self, route: &Route, object: u64, tried: &[Rc<str>]) -> Result<Rc<Target>, NoTarget> {
        let query = Query { route, service: "shop", object, region: "a", warming: None, tried, now: self.now };
        choose(&self.world, &self.catalog, &query)
    }
}

#[test]
fn objects_move_only_from_the_target_that_left() {
    let mut scene = Scene::new();
    let before: Vec<Rc<str>> = (0..500).map(|object| scene.choose(object, &[]).unwrap().id.clone()).collect();
    scene.put("t0", "a-1 4 draining 2 0");
    for (object, had) in before.iter().enumerate() {
        let has = scene.choose(object as u64, &[]).unwrap().id.clone();
        assert!(&**had == "t0" || has == *had, "object {object} moved from {had} to {has}");
        assert_ne!(&*has, "t0");
    }
}

#[test]
fn most_objects_live_in_the_own_region_and_all_targets_have_some() {
    let scene = Scene::new();
    let mut counts: HashMap<Rc<str>, u32> = HashMap::new();
    for object in 0..4_000 {
        *counts.entry(scene.choose(object, &[]).unwrap().id.clone()).or_default() += 1;
    }
    assert_eq!(counts.len(), 8);
    let own: u32 = (0..4).map(|number| counts[format!("t{number}").as_str()]).sum();
    assert!((3_000..3_400).contains(&own), "{own} of 4000 with a weight of 4 to 1");
}

#[test]
fn a_full_target_gives_way_to_the_object_s_second_and_then_to_a_refusal() {
    let scene = Scene::new();
    let first = scene.choose(7, &[]).unwrap();
    let mut held = Vec::new();
    while scene.choose(7, &[]).unwrap().id == first.id {
        held.push(first.enter(scene.now));
        assert!(held.len() <= 8, "more than twice the slots were sent");
    }
    assert_eq!(held.len(), 8);
    let second = scene.choose(7, &[]).unwrap();
    held.extend((0..8).map(|_| second.enter(scene.now)));
    assert!(matches!(scene.choose(7, &[]).unwrap_err(), NoTarget::Full(preferred) if preferred.id == first.id));
    drop(held);
    assert_eq!(scene.choose(7, &[]).unwrap().id, first.id);
}

#[test]
fn a_reported_load_counts_and_fades() {
    let mut scene = Scene::new();
    let first = scene.choose(7, &[]).unwrap();
    first.report(LoadReport { running: 4, waiting: 6, slots: 4 }, scene.now);
    assert_ne!(scene.choose(7, &[]).unwrap().id, first.id);
    scene.now += Duration::from_secs(2);
    assert_eq!(scene.choose(7, &[]).unwrap().id, first.id);
}

#[test]
fn less_urgent_requests_are_refused_before_more_urgent_ones() {
    let mut scene = Scene::new();
    let (mut urgent, mut patient) = (route("urgent", "a", "/u/"), route("patient", "a", "/p/"));
    urgent.priority = 1;
    patient.priority = 2;
    scene.catalog = catalog(vec![urgent.clone(), patient.clone()]);
    let mut held = Vec::new();
    while let Ok(target) = scene.choose_on(&patient, 7, &[]) {
        held.push(target.enter(scene.now));
    }
    assert!(scene.choose_on(&urgent, 7, &[]).is_ok());
}

#[test]
fn cold_evacuated_forbidden_and_tried_targets_are_left_alone() {
    let mut scene = Scene::new();
    for number in 0..6 {
        let hall = ["a-1", "a-2", "b-1"][number / 2];
        scene.put(&format!("t{number}"), &format!("{hall} 4 ready 2 3000"));
    }
    for object in 0..50 {
        assert_eq!(&*scene.choose(object, &[]).unwrap().hall, "b-2");
    }
    let one = scene.choose(7, &[]).unwrap();
    let other = scene.choose(7, std::slice::from_ref(&one.id)).unwrap();
    assert_ne!(one.id, other.id);
    let mut only_a = route("r", "a", "/");
    only_a.allowed_regions = vec!["a".into()];
    assert!(matches!(scene.choose_on(&only_a, 7, &[]), Err(NoTarget::NoneUsable)));
    scene.put("op", "evacuated b-2");
    assert!(matches!(scene.choose(7, &[]), Err(NoTarget::NoneUsable)));
    scene.now += Duration::from_millis(3_100);
    assert!(scene.choose_on(&only_a, 7, &[]).is_ok());
}

/// What `own` sends a cold target in `seconds` of a caller's steady load.
fn sent_while_cold(scene: &mut Scene, own: &str, seconds: u64) -> usize {
    let end = scene.now + Duration::from_secs(seconds);
    let bounds = ColdBounds { overage: 1.5, slack: 5.0 };
    let mut sent = 0;
    while scene.now < end {
        let warming = Some(Warming { own, bounds });
        let route = route("r", "a", "/");
        let query =
            Query { route: &route, service: "shop", object: 7, region: "a", warming, tried: &[], now: scene.now };
        if let Ok(target) = choose(&scene.world, &scene.catalog, &query) {
            target.enter(scene.now);
            sent += 1;
        }
        scene.now += Duration::from_millis(10);
    }
    sent
}

/// A scene in which only the cold `t0` takes requests, and four members.
fn cold_scene() -> Scene {
    let mut scene = Scene::new();
    scene.put("op", "catalog 9");
    for number in 0..8 {
        let hall = ["a-1", "a-2", "b-1", "b-2"][number / 2];
        let (state, cold) = if number == 0 { ("ready", 60_000) } else { ("draining", 0) };
        scene.put(&format!("t{number}"), &format!("{hall} 40 {state} 2 {cold}"));
    }
    let here = "127.0.0.1:1".parse().unwrap();
    let member = Member { callers: here, peer: here, hall: "a-1".into(), region: "a".into() };
    let value = String::from_utf8(member.value().to_vec()).unwrap();
    for name in ["e-1", "e-2", "e-3", "e-4"] {
        scene.put(name, &value);
    }
    scene
}

#[test]
fn a_cold_target_gets_its_rate_once_the_members_have_stayed_the_same() {
    let mut scene = cold_scene();
    assert_eq!(sent_while_cold(&mut scene, "e-1", 2), 0, "the members have just changed");
    // 9 a second for four: two each, somewhat more than a second apart in all.
    let sent = sent_while_cold(&mut scene, "e-1", 10);
    assert!((18..=20).contains(&sent), "{sent} in ten seconds");
}

#[test]
fn an_entry_that_is_not_listed_sends_a_cold_target_nothing() {
    assert_eq!(sent_while_cold(&mut cold_scene(), "e-9", 6), 0);
}

#[test]
fn a_failing_target_is_left_alone_and_tried_with_one_request() {
    let mut scene = Scene::new();
    let first = scene.choose(7, &[]).unwrap();
    for _ in 0..3 {
        first.failed(scene.now);
    }
    assert_ne!(scene.choose(7, &[]).unwrap().id, first.id);
    scene.now += Duration::from_millis(600);
    assert_eq!(scene.choose(7, &[]).unwrap().id, first.id);
    let trial = first.enter(scene.now);
    assert_ne!(scene.choose(7, &[]).unwrap().id, first.id);
    first.succeeded(Duration::from_millis(50), scene.now);
    drop(trial);
    assert_eq!(scene.choose(7, &[]).unwrap().id, first.id);
}

#[test]
fn a_load_report_is_three_numbers() {
    assert_eq!(LoadReport::parse("3, 0,8"), Some(LoadReport { running: 3, waiting: 0, slots: 8 }));
    for text in ["", "3,0", "3,0,8,1", "a,0,8", "-1,0,8"] {
        assert_eq!(LoadReport::parse(text), None, "{text}");
    }
}

// Settings.

const SETTINGS: &str = "[instance]\nname = \"e-1\"\nhall = \"a-1\"\nregion = \"a\"\n\
    [listen]\ncallers = \"127.0.0.1:1\"\nreadiness = \"127.0.0.1:2\"\ndirectory = \"127.0.0.1:3\"\npeers = \"127.0.0.1:4\"\n\
    [store]\naddress = \"127.0.0.1:5\"\nshortest_lease_ms = 1000\n\
    [bounds]\nstop_s = 6\ndirectory_ttl_s = 5\nretry_ratio = 0.2\nretry_slack = 64\ncold_overage = 1.5\ncold_slack = 5\n\
    [limits]\nmemory_mb = 260\ndescriptors = 4100\n";

#[test]
fn settings_with_a_missing_or_wrong_field_name_file_field_and_remedy() {
    use lockloft::entry::settings::Settings;
    let path = std::path::Path::new("node.toml");
    assert!(Settings::parse(path, SETTINGS).is_ok());
    assert!(Settings::parse(path, &format!("novelty = 1\n{SETTINGS}")).is_ok());
    let wrong = [
        ("name = \"e-1\"", "", "name"),
        ("name = \"e-1\"", "name = \"e/1\"", "instance.name"),
        ("hall = \"a-1\"", "hall = \"\"", "instance.hall"),
        ("stop_s = 6", "stop_s = -1", "bounds.stop_s"),
        ("retry_ratio = 0.2", "retry_ratio = 3", "bounds.retry_ratio"),
        ("retry_slack = 64", "retry_slack = -2", "bounds.retry_slack"),
        ("cold_overage = 1.5", "cold_overage = -1", "bounds.cold_overage"),
        ("cold_slack = 5", "cold_slack = nan", "bounds.cold_slack"),
        ("memory_mb = 260", "memory_mb = 0", "limits.memory_mb"),
        ("\"127.0.0.1:5\"", "\"nowhere\"", "address"),
    ];
    for (from, to, field) in wrong {
        let error = Settings::parse(path, &SETTINGS.replace(from, to)).unwrap_err().to_string();
        assert!(error.contains("node.toml") && error.contains(field), "{error}");
        assert!(error.contains("give") || error.contains("correct"), "no remedy in: {error}");
    }
}
