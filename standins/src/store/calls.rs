//! The store's calls: each path with its question and its answer.

use super::state::State;
use super::{Endpoint, ListFault, Shared, Trouble, WatchFault};
use crate::http::{Closed, text};
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use http_body_util::{BodyExt, Full};
use hyper::body::{Bytes, Incoming};
use hyper::{Method, Request, Response, StatusCode, Uri};
use serde_json::{Value, json};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Items on one page of a list, and changes in the answer to one watch.
const PAGE: usize = 500;
/// Time of a lease where the request gives none.
const DEFAULT_TTL: Duration = Duration::from_secs(1);
/// Time after which a watch looks again whether its endpoint has a trouble.
const WATCH_CHECK_INTERVAL: Duration = Duration::from_millis(50);

type Answer = Response<Full<Bytes>>;

/// Answers a call as its endpoint's trouble says.
pub async fn answer(shared: Arc<Shared>, endpoint: Endpoint, request: Request<Incoming>) -> Result<Answer, Closed> {
    let trouble = endpoint.trouble();
    tokio::time::sleep(endpoint.delay()).await;
    match trouble {
        Trouble::Silent => std::future::pending().await,
        Trouble::Reset => return Err(Closed),
        Trouble::Busy => return Ok(shared.lock().add_era_header(text(StatusCode::SERVICE_UNAVAILABLE, ""))),
        Trouble::TooMany => return Ok(shared.lock().add_era_header(text(StatusCode::TOO_MANY_REQUESTS, ""))),
        Trouble::None | Trouble::AnswersLost => {}
    }
    let writes = request.method() == Method::POST;
    let response = dispatch(&shared, &endpoint, request).await?;
    if writes && endpoint.trouble() == Trouble::AnswersLost {
        std::future::pending::<()>().await;
    }
    Ok(response)
}

async fn dispatch(shared: &Shared, endpoint: &Endpoint, request: Request<Incoming>) -> Result<Answer, Closed> {
    let query = Query::of(request.uri());
    let (method, path) = (request.method().clone(), request.uri().path().to_owned());
    let call = path.trim_start_matches("/-/").split('/').next().unwrap_or("").to_owned();
    *shared.lock().calls.entry(call.clone()).or_default() += 1;
    let lease: u64 = path.rsplit('/').next().and_then(|id| id.parse().ok()).unwrap_or(0);
    let body = request.into_body().collect().await.map_err(|_| Closed)?.to_bytes();
    // Calls without a body read nothing from it.
    let body: Value = serde_json::from_slice(&body).unwrap_or_default();
    if call == "kv-watch" {
        return watch(shared, endpoint, &query).await;
    }
    let mut state = shared.lock();
    let answer = match call.as_str() {
        "kv-range" => list(&state, &query, endpoint.list_fault())?,
        "kv-txn" => transact(&mut state, &body),
        "kv-lease" => grant_lease(&mut state, &body),
        "kv-keep" => renew_lease(&mut state, lease),
        "kv-lease-end" => end_lease(&mut state, lease),
        _ => text(StatusCode::NOT_FOUND, ""),
    };
    let answer = state.add_era_header(answer);
    drop(state);
    if method != Method::GET {
        shared.changed.notify_waiters();
    }
    Ok(answer)
}

/// Parameters of a call.
struct Query(HashMap<String, String>);

impl Query {
    fn of(uri: &Uri) -> Self {
        Self(url::form_urlencoded::parse(uri.query().unwrap_or("").as_bytes()).into_owned().collect())
    }

    /// Empty where absent.
    fn text(&self, name: &str) -> &str {
        self.0.get(name).map_or("", String::as_str)
    }

    /// 0 where absent.
    fn number(&self, name: &str) -> u64 {
        self.text(name).parse().unwrap_or(0)
    }
}

fn reply(value: &Value) -> Answer {
    text(StatusCode::OK, value.to_string())
}

fn list(state: &State, query: &Query, fault: ListFault) -> Result<Answer, Closed> {
    let (prefix, after) = (query.text("path_prefix"), query.text("after"));
    let page_size = state.page_size.unwrap_or(PAGE);
    let fault = if state.items.keys().any(|key| key.starts_with(prefix)) { fault } else { ListFault::None };
    let (after, page_size, says_more) = match fault {
        ListFault::None => (after, page_size, false),
        ListFault::Refused => return Ok(text(StatusCode::SERVICE_UNAVAILABLE, "")),
        ListFault::LaterPagesCut if !after.is_empty() => return Err(Closed),
        ListFault::LaterPagesCut => (after, page_size, false),
        ListFault::EmptyPage => (after, 0, true),
        ListFault::SamePage => ("", page_size, true),
    };
    let mut found = state.items.iter().filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
    let items: Vec<Value> = found.by_ref().take(page_size).map(|(key, item)| item.to_json(key)).collect();
    let at = state.claimed_revision.filter(|_| !items.is_empty()).unwrap_or(state.revision);
    let more = found.next().is_some() || says_more;
    Ok(reply(&json!({"items": items, "more": more, "at": at})))
}

/// Answers once something has changed or the time is over.
async fn watch(shared: &Shared, endpoint: &Endpoint, query: &Query) -> Result<Answer, Closed> {
    let (prefix, after) = (query.text("path_prefix"), query.number("after"));
    let end = Instant::now() + Duration::from_millis(query.number("wait_ms"));
    let is_later = |state: &State| after > state.revision && !state.waits_for_later;
    if is_later(&shared.lock()) {
        return Ok(shared.lock().add_era_header(text(StatusCode::GONE, "")));
    }
    loop {
        let changed = shared.changed.notified();
        match endpoint.watch_fault() {
            WatchFault::None => {}
            WatchFault::Silent => std::future::pending().await,
            WatchFault::Refused => return Ok(shared.lock().add_era_header(text(StatusCode::TOO_MANY_REQUESTS, ""))),
            WatchFault::Gone => return Ok(shared.lock().add_era_header(text(StatusCode::GONE, ""))),
        }
        if let Some(answer) = changes(&shared.lock(), prefix, after, end) {
            return Ok(answer);
        }
        // The end of the pause is as good as a change: both lead to a look.
        let _ = tokio::time::timeout(WATCH_CHECK_INTERVAL, changed).await;
        match endpoint.trouble() {
            Trouble::Reset => return Err(Closed),
            Trouble::Silent => std::future::pending::<()>().await,
            _ => {}
        }
    }
}

/// The answer to a watch, `None` where it has to wait.
fn changes(state: &State, prefix: &str, after: u64, end: Instant) -> Option<Answer> {
    if after < state.compacted {
        return Some(state.add_era_header(text(StatusCode::GONE, "")));
    }
    let (events, at) = state.changes(prefix, after, PAGE);
    let at = state.claimed_revision.unwrap_or(at);
    let is_due = !events.is_empty() || Instant::now() >= end;
    is_due.then(|| state.add_era_header(reply(&json!({"events": events, "at": at}))))
}

fn rows<'a>(body: &'a Value, name: &str) -> impl Iterator<Item = &'a Value> {
    body[name].as_array().into_iter().flatten()
}

/// Writes and removes keys, all or none, where they have the expected
/// revisions.
fn transact(state: &mut State, body: &Value) -> Answer {
    let is_expected = |row: &Value| {
        let found = state.items.get(row["key"].as_str().unwrap_or("")).map_or(0, |item| item.revision);
        Some(found) == row["revision"].as_u64()
    };
    if !rows(body, "expected_revision").all(is_expected) {
        return text(StatusCode::PRECONDITION_FAILED, json!({"items": []}).to_string());
    }
    for row in rows(body, "put") {
        let lease = row["lease"].as_u64().unwrap_or(0);
        if lease != 0 && !state.has_lease(lease) {
            return text(StatusCode::NOT_FOUND, "");
        }
        let Ok(value) = STANDARD.decode(row["value"].as_str().unwrap_or("")) else {
            return text(StatusCode::BAD_REQUEST, "");
        };
        state.put(row["key"].as_str().unwrap_or(""), value.into(), lease);
    }
    for key in rows(body, "remove") {
        state.remove(key.as_str().unwrap_or(""));
    }
    reply(&json!({"revision": state.revision}))
}

fn grant_lease(state: &mut State, body: &Value) -> Answer {
    let ttl = body["ttl_ms"].as_u64().map_or(DEFAULT_TTL, Duration::from_millis);
    let lease = state.grant_lease(ttl);
    reply(&json!({"lease": lease, "ttl_ms": ttl.as_millis() as u64}))
}

fn renew_lease(state: &mut State, id: u64) -> Answer {
    match state.renew_lease(id) {
        Some(ttl) => reply(&json!({"ttl_ms": ttl.as_millis() as u64})),
        None => text(StatusCode::NOT_FOUND, ""),
    }
}

fn end_lease(state: &mut State, id: u64) -> Answer {
    if state.end_lease(id) { reply(&json!({})) } else { text(StatusCode::NOT_FOUND, "") }
}
