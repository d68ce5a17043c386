//! Selectors: structured tests on labels, as operators write them and as they
//! are checked against interned labels.
//!
//! `{ service = "quote", tier = ["a", "b"], stage = { not = ["cold"] }, canary = { exists = false } }`
//! selects what passes every one of its tests; the empty selector selects all.

use super::label::{Interner, LabelKey, LabelSet, Symbol};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap};

/// One test as an operator writes it.
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
    /// Whether the label has to be present.
    pub exists: bool,
}

/// A selector as an operator writes it: label name to test.
pub type RawSelector = BTreeMap<String, RawTest>;

/// What a test wants of the label's value.
#[derive(Clone, Debug)]
enum Want {
    OneOf(Vec<Symbol>),
    /// An absent label passes.
    Not(Vec<Symbol>),
    Exists(bool),
}

/// A test over interned labels.
#[derive(Clone, Debug)]
struct Test {
    key: LabelKey,
    want: Want,
}

impl Test {
    fn compile(name: &str, raw: &RawTest, interner: &mut Interner) -> Self {
        let key = interner.intern_key(name);
        let mut symbols =
            |values: &[String]| values.iter().map(|value| interner.intern_value(value)).collect::<Vec<_>>();
        let want = match raw {
            RawTest::Is(value) => Want::OneOf(symbols(std::slice::from_ref(value))),
            RawTest::OneOf(values) => Want::OneOf(symbols(values)),
            RawTest::Not(raw) => Want::Not(symbols(&raw.not)),
            RawTest::Exists(raw) => Want::Exists(raw.exists),
        };
        Self { key, want }
    }

    fn passes(&self, labels: &LabelSet) -> bool {
        self.accepts(labels.get(self.key))
    }

    fn accepts(&self, value: Symbol) -> bool {
        match &self.want {
            Want::OneOf(list) => list.contains(&value),
            Want::Not(list) => !list.contains(&value),
            Want::Exists(wanted) => (value != Symbol::NONE) == *wanted,
        }
    }
}

/// A checked selector over interned labels.
#[derive(Clone, Debug, Default)]
pub struct Selector {
    tests: Vec<Test>,
}

impl Selector {
    /// Interns a selector as written.
    pub fn compile(raw: &RawSelector, interner: &mut Interner) -> Self {
        Self { tests: raw.iter().map(|(name, test)| Test::compile(name, test, interner)).collect() }
    }

    /// Whether every test passes.
    pub fn matches(&self, labels: &LabelSet) -> bool {
        self.tests.iter().all(|test| test.passes(labels))
    }

    /// The number of its tests.
    pub(super) fn len(&self) -> usize {
        self.tests.len()
    }

    /// Whether some labels pass all tests of these selectors.
    pub(super) fn may_meet(selectors: &[&Selector]) -> bool {
        let mut by_label: HashMap<LabelKey, Vec<&Test>> = HashMap::new();
        for test in selectors.iter().flat_map(|selector| &selector.tests) {
            by_label.entry(test.key).or_default().push(test);
        }
        by_label.values().all(|tests| has_common_value(tests))
    }
}

/// Whether some value of a label, or its absence, passes all these tests of it.
fn has_common_value(tests: &[&Test]) -> bool {
    let is_common = |value: &Symbol| tests.iter().all(|test| test.accepts(*value));
    let wanted = tests.iter().find_map(|test| match &test.want {
        Want::OneOf(list) => Some(list),
        Want::Not(_) | Want::Exists(_) => None,
    });
    match wanted {
        Some(list) => list.iter().any(is_common),
        None => [Symbol::NONE, Symbol::OTHER].iter().any(is_common),
    }
}
