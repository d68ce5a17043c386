//! The head of a hall: the first of its instances in the order of a hash of hall and name, or the
//! next one where that one does not answer.
//!
//! **Inputs**: the members, as old as the view; instances that recently failed to answer, exact.
//!
//! **Why.** All instances find the same head without exchanging messages. The hash spreads the heads
//! of several halls over machines. It differs from the order by name that decides which instance
//! watches the store, so that one instance does both for its hall only by chance. Where instances
//! disagree, a hall temporarily has two heads; each forwards to the other halls the reports that it
//! received.
//!
//! **Test**: `tests/quotas.rs`.

use crate::decision::registry::members::Members;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The head of a hall.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Head<'a> {
    /// Instance name.
    pub name: &'a str,
    /// Address at which it accepts reports of other instances.
    pub peer: SocketAddr,
    /// Order among the hall's instances, lowest first.
    rank: u64,
}

/// The heads of all halls, by hall, chosen among the instances for which `may_report_to` holds.
pub fn heads<'a>(members: &'a Members, may_report_to: impl Fn(SocketAddr) -> bool) -> BTreeMap<&'a str, Head<'a>> {
    let mut heads: BTreeMap<&str, Head<'_>> = BTreeMap::new();
    for (name, member) in members.iter().filter(|(_, member)| may_report_to(member.peer)) {
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
