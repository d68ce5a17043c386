//! The callers' listener: bounds on their connections, and the count of their requests
//! in flight, on which a planned stop waits.
//!
//! Hands each request to [`crate::proxy::request`]. Relies on the configuration's limits.

use crate::model::config::{Idempotency, Route};
use crate::net::server::{CallerBody, ConnectionLimits, Handler};
use crate::platform::Platform;
use crate::proxy::answer_body::AnswerBody;
use crate::proxy::buffered_answer::MAX_BUFFERED_ANSWER;
use crate::proxy::request;
use crate::state::Instance;
use hyper::http::request::Parts;
use hyper::{Request, Response};
use std::rc::Rc;

/// Callers' connections take at most one in this many of the descriptors: a request may need a
/// connection to a target as well.
const CALLER_DIVISOR: u32 = 2;

/// Answers that wait for those ahead of them on their connection take at most one in this many
/// bytes of the memory limit.
const EARLY_DIVISOR: u64 = 8;

/// Answers requests of callers.
pub struct CallerListener<P: Platform>(pub Rc<Instance<P>>);

/// Counts a request for as long as it is processed.
struct Active<'a, P: Platform>(&'a Instance<P>);

impl<'a, P: Platform> Active<'a, P> {
    fn new(instance: &'a Instance<P>) -> Self {
        instance.requests.begin();
        instance.metrics.active.inc();
        Self(instance)
    }
}

impl<P: Platform> Drop for Active<'_, P> {
    fn drop(&mut self) {
        self.0.requests.end();
        self.0.metrics.active.dec();
    }
}

impl<P: Platform> CallerListener<P> {
    /// Whether the answer to one more request may wait for those ahead of it.
    fn has_early_room(&self) -> bool {
        let most = self.0.settings.borrow().memory / EARLY_DIVISOR;
        self.0.requests.unanswered().saturating_add(1).saturating_mul(MAX_BUFFERED_ANSWER as u64) <= most
    }

    /// Whether a request has a route in the configuration in force of which this holds.
    fn is_on_route(&self, head: &Parts, holds: impl FnOnce(&Route) -> bool) -> bool {
        let routing = self.0.routing.borrow();
        let Some(config) = &routing.config else { return false };
        request::find_route(config, &head.uri, &head.headers).is_ok_and(holds)
    }
}

fn is_repeatable(route: &Route) -> bool {
    route.idempotency == Idempotency::Idempotent
}

impl<P: Platform> Handler for CallerListener<P> {
    type Body = AnswerBody;

    async fn answer(self: Rc<Self>, request: Request<CallerBody>) -> Response<AnswerBody> {
        let _active = Active::new(&self.0);
        request::answer(&self.0, request).await
    }

    fn limits(&self) -> ConnectionLimits {
        let routing = self.0.routing.borrow();
        // Before the first configuration there are none to apply: the defaults bound the
        // few callers that arrive, whose requests wait for it.
        let limits = routing.config.as_ref().map(|config| config.limits).unwrap_or_default();
        ConnectionLimits {
            head_bytes: limits.head_bytes,
            head_time: limits.head_time,
            idle_time: limits.idle_time,
            connections: (self.0.settings.borrow().descriptors / CALLER_DIVISOR).max(1),
        }
    }

    fn connections(&self, change: i64) {
        self.0.metrics.connections.add(change);
    }

    fn may_begin_early(&self, head: &Parts) -> bool {
        // A large answer that nobody reads yet would hold its target.
        let may_begin = |route: &Route| is_repeatable(route) && !route.large_answers;
        !self.is_stopping() && self.has_early_room() && self.is_on_route(head, may_begin)
    }

    fn may_be_overtaken(&self, head: &Parts) -> bool {
        self.is_on_route(head, is_repeatable)
    }

    fn is_stopping(&self) -> bool {
        self.0.lifecycle.is_stopping()
    }

    fn unanswered(&self, change: i64) {
        self.0.requests.count_unanswered(change);
    }
}
