//! What a connection is served on: a stream of bytes that can say whether its other side has left
//! while bytes are still unread.
//!
//! Owns nothing. Relies on the runtime's view of the socket.

use std::pin::pin;
use std::task::{Context, Poll, Waker};
use tokio::io::{AsyncRead, AsyncWrite, Interest};
use tokio::net::TcpStream;

/// A connection's bytes.
pub trait Socket: AsyncRead + AsyncWrite + Unpin {
    /// Whether the other side is known to send no more, also where bytes are unread.
    fn is_read_closed(&self) -> bool;
}

impl Socket for TcpStream {
    fn is_read_closed(&self) -> bool {
        // Of the kinds of readiness this one is ready only where the reading side was closed.
        let closed = pin!(self.ready(Interest::PRIORITY));
        matches!(closed.poll(&mut Context::from_waker(Waker::noop())), Poll::Ready(Ok(ready)) if ready.is_read_closed())
    }
}
