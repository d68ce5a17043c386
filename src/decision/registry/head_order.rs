//! The order in which the instances of each hall become its head: those with the most processor first,
//! among equals by a hash of hall and name.
//!
//! **Inputs**: hall, name, address and processor of the members; as old as the view.
//!
//! **Why.** A head answers five reports a second of each instance of its hall, so that its work grows
//! with the hall and its machine should be a strong one. The hash spreads the heads of several halls over
//! machines. It differs from the order by name that decides which instance watches the store, so that
//! one instance does both for its hall only by chance. The order is kept up to date with the members, so
//! that finding a head does not take longer in a larger fleet.
//!
//! Owns the order. **Test**: `tests/quotas.rs`.

use crate::model::member::Member;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// An instance that may become the head of its hall, in the order of the fields.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct HeadCandidate {
    /// Processor of its machine, thousandths of a core; 0 if unknown.
    core_milli: Reverse<u32>,
    hash: u64,
    /// Instance name.
    pub name: String,
    /// Address at which it accepts reports of other instances.
    pub peer: SocketAddr,
}

impl HeadCandidate {
    fn new(name: &str, member: &Member) -> Self {
        let hash = xxh3_64_with_seed(name.as_bytes(), xxh3_64_with_seed(member.hall.as_bytes(), 0));
        let core_milli = Reverse(member.capacity.core_milli.unwrap_or(0));
        Self { core_milli, hash, name: name.to_owned(), peer: member.peer }
    }
}

/// The instances of each hall, in the order in which they become its head.
#[derive(Debug, Default)]
pub struct HeadOrder {
    by_hall: BTreeMap<String, BTreeSet<HeadCandidate>>,
}

impl HeadOrder {
    /// Adds a member.
    pub fn insert(&mut self, name: &str, member: &Member) {
        self.by_hall.entry(member.hall.clone()).or_default().insert(HeadCandidate::new(name, member));
    }

    /// Removes a member; `member` is the record with which it was added.
    pub fn remove(&mut self, name: &str, member: &Member) {
        let Some(candidates) = self.by_hall.get_mut(&member.hall) else { return };
        candidates.remove(&HeadCandidate::new(name, member));
        if candidates.is_empty() {
            self.by_hall.remove(&member.hall);
        }
    }

    /// The halls that have instances, in name order.
    pub fn halls(&self) -> impl Iterator<Item = &str> {
        self.by_hall.keys().map(String::as_str)
    }

    /// The instances of a hall, the first in order first.
    pub fn candidates(&self, hall: &str) -> impl Iterator<Item = &HeadCandidate> {
        self.by_hall.get(hall).into_iter().flatten()
    }
}
