//! What a listener relies on: answers, and bounds on its connections.

use crate::net::server::limits::ConnectionLimits;
use hyper::body::{Body, Bytes, Incoming};
use hyper::{Request, Response};
use std::rc::Rc;

/// What answers the requests of a listener.
pub trait Handler: 'static {
    /// The body of an answer.
    type Body: Body<Data = Bytes, Error: std::error::Error + Send + Sync> + Unpin;
    /// Answers a request.
    fn answer(self: Rc<Self>, request: Request<Incoming>) -> impl Future<Output = Response<Self::Body>>;
    /// Bounds on its connections, asked for each new one.
    fn limits(&self) -> ConnectionLimits;
    /// Called when a connection opens (1) and closes (-1).
    fn connections(&self, change: i64);
}
