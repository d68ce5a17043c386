//! Pooled HTTP connections to one address, a target or another instance.

use crate::body::OutBody;
use crate::dial;
use hyper::body::Incoming;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::task::AbortHandle;

/// Longest time to open a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Idle time after which a connection is not used again, well under what
/// targets usually allow, since a close that crosses a request loses it.
const MAX_IDLE: Duration = Duration::from_secs(15);

/// Why an exchange gave no answer.
#[derive(Debug)]
pub enum SendError {
    /// No byte of the request left this process; here it is.
    Unsent(Box<Request<OutBody>>),
    /// The request may have arrived.
    Lost,
}

/// Connections to one address.
#[derive(Clone, Debug)]
pub struct Pool {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    address: SocketAddr,
    most: u32,
    open: AtomicU32,
    idle: Mutex<Vec<Idle>>,
}

#[derive(Debug)]
struct Idle {
    conn: Conn,
    since: Instant,
}

/// One connection, in use by one exchange or idle. Dropped, it is closed.
#[derive(Debug)]
pub struct Conn {
    sender: SendRequest<OutBody>,
    task: AbortHandle,
    shared: Arc<Shared>,
}

impl Drop for Conn {
    fn drop(&mut self) {
        self.task.abort();
        self.shared.open.fetch_sub(1, Relaxed);
    }
}

impl Conn {
    /// Puts the connection back for later exchanges. To be called only after
    /// the previous answer was read to its end.
    pub fn keep(self) {
        let shared = self.shared.clone();
        if !self.sender.is_closed() {
            shared.idle.lock().expect("no holder panics").push(Idle { conn: self, since: Instant::now() });
        }
    }
}

impl Pool {
    /// An empty pool of at most `most` connections to `address`.
    pub fn new(address: SocketAddr, most: u32) -> Self {
        let shared = Shared { address, most, open: AtomicU32::new(0), idle: Mutex::new(Vec::new()) };
        Self { shared: Arc::new(shared) }
    }

    /// Where the connections go.
    pub fn address(&self) -> SocketAddr {
        self.shared.address
    }

    /// Connections that are open, in use or idle.
    pub fn open(&self) -> u32 {
        self.shared.open.load(Relaxed)
    }

    /// Sends a request and waits for the head of its answer.
    ///
    /// # Errors
    /// [`SendError::Unsent`] gives the request back where provably no byte of
    /// it left; nothing is ever sent twice here.
    pub async fn send(&self, request: Request<OutBody>) -> Result<(Response<Incoming>, Conn), SendError> {
        let mut request = request;
        loop {
            let Some(mut conn) = self.idle().await else { break };
            match conn.sender.try_send_request(request).await {
                Ok(response) => return Ok((response, conn)),
                Err(mut error) => match error.take_message() {
                    Some(unsent) => request = unsent,
                    None => return Err(SendError::Lost),
                },
            }
        }
        let Some(mut conn) = self.connect().await else {
            return Err(SendError::Unsent(Box::new(request)));
        };
        match conn.sender.try_send_request(request).await {
            Ok(response) => Ok((response, conn)),
            Err(mut error) => Err(error.take_message().map_or(SendError::Lost, |r| SendError::Unsent(Box::new(r)))),
        }
    }

    async fn idle(&self) -> Option<Conn> {
        loop {
            let Idle { mut conn, since } = self.shared.idle.lock().expect("no holder panics").pop()?;
            if since.elapsed() < MAX_IDLE && conn.sender.ready().await.is_ok() {
                return Some(conn);
            }
        }
    }

    async fn connect(&self) -> Option<Conn> {
        self.shared.open.fetch_update(Relaxed, Relaxed, |n| (n < self.shared.most).then_some(n + 1)).ok()?;
        let opened = tokio::time::timeout(CONNECT_TIMEOUT, open(self.shared.address)).await;
        let Ok(Ok((sender, task))) = opened else {
            self.shared.open.fetch_sub(1, Relaxed);
            return None;
        };
        Some(Conn { sender, task, shared: self.shared.clone() })
    }
}

async fn open(address: SocketAddr) -> Result<(SendRequest<OutBody>, AbortHandle), std::io::Error> {
    let stream = dial::connect(address).await?;
    let (sender, connection) = handshake(TokioIo::new(stream)).await.map_err(std::io::Error::other)?;
    let task = tokio::spawn(connection).abort_handle();
    Ok((sender, task))
}
