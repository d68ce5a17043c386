//! Accepts and serves incoming connections of an instance, within limits.
//!
//! Owns the open connections of a listener. A [`Handler`] processes the requests and sets the limits;
//! apart from the clock and the names of tasks, nothing else of lockloft is used.

mod caller_body;
mod connection;
mod connections;
mod handler;
mod limits;
mod linger;
mod output;
mod progress;
pub mod read_ahead;
mod socket;

pub use caller_body::CallerBody;
pub use connection::serve as serve_connection;
pub use connections::Connections;
pub use handler::Handler;
pub use limits::ConnectionLimits;
pub use output::{Output, ResponseTag, UnfinishedResponse};
pub use socket::Socket;

use crate::clock::sleep;
use crate::task;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};

/// Delay before the next accept while no connection can be accepted, so that a process that has run out
/// of file descriptors does not spin.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Accepts and serves connections, at most [`ConnectionLimits::max_connections`] at a time, until the
/// process ends. `open_connections` counts them, also those accepted by an earlier call.
pub async fn listen<H: Handler>(listener: Rc<TcpListener>, handler: Rc<H>, open_connections: Rc<Cell<u32>>) {
    loop {
        if open_connections.get() >= handler.limits().max_connections {
            sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        }
        match listener.accept().await {
            Ok((stream, _)) => {
                let guard = OpenConnectionGuard::new(open_connections.clone());
                task::spawn_passing("connection", serve(stream, handler.clone(), guard));
            }
            // The other side has already closed the connection, or the process is out of file
            // descriptors until a connection closes. Both are temporary, and a line every 20 ms would
            // flood the log.
            Err(_) => sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
}

async fn serve<H: Handler>(stream: TcpStream, handler: Rc<H>, _guard: OpenConnectionGuard) {
    // Fails only on a socket that is already closed, which the first read reports.
    let _ = stream.set_nodelay(true);
    connection::serve(stream, handler).await;
}

/// Counts a connection as open until it is dropped.
struct OpenConnectionGuard(Rc<Cell<u32>>);

impl OpenConnectionGuard {
    fn new(count: Rc<Cell<u32>>) -> Self {
        count.set(count.get() + 1);
        Self(count)
    }
}

impl Drop for OpenConnectionGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
