//! Connections that others open to an instance: accepted, bounded and served.
//!
//! Owns the open connections of a listener. What answers the requests, and within
//! which bounds, is a [`Handler`]; relies on nothing else of lockloft.

mod caller_body;
mod connection;
mod handler;
mod limits;
mod progress;
pub mod read_ahead;
mod socket;

pub use caller_body::CallerBody;
pub use connection::serve as serve_connection;
pub use handler::Handler;
pub use limits::ConnectionLimits;
pub use socket::Socket;

use crate::clock::sleep;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};

/// Wait before accepting again while no connection can be taken, so that a process without
/// descriptors does not spin.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Accepts and serves connections until the process ends.
pub async fn listen<H: Handler>(listener: TcpListener, handler: Rc<H>) {
    let open_connections = Rc::new(Cell::new(0));
    loop {
        if open_connections.get() >= handler.limits().max_connections {
            sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        }
        match listener.accept().await {
            Ok((stream, _)) => {
                let open_connection = OpenConnection::new(open_connections.clone());
                tokio::task::spawn_local(serve(stream, handler.clone(), open_connection));
            }
            // The peer has gone already, or descriptors are used up until a connection
            // closes: both pass, and a line each 20 ms would only fill the log.
            Err(_) => sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
}

async fn serve<H: Handler>(stream: TcpStream, handler: Rc<H>, _counted: OpenConnection) {
    // Fails only on a socket that is closed already, which its first read reports.
    let _ = stream.set_nodelay(true);
    connection::serve(stream, handler).await;
}

/// Counts a connection for as long as it is open.
struct OpenConnection(Rc<Cell<u32>>);

impl OpenConnection {
    fn new(count: Rc<Cell<u32>>) -> Self {
        count.set(count.get() + 1);
        Self(count)
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
