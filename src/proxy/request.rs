//! Handles a caller's request from its head to the response and the access log line.
//!
//! Finds the route, the tenant and the deadline, reads the body, removes what must not be forwarded,
//! and passes the request to [`crate::proxy::attempts`]. Counts each request by its outcome. Relies
//! on the configuration in force.

use crate::clock::{Instant, timeout_at};
use crate::decision::quota::local_usage::Admission;
use crate::decision::refusal::held_responses::HELD_RESPONSES_WAIT;
use crate::decision::refusal::retry_after::{LIMIT_WAIT, QUOTA_WAIT, base_wait, with_jitter};
use crate::decision::refusal::stop::accepts_request;
use crate::model::config::{Config, Route, Tenant};
use crate::model::fingerprint::{Fingerprint, RequestIdentity};
use crate::model::forwarded::ANSWERED;
use crate::net::headers::remove_hop_by_hop;
use crate::net::server::read_ahead::early_request::Arrival;
use crate::net::server::{CallerBody, ResponseTag};
use crate::platform::Platform;
use crate::proxy::access_record::{AccessRecord, QuotaRecord, RequestEnd};
use crate::proxy::attempts::Attempts;
use crate::proxy::caller_request::CallerRequest;
use crate::proxy::caller_tenant::{CallerTenant, write_tenant};
use crate::proxy::held_response::HeldResponseContext;
use crate::proxy::incoming_body::IncomingBody;
use crate::proxy::origin::Origin;
use crate::proxy::refusal::Refusal;
use crate::proxy::response_body::ResponseBody;
use crate::state::Instance;
use hyper::body::Body;
use hyper::header::{HOST, HeaderName};
use hyper::http::request::Parts;
use hyper::{HeaderMap, Request, Response, Uri};
use std::rc::Rc;
use std::time::Duration;
use thiserror::Error;

/// Deadline of a request whose caller sent none.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(30);
/// How long a request waits for the first configuration: longer than all instances of a large fleet
/// need to receive it when they start at the same time. A refused caller would return only after 0.5 s
/// and use up one of its retries.
const FIRST_CONFIG_TIMEOUT: Duration = Duration::from_millis(600);
/// How long before the caller's deadline a request times out: the one-way latency between regions
/// (12 ms) and some processing time.
const DEADLINE_MARGIN: Duration = Duration::from_millis(15);

/// The caller's deadline header is invalid.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("the deadline is not a whole number of milliseconds; correct the header or omit it")]
pub struct DeadlineError;

impl From<DeadlineError> for Refusal {
    fn from(_: DeadlineError) -> Self {
        Refusal::Malformed
    }
}

/// A request that has a response.
pub struct Ended {
    /// [`ANSWERED`], or the name of the refusal.
    pub outcome: &'static str,
    /// A target's response, or the refusal.
    pub response: Response<ResponseBody>,
}

/// Handles a request: returns a target's response or a refusal, and records the outcome in the access log,
/// and in the metrics if a caller sent the request here.
pub async fn handle<P: Platform>(instance: &Rc<Instance<P>>, request: Request<CallerBody>, origin: Origin) -> Ended {
    let now = Instant::now();
    instance.requests.record_arrival(now);
    let arrival = request.extensions().get().copied().unwrap_or(Arrival { read_at: now, is_early: false });
    let started = arrival.read_at;
    if arrival.is_early {
        instance.metrics.early_requests.inc();
    }
    let request_bytes = request.body().size_hint().lower();
    let id = request.headers().get(&instance.names.request_id).cloned();
    let mut record =
        AccessRecord { id, is_early: arrival.is_early, queue_time: now - started, ..AccessRecord::default() };
    record.forwarded_by = origin.entry().map(|entry| entry.name.clone());
    let (outcome, mut response) = match process(instance, request, started, &origin, &mut record).await {
        Ok(response) => {
            instance.request_size.record(request_bytes, response.body().size_hint().lower());
            (ANSWERED, response)
        }
        Err(refusal) => (refusal.as_str(), refusal.response(capacity_wait(instance, &record, refusal))),
    };
    let tag = ResponseTag { id: record.id.clone(), deadline: record.deadline };
    response.extensions_mut().insert(tag);
    let duration = started.elapsed();
    if origin == Origin::Caller {
        instance.metrics.requests.with_label_values(&[outcome]).inc();
        instance.metrics.latency.with_label_values(&[outcome]).observe(duration.as_secs_f64());
    }
    if outcome != ANSWERED || instance.log.lines().takes_success(std::time::Instant::now()) {
        let (view_age, view_proof) = (instance.store_copy.view_age(), instance.store_copy.view_proof());
        record.log(&RequestEnd { outcome, status: response.status(), duration, view_age, view_proof });
    }
    Ended { outcome, response }
}

/// Time after which a refused caller probably finds capacity: in its tenant's quota, in the memory
/// for held responses, or at the service that was chosen for its request.
fn capacity_wait<P: Platform>(instance: &Instance<P>, record: &AccessRecord, refusal: Refusal) -> Duration {
    if refusal == Refusal::OverQuota {
        return with_jitter(QUOTA_WAIT, rand::random());
    }
    if refusal == Refusal::HeldResponses {
        return with_jitter(HELD_RESPONSES_WAIT, rand::random());
    }
    if let Some(wait) = record.forwarded_wait {
        return wait;
    }
    if let Some(wait) = record.target_wait {
        return wait + with_jitter(LIMIT_WAIT, rand::random());
    }
    let median = match &record.service {
        Some(service) => instance.routing.borrow().median_latency(service),
        None => f64::INFINITY,
    };
    with_jitter(base_wait(median), rand::random())
}

/// Routes, authenticates and admits a request, and tries it at targets.
async fn process<P: Platform>(
    instance: &Rc<Instance<P>>,
    request: Request<CallerBody>,
    started: Instant,
    origin: &Origin,
    record: &mut AccessRecord,
) -> Result<Response<ResponseBody>, Refusal> {
    if instance.lifecycle.is_ending() {
        return Err(Refusal::Stopping);
    }
    let config = wait_for_config(instance).await.ok_or(Refusal::NoConfig)?;
    record.config = config.version;
    let route = find_route(&config, request.uri(), request.headers());
    let route = route.map_err(|refusal| refusal_while_stale(instance, refusal))?;
    record.route = Some(route.name.clone());
    let caller = authenticate_caller(instance, &config, route, request.headers())?;
    record.tenant = caller.as_ref().map(|caller| caller.tenant.name.clone());
    let deadline = deadline(request.headers(), &instance.names.deadline_ms, route, started)?;
    record.deadline = Some(deadline);
    if !ends_before_stop(instance, route, deadline) {
        return Err(Refusal::Stopping);
    }
    if route.large_responses && !HeldResponseContext::new(instance).admits_large_responses() {
        return Err(Refusal::HeldResponses);
    }
    let tenant = caller.as_ref().map(|caller| caller.tenant);
    // A quota is charged where the caller sent the request.
    let charged = tenant.filter(|_| *origin == Origin::Caller);
    if let Some(tenant) = charged.filter(|tenant| instance.admit(tenant) == Admission::Refused) {
        record.quota = Some(quota_record(instance, tenant));
        return Err(Refusal::OverQuota);
    }
    let admitted = AdmittedRequest { instance, origin, config: &config, route, caller, started, deadline };
    let result = admitted.send(request, record).await;
    if let (Err(refusal), Some(tenant)) = (&result, charged)
        && refusal.guarantees_not_run()
    {
        instance.quotas.release(tenant);
    }
    result
}

/// Whether a request of the route ends before a planned stop does, as far as is known.
fn ends_before_stop<P: Platform>(instance: &Instance<P>, route: &Route, deadline: Instant) -> bool {
    let (stop, stopping_for) = (instance.settings.borrow().stop, instance.lifecycle.stopping_for());
    if stopping_for.is_none() {
        return true;
    }
    let remaining = deadline.saturating_duration_since(Instant::now());
    let routing = instance.routing.borrow();
    let medians = route.services.iter().map(|weighted| routing.median_latency(&weighted.service));
    accepts_request(stopping_for, stop, remaining, medians.fold(0.0, f64::max))
}

fn quota_record<P: Platform>(instance: &Instance<P>, tenant: &Tenant) -> QuotaRecord {
    let usage = instance.quotas.local_usage();
    QuotaRecord { admit_ratio: usage.answered_ratio(&tenant.name), answer_age: usage.answer_age(Instant::now()) }
}

/// An admitted request whose body is not read yet.
struct AdmittedRequest<'a, P: Platform> {
    instance: &'a Rc<Instance<P>>,
    origin: &'a Origin,
    config: &'a Config,
    route: &'a Route,
    caller: Option<CallerTenant<'a>>,
    started: Instant,
    deadline: Instant,
}

impl<P: Platform> AdmittedRequest<'_, P> {
    /// Reads the body and tries the request at targets.
    async fn send(
        self,
        request: Request<CallerBody>,
        record: &mut AccessRecord,
    ) -> Result<Response<ResponseBody>, Refusal> {
        let Self { instance, origin, config, route, caller, started, deadline } = self;
        let (mut parts, incoming) = request.into_parts();
        let body = IncomingBody::read(instance, config.limits.body_bytes, incoming, deadline).await?;
        let fingerprint = fingerprint(&parts, &instance.names.affinity_key, &body);
        record.fingerprint = Some(fingerprint);
        prepare_for_target(&mut parts)?;
        let tenant = caller.as_ref().map(|caller| caller.tenant);
        write_tenant(&mut parts.headers, &instance.names, tenant)?;
        let request = CallerRequest { instance, origin, config, route, caller, parts, fingerprint, started, deadline };
        Attempts::new(&request, body).run(record).await
    }
}

/// Finds the tenant of the caller and checks that it may send the request; `None` if the route is
/// public or there are no tenants.
fn authenticate_caller<'a, P: Platform>(
    instance: &Rc<Instance<P>>,
    config: &'a Config,
    route: &Route,
    headers: &HeaderMap,
) -> Result<Option<CallerTenant<'a>>, Refusal> {
    let Some(caller) = CallerTenant::find(config, route, &instance.names, headers)? else { return Ok(None) };
    if has_stale_keys(instance) {
        return Err(Refusal::StaleKeys);
    }
    if !route.shares_region(caller.tenant) {
        return Err(Refusal::NoRegion);
    }
    Ok(Some(caller))
}

/// Waits for the configuration in force; `None` after [`FIRST_CONFIG_TIMEOUT`]. A new process
/// receives it within a few milliseconds.
async fn wait_for_config<P: Platform>(instance: &Instance<P>) -> Option<Rc<Config>> {
    let deadline = Instant::now() + FIRST_CONFIG_TIMEOUT;
    loop {
        let changed = instance.store_copy.changed();
        if let Some(config) = &instance.routing.borrow().config {
            return Some(config.clone());
        }
        timeout_at(deadline, changed).await.ok()?;
    }
}

/// Whether the view is older than the operators' limit on how long a revoked API key may still be
/// accepted (`bounds.keys_expire_ms`); false if they set none.
fn has_stale_keys<P: Platform>(instance: &Instance<P>) -> bool {
    let Some(max_age) = instance.settings.borrow().keys_expire else { return false };
    instance.store_copy.view_age().is_none_or(|age| age > max_age)
}

/// Finds the route of a request.
///
/// # Errors
/// [`Refusal::Malformed`] if it names no host, [`Refusal::NoRoute`] if no route matches.
pub fn find_route<'a>(config: &'a Config, uri: &Uri, headers: &HeaderMap) -> Result<&'a Route, Refusal> {
    let host = host(uri, headers).ok_or(Refusal::Malformed)?;
    let index = config.find_route(host, uri.path()).ok_or(Refusal::NoRoute)?;
    Ok(config.route(index))
}

/// Replaces [`Refusal::NoRoute`] by [`Refusal::StaleRoutes`] while the view is stale: callers take a
/// 404 as final, but the route may have been added in the meantime.
fn refusal_while_stale<P: Platform>(instance: &Instance<P>, refusal: Refusal) -> Refusal {
    match refusal {
        Refusal::NoRoute if !instance.store_copy.is_current() => Refusal::StaleRoutes,
        other => other,
    }
}

/// The requested host; `None` if it is absent or not text. The request is refused as malformed then,
/// since no route can match it.
fn host<'a>(uri: &'a Uri, headers: &'a HeaderMap) -> Option<&'a str> {
    match uri.host() {
        Some(host) => Some(host),
        None => headers.get(HOST).and_then(|value| value.to_str().ok()),
    }
}

/// The fingerprint of a request with this head and body.
fn fingerprint(parts: &Parts, affinity_key: &HeaderName, body: &IncomingBody) -> Fingerprint {
    body.fingerprint(&RequestIdentity {
        method: parts.method.as_str(),
        host: host(&parts.uri, &parts.headers).unwrap_or_default(),
        path: parts.uri.path_and_query().map_or("", |path| path.as_str()),
        affinity_key: parts.headers.get(affinity_key).map(|key| key.as_bytes()),
    })
}

/// When the request times out, since a later response would be of no use to its caller:
/// [`DEADLINE_MARGIN`] before the caller's deadline, or [`DEFAULT_DEADLINE`] after its arrival if the
/// caller sent none; at the route's timeout if that is earlier.
fn deadline(headers: &HeaderMap, name: &HeaderName, route: &Route, started: Instant) -> Result<Instant, DeadlineError> {
    let deadline = match parse_milliseconds(headers, name)? {
        Some(remaining) => started + remaining.saturating_sub(DEADLINE_MARGIN),
        None => started + DEFAULT_DEADLINE,
    };
    Ok(route.timeout.map_or(deadline, |timeout| deadline.min(started + timeout)))
}

/// Parses a header as a duration in milliseconds; `None` if it is absent.
fn parse_milliseconds(headers: &HeaderMap, name: &HeaderName) -> Result<Option<Duration>, DeadlineError> {
    let Some(value) = headers.get(name) else { return Ok(None) };
    let text = value.to_str().map_err(|_| DeadlineError)?;
    let number = text.trim().parse().map_err(|_| DeadlineError)?;
    Ok(Some(Duration::from_millis(number)))
}

/// Removes the hop-by-hop headers, and reduces the URI to path and query.
fn prepare_for_target(parts: &mut Parts) -> Result<(), Refusal> {
    remove_hop_by_hop(&mut parts.headers);
    if parts.uri.authority().is_some() {
        let path = parts.uri.path_and_query().ok_or(Refusal::Malformed)?.clone();
        parts.uri = Uri::from(path);
    }
    Ok(())
}
