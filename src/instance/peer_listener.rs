//! The address for peers, operators and metrics.
//!
//! Owns the choice by path; [`peers`] and [`operator`] answer. Relies on the limits for
//! connections inside the platform.

use crate::model::forwarded::FORWARD_PATH;
use crate::net::gzip::{self, GZIP};
use crate::net::server::{CallerBody, ConnectionLimits, Connections, Handler};
use crate::operator;
use crate::platform::Platform;
use crate::proxy::forwarded;
use crate::proxy::response_body::ResponseBody;
use crate::state::{Instance, StaleReason};
use crate::sync::peers::{self, ChangesRequest, ChangesResponse, ResponseCache, ViewQueue};
use crate::sync::{allowances, limits, usage};
use crate::task;
use hyper::header::{CONTENT_ENCODING, HeaderValue};
use hyper::{Method, Request, Response, StatusCode};
use std::cell::Cell;
use std::rc::Rc;

/// Path of the metrics.
const METRICS_PATH: &str = "/metrics";

/// Peers' connections take at most the file descriptors divided by this, or 256 if that is more: the head of
/// a hall has one from each instance of the hall, and a seed one from each that starts.
const PEER_CONNECTION_DIVISOR: u32 = 8;

/// Bytes that forwarding adds to the head of a request, beside its path.
const FORWARDED_HEAD_SIZE: usize = 1024;

/// Answers peers, operators, and whoever reads the metrics.
pub struct PeerHandler<P: Platform> {
    instance: Rc<Instance<P>>,
    cache: ResponseCache,
    queue: ViewQueue,
}

impl<P: Platform> PeerHandler<P> {
    /// Answers for this instance.
    pub fn new(instance: Rc<Instance<P>>) -> Self {
        Self { instance, cache: ResponseCache::default(), queue: ViewQueue::default() }
    }

    async fn changes(&self, request: &Request<CallerBody>) -> Response<ResponseBody> {
        let query = request.uri().query().unwrap_or("");
        let takes_gzip = gzip::is_accepted(request.headers());
        let asked = ChangesRequest { query, accepts_gzip: takes_gzip };
        changes_response(peers::serve_changes(&self.instance, &self.cache, &self.queue, asked).await)
    }

    async fn usage(&self, request: Request<CallerBody>) -> Response<ResponseBody> {
        match usage::serve(&self.instance, request.into_body()).await {
            Ok(answer) => Response::new(ResponseBody::buffered(answer)),
            Err(error) => {
                tracing::warn!(event = "usage_refused", %error);
                ResponseBody::empty(StatusCode::BAD_REQUEST)
            }
        }
    }

    async fn take_limits(&self, request: Request<CallerBody>) -> Response<ResponseBody> {
        match limits::serve(&self.instance, request.into_body()).await {
            Ok(answer) => Response::new(ResponseBody::buffered(answer)),
            Err(error) => {
                tracing::warn!(event = "limits_refused", %error);
                ResponseBody::empty(StatusCode::BAD_REQUEST)
            }
        }
    }

    async fn grant_allowances(&self, request: Request<CallerBody>) -> Response<ResponseBody> {
        match allowances::serve(&self.instance, request.into_body()).await {
            Ok(answer) => Response::new(ResponseBody::buffered(answer)),
            Err(error) => {
                tracing::warn!(event = "allowances_refused", %error);
                ResponseBody::empty(StatusCode::BAD_REQUEST)
            }
        }
    }

    fn metrics(&self) -> Response<ResponseBody> {
        let Self { instance, .. } = self;
        let metrics = &instance.metrics;
        metrics.held_bytes.set(instance.requests.buffered_bytes() as i64);
        metrics.lines_dropped.set(instance.log.lines().dropped() as i64);
        metrics.lines_left_out.set(instance.log.lines().left_out() as i64);
        // -1 stands for a view that was never proven.
        metrics.view_age.set(instance.store_copy.view_age().map_or(-1, |age| age.as_millis() as i64));
        metrics.weight.set(operator::own_weight(instance).map_or(0, |weight| (weight * 100.0) as i64));
        metrics.set_task_ends(&task::end_counts());
        metrics.set_view_stale(instance.stale_reason().map(StaleReason::as_str));
        let at = instance.store_copy.view().position();
        metrics.view_revision.set(at.revision as i64);
        metrics.view_era.set(at.era.number as i64);
        Response::new(ResponseBody::buffered(metrics.text()))
    }
}

fn changes_response(served: ChangesResponse) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::buffered(served.body.bytes));
    let headers = response.headers_mut();
    headers.insert(peers::COMPUTED_AFTER_HEADER, served.computed_after_ms.into());
    if served.is_receiving {
        headers.insert(peers::RECEIVING_HEADER, HeaderValue::from_static("1"));
    }
    if served.body.is_compressed {
        headers.insert(CONTENT_ENCODING, HeaderValue::from_static(GZIP));
    }
    response
}

impl<P: Platform> Handler for PeerHandler<P> {
    type Body = ResponseBody;

    async fn handle(self: Rc<Self>, request: Request<CallerBody>) -> Response<ResponseBody> {
        match request.uri().path() {
            peers::CHANGES_PATH => self.changes(&request).await,
            METRICS_PATH => self.metrics(),
            usage::USAGE_PATH if request.method() == Method::POST => self.usage(request).await,
            FORWARD_PATH if request.method() == Method::POST => forwarded::serve(&self.instance, request).await,
            limits::LIMITS_PATH if request.method() == Method::POST => self.take_limits(request).await,
            allowances::ALLOWANCES_PATH if request.method() == Method::POST => self.grant_allowances(request).await,
            _ => {
                let answered = operator::answer(&self.instance, request).await;
                answered.unwrap_or_else(|| ResponseBody::empty(StatusCode::NOT_FOUND))
            }
        }
    }

    fn limits(&self) -> ConnectionLimits {
        let share = self.instance.settings().descriptors / PEER_CONNECTION_DIVISOR;
        let max_connections = share.max(ConnectionLimits::INTERNAL.max_connections);
        // A forwarded request has the headers of its caller.
        let routing = self.instance.routing.borrow();
        let caller_head = routing.config.as_ref().map_or(0, |config| config.limits.head_bytes);
        let head_bytes = ConnectionLimits::INTERNAL.head_bytes.max(caller_head + FORWARDED_HEAD_SIZE);
        ConnectionLimits { head_bytes, max_connections, ..ConnectionLimits::INTERNAL }
    }

    fn connections(&self) -> &Rc<Connections> {
        &self.instance.connections
    }

    fn held_bytes(body: &ResponseBody) -> Rc<Cell<u64>> {
        body.held_count()
    }

    fn count_connections(&self, _: i64) {}
}
