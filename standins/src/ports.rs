//! Addresses to listen on that nothing else takes by itself.

use std::collections::BTreeSet;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::process::{Child, Command};
use std::sync::Mutex;

/// Ports below those that the system gives to outgoing connections and to
/// whoever listens on port 0. What was listened on here and has ended stays
/// free: a restart finds it, and nobody else answers there in its place.
const LISTENING_PORTS: std::ops::Range<u16> = 10_000..32_000;

static GIVEN: Mutex<BTreeSet<SocketAddr>> = Mutex::new(BTreeSet::new());

/// Held while a process is spawned.
static SPAWNING: Mutex<()> = Mutex::new(());

/// Spawns a process. Until it runs its program it holds copies of all sockets
/// of this one.
///
/// # Errors
/// Any error of the system.
pub fn spawn(command: &mut Command) -> std::io::Result<Child> {
    let _held = SPAWNING.lock().expect("no holder panics");
    command.spawn()
}

/// Waits until no process is being spawned: a socket that was closed before
/// is closed everywhere then.
pub fn after_spawns() {
    drop(SPAWNING.lock().expect("no holder panics"));
}

/// A free address on loopback, never given twice in this process.
pub fn free_address() -> SocketAddr {
    free_at(Ipv4Addr::LOCALHOST.into()).expect("loopback can be listened on")
}

/// A free address at `ip`, never given twice in this process.
///
/// # Errors
/// Any error of the system but that an address is taken.
pub fn free_at(ip: IpAddr) -> std::io::Result<SocketAddr> {
    loop {
        let address = SocketAddr::new(ip, rand::random_range(LISTENING_PORTS));
        if !GIVEN.lock().expect("no holder panics").insert(address) {
            continue;
        }
        match TcpListener::bind(address) {
            Ok(probe) => {
                drop(probe);
                after_spawns();
                return Ok(address);
            }
            Err(error) if error.kind() == std::io::ErrorKind::AddrInUse => {}
            Err(error) => return Err(error),
        }
    }
}
