//! A caller's request: understood, attempted, answered and told in the log.

use crate::decision::target::Target;
use crate::instance::stop::takes_requests;
use crate::model::config::Config;
use crate::net::headers::remove_hop_by_hop;
use crate::platform::Platform;
use crate::policy::CapCharge;
use crate::proxy::answer_body::AnswerBody;
use crate::proxy::attempt::Attempt;
use crate::proxy::incoming_body::IncomingBody;
use crate::proxy::refusal::Refusal;
use crate::state::Instance;
use hyper::body::Incoming;
use hyper::header::{HOST, HeaderValue};
use hyper::http::request::Parts;
use hyper::{HeaderMap, Request, Response, StatusCode, Uri};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

/// The outcome of a request that a target answered.
const ANSWERED: &str = "answered";
/// Time that a request without a deadline gets.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(30);
/// How long a request waits for the first configuration.
const FIRST_CONFIG: Duration = Duration::from_millis(250);
/// How much before the caller's deadline its answer is sent.
const DEADLINE_MARGIN: Duration = Duration::from_millis(15);

/// What came of a request, for its line in the log.
#[derive(Debug, Default)]
pub struct Story {
    /// The route that it took.
    pub route: Option<Rc<str>>,
    /// The service chosen.
    pub service: Option<Rc<str>>,
    /// The target it was last sent to; the preferred one where none had room.
    pub target: Option<Rc<Target>>,
    /// Version of the configuration that decided.
    pub version: u64,
    /// Targets that it reached.
    pub sends: u32,
    /// Requests that were probably at that target before it.
    pub load: f64,
    /// Names of the policies that had a part in the choice.
    pub policies: Vec<String>,
}

/// Answers a caller's request.
pub async fn serve<P: Platform>(instance: &Instance<P>, request: Request<Incoming>) -> Response<AnswerBody> {
    let started = Instant::now();
    instance.requests.mark_arrival(started);
    let id = request.headers().get(&instance.names.request_id).cloned();
    let mut story = Story::default();
    let served = route(instance, request, started, &mut story).await;
    let (outcome, response) = match served {
        Ok(response) => (ANSWERED, response),
        Err(refusal) => (refusal.word(), refusal.answer()),
    };
    let took = started.elapsed();
    instance.metrics.requests.with_label_values(&[outcome]).inc();
    instance.metrics.latency.with_label_values(&[outcome]).observe(took.as_secs_f64());
    if outcome != ANSWERED || instance.log.lines().takes_success(std::time::Instant::now()) {
        tell(instance, id.as_ref(), &story, outcome, response.status(), took);
    }
    response
}

/// Writes the line of a request that has ended.
fn tell<P: Platform>(
    instance: &Instance<P>,
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
        view_age_ms = instance.store_copy.view_age().map(|age| age.as_millis() as u64),
        outcome,
        status = status.as_u16(),
        took_ms = took.as_millis() as u64,
    );
}

async fn route<P: Platform>(
    instance: &Instance<P>,
    request: Request<Incoming>,
    started: Instant,
    story: &mut Story,
) -> Result<Response<AnswerBody>, Refusal> {
    if !takes_requests(instance) {
        return Err(Refusal::Stopping);
    }
    let config = known_config(instance).await.ok_or(Refusal::NoConfig)?;
    story.version = config.version;
    let host = host_of(&request).ok_or(Refusal::Malformed)?;
    let key = config.find(host, request.uri().path()).ok_or(Refusal::NoRoute)?;
    let route = config.route(key);
    story.route = Some(route.name.clone());
    let deadline = match number(request.headers(), &instance.names.deadline_ms) {
        Ok(Some(left)) => started + Duration::from_millis(left).saturating_sub(DEADLINE_MARGIN),
        Ok(None) => started + DEFAULT_DEADLINE,
        Err(()) => return Err(Refusal::Malformed),
    };
    let until = route.timeout.map_or(deadline, |timeout| deadline.min(started + timeout));
    let (mut parts, incoming) = request.into_parts();
    let body = IncomingBody::read(instance, config.limits.body_bytes, incoming, until).await?;
    clean(&mut parts)?;
    Attempt { instance, config: &config, route, parts, started, until, charge: CapCharge::default() }
        .run(body, story)
        .await
}

/// The configuration in force. A process that has just started knows it within
/// a few milliseconds; callers that come before wait that long.
async fn known_config<P: Platform>(instance: &Instance<P>) -> Option<Rc<Config>> {
    let until = Instant::now() + FIRST_CONFIG;
    loop {
        let changed = instance.store_copy.changed();
        if let Some(config) = &instance.routing.borrow().config {
            return Some(config.clone());
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
