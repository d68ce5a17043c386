//! A request that began before the requests ahead of it on its connection had their responses.
//!
//! Owns the task that processes the request. Dropping the value cancels the task.

use crate::clock::Instant;
use crate::net::server::caller_body::CallerBody;
use crate::net::server::handler::Handler;
use crate::task;
use hyper::http::request::Parts;
use hyper::{HeaderMap, Method, Request, Response, Uri};
use std::rc::Rc;
use tokio::task::{JoinError, JoinHandle};

/// Extension of a request that was read ahead: when it was received, and whether it began early.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    /// When the last byte of its head was read.
    pub read_at: Instant,
    /// Whether the request began before its turn.
    pub is_early: bool,
}

/// Counts a request that was read before its turn ([`Handler::count_read_ahead`]) until the guard is
/// dropped: when the request begins at its turn, when its early response is ready at its turn, or
/// when it is cancelled.
pub struct ReadAheadGuard<H: Handler>(Rc<H>);

impl<H: Handler> ReadAheadGuard<H> {
    /// Counts one request.
    pub fn new(handler: Rc<H>) -> Self {
        handler.count_read_ahead(1);
        Self(handler)
    }
}

impl<H: Handler> Drop for ReadAheadGuard<H> {
    fn drop(&mut self) {
        self.0.count_read_ahead(-1);
    }
}

/// A request that is processed before its turn.
pub struct EarlyRequest<H: Handler> {
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    task: JoinHandle<Response<H::Body>>,
    _guard: ReadAheadGuard<H>,
}

impl<H: Handler> EarlyRequest<H> {
    /// Begins a request without a body whose head was read at `read_at`.
    pub fn new(handler: &Rc<H>, mut parts: Parts, read_at: Instant) -> Self {
        let (method, uri, headers) = (parts.method.clone(), parts.uri.clone(), parts.headers.clone());
        parts.extensions.insert(Arrival { read_at, is_early: true });
        let request = Request::from_parts(parts, CallerBody::Empty);
        let task = task::spawn_passing("early-request", handler.clone().handle(request));
        Self { method, uri, headers, task, _guard: ReadAheadGuard::new(handler.clone()) }
    }

    /// Whether this is the request that hyper has read: method, URI and headers are equal.
    pub fn matches(&self, parts: &Parts) -> bool {
        self.method == parts.method && self.uri == parts.uri && self.headers == parts.headers
    }

    /// Waits for the response.
    ///
    /// # Errors
    /// [`JoinError`] if the handler panicked.
    pub async fn response(mut self) -> Result<Response<H::Body>, JoinError> {
        (&mut self.task).await
    }
}

impl<H: Handler> Drop for EarlyRequest<H> {
    fn drop(&mut self) {
        self.task.abort();
    }
}
