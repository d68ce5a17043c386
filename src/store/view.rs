//! The view: the store's items as an instance knows them, from lists, watches and peers.
//!
//! Within an era an older change never replaces a newer one, and only a list moves the view to a
//! later era.
//!
//! Owns the items, the position up to which they are complete, and recent changes for peers. Relies
//! on the store to assign increasing revisions within an era.

use crate::store::era::Position;
use crate::store::{Event, Item, Listing};
use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};

/// Number of changes that are kept for peers even if the view has fewer items. In a larger view as many
/// changes are kept as it has items: a peer that is further behind gets the full view, which is then no
/// larger than the changes would be. Halls that are lost, targets that are replaced and starting
/// instances change a fixed fraction of the items at once, however many there are.
const MIN_RECENT_CHANGES: usize = 1_000;
/// Minimum size, bytes, of a value that is not kept for peers once its key has a later one, since
/// sending it would delay a peer that is catching up. Far above a registration (300 bytes).
const LARGE_VALUE_SIZE: usize = 4 << 10;

/// Items by key, the position up to which they are complete, and recent changes.
#[derive(Debug, Default)]
pub struct StoreView {
    items: BTreeMap<String, Item>,
    position: Position,
    recent: VecDeque<Event>,
    /// The revision of the view's era after which `recent` is complete.
    recent_after: u64,
}

impl StoreView {
    /// The position up to which changes are included.
    pub fn position(&self) -> Position {
        self.position
    }

    /// The latest position of the store that the view shows: a later page of a list may contain items
    /// after the view's position.
    pub fn seen(&self) -> Position {
        let revision = self.items().map(|item| item.revision).fold(self.position.revision, u64::max);
        Position { revision, ..self.position }
    }

    /// All items, by key.
    pub fn items(&self) -> impl Iterator<Item = &Item> {
        self.items.values()
    }

    /// The item of a key.
    pub fn item(&self, key: &str) -> Option<&Item> {
        self.items.get(key)
    }

    /// The changes after a revision of the view's era; `None` if they are no longer kept.
    pub fn changes_after(&self, revision: u64) -> Option<impl Iterator<Item = &Event>> {
        let is_complete = revision >= self.recent_after;
        is_complete.then(|| self.recent.iter().filter(move |event| event.revision() > revision))
    }

    /// Applies events up to `at`; returns those that changed the view. Events that the view
    /// already includes are ignored: they may arrive late, after those of a faster source. Events
    /// from another era are ignored as well: they cannot be applied without the list that precedes
    /// them.
    pub fn apply(&mut self, events: Vec<Event>, at: Position) -> Vec<Event> {
        if at.era != self.position.era {
            return Vec::new();
        }
        let mut last = HashMap::new();
        let is_new = |event: &Event| event.revision() > self.position.revision && is_later(&mut last, event);
        let new: Vec<Event> = events.into_iter().filter(is_new).collect();
        // Includes events that a later page of a list already contained: peers may lack them.
        self.record_recent(&new);
        let changes = self.merge(new, at);
        self.limit_recent();
        changes
    }

    /// Applies events to the items; returns those that changed them.
    fn merge(&mut self, events: Vec<Event>, at: Position) -> Vec<Event> {
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
                Event::Delete { key, .. } => {
                    if self.items.remove(key).is_some() {
                        changes.push(event);
                    }
                }
            }
        }
        self.position = self.position.max(at);
        changes
    }

    /// Keeps changes for peers, except large values that a later change replaces.
    fn record_recent(&mut self, changes: &[Event]) {
        self.recent.extend(changes.iter().cloned());
        let is_replaced = |event: &Event| {
            let is_later = |change: &Event| change.key() == event.key() && change.revision() > event.revision();
            event.is_large() && changes.iter().any(is_later)
        };
        self.recent.retain(|event| !is_replaced(event));
    }

    /// Drops the oldest changes beyond the maximum.
    fn limit_recent(&mut self) {
        let max = self.items.len().max(MIN_RECENT_CHANGES);
        let excess = self.recent.len().saturating_sub(max);
        if let Some(oldest) = self.recent.drain(..excess).last() {
            self.recent_after = self.recent_after.max(oldest.revision());
        }
    }

    /// Replaces the items by a list; returns what changed. A list older than the view is
    /// ignored.
    pub fn replace(&mut self, listing: Listing) -> Vec<Event> {
        if listing.at < self.position {
            return Vec::new();
        }
        if listing.at.era > self.position.era {
            return self.begin_era(listing);
        }
        let mut missing: Vec<String> = Vec::new();
        let listed: HashSet<&str> = listing.items.iter().map(|item| item.key.as_str()).collect();
        for (key, item) in &self.items {
            // A later page of the list may hold a key written after the first page.
            if !listed.contains(key.as_str()) && item.revision <= listing.at.revision {
                missing.push(key.clone());
            }
        }
        let mut events: Vec<Event> =
            missing.into_iter().map(|key| Event::Delete { key, revision: listing.at.revision }).collect();
        events.extend(listing.items.into_iter().map(Event::Put));
        let changes = self.merge(events, listing.at);
        // A key that was written and deleted since the last position is in neither the view nor the list,
        // so the changes before the list are incomplete.
        self.recent.clear();
        self.recent_after = listing.at.revision;
        changes
    }

    /// Replaces all items by the first list of a later era, regardless of their revisions.
    fn begin_era(&mut self, listing: Listing) -> Vec<Event> {
        let Listing { items, at } = listing;
        let listed: BTreeMap<String, Item> = items.into_iter().map(|item| (item.key.clone(), item)).collect();
        let missing = self.items.keys().filter(|key| !listed.contains_key(*key));
        let mut changes: Vec<Event> =
            missing.map(|key| Event::Delete { key: key.clone(), revision: at.revision }).collect();
        let differing = listed.values().filter(|item| self.items.get(&item.key) != Some(*item));
        changes.extend(differing.cloned().map(Event::Put));
        self.items = listed;
        self.position = at;
        self.recent.clear();
        self.recent_after = at.revision;
        changes
    }
}

/// Whether the event is later than the preceding events of its key in the same response, which
/// may contain an event twice.
fn is_later(last: &mut HashMap<String, u64>, event: &Event) -> bool {
    let last = last.entry(event.key().to_owned()).or_default();
    let is_later = event.revision() > *last;
    *last = event.revision().max(*last);
    is_later
}

impl Event {
    /// Whether it contains a value of at least [`LARGE_VALUE_SIZE`] bytes.
    fn is_large(&self) -> bool {
        self.value_size() >= LARGE_VALUE_SIZE
    }
}
