//! Handler of the listener for callers: limits on their connections, and the count of their requests in
//! flight, for which a planned stop waits.
//!
//! Passes each request to [`crate::proxy::request`]. Relies on the limits of the configuration.

use crate::decision::refusal::held_responses::CALLER_IDLE_TIMEOUT;
use crate::model::config::{Idempotency, Route};
use crate::net::server::{CallerBody, ConnectionLimits, Connections, Handler};
use crate::platform::Platform;
use crate::proxy::buffered_response::MAX_BUFFERED_RESPONSE;
use crate::proxy::origin::Origin;
use crate::proxy::request;
use crate::proxy::response_body::ResponseBody;
use crate::state::Instance;
use hyper::http::request::Parts;
use hyper::{Request, Response};
use std::cell::Cell;
use std::rc::Rc;

/// Callers' connections take at most the file descriptors divided by this: each request may need a
/// connection to a target as well.
const CALLER_CONNECTION_DIVISOR: u32 = 2;

/// Responses that wait for those ahead of them on their connection take at most the memory limit
/// divided by this.
const EARLY_RESPONSE_DIVISOR: u64 = 8;

/// Handles the requests of callers.
pub struct CallerHandler<P: Platform>(pub Rc<Instance<P>>);

/// Counts a request as in flight, also in the metric of active requests, until [`CallerHandler`] returns
/// the response. [`Connections`] lists the response from then on.
struct ActiveRequestGuard<'a, P: Platform>(&'a Instance<P>);

impl<'a, P: Platform> ActiveRequestGuard<'a, P> {
    fn new(instance: &'a Instance<P>) -> Self {
        instance.requests.begin();
        instance.metrics.active.inc();
        Self(instance)
    }
}

impl<P: Platform> Drop for ActiveRequestGuard<'_, P> {
    fn drop(&mut self) {
        self.0.requests.end();
        self.0.metrics.active.dec();
    }
}

impl<P: Platform> CallerHandler<P> {
    /// Whether there is memory for one more response that waits for those ahead of it on its
    /// connection, if each takes [`MAX_BUFFERED_RESPONSE`].
    fn has_memory_for_early_response(&self) -> bool {
        let max_bytes = self.0.settings.borrow().memory / EARLY_RESPONSE_DIVISOR;
        self.0.requests.read_ahead_count().saturating_add(1).saturating_mul(MAX_BUFFERED_RESPONSE as u64) <= max_bytes
    }

    /// Whether a request matches a route of the configuration in force for which `predicate` holds.
    fn has_route_where(&self, head: &Parts, predicate: impl FnOnce(&Route) -> bool) -> bool {
        let routing = self.0.routing.borrow();
        let Some(config) = &routing.config else { return false };
        request::find_route(config, &head.uri, &head.headers).is_ok_and(predicate)
    }
}

fn is_idempotent(route: &Route) -> bool {
    route.idempotency == Idempotency::Idempotent
}

impl<P: Platform> Handler for CallerHandler<P> {
    type Body = ResponseBody;

    async fn handle(self: Rc<Self>, request: Request<CallerBody>) -> Response<ResponseBody> {
        let _active = ActiveRequestGuard::new(&self.0);
        request::handle(&self.0, request, Origin::Caller).await.response
    }

    fn limits(&self) -> ConnectionLimits {
        let routing = self.0.routing.borrow();
        // Before the first configuration, the defaults limit the few callers that arrive, whose
        // requests wait for it.
        let limits = routing.config.as_ref().map(|config| config.limits).unwrap_or_default();
        ConnectionLimits {
            head_bytes: limits.head_bytes,
            head_time: limits.head_time,
            idle_time: limits.idle_time,
            stall_time: CALLER_IDLE_TIMEOUT,
            max_connections: (self.0.settings.borrow().descriptors / CALLER_CONNECTION_DIVISOR).max(1),
        }
    }

    fn connections(&self) -> &Rc<Connections> {
        &self.0.connections
    }

    fn held_bytes(body: &ResponseBody) -> Rc<Cell<u64>> {
        body.held_count()
    }

    fn count_connections(&self, change: i64) {
        self.0.metrics.connections.add(change);
    }

    fn may_begin_early(&self, head: &Parts) -> bool {
        // A large response that the caller cannot read yet would keep its target's slot occupied.
        let may_begin = |route: &Route| is_idempotent(route) && !route.large_responses;
        !self.is_stopping() && self.has_memory_for_early_response() && self.has_route_where(head, may_begin)
    }

    fn allows_early_requests_behind(&self, head: &Parts) -> bool {
        self.has_route_where(head, is_idempotent)
    }

    fn is_stopping(&self) -> bool {
        self.0.lifecycle.is_stopping()
    }

    fn count_read_ahead(&self, change: i64) {
        self.0.requests.count_read_ahead(change);
    }
}
