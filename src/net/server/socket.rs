//! The byte stream of a connection, which can tell that the other side has closed it while received
//! bytes are still unread, and how many written bytes the other side has not acknowledged.
//!
//! Owns nothing. Relies on the readiness that tokio reports for the socket, and on the system's count of
//! the bytes in the socket.

use std::os::fd::AsRawFd;
use std::pin::pin;
use std::task::{Context, Poll, Waker};
use tokio::io::{AsyncRead, AsyncWrite, Interest};
use tokio::net::TcpStream;

/// Byte stream of a connection.
pub trait Socket: AsyncRead + AsyncWrite + Unpin {
    /// Whether the other side is known to send no more bytes. Received bytes may still be unread.
    fn is_read_closed(&self) -> bool;

    /// Number of written bytes that the other side has not acknowledged, and one more while it has not
    /// acknowledged the end of the stream; `None` if the system does not tell.
    fn unacknowledged(&self) -> Option<u64> {
        None
    }

    /// Closes the connection, with a reset if the stream has such an end.
    fn reset(self)
    where
        Self: Sized,
    {
    }
}

mod ioctl {
    nix::ioctl_read_bad!(unacknowledged, nix::libc::TIOCOUTQ, nix::libc::c_int);
}

impl Socket for TcpStream {
    fn is_read_closed(&self) -> bool {
        // Unlike the other kinds of readiness, this one is set only if the reading side was closed.
        let closed = pin!(self.ready(Interest::PRIORITY));
        matches!(closed.poll(&mut Context::from_waker(Waker::noop())), Poll::Ready(Ok(ready)) if ready.is_read_closed())
    }

    fn unacknowledged(&self) -> Option<u64> {
        let mut count = 0;
        // SAFETY: the descriptor is that of this socket, which is open, and the call writes a `c_int`.
        unsafe { ioctl::unacknowledged(self.as_raw_fd(), &mut count) }.ok()?;
        u64::try_from(count).ok()
    }

    fn reset(self) {
        // Fails only on a socket that is already closed.
        let _ = self.set_zero_linger();
    }
}
