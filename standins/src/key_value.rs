//! The platform's service: keys with versions, leases, watches, a list of
//! instances; and its faults, set from its own control path.

use crate::http::{serve, text};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use lockloft::key_value::Listed;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::task::JoinHandle;

/// Largest value.
const MAX_VALUE: usize = 1 << 20;

/// What is wrong with the platform, the body of `POST /control`.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct Faults {
    /// No call is answered.
    pub down: bool,
    /// Each call waits so long, in milliseconds.
    pub slow_ms: u64,
    /// Share of writes whose reply is lost after they took effect.
    pub lost: f64,
    /// Age of the list that is shown, in milliseconds.
    pub lag_ms: u64,
    /// Leases lapse at once.
    pub lapse: bool,
    /// Calls a second, 0 for no bound.
    pub rate: u32,
}

struct Value {
    version: u64,
    bytes: Bytes,
    lease: Option<u64>,
}

#[derive(Default)]
struct State {
    values: BTreeMap<String, Value>,
    versions: HashMap<String, u64>,
    leases: HashMap<u64, Instant>,
    next_lease: u64,
    list: Vec<(Instant, Vec<Listed>)>,
    faults: Faults,
    calls: BTreeMap<String, u64>,
    window: Option<(Instant, u32)>,
    drawn: u64,
}

/// A running platform stand-in.
pub struct KeyValue {
    /// Where it listens.
    pub address: SocketAddr,
    shared: Arc<Shared>,
    task: JoinHandle<()>,
}

struct Shared {
    state: Mutex<State>,
    changed: Notify,
}

impl Drop for KeyValue {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl KeyValue {
    /// Starts on `address`.
    pub async fn start(address: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared { state: Mutex::default(), changed: Notify::new() });
        let served = shared.clone();
        let answer = move |request| {
            let answered = answer(served.clone(), request);
            async move { Ok(answered.await) }
        };
        let task = serve(listener, Arc::new(|| Duration::ZERO), answer);
        Ok(Self { address, shared, task })
    }

    fn state(&self) -> std::sync::MutexGuard<'_, State> {
        self.shared.state.lock().expect("no holder panics")
    }

    /// Sets its faults.
    pub fn set(&self, faults: Faults) {
        self.state().faults = faults;
        self.shared.changed.notify_waiters();
    }

    /// Sets its list of instances.
    pub fn list(&self, lines: Vec<Listed>) {
        self.state().list.push((Instant::now(), lines));
    }

    /// The list as it is in truth.
    pub fn listed(&self) -> Vec<Listed> {
        self.state().list.last().map(|(_, l)| l.clone()).unwrap_or_default()
    }

    /// Calls so far, by kind.
    pub fn calls(&self) -> BTreeMap<String, u64> {
        self.state().calls.clone()
    }

    /// A value.
    pub fn value(&self, key: &str) -> Option<Bytes> {
        self.state().values.get(key).map(|v| v.bytes.clone())
    }

    /// Forgets a key, as a store restored from an old copy does.
    pub fn forget(&self, key: &str) {
        self.state().values.remove(key);
    }
}

async fn answer(shared: Arc<Shared>, request: Request<Incoming>) -> Response<Full<Bytes>> {
    let path = request.uri().path().to_owned();
    if path == "/control" {
        return control(&shared, request).await;
    }
    let query = Query::new(request.uri().query().unwrap_or(""));
    let kind = kind(request.method(), &path, &query);
    let faults = {
        let mut state = shared.state.lock().expect("no holder panics");
        *state.calls.entry(kind).or_default() += 1;
        if state.over_rate() {
            let mut response = text(StatusCode::TOO_MANY_REQUESTS, "over the rate");
            response.headers_mut().insert("retry-after", "1".parse().expect("a number"));
            return response;
        }
        state.faults
    };
    if faults.down {
        return std::future::pending().await;
    }
    tokio::time::sleep(Duration::from_millis(faults.slow_ms)).await;
    let method = request.method().clone();
    let response = match (method, path.as_str()) {
        (Method::GET, "/instances") => instances(&shared),
        (Method::GET, "/kv") => list(&shared, query.get("prefix")),
        (Method::POST, "/lease") => grant(&shared, &query),
        (Method::POST, path) if path.starts_with("/lease/") => renew(&shared, &path[7..], &query),
        (Method::GET, path) if path.starts_with("/kv/") => read(&shared, &path[4..], &query).await,
        (Method::PUT, path) if path.starts_with("/kv/") => {
            let key = path[4..].to_owned();
            return write(&shared, key, request, &query, faults).await;
        }
        (Method::DELETE, path) if path.starts_with("/kv/") => remove(&shared, &path[4..], &request),
        _ => text(StatusCode::NOT_FOUND, "no such path"),
    };
    if shared.state.lock().expect("no holder panics").faults.down {
        return std::future::pending().await;
    }
    response
}

fn kind(method: &Method, path: &str, query: &Query) -> String {
    match (method, path) {
        (_, "/instances") => "instances".into(),
        (_, "/kv") => "list".into(),
        (_, path) if path.starts_with("/lease") => "lease".into(),
        (&Method::GET, _) if !query.get("wait_ms").is_empty() => "watch".into(),
        (method, _) => method.as_str().to_ascii_lowercase(),
    }
}

impl State {
    fn over_rate(&mut self) -> bool {
        let rate = self.faults.rate;
        if rate == 0 {
            return false;
        }
        match &mut self.window {
            Some((since, count)) if since.elapsed() < Duration::from_secs(1) => {
                *count += 1;
                *count > rate
            }
            window => {
                *window = Some((Instant::now(), 1));
                false
            }
        }
    }

    fn expire(&mut self) {
        let lapse = self.faults.lapse;
        self.leases.retain(|_, until| !lapse && *until > Instant::now());
        let leases = &self.leases;
        self.values.retain(|_, v| v.lease.is_none_or(|l| leases.contains_key(&l)));
    }

    /// Whether this write's reply is lost; every so-many-th, so that a share
    /// is met exactly.
    fn loses(&mut self) -> bool {
        let before = (self.drawn as f64 * self.faults.lost) as u64;
        self.drawn += 1;
        (self.drawn as f64 * self.faults.lost) as u64 > before
    }
}

async fn control(shared: &Shared, request: Request<Incoming>) -> Response<Full<Bytes>> {
    let Ok(body) = request.into_body().collect().await else { return text(StatusCode::BAD_REQUEST, "no body") };
    match serde_json::from_slice(&body.to_bytes()) {
        Ok(faults) => {
            shared.state.lock().expect("no holder panics").faults = faults;
            text(StatusCode::OK, "set\n")
        }
        Err(error) => text(StatusCode::BAD_REQUEST, error.to_string()),
    }
}

fn instances(shared: &Shared) -> Response<Full<Bytes>> {
    let state = shared.state.lock().expect("no holder panics");
    let lag = Duration::from_millis(state.faults.lag_ms);
    let shown = state.list.iter().rev().find(|(at, _)| at.elapsed() >= lag).or(state.list.first());
    let lines = shown.map(|(_, l)| l.clone()).unwrap_or_default();
    text(StatusCode::OK, serde_json::to_vec(&lines).expect("plain data"))
}

fn list(shared: &Shared, prefix: &str) -> Response<Full<Bytes>> {
    #[derive(Serialize)]
    struct Line<'a> {
        key: &'a str,
        version: u64,
    }
    let mut state = shared.state.lock().expect("no holder panics");
    state.expire();
    let lines = state.values.iter().filter(|(k, _)| k.starts_with(prefix));
    let lines: Vec<Line> = lines.map(|(key, v)| Line { key, version: v.version }).collect();
    text(StatusCode::OK, serde_json::to_vec(&lines).expect("plain data"))
}

fn grant(shared: &Shared, query: &Query) -> Response<Full<Bytes>> {
    let mut state = shared.state.lock().expect("no holder panics");
    state.next_lease += 1;
    let id = state.next_lease;
    let ttl = Duration::from_millis(query.number("ttl_ms").unwrap_or(1_000));
    state.leases.insert(id, Instant::now() + ttl);
    text(StatusCode::OK, id.to_string())
}

fn renew(shared: &Shared, id: &str, query: &Query) -> Response<Full<Bytes>> {
    let mut state = shared.state.lock().expect("no holder panics");
    state.expire();
    let ttl = Duration::from_millis(query.number("ttl_ms").unwrap_or(1_000));
    match id.parse().ok().and_then(|id: u64| state.leases.get_mut(&id)) {
        Some(until) => {
            *until = Instant::now() + ttl;
            text(StatusCode::OK, "renewed")
        }
        None => text(StatusCode::NOT_FOUND, "lapsed"),
    }
}

async fn read(shared: &Shared, key: &str, query: &Query) -> Response<Full<Bytes>> {
    let after = query.number("after");
    let until = Instant::now() + Duration::from_millis(query.number("wait_ms").unwrap_or(0));
    loop {
        let changed = shared.changed.notified();
        {
            let mut state = shared.state.lock().expect("no holder panics");
            state.expire();
            match (state.values.get(key), after) {
                (Some(value), None) => return found(value),
                (Some(value), Some(after)) if value.version > after => return found(value),
                (None, None) => return text(StatusCode::NOT_FOUND, "absent"),
                _ => {}
            }
        }
        if tokio::time::timeout_at(until.into(), changed).await.is_err() {
            return text(StatusCode::NOT_MODIFIED, "");
        }
    }
}

fn found(value: &Value) -> Response<Full<Bytes>> {
    let mut response = text(StatusCode::OK, value.bytes.clone());
    response.headers_mut().insert("etag", etag(value.version));
    response
}

fn etag(version: u64) -> hyper::header::HeaderValue {
    format!("\"{version}\"").parse().expect("a quoted number")
}

fn expected(request: &Request<Incoming>, name: &str) -> Option<String> {
    request.headers().get(name).and_then(|v| v.to_str().ok()).map(|t| t.trim_matches('"').to_owned())
}

async fn write(
    shared: &Shared,
    key: String,
    request: Request<Incoming>,
    query: &Query,
    faults: Faults,
) -> Response<Full<Bytes>> {
    let wanted = expected(&request, "if-match");
    let absent = expected(&request, "if-none-match").is_some();
    let Ok(body) = request.into_body().collect().await else { return text(StatusCode::BAD_REQUEST, "no body") };
    let bytes = body.to_bytes();
    if bytes.len() > MAX_VALUE {
        return text(StatusCode::PAYLOAD_TOO_LARGE, "over a megabyte");
    }
    let (version, lost) = {
        let mut state = shared.state.lock().expect("no holder panics");
        state.expire();
        let version = state.values.get(&key).map(|v| v.version);
        let met = match (&wanted, absent) {
            (Some(wanted), _) => version.map(|v| v.to_string()) == Some(wanted.clone()),
            (None, true) => version.is_none(),
            (None, false) => true,
        };
        if !met {
            return text(StatusCode::PRECONDITION_FAILED, "another version");
        }
        let counter = state.versions.entry(key.clone()).or_default();
        *counter += 1;
        let version = *counter;
        let lease = query.number("lease");
        state.values.insert(key, Value { version, bytes, lease });
        (version, faults.lost > 0.0 && state.loses())
    };
    shared.changed.notify_waiters();
    if lost {
        return std::future::pending().await;
    }
    let mut response = text(StatusCode::OK, "");
    response.headers_mut().insert("etag", etag(version));
    response
}

fn remove(shared: &Shared, key: &str, request: &Request<Incoming>) -> Response<Full<Bytes>> {
    let mut state = shared.state.lock().expect("no holder panics");
    let version = state.values.get(key).map(|v| v.version.to_string());
    match (version, expected(request, "if-match")) {
        (None, _) => text(StatusCode::NOT_FOUND, "absent"),
        (Some(version), Some(wanted)) if version != wanted => text(StatusCode::PRECONDITION_FAILED, "another version"),
        _ => {
            state.values.remove(key);
            text(StatusCode::OK, "")
        }
    }
}

struct Query(HashMap<String, String>);

impl Query {
    fn new(text: &str) -> Self {
        let pairs = text.split('&').filter_map(|p| p.split_once('='));
        Self(pairs.map(|(k, v)| (k.to_owned(), v.to_owned())).collect())
    }

    fn get(&self, name: &str) -> &str {
        self.0.get(name).map_or("", String::as_str)
    }

    fn number(&self, name: &str) -> Option<u64> {
        self.get(name).parse().ok()
    }
}
