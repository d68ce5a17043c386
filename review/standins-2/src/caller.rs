//! Requests of clients, each over a connection of its own or over a kept one, and what came of them.

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use standins::http::{self, NoReply, Reply};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

pub const HOST: &str = "shop.example";

#[derive(Clone, Debug)]
pub struct Sent {
    pub id: String,
    pub instance: String,
    pub path: String,
    pub at: Instant,
    pub ended: Instant,
    /// Status; `None` if the connection ended without a whole answer.
    pub status: Option<u16>,
    pub signature: String,
    pub body: String,
}

pub fn request(
    method: &str,
    path: &str,
    id: &str,
    object: &str,
    deadline_ms: u64,
    body: Bytes,
) -> Request<Full<Bytes>> {
    Request::builder()
        .method(method)
        .uri(path)
        .header("host", HOST)
        .header("lockloft-request-id", id)
        .header("lockloft-deadline-ms", deadline_ms)
        .header("lockloft-affinity-key", object)
        .body(Full::new(body))
        .expect("the parts are good")
}

/// Sends a request over a connection of its own.
pub async fn send(name: &str, to: SocketAddr, request: Request<Full<Bytes>>) -> Sent {
    let id = request.headers()["lockloft-request-id"].to_str().unwrap().to_owned();
    let path = request.uri().path().to_owned();
    let at = Instant::now();
    let result: Result<Reply, NoReply> = http::once(to, request, Duration::from_secs(12)).await;
    let (status, signature, body) = match &result {
        Ok(reply) => (
            Some(reply.status.as_u16()),
            reply.header("lockloft-response-signature").to_owned(),
            String::from_utf8_lossy(&reply.body).into_owned(),
        ),
        Err(_) => (None, String::new(), String::new()),
    };
    Sent { id, instance: name.to_owned(), path, at, ended: Instant::now(), status, signature, body }
}
