//! Generated cases for the comparison with the naive implementation: policies, targets and
//! requests, and the policies as TOML.

use crate::policy_scene::{HALLS, hall_of};
use proptest::prelude::*;
use std::collections::BTreeMap;

/// Number of targets in the scene.
pub const TARGETS: usize = 8;

/// The labels of a target or a request, by key.
pub type Labels = BTreeMap<&'static str, String>;

/// One condition of a selector, on the value of a label.
#[derive(Clone, Debug)]
pub enum Condition {
    Is(&'static str),
    OneOf(Vec<&'static str>),
    Not(Vec<&'static str>),
    Exists(bool),
}

impl Condition {
    fn holds(&self, value: Option<&str>) -> bool {
        match self {
            Condition::Is(expected) => value == Some(*expected),
            Condition::OneOf(list) => value.is_some_and(|value| list.contains(&value)),
            Condition::Not(list) => value.is_none_or(|value| !list.contains(&value)),
            Condition::Exists(expected) => value.is_some() == *expected,
        }
    }

    fn toml(&self) -> String {
        match self {
            Condition::Is(value) => format!("\"{value}\""),
            Condition::OneOf(list) => format!("{list:?}"),
            Condition::Not(list) => format!("{{ not = {list:?} }}"),
            Condition::Exists(expected) => format!("{{ exists = {expected} }}"),
        }
    }
}

/// Conditions on labels, by key; all have to hold.
pub type Selector = Vec<(&'static str, Condition)>;

/// Whether a selector selects something with these labels.
pub fn selects(selector: &Selector, labels: &Labels) -> bool {
    selector.iter().all(|(key, condition)| condition.holds(labels.get(key).map(String::as_str)))
}

fn selector_toml(selector: &Selector) -> String {
    let conditions: Vec<String> =
        selector.iter().map(|(key, condition)| format!("{key} = {}", condition.toml())).collect();
    format!("{{ {} }}", conditions.join(", "))
}

/// What a policy does with the targets it selects.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Action {
    Allow,
    Deny,
    Drain,
    Prefer(u16),
    Cap,
}

/// One policy: what it selects and its action. `cap` counts only for the action `Cap`.
#[derive(Clone, Debug)]
pub struct PolicySpec {
    pub request_selector: Selector,
    pub place_selector: Selector,
    pub action: Action,
    pub cap: f64,
}

impl PolicySpec {
    fn toml(&self, name: &str) -> String {
        let action = match self.action {
            Action::Allow => "allow = true".to_owned(),
            Action::Deny => "deny = true".to_owned(),
            Action::Drain => "drain = true".to_owned(),
            Action::Prefer(rank) => format!("prefer = {rank}"),
            Action::Cap => format!("cap = {:?}", self.cap),
        };
        let (requests, places) = (selector_toml(&self.request_selector), selector_toml(&self.place_selector));
        format!("[[policy]]\nname = \"{name}\"\nrequests = {requests}\nplaces = {places}\n{action}\n")
    }
}

/// The targets, policies and requests of one case.
#[derive(Clone, Debug)]
pub struct Spec {
    /// The `stage` label of each target, where it has one.
    pub stages: Vec<Option<&'static str>>,
    pub policies: Vec<PolicySpec>,
    /// Whether each target is draining.
    pub draining: Vec<bool>,
    /// The hash of the affinity key and the `tier` label of each request.
    pub requests: Vec<(u64, Option<&'static str>)>,
}

fn place_condition() -> impl Strategy<Value = (&'static str, Condition)> {
    prop_oneof![
        prop::sample::select(&HALLS[..]).prop_map(|hall| ("hall", Condition::Is(hall))),
        prop::sample::subsequence(HALLS.to_vec(), 1..4).prop_map(|list| ("hall", Condition::OneOf(list))),
        Just(("region", Condition::Is("b"))),
        Just(("region", Condition::Not(vec!["a"]))),
        Just(("target", Condition::Not(vec!["t0", "t5"]))),
        Just(("stage", Condition::Is("cold"))),
        Just(("stage", Condition::Not(vec!["cold"]))),
        any::<bool>().prop_map(|expected| ("stage", Condition::Exists(expected))),
    ]
}

fn request_selector() -> impl Strategy<Value = Selector> {
    prop_oneof![
        3 => Just(vec![]),
        1 => Just(vec![("tier", Condition::Is("x"))]),
        1 => Just(vec![("tier", Condition::Not(vec!["x"]))]),
        1 => any::<bool>().prop_map(|expected| vec![("tier", Condition::Exists(expected))]),
        1 => Just(vec![("service", Condition::OneOf(vec!["shop", "other"]))]),
        1 => Just(vec![("service", Condition::Is("other"))]),
        1 => Just(vec![("method", Condition::Is("GET")), ("hall", Condition::Is("a-1"))]),
    ]
}

fn policy() -> impl Strategy<Value = PolicySpec> {
    let action = prop_oneof![
        1 => Just(Action::Allow),
        1 => Just(Action::Deny),
        2 => Just(Action::Drain),
        1 => (1u16..4).prop_map(Action::Prefer),
        3 => Just(Action::Cap),
    ];
    let cap = prop_oneof![Just(0.0), Just(1.0), 0.0f64..1.0];
    let place_selector = prop::collection::vec(place_condition(), 0..2);
    (request_selector(), place_selector, action, cap).prop_map(|(request_selector, place_selector, action, cap)| {
        PolicySpec { request_selector, place_selector, action, cap }
    })
}

/// Generates a case.
pub fn spec() -> impl Strategy<Value = Spec> {
    let stage = prop::sample::select(vec![None, Some("cold"), Some("warm")]);
    let tier = prop::sample::select(vec![None, Some("x"), Some("y")]);
    (
        prop::collection::vec(stage, TARGETS),
        prop::collection::vec(policy(), 0..7),
        prop::collection::vec(prop::bool::weighted(0.15), TARGETS),
        prop::collection::vec((any::<u64>(), tier), 1..40),
    )
        .prop_map(|(stages, policies, draining, requests)| Spec { stages, policies, draining, requests })
}

impl Spec {
    /// The policies as TOML, in the form that operators write.
    pub fn toml(&self) -> String {
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

    /// The labels of a target, given by its number.
    pub fn target_labels(&self, target: usize) -> Labels {
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

    /// The labels of a request with this tier.
    pub fn request_labels(tier: Option<&str>) -> Labels {
        let given = [("service", "shop"), ("route", "r"), ("region", "a"), ("hall", "a-1"), ("method", "GET")];
        let mut labels: Labels = given.into_iter().map(|(key, value)| (key, value.to_owned())).collect();
        if let Some(tier) = tier {
            labels.insert("tier", tier.to_owned());
        }
        labels
    }
}
