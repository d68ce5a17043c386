//! One request of a caller at the targets: chosen, sent, and sent again only
//! where that is safe.

use crate::decision::choice::{NoTarget, Query, SlowStartShare, choose};
use crate::decision::routing::Routing;
use crate::decision::target::Target;
use crate::hash::hash_affinity;
use crate::model::config::{Config, Repeat, Route, WeightedService};
use crate::net::request_body::RequestBody;
use crate::platform::Platform;
use crate::policy::{CapCharge, MatchedPolicies, RequestFacts};
use crate::proxy::answer_body::AnswerBody;
use crate::proxy::exchange::{Exchange, Fault};
use crate::proxy::incoming_body::IncomingBody;
use crate::proxy::refusal::Refusal;
use crate::proxy::serve::Story;
use crate::settings::Settings;
use crate::state::Instance;
use hyper::header::HeaderValue;
use hyper::http::request::Parts;
use hyper::{Request, Response, Version};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// The least time left with which a request is sent.
const MIN_TIME_LEFT: Duration = Duration::from_millis(5);
/// Tries that reached no target at all, besides those that did.
const UNREACHABLE_TRIES: u32 = 2;

/// A request on its way to a target.
pub struct Attempt<'a, P: Platform> {
    /// The instance that has it.
    pub instance: &'a Instance<P>,
    /// The configuration that decides.
    pub config: &'a Config,
    /// Its route.
    pub route: &'a Route,
    /// Its head.
    pub parts: Parts,
    /// When its head had come.
    pub started: Instant,
    /// When an answer is no longer of use.
    pub until: Instant,
    /// What the operators' caps have earned and spent for it.
    pub charge: CapCharge,
}

impl<P: Platform> Attempt<'_, P> {
    /// Sends it, again where that is safe, and gives the target's answer.
    ///
    /// # Errors
    /// [`Refusal`] where no target's answer can be passed on.
    pub async fn run(&self, mut body: IncomingBody, story: &mut Story) -> Result<Response<AnswerBody>, Refusal> {
        self.instance.retries.borrow_mut().earn();
        let object = self.object();
        let picked = self.instance.splits.borrow_mut().pick(self.route, object);
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
            if Instant::now() + MIN_TIME_LEFT >= self.until {
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
                    body.restore(*request);
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
        let named = self.parts.headers.get(&self.instance.names.object).filter(|_| self.route.affinity);
        match named.or_else(|| self.parts.headers.get(&self.instance.names.request_id)) {
            Some(value) => hash_affinity(value.as_bytes()),
            None => rand::random(),
        }
    }

    /// A target of the picked service, else of another with any weight.
    fn choose(
        &self,
        object: u64,
        picked: &WeightedService,
        tried: &[Rc<str>],
        story: &mut Story,
    ) -> Result<Rc<Target>, Refusal> {
        let settings = self.instance.settings.borrow().clone();
        let routing = self.instance.routing.borrow();
        let slow_start =
            self.instance.health.is_current().then_some(SlowStartShare { own: &settings.name, bounds: settings.cold });
        let others =
            self.route.services.iter().filter(|weighted| weighted.service != picked.service && weighted.weight > 0.0);
        let mut refusal = Refusal::NoTarget;
        for weighted in std::iter::once(picked).chain(others) {
            let active = self.active(&routing, &settings, &weighted.service, object);
            let query = Query {
                route: self.route,
                service: &weighted.service,
                object,
                region: &settings.region,
                slow_start,
                active: active.as_ref(),
                tried,
                now: Instant::now(),
            };
            let chosen = choose(&routing, self.config, &query);
            story.policies = active.as_ref().map_or_else(Vec::new, MatchedPolicies::applied);
            let is_capped = matches!(chosen, Err(NoTarget::Capped(_)));
            match chosen {
                Ok(target) => {
                    story.service = Some(weighted.service.clone());
                    return Ok(target);
                }
                Err(NoTarget::Full(preferred) | NoTarget::Capped(preferred)) => {
                    refusal = if is_capped { Refusal::Capped } else { Refusal::Full };
                    story.load = preferred.load(Instant::now());
                    story.service = Some(weighted.service.clone());
                    story.target = Some(preferred);
                }
                Err(NoTarget::NoneUsable) => {}
            }
        }
        Err(refusal)
    }

    /// The operators' policies that select the request.
    fn active(
        &self,
        routing: &Routing,
        settings: &Settings,
        service: &str,
        object: u64,
    ) -> Option<MatchedPolicies<'_>> {
        let facts = RequestFacts {
            service,
            route: &self.route.name,
            region: &settings.region,
            hall: &settings.hall,
            method: &self.parts.method,
            uri: &self.parts.uri,
            headers: &self.parts.headers,
        };
        MatchedPolicies::find(routing.policies.as_ref()?, &facts, object, &self.charge)
    }

    fn note_fault(&self, fault: &Fault, target: &Target) {
        let id = self.parts.headers.get(&self.instance.names.request_id);
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
        let paid = self.instance.retries.borrow_mut().spend();
        let counter = if paid { &self.instance.metrics.retries } else { &self.instance.metrics.retries_denied };
        counter.inc();
        paid
    }

    /// The request for one target; `None` where its body is gone.
    fn request(&self, body: &mut IncomingBody, target: &Target) -> Option<Request<RequestBody>> {
        let mut request = Request::new(body.send()?);
        *request.method_mut() = self.parts.method.clone();
        *request.uri_mut() = self.parts.uri.clone();
        *request.version_mut() = Version::HTTP_11;
        *request.headers_mut() = self.parts.headers.clone();
        let names = &self.instance.names;
        let left = self.until.saturating_duration_since(Instant::now()).as_millis() as u64;
        request.headers_mut().insert(&names.deadline_ms, HeaderValue::from(left));
        let id = HeaderValue::from_str(&target.id).ok()?;
        request.headers_mut().insert(&names.expected_target, id);
        Some(request)
    }

    async fn send(&self, request: Request<RequestBody>, target: &Rc<Target>) -> Result<Response<AnswerBody>, Fault> {
        let sent = match request.body() {
            RequestBody::Streamed(streamed) => streamed.finished(),
            RequestBody::Buffered(_) => Rc::new(Cell::new(true)),
        };
        let started = Instant::now();
        let exchange = Exchange {
            names: &self.instance.names,
            in_flight: target.enter(started),
            request_id: self.parts.headers.get(&self.instance.names.request_id),
            until: self.until,
            deadline: self.until,
            sent,
            started,
        };
        exchange.run(request).await
    }
}
