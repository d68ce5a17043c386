//! The callers' listener: bounds on their connections, and the count of their requests
//! in flight, on which a planned stop waits.
//!
//! Hands each request to [`crate::proxy::request`]. Relies on the configuration's limits.

use crate::model::config::Repeat;
use crate::net::server::{CallerBody, ConnectionLimits, Handler};
use crate::platform::Platform;
use crate::proxy::answer_body::AnswerBody;
use crate::proxy::request;
use crate::state::Instance;
use hyper::http::request::Parts;
use hyper::{Request, Response};
use std::rc::Rc;

/// Callers' connections take at most one in this many of the descriptors: a request may
/// need a connection to a target as well. No run set it.
const CALLER_DIVISOR: u32 = 2;

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
        let routing = self.0.routing.borrow();
        let Some(config) = routing.config.as_ref().filter(|_| !self.is_stopping()) else { return false };
        request::find_route(config, &head.uri, &head.headers).is_ok_and(|route| route.repeat == Repeat::Safe)
    }

    fn is_stopping(&self) -> bool {
        self.0.lifecycle.is_stopping()
    }

    fn unanswered(&self, change: i64) {
        self.0.requests.count_unanswered(change);
    }
}
