//! Labels and selectors against tests by plain strings.

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

/// The labels of something that comes after the selectors were read: what no
/// selector names is not interned.
fn seen(interner: &Interner, labels: &RawLabels) -> LabelSet {
    let mut set = LabelSet::empty(interner.key_count());
    for (name, value) in labels {
        if let Some(key) = interner.key(name) {
            set.set(key, interner.value(value));
        }
    }
    set
}

/// A set whose names and values are interned as it is made.
fn interned(interner: &mut Interner, labels: &RawLabels) -> LabelSet {
    let mut set = LabelSet::default();
    for (name, value) in labels {
        let (key, value) = (interner.intern_key(name), interner.intern_value(value));
        set.set(key, value);
    }
    set
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2_000, ..ProptestConfig::default() })]

    /// Interned selectors select what plain strings say, whether the labels
    /// were known before or come later.
    #[test]
    fn a_selector_selects_what_plain_strings_say(
        selectors in prop::collection::vec(selector(), 1..4),
        early in labels(),
        late in labels(),
    ) {
        let mut interner = Interner::default();
        let declared = interned(&mut interner, &early);
        let compiled: Vec<Selector> = selectors.iter().map(|raw| Selector::compile(raw, &mut interner)).collect();
        for (raw, compiled) in selectors.iter().zip(&compiled) {
            prop_assert_eq!(compiled.matches(&declared), naive(raw, &early), "{:?} of {:?}", raw, early);
            prop_assert_eq!(compiled.matches(&seen(&interner, &late)), naive(raw, &late), "{:?} of {:?}", raw, late);
        }
    }

    /// What an operator writes is read as written.
    #[test]
    fn a_selector_is_read_as_it_is_written(raw in selector()) {
        let text = toml::to_string(&raw).unwrap();
        prop_assert_eq!(toml::from_str::<RawSelector>(&text).unwrap(), raw, "{}", text);
    }
}

#[test]
fn a_value_that_nothing_names_is_present_but_none_of_those() {
    let mut interner = Interner::default();
    let named = interner.intern_value("named");
    assert_eq!(interner.value("named"), named);
    assert_eq!(interner.value("unheard of"), Symbol::OTHER);
    assert_eq!(interner.key("unheard of"), None);
    let key = interner.intern_key("label");
    assert_eq!(LabelSet::empty(interner.key_count()).get(key), Symbol::NONE);
}

#[test]
fn the_written_forms_of_a_test_mean_what_the_pages_say() {
    let text = "is = \"x\"\none-of = [\"x\", \"y\"]\nnot = { not = [\"x\"] }\nexists = { exists = true }\nabsent = { exists = false }\n";
    let raw: RawSelector = toml::from_str(text).unwrap();
    let labels = |pairs: &[(&str, &str)]| -> RawLabels {
        pairs.iter().map(|(name, value)| ((*name).to_owned(), (*value).to_owned())).collect()
    };
    let selects = |pairs: &[(&str, &str)]| {
        let mut interner = Interner::default();
        let selector = Selector::compile(&raw, &mut interner);
        selector.matches(&seen(&interner, &labels(pairs)))
    };
    assert!(selects(&[("is", "x"), ("one-of", "y"), ("exists", "z")]));
    assert!(selects(&[("is", "x"), ("one-of", "y"), ("exists", "z"), ("not", "y")]));
    for wrong in [
        &[("is", "y"), ("one-of", "y"), ("exists", "z")][..],
        &[("is", "x"), ("one-of", "z"), ("exists", "z")],
        &[("is", "x"), ("one-of", "y"), ("exists", "z"), ("not", "x")],
        &[("is", "x"), ("one-of", "y")],
        &[("is", "x"), ("one-of", "y"), ("exists", "z"), ("absent", "w")],
    ] {
        assert!(!selects(wrong), "{wrong:?}");
    }
    let mut interner = Interner::default();
    assert!(
        Selector::compile(&RawSelector::new(), &mut interner).matches(&LabelSet::default()),
        "the empty one selects all"
    );
}
