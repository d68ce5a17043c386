//! What operators ask an instance: its state, its targets, a dry decision, and the
//! policies in force; and the policies that they apply.

use super::apply::apply;
use crate::decision::choice::{Query, SlowStartShare, Verdict, explain};
use crate::decision::target::Target;
use crate::hash::hash_affinity;
use crate::model::config::{Config, Route};
use crate::operator::api::{ApplyRequest, Refused};
use crate::operator::api::{InstanceLine, InstanceStatus, PoliciesApplied, TargetLine, Why, WhyTarget};
use crate::platform::Platform;
use crate::policy::{Active, CapCharge, Policies, PolicyDocument, PolicyMask, RequestFacts};
use crate::proxy::answer_body::AnswerBody;
use crate::state::Instance;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderMap, HeaderName, HeaderValue};
use hyper::{Method, Request, Response, StatusCode, Uri};
use serde::Serialize;
use std::collections::BTreeMap;
use tokio::time::Instant;

/// Largest body of an apply, bytes.
const MAX_BODY: usize = 1 << 20;
/// Begins the query keys that stand for headers in a question for a decision.
const HEADER_KEY: &str = "header.";

/// A refused question, with its status.
struct Refusal {
    status: StatusCode,
    message: String,
}

fn refused(status: StatusCode, message: impl ToString) -> Refusal {
    Refusal { status, message: message.to_string() }
}

/// Answers an operator; `None` for paths that are not theirs.
pub async fn answer<P: Platform>(instance: &Instance<P>, request: Request<Incoming>) -> Option<Response<AnswerBody>> {
    let answered = match (request.method().clone(), request.uri().path()) {
        (Method::GET, "/status") => json(&status(instance)),
        (Method::GET, "/targets") => json(&targets(instance)),
        (Method::GET, "/instances") => json(&instances(instance)),
        (Method::GET, "/policies") => show(instance).and_then(|document| json(&document)),
        (Method::POST, "/policies") => take_policies(instance, request.into_body()).await.and_then(|done| json(&done)),
        (Method::GET, "/why") => why(instance, request.uri()).and_then(|why| json(&why)),
        _ => return None,
    };
    Some(answered.unwrap_or_else(|refusal| {
        let refused = Refused { message: refusal.message };
        respond(refusal.status, serde_json::to_vec(&refused).expect("a message is a plain string"))
    }))
}

fn json<T: Serialize>(value: &T) -> Result<Response<AnswerBody>, Refusal> {
    let body = serde_json::to_vec(value).map_err(|error| refused(StatusCode::INTERNAL_SERVER_ERROR, error))?;
    Ok(respond(StatusCode::OK, body))
}

fn respond(status: StatusCode, body: Vec<u8>) -> Response<AnswerBody> {
    let mut response = Response::new(AnswerBody::buffered(body));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

fn status<P: Platform>(instance: &Instance<P>) -> InstanceStatus {
    let settings = instance.settings();
    let routing = instance.routing.borrow();
    InstanceStatus {
        instance: settings.name.clone(),
        hall: settings.hall.to_string(),
        region: settings.region.to_string(),
        config: routing.config.as_ref().map(|config| config.version),
        policies: routing.policies.as_ref().map(|policies| policies.revision),
        view_revision: instance.store_copy.view().at(),
        view_age_ms: instance.store_copy.view_age().map(|age| age.as_millis() as u64),
        store_lost: instance.store_copy.is_lost(),
        stopping: instance.lifecycle.is_stopping(),
        members: routing.members.len(),
        targets: routing.targets().count(),
        active: instance.requests.in_flight(),
        evacuated: routing.evacuated().map(str::to_owned).collect(),
    }
}

fn targets<P: Platform>(instance: &Instance<P>) -> Vec<TargetLine> {
    let routing = instance.routing.borrow();
    let now = Instant::now();
    let mut lines: Vec<TargetLine> = routing.targets().map(|target| target_line(target, now)).collect();
    lines.sort_by(|one, other| {
        (&one.service, &one.hall, &one.target).cmp(&(&other.service, &other.hall, &other.target))
    });
    lines
}

fn target_line(target: &Target, now: Instant) -> TargetLine {
    let state = match target {
        _ if !target.is_ready() => "draining",
        _ if !target.is_trusted(now) => "left-alone",
        _ if target.is_in_slow_start(now) => "cold",
        _ => "ready",
    };
    TargetLine {
        target: target.id.to_string(),
        service: target.service.to_string(),
        hall: target.hall.to_string(),
        version: target.version.to_string(),
        slots: target.slots,
        in_flight: target.in_flight(),
        load: target.load(now),
        state: state.to_owned(),
    }
}

fn instances<P: Platform>(instance: &Instance<P>) -> Vec<InstanceLine> {
    let line = |(name, member): (&String, &crate::model::member::Member)| InstanceLine {
        name: name.clone(),
        hall: member.hall.clone(),
        region: member.region.clone(),
        callers: member.callers,
        peers: member.peer,
    };
    instance.routing.borrow().members.iter().map(line).collect()
}

/// The policies that lie in the store, as far as this instance knows it.
fn show<P: Platform>(instance: &Instance<P>) -> Result<PolicyDocument, Refusal> {
    let view = instance.store_copy.view();
    let none = || refused(StatusCode::NOT_FOUND, "no policies are in force; remedy: `lockloft apply` some");
    let item = view.item(P::policies_key()).ok_or_else(none)?;
    PolicyDocument::read(&item.value).map_err(|error| refused(StatusCode::INTERNAL_SERVER_ERROR, error))
}

async fn take_policies<P: Platform>(instance: &Instance<P>, body: Incoming) -> Result<PoliciesApplied, Refusal> {
    let body = Limited::new(body, MAX_BODY).collect().await;
    let body = body.map_err(|error| refused(StatusCode::PAYLOAD_TOO_LARGE, error))?.to_bytes();
    let request: ApplyRequest =
        serde_json::from_slice(&body).map_err(|error| refused(StatusCode::BAD_REQUEST, error))?;
    let applied = apply(instance, &request).await;
    tracing::info!(
        event = "policies_applied",
        by = request.by,
        id = request.id,
        revision = applied.as_ref().ok(),
        error = applied.as_ref().err().map(ToString::to_string),
    );
    let revision = applied.map_err(|error| refused(error.status(), error))?;
    let policies =
        Policies::check(revision, &request.sources).map_err(|error| refused(StatusCode::BAD_REQUEST, error))?;
    Ok(PoliciesApplied { revision, idle: idle(instance, &policies) })
}

/// Names of the policies whose places select no target that is known now.
fn idle<P: Platform>(instance: &Instance<P>, policies: &Policies) -> Vec<String> {
    let routing = instance.routing.borrow();
    let reached =
        routing.targets().map(|target| policies.selecting(&target.facts())).fold(PolicyMask::default(), PolicyMask::or);
    let names = policies.iter().enumerate().filter(|(position, _)| !reached.contains(*position));
    names.map(|(_, policy)| policy.name.clone()).collect()
}

/// A decision that sends nothing.
fn why<P: Platform>(instance: &Instance<P>, uri: &Uri) -> Result<Why, Refusal> {
    let question = Question::read(uri)?;
    let settings = instance.settings();
    let routing = instance.routing.borrow();
    let unknown = || refused(StatusCode::SERVICE_UNAVAILABLE, "this entry has no configuration yet; ask another");
    let config = routing.config.clone().ok_or_else(unknown)?;
    let route = question.route(&config)?;
    let object = question.object.as_ref().map_or(0, |object| hash_affinity(object.as_bytes()));
    let weighted = instance.splits.borrow().peek(route, object);
    let (charge, now) = (CapCharge::dry(), Instant::now());
    let facts = RequestFacts {
        service: &weighted.service,
        route: &route.name,
        region: &settings.region,
        hall: &settings.hall,
        method: &question.method,
        uri: &question.uri,
        headers: &question.headers,
    };
    let active = routing.policies.as_ref().and_then(|policies| Active::find(policies, &facts, object, &charge));
    let slow_start =
        instance.store_copy.is_current().then_some(SlowStartShare { own: &settings.name, bounds: settings.slow_start });
    let query = Query {
        route,
        service: &weighted.service,
        object,
        region: &settings.region,
        slow_start,
        active: active.as_ref(),
        tried: &[],
        now,
    };
    let verdicts = explain(&routing, &config, &query);
    let chosen = verdicts.iter().find(|(_, verdict)| *verdict == Verdict::Chosen);
    Ok(Why {
        route: route.name.to_string(),
        service: weighted.service.to_string(),
        config: config.version,
        policies: routing.policies.as_ref().map(|policies| policies.revision),
        view_age_ms: instance.store_copy.view_age().map(|age| age.as_millis() as u64),
        acted: active.as_ref().map_or_else(Vec::new, Active::applied),
        chosen: chosen.map(|(target, _)| target.id.to_string()),
        targets: verdicts.iter().map(|(target, verdict)| why_line(target, *verdict, now)).collect(),
    })
}

fn why_line(target: &Target, verdict: Verdict, now: Instant) -> WhyTarget {
    WhyTarget {
        target: target.id.to_string(),
        hall: target.hall.to_string(),
        verdict: verdict.word().to_owned(),
        load: target.load(now),
        slots: target.slots,
    }
}

/// The request that a dry decision is asked for.
struct Question {
    host: String,
    method: Method,
    uri: Uri,
    object: Option<String>,
    headers: HeaderMap,
}

impl Question {
    fn read(uri: &Uri) -> Result<Self, Refusal> {
        let given = url::form_urlencoded::parse(uri.query().unwrap_or("").as_bytes());
        let mut pairs: BTreeMap<String, String> = given.into_owned().collect();
        let mut headers = HeaderMap::new();
        for (key, value) in &pairs {
            let Some(name) = key.strip_prefix(HEADER_KEY) else { continue };
            let name: HeaderName = name.parse().map_err(|error| refused(StatusCode::BAD_REQUEST, error))?;
            let value = HeaderValue::from_str(value).map_err(|error| refused(StatusCode::BAD_REQUEST, error))?;
            headers.insert(name, value);
        }
        let mut needed = |name: &str| {
            let missing = || refused(StatusCode::BAD_REQUEST, format!("{name} is missing; give {name}=VALUE"));
            pairs.remove(name).ok_or_else(missing)
        };
        let (host, path) = (needed("host")?, needed("path")?);
        let method = pairs.remove("method").unwrap_or_else(|| "GET".to_owned());
        Ok(Self {
            host,
            method: method.parse().map_err(|error| refused(StatusCode::BAD_REQUEST, error))?,
            uri: path.parse().map_err(|error| refused(StatusCode::BAD_REQUEST, error))?,
            object: pairs.remove("object"),
            headers,
        })
    }

    fn route<'a>(&self, config: &'a Config) -> Result<&'a Route, Refusal> {
        let none = || refused(StatusCode::NOT_FOUND, "no route takes this host and path; correct them or add a route");
        config.find(&self.host, self.uri.path()).map(|key| config.route(key)).ok_or_else(none)
    }
}
