//! Odd entries of each kind of key.

use super::Entry;
use super::fleet::SPARE;
use super::mutation::{NUMBERS, OTHERS, nested, paths, with_text, without};
use bytes::Bytes;
use serde_json::{Value, json};
use std::net::SocketAddr;

/// Where targets register.
pub const TARGETS: &str = "servers/";
/// Where instances register.
pub const MEMBERS: &str = "lockloft/entries/";
/// Where evacuations are asked for.
pub const EVACUATIONS: &str = "op/evacuate/";
/// Where strikes are shared.
pub const STRIKES: &str = "lockloft/strikes/";
/// Key of the operators' policies.
pub const POLICIES: &str = "lockloft/policies";
/// Deepest nesting.
const DEPTH: usize = 100_000;
/// Longest string, bytes.
const LONG: usize = 20_000;
/// An address at which nothing listens.
const NOWHERE: &str = "127.0.0.1:9";
/// Milliseconds beyond those that a clock counts: such a slow start has to be named.
const BEYOND_CLOCK_MS: f64 = 9.223_372_036_854_775e21;

/// A good registration of a target.
pub fn target() -> Value {
    json!({
        "address": NOWHERE,
        "born": 1_700_000_000_000_u64,
        "info": {"service": SPARE, "version": "v1", "zone": "a-1", "capacity": 6},
        "status": {"state": "ready", "sequence": 1, "warmup_ms": 0},
    })
}

/// A good registration of an instance that is reached at an address.
pub fn member(address: SocketAddr) -> Value {
    json!({
        "callers": address.to_string(),
        "peer": address.to_string(),
        "hall": "a-1",
        "region": "a",
        "isolated": false,
        "core_milli": 500,
        "link_kbit": 10_000,
    })
}

/// A good record of strikes.
pub fn strikes() -> Value {
    json!({"strikes": 1, "by": "e-1"})
}

/// Good policies.
pub fn policies() -> Value {
    let text = "[[policy]]\nname = \"leave\"\nplaces = { hall = \"c-9\" }\ndrain = true\n";
    json!({"revision": 1, "id": "one", "by": "anna", "sources": {"files": [{"file": "a.toml", "text": text}]}})
}

/// Texts that are no record of any kind.
fn broken(record: &Value) -> Vec<Bytes> {
    let text = record.to_string();
    let damaged = [
        Vec::new(),
        vec![0xff; 64],
        vec![0; 64],
        vec![0x80],
        b"\xef\xbb\xbf{}".to_vec(),
        text.encode_utf16().flat_map(u16::to_le_bytes).collect(),
        text.as_bytes()[..text.len() / 2].to_vec(),
        format!("{text}{text}").into_bytes(),
        format!("{text},").into_bytes(),
        nested(DEPTH).into_bytes(),
        "[".repeat(DEPTH).into_bytes(),
        "{\"a\":".repeat(DEPTH).into_bytes(),
        json!("x".repeat(LONG)).to_string().into_bytes(),
        json!(vec![0; LONG]).to_string().into_bytes(),
        b"1e400".to_vec(),
        b"null".to_vec(),
        b"\"".to_vec(),
    ];
    damaged.into_iter().map(Bytes::from).collect()
}

/// The record with each of its fields odd in each way.
pub fn variants(record: &Value) -> Vec<Bytes> {
    let mut found = Vec::new();
    for path in paths(record) {
        for text in NUMBERS.into_iter().chain(OTHERS) {
            found.push(Bytes::from(with_text(record, &path, text)));
        }
        let large = [nested(DEPTH), json!("x".repeat(LONG)).to_string(), json!(vec![0; LONG]).to_string()];
        found.extend(large.iter().map(|text| Bytes::from(with_text(record, &path, text))));
        found.push(without(record, &path).to_string().into());
        found.push(twice(record, &path));
    }
    found
}

/// The record with a field of its whole or of one of its parts given twice.
fn twice(record: &Value, path: &str) -> Bytes {
    let (parent, name) = path.rsplit_once('/').expect("a path has a slash");
    let part = record.pointer(parent).expect("the path is one of the record").to_string();
    let field = format!("{{{}:{},", json!(name), record.pointer(path).expect("the path is one of the record"));
    record.to_string().replacen(&part, &part.replacen('{', &field, 1), 1).into()
}

/// Names that keys may end with.
fn names() -> Vec<String> {
    let odd =
        ["", "/", "//", ".", "..", " ", "\n", "\u{0}", "\u{1f6a2}", "a/b/c", "%2f", "\"", "{}", "-1", "e-1\u{200b}"];
    let long = ["x".repeat(150), "x".repeat(5_000)];
    odd.into_iter().map(str::to_owned).chain(long).collect()
}

/// Odd registrations of targets.
pub fn targets() -> Vec<Entry> {
    let mut entries = Vec::new();
    let mut add = |value: Bytes, is_named: bool| {
        let key = format!("{TARGETS}odd-{}", entries.len());
        entries.push(Entry { key, value, is_named });
    };
    broken(&target()).into_iter().for_each(|value| add(value, true));
    for state in ["ready", "draining"] {
        for number in NUMBERS {
            let text = with_text(&target(), "/status/warmup_ms", number);
            let value: f64 = number.parse().expect("it is a number");
            add(text.replace("\"ready\"", &format!("\"{state}\"")).into(), !(0.0..BEYOND_CLOCK_MS).contains(&value));
        }
    }
    variants(&target()).into_iter().for_each(|value| add(value, false));
    for address in odd_addresses() {
        add(with_text(&target(), "/address", &json!(address).to_string()).into(), false);
    }
    entries.extend(names().into_iter().map(|name| Entry::new(format!("{TARGETS}{name}"), target().to_string())));
    entries.extend(names().into_iter().map(|name| Entry::new(format!("{TARGETS}{name}x"), "{")));
    entries
}

fn odd_addresses() -> [&'static str; 10] {
    [
        "0.0.0.0:0",
        "127.0.0.1:0",
        "127.0.0.1:70000",
        "255.255.255.255:65535",
        "224.0.0.1:80",
        "[::]:1",
        "[fe80::1%1]:80",
        "[::ffff:127.0.0.1]:9",
        "localhost:80",
        "127.1:80",
    ]
}

/// Odd registrations of instances. Those that can be used lead to `address`.
pub fn members(address: SocketAddr) -> Vec<Entry> {
    let good = member(address);
    let mut entries = Vec::new();
    let mut add = |value: Bytes, is_named: bool| {
        let key = format!("{MEMBERS}odd-{}", entries.len());
        entries.push(Entry { key, value, is_named });
    };
    broken(&good).into_iter().for_each(|value| add(value, true));
    variants(&good).into_iter().for_each(|value| add(value, false));
    for odd in odd_addresses() {
        for field in ["/peer", "/callers"] {
            add(with_text(&good, field, &json!(odd).to_string()).into(), false);
        }
    }
    entries.extend(names().into_iter().map(|name| Entry::new(format!("{MEMBERS}{name}"), good.to_string())));
    entries.extend(names().into_iter().map(|name| Entry::new(format!("{MEMBERS}{name}x"), "{")));
    entries
}

/// Odd records of strikes.
pub fn strike_records() -> Vec<Entry> {
    let mut entries = Vec::new();
    let mut add = |value: Bytes, is_named: bool| {
        let key = format!("{STRIKES}{:016x}", entries.len());
        entries.push(Entry { key, value, is_named });
    };
    broken(&strikes()).into_iter().for_each(|value| add(value, true));
    variants(&strikes()).into_iter().for_each(|value| add(value, false));
    let good = strikes().to_string();
    for name in ["0", "FFFFFFFFFFFFFFFF", "+fffffffffffffff", "10000000000000000", "ffffffffffffffff"] {
        let is_named = name != "ffffffffffffffff";
        entries.push(Entry { is_named, ..Entry::new(format!("{STRIKES}{name}"), good.clone()) });
    }
    entries.extend(names().into_iter().map(|name| Entry::new(format!("{STRIKES}{name}"), good.clone())));
    entries
}

/// Odd evacuations: the key counts, whatever its value. No value is that of a hall that a test uses.
pub fn evacuations() -> Vec<Entry> {
    let mut entries = Vec::new();
    for (number, value) in broken(&json!({})).into_iter().enumerate() {
        entries.push(Entry::new(format!("{EVACUATIONS}odd-{number}"), value));
    }
    entries.extend(names().into_iter().map(|name| Entry::new(format!("{EVACUATIONS}{name}"), "{}")));
    entries
}

/// Odd policies, one after the other at their key. None can be used.
pub fn policy_documents() -> Vec<Entry> {
    let mut values = broken(&policies());
    for path in paths(&policies()) {
        values.push(without(&policies(), &path).to_string().into());
        let number = if path == "/revision" { "18446744073709551616" } else { "1e400" };
        values.push(with_text(&policies(), &path, number).into());
        values.push(with_text(&policies(), &path, &nested(DEPTH)).into());
    }
    let texts = [
        "a = ".to_owned() + &nested(DEPTH),
        "[[policy]]\n".repeat(LONG / 10),
        format!("[{}]", vec!["a"; LONG].join(".")),
        "weight = 1e400\n[[policy]]\nname = \"x\"\nweight = 1e400\n".to_owned(),
        "[[policy]]\nname = \"x\"\nplaces = { hall = \"c-9\" }\nweight = -9223372036854775809\n".to_owned(),
    ];
    for text in texts {
        values.push(with_text(&policies(), "/sources/files/0/text", &json!(text).to_string()).into());
    }
    values.into_iter().map(|value| Entry::named(POLICIES, value)).collect()
}

/// Keys of no kind.
pub fn unknown_keys() -> Vec<Entry> {
    let prefixes =
        ["", "op/", "op/config", "op/evacuate", "servers", "lockloft/", "lockloft/policies", "lockloft/none/"];
    let keys = prefixes.into_iter().flat_map(|prefix| names().into_iter().map(move |name| format!("{prefix}{name}")));
    let is_unknown = |key: &String| {
        key != "op/config" && key != POLICIES && !key.starts_with(EVACUATIONS) && !key.starts_with(TARGETS)
    };
    keys.filter(is_unknown).map(|key| Entry::new(key, vec![0xff; 64])).collect()
}

/// Valid registrations with figures at the top of their range.
pub fn extremes(address: SocketAddr) -> Vec<Entry> {
    let top = u64::MAX;
    let edits = [
        ("/status/sequence", json!(top)),
        ("/born", json!(top)),
        ("/born", json!(0)),
        ("/info/capacity", json!(u32::MAX)),
    ];
    let targets = edits.into_iter().enumerate().map(|(number, (path, figure))| {
        let mut record = target();
        *record.pointer_mut(path).expect("the path is one of the record") = figure;
        Entry::new(format!("{TARGETS}top-{number}"), record.to_string())
    });
    let mut member = member(address);
    member["core_milli"] = json!(u32::MAX);
    member["link_kbit"] = json!(u32::MAX);
    let member = Entry::new(format!("{MEMBERS}top"), member.to_string());
    let strikes = json!({"strikes": u32::MAX, "by": ""}).to_string();
    targets.chain([member, Entry::new(format!("{STRIKES}fffffffffffffffe"), strikes)]).collect()
}

/// Odd entries of all kinds but configurations; members that can be used lead to `address`.
pub fn all(address: SocketAddr) -> Vec<Entry> {
    [targets(), members(address), strike_records(), evacuations(), unknown_keys()].concat()
}

/// Resources of a configuration, each with a field that is odd, and unlike all others by name.
pub fn resources(host: &str) -> Vec<Resource> {
    let route = json!({
        "host": host, "path_prefix": "@", "type": "safe", "timeout_ms": 2_000, "target_latency_ms": 300,
        "priority": 1, "max_attempts": 2, "session_affinity": true, "allowed_regions": ["a"],
        "traffic_split": [{"service": SPARE, "weight": 1.0}, {"service": "shop", "weight": 2.0}],
    });
    let service = json!({
        "health_path": "/health", "max_connections": 300, "protocol": "h1", "tls": false,
        "warmup_s": 1.0, "warmup_per_s": 9.0,
    });
    let tenant =
        json!({"api_keys": ["key-@"], "priority": 0, "rate_per_s": 100, "burst": 100, "allowed_regions": ["a"]});
    let limits = json!({
        "max_header_bytes": 16_384, "max_body_bytes": 4_000_000, "header_timeout_ms": 1_000, "idle_timeout_ms": 5_000,
    });
    let mut found = Vec::new();
    for (kind, spec) in [("routes", route), ("services", service), ("tenants", tenant), ("limits", limits)] {
        for path in paths(&spec) {
            for text in NUMBERS.into_iter().chain(OTHERS).chain(["[0,1e308]"]) {
                if path != "/path_prefix" && path != "/host" {
                    found.push(Resource::new(kind, &with_text(&spec, &path, text), found.len()));
                }
            }
            found.push(Resource::new(kind, &without(&spec, &path).to_string(), found.len()));
        }
        found.push(Resource::new(kind, &nested(DEPTH), found.len()));
        found.push(Resource::new(kind, "null", found.len()));
    }
    found
}

/// A resource of a configuration.
#[derive(Clone, Debug)]
pub struct Resource {
    /// `routes`, `services`, `tenants` or `limits`.
    pub kind: &'static str,
    /// Its name.
    pub name: String,
    /// Its text.
    pub text: String,
}

impl Resource {
    fn new(kind: &'static str, spec: &str, number: usize) -> Self {
        let name = format!("odd{number}");
        let spec = spec.replace("\"@\"", &format!("\"/{name}/\"")).replace("key-@", &format!("key-{name}"));
        let text = format!("{{\"resource_type\":\"{kind}\",\"metadata\":{{\"name\":\"{name}\"}},\"spec\":{spec}}}");
        Self { kind, name, text }
    }
}
