//! `GET /why`: the decision for a request, made by the code that decides for
//! callers' requests, and nothing sent.

use super::api::{Why, WhyService, WhyTarget};
use super::question::Question;
use super::refusal::Refusal;
use crate::clock::Instant;
use crate::decision::registry::routing::Routing;
use crate::decision::registry::target::Target;
use crate::decision::selection::choice::{Explanation, NoTarget, RoutedRequest, Verdict};
use crate::hash::hash_affinity_key;
use crate::model::config::{Config, Route, Tenant, WeightedService};
use crate::platform::Platform;
use crate::policy::{CapCharge, MatchedPolicies, RequestAttributes};
use crate::proxy::refusal::Refusal as RequestRefusal;
use crate::settings::Settings;
use crate::state::Instance;
use hyper::Uri;

/// Decides on the request in a question's query string. No cap earns or is
/// charged, no split is counted.
///
/// # Errors
/// 400 for a question that cannot be read, 503 before the first configuration,
/// 404 where no route takes the request, or there is no tenant of the name.
pub fn why<P: Platform>(instance: &Instance<P>, uri: &Uri) -> Result<Why, Refusal> {
    let question = Question::try_from(uri)?;
    let settings = instance.settings();
    let routing = instance.routing.borrow();
    let config = routing.config.clone().ok_or(Refusal::NoConfig)?;
    let route = question.route(&config)?;
    let key = question.affinity_key.as_ref().filter(|_| route.affinity);
    // A request without a key goes by its own id, which differs from request to request.
    let affinity = key.map_or_else(rand::random, |key| hash_affinity_key(key.as_bytes()));
    let tenant = question.tenant(&config)?;
    let dry =
        DryRequest { instance, question: &question, settings: &settings, routing: &routing, route, tenant, affinity };
    let picked = instance.splits.borrow().peek(route, affinity);
    let decisive = dry.of_service(&config, picked);
    let others = route.services.iter().filter(|weighted| weighted.service != picked.service && weighted.weight > 0.0);
    let mut services = vec![decisive.clone()];
    services.extend(others.map(|weighted| dry.of_service(&config, weighted)));
    Ok(Why {
        route: route.name.to_string(),
        service: decisive.service,
        config: config.version,
        policies: routing.policies.as_ref().map(|policies| policies.revision),
        view_age_ms: instance.store_copy.view_age().map(|age| age.as_millis() as u64),
        reach: instance.links.reach().impaired().map(str::to_owned),
        acted: decisive.acted,
        chosen: decisive.chosen,
        refusal: decisive.refusal,
        without_key: key.is_none(),
        near_weight: decisive.near_weight,
        second_load: decisive.second_load,
        targets: decisive.targets,
        services: if route.services.len() > 1 { services } else { Vec::new() },
    })
}

/// What the decisions for the services of a route have in common.
struct DryRequest<'a, P: Platform> {
    instance: &'a Instance<P>,
    question: &'a Question,
    settings: &'a Settings,
    routing: &'a Routing,
    route: &'a Route,
    tenant: Option<&'a Tenant>,
    affinity: u64,
}

impl<P: Platform> DryRequest<'_, P> {
    fn of_service(&self, config: &Config, weighted: &WeightedService) -> WhyService {
        let charge = CapCharge::dry_run();
        let attributes = self.attributes(&weighted.service);
        let policies = self.routing.policies.as_ref();
        let active = policies.and_then(|policies| MatchedPolicies::find(policies, &attributes, self.affinity, &charge));
        let service = &*weighted.service;
        let request = RoutedRequest { route: self.route, tenant: self.tenant, service, affinity: self.affinity };
        let query = self.instance.query(self.settings, request, active.as_ref(), &[]);
        let explained = Explanation::new(self.routing, config, &query);
        let verdicts = explained.verdicts.iter();
        WhyService {
            service: service.to_owned(),
            weight: weighted.weight,
            acted: explained.policies,
            chosen: explained.outcome.as_ref().ok().map(|chosen| chosen.target.id.to_string()),
            near_weight: Some(explained.own_region_weight),
            second_load: Some(explained.second_target_max_load),
            refusal: explained.outcome.as_ref().err().map(|reason| refusal(reason).as_str().to_owned()),
            targets: verdicts.map(|(target, verdict)| line(target, *verdict, query.now)).collect(),
        }
    }

    /// What the request's labels come from.
    fn attributes<'a>(&'a self, service: &'a str) -> RequestAttributes<'a> {
        RequestAttributes {
            service,
            route: &self.route.name,
            region: &self.settings.region,
            hall: &self.settings.hall,
            method: &self.question.method,
            uri: &self.question.uri,
            headers: &self.question.headers,
        }
    }
}

/// What a caller would be answered.
fn refusal(reason: &NoTarget) -> RequestRefusal {
    match reason {
        NoTarget::NoneUsable => RequestRefusal::NoTarget,
        NoTarget::LimitedOrPaused { .. } => RequestRefusal::Limited,
        NoTarget::Full(_) => RequestRefusal::Full,
        NoTarget::Capped(_) => RequestRefusal::Capped,
    }
}

fn line(target: &Target, verdict: Verdict, now: Instant) -> WhyTarget {
    WhyTarget {
        target: target.id.to_string(),
        hall: target.hall.to_string(),
        verdict: verdict.as_str().to_owned(),
        load: target.load(now),
        slots: target.slots,
        started_ms: target.start.map(|start| start.0),
    }
}
