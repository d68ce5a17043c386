//! Addresses that test processes on one machine draw at the same time.

use standins::ports::{after_spawns, free_address, ip_of, own_ip, spawn};
use standins::target_server::TargetServer;
use std::io::ErrorKind;
use std::net::{IpAddr, TcpListener};
use std::os::unix::process::CommandExt;
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;

/// Linux gives out process ids below this.
const PROCESS_IDS: u32 = 1 << 22;

#[test]
fn each_process_has_a_loopback_ip_of_its_own() {
    let mut ips: Vec<_> = (1..PROCESS_IDS).map(ip_of).collect();
    assert!(ips.iter().all(|ip| ip.is_loopback() && ip.octets() != [127, 0, 0, 1]));
    ips.sort_unstable();
    ips.dedup();
    assert_eq!(ips.len() as u32, PROCESS_IDS - 1);
}

#[test]
fn addresses_are_drawn_at_the_ip_of_the_process_and_never_twice() {
    assert_eq!(own_ip(), ip_of(std::process::id()));
    let mut drawn: Vec<_> = (0..100).map(|_| free_address()).collect();
    assert!(drawn.iter().all(|address| address.ip() == IpAddr::V4(own_ip())));
    drawn.sort_unstable();
    drawn.dedup();
    assert_eq!(drawn.len(), 100);
}

/// Threads that spawn processes one after another.
const SPAWNERS: usize = 4;
/// Times that a listener is closed meanwhile.
const LISTENERS: usize = 3_000;

#[test]
fn a_listener_that_was_closed_is_closed_everywhere_once_no_process_is_being_spawned() {
    let ended = AtomicBool::new(false);
    std::thread::scope(|scope| {
        for _ in 0..SPAWNERS {
            scope.spawn(|| {
                while !ended.load(Relaxed) {
                    let child = spawn(Command::new("true").stdin(Stdio::null()));
                    assert!(child.unwrap().wait().unwrap().success());
                }
            });
        }
        let address = free_address();
        let is_free = |_: &usize| {
            after_spawns();
            // It fails where a copy of the last listener still listens.
            TcpListener::bind(address).is_ok()
        };
        let free = (0..LISTENERS).filter(is_free).count();
        ended.store(true, Relaxed);
        assert_eq!(free, LISTENERS);
    });
}

/// Time for which a process that is being spawned keeps its copies of all sockets.
const SPAWN_DELAY: Duration = Duration::from_millis(400);

/// Guards against crashes that an instance does not see: connections to the address of a target that has
/// ended are accepted as long as a process that is being spawned holds a copy of its listening socket.
#[tokio::test(flavor = "multi_thread")]
async fn a_target_that_ends_while_a_process_is_spawned_refuses_connections_once_its_own_are_closed() {
    let target = TargetServer::start("u-1", 1, Duration::ZERO).await.unwrap();
    let mut command = Command::new("true");
    // SAFETY: the closure makes one system call, which is async-signal-safe.
    unsafe {
        command.pre_exec(|| {
            libc::usleep(SPAWN_DELAY.as_micros() as u32);
            Ok(())
        });
    }
    let spawned = tokio::task::spawn_blocking(move || spawn(&mut command));
    tokio::time::sleep(SPAWN_DELAY / 4).await;
    // The process has no copy of a connection that is accepted now.
    let mut open = TcpStream::connect(target.address).await.unwrap();
    while target.connections() == 0 {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    target.end();
    assert_eq!(open.read(&mut [0]).await.unwrap_or(0), 0, "it closes its connections");
    let refused = TcpStream::connect(target.address).await.unwrap_err();
    assert_eq!(refused.kind(), ErrorKind::ConnectionRefused);
    assert!(spawned.await.unwrap().unwrap().wait().unwrap().success());
}
