//! Property tests of an instance's pure functions against naive implementations: the view of the store,
//! routes, traffic splits, retry budgets and the relay tree; and tests of the settings and of backoff.

mod scene;

use bytes::Bytes;
use lockloft::decision::failure::retry::{RetryBudget, max_balance, member_budget};
use lockloft::decision::selection::split::TrafficSplits;
use lockloft::model::config::{Route, WeightedService};
use lockloft::store::view::StoreView;
use lockloft::store::{Event, Item, Listing};
use lockloft::sync::relay_tree::{FOLLOWERS_PER_RELAY, ancestors};
use proptest::prelude::*;
use scene::{config, route};
use std::collections::BTreeMap;

// The view of the store against a replay of its history.

#[derive(Clone, Debug)]
enum Change {
    Put(u8),
    Remove(u8),
}

fn change() -> impl Strategy<Value = Change> {
    prop_oneof![3 => (0u8..6).prop_map(Change::Put), 1 => (0u8..6).prop_map(Change::Remove)]
}

/// The history of a store: the events in order, and the items after each revision.
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
                history.events.push(Event::Delete { key, revision });
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
    /// After watches, lists, late lists and changes from a peer in any order, the view equals the store
    /// at some revision, and its revision never decreases.
    #[test]
    fn the_view_is_the_store_at_a_revision_and_never_goes_back(
        changes in prop::collection::vec(change(), 1..40),
        steps in prop::collection::vec((0u8..4, 0.0f64..1.0), 1..30),
    ) {
        let history = replay(&changes);
        let last = changes.len() as u64;
        let (mut view, mut peer) = (StoreView::default(), StoreView::default());
        for (kind, fraction) in steps {
            let before = view.position().revision;
            let revision = (fraction * (last + 1) as f64) as u64;
            let listing = |at: u64| Listing { items: history.states[at as usize].values().cloned().collect(), at: at.into() };
            let events = |after: u64, to: u64| history.events[after as usize..to.max(after) as usize].to_vec();
            match kind {
                0 => { view.replace(listing(revision)); }
                1 => { let to = revision.max(before); view.apply(events(before, to), to.into()); }
                2 => { peer.replace(listing(revision)); }
                _ => {
                    let peer_changes: Option<Vec<Event>> =
                        peer.changes_after(before).map(|events| events.cloned().collect());
                    match peer_changes {
                        Some(peer_changes) => { view.apply(peer_changes, peer.position()); }
                        None => { view.replace(Listing { items: peer.items().cloned().collect(), at: peer.position() }); }
                    }
                }
            }
            prop_assert!(view.position().revision >= before);
            prop_assert_eq!(&items(&view), &history.states[view.position().revision as usize]);
        }
    }

    /// The route of the host with the longest matching prefix is found, as by a search of all routes.
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
        let config = config(routes);
        let found = config.find_route(&format!("{}:80", host.to_uppercase()), &path);
        prop_assert_eq!(found.map(|index| config.route(index).name.clone()), naive);
    }

    /// Each service of a split gets a share of the requests near its weight, whatever their keys.
    #[test]
    fn a_split_keeps_its_shares_for_any_sequence_of_keys(
        weight in 0.05f64..0.95,
        keys in prop::collection::vec(any::<u64>(), 8..60),
    ) {
        let mut split = route("split", "a", "/");
        split.services = vec![
            WeightedService { service: "one".into(), weight },
            WeightedService { service: "two".into(), weight: 1.0 - weight },
        ];
        let mut splits = TrafficSplits::default();
        let mut ones = 0;
        for number in 0..2_000 {
            let weighted = splits.pick(&split, keys[number * 7 % keys.len()]);
            ones += usize::from(&*weighted.service == "one");
        }
        let share = ones as f64 / 2_000.0;
        prop_assert!((share - weight).abs() < 0.2, "a share of {} at a weight of {}", share, weight);
    }

    /// Retries never exceed the ratio of the retry budget.
    #[test]
    fn retries_stay_within_the_ratio_of_the_budget(attempts in prop::collection::vec(any::<bool>(), 1..500)) {
        let mut budget = RetryBudget::new(0.1, 5.0);
        let (mut requests, mut retries) = (0u32, 0u32);
        for wants_retry in attempts {
            budget.deposit();
            requests += 1;
            if wants_retry && budget.withdraw(0.0) {
                retries += 1;
            }
            prop_assert!(f64::from(retries) <= 0.1 * f64::from(requests) + 1e-6);
        }
    }
}

proptest! {
    /// Every instance but the first follows a relay before it, and no instance has more followers than
    /// `FOLLOWERS_PER_RELAY`.
    #[test]
    fn the_relay_tree_of_a_hall_is_bounded_and_has_no_cycle(count in 1usize..400) {
        let mut followers = vec![0; count];
        for position in 0..count {
            let path: Vec<usize> = ancestors(position).collect();
            prop_assert!(path.windows(2).all(|pair| pair[1] < pair[0]));
            prop_assert_eq!(path.last().copied().unwrap_or(0), 0);
            prop_assert!(path.len() <= 5, "{} relays between the store and {}", path.len(), position);
            if let Some(relay) = path.first() {
                prop_assert!(*relay < position);
                followers[*relay] += 1;
            }
        }
        prop_assert!(followers.iter().all(|count| *count <= FOLLOWERS_PER_RELAY));
    }
}

#[test]
fn members_share_half_of_the_retry_slack_and_four_fifths_of_the_ratio() {
    for (slack, members, balance) in [(64.0, 1, 32.0), (64.0, 4, 8.0), (64.0, 0, 32.0), (0.0, 3, 0.0)] {
        assert_eq!(max_balance(slack, members), balance, "slack {slack}, {members} members");
    }
    let mut budget = member_budget(0.2, 64.0, 4);
    let retries = (0..1_000)
        .filter(|_| {
            budget.deposit();
            budget.withdraw(0.0)
        })
        .count();
    assert!((158..=160).contains(&retries), "{retries} retries for 1000 requests at four fifths of 0.2");
    (0..1_000).for_each(|_| budget.deposit());
    assert_eq!((0..20).filter(|_| budget.withdraw(0.0)).count(), 8);
}

#[test]
fn keys_of_a_split_stay_with_their_service_while_its_weight_grows() {
    let service_of = |weight: f64, key: u64| {
        let mut split = route("split", "a", "/");
        split.services = vec![
            WeightedService { service: "one".into(), weight },
            WeightedService { service: "two".into(), weight: 1.0 - weight },
        ];
        TrafficSplits::default().peek(&split, key).service.to_string()
    };
    let at_one = |weight: f64| (0..4_000).filter(|key| service_of(weight, *key) == "one").collect::<Vec<u64>>();
    let (before, after) = (at_one(0.3), at_one(0.5));
    for (keys, weight) in [(&before, 0.3), (&after, 0.5)] {
        let share = keys.len() as f64 / 4_000.0;
        assert!((share - weight).abs() < 0.03, "a share of {share} of the keys at a weight of {weight}");
    }
    assert!(before.iter().all(|key| after.contains(key)), "a key left the service whose weight grew");
}

#[test]
fn a_service_with_zero_weight_gets_no_requests() {
    let mut split = route("split", "a", "/");
    split.services = vec![
        WeightedService { service: "none".into(), weight: 0.0 },
        WeightedService { service: "all".into(), weight: 5.0 },
    ];
    let mut splits = TrafficSplits::default();
    for key in 0..1_000 {
        assert_eq!(&*splits.pick(&split, key).service, "all");
    }
}

// Settings and backoff.

const SETTINGS: &str = "[instance]\nname = \"e-1\"\nhall = \"a-1\"\nregion = \"a\"\n\
    [listen]\ncallers = \"127.0.0.1:1\"\nreadiness = \"127.0.0.1:2\"\ndirectory = \"127.0.0.1:3\"\npeers = \"127.0.0.1:4\"\n\
    [store]\naddress = \"127.0.0.1:5\"\nshortest_lease_ms = 1000\n\
    [bounds]\nstop_s = 6\ndirectory_ttl_s = 5\nretry_ratio = 0.2\nretry_slack = 64\ncold_overage = 1.5\ncold_slack = 5\n\
    [limits]\nmemory_mb = 260\ndescriptors = 4100\n";

#[test]
fn errors_about_missing_or_invalid_settings_name_file_field_and_remedy() {
    use lockloft::settings::Settings;
    let path = std::path::Path::new("node.toml");
    assert!(Settings::parse(path, SETTINGS).is_ok());
    assert!(Settings::parse(path, &format!("novelty = 1\n{SETTINGS}")).is_ok());
    let invalid = [
        ("name = \"e-1\"", "", "name"),
        ("name = \"e-1\"", "name = \"e/1\"", "instance.name"),
        ("hall = \"a-1\"", "hall = \"\"", "instance.hall"),
        ("stop_s = 6", "stop_s = -1", "bounds.stop_s"),
        ("retry_ratio = 0.2", "retry_ratio = 3", "bounds.retry_ratio"),
        ("retry_slack = 64", "retry_slack = -2", "bounds.retry_slack"),
        ("cold_overage = 1.5", "cold_overage = -1", "bounds.cold_overage"),
        ("cold_slack = 5", "cold_slack = nan", "bounds.cold_slack"),
        ("[limits]", "[log]\nbytes_per_second = 10\n[limits]", "log.bytes_per_second"),
        ("memory_mb = 260", "memory_mb = 0", "limits.memory_mb"),
        ("\"127.0.0.1:5\"", "\"nowhere\"", "address"),
    ];
    for (from, to, field) in invalid {
        let error = Settings::parse(path, &SETTINGS.replace(from, to)).unwrap_err().to_string();
        assert!(error.contains("node.toml") && error.contains(field), "{error}");
        assert!(error.contains("give") || error.contains("correct"), "no remedy in: {error}");
    }
}

#[test]
fn delays_for_an_unreachable_store_grow_and_are_reset_once_it_responds() {
    use lockloft::sync::backoff::Backoff;
    use std::time::Duration;
    let mut backoff = Backoff::default();
    let total: Duration = (0..10).map(|_| backoff.next_delay()).sum();
    assert!(total > Duration::from_secs(4), "ten failed calls within {total:?}");
    assert!(
        (0..50).all(|_| backoff.next_delay() < Duration::from_secs(1)),
        "a delay of 1 s or more: the instance learns too late that the store responds again"
    );
    backoff.reset();
    assert!(backoff.next_delay() < Duration::from_millis(350));
}
