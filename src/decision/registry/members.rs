//! The members: all instances that have registered in the store, this one among them.
//!
//! Owns the list, and the time at which an instance last joined or left. As old as the view;
//! while the store is unreachable it stays as it was. Relies on nothing but the decoded
//! records.

use crate::clock::Instant;
use crate::model::member::Member;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Instances by name.
#[derive(Debug)]
pub struct Members {
    by_name: BTreeMap<String, Member>,
    changed_at: Instant,
    /// The most there were lately, and since when there are fewer.
    recent_max: usize,
    below_max_since: Option<Instant>,
}

/// Time for which members that are gone count among the recent ones: they may have lost their keys
/// and not be dead, and register again within a lease or two.
const RECENT_WINDOW: Duration = Duration::from_secs(10);

impl Default for Members {
    fn default() -> Self {
        Self { by_name: BTreeMap::new(), changed_at: Instant::now(), recent_max: 0, below_max_since: None }
    }
}

impl Members {
    /// Adds a member or replaces its record.
    pub fn insert(&mut self, name: String, member: Member, now: Instant) {
        self.expire_recent_max(now);
        if self.by_name.insert(name, member).is_none() {
            self.changed_at = now;
            self.update_recent_max(now);
        }
    }

    /// Removes a member; false where there was none.
    pub fn remove(&mut self, name: &str, now: Instant) -> bool {
        self.expire_recent_max(now);
        let is_removed = self.by_name.remove(name).is_some();
        if is_removed {
            self.changed_at = now;
            self.update_recent_max(now);
        }
        is_removed
    }

    /// When a member last joined or left.
    pub fn changed_at(&self) -> Instant {
        self.changed_at
    }

    /// Forgets that there were more, where that is long ago; before a change.
    fn expire_recent_max(&mut self, now: Instant) {
        self.recent_max = self.recent_count(now);
        if self.recent_max == self.by_name.len() {
            self.below_max_since = None;
        }
    }

    /// Notes whether there are fewer than lately; after a change.
    fn update_recent_max(&mut self, now: Instant) {
        if self.by_name.len() < self.recent_max {
            self.below_max_since.get_or_insert(now);
        } else {
            self.recent_max = self.by_name.len();
            self.below_max_since = None;
        }
    }

    /// The most that there were in the last ten seconds.
    pub fn recent_count(&self, now: Instant) -> usize {
        let is_over = self.below_max_since.is_some_and(|since| now.saturating_duration_since(since) >= RECENT_WINDOW);
        if is_over { self.by_name.len() } else { self.by_name.len().max(self.recent_max) }
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
    pub fn peer_addresses(&self, own_name: &str) -> Vec<SocketAddr> {
        self.others(own_name).map(|member| member.peer).collect()
    }
}
