//! `GET /why`: the decision for a request, made by the code that decides for
//! callers' requests, and nothing sent.

use super::api::{Why, WhyTarget};
use super::question::Question;
use super::refusal::Refusal;
use crate::decision::choice::{Verdict, explain};
use crate::decision::target::Target;
use crate::hash::hash_affinity;
use crate::model::config::Route;
use crate::platform::Platform;
use crate::policy::{CapCharge, MatchedPolicies, RequestFacts};
use crate::settings::Settings;
use crate::state::Instance;
use hyper::Uri;
use tokio::time::Instant;

/// Decides on the request in a question's query string. No cap earns or is
/// charged, no split is counted.
///
/// # Errors
/// 400 for a question that cannot be read, 503 before the first configuration,
/// 404 where no route takes the request.
pub fn why<P: Platform>(instance: &Instance<P>, uri: &Uri) -> Result<Why, Refusal> {
    let question = Question::try_from(uri)?;
    let settings = instance.settings();
    let routing = instance.routing.borrow();
    let config = routing.config.clone().ok_or(Refusal::NoConfig)?;
    let route = question.route(&config)?;
    let affinity = question.affinity_key.as_ref().map_or(0, |key| hash_affinity(key.as_bytes()));
    let weighted = instance.splits.borrow().peek(route, affinity);
    let service = &*weighted.service;
    let charge = CapCharge::dry();
    let facts = facts(&question, &settings, route, service);
    let active =
        routing.policies.as_ref().and_then(|policies| MatchedPolicies::find(policies, &facts, affinity, &charge));
    let query = instance.query(&settings, route, service, affinity, active.as_ref(), &[]);
    let verdicts = explain(&routing, &config, &query);
    let chosen = verdicts.iter().find(|(_, verdict)| *verdict == Verdict::Chosen);
    let targets = verdicts.iter().map(|(target, verdict)| line(target, *verdict, query.now)).collect();
    Ok(Why {
        route: route.name.to_string(),
        service: service.to_owned(),
        config: config.version,
        policies: routing.policies.as_ref().map(|policies| policies.revision),
        view_age_ms: instance.store_copy.view_age().map(|age| age.as_millis() as u64),
        acted: active.as_ref().map_or_else(Vec::new, MatchedPolicies::applied),
        chosen: chosen.map(|(target, _)| target.id.to_string()),
        targets,
    })
}

/// What the request's labels come from.
fn facts<'a>(question: &'a Question, settings: &'a Settings, route: &'a Route, service: &'a str) -> RequestFacts<'a> {
    RequestFacts {
        service,
        route: &route.name,
        region: &settings.region,
        hall: &settings.hall,
        method: &question.method,
        uri: &question.uri,
        headers: &question.headers,
    }
}

fn line(target: &Target, verdict: Verdict, now: Instant) -> WhyTarget {
    WhyTarget {
        target: target.id.to_string(),
        hall: target.hall.to_string(),
        verdict: verdict.as_str().to_owned(),
        load: target.load(now),
        slots: target.slots,
    }
}
