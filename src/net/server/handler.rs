//! The interface between a listener and the code that processes its requests and sets its limits.

use crate::net::server::caller_body::CallerBody;
use crate::net::server::connections::Connections;
use crate::net::server::limits::ConnectionLimits;
use hyper::body::{Body, Bytes};
use hyper::http::request::Parts;
use hyper::{Request, Response};
use std::cell::Cell;
use std::rc::Rc;

/// Processes the requests of a listener.
pub trait Handler: 'static {
    /// Type of the response body.
    type Body: Body<Data = Bytes, Error: std::error::Error + Send + Sync> + Unpin;
    /// Processes a request and returns its response.
    fn handle(self: Rc<Self>, request: Request<CallerBody>) -> impl Future<Output = Response<Self::Body>>;
    /// Limits on the listener's connections; read again for each new connection.
    fn limits(&self) -> ConnectionLimits;
    /// The list in which the listener's connections are while they are open.
    fn connections(&self) -> &Rc<Connections>;
    /// Count of the bytes that a response body holds in memory, which its connection has not received.
    fn held_bytes(_body: &Self::Body) -> Rc<Cell<u64>> {
        Rc::default()
    }
    /// Called with 1 when a connection opens and with -1 when it closes.
    fn count_connections(&self, change: i64);
    /// Whether a request without a body may begin before the requests ahead of it on its connection
    /// have their responses. True only for an idempotent request.
    fn may_begin_early(&self, _head: &Parts) -> bool {
        false
    }
    /// Whether requests behind this one may begin before it has its response. True only for an
    /// idempotent request: the caller of any other may rely on the order.
    fn allows_early_requests_behind(&self, _head: &Parts) -> bool {
        false
    }
    /// Whether the instance is stopping: connections then close with the response to the last request
    /// that was read.
    fn is_stopping(&self) -> bool {
        false
    }
    /// Called with 1 when a request was read before its turn. Called with -1 when it begins at its
    /// turn, when its early response is ready at its turn, or when it is cancelled.
    fn count_read_ahead(&self, _change: i64) {}
}
