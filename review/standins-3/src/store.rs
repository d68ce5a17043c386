//! A sound store as `PROTOCOL.md` describes it: items with revisions, lists, watches, writes under conditions,
//! and leases. It keeps its whole history.

use crate::http::{Head, listen, split};
use crate::json::{Json, to_base64};
use std::collections::{BTreeMap, HashMap};
use std::fmt::Write as _;
use std::io::{self, Write as _};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Most items of a page, and events of an answer.
const PAGE: usize = 500;
/// Shortest lease, milliseconds.
const SHORTEST_LEASE_MS: u64 = 1_000;

#[derive(Clone)]
struct Item {
    /// In base64, as it is written and read.
    value: String,
    revision: u64,
    made: u64,
    lease: u64,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// Changes in order: revision, key, and the JSON of the event.
    changes: Vec<(u64, String, String)>,
    leases: HashMap<u64, (Instant, Duration)>,
    last_lease: u64,
}

/// A store on an address of its own.
pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
}

fn item_json(key: &str, item: &Item) -> String {
    let Item { value, revision, made, lease } = item;
    format!(r#"{{"key":"{key}","value":"{value}","revision":{revision},"made":{made},"lease":{lease}}}"#)
}

impl State {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        self.revision += 1;
        let made = self.items.get(key).map_or(self.revision, |item| item.made);
        let item = Item { value, revision: self.revision, made, lease };
        self.changes.push((self.revision, key.to_owned(), item_json(key, &item)));
        self.items.insert(key.to_owned(), item);
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            let event = format!(r#"{{"key":"{key}","revision":{},"gone":true}}"#, self.revision);
            self.changes.push((self.revision, key.to_owned(), event));
        }
    }

    fn end_lease(&mut self, lease: u64) -> bool {
        let is_known = self.leases.remove(&lease).is_some();
        let keys: Vec<String> =
            self.items.iter().filter(|(_, item)| item.lease == lease).map(|(key, _)| key.clone()).collect();
        if is_known {
            keys.iter().for_each(|key| self.remove(key));
        }
        is_known
    }

    fn list(&self, prefix: &str, after: &str) -> String {
        let mut matching = self.items.iter().filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
        let page: Vec<String> = matching.by_ref().take(PAGE).map(|(key, item)| item_json(key, item)).collect();
        let more = matching.next().is_some();
        format!(r#"{{"items":[{}],"more":{more},"at":{}}}"#, page.join(","), self.revision)
    }

    /// The events after a revision; `None` if there are none.
    fn events(&self, prefix: &str, after: u64) -> Option<String> {
        let begin = self.changes.partition_point(|(revision, _, _)| *revision <= after);
        let matching = || self.changes[begin..].iter().filter(|(_, key, _)| key.starts_with(prefix));
        let events: Vec<&str> = matching().take(PAGE).map(|(_, _, event)| event.as_str()).collect();
        let last = matching().nth(PAGE - 1).map_or(self.revision, |(revision, _, _)| *revision);
        (!events.is_empty()).then(|| format!(r#"{{"events":[{}],"at":{last}}}"#, events.join(",")))
    }

    fn transact(&mut self, call: &Json) -> (u16, String) {
        let revision_of = |key: &str| self.items.get(key).map_or(0, |item| item.revision);
        let conditions = call.get("expected_revision").items();
        if conditions.iter().any(|row| revision_of(row.get("key").text()) != row.get("revision").number()) {
            let known = conditions.iter().filter_map(|row| self.items.get_key_value(row.get("key").text()));
            let items: Vec<String> = known.map(|(key, item)| item_json(key, item)).collect();
            return (412, format!(r#"{{"items":[{}]}}"#, items.join(",")));
        }
        let puts = call.get("put").items();
        let lacks_lease = |lease: u64| lease != 0 && !self.leases.contains_key(&lease);
        if puts.iter().any(|row| lacks_lease(row.get("lease").number())) {
            return (404, "{}".to_owned());
        }
        for row in puts {
            self.put(row.get("key").text(), row.get("value").text().to_owned(), row.get("lease").number());
        }
        call.get("remove").items().iter().for_each(|key| self.remove(key.text()));
        (200, format!(r#"{{"revision":{}}}"#, self.revision))
    }

    fn grant(&mut self, ttl_ms: u64) -> String {
        self.last_lease += 1;
        let ttl_ms = ttl_ms.max(SHORTEST_LEASE_MS);
        self.leases.insert(self.last_lease, (Instant::now(), Duration::from_millis(ttl_ms)));
        format!(r#"{{"lease":{},"ttl_ms":{ttl_ms}}}"#, self.last_lease)
    }
}

impl Store {
    /// Starts a store; returns it with its address.
    pub fn start() -> (Arc<Self>, SocketAddr) {
        let store = Arc::new(Self { state: Mutex::default(), changed: Condvar::new() });
        let served = store.clone();
        // A connection that breaks is the other side's to open again.
        let address = listen(move |stream| drop(served.serve(stream)));
        let expiring = store.clone();
        thread::spawn(move || expiring.expire_leases());
        (store, address)
    }

    /// Writes a key, as the operator and the upstreams do.
    pub fn put(&self, key: &str, value: &str) {
        self.state.lock().expect("no holder panics").put(key, to_base64(value.as_bytes()), 0);
        self.changed.notify_all();
    }

    fn expire_leases(&self) {
        loop {
            thread::sleep(Duration::from_millis(50));
            let mut state = self.state.lock().expect("no holder panics");
            let over: Vec<u64> =
                state.leases.iter().filter(|(_, (at, ttl))| at.elapsed() > *ttl).map(|(lease, _)| *lease).collect();
            for lease in over {
                state.end_lease(lease);
            }
            drop(state);
            self.changed.notify_all();
        }
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        let (mut reader, mut writer) = split(stream)?;
        while let Some(head) = Head::read(&mut reader)? {
            let body = head.read_body(&mut reader)?;
            let (status, answer) = self.answer(&head.first[0], &head.first[1], &body);
            let length = answer.len();
            let head =
                format!("HTTP/1.1 {status} -\r\nContent-Type: application/json\r\nContent-Length: {length}\r\n\r\n");
            writer.write_all(&[head.as_bytes(), answer.as_bytes()].concat())?;
        }
        Ok(())
    }

    fn answer(&self, method: &str, target: &str, body: &[u8]) -> (u16, String) {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let parameter = |name: &str| {
            let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.into_iter().find(|(other, _)| *other == name).map_or(String::new(), |(_, value)| unescape(value))
        };
        let number = |name: &str| parameter(name).parse().unwrap_or(0);
        let last: u64 = path.rsplit('/').next().and_then(|text| text.parse().ok()).unwrap_or(0);
        let mut state = self.state.lock().expect("no holder panics");
        let ended = |is_known| if is_known { (200, "{}".to_owned()) } else { (404, "{}".to_owned()) };
        match (method, path) {
            ("GET", "/-/kv-key") => match state.items.get(&parameter("key")) {
                Some(item) => {
                    let mut json = item_json(&parameter("key"), item);
                    json.pop();
                    let _ = write!(json, r#","at":{}}}"#, state.revision);
                    (200, json)
                }
                None => ended(false),
            },
            ("GET", "/-/kv-range") => (200, state.list(&parameter("path_prefix"), &parameter("after"))),
            ("GET", "/-/kv-watch") => {
                let (prefix, after) = (parameter("path_prefix"), number("after"));
                let end = Instant::now() + Duration::from_millis(number("wait_ms"));
                loop {
                    if let Some(events) = state.events(&prefix, after) {
                        return (200, events);
                    }
                    let left = end.saturating_duration_since(Instant::now());
                    if left.is_zero() {
                        return (200, format!(r#"{{"events":[],"at":{}}}"#, state.revision.max(after)));
                    }
                    state = self.changed.wait_timeout(state, left).expect("no holder panics").0;
                }
            }
            ("POST", "/-/kv-txn") => {
                let result = state.transact(&Json::parse(body));
                drop(state);
                self.changed.notify_all();
                result
            }
            ("POST", "/-/kv-lease") => (200, state.grant(Json::parse(body).get("ttl_ms").number())),
            ("POST", _) if path.starts_with("/-/kv-keep/") => match state.leases.get_mut(&last) {
                Some((at, ttl)) => {
                    *at = Instant::now();
                    (200, format!(r#"{{"lease":{last},"ttl_ms":{}}}"#, ttl.as_millis()))
                }
                None => ended(false),
            },
            ("DELETE", _) if path.starts_with("/-/kv-lease-end/") => {
                let is_known = state.end_lease(last);
                drop(state);
                self.changed.notify_all();
                ended(is_known)
            }
            _ => ended(false),
        }
    }
}

/// Resolves the escapes of a query.
fn unescape(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let Some((first, others)) = rest.split_first() {
        let code = (*first == b'%').then(|| others.get(..2)).flatten();
        let code = code.and_then(|code| u8::from_str_radix(std::str::from_utf8(code).ok()?, 16).ok());
        bytes.push(code.unwrap_or(if *first == b'+' { b' ' } else { *first }));
        rest = if code.is_some() { &others[2..] } else { others };
    }
    String::from_utf8_lossy(&bytes).into_owned()
}
