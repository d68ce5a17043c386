//! The head of a hall: of its instances the first by a hash of hall and name; the next one where
//! that one does not answer.
//!
//! **Inputs**: the members, as old as the view; instances that did not answer lately, exact.
//!
//! **Why.** All instances find the same head without a message. The hash spreads the heads of
//! several halls over machines, and differs from the order by name in which the store is watched, so
//! that no instance does both for its hall but by chance. Where instances disagree, a hall has two
//! heads for a while; each tells the other halls what it was told.
//!
//! **Test**: `tests/quotas.rs`.

use crate::decision::registry::members::Members;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The head of a hall.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Head<'a> {
    /// Its name.
    pub name: &'a str,
    /// Where it listens for its peers.
    pub peer: SocketAddr,
    rank: u64,
}

/// The heads of all halls, by hall, of the instances that may be asked.
pub fn heads<'a>(members: &'a Members, may_ask: impl Fn(SocketAddr) -> bool) -> BTreeMap<&'a str, Head<'a>> {
    let mut heads: BTreeMap<&str, Head<'_>> = BTreeMap::new();
    for (name, member) in members.iter().filter(|(_, member)| may_ask(member.peer)) {
        let rank = rank(&member.hall, name);
        let head = Head { name, peer: member.peer, rank };
        let first = heads.entry(&member.hall).or_insert(head);
        if rank < first.rank {
            *first = head;
        }
    }
    heads
}

fn rank(hall: &str, name: &str) -> u64 {
    xxh3_64_with_seed(name.as_bytes(), xxh3_64_with_seed(hall.as_bytes(), 0))
}
