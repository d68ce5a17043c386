//! What a listener relies on: answers, and bounds on its connections.

use crate::net::server::caller_body::CallerBody;
use crate::net::server::limits::ConnectionLimits;
use hyper::body::{Body, Bytes};
use hyper::http::request::Parts;
use hyper::{Request, Response};
use std::rc::Rc;

/// What answers the requests of a listener.
pub trait Handler: 'static {
    /// The body of an answer.
    type Body: Body<Data = Bytes, Error: std::error::Error + Send + Sync> + Unpin;
    /// Answers a request.
    fn handle(self: Rc<Self>, request: Request<CallerBody>) -> impl Future<Output = Response<Self::Body>>;
    /// Bounds on its connections, asked for each new one.
    fn limits(&self) -> ConnectionLimits;
    /// Called when a connection opens (1) and closes (-1).
    fn count_connections(&self, change: i64);
    /// Whether a request without a body may begin before those ahead of it on its connection are
    /// answered: only one that may run more than once.
    fn may_begin_early(&self, _head: &Parts) -> bool {
        false
    }
    /// Whether requests behind this one may begin before it is answered: only where it may run more
    /// than once, since its caller may rely on the order otherwise.
    fn allows_pipelining(&self, _head: &Parts) -> bool {
        false
    }
    /// Whether connections close with the answer to the last request that was read.
    fn is_stopping(&self) -> bool {
        false
    }
    /// Called when a request was read before its turn (1), and when its answer is ready at its
    /// turn, it begins at its turn, or it is broken off (-1).
    fn count_unanswered(&self, _change: i64) {}
}
