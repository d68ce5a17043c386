//! A request that was begun before those ahead of it were answered.
//!
//! Owns the task that answers it, which ends with it: dropped, the request is broken off.

use crate::clock::Instant;
use crate::net::server::caller_body::CallerBody;
use crate::net::server::handler::Handler;
use hyper::http::request::Parts;
use hyper::{HeaderMap, Method, Request, Response, Uri};
use std::rc::Rc;
use tokio::task::{JoinError, JoinHandle, spawn_local};

/// How a request arrived that was read ahead.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    /// When its head was read.
    pub read_at: Instant,
    /// Whether it was begun before its turn.
    pub is_early: bool,
}

/// Counts a request for as long as it was read and its answer is not under way to its caller.
pub struct UnansweredGuard<H: Handler>(Rc<H>);

impl<H: Handler> UnansweredGuard<H> {
    /// Counts one.
    pub fn new(handler: Rc<H>) -> Self {
        handler.count_unanswered(1);
        Self(handler)
    }
}

impl<H: Handler> Drop for UnansweredGuard<H> {
    fn drop(&mut self) {
        self.0.count_unanswered(-1);
    }
}

/// A request whose answer is under way.
pub struct EarlyRequest<H: Handler> {
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    task: JoinHandle<Response<H::Body>>,
    _unanswered: UnansweredGuard<H>,
}

impl<H: Handler> EarlyRequest<H> {
    /// Begins a request whose head was read at a moment.
    pub fn new(handler: &Rc<H>, mut parts: Parts, read_at: Instant) -> Self {
        let (method, uri, headers) = (parts.method.clone(), parts.uri.clone(), parts.headers.clone());
        parts.extensions.insert(Arrival { read_at, is_early: true });
        let request = Request::from_parts(parts, CallerBody::Empty);
        let task = spawn_local(handler.clone().handle(request));
        Self { method, uri, headers, task, _unanswered: UnansweredGuard::new(handler.clone()) }
    }

    /// Whether it is the request that hyper read.
    pub fn matches(&self, parts: &Parts) -> bool {
        self.method == parts.method && self.uri == parts.uri && self.headers == parts.headers
    }

    /// Its answer.
    ///
    /// # Errors
    /// Where answering it has panicked.
    pub async fn response(mut self) -> Result<Response<H::Body>, JoinError> {
        (&mut self.task).await
    }
}

impl<H: Handler> Drop for EarlyRequest<H> {
    fn drop(&mut self) {
        self.task.abort();
    }
}
