//! A caller's request: understood, tried at targets, answered and logged.
//!
//! Finds the route, the deadline and the body, leaves what may travel on, and hands
//! the request to [`crate::proxy::attempts`]. Counts each request by its outcome and
//! writes its line in the access log. Relies on the configuration in force.

use crate::clock::{Instant, timeout_at};
use crate::decision::quota::local_usage::Admission;
use crate::decision::refusal::held_answers::HELD_ANSWERS_WAIT;
use crate::decision::refusal::retry_after::{LIMIT_WAIT, QUOTA_WAIT, base_wait, with_jitter};
use crate::decision::refusal::stop::accepts_request;
use crate::model::config::{Config, Route, Tenant};
use crate::model::fingerprint::{Fingerprint, RequestIdentity};
use crate::net::headers::remove_hop_by_hop;
use crate::net::server::CallerBody;
use crate::net::server::read_ahead::begun::Arrival;
use crate::platform::Platform;
use crate::proxy::access_record::{AccessRecord, QuotaRecord, RequestEnd};
use crate::proxy::answer_body::AnswerBody;
use crate::proxy::attempts::Attempts;
use crate::proxy::caller_request::CallerRequest;
use crate::proxy::caller_tenant::{CallerTenant, write_tenant};
use crate::proxy::held_answer::Holding;
use crate::proxy::incoming_body::IncomingBody;
use crate::proxy::refusal::Refusal;
use crate::state::Instance;
use hyper::body::Body;
use hyper::header::{HOST, HeaderName};
use hyper::http::request::Parts;
use hyper::{HeaderMap, Request, Response, Uri};
use std::rc::Rc;
use std::time::Duration;
use thiserror::Error;

/// The outcome of a request that a target answered, in metrics and log.
const ANSWERED: &str = "answered";
/// Time of a request whose caller names no deadline.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(30);
/// How long a request waits for the first configuration. Longer than a large fleet needs
/// that starts together: a caller who is refused comes back half a second later and has used up a
/// retry.
const FIRST_CONFIG: Duration = Duration::from_millis(600);
/// How long before the caller's deadline its answer is sent: one way between regions (12 ms) and some work.
const DEADLINE_MARGIN: Duration = Duration::from_millis(15);

/// Why a caller's deadline cannot be read.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("the deadline is no whole number of milliseconds; send one, or leave the header out")]
pub struct DeadlineError;

impl From<DeadlineError> for Refusal {
    fn from(_: DeadlineError) -> Self {
        Refusal::Malformed
    }
}

/// Answers a caller's request, whatever comes of it.
pub async fn answer<P: Platform>(instance: &Instance<P>, request: Request<CallerBody>) -> Response<AnswerBody> {
    let now = Instant::now();
    instance.requests.record_arrival(now);
    let arrival = request.extensions().get().copied().unwrap_or(Arrival { read_at: now, is_early: false });
    let started = arrival.read_at;
    if arrival.is_early {
        instance.metrics.early_requests.inc();
    }
    let asked = request.body().size_hint().lower();
    let id = request.headers().get(&instance.names.request_id).cloned();
    let mut record = AccessRecord { id, is_early: arrival.is_early, waited: now - started, ..AccessRecord::default() };
    let (outcome, response) = match process(instance, request, started, &mut record).await {
        Ok(response) => {
            instance.request_size.observe(asked, response.body().size_hint().lower());
            (ANSWERED, response)
        }
        Err(refusal) => (refusal.as_str(), refusal.answer(return_in(instance, &record, refusal))),
    };
    let took = started.elapsed();
    instance.metrics.requests.with_label_values(&[outcome]).inc();
    instance.metrics.latency.with_label_values(&[outcome]).observe(took.as_secs_f64());
    if outcome != ANSWERED || instance.log.lines().takes_success(std::time::Instant::now()) {
        let (view_age, view_proof) = (instance.store_copy.view_age(), instance.store_copy.view_proof());
        record.log(&RequestEnd { outcome, status: response.status(), took, view_age, view_proof });
    }
    response
}

/// When a refused caller may find room: at the service that was chosen for its request, or in its
/// tenant's quota.
fn return_in<P: Platform>(instance: &Instance<P>, record: &AccessRecord, refusal: Refusal) -> Duration {
    if refusal == Refusal::OverQuota {
        return with_jitter(QUOTA_WAIT, rand::random());
    }
    if refusal == Refusal::HeldAnswers {
        return with_jitter(HELD_ANSWERS_WAIT, rand::random());
    }
    if let Some(wait) = record.wait {
        return wait + with_jitter(LIMIT_WAIT, rand::random());
    }
    let median = match &record.service {
        Some(service) => instance.routing.borrow().median_latency(service),
        None => f64::INFINITY,
    };
    with_jitter(base_wait(median), rand::random())
}

/// Understands a request and tries it at targets.
async fn process<P: Platform>(
    instance: &Instance<P>,
    request: Request<CallerBody>,
    started: Instant,
    record: &mut AccessRecord,
) -> Result<Response<AnswerBody>, Refusal> {
    if instance.lifecycle.is_ending() {
        return Err(Refusal::Stopping);
    }
    let config = first_config(instance).await.ok_or(Refusal::NoConfig)?;
    record.config = config.version;
    let route = find_route(&config, request.uri(), request.headers());
    let route = route.map_err(|refusal| while_stale(instance, refusal))?;
    record.route = Some(route.name.clone());
    let caller = find_caller(instance, &config, route, request.headers())?;
    record.tenant = caller.as_ref().map(|caller| caller.tenant.name.clone());
    let deadline = deadline(request.headers(), &instance.names.deadline_ms, route, started)?;
    let stop = instance.settings.borrow().stop;
    let allowed = deadline.saturating_duration_since(Instant::now());
    if !accepts_request(instance.lifecycle.stopping_for(), stop, allowed) {
        return Err(Refusal::Stopping);
    }
    if route.large_answers && !Holding::new(instance).takes_large_answers() {
        return Err(Refusal::HeldAnswers);
    }
    let tenant = caller.as_ref().map(|caller| caller.tenant);
    if let Some(tenant) = tenant.filter(|tenant| instance.admit(tenant) == Admission::Refused) {
        record.quota = Some(quota_record(instance, tenant));
        return Err(Refusal::OverQuota);
    }
    let understood = Understood { instance, config: &config, route, caller, started, deadline };
    let answered = understood.send(request, record).await;
    if let (Err(refusal), Some(tenant)) = (&answered, tenant)
        && refusal.means_not_run()
    {
        instance.quotas.release(tenant);
    }
    answered
}

fn quota_record<P: Platform>(instance: &Instance<P>, tenant: &Tenant) -> QuotaRecord {
    let own = instance.quotas.own();
    QuotaRecord { share: own.admit_ratio(&tenant.name), answer_age: own.answer_age(Instant::now()) }
}

/// A request of which all is known but its body.
struct Understood<'a, P: Platform> {
    instance: &'a Instance<P>,
    config: &'a Config,
    route: &'a Route,
    caller: Option<CallerTenant<'a>>,
    started: Instant,
    deadline: Instant,
}

impl<P: Platform> Understood<'_, P> {
    /// Reads the body, and tries the request at targets.
    async fn send(
        self,
        request: Request<CallerBody>,
        record: &mut AccessRecord,
    ) -> Result<Response<AnswerBody>, Refusal> {
        let Self { instance, config, route, caller, started, deadline } = self;
        let (mut parts, incoming) = request.into_parts();
        let body = IncomingBody::read(instance, config.limits.body_bytes, incoming, deadline).await?;
        let fingerprint = fingerprint(&parts, &instance.names.affinity_key, &body);
        record.fingerprint = Some(fingerprint);
        clean(&mut parts)?;
        let tenant = caller.as_ref().map(|caller| caller.tenant);
        write_tenant(&mut parts.headers, &instance.names, tenant)?;
        let request = CallerRequest { instance, config, route, caller, parts, fingerprint, started, deadline };
        Attempts::new(&request, body).run(record).await
    }
}

/// The tenant of a caller that may send this request; `None` where none is asked for.
fn find_caller<'a, P: Platform>(
    instance: &Instance<P>,
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

/// The configuration in force. A process that has just started receives it within
/// a few milliseconds; requests that arrive before wait for it.
async fn first_config<P: Platform>(instance: &Instance<P>) -> Option<Rc<Config>> {
    let until = Instant::now() + FIRST_CONFIG;
    loop {
        let changed = instance.store_copy.changed();
        if let Some(config) = &instance.routing.borrow().config {
            return Some(config.clone());
        }
        timeout_at(until, changed).await.ok()?;
    }
}

/// Whether keys may have been taken away for longer than the operators allow without word of it
/// here. Only where they want keys to expire.
fn has_stale_keys<P: Platform>(instance: &Instance<P>) -> bool {
    let Some(longest) = instance.settings.borrow().keys_expire else { return false };
    instance.store_copy.view_age().is_none_or(|age| age > longest)
}

/// The route of a request.
///
/// # Errors
/// Where it names no host, or no route matches.
pub fn find_route<'a>(config: &'a Config, uri: &Uri, headers: &HeaderMap) -> Result<&'a Route, Refusal> {
    let host = host(uri, headers).ok_or(Refusal::Malformed)?;
    let key = config.find(host, uri.path()).ok_or(Refusal::NoRoute)?;
    Ok(config.route(key))
}

/// What is refused in place of a missing route while the view is stale: 404 is for good, and the
/// route may be there by now.
fn while_stale<P: Platform>(instance: &Instance<P>, refusal: Refusal) -> Refusal {
    match refusal {
        Refusal::NoRoute if !instance.store_copy.is_current() => Refusal::StaleRoutes,
        other => other,
    }
}

/// The host asked for; `None` where there is none or it is not text, which no route
/// can match: both are refused as malformed.
fn host<'a>(uri: &'a Uri, headers: &'a HeaderMap) -> Option<&'a str> {
    match uri.host() {
        Some(host) => Some(host),
        None => headers.get(HOST).and_then(|value| value.to_str().ok()),
    }
}

/// What a request with this head and body asks of a target.
fn fingerprint(parts: &Parts, affinity_key: &HeaderName, body: &IncomingBody) -> Fingerprint {
    body.fingerprint(&RequestIdentity {
        method: parts.method.as_str(),
        host: host(&parts.uri, &parts.headers).unwrap_or_default(),
        path: parts.uri.path_and_query().map_or("", |path| path.as_str()),
        affinity_key: parts.headers.get(affinity_key).map(|key| key.as_bytes()),
    })
}

/// When an answer is no longer of use: the earlier of the caller's deadline and the
/// route's timeout.
fn deadline(headers: &HeaderMap, name: &HeaderName, route: &Route, started: Instant) -> Result<Instant, DeadlineError> {
    let deadline = match milliseconds(headers, name)? {
        Some(left) => started + left.saturating_sub(DEADLINE_MARGIN),
        None => started + DEFAULT_DEADLINE,
    };
    Ok(route.timeout.map_or(deadline, |timeout| deadline.min(started + timeout)))
}

/// A duration in milliseconds; `None` where the header is absent.
fn milliseconds(headers: &HeaderMap, name: &HeaderName) -> Result<Option<Duration>, DeadlineError> {
    let Some(value) = headers.get(name) else { return Ok(None) };
    let text = value.to_str().map_err(|_| DeadlineError)?;
    let number = text.trim().parse().map_err(|_| DeadlineError)?;
    Ok(Some(Duration::from_millis(number)))
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
