//! A caller's request: understood, sent to a target, tried again only where
//! that is safe, and answered.

use super::body::{AnswerBody, RequestBody, Through};
use super::catalog::{Catalog, Part, Repeat, Route};
use super::choice::{NoTarget, Query, Warming, choose, hash_object};
use super::exchange::{Exchange, Fault};
use super::headers::remove_hop_by_hop;
use super::platform::Platform;
use super::policy::{Active, RequestFacts, Trial};
use super::refusal::Refusal;
use super::settings::Settings;
use super::state::Entry;
use super::stop::takes_requests;
use super::target::Target;
use super::world::World;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Incoming};
use hyper::header::{HOST, HeaderValue};
use hyper::http::request::Parts;
use hyper::{HeaderMap, Request, Response, StatusCode, Uri, Version};
use std::cell::Cell;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

/// The outcome of a request that a target answered.
const ANSWERED: &str = "answered";
/// Time that a request without a deadline gets.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(30);
/// How long a request waits for the first configuration.
const FIRST_CATALOG: Duration = Duration::from_millis(250);
/// How much before the caller's deadline its answer is sent.
const DEADLINE_MARGIN: Duration = Duration::from_millis(15);
/// The least time left with which a request is sent.
const LEAST_LEFT: Duration = Duration::from_millis(5);
/// Request bodies up to this size are held whole.
const HELD_BODY: u64 = 512 * 1024;
/// Part of the memory that held request bodies may take.
const HELD_PART: u64 = 8;
/// Tries that reached no target at all, besides those that did.
const UNREACHABLE_TRIES: u32 = 2;

/// What came of a request, for its line in the log.
#[derive(Debug, Default)]
struct Story {
    route: Option<Rc<str>>,
    service: Option<Rc<str>>,
    target: Option<Rc<Target>>,
    version: u64,
    sends: u32,
    load: f64,
    policies: Vec<String>,
}

/// Answers a caller's request.
pub async fn serve<P: Platform>(entry: &Entry<P>, request: Request<Incoming>) -> Response<AnswerBody> {
    let started = Instant::now();
    entry.last_request.set(started);
    let id = request.headers().get(&entry.names.request_id).cloned();
    let mut story = Story::default();
    let served = route(entry, request, started, &mut story).await;
    let (outcome, response) = match served {
        Ok(response) => (ANSWERED, response),
        Err(refusal) => (refusal.word(), refusal.answer()),
    };
    let took = started.elapsed();
    entry.metrics.requests.with_label_values(&[outcome]).inc();
    entry.metrics.latency.with_label_values(&[outcome]).observe(took.as_secs_f64());
    if outcome != ANSWERED || entry.log.lines().takes_success(std::time::Instant::now()) {
        tell(entry, id.as_ref(), &story, outcome, response.status(), took);
    }
    response
}

/// Writes the line of a request that has ended.
fn tell<P: Platform>(
    entry: &Entry<P>,
    id: Option<&HeaderValue>,
    story: &Story,
    outcome: &'static str,
    status: StatusCode,
    took: Duration,
) {
    tracing::info!(
        event = "request",
        id = id.and_then(|id| id.to_str().ok()),
        route = story.route.as_deref(),
        service = story.service.as_deref(),
        target = story.target.as_ref().map(|target| &*target.id),
        hall = story.target.as_ref().map(|target| &*target.hall),
        load = story.load,
        sends = story.sends,
        config = story.version,
        policies = (!story.policies.is_empty()).then(|| story.policies.join(",")),
        view_age_ms = entry.knowledge_age().map(|age| age.as_millis() as u64),
        outcome,
        status = status.as_u16(),
        took_ms = took.as_millis() as u64,
    );
}

async fn route<P: Platform>(
    entry: &Entry<P>,
    request: Request<Incoming>,
    started: Instant,
    story: &mut Story,
) -> Result<Response<AnswerBody>, Refusal> {
    if !takes_requests(entry) {
        return Err(Refusal::Stopping);
    }
    let catalog = known_catalog(entry).await.ok_or(Refusal::NoCatalog)?;
    story.version = catalog.version;
    let host = host_of(&request).ok_or(Refusal::Malformed)?;
    let key = catalog.find(host, request.uri().path()).ok_or(Refusal::NoRoute)?;
    let route = catalog.route(key);
    story.route = Some(route.name.clone());
    let deadline = match number(request.headers(), &entry.names.deadline_ms) {
        Ok(Some(left)) => started + Duration::from_millis(left).saturating_sub(DEADLINE_MARGIN),
        Ok(None) => started + DEFAULT_DEADLINE,
        Err(()) => return Err(Refusal::Malformed),
    };
    let until = route.timeout.map_or(deadline, |timeout| deadline.min(started + timeout));
    let (mut parts, incoming) = request.into_parts();
    let body = read_body(entry, &catalog, incoming, until).await?;
    clean(&mut parts)?;
    Attempt { entry, catalog: &catalog, route, parts, started, until, trial: Trial::default() }.run(body, story).await
}

/// The configuration in force. A process that has just started knows it within
/// a few milliseconds; callers that come before wait that long.
async fn known_catalog<P: Platform>(entry: &Entry<P>) -> Option<Rc<Catalog>> {
    let until = Instant::now() + FIRST_CATALOG;
    loop {
        let changed = entry.view_changed.notified();
        if let Some(catalog) = &entry.world.borrow().catalog {
            return Some(catalog.clone());
        }
        timeout_at(until, changed).await.ok()?;
    }
}

fn host_of(request: &Request<Incoming>) -> Option<&str> {
    match request.uri().host() {
        Some(host) => Some(host),
        None => request.headers().get(HOST).and_then(|value| value.to_str().ok()),
    }
}

fn number(headers: &HeaderMap, name: &hyper::header::HeaderName) -> Result<Option<u64>, ()> {
    let Some(value) = headers.get(name) else { return Ok(None) };
    value.to_str().ok().and_then(|text| text.trim().parse().ok()).map(Some).ok_or(())
}

/// Leaves what travels on: no headers of one connection, the path alone.
fn clean(parts: &mut Parts) -> Result<(), Refusal> {
    remove_hop_by_hop(&mut parts.headers);
    if parts.uri.authority().is_some() {
        let path = parts.uri.path_and_query().ok_or(Refusal::Malformed)?.clone();
        parts.uri = Uri::from(path);
    }
    Ok(())
}

/// A request's body, held whole where that costs little.
enum Held {
    Whole { bytes: Bytes, _held: HeldBytes },
    Through(Option<Through>),
}

async fn read_body<P: Platform>(
    entry: &Entry<P>,
    catalog: &Catalog,
    mut incoming: Incoming,
    until: Instant,
) -> Result<Held, Refusal> {
    let hint = incoming.size_hint();
    let most = catalog.limits.body_bytes;
    if hint.lower() > most {
        return Err(Refusal::TooLarge);
    }
    if incoming.is_end_stream() {
        return Ok(Held::Whole { bytes: Bytes::new(), _held: HeldBytes::none(&entry.held_bytes) });
    }
    let mut held = HeldBytes::none(&entry.held_bytes);
    let mut chunks = VecDeque::new();
    let room = entry.settings.borrow().memory / HELD_PART;
    while hint.lower() <= HELD_BODY && held.own <= HELD_BODY && entry.held_bytes.get() <= room {
        let frame = match timeout_at(until, incoming.frame()).await {
            Err(_) | Ok(Some(Err(_))) => return Err(Refusal::BrokenBody),
            Ok(Some(Ok(frame))) => frame,
            Ok(None) => return Ok(Held::Whole { bytes: join(chunks), _held: held }),
        };
        if let Ok(chunk) = frame.into_data() {
            held.add(chunk.len() as u64);
            chunks.push_back(chunk);
        }
    }
    let allowance = most.checked_sub(held.own).ok_or(Refusal::TooLarge)?;
    Ok(Held::Through(Some(Through::new(chunks, incoming, allowance))))
}

/// Bytes of one body that are held, counted in a total until they are let go.
struct HeldBytes {
    total: Rc<Cell<u64>>,
    own: u64,
}

impl HeldBytes {
    fn none(total: &Rc<Cell<u64>>) -> Self {
        Self { total: total.clone(), own: 0 }
    }

    fn add(&mut self, bytes: u64) {
        self.own += bytes;
        self.total.set(self.total.get() + bytes);
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        self.total.set(self.total.get() - self.own);
    }
}

fn join(mut chunks: VecDeque<Bytes>) -> Bytes {
    match chunks.len() {
        0 => Bytes::new(),
        1 => chunks.pop_front().expect("there is one"),
        _ => Bytes::from(chunks.into_iter().flatten().collect::<Vec<u8>>()),
    }
}

/// A request on its way to a target.
struct Attempt<'a, P: Platform> {
    entry: &'a Entry<P>,
    catalog: &'a Catalog,
    route: &'a Route,
    parts: Parts,
    started: Instant,
    until: Instant,
    /// What the operators' caps have earned and spent for it.
    trial: Trial,
}

impl<P: Platform> Attempt<'_, P> {
    async fn run(&self, mut body: Held, story: &mut Story) -> Result<Response<AnswerBody>, Refusal> {
        self.entry.retries.borrow_mut().earn();
        let object = self.object();
        let picked = self.entry.splits.borrow_mut().pick(self.route, object);
        let mut tried = Vec::new();
        let mut unreachable = 0;
        let mut last = None;
        let mut may_have_run = false;
        while story.sends < self.route.max_attempts && unreachable <= UNREACHABLE_TRIES {
            let target = match self.choose(object, picked, &tried, story) {
                Ok(target) => target,
                Err(refusal) => {
                    last = last.or(Some(refusal));
                    break;
                }
            };
            if Instant::now() + LEAST_LEFT >= self.until {
                last = Some(Refusal::TooLate);
                break;
            }
            if story.sends > 0 && !self.may_try_again() {
                break;
            }
            let Some(request) = self.request(&mut body, &target) else { break };
            tried.push(target.id.clone());
            story.load = target.load(Instant::now());
            story.target = Some(target.clone());
            let sent = self.send(request, &target).await;
            if let Err(fault) = &sent {
                self.note_fault(fault, &target);
            }
            match sent {
                Ok(response) => {
                    story.sends += 1;
                    return Ok(response);
                }
                Err(Fault::Unreachable(request)) => {
                    unreachable += 1;
                    restore(&mut body, *request);
                    last = Some(Refusal::Unreachable);
                }
                Err(Fault::NotExecuted) => {
                    story.sends += 1;
                    last = Some(Refusal::TurnedAway);
                }
                Err(Fault::Lost) => {
                    story.sends += 1;
                    may_have_run = true;
                    if self.route.repeat == Repeat::Once {
                        return Err(Refusal::Lost);
                    }
                }
                Err(Fault::Silent) => {
                    story.sends += 1;
                    return Err(Refusal::TimedOut);
                }
            }
        }
        match last {
            _ if may_have_run => Err(Refusal::Lost),
            Some(refusal) => Err(refusal),
            None => Err(Refusal::NoTarget),
        }
    }

    /// Hash of the object that the request is about; of the request itself
    /// where none is named or the route does not care.
    fn object(&self) -> u64 {
        let named = self.parts.headers.get(&self.entry.names.object).filter(|_| self.route.affinity);
        match named.or_else(|| self.parts.headers.get(&self.entry.names.request_id)) {
            Some(value) => hash_object(value.as_bytes()),
            None => rand::random(),
        }
    }

    /// A target of the picked part, else of another part with any weight.
    fn choose(&self, object: u64, picked: &Part, tried: &[Rc<str>], story: &mut Story) -> Result<Rc<Target>, Refusal> {
        let settings = self.entry.settings.borrow().clone();
        let world = self.entry.world.borrow();
        let warming = self.entry.is_current().then_some(Warming { own: &settings.name, bounds: settings.cold });
        let others = self.route.parts.iter().filter(|part| part.service != picked.service && part.weight > 0.0);
        let mut refusal = Refusal::NoTarget;
        for part in std::iter::once(picked).chain(others) {
            let active = self.active(&world, &settings, &part.service, object);
            let query = Query {
                route: self.route,
                service: &part.service,
                object,
                region: &settings.region,
                warming,
                active: active.as_ref(),
                tried,
                now: Instant::now(),
            };
            let chosen = choose(&world, self.catalog, &query);
            story.policies = active.as_ref().map_or_else(Vec::new, Active::acted);
            let is_capped = matches!(chosen, Err(NoTarget::Capped(_)));
            match chosen {
                Ok(target) => {
                    story.service = Some(part.service.clone());
                    return Ok(target);
                }
                Err(NoTarget::Full(preferred) | NoTarget::Capped(preferred)) => {
                    refusal = if is_capped { Refusal::Capped } else { Refusal::Full };
                    story.load = preferred.load(Instant::now());
                    story.service = Some(part.service.clone());
                    story.target = Some(preferred);
                }
                Err(NoTarget::NoneUsable) => {}
            }
        }
        Err(refusal)
    }

    /// The operators' policies that select the request.
    fn active(&self, world: &World, settings: &Settings, service: &str, object: u64) -> Option<Active<'_>> {
        let facts = RequestFacts {
            service,
            route: &self.route.name,
            region: &settings.region,
            hall: &settings.hall,
            method: &self.parts.method,
            uri: &self.parts.uri,
            headers: &self.parts.headers,
        };
        Active::find(world.policies.as_ref()?, &facts, object, &self.trial)
    }

    fn note_fault(&self, fault: &Fault, target: &Target) {
        let id = self.parts.headers.get(&self.entry.names.request_id);
        tracing::info!(
            event = "try_failed",
            id = id.and_then(|id| id.to_str().ok()),
            target = &*target.id,
            hall = &*target.hall,
            fault = fault.word(),
            after_ms = self.started.elapsed().as_millis() as u64,
        );
    }

    fn may_try_again(&self) -> bool {
        let paid = self.entry.retries.borrow_mut().spend();
        let counter = if paid { &self.entry.metrics.retries } else { &self.entry.metrics.retries_denied };
        counter.inc();
        paid
    }

    /// The request for one target; `None` where its body is gone.
    fn request(&self, body: &mut Held, target: &Target) -> Option<Request<RequestBody>> {
        let body = match body {
            Held::Whole { bytes, .. } => RequestBody::Whole(Full::new(bytes.clone())),
            Held::Through(through) => RequestBody::Through(through.take()?),
        };
        let mut request = Request::new(body);
        *request.method_mut() = self.parts.method.clone();
        *request.uri_mut() = self.parts.uri.clone();
        *request.version_mut() = Version::HTTP_11;
        *request.headers_mut() = self.parts.headers.clone();
        let names = &self.entry.names;
        let left = self.until.saturating_duration_since(Instant::now()).as_millis() as u64;
        request.headers_mut().insert(&names.deadline_ms, HeaderValue::from(left));
        let id = HeaderValue::from_str(&target.id).ok()?;
        request.headers_mut().insert(&names.expected_target, id);
        Some(request)
    }

    async fn send(&self, request: Request<RequestBody>, target: &Rc<Target>) -> Result<Response<AnswerBody>, Fault> {
        let sent = match request.body() {
            RequestBody::Through(through) => through.finished(),
            RequestBody::Whole(_) => Rc::new(Cell::new(true)),
        };
        let started = Instant::now();
        let exchange = Exchange {
            names: &self.entry.names,
            in_flight: target.enter(started),
            request_id: self.parts.headers.get(&self.entry.names.request_id),
            until: self.until,
            deadline: self.until,
            sent,
            started,
        };
        exchange.run(request).await
    }
}

/// Takes back a body of which nothing was sent.
fn restore(body: &mut Held, request: Request<RequestBody>) {
    if let (Held::Through(slot), RequestBody::Through(through)) = (body, request.into_body()) {
        *slot = Some(through);
    }
}
