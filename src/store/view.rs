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

/// An update of a view.
#[derive(Clone, Debug)]
pub enum Update {
    /// Events of the store.
    Events {
        /// The events, oldest first for each key.
        events: Vec<Event>,
        /// The position up to which they are complete.
        at: Position,
    },
    /// All items of the store.
    Listing(Listing),
}

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

    /// Applies events up to `at`; returns those that changed the view.
    pub fn apply(&mut self, events: Vec<Event>, at: Position) -> Vec<Event> {
        self.update(&Update::Events { events, at })
    }

    /// Replaces the items by a list; returns what changed.
    pub fn replace(&mut self, listing: Listing) -> Vec<Event> {
        self.update(&Update::Listing(listing))
    }

    fn update(&mut self, update: &Update) -> Vec<Event> {
        let changes = self.changes_of(update);
        self.commit(update, &changes);
        changes
    }

    /// The events that an update would change the view by. Events that the view already includes are
    /// left out: they may arrive late, after those of a faster source. Events from another era are left
    /// out as well: they cannot be applied without the list that precedes them. A list older than the
    /// view changes nothing.
    pub fn changes_of(&self, update: &Update) -> Vec<Event> {
        match update {
            Update::Events { events, at } if at.era == self.position.era => self.effective(self.new_events(events)),
            Update::Listing(listing) if listing.at.era > self.position.era => self.era_changes(listing),
            Update::Listing(listing) if listing.at >= self.position => self.effective(self.listing_events(listing)),
            Update::Events { .. } | Update::Listing(_) => Vec::new(),
        }
    }

    /// All items but those that are among the changes.
    pub fn all_but(&self, changes: &[Event]) -> Vec<Event> {
        let changed: HashSet<&str> = changes.iter().map(Event::key).collect();
        let others = self.items.values().filter(|item| !changed.contains(item.key.as_str()));
        others.cloned().map(Event::Put).collect()
    }

    /// The position that the view has after an update.
    pub fn position_after(&self, update: &Update) -> Position {
        match update {
            Update::Events { at, .. } if at.era != self.position.era => self.position,
            Update::Events { at, .. } => self.position.max(*at),
            Update::Listing(listing) => self.position.max(listing.at),
        }
    }

    /// Includes an update in the view, with its `changes` by [`Self::changes_of`]. The position moves last,
    /// so that an update that panicked can be repeated.
    pub fn commit(&mut self, update: &Update, changes: &[Event]) {
        let position = self.position_after(update);
        match update {
            Update::Events { events, at } if at.era == self.position.era => {
                let new = self.new_events(events);
                // Includes events that a later page of a list already contained: peers may lack them.
                self.record_recent(&new);
                self.merge(changes);
                self.limit_recent();
            }
            Update::Listing(listing) if listing.at >= self.position => {
                self.merge(changes);
                // A key that was written and deleted since the last position is in neither the view nor the
                // list, so the changes before the list are incomplete.
                self.recent.clear();
                self.recent_after = listing.at.revision;
            }
            Update::Events { .. } | Update::Listing(_) => {}
        }
        self.position = position;
    }

    /// Events beyond the view's position, each once.
    fn new_events(&self, events: &[Event]) -> Vec<Event> {
        let mut last = HashMap::new();
        let is_new = |event: &&Event| event.revision() > self.position.revision && is_later(&mut last, event);
        events.iter().filter(is_new).cloned().collect()
    }

    /// Those of the events that change the items, one after the other.
    fn effective(&self, events: Vec<Event>) -> Vec<Event> {
        let mut known: HashMap<String, Option<u64>> = HashMap::new();
        let is_effective = |event: &Event| {
            let item = || self.items.get(event.key()).map(|item| item.revision);
            let known = known.entry(event.key().to_owned()).or_insert_with(item);
            if event.revision() <= known.unwrap_or(0) {
                return false;
            }
            match event {
                Event::Put(item) => {
                    *known = Some(item.revision);
                    true
                }
                Event::Delete { .. } => known.take().is_some(),
            }
        };
        events.into_iter().filter(is_effective).collect()
    }

    fn merge(&mut self, changes: &[Event]) {
        for change in changes {
            match change {
                Event::Put(item) => drop(self.items.insert(item.key.clone(), item.clone())),
                Event::Delete { key, .. } => drop(self.items.remove(key)),
            }
        }
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

    /// A list of the view's era as events: the items that are missing from it, and those that it has.
    fn listing_events(&self, listing: &Listing) -> Vec<Event> {
        let listed: HashSet<&str> = listing.items.iter().map(|item| item.key.as_str()).collect();
        // A later page of the list may hold a key written after the first page.
        let is_missing = |item: &&Item| !listed.contains(item.key.as_str()) && item.revision <= listing.at.revision;
        let missing = self.items.values().filter(is_missing);
        let removed = missing.map(|item| Event::Delete { key: item.key.clone(), revision: listing.at.revision });
        removed.chain(listing.items.iter().cloned().map(Event::Put)).collect()
    }

    /// What the first list of a later era changes, regardless of the revisions.
    fn era_changes(&self, listing: &Listing) -> Vec<Event> {
        let listed: BTreeMap<&str, &Item> = listing.items.iter().map(|item| (item.key.as_str(), item)).collect();
        let missing = self.items.keys().filter(|key| !listed.contains_key(key.as_str()));
        let removed = missing.map(|key| Event::Delete { key: key.clone(), revision: listing.at.revision });
        let differing = listed.values().filter(|item| self.items.get(&item.key) != Some(**item));
        removed.chain(differing.map(|item| Event::Put((*item).clone()))).collect()
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
