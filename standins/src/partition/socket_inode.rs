//! Asks the system for the inode of one TCP socket, by the netlink protocol `sock_diag(7)`. The table in
//! `/proc` would have to be read whole for each connection.

use std::net::{SocketAddr, SocketAddrV4};
use std::os::fd::{AsRawFd, FromRawFd, OwnedFd};

/// `NETLINK_SOCK_DIAG`.
const SOCK_DIAG: libc::c_int = 4;
/// `SOCK_DIAG_BY_FAMILY`, the type of question and answer.
const BY_FAMILY: u16 = 20;
/// All states of a connection.
const ALL_STATES: u32 = u32::MAX;
/// Stands for any cookie.
const ANY_COOKIE: [u8; 8] = [0xff; 8];
/// Size of a netlink header.
const HEADER: usize = 16;
/// Size of a question with its header.
const QUESTION: usize = HEADER + 56;
/// Where the inode stands in an answer.
const INODE_AT: usize = HEADER + 68;

/// Inode of the socket whose own address is `here` and whose other end is `there`; `None` where there is
/// none.
pub fn inode_of(here: SocketAddr, there: SocketAddr) -> Option<u64> {
    let (SocketAddr::V4(here), SocketAddr::V4(there)) = (here, there) else { return None };
    // SAFETY: the call takes numbers only; a descriptor that it returns is ours.
    let socket = unsafe {
        let number = libc::socket(libc::AF_NETLINK, libc::SOCK_DGRAM | libc::SOCK_CLOEXEC, SOCK_DIAG);
        (number >= 0).then(|| OwnedFd::from_raw_fd(number))?
    };
    let question = question(here, there);
    let mut answer = [0u8; 1024];
    // SAFETY: both calls get buffers of ours with their lengths.
    let read = unsafe {
        let sent = libc::send(socket.as_raw_fd(), question.as_ptr().cast(), question.len(), 0);
        if sent != question.len() as isize {
            return None;
        }
        libc::recv(socket.as_raw_fd(), answer.as_mut_ptr().cast(), answer.len(), 0)
    };
    let answer = answer.get(..usize::try_from(read).ok()?)?;
    let kind = u16::from_ne_bytes(answer.get(4..6)?.try_into().ok()?);
    let inode = u32::from_ne_bytes(answer.get(INODE_AT..INODE_AT + 4)?.try_into().ok()?);
    (kind == BY_FAMILY && inode != 0).then_some(inode.into())
}

/// A `nlmsghdr` and an `inet_diag_req_v2` for exactly one socket.
fn question(here: SocketAddrV4, there: SocketAddrV4) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(QUESTION);
    bytes.extend((QUESTION as u32).to_ne_bytes());
    bytes.extend(BY_FAMILY.to_ne_bytes());
    bytes.extend((libc::NLM_F_REQUEST as u16).to_ne_bytes());
    bytes.extend([0; 8]);
    bytes.extend([libc::AF_INET as u8, libc::IPPROTO_TCP as u8, 0, 0]);
    bytes.extend(ALL_STATES.to_ne_bytes());
    bytes.extend(here.port().to_be_bytes());
    bytes.extend(there.port().to_be_bytes());
    for ip in [here.ip(), there.ip()] {
        bytes.extend(ip.octets());
        bytes.extend([0; 12]);
    }
    bytes.extend([0; 4]);
    bytes.extend(ANY_COOKIE);
    bytes
}
