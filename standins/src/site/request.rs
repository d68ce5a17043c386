//! Requests as a caller sends them to an instance.

use super::HOST;
use crate::http::{self, NoReply, Reply};
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Method, Request};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::time::Duration;

/// What a caller gives a request where nothing else is said, milliseconds.
const DEADLINE_MS: u64 = 2_500;
/// Longest wait of a caller for a whole answer: beyond any deadline that tests
/// give, so that it is the instance that ends a request.
const WAIT: Duration = Duration::from_secs(10);

static NUMBER: AtomicU64 = AtomicU64::new(1);

/// An identity that no other request of this process has.
pub fn fresh_id() -> String {
    format!("request-{}", NUMBER.fetch_add(1, Relaxed))
}

/// A request to be sent.
#[derive(Clone, Debug)]
pub struct TestRequest {
    /// Its identity.
    pub id: String,
    /// Method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Affinity key: the object that it is about; none where empty.
    pub object: String,
    /// Time that the caller gives, milliseconds.
    pub deadline_ms: u64,
    /// Key of the caller's tenant; none where empty.
    pub api_key: String,
    /// Body.
    pub body: Bytes,
}

impl TestRequest {
    /// A GET with a fresh identity, about the object `1`.
    pub fn get(path: &str) -> Self {
        Self {
            id: fresh_id(),
            method: Method::GET,
            path: path.to_owned(),
            object: "1".to_owned(),
            deadline_ms: DEADLINE_MS,
            api_key: String::new(),
            body: Bytes::new(),
        }
    }

    /// A POST with a fresh identity, about the object `1`.
    pub fn post(path: &str, body: impl Into<Bytes>) -> Self {
        Self { method: Method::POST, body: body.into(), ..Self::get(path) }
    }

    /// About another object.
    pub fn affinity(mut self, object: impl ToString) -> Self {
        self.object = object.to_string();
        self
    }

    /// With a key.
    pub fn key(mut self, api_key: &str) -> Self {
        self.api_key = api_key.to_owned();
        self
    }

    /// The request on the wire.
    pub fn request(&self) -> Request<Full<Bytes>> {
        let mut builder = Request::builder()
            .method(self.method.clone())
            .uri(&self.path)
            .header("host", HOST)
            .header("lockloft-request-id", &self.id)
            .header("lockloft-deadline-ms", self.deadline_ms);
        if !self.object.is_empty() {
            builder = builder.header("lockloft-affinity-key", &self.object);
        }
        if !self.api_key.is_empty() {
            builder = builder.header("api-key", &self.api_key);
        }
        builder.body(Full::new(self.body.clone())).expect("the parts are good")
    }

    /// Sends it to an instance over a connection of its own.
    ///
    /// # Errors
    /// Where there is no whole answer within 10 s.
    pub async fn send(&self, instance: SocketAddr) -> Result<Reply, NoReply> {
        http::once(instance, self.request(), WAIT).await
    }
}
