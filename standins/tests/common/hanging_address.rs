//! An address behind which connections hang.

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::time::Duration;

/// An address at which connections are neither accepted nor refused, and what keeps it so.
pub fn hanging_address() -> (SocketAddr, TcpListener, Vec<TcpStream>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    // SAFETY: the descriptor is that of our listener.
    assert_eq!(unsafe { libc::listen(listener.as_raw_fd(), 0) }, 0);
    let connect = || TcpStream::connect_timeout(&address, Duration::from_millis(200));
    let waiting: Vec<TcpStream> = std::iter::from_fn(|| connect().ok()).take(16).collect();
    assert!(connect().is_err(), "its queue is full");
    (address, listener, waiting)
}
