//! Connections of clients whose system holds little.

use std::net::{SocketAddr, SocketAddrV4, TcpStream};
use std::os::fd::FromRawFd;

extern "C" {
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, size: u32) -> i32;
    fn connect(socket: i32, address: *const u8, size: u32) -> i32;
}

/// A connection of a client whose system holds little: segments as on Ethernet, and a small receive buffer, so that
/// loopback holds about as much as a network would.
pub fn small_connection(address: SocketAddr) -> Option<TcpStream> {
    const AF_INET: i32 = 2;
    const SOCK_STREAM: i32 = 1;
    const SOL_SOCKET: i32 = 1;
    const SO_RCVBUF: i32 = 8;
    const IPPROTO_TCP: i32 = 6;
    const TCP_MAXSEG: i32 = 2;
    let SocketAddr::V4(address) = address else { return None };
    // SAFETY: plain system calls on a descriptor that is ours, with values that live through the calls.
    unsafe {
        let descriptor = socket(AF_INET, SOCK_STREAM, 0);
        if descriptor < 0 {
            return None;
        }
        let stream = TcpStream::from_raw_fd(descriptor);
        let (buffer, segment) = (8 * 1024, 1_400);
        setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &buffer, 4);
        setsockopt(descriptor, IPPROTO_TCP, TCP_MAXSEG, &segment, 4);
        let raw = raw_address(address);
        (connect(descriptor, raw.as_ptr(), raw.len() as u32) == 0).then_some(stream)
    }
}

/// A `sockaddr_in`.
fn raw_address(address: SocketAddrV4) -> [u8; 16] {
    let mut raw = [0; 16];
    raw[..2].copy_from_slice(&2u16.to_ne_bytes());
    raw[2..4].copy_from_slice(&address.port().to_be_bytes());
    raw[4..8].copy_from_slice(&address.ip().octets());
    raw
}
