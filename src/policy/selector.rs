//! Selectors: structured tests on labels, as operators write them and as they are compiled
//! for interned labels.
//!
//! `{ service = "quote", tier = ["a", "b"], stage = { not = ["cold"] }, canary = { exists = false } }`
//! matches if all its tests pass; the empty selector matches everything.

use super::label::{Interner, LabelKey, LabelSet, Symbol};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap};

/// One test as an operator writes it. A message of serde, which operators see, contains the name of
/// this type.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(untagged)]
pub enum RawTest {
    /// The label has this value.
    Is(String),
    /// The label has one of these values.
    OneOf(Vec<String>),
    /// The label has none of these values; an absent label passes.
    Not(RawNot),
    /// The label is present (`true`) or absent (`false`).
    Exists(RawExists),
}

/// The table `{ not = [..] }`.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct RawNot {
    /// Values that fail the test.
    pub not: Vec<String>,
}

/// The table `{ exists = true|false }`.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct RawExists {
    /// Whether the label must be present; otherwise it must be absent.
    pub exists: bool,
}

/// A selector as an operator writes it: label name to test.
pub type RawSelector = BTreeMap<String, RawTest>;

/// The values of a label that pass a test.
#[derive(Clone, Debug)]
enum AcceptedValues {
    OneOf(Vec<Symbol>),
    /// An absent label passes.
    Not(Vec<Symbol>),
    Exists(bool),
}

/// A test on interned labels.
#[derive(Clone, Debug)]
struct Test {
    key: LabelKey,
    accepted: AcceptedValues,
}

impl Test {
    fn compile(name: &str, raw: &RawTest, interner: &mut Interner) -> Self {
        let key = interner.intern_key(name);
        let mut symbols =
            |values: &[String]| values.iter().map(|value| interner.intern_value(value)).collect::<Vec<_>>();
        let accepted = match raw {
            RawTest::Is(value) => AcceptedValues::OneOf(symbols(std::slice::from_ref(value))),
            RawTest::OneOf(values) => AcceptedValues::OneOf(symbols(values)),
            RawTest::Not(raw) => AcceptedValues::Not(symbols(&raw.not)),
            RawTest::Exists(raw) => AcceptedValues::Exists(raw.exists),
        };
        Self { key, accepted }
    }

    fn passes(&self, labels: &LabelSet) -> bool {
        self.accepts(labels.get(self.key))
    }

    fn accepts(&self, value: Symbol) -> bool {
        match &self.accepted {
            AcceptedValues::OneOf(list) => list.contains(&value),
            AcceptedValues::Not(list) => !list.contains(&value),
            AcceptedValues::Exists(exists) => (value != Symbol::NONE) == *exists,
        }
    }
}

/// A compiled selector on interned labels.
#[derive(Clone, Debug, Default)]
pub struct Selector {
    tests: Vec<Test>,
}

impl Selector {
    /// Compiles a selector and interns its labels.
    pub fn compile(raw: &RawSelector, interner: &mut Interner) -> Self {
        Self { tests: raw.iter().map(|(name, test)| Test::compile(name, test, interner)).collect() }
    }

    /// Whether the labels pass all tests.
    pub fn matches(&self, labels: &LabelSet) -> bool {
        self.tests.iter().all(|test| test.passes(labels))
    }

    /// Number of tests.
    pub(super) fn len(&self) -> usize {
        self.tests.len()
    }

    /// Whether there are labels that all these selectors match.
    pub(super) fn may_overlap(selectors: &[&Selector]) -> bool {
        let mut by_label: HashMap<LabelKey, Vec<&Test>> = HashMap::new();
        for test in selectors.iter().flat_map(|selector| &selector.tests) {
            by_label.entry(test.key).or_default().push(test);
        }
        by_label.values().all(|tests| has_common_value(tests))
    }
}

/// Whether a value of one label, or its absence, passes all these tests.
fn has_common_value(tests: &[&Test]) -> bool {
    let is_common = |value: &Symbol| tests.iter().all(|test| test.accepts(*value));
    let listed = tests.iter().find_map(|test| match &test.accepted {
        AcceptedValues::OneOf(list) => Some(list),
        AcceptedValues::Not(_) | AcceptedValues::Exists(_) => None,
    });
    match listed {
        Some(list) => list.iter().any(is_common),
        None => [Symbol::NONE, Symbol::OTHER].iter().any(is_common),
    }
}
