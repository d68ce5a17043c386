//! Seeded mutations of good records, as JSON text: fields with other numbers and types, missing and
//! repeated fields, and damaged bytes.

use bytes::Bytes;
use rand::Rng;
use rand::seq::IndexedRandom;
use serde_json::{Value, json};

/// Stands for a part of the text that is written as it is.
const MARK: &str = "@@";
/// Deepest nesting that a mutation writes.
const DEPTH: usize = 20_000;
/// Longest string that a mutation writes, bytes.
const LONG: usize = 100_000;

/// Numbers around the limits of the types that hold times, counts and ports.
pub const NUMBERS: [&str; 36] = [
    "-1",
    "-0.0",
    "0",
    "0.5",
    "65535",
    "65536",
    "2147483648",
    "4294967295",
    "4294967296",
    "9007199254740993",
    "9223372036854775807",
    "9223372036854775808",
    "-9223372036854775809",
    "18446744073709551615",
    "18446744073709551616",
    "1e15",
    "1e16",
    "4e18",
    "9.2e18",
    "9.3e18",
    "1.8e19",
    "1.9e19",
    "1e20",
    "9.2e21",
    "9.223372036854775e21",
    "9223372036854775807000",
    "9.3e21",
    "1.2e22",
    "1.8e22",
    "1.8446744073709551e22",
    "1.85e22",
    "1e300",
    "1.7976931348623157e308",
    "5e-324",
    "1e400",
    "-1e400",
];

/// Values of other types, and texts that are no JSON.
pub const OTHERS: [&str; 14] = [
    "null",
    "true",
    "\"\"",
    "\"1\"",
    "[]",
    "[1]",
    "{}",
    "{\"a\":{}}",
    "NaN",
    "\"\\ud800\"",
    "\"\\u0000\"",
    "\"\u{1f6a2}\u{202e}\"",
    "\"99999.0.0.1:70000\"",
    "01",
];

/// Paths of all values within a record, but for the record itself.
pub fn paths(value: &Value) -> Vec<String> {
    let children: Vec<(String, &Value)> = match value {
        Value::Object(fields) => fields.iter().map(|(name, value)| (escape(name), value)).collect(),
        Value::Array(items) => items.iter().enumerate().map(|(at, value)| (at.to_string(), value)).collect(),
        _ => Vec::new(),
    };
    let below = |(name, value): (String, &Value)| {
        let inner = paths(value).into_iter().map(|path| format!("/{name}{path}")).collect::<Vec<_>>();
        [vec![format!("/{name}")], inner].concat()
    };
    children.into_iter().flat_map(below).collect()
}

fn escape(name: &str) -> String {
    name.replace('~', "~0").replace('/', "~1")
}

/// The text of a record with a part replaced by a text.
///
/// # Panics
/// Where the record has no such part.
pub fn with_text(record: &Value, path: &str, text: &str) -> String {
    let mut record = record.clone();
    *record.pointer_mut(path).expect("the path is one of the record") = json!(MARK);
    record.to_string().replacen(&format!("\"{MARK}\""), text, 1)
}

/// The record without a part; unchanged where the part is no field.
pub fn without(record: &Value, path: &str) -> Value {
    let mut record = record.clone();
    let (parent, name) = path.rsplit_once('/').expect("a path has a slash");
    if let Some(Value::Object(fields)) = record.pointer_mut(parent) {
        fields.remove(&name.replace("~1", "/").replace("~0", "~"));
    }
    record
}

/// A text nested so deep.
pub fn nested(depth: usize) -> String {
    [vec!["["; depth], vec!["]"; depth]].concat().concat()
}

/// A good record with one to three mutations. Parts whose paths begin with one of `fixed` stay.
pub fn mutate(rng: &mut impl Rng, record: &Value, fixed: &[&str]) -> Bytes {
    let mut record = record.clone();
    let mut texts: Vec<String> = Vec::new();
    // One alone mostly: of several, one is often refused and hides the others.
    let count = if rng.random_ratio(2, 3) { 1 } else { rng.random_range(2..=3) };
    for _ in 0..count {
        let is_free = |path: &String| !fixed.iter().any(|fixed| path.starts_with(fixed));
        let free: Vec<String> = paths(&record).into_iter().filter(is_free).collect();
        let Some(path) = free.choose(rng) else { break };
        if rng.random_ratio(1, 8) {
            record = without(&record, path);
            continue;
        }
        *record.pointer_mut(path).expect("the path is one of the record") = json!(format!("{MARK}{}", texts.len()));
        texts.push(text(rng));
    }
    let mut whole = record.to_string();
    for (number, text) in texts.iter().enumerate() {
        whole = whole.replacen(&format!("\"{MARK}{number}\""), text, 1);
    }
    if fixed.is_empty() && rng.random_ratio(1, 6) {
        return damaged(rng, whole.into_bytes()).into();
    }
    whole.into()
}

fn text(rng: &mut impl Rng) -> String {
    match rng.random_range(0..20) {
        0..10 => (*NUMBERS.choose(rng).expect("there are some")).to_owned(),
        10..12 => number(rng),
        12..17 => (*OTHERS.choose(rng).expect("there are some")).to_owned(),
        17 => nested(rng.random_range(1..DEPTH)),
        18 => json!("x".repeat(rng.random_range(1..LONG))).to_string(),
        _ => json!(vec![1; rng.random_range(1..LONG / 10)]).to_string(),
    }
}

/// A number of any magnitude.
fn number(rng: &mut impl Rng) -> String {
    let digits: f64 = rng.random_range(1.0..10.0);
    let sign = if rng.random_ratio(1, 5) { "-" } else { "" };
    format!("{sign}{digits}e{}", rng.random_range(-10..40))
}

fn damaged(rng: &mut impl Rng, mut bytes: Vec<u8>) -> Vec<u8> {
    let at = rng.random_range(0..bytes.len());
    match rng.random_range(0..4) {
        0 => bytes.truncate(at),
        1 => bytes[at] = rng.random(),
        2 => bytes.insert(at, rng.random()),
        _ => bytes.extend_from_within(at..),
    }
    bytes
}
