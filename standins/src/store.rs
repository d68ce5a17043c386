//! The platform's store: keys with revisions, leases, watches with a bounded
//! history, and its troubles, which each door can have of its own.

use crate::http::{Closed, serve, text};
use crate::ports::own_ip;
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use serde_json::{Value, json};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::task::JoinHandle;

/// Items on one page of a list.
const PAGE: usize = 500;
/// Time between looks after leases that have run out.
const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// How a door answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Trouble {
    /// As it should.
    #[default]
    None,
    /// Not at all.
    Silent,
    /// With 503.
    Busy,
    /// With 429.
    TooMany,
    /// By closing the connection.
    Reset,
    /// Writes are done, their answers lost.
    AnswersLost,
}

#[derive(Clone, Debug)]
struct Stored {
    value: Bytes,
    revision: u64,
    made: u64,
    lease: u64,
}

#[derive(Clone, Debug)]
struct Change {
    key: String,
    revision: u64,
    stored: Option<Stored>,
}

#[derive(Debug)]
struct Lease {
    ttl: Duration,
    until: Instant,
}

#[derive(Debug, Default)]
struct State {
    items: BTreeMap<String, Stored>,
    revision: u64,
    history: Vec<Change>,
    forgotten: u64,
    leases: HashMap<u64, Lease>,
    next_lease: u64,
    calls: HashMap<String, u64>,
}

#[derive(Debug, Default)]
struct Shared {
    state: Mutex<State>,
    changed: Notify,
}

/// A running store.
pub struct Store {
    shared: Arc<Shared>,
    tasks: Mutex<Vec<JoinHandle<()>>>,
}

impl Drop for Store {
    fn drop(&mut self) {
        for task in self.tasks.lock().expect("no holder panics").drain(..) {
            task.abort();
        }
    }
}

/// One address of a store, with its own troubles.
#[derive(Clone)]
pub struct Door {
    /// The address.
    pub address: SocketAddr,
    trouble: Arc<Mutex<(Trouble, Duration)>>,
}

impl Door {
    /// Changes how the door answers.
    pub fn set(&self, trouble: Trouble) {
        self.trouble.lock().expect("no holder panics").0 = trouble;
    }

    /// Changes how long each answer takes.
    pub fn slow(&self, delay: Duration) {
        self.trouble.lock().expect("no holder panics").1 = delay;
    }

    fn now(&self) -> (Trouble, Duration) {
        *self.trouble.lock().expect("no holder panics")
    }
}

impl Store {
    /// Starts an empty store.
    pub fn start() -> Self {
        let shared = Arc::new(Shared::default());
        let leases = tokio::spawn(end_leases(shared.clone()));
        Self { shared, tasks: Mutex::new(vec![leases]) }
    }

    /// Opens a door.
    pub async fn door(&self) -> std::io::Result<Door> {
        let listener = TcpListener::bind((own_ip(), 0)).await?;
        let door = Door { address: listener.local_addr()?, trouble: Arc::default() };
        let (shared, at) = (self.shared.clone(), door.clone());
        let answer = move |request| answer_at(shared.clone(), at.clone(), request);
        let task = serve(listener, answer);
        self.tasks.lock().expect("no holder panics").push(task);
        Ok(door)
    }

    /// Writes a key, as the operator or a target does.
    pub fn put(&self, key: &str, value: impl Into<Bytes>) -> u64 {
        let revision = self.shared.lock().put(key, value.into(), 0);
        self.shared.changed.notify_waiters();
        revision
    }

    /// Removes a key.
    pub fn remove(&self, key: &str) {
        self.shared.lock().remove(key);
        self.shared.changed.notify_waiters();
    }

    /// Removes every key under a prefix, as when leases are revoked.
    pub fn remove_prefix(&self, prefix: &str) {
        for key in self.keys(prefix) {
            self.remove(&key);
        }
    }

    /// Forgets the history: watches from before get 410.
    pub fn compact(&self) {
        let mut state = self.shared.lock();
        state.forgotten = state.revision;
        state.history.clear();
    }

    /// Keys under a prefix.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        self.shared.lock().items.keys().filter(|key| key.starts_with(prefix)).cloned().collect()
    }

    /// Calls of a kind so far, by the last word of its path.
    pub fn calls(&self, kind: &str) -> u64 {
        self.shared.lock().calls.get(kind).copied().unwrap_or(0)
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder panics")
    }
}

impl State {
    fn put(&mut self, key: &str, value: Bytes, lease: u64) -> u64 {
        self.revision += 1;
        let made = self.items.get(key).map_or(self.revision, |known| known.made);
        let stored = Stored { value, revision: self.revision, made, lease };
        self.items.insert(key.to_owned(), stored.clone());
        self.history.push(Change { key: key.to_owned(), revision: self.revision, stored: Some(stored) });
        self.revision
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.history.push(Change { key: key.to_owned(), revision: self.revision, stored: None });
        }
    }

    fn end_lease(&mut self, lease: u64) -> bool {
        if self.leases.remove(&lease).is_none() {
            return false;
        }
        let keys: Vec<String> =
            self.items.iter().filter(|(_, stored)| stored.lease == lease).map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.remove(&key);
        }
        true
    }

    fn events(&self, prefix: &str, after: u64) -> Vec<Value> {
        let seen = self.history.iter().filter(|change| change.revision > after && change.key.starts_with(prefix));
        seen.map(Change::json).collect()
    }
}

impl Change {
    fn json(&self) -> Value {
        match &self.stored {
            Some(stored) => stored.json(&self.key),
            None => json!({"key": self.key, "revision": self.revision, "gone": true}),
        }
    }
}

impl Stored {
    fn json(&self, key: &str) -> Value {
        json!({
            "key": key,
            "value": STANDARD.encode(&self.value),
            "revision": self.revision,
            "made": self.made,
            "lease": self.lease,
        })
    }
}

async fn end_leases(shared: Arc<Shared>) {
    loop {
        tokio::time::sleep(LEASE_CHECK_INTERVAL).await;
        let now = Instant::now();
        let mut state = shared.lock();
        let over: Vec<u64> = state.leases.iter().filter(|(_, lease)| lease.until <= now).map(|(id, _)| *id).collect();
        for lease in &over {
            state.end_lease(*lease);
        }
        drop(state);
        if !over.is_empty() {
            shared.changed.notify_waiters();
        }
    }
}

async fn answer_at(
    shared: Arc<Shared>,
    door: Door,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Closed> {
    let (trouble, delay) = door.now();
    tokio::time::sleep(delay).await;
    match trouble {
        Trouble::Silent => std::future::pending().await,
        Trouble::Reset => return Err(Closed),
        Trouble::Busy => return Ok(text(StatusCode::SERVICE_UNAVAILABLE, "")),
        Trouble::TooMany => return Ok(text(StatusCode::TOO_MANY_REQUESTS, "")),
        Trouble::None | Trouble::AnswersLost => {}
    }
    let writes = request.method() == Method::POST;
    let response = answer(shared, &door, request).await?;
    if writes && door.now().0 == Trouble::AnswersLost {
        std::future::pending::<()>().await;
    }
    Ok(response)
}

async fn answer(shared: Arc<Shared>, door: &Door, request: Request<Incoming>) -> Result<Response<Full<Bytes>>, Closed> {
    let path = request.uri().path().to_owned();
    let query: HashMap<String, String> =
        url::form_urlencoded::parse(request.uri().query().unwrap_or("").as_bytes()).into_owned().collect();
    let call = path.trim_start_matches("/-/").split('/').next().unwrap_or("").to_owned();
    *shared.lock().calls.entry(call.clone()).or_default() += 1;
    let id: u64 = path.rsplit('/').next().and_then(|id| id.parse().ok()).unwrap_or(0);
    let body = request.into_body().collect().await.map_err(|_| Closed)?.to_bytes();
    let body: Value = serde_json::from_slice(&body).unwrap_or_default();
    match call.as_str() {
        "kv-range" => Ok(range(&shared.lock(), &query)),
        "kv-watch" => watch(&shared, door, &query).await,
        "kv-txn" => Ok(transact(&shared, &body)),
        "kv-lease" => Ok(grant(&shared, &body)),
        "kv-keep" => Ok(keep(&shared, id)),
        "kv-lease-end" => Ok(end(&shared, id)),
        _ => Ok(text(StatusCode::NOT_FOUND, "")),
    }
}

fn reply(value: &Value) -> Response<Full<Bytes>> {
    text(StatusCode::OK, value.to_string())
}

fn range(state: &State, query: &HashMap<String, String>) -> Response<Full<Bytes>> {
    let prefix = query.get("path_prefix").map_or("", String::as_str);
    let after = query.get("after").map_or("", String::as_str);
    let mut found = state.items.iter().filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
    let items: Vec<Value> = found.by_ref().take(PAGE).map(|(key, stored)| stored.json(key)).collect();
    reply(&json!({"items": items, "more": found.next().is_some(), "at": state.revision}))
}

async fn watch(shared: &Shared, door: &Door, query: &HashMap<String, String>) -> Result<Response<Full<Bytes>>, Closed> {
    let prefix = query.get("path_prefix").map_or("", String::as_str);
    let number = |name: &str| query.get(name).and_then(|text| text.parse::<u64>().ok()).unwrap_or(0);
    let (after, until) = (number("after"), Instant::now() + Duration::from_millis(number("wait_ms")));
    loop {
        let changed = shared.changed.notified();
        {
            let state = shared.lock();
            if after < state.forgotten {
                return Ok(text(StatusCode::GONE, ""));
            }
            let events = state.events(prefix, after);
            if !events.is_empty() || Instant::now() >= until {
                return Ok(reply(&json!({"events": events, "at": state.revision})));
            }
        }
        let _ = tokio::time::timeout(Duration::from_millis(50), changed).await;
        match door.now().0 {
            Trouble::Reset => return Err(Closed),
            Trouble::Silent => std::future::pending::<()>().await,
            _ => {}
        }
    }
}

fn transact(shared: &Shared, body: &Value) -> Response<Full<Bytes>> {
    let mut state = shared.lock();
    let rows = |name: &str| body[name].as_array().cloned().unwrap_or_default();
    for row in rows("expected_revision") {
        let key = row["key"].as_str().unwrap_or("");
        let found = state.items.get(key).map_or(0, |stored| stored.revision);
        if Some(found) != row["revision"].as_u64() {
            return text(StatusCode::PRECONDITION_FAILED, json!({"items": []}).to_string());
        }
    }
    for row in rows("put") {
        let lease = row["lease"].as_u64().unwrap_or(0);
        if lease != 0 && !state.leases.contains_key(&lease) {
            return text(StatusCode::NOT_FOUND, "");
        }
        let Ok(value) = STANDARD.decode(row["value"].as_str().unwrap_or("")) else {
            return text(StatusCode::BAD_REQUEST, "");
        };
        state.put(row["key"].as_str().unwrap_or(""), value.into(), lease);
    }
    for key in rows("remove") {
        state.remove(key.as_str().unwrap_or(""));
    }
    let revision = state.revision;
    drop(state);
    shared.changed.notify_waiters();
    reply(&json!({"revision": revision}))
}

fn grant(shared: &Shared, body: &Value) -> Response<Full<Bytes>> {
    let mut state = shared.lock();
    let ttl = Duration::from_millis(body["ttl_ms"].as_u64().unwrap_or(1_000));
    state.next_lease += 1;
    let id = state.next_lease;
    state.leases.insert(id, Lease { ttl, until: Instant::now() + ttl });
    reply(&json!({"lease": id, "ttl_ms": ttl.as_millis() as u64}))
}

fn keep(shared: &Shared, id: u64) -> Response<Full<Bytes>> {
    let mut state = shared.lock();
    let Some(lease) = state.leases.get_mut(&id) else { return text(StatusCode::NOT_FOUND, "") };
    lease.until = Instant::now() + lease.ttl;
    reply(&json!({"ttl_ms": lease.ttl.as_millis() as u64}))
}

fn end(shared: &Shared, id: u64) -> Response<Full<Bytes>> {
    let ended = shared.lock().end_lease(id);
    shared.changed.notify_waiters();
    if ended { reply(&json!({})) } else { text(StatusCode::NOT_FOUND, "") }
}
