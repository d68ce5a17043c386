//! Addresses that test processes on one machine draw at the same time.

use standins::ports::{free_address, ip_of, own_ip};
use std::net::IpAddr;

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
