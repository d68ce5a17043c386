//! The byte stream of a connection, which can tell that the other side has closed it while received
//! bytes are still unread.
//!
//! Owns nothing. Relies on the readiness that tokio reports for the socket.

use std::pin::pin;
use std::task::{Context, Poll, Waker};
use tokio::io::{AsyncRead, AsyncWrite, Interest};
use tokio::net::TcpStream;

/// Byte stream of a connection.
pub trait Socket: AsyncRead + AsyncWrite + Unpin {
    /// Whether the other side is known to send no more bytes. Received bytes may still be unread.
    fn is_read_closed(&self) -> bool;
}

impl Socket for TcpStream {
    fn is_read_closed(&self) -> bool {
        // Unlike the other kinds of readiness, this one is set only if the reading side was closed.
        let closed = pin!(self.ready(Interest::PRIORITY));
        matches!(closed.poll(&mut Context::from_waker(Waker::noop())), Poll::Ready(Ok(ready)) if ready.is_read_closed())
    }
}
