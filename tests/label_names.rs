//! The selectors of a document can contain as many label names as a `LabelKey` can number;
//! a document with more is rejected.

use lockloft::policy::{Policies, Sources};

/// Maximum number of label names in the selectors of a document.
const MAX_NAMES: usize = 65_536;

/// A policy whose requests are selected by the labels with these numbers.
fn text(name: &str, labels: std::ops::Range<usize>) -> String {
    let tests: Vec<String> = labels.map(|number| format!("l{number} = \"\"")).collect();
    format!("[[policy]]\nname = \"{name}\"\nrequests = {{ {} }}\ncap = 0.5\n", tests.join(", "))
}

fn check(text: &str) -> Result<usize, String> {
    let checked = Policies::check(0, &Sources::single("p.toml", text));
    checked.map(|policies| policies.iter().count()).map_err(|error| error.to_string())
}

#[test]
fn more_label_names_than_a_key_can_number_are_rejected() {
    let largest = text("one", 0..MAX_NAMES);
    assert_eq!(check(&largest), Ok(1));
    assert_eq!(check(&format!("{largest}{}", text("two", 5..9))), Ok(2), "a repeated name counts once");
    let error = check(&format!("{largest}{}", text("two", MAX_NAMES..MAX_NAMES + 1))).unwrap_err();
    assert!(error.starts_with("p.toml:6: policy \"two\": more than 65536 label names"), "{error}");
    assert!(error.contains("remedy: "), "{error}");
}
