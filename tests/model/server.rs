//! The store of the model: keys with revisions, the times of their changes, leases, a
//! history that can be compacted, lists of several pages, and snapshots from which it can be restored.

use bytes::Bytes;
use lockloft::store::era::{Era, Position};
use lockloft::store::view::StoreView;
use lockloft::store::{Event, Item, LeaseId};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

#[derive(Clone)]
struct Lease {
    ttl: Duration,
    ends: Instant,
    keys: Vec<String>,
}

/// A page of a list.
pub struct Page {
    pub items: Vec<Item>,
    pub at: Position,
    pub has_more: bool,
}

/// The store's contents at a point in time.
#[derive(Clone)]
pub struct Snapshot {
    items: BTreeMap<String, Item>,
    history: Vec<Event>,
    leases: HashMap<u64, Lease>,
    last_lease: u64,
}

/// The store.
pub struct Server {
    era: Cell<Era>,
    items: RefCell<BTreeMap<String, Item>>,
    /// The changes of the current era, including those restored from the snapshot; the index is the
    /// revision less 1.
    history: RefCell<Vec<Event>>,
    /// All changes of all eras with their times, including those made by a restore.
    changes: RefCell<Vec<(Event, Instant)>>,
    /// Watches after an earlier revision are told that history is gone.
    compacted: Cell<u64>,
    leases: RefCell<HashMap<u64, Lease>>,
    last_lease: Cell<u64>,
    renewals: Cell<u64>,
    changed: Notify,
}

impl Default for Server {
    fn default() -> Self {
        Self {
            era: Cell::new(Era(1)),
            items: RefCell::default(),
            history: RefCell::default(),
            changes: RefCell::default(),
            compacted: Cell::default(),
            leases: RefCell::default(),
            last_lease: Cell::default(),
            renewals: Cell::default(),
            changed: Notify::default(),
        }
    }
}

impl Server {
    /// The era, which every answer reports.
    pub fn era(&self) -> Era {
        self.era.get()
    }

    /// The revision of the last change.
    fn revision(&self) -> u64 {
        self.history.borrow().len() as u64
    }

    /// The position of the last change.
    pub fn at(&self) -> Position {
        Position { era: self.era(), revision: self.revision() }
    }

    /// Takes a snapshot of its contents.
    pub fn snapshot(&self) -> Snapshot {
        Snapshot {
            items: self.items(),
            history: self.history.borrow().clone(),
            leases: self.leases.borrow().clone(),
            last_lease: self.last_lease.get(),
        }
    }

    /// Restores a snapshot and begins the next era. Its leases start again with their full duration,
    /// or end if `keeps_leases` is false. The restore itself does not notify pending watches.
    pub fn restore(&self, snapshot: Snapshot, keeps_leases: bool) {
        let now = Instant::now();
        let before = self.items.replace(snapshot.items.clone());
        let lost = before.keys().filter(|key| !snapshot.items.contains_key(*key));
        let lost = lost.map(|key| Event::Delete { key: key.clone(), revision: snapshot.history.len() as u64 });
        let returned = snapshot.items.values().filter(|item| before.get(&item.key) != Some(*item));
        let returned = returned.cloned().map(Event::Put);
        self.changes.borrow_mut().extend(lost.chain(returned).map(|event| (event, now)));
        self.era.set(Era(self.era().0 + 1));
        self.history.replace(snapshot.history);
        self.compacted.set(self.compacted.get().min(self.revision()));
        self.leases.replace(snapshot.leases);
        self.last_lease.set(snapshot.last_lease);
        let mut leases = self.leases.borrow_mut();
        leases.values_mut().for_each(|lease| lease.ends = now + lease.ttl);
        let numbers: Vec<u64> = leases.keys().copied().collect();
        drop(leases);
        if !keeps_leases {
            numbers.into_iter().for_each(|number| self.end(number));
        }
    }

    /// The items as they are.
    pub fn items(&self) -> BTreeMap<String, Item> {
        self.items.borrow().clone()
    }

    /// Writes a key.
    pub fn put(&self, key: &str, value: impl Into<Bytes>) {
        let item = Item { key: key.to_owned(), value: value.into(), revision: self.revision() + 1 };
        self.items.borrow_mut().insert(key.to_owned(), item.clone());
        self.record(Event::Put(item));
    }

    /// Removes a key, if it is there.
    pub fn remove(&self, key: &str) {
        if self.items.borrow_mut().remove(key).is_some() {
            self.record(Event::Delete { key: key.to_owned(), revision: self.revision() + 1 });
        }
    }

    fn record(&self, event: Event) {
        self.history.borrow_mut().push(event.clone());
        self.changes.borrow_mut().push((event, Instant::now()));
        self.changed.notify_waiters();
    }

    /// Forgets the history.
    pub fn compact(&self) {
        self.compacted.set(self.revision());
    }

    /// The page of a list that begins after a key.
    pub fn page(&self, after: &str, size: usize) -> Page {
        let items = self.items.borrow();
        let mut rest = items.values().filter(|item| item.key.as_str() > after);
        let page: Vec<Item> = rest.by_ref().take(size).cloned().collect();
        Page { items: page, at: self.at(), has_more: rest.next().is_some() }
    }

    /// Changes after a revision, as soon as there is one or the wait is over; `None` where
    /// history is gone, or the revision is later than the store's.
    pub async fn watch(&self, after: u64, wait: Duration) -> Option<(Vec<Event>, Position)> {
        let ends = Instant::now() + wait;
        if after > self.revision() {
            return None;
        }
        loop {
            let changed = self.changed.notified();
            if after < self.compacted.get() {
                return None;
            }
            let events: Vec<Event> = self.history.borrow().iter().skip(after as usize).cloned().collect();
            if !events.is_empty() {
                return Some((events, self.at()));
            }
            if tokio::time::timeout_at(ends, changed).await.is_err() {
                return Some((Vec::new(), self.at()));
            }
        }
    }

    /// Takes a lease.
    pub fn grant(&self, ttl: Duration) -> LeaseId {
        self.last_lease.set(self.last_lease.get() + 1);
        let lease = Lease { ttl, ends: Instant::now() + ttl, keys: Vec::new() };
        self.leases.borrow_mut().insert(self.last_lease.get(), lease);
        LeaseId { number: self.last_lease.get(), era: self.era() }
    }

    /// Renews a lease; false where it is over.
    pub fn renew(&self, number: u64) -> bool {
        self.renewals.set(self.renewals.get() + 1);
        let mut leases = self.leases.borrow_mut();
        let Some(lease) = leases.get_mut(&number) else { return false };
        lease.ends = Instant::now() + lease.ttl;
        true
    }

    /// Writes a key that goes with a lease; false where the lease is over.
    pub fn put_leased(&self, key: &str, value: Bytes, number: u64) -> bool {
        let mut leases = self.leases.borrow_mut();
        let Some(lease) = leases.get_mut(&number) else { return false };
        lease.keys.push(key.to_owned());
        drop(leases);
        self.put(key, value);
        true
    }

    /// Ends a lease and removes its keys.
    pub fn end(&self, number: u64) {
        let lease = self.leases.borrow_mut().remove(&number);
        for key in lease.into_iter().flat_map(|lease| lease.keys) {
            self.remove(&key);
        }
    }

    /// Ends the leases whose time is over.
    pub fn end_leases(&self) {
        let now = Instant::now();
        let over: Vec<u64> = self.leases.borrow().iter().filter(|(_, lease)| lease.ends <= now).map(|l| *l.0).collect();
        over.into_iter().for_each(|number| self.end(number));
    }

    /// Lets time pass that the steady clock of a suspended machine does not count: all that was
    /// is so much longer ago, and leases have so much less left.
    pub fn pass(&self, time: Duration) {
        let earlier = |at: &mut Instant| *at = at.checked_sub(time).unwrap_or(*at);
        self.changes.borrow_mut().iter_mut().for_each(|(_, at)| earlier(at));
        self.leases.borrow_mut().values_mut().for_each(|lease| earlier(&mut lease.ends));
        self.end_leases();
    }

    /// How often leases were renewed.
    pub fn renewals(&self) -> u64 {
        self.renewals.get()
    }

    /// Time of the first change that a view lacks; `None` where it lacks none. A key is as
    /// old as the last time at which the store had it as the view has it.
    pub fn lacking_since(&self, view: &StoreView) -> Option<Instant> {
        let changes = self.changes.borrow();
        let mut lacking: HashMap<&str, Option<Instant>> = HashMap::new();
        for (event, at) in changes.iter() {
            let has = match (event, view.item(event.key())) {
                (Event::Put(put), Some(item)) => put == item,
                (Event::Delete { .. }, None) => true,
                _ => false,
            };
            let first = lacking.entry(event.key()).or_default();
            *first = if has { None } else { first.or(Some(*at)) };
        }
        lacking.into_values().flatten().min()
    }
}
