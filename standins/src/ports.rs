//! Addresses to listen on that no other process takes, and the start of
//! processes without a copy of our sockets.
//!
//! Owns the list of the addresses that this process has given out.

use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::os::unix::process::CommandExt;
use std::process::{Child, Command};
use std::sync::Mutex;

/// Ports below those that the system gives to outgoing connections and to
/// whoever listens on port 0. What was listened on here and has ended stays
/// free: a restart finds it, and nobody else answers there in its place.
const LISTENING_PORTS: std::ops::Range<u16> = 10_000..32_000;

static GIVEN: Mutex<BTreeSet<SocketAddr>> = Mutex::new(BTreeSet::new());

/// Held while a process is spawned.
static SPAWNING: Mutex<()> = Mutex::new(());

/// Descriptors that other threads may open while a process is being spawned: more than
/// any test opens at once. No run set it.
const DESCRIPTOR_MARGIN: libc::c_int = 1_024;

/// Spawns a process. It begins with copies of all sockets of this one, and closes them
/// before it runs its program: the system would close some only after `spawn` returns.
///
/// # Errors
/// Any error of the system.
pub fn spawn(command: &mut Command) -> std::io::Result<Child> {
    let _held = SPAWNING.lock().expect("no holder panics");
    let end = last_descriptor()? + DESCRIPTOR_MARGIN;
    // SAFETY: the closure makes system calls that are async-signal-safe, and nothing else.
    unsafe {
        command.pre_exec(move || {
            close_sockets(end);
            Ok(())
        });
    }
    command.spawn()
}

/// The highest descriptor that is open.
fn last_descriptor() -> std::io::Result<libc::c_int> {
    let mut last = 0;
    for entry in std::fs::read_dir("/proc/self/fd")? {
        let number = entry?.file_name().to_str().and_then(|name| name.parse().ok());
        last = last.max(number.unwrap_or(0));
    }
    Ok(last)
}

/// Closes the sockets among the descriptors below `end`, but for the standard ones.
fn close_sockets(end: libc::c_int) {
    for descriptor in libc::STDERR_FILENO + 1..end {
        let mut kind: libc::c_int = 0;
        let mut size = size_of::<libc::c_int>() as libc::socklen_t;
        // SAFETY: both pointers are to locals of the sizes that the call expects; a
        // descriptor that is closed or no socket is an error, which leaves them alone.
        let is_socket = unsafe {
            libc::getsockopt(descriptor, libc::SOL_SOCKET, libc::SO_TYPE, (&raw mut kind).cast(), &raw mut size) == 0
        };
        if is_socket {
            // SAFETY: the process is about to run another program and uses no socket.
            unsafe { libc::close(descriptor) };
        }
    }
}

/// Waits until no process is being spawned: a socket that was closed before
/// is closed everywhere then.
pub fn after_spawns() {
    drop(SPAWNING.lock().expect("no holder panics"));
}

/// The part of loopback in which a process draws its addresses. Several test
/// processes run on one machine at the same time: on one IP they would draw the
/// same ports, and an instance that starts again would find its port taken.
/// Process ids stay below 2^22 on Linux, so that no two processes share an IP,
/// and 64 keeps them away from 127.0.0.1.
pub fn ip_of(process: u32) -> Ipv4Addr {
    let [_, high, middle, low] = process.to_be_bytes();
    Ipv4Addr::new(127, 64 | high, middle, low)
}

/// The loopback IP of this process.
pub fn own_ip() -> Ipv4Addr {
    ip_of(std::process::id())
}

/// A free address on loopback, never given twice in this process.
pub fn free_address() -> SocketAddr {
    loop {
        let address = SocketAddr::new(own_ip().into(), rand::random_range(LISTENING_PORTS));
        let is_new = GIVEN.lock().expect("no holder panics").insert(address);
        if is_new && is_free(address) {
            return address;
        }
    }
}

fn is_free(address: SocketAddr) -> bool {
    match TcpListener::bind(address) {
        Ok(probe) => {
            drop(probe);
            after_spawns();
            true
        }
        Err(error) if error.kind() == std::io::ErrorKind::AddrInUse => false,
        Err(error) => panic!("{address} cannot be listened on: {error}"),
    }
}
