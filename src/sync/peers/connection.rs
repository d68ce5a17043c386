//! A connection to a peer, for requests for changes and for posts of reports.
//!
//! Owns the connection and its timeouts. A large response over a slow link does not count as stalled
//! while bytes keep arriving. Relies on [`crate::net::whole_body`] for that, and on
//! [`crate::net::gzip`].

use super::{CHANGES_PATH, COMPUTED_AFTER_HEADER, ChangeSet, RECEIVING_HEADER};
use crate::clock::{Instant, timeout};
use crate::net::client::{ClientConnection, ReceivedBody};
use crate::net::dial;
use crate::net::gzip::{self, GZIP, GzipError};
use crate::net::whole_body::{ReadError, ReadLimits, read_whole};
use crate::state::StoreCopy;
use crate::store::era::{Era, Position};
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{ACCEPT_ENCODING, HOST};
use hyper::{HeaderMap, Request, Response, StatusCode};
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;

/// Maximum time for each of: opening a connection, the start of a response after the requested wait,
/// and a pause within a response. Together with the wait of 0.7 s at a relay it is 1.3 s, the age from
/// which a view is stale.
const STALL_TIMEOUT: Duration = Duration::from_millis(600);
/// Maximum response body, bytes: several times the largest view (about 4 MB at 3,000 targets).
const MAX_RESPONSE_SIZE: usize = 12 << 20;

/// Maximum response body to a post, bytes: enough for some thousand tenants.
const MAX_POST_RESPONSE_SIZE: usize = 64 << 10;

/// Why a request to a peer failed.
#[derive(Debug, Error)]
pub enum PeerError {
    /// The connection was not opened, or no response started, in time.
    #[error("the peer did not respond in time")]
    NoResponse,
    /// A response started but was not complete in time, or stalled.
    #[error("the peer's response was not complete in time: {received} bytes were received")]
    ResponseTimedOut {
        /// Bytes of the body that were received.
        received: usize,
    },
    /// The connection failed or could not be opened, the response is too large, or a post got a
    /// status other than 200. Holds the cause.
    #[error("the request to the peer failed: {0}")]
    RequestFailed(String),
    /// The response is not a valid [`ChangeSet`].
    #[error("the peer's response is invalid: {0}; check the peer's version")]
    InvalidResponse(#[source] serde_json::Error),
    /// The response cannot be decompressed.
    #[error("the peer's response is invalid: {0}")]
    InvalidCompression(#[from] GzipError),
}

impl From<ReadError> for PeerError {
    fn from(error: ReadError) -> Self {
        match error {
            ReadError::TimedOut { received } => PeerError::ResponseTimedOut { received },
            ReadError::ConnectionFailed(error) => request_failed(error),
            ReadError::TooLarge(_) => request_failed(error),
        }
    }
}

/// A connection to a peer; closed when dropped.
pub struct PeerConnection {
    /// The address on which the peer listens for peers.
    pub peer: SocketAddr,
    connection: ClientConnection<Full<Bytes>>,
}

fn request_failed(error: impl std::fmt::Display) -> PeerError {
    PeerError::RequestFailed(error.to_string())
}

impl PeerConnection {
    /// Connects to a peer.
    ///
    /// # Errors
    /// [`PeerError`] if it cannot be reached in time.
    pub async fn open(peer: SocketAddr) -> Result<Self, PeerError> {
        let opened = timeout(STALL_TIMEOUT, dial::connect(peer)).await.map_err(|_| PeerError::NoResponse)?;
        let connection = ClientConnection::new(opened.map_err(request_failed)?).await.map_err(request_failed)?;
        Ok(Self { peer, connection })
    }

    /// Posts a body to a path within `limit`; returns the body of the response, which may have
    /// `MAX_POST_RESPONSE_SIZE` at most.
    ///
    /// # Errors
    /// [`PeerError`]; the connection cannot be used again.
    pub async fn post(&mut self, path: &str, body: Bytes, limit: Duration) -> Result<Bytes, PeerError> {
        let host = self.peer.to_string();
        let request = Request::post(path).header(HOST, host).body(Full::new(body)).map_err(request_failed)?;
        let deadline = Instant::now() + limit;
        let response = timeout(limit, self.connection.send(request)).await;
        let response = response.map_err(|_| PeerError::NoResponse)?.map_err(request_failed)?;
        if response.status() != StatusCode::OK {
            return Err(request_failed(format!("status {}", response.status())));
        }
        let total = deadline.saturating_duration_since(Instant::now());
        let limits = ReadLimits { stall: total, total, size: MAX_POST_RESPONSE_SIZE };
        Ok(read_whole(response.into_body(), limits).await?)
    }

    /// Requests the changes after this instance's position; the peer waits up to `wait` for one.
    /// Returns once the headers of the response have arrived.
    ///
    /// # Errors
    /// [`PeerError`]; the connection cannot be used again.
    pub async fn request_changes(&mut self, request: PeerRequest, wait: Duration) -> Result<PeerResponse, PeerError> {
        let request = Request::builder()
            .uri(request.uri(wait))
            .header(HOST, self.peer.to_string())
            .header(ACCEPT_ENCODING, GZIP)
            .body(Full::default())
            .map_err(request_failed)?;
        let sent_at = Instant::now();
        let response = timeout(wait + STALL_TIMEOUT, self.connection.send(request)).await;
        let response = response.map_err(|_| PeerError::NoResponse)?.map_err(request_failed)?;
        Ok(PeerResponse { response, sent_at, response_started_at: Instant::now() })
    }
}

/// A request to a peer for changes.
#[derive(Clone, Copy, Debug, Default)]
pub struct PeerRequest {
    /// The position up to which this instance has the changes.
    after: Position,
    /// The latest era of the store known to this instance.
    latest_era: Era,
}

impl PeerRequest {
    /// A request for the changes that a copy of the store lacks.
    pub fn for_copy(copy: &StoreCopy) -> Self {
        Self { after: copy.view().position(), latest_era: copy.latest_era().get() }
    }

    /// Path and query of the request. What is not known of the eras is omitted.
    pub fn uri(self, wait: Duration) -> String {
        let Self { after: Position { era, revision }, latest_era } = self;
        let eras = match latest_era.is_unknown() {
            true => String::new(),
            false => format!("&era={}&latest_era={}", era.number, latest_era.number),
        };
        let rewinds = match latest_era.rewinds.is_none() {
            true => String::new(),
            false => format!("&rewinds={}&latest_rewinds={}", era.rewinds, latest_era.rewinds),
        };
        format!("{CHANGES_PATH}?after={revision}&wait_ms={}{eras}{rewinds}", wait.as_millis())
    }
}

/// A peer's response whose headers have arrived.
pub struct PeerResponse {
    response: Response<ReceivedBody>,
    sent_at: Instant,
    response_started_at: Instant,
}

impl PeerResponse {
    /// Whether the peer or its relay is receiving a response with changes.
    pub fn is_receiving(&self) -> bool {
        self.response.headers().contains_key(RECEIVING_HEADER)
    }

    /// Reads the changes, for `total` at most. Their ages include the transfer time of the response.
    ///
    /// # Errors
    /// [`PeerError`]; the connection cannot be used again.
    pub async fn read(self, total: Duration) -> Result<ChangeSet, PeerError> {
        let (parts, body) = self.response.into_parts();
        let limits = ReadLimits { stall: STALL_TIMEOUT, total, size: MAX_RESPONSE_SIZE };
        let mut body = read_whole(body, limits).await?;
        if gzip::is_used(&parts.headers) {
            body = gzip::decompress(&body)?;
        }
        let changes: ChangeSet = serde_json::from_slice(&body).map_err(PeerError::InvalidResponse)?;
        Ok(changes.with_delay(time_since_computed(&parts.headers, self.sent_at, self.response_started_at)))
    }
}

/// Upper bound on the time since the peer computed the ages in its response. A peer of an older
/// version does not report when it did so. The time since the headers arrived is then used, which
/// leaves out their latency.
fn time_since_computed(headers: &HeaderMap, sent_at: Instant, response_started_at: Instant) -> Duration {
    let reported = headers.get(COMPUTED_AFTER_HEADER).and_then(|value| value.to_str().ok()?.parse::<i64>().ok());
    let Some(after_ms) = reported else { return response_started_at.elapsed() };
    let after = Duration::from_millis(after_ms.unsigned_abs());
    if after_ms < 0 { sent_at.elapsed() + after } else { sent_at.elapsed().saturating_sub(after) }
}
