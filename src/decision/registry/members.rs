//! The members: all instances that have registered in the store, this one among them.
//!
//! Owns the list, and the time at which an instance last joined or left. As old as the view;
//! while the store is unreachable it stays as it was. Relies on nothing but the decoded
//! records.

use crate::clock::Instant;
use crate::model::member::Member;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Instances by name.
#[derive(Debug)]
pub struct Members {
    by_name: BTreeMap<String, Member>,
    changed_at: Instant,
}

impl Default for Members {
    fn default() -> Self {
        Self { by_name: BTreeMap::new(), changed_at: Instant::now() }
    }
}

impl Members {
    /// Adds a member or replaces its record.
    pub fn insert(&mut self, name: String, member: Member, now: Instant) {
        if self.by_name.insert(name, member).is_none() {
            self.changed_at = now;
        }
    }

    /// Removes a member; false where there was none.
    pub fn remove(&mut self, name: &str, now: Instant) -> bool {
        let is_removed = self.by_name.remove(name).is_some();
        if is_removed {
            self.changed_at = now;
        }
        is_removed
    }

    /// When a member last joined or left.
    pub fn changed_at(&self) -> Instant {
        self.changed_at
    }

    /// How many there are.
    pub fn count(&self) -> usize {
        self.by_name.len()
    }

    /// Whether there is a member of this name.
    pub fn contains_key(&self, name: &str) -> bool {
        self.by_name.contains_key(name)
    }

    /// All members, in name order.
    pub fn iter(&self) -> impl Iterator<Item = (&String, &Member)> {
        self.by_name.iter()
    }

    /// All names, in order.
    pub fn names(&self) -> impl Iterator<Item = &str> {
        self.by_name.keys().map(String::as_str)
    }

    /// All members but the one of this name, in name order.
    pub fn others(&self, own_name: &str) -> impl Iterator<Item = &Member> {
        self.by_name.iter().filter(move |(name, _)| *name != own_name).map(|(_, member)| member)
    }

    /// Addresses where the other instances listen for their peers.
    pub fn peers(&self, own_name: &str) -> Vec<SocketAddr> {
        self.others(own_name).map(|member| member.peer).collect()
    }
}
