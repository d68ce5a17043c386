//! Compiled selectors and interned labels, compared with tests on plain strings.

use lockloft::policy::label::{Interner, LabelSet, RawLabels, Symbol};
use lockloft::policy::selector::{RawExists, RawNot, RawSelector, RawTest, Selector};
use proptest::prelude::*;

fn name() -> impl Strategy<Value = String> {
    prop::sample::select(vec!["hall", "region", "tier", "stage"]).prop_map(str::to_owned)
}

fn value() -> impl Strategy<Value = String> {
    prop::sample::select(vec!["", "a", "b", "c", "A", "other"]).prop_map(str::to_owned)
}

fn labels() -> impl Strategy<Value = RawLabels> {
    prop::collection::btree_map(name(), value(), 0..4)
}

fn test() -> impl Strategy<Value = RawTest> {
    let list = || prop::collection::vec(value(), 0..4);
    prop_oneof![
        value().prop_map(RawTest::Is),
        list().prop_map(RawTest::OneOf),
        list().prop_map(|not| RawTest::Not(RawNot { not })),
        any::<bool>().prop_map(|exists| RawTest::Exists(RawExists { exists })),
    ]
}

fn selector() -> impl Strategy<Value = RawSelector> {
    prop::collection::btree_map(name(), test(), 0..4)
}

fn passes(test: &RawTest, value: Option<&String>) -> bool {
    match test {
        RawTest::Is(wanted) => value == Some(wanted),
        RawTest::OneOf(list) => value.is_some_and(|value| list.contains(value)),
        RawTest::Not(raw) => value.is_none_or(|value| !raw.not.contains(value)),
        RawTest::Exists(raw) => value.is_some() == raw.exists,
    }
}

fn naive(selector: &RawSelector, labels: &RawLabels) -> bool {
    selector.iter().all(|(name, test)| passes(test, labels.get(name)))
}

/// Labels of a target or request that is seen after the selectors were compiled: names and
/// values that no selector contains are not interned.
fn later_labels(interner: &Interner, labels: &RawLabels) -> LabelSet {
    let mut set = LabelSet::empty(interner.key_count());
    for (name, value) in labels {
        if let Some(key) = interner.key(name) {
            set.set(key, interner.value(value));
        }
    }
    set
}

/// Labels whose names and values are all interned.
fn interned_labels(interner: &mut Interner, labels: &RawLabels) -> LabelSet {
    let mut set = LabelSet::default();
    for (name, value) in labels {
        let (key, value) = (interner.intern_key(name), interner.intern_value(value));
        set.set(key, value);
    }
    set
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2_000, ..ProptestConfig::default() })]

    /// Compiled selectors match the same labels as tests on plain strings, whether the labels
    /// were interned before or are seen later.
    #[test]
    fn a_selector_matches_like_tests_on_plain_strings(
        selectors in prop::collection::vec(selector(), 1..4),
        interned_before in labels(),
        seen_later in labels(),
    ) {
        let mut interner = Interner::default();
        let interned = interned_labels(&mut interner, &interned_before);
        let compiled: Vec<Selector> = selectors.iter().map(|raw| Selector::compile(raw, &mut interner)).collect();
        for (raw, compiled) in selectors.iter().zip(&compiled) {
            prop_assert_eq!(
                compiled.matches(&interned),
                naive(raw, &interned_before),
                "{:?} of {:?}",
                raw,
                interned_before
            );
            prop_assert_eq!(
                compiled.matches(&later_labels(&interner, &seen_later)),
                naive(raw, &seen_later),
                "{:?} of {:?}",
                raw,
                seen_later
            );
        }
    }

    /// A selector that is written as TOML is read back unchanged.
    #[test]
    fn a_selector_is_read_as_written(raw in selector()) {
        let text = toml::to_string(&raw).unwrap();
        prop_assert_eq!(toml::from_str::<RawSelector>(&text).unwrap(), raw, "{}", text);
    }
}

#[test]
fn a_value_that_no_selector_contains_is_present_with_no_symbol_of_its_own() {
    let mut interner = Interner::default();
    let known = interner.intern_value("named");
    assert_eq!(interner.value("named"), known);
    assert_eq!(interner.value("unheard of"), Symbol::OTHER);
    assert_eq!(interner.key("unheard of"), None);
    let key = interner.intern_key("label");
    assert_eq!(LabelSet::empty(interner.key_count()).get(key), Symbol::NONE);
}

#[test]
fn each_form_of_a_test_matches_as_documented() {
    let text = "is = \"x\"\none-of = [\"x\", \"y\"]\nnot = { not = [\"x\"] }\nexists = { exists = true }\nabsent = { exists = false }\n";
    let raw: RawSelector = toml::from_str(text).unwrap();
    let labels = |pairs: &[(&str, &str)]| -> RawLabels {
        pairs.iter().map(|(name, value)| ((*name).to_owned(), (*value).to_owned())).collect()
    };
    let matches = |pairs: &[(&str, &str)]| {
        let mut interner = Interner::default();
        let selector = Selector::compile(&raw, &mut interner);
        selector.matches(&later_labels(&interner, &labels(pairs)))
    };
    assert!(matches(&[("is", "x"), ("one-of", "y"), ("exists", "z")]));
    assert!(matches(&[("is", "x"), ("one-of", "y"), ("exists", "z"), ("not", "y")]));
    for wrong in [
        &[("is", "y"), ("one-of", "y"), ("exists", "z")][..],
        &[("is", "x"), ("one-of", "z"), ("exists", "z")],
        &[("is", "x"), ("one-of", "y"), ("exists", "z"), ("not", "x")],
        &[("is", "x"), ("one-of", "y")],
        &[("is", "x"), ("one-of", "y"), ("exists", "z"), ("absent", "w")],
    ] {
        assert!(!matches(wrong), "{wrong:?}");
    }
    let mut interner = Interner::default();
    assert!(
        Selector::compile(&RawSelector::new(), &mut interner).matches(&LabelSet::default()),
        "the empty selector matches everything"
    );
}
