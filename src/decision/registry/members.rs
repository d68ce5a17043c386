//! The members: all instances registered in the store, including this one.
//!
//! Owns the list, and the time at which an instance last joined or left. As old as the view;
//! unchanged while the store is unreachable. Relies only on decoded records.

use crate::clock::Instant;
use crate::decision::registry::head_order::HeadOrder;
use crate::model::member::Member;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Instances by name.
#[derive(Debug)]
pub struct Members {
    by_name: BTreeMap<String, Member>,
    head_order: HeadOrder,
    changed_at: Instant,
    /// Recent maximum of the member count.
    recent_max: usize,
    /// Since when there have been fewer members than `recent_max`; `None` if there are not.
    below_max_since: Option<Instant>,
}

/// How long removed members count as recent: they may have lost their keys without having stopped,
/// and register again within one or two leases.
const RECENT_WINDOW: Duration = Duration::from_secs(10);

impl Default for Members {
    fn default() -> Self {
        Self {
            by_name: BTreeMap::new(),
            head_order: HeadOrder::default(),
            changed_at: Instant::now(),
            recent_max: 0,
            below_max_since: None,
        }
    }
}

impl Members {
    /// Adds a member or replaces its record.
    pub fn insert(&mut self, name: String, member: Member, now: Instant) {
        self.expire_recent_max(now);
        let previous = self.by_name.remove(&name);
        if let Some(previous) = &previous {
            self.head_order.remove(&name, previous);
        }
        self.head_order.insert(&name, &member);
        self.by_name.insert(name, member);
        if previous.is_none() {
            self.changed_at = now;
            self.update_recent_max(now);
        }
    }

    /// Removes a member; false if it was not one.
    pub fn remove(&mut self, name: &str, now: Instant) -> bool {
        self.expire_recent_max(now);
        let Some(member) = self.by_name.remove(name) else { return false };
        self.head_order.remove(name, &member);
        self.changed_at = now;
        self.update_recent_max(now);
        true
    }

    /// When a member last joined or left.
    pub fn changed_at(&self) -> Instant {
        self.changed_at
    }

    /// Lowers `recent_max` to the current count if it is no longer recent. Called before each change.
    fn expire_recent_max(&mut self, now: Instant) {
        self.recent_max = self.recent_count(now);
        if self.recent_max == self.by_name.len() {
            self.below_max_since = None;
        }
    }

    /// Compares the new count with `recent_max`. Called after each change.
    fn update_recent_max(&mut self, now: Instant) {
        if self.by_name.len() < self.recent_max {
            self.below_max_since.get_or_insert(now);
        } else {
            self.recent_max = self.by_name.len();
            self.below_max_since = None;
        }
    }

    /// The recent maximum of the member count. Once the count has been below it for `RECENT_WINDOW`, it
    /// drops to the current count.
    pub fn recent_count(&self, now: Instant) -> usize {
        let is_over = self.below_max_since.is_some_and(|since| now.saturating_duration_since(since) >= RECENT_WINDOW);
        if is_over { self.by_name.len() } else { self.by_name.len().max(self.recent_max) }
    }

    /// Current member count, including this instance if it is registered.
    pub fn count(&self) -> usize {
        self.by_name.len()
    }

    /// Whether an instance of this name is a member.
    pub fn contains_key(&self, name: &str) -> bool {
        self.by_name.contains_key(name)
    }

    /// The record of a member; `None` if no instance of this name is one.
    pub fn get(&self, name: &str) -> Option<&Member> {
        self.by_name.get(name)
    }

    /// The order in which members become the heads of their halls.
    pub fn head_order(&self) -> &HeadOrder {
        &self.head_order
    }

    /// All members, in name order.
    pub fn iter(&self) -> impl Iterator<Item = (&String, &Member)> {
        self.by_name.iter()
    }

    /// All names, in order.
    pub fn names(&self) -> impl ExactSizeIterator<Item = &str> {
        self.by_name.keys().map(String::as_str)
    }

    /// All members except the one named `own_name`, in name order.
    pub fn others(&self, own_name: &str) -> impl Iterator<Item = &Member> {
        self.by_name.iter().filter(move |(name, _)| *name != own_name).map(|(_, member)| member)
    }

    /// Addresses at which the other instances listen for peers.
    pub fn peer_addresses(&self, own_name: &str) -> Vec<SocketAddr> {
        self.others(own_name).map(|member| member.peer).collect()
    }
}
