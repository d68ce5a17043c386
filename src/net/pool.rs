//! Pool of connections to one target, which are reused while that is safe.
//!
//! Owns the idle connections to one address and the limits on their number and idle time. Relies on
//! what the target states about how long it keeps a connection open ([`KeepAlive`]).
//! Tests: `tests/pool.rs`.

use crate::clock::{Instant, timeout};
use crate::net::client::{self, ClientConnection, ReceivedBody};
use crate::net::dial;
use crate::net::keep_alive::KeepAlive;
use crate::net::request_body::RequestBody;
use hyper::{Request, Response};
use std::cell::{Cell, RefCell};
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;

/// Timeout for opening a connection: far longer than a round trip between regions (some 25 ms), and
/// short enough that another target can be tried within a route's timeout (0.8 to 3 s).
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Timeout for finding out that an address refuses connections: three round trips between the regions
/// that are farthest apart (70 ms each). The request whose connection was lost waits for the result,
/// which takes one round trip unless the target's machine stops responding at that moment.
const CONNECT_CHECK_TIMEOUT: Duration = Duration::from_millis(250);
/// Idle time after which a connection is not reused if the target states no time; less than targets
/// are known to keep a connection open (10 s).
const DEFAULT_IDLE_TIME: Duration = Duration::from_secs(4);
/// Maximum idle time if the target states one: limits how many connections are kept whose other
/// side has disappeared without closing them.
const MAX_IDLE_TIME: Duration = Duration::from_secs(30);
/// Time before the target closes an idle connection in which the connection is not reused: a request that
/// is sent while the target closes the connection is lost.
const CLOSE_MARGIN: Duration = Duration::from_secs(1);
/// Maximum number of idle connections to one target; more than an instance's share of the target's
/// slots needs (3 to 6 slots, two requests per slot).
const MAX_IDLE_CONNECTIONS: usize = 16;
/// The number of connections that a target accepts, divided by this, is the maximum that all instances
/// together keep idle, except that each may keep one. The others are left for requests and for the target's
/// other callers.
const IDLE_CONNECTIONS_DIVISOR: usize = 2;

/// Why a request to a target got no response.
pub type SendError = client::SendError<RequestBody>;

/// Why no connection was opened.
#[derive(Debug, Error)]
pub enum ConnectError {
    /// None came up within the timeout.
    #[error("no connection came up in time; check the network on the way")]
    TimedOut,
    /// The other side, or the network, refused or reset it.
    #[error("the connection was refused or reset; check what listens at the address")]
    Refused,
    /// Any other reason.
    #[error("no connection can be opened: {0}")]
    Failed(std::io::Error),
}

impl From<std::io::Error> for ConnectError {
    fn from(error: std::io::Error) -> Self {
        match error.kind() {
            ErrorKind::ConnectionRefused | ErrorKind::ConnectionReset | ErrorKind::ConnectionAborted => Self::Refused,
            _ => Self::Failed(error),
        }
    }
}

/// Idle connections to one address.
#[derive(Debug)]
pub struct Pool {
    address: SocketAddr,
    idle: RefCell<Vec<Idle>>,
    max_idle: Cell<usize>,
}

#[derive(Debug)]
struct Idle {
    connection: Connection,
    /// When its last response had been read.
    idle_since: Instant,
    /// When it stops being reused.
    usable_until: Instant,
}

/// One connection. Dropping it closes the connection and cancels the exchange that runs on it.
#[derive(Debug)]
pub struct Connection(ClientConnection<RequestBody>);

impl Connection {
    /// Opens a connection.
    ///
    /// # Errors
    /// [`ConnectError`]; a timeout after 0.4 s.
    pub async fn open(address: SocketAddr) -> Result<Self, ConnectError> {
        let stream = timeout(CONNECT_TIMEOUT, dial::connect(address)).await.map_err(|_| ConnectError::TimedOut)??;
        // A connection is closed when nothing that was sent matters any more. Without this, the system would
        // go on to deliver a request that was given up while the link was cut, seconds after its end.
        stream.set_zero_linger()?;
        Ok(Self(ClientConnection::new(stream).await.map_err(std::io::Error::other)?))
    }

    /// Sends a request and waits for the head of the response.
    ///
    /// # Errors
    /// [`SendError`]; [`SendError::Unsent`] only if no byte of the request was sent.
    pub async fn send(&mut self, request: Request<RequestBody>) -> Result<Response<ReceivedBody>, SendError> {
        self.0.send(request).await
    }
}

impl Pool {
    /// Creates an empty pool of connections to `address`.
    pub fn new(address: SocketAddr) -> Self {
        Self { address, idle: RefCell::new(Vec::new()), max_idle: Cell::new(MAX_IDLE_CONNECTIONS) }
    }

    /// Whether the address refuses connections, which means that no process listens there any more.
    /// False if the address is unreachable or there is no result within `CONNECT_CHECK_TIMEOUT`.
    pub async fn refuses_connections(&self) -> bool {
        let Ok(Err(error)) = timeout(CONNECT_CHECK_TIMEOUT, dial::connect(self.address)).await else { return false };
        error.kind() == ErrorKind::ConnectionRefused
    }

    /// The address that the connections of this pool go to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Limits the number of idle connections to this instance's share of `max_connections`, the number
    /// that the target accepts from all `members` instances; 0 if its service sets none.
    pub fn limit_idle(&self, max_connections: u32, members: usize) {
        let share = max_connections as usize / IDLE_CONNECTIONS_DIVISOR / members.max(1);
        let max_idle = if max_connections == 0 { MAX_IDLE_CONNECTIONS } else { share.clamp(1, MAX_IDLE_CONNECTIONS) };
        self.max_idle.set(max_idle);
    }

    /// Takes an idle connection that is not expired and not known to be closed; `None` if there is none.
    pub async fn take_idle(&self) -> Option<Connection> {
        loop {
            let Idle { mut connection, usable_until, .. } = self.idle.borrow_mut().pop()?;
            if Instant::now() < usable_until && connection.0.is_usable().await {
                return Some(connection);
            }
        }
    }

    /// Opens a new connection, without using the idle ones.
    ///
    /// # Errors
    /// [`ConnectError`]; a timeout after 0.4 s.
    pub async fn connect(&self) -> Result<Connection, ConnectError> {
        Connection::open(self.address).await
    }

    /// Sends a request over an idle connection, or over a new one if none is usable, and waits for the head
    /// of the response. Sets `handed_over` while a connection has the request.
    ///
    /// # Errors
    /// [`SendError`]; [`SendError::Unsent`] also if no connection can be opened.
    pub async fn send(
        &self,
        request: Request<RequestBody>,
        handed_over: &Cell<bool>,
    ) -> Result<(Response<ReceivedBody>, Connection), SendError> {
        let mut request = request;
        while let Some(mut connection) = self.take_idle().await {
            handed_over.set(true);
            match connection.send(request).await {
                Ok(response) => return Ok((response, connection)),
                Err(SendError::Unsent(unsent)) => request = *unsent,
                Err(error) => return Err(error),
            }
            handed_over.set(false);
        }
        let Ok(mut connection) = self.connect().await else { return Err(SendError::Unsent(Box::new(request))) };
        handed_over.set(true);
        let response = connection.send(request).await?;
        Ok((response, connection))
    }

    /// Whether an idle connection can be reused.
    pub fn has_idle(&self, now: Instant) -> bool {
        self.close_expired(now);
        !self.idle.borrow().is_empty()
    }

    /// Returns a connection whose last response was read to its end, to be reused for as long as the
    /// target keeps it open. A connection that cannot be reused or exceeds the limit is closed.
    pub fn put_idle(&self, connection: Connection, keep_alive: KeepAlive) {
        let idle_time = idle_time(keep_alive);
        let mut idle = self.idle.borrow_mut();
        if !connection.0.is_closed() && idle.len() < self.max_idle.get() && !idle_time.is_zero() {
            let idle_since = Instant::now();
            idle.push(Idle { connection, idle_since, usable_until: idle_since + idle_time });
        }
    }

    /// Closes the connections that became idle at `sent` or earlier, where `sent` is when a request was sent
    /// that got no response. Open connections can stop working without a reset while new ones
    /// work; a connection that has been idle since before `sent` may be one of them.
    pub fn close_idle_since(&self, sent: Instant) {
        self.idle.borrow_mut().retain(|idle| idle.idle_since > sent);
    }

    /// Closes the connections that were idle for too long or were closed by the target.
    pub fn close_expired(&self, now: Instant) {
        self.idle.borrow_mut().retain(|idle| now < idle.usable_until && !idle.connection.0.is_closed());
    }

    /// Closes all idle connections.
    pub fn clear(&self) {
        self.idle.borrow_mut().clear();
    }
}

/// How long an idle connection may be reused; zero if it is to be closed.
fn idle_time(keep_alive: KeepAlive) -> Duration {
    match keep_alive {
        KeepAlive::Close => Duration::ZERO,
        KeepAlive::For(time) => time.saturating_sub(CLOSE_MARGIN).min(MAX_IDLE_TIME),
        KeepAlive::Unspecified => DEFAULT_IDLE_TIME,
    }
}
