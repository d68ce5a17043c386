//! The last known state of the store, from lists, watches and peers.

use crate::store::{Event, Item, Listing};
use std::collections::{BTreeMap, HashSet, VecDeque};

/// Changes that are kept to be told to peers.
const RECENT: usize = 1_000;

/// Items by key, the revision up to which they are known, and recent changes.
#[derive(Debug, Default)]
pub struct StoreView {
    items: BTreeMap<String, Item>,
    at: u64,
    recent: VecDeque<Event>,
    /// The revision after which `recent` is complete.
    recent_after: u64,
}

impl StoreView {
    /// The revision up to which changes are known.
    pub fn at(&self) -> u64 {
        self.at
    }

    /// All items, by key.
    pub fn items(&self) -> impl Iterator<Item = &Item> {
        self.items.values()
    }

    /// The item of a key.
    pub fn item(&self, key: &str) -> Option<&Item> {
        self.items.get(key)
    }

    /// What changed after a revision; `None` where that is not known any more.
    pub fn changes_after(&self, revision: u64) -> Option<impl Iterator<Item = &Event>> {
        let known = revision >= self.recent_after;
        known.then(|| self.recent.iter().filter(move |event| event.revision() > revision))
    }

    /// Takes in events up to `at`; gives those that changed the view.
    pub fn apply(&mut self, events: Vec<Event>, at: u64) -> Vec<Event> {
        let mut changes = Vec::new();
        for event in events {
            let known = self.items.get(event.key()).map_or(0, |item| item.revision);
            if event.revision() <= known {
                continue;
            }
            match &event {
                Event::Put(item) => {
                    self.items.insert(item.key.clone(), item.clone());
                    changes.push(event);
                }
                Event::Gone { key, .. } => {
                    if self.items.remove(key).is_some() {
                        changes.push(event);
                    }
                }
            }
        }
        self.at = self.at.max(at);
        self.remember(&changes);
        changes
    }

    fn remember(&mut self, changes: &[Event]) {
        self.recent.extend(changes.iter().cloned());
        while self.recent.len() > RECENT {
            let oldest = self.recent.pop_front().map_or(0, |event| event.revision());
            self.recent_after = self.recent_after.max(oldest);
        }
    }

    /// Takes in a whole list; gives what changed by it. A list that is older
    /// than the view changes nothing.
    pub fn replace(&mut self, listing: Listing) -> Vec<Event> {
        if listing.at < self.at {
            return Vec::new();
        }
        let mut gone: Vec<String> = Vec::new();
        let listed: HashSet<&str> = listing.items.iter().map(|item| item.key.as_str()).collect();
        for (key, item) in &self.items {
            // A later page may have shown a key that was written meanwhile.
            if !listed.contains(key.as_str()) && item.revision <= listing.at {
                gone.push(key.clone());
            }
        }
        let mut events: Vec<Event> = gone.into_iter().map(|key| Event::Gone { key, revision: listing.at }).collect();
        events.extend(listing.items.into_iter().map(Event::Put));
        let changes = self.apply(events, listing.at);
        // What came and went before the list is not among the changes.
        self.recent.clear();
        self.recent_after = listing.at;
        changes
    }
}
