//! Connections to one target, used again while that is safe.
//!
//! Owns the idle connections to one address and their bounds in number and time.
//! Relies on the target's word on how long it keeps one ([`KeepAlive`]).

use crate::clock::{Instant, timeout};
use crate::net::dial;
use crate::net::keep_alive::KeepAlive;
use crate::net::request_body::RequestBody;
use hyper::body::Incoming;
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use std::cell::{Cell, RefCell};
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::task::AbortHandle;

/// Longest time to open a connection. Far more than a round trip between regions (some 25 ms), and
/// short enough that another target can be tried within a route's timeout (0.8 to 3 s).
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Longest time to find that an address refuses connections: three round trips between the regions
/// that are farthest (70 ms). The request whose exchange ended waits for it, which takes one round
/// trip unless the target's machine falls silent just then.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);
/// Idle time after which a connection is not used again where the target names no time of its own;
/// less than targets are known to keep one (10 s).
const DEFAULT_IDLE_TIME: Duration = Duration::from_secs(4);
/// Longest such time where the target names one: bounds how many connections are held that have
/// silently ended.
const MAX_IDLE_TIME: Duration = Duration::from_secs(30);
/// How long before a target closes an idle connection it is not used any more: a close that crosses
/// a request loses it.
const CLOSE_MARGIN: Duration = Duration::from_secs(1);
/// Most idle connections to one target; above an instance's share of its slots (3 to 6 slots, two
/// requests a slot).
const MAX_IDLE_CONNECTIONS: usize = 16;
/// All instances together keep at most one in this many of a target's connections idle; the others
/// are for requests and other callers.
const IDLE_CONNECTIONS_DIVISOR: usize = 2;

/// Most bytes of an answer that are read at a time: bounds what a connection holds of an answer that
/// its caller reads slowly.
const READ_BUFFER_SIZE: usize = 32 * 1024;

/// Why a request got no answer.
#[derive(Debug)]
pub enum SendError {
    /// No byte of it was sent; here it is.
    Unsent(Box<Request<RequestBody>>),
    /// The connection ended before an answer began; the request may have arrived.
    ConnectionLost,
    /// Bytes came that are no answer; the request may have arrived.
    InvalidResponse,
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
    /// When its last answer had been read.
    idle_since: Instant,
    usable_until: Instant,
}

/// One connection. Dropped, it is closed and what runs on it is cancelled.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<RequestBody>,
    task: AbortHandle,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Connection {
    /// Opens a connection.
    ///
    /// # Errors
    /// Any error of the operating system; a timeout after 0.4 s.
    pub async fn open(address: SocketAddr) -> std::io::Result<Self> {
        let stream = timeout(CONNECT_TIMEOUT, dial::connect(address)).await.map_err(std::io::Error::other)??;
        let builder = Builder::new().max_buf_size(READ_BUFFER_SIZE).handshake(TokioIo::new(stream));
        let (sender, connection) = builder.await.map_err(std::io::Error::other)?;
        let task = tokio::task::spawn_local(connection).abort_handle();
        Ok(Self { sender, task })
    }

    /// Sends a request and waits for the head of the answer.
    ///
    /// # Errors
    /// [`SendError::Unsent`] only where no byte of the request was sent.
    pub async fn send(&mut self, request: Request<RequestBody>) -> Result<Response<Incoming>, SendError> {
        match self.sender.try_send_request(request).await {
            Ok(response) => Ok(response),
            Err(mut error) => match error.take_message() {
                Some(request) => Err(SendError::Unsent(Box::new(request))),
                None if error.error().is_parse() => Err(SendError::InvalidResponse),
                None => Err(SendError::ConnectionLost),
            },
        }
    }

    /// Whether the other side still has it open. Why it closed makes no difference.
    async fn is_usable(&mut self) -> bool {
        self.sender.ready().await.is_ok()
    }
}

impl Pool {
    /// An empty pool.
    pub fn new(address: SocketAddr) -> Self {
        Self { address, idle: RefCell::new(Vec::new()), max_idle: Cell::new(MAX_IDLE_CONNECTIONS) }
    }

    /// Whether the address refuses connections: no process listens there any more. False where
    /// that does not show within `PROBE_TIMEOUT`, or the address cannot be reached.
    pub async fn refuses_connections(&self) -> bool {
        let Ok(Err(error)) = timeout(PROBE_TIMEOUT, dial::connect(self.address)).await else { return false };
        matches!(error.kind(), ErrorKind::ConnectionRefused | ErrorKind::ConnectionReset)
    }

    /// The address that its connections go to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Bounds what is kept idle by this instance's share of the `max_connections` that
    /// the target takes from all `members` instances; 0 where it names none.
    pub fn share_connections(&self, max_connections: u32, members: usize) {
        let share = max_connections as usize / IDLE_CONNECTIONS_DIVISOR / members.max(1);
        let max_idle = if max_connections == 0 { MAX_IDLE_CONNECTIONS } else { share.clamp(1, MAX_IDLE_CONNECTIONS) };
        self.max_idle.set(max_idle);
    }

    /// An idle connection that should still be open.
    pub async fn take_idle(&self) -> Option<Connection> {
        loop {
            let Idle { mut connection, usable_until, .. } = self.idle.borrow_mut().pop()?;
            if Instant::now() < usable_until && connection.is_usable().await {
                return Some(connection);
            }
        }
    }

    /// Opens a connection.
    ///
    /// # Errors
    /// Any error of the operating system; a timeout after 0.4 s.
    pub async fn connect(&self) -> std::io::Result<Connection> {
        Connection::open(self.address).await
    }

    /// Keeps a connection whose last answer was read to its end, for as long as the
    /// target does.
    pub fn put_idle(&self, connection: Connection, keep_alive: KeepAlive) {
        let idle_time = idle_time(keep_alive);
        let mut idle = self.idle.borrow_mut();
        if !connection.sender.is_closed() && idle.len() < self.max_idle.get() && !idle_time.is_zero() {
            let idle_since = Instant::now();
            idle.push(Idle { connection, idle_since, usable_until: idle_since + idle_time });
        }
    }

    /// Closes the connections that have been idle since `sent` or before, when a request that
    /// got no answer was sent: open connections may go silent without a reset while new ones
    /// work, and these have shown nothing since.
    pub fn close_idle_since(&self, sent: Instant) {
        self.idle.borrow_mut().retain(|idle| idle.idle_since > sent);
    }

    /// Closes connections that were idle for too long.
    pub fn close_expired(&self, now: Instant) {
        self.idle.borrow_mut().retain(|idle| now < idle.usable_until && !idle.connection.sender.is_closed());
    }

    /// Closes all idle connections.
    pub fn clear(&self) {
        self.idle.borrow_mut().clear();
    }
}

/// How long an idle connection is used again; zero where it is closed.
fn idle_time(keep_alive: KeepAlive) -> Duration {
    match keep_alive {
        KeepAlive::Close => Duration::ZERO,
        KeepAlive::For(time) => time.saturating_sub(CLOSE_MARGIN).min(MAX_IDLE_TIME),
        KeepAlive::Unspecified => DEFAULT_IDLE_TIME,
    }
}
