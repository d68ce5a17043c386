//! A sound stand-in for the platform's store: keys, leases, lists and watches as the pages say.

use crate::http::{parameter, Conn};
use std::collections::{BTreeMap, HashMap};
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

const PAGE: usize = 500;

#[derive(Clone)]
struct Item {
    /// In base64.
    value: String,
    revision: u64,
    made: u64,
    lease: u64,
}

#[derive(Default)]
struct State {
    items: BTreeMap<String, Item>,
    revision: u64,
    history: Vec<(u64, String, Option<Item>)>,
    leases: HashMap<u64, (Duration, Instant)>,
    last_lease: u64,
}

impl State {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        self.revision += 1;
        let made = self.items.get(key).map_or(self.revision, |item| item.made);
        let item = Item { value, revision: self.revision, made, lease };
        self.items.insert(key.to_owned(), item.clone());
        self.history.push((self.revision, key.to_owned(), Some(item)));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.history.push((self.revision, key.to_owned(), None));
        }
    }

    fn end_lease(&mut self, id: u64) -> bool {
        let was = self.leases.remove(&id).is_some();
        let keys: Vec<String> =
            self.items.iter().filter(|(_, item)| was && item.lease == id).map(|(key, _)| key.clone()).collect();
        keys.iter().for_each(|key| self.remove(key));
        was
    }
}

#[derive(Default)]
struct Shared {
    state: Mutex<State>,
    changed: Condvar,
}

#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

impl Store {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has free ports");
        let address = listener.local_addr().expect("it is bound");
        let shared = Arc::new(Shared::default());
        let (for_calls, for_leases) = (shared.clone(), shared.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = for_calls.clone();
                thread::spawn(move || serve(stream, &shared));
            }
        });
        thread::spawn(move || loop {
            thread::sleep(Duration::from_millis(20));
            let mut state = lock(&for_leases);
            let now = Instant::now();
            let over: Vec<u64> = state.leases.iter().filter(|(_, (_, end))| *end <= now).map(|(id, _)| *id).collect();
            for id in &over {
                state.end_lease(*id);
            }
            drop(state);
            if !over.is_empty() {
                for_leases.changed.notify_all();
            }
        });
        Self { address, shared }
    }

    /// Writes a key as the operator or an upstream does.
    pub fn put(&self, key: &str, value: &str) {
        lock(&self.shared).put(key, base64(value.as_bytes()), 0);
        self.shared.changed.notify_all();
    }
}

fn lock(shared: &Shared) -> MutexGuard<'_, State> {
    shared.state.lock().expect("no holder panics")
}

fn serve(stream: TcpStream, shared: &Shared) {
    let mut conn = Conn::new(stream);
    while let Ok(Some(head)) = conn.head() {
        let Ok(body) = conn.body(head.length()) else { return };
        let body = String::from_utf8_lossy(&body).into_owned();
        let target = head.second_word().to_owned();
        let path = target.split('?').next().unwrap_or("").to_owned();
        let (status, text) = match path.trim_start_matches("/-/").split('/').next().unwrap_or("") {
            "kv-range" => list(shared, &target),
            "kv-watch" => watch(shared, &target),
            "kv-txn" => transact(shared, &body),
            "kv-lease" => grant(shared, &body),
            "kv-keep" => renew(shared, last_number(&path)),
            "kv-lease-end" => {
                let ended = lock(shared).end_lease(last_number(&path));
                shared.changed.notify_all();
                if ended {
                    (200, "{}".to_owned())
                } else {
                    (404, String::new())
                }
            }
            _ => (404, String::new()),
        };
        let answer = format!(
            "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{text}",
            text.len()
        );
        if conn.stream.write_all(answer.as_bytes()).is_err() {
            return;
        }
    }
}

fn last_number(path: &str) -> u64 {
    path.rsplit('/').next().and_then(|text| text.parse().ok()).unwrap_or(0)
}

fn item_json(key: &str, item: &Item) -> String {
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{}\",\"revision\":{},\"made\":{},\"lease\":{}}}",
        item.value, item.revision, item.made, item.lease
    )
}

fn list(shared: &Shared, target: &str) -> (u16, String) {
    let (prefix, after) = (parameter(target, "path_prefix"), parameter(target, "after"));
    let state = lock(shared);
    let mut found = state.items.iter().filter(|(key, _)| key.starts_with(&prefix) && **key > after);
    let items: Vec<String> = found.by_ref().take(PAGE).map(|(key, item)| item_json(key, item)).collect();
    let more = found.next().is_some();
    (200, format!("{{\"items\":[{}],\"more\":{more},\"at\":{}}}", items.join(","), state.revision))
}

fn watch(shared: &Shared, target: &str) -> (u16, String) {
    let prefix = parameter(target, "path_prefix");
    let after: u64 = parameter(target, "after").parse().unwrap_or(0);
    let wait = Duration::from_millis(parameter(target, "wait_ms").parse().unwrap_or(0));
    let end = Instant::now() + wait;
    let mut state = lock(shared);
    loop {
        let changes: Vec<&(u64, String, Option<Item>)> =
            state.history.iter().filter(|(at, key, _)| *at > after && key.starts_with(&prefix)).take(PAGE).collect();
        let now = Instant::now();
        if !changes.is_empty() || now >= end {
            let at = if changes.len() == PAGE { changes[PAGE - 1].0 } else { state.revision };
            let events: Vec<String> = changes
                .iter()
                .map(|(revision, key, item)| match item {
                    Some(item) => item_json(key, item),
                    None => format!("{{\"key\":\"{key}\",\"revision\":{revision},\"gone\":true}}"),
                })
                .collect();
            return (200, format!("{{\"events\":[{}],\"at\":{at}}}", events.join(",")));
        }
        state = shared.changed.wait_timeout(state, end - now).expect("no holder panics").0;
    }
}

/// The text of a field that stands after `from` in compact JSON, and where it ends.
fn text_field(json: &str, name: &str, from: usize) -> Option<(String, usize)> {
    let mark = format!("\"{name}\":\"");
    let begin = json[from..].find(&mark)? + from + mark.len();
    let end = json[begin..].find('"')? + begin;
    Some((json[begin..end].to_owned(), end))
}

fn number_field(json: &str, name: &str, from: usize) -> Option<u64> {
    let mark = format!("\"{name}\":");
    let begin = json[from..].find(&mark)? + from + mark.len();
    let digits: String = json[begin..].chars().take_while(char::is_ascii_digit).collect();
    digits.parse().ok()
}

/// A transaction of one write, as the instances make them.
fn transact(shared: &Shared, body: &str) -> (u16, String) {
    let puts = body.find("\"put\":").unwrap_or(0);
    let mut state = lock(shared);
    if let Some((key, at)) = text_field(&body[..puts], "key", 0) {
        let expected = number_field(body, "revision", at).unwrap_or(0);
        if state.items.get(&key).map_or(0, |item| item.revision) != expected {
            return (412, "{\"items\":[]}".to_owned());
        }
    }
    let Some((key, at)) = text_field(body, "key", puts) else { return (400, String::new()) };
    let Some((value, at)) = text_field(body, "value", at) else { return (400, String::new()) };
    let lease = number_field(body, "lease", at).unwrap_or(0);
    if lease != 0 && !state.leases.contains_key(&lease) {
        return (404, String::new());
    }
    state.put(&key, value, lease);
    let answer = format!("{{\"revision\":{}}}", state.revision);
    drop(state);
    shared.changed.notify_all();
    (200, answer)
}

fn grant(shared: &Shared, body: &str) -> (u16, String) {
    let ttl = number_field(body, "ttl_ms", 0).unwrap_or(1_000);
    let mut state = lock(shared);
    state.last_lease += 1;
    let id = state.last_lease;
    let time = Duration::from_millis(ttl);
    state.leases.insert(id, (time, Instant::now() + time));
    (200, format!("{{\"lease\":{id},\"ttl_ms\":{ttl}}}"))
}

fn renew(shared: &Shared, id: u64) -> (u16, String) {
    let mut state = lock(shared);
    let Some((ttl, end)) = state.leases.get_mut(&id) else { return (404, String::new()) };
    *end = Instant::now() + *ttl;
    (200, format!("{{\"ttl_ms\":{}}}", ttl.as_millis()))
}

fn base64(bytes: &[u8]) -> String {
    const SIGNS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let word = chunk.iter().enumerate().fold(0u32, |word, (at, byte)| word | u32::from(*byte) << (16 - 8 * at));
        for at in 0..4 {
            let sign = SIGNS[(word >> (18 - 6 * at) & 63) as usize] as char;
            out.push(if at <= chunk.len() { sign } else { '=' });
        }
    }
    out
}
