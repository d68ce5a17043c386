//! A connection to a peer, over which it is asked for changes.
//!
//! Owns the connection, and how long a peer may be silent. A large answer over a slow
//! link is not silence: it is read for as long as it comes along. Relies on
//! [`crate::net::whole_body`] for that, and on [`crate::net::gzip`].

use super::{CHANGES_PATH, COMPUTED_AFTER_HEADER, ChangeSet, RECEIVING_HEADER};
use crate::clock::{Instant, timeout};
use crate::net::dial;
use crate::net::gzip::{self, GZIP, GzipError};
use crate::net::whole_body::{ReadError, ReadLimits, read_whole};
use crate::state::StoreCopy;
use crate::store::era::{Era, Position};
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::header::{ACCEPT_ENCODING, HOST};
use hyper::{HeaderMap, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;
use tokio::task::AbortHandle;

/// Longest time to open a connection, to begin an answer beyond the wait asked for, and without a
/// byte of one that has begun. With the wait of 0.7 s of a relay it makes 1.3 s, after which a view
/// is stale.
const STALL_TIMEOUT: Duration = Duration::from_millis(600);
/// Largest body of an answer, bytes: several times the largest view (some 4 MB at 3,000 targets).
const MAX_RESPONSE_SIZE: usize = 12 << 20;

/// Largest answer to a body that was posted, bytes: some thousand tenants.
const MAX_POST_RESPONSE_SIZE: usize = 64 << 10;

/// Why a peer gave no changes.
#[derive(Debug, Error)]
pub enum PeerError {
    /// No byte of an answer came in time.
    #[error("the peer did not answer in time")]
    NoResponse,
    /// An answer began and did not come along.
    #[error("the peer's answer came too slowly: {received} bytes came in time, but not the end")]
    ResponseTimedOut {
        /// Bytes of the body that had come.
        received: usize,
    },
    /// The connection broke or could not be made.
    #[error("the connection to the peer broke: {0}")]
    ConnectionFailed(String),
    /// The answer is not a set of changes.
    #[error("the peer's answer cannot be read: {0}; check the peer's version")]
    InvalidResponse(#[source] serde_json::Error),
    /// The answer cannot be decompressed.
    #[error("the peer's answer cannot be read: {0}")]
    InvalidCompression(#[from] GzipError),
}

impl From<ReadError> for PeerError {
    fn from(error: ReadError) -> Self {
        match error {
            ReadError::TimedOut { received } => PeerError::ResponseTimedOut { received },
            ReadError::Broken(error) => connection_failed(error),
            ReadError::TooLarge(_) => connection_failed(error),
        }
    }
}

/// A connection to a peer. Dropped, it is closed.
pub struct PeerConnection {
    /// Where the peer listens.
    pub peer: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
    driver: AbortHandle,
}

impl Drop for PeerConnection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

fn connection_failed(error: impl std::fmt::Display) -> PeerError {
    PeerError::ConnectionFailed(error.to_string())
}

impl PeerConnection {
    /// Connects to a peer.
    ///
    /// # Errors
    /// [`PeerError`] where it cannot be reached in time.
    pub async fn open(peer: SocketAddr) -> Result<Self, PeerError> {
        let opened = timeout(STALL_TIMEOUT, dial::connect(peer)).await.map_err(|_| PeerError::NoResponse)?;
        let (sender, connection) =
            handshake(TokioIo::new(opened.map_err(connection_failed)?)).await.map_err(connection_failed)?;
        let driver = tokio::task::spawn_local(connection).abort_handle();
        Ok(Self { peer, sender, driver })
    }

    /// Posts a body to a path; gives the body of the answer, of `MAX_POST_RESPONSE_SIZE` at most. All of it
    /// takes `limit` at most.
    ///
    /// # Errors
    /// [`PeerError`]; the link cannot be used again.
    pub async fn post(&mut self, path: &str, body: Bytes, limit: Duration) -> Result<Bytes, PeerError> {
        let host = self.peer.to_string();
        let request = Request::post(path).header(HOST, host).body(Full::new(body)).map_err(connection_failed)?;
        let deadline = Instant::now() + limit;
        let head = timeout(limit, self.sender.send_request(request)).await;
        let response = head.map_err(|_| PeerError::NoResponse)?.map_err(connection_failed)?;
        if response.status() != StatusCode::OK {
            return Err(connection_failed(format!("it answered {}", response.status())));
        }
        let total = deadline.saturating_duration_since(Instant::now());
        let limits = ReadLimits { stall: total, total, size: MAX_POST_RESPONSE_SIZE };
        Ok(read_whole(response.into_body(), limits).await?)
    }

    /// Asks for changes after this instance's position; the peer waits up to `wait` for one. The
    /// answer has begun when this returns.
    ///
    /// # Errors
    /// [`PeerError`]; the link cannot be used again.
    pub async fn request_changes(&mut self, request: PeerRequest, wait: Duration) -> Result<PeerResponse, PeerError> {
        let request = Request::builder()
            .uri(request.uri(wait))
            .header(HOST, self.peer.to_string())
            .header(ACCEPT_ENCODING, GZIP)
            .body(Full::default())
            .map_err(connection_failed)?;
        let requested_at = Instant::now();
        let head = timeout(wait + STALL_TIMEOUT, self.sender.send_request(request)).await;
        let response = head.map_err(|_| PeerError::NoResponse)?.map_err(connection_failed)?;
        Ok(PeerResponse { response, requested_at, response_started_at: Instant::now() })
    }
}

/// A question to a peer for changes.
#[derive(Clone, Copy, Debug, Default)]
pub struct PeerRequest {
    /// The position up to which this instance has the changes.
    after: Position,
    /// The latest era of the store known to this instance.
    latest_era: Era,
}

impl PeerRequest {
    /// Asks for the changes that a copy of the store lacks.
    pub fn for_copy(copy: &StoreCopy) -> Self {
        Self { after: copy.view().at(), latest_era: copy.latest_era().get() }
    }

    /// Path and query. The eras are omitted if the store reports none.
    pub fn uri(self, wait: Duration) -> String {
        let Self { after: Position { era, revision }, latest_era } = self;
        let eras = match latest_era.is_unknown() {
            true => String::new(),
            false => format!("&era={}&latest_era={}", era.0, latest_era.0),
        };
        format!("{CHANGES_PATH}?after={revision}&wait_ms={}{eras}", wait.as_millis())
    }
}

/// The answer of a peer, of which the head has come.
pub struct PeerResponse {
    response: Response<Incoming>,
    requested_at: Instant,
    response_started_at: Instant,
}

impl PeerResponse {
    /// Whether the peer's view is stale, but an answer with changes is under way to it.
    pub fn is_receiving(&self) -> bool {
        self.response.headers().contains_key(RECEIVING_HEADER)
    }

    /// Reads the changes, for `total` at most. Their ages include the time that the
    /// answer was under way.
    ///
    /// # Errors
    /// [`PeerError`]; the link cannot be used again.
    pub async fn read(self, total: Duration) -> Result<ChangeSet, PeerError> {
        let (head, body) = self.response.into_parts();
        let limits = ReadLimits { stall: STALL_TIMEOUT, total, size: MAX_RESPONSE_SIZE };
        let mut body = read_whole(body, limits).await?;
        if gzip::is_used(&head.headers) {
            body = gzip::decompress(&body)?;
        }
        let changes: ChangeSet = serde_json::from_slice(&body).map_err(PeerError::InvalidResponse)?;
        Ok(changes.with_delay(time_since_computed(&head.headers, self.requested_at, self.response_started_at)))
    }
}

/// Upper bound on the time since the peer worked out the ages in its answer. A peer of an
/// older version does not say when it did; the time since the answer began then stands
/// for it, which leaves out that of the head on its way.
fn time_since_computed(headers: &HeaderMap, requested_at: Instant, response_started_at: Instant) -> Duration {
    let reported = headers.get(COMPUTED_AFTER_HEADER).and_then(|value| value.to_str().ok()?.parse::<i64>().ok());
    let Some(after_ms) = reported else { return response_started_at.elapsed() };
    let after = Duration::from_millis(after_ms.unsigned_abs());
    if after_ms < 0 { requested_at.elapsed() + after } else { requested_at.elapsed().saturating_sub(after) }
}
