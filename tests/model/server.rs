//! The simulated store: keys with revisions, the times of their changes, leases, a history that
//! can be compacted, lists with several pages, and snapshots from which it can be restored.

use bytes::Bytes;
use lockloft::store::era::{Era, Position};
use lockloft::store::view::StoreView;
use lockloft::store::{Event, Item};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

#[derive(Clone)]
struct Lease {
    ttl: Duration,
    expires_at: Instant,
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
    /// The number that every response reports.
    era_number: Cell<u64>,
    items: RefCell<BTreeMap<String, Item>>,
    /// The changes of the current era, including those restored from the snapshot; the index is the
    /// revision less 1.
    history: RefCell<Vec<Event>>,
    /// The changes of all eras with their times, including those made by a restore.
    changes: RefCell<Vec<(Event, Instant)>>,
    /// Revision up to which the history is compacted; a watch after an earlier one fails.
    compacted: Cell<u64>,
    leases: RefCell<HashMap<u64, Lease>>,
    last_lease: Cell<u64>,
    renewals: Cell<u64>,
    changed: Notify,
}

impl Default for Server {
    fn default() -> Self {
        Self {
            era_number: Cell::new(1),
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
    /// The number of the era, which every response reports.
    pub fn era_number(&self) -> u64 {
        self.era_number.get()
    }

    /// The revision of the last change.
    fn revision(&self) -> u64 {
        self.history.borrow().len() as u64
    }

    /// The position of the last change, by what the responses report.
    pub fn position(&self) -> Position {
        Position { era: Era::from(self.era_number()), revision: self.revision() }
    }

    /// Returns a snapshot of the contents.
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
        self.era_number.set(self.era_number() + 1);
        self.restore_unmarked(snapshot, keeps_leases);
    }

    /// As [`Self::restore`], without beginning an era.
    pub fn restore_unmarked(&self, snapshot: Snapshot, keeps_leases: bool) {
        let now = Instant::now();
        let before = self.items.replace(snapshot.items.clone());
        let lost = before.keys().filter(|key| !snapshot.items.contains_key(*key));
        let lost = lost.map(|key| Event::Delete { key: key.clone(), revision: snapshot.history.len() as u64 });
        let returned = snapshot.items.values().filter(|item| before.get(&item.key) != Some(*item));
        let returned = returned.cloned().map(Event::Put);
        self.changes.borrow_mut().extend(lost.chain(returned).map(|event| (event, now)));
        self.history.replace(snapshot.history);
        self.compacted.set(self.compacted.get().min(self.revision()));
        self.leases.replace(snapshot.leases);
        self.last_lease.set(snapshot.last_lease);
        let mut leases = self.leases.borrow_mut();
        leases.values_mut().for_each(|lease| lease.expires_at = now + lease.ttl);
        let numbers: Vec<u64> = leases.keys().copied().collect();
        drop(leases);
        if !keeps_leases {
            numbers.into_iter().for_each(|number| self.revoke(number));
        }
    }

    /// The current items.
    pub fn items(&self) -> BTreeMap<String, Item> {
        self.items.borrow().clone()
    }

    /// Writes a key.
    pub fn put(&self, key: &str, value: impl Into<Bytes>) {
        let item = Item { key: key.to_owned(), value: value.into(), revision: self.revision() + 1 };
        self.items.borrow_mut().insert(key.to_owned(), item.clone());
        self.record(Event::Put(item));
    }

    /// Deletes a key if it exists.
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

    /// Compacts the whole history.
    pub fn compact(&self) {
        self.compacted.set(self.revision());
    }

    /// The page of a list that starts after a key.
    pub fn page(&self, after: &str, size: usize) -> Page {
        let items = self.items.borrow();
        let mut rest = items.values().filter(|item| item.key.as_str() > after);
        let page: Vec<Item> = rest.by_ref().take(size).cloned().collect();
        Page { items: page, at: self.position(), has_more: rest.next().is_some() }
    }

    /// The changes after a revision, as soon as there is one or the wait times out; `None` if the
    /// history is compacted, or the revision is later than the store's.
    pub async fn watch(&self, after: u64, wait: Duration) -> Option<(Vec<Event>, Position)> {
        let deadline = Instant::now() + wait;
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
                return Some((events, self.position()));
            }
            if tokio::time::timeout_at(deadline, changed).await.is_err() {
                return Some((Vec::new(), self.position()));
            }
        }
    }

    /// Grants a lease; returns its number.
    pub fn grant(&self, ttl: Duration) -> u64 {
        self.last_lease.set(self.last_lease.get() + 1);
        let lease = Lease { ttl, expires_at: Instant::now() + ttl, keys: Vec::new() };
        self.leases.borrow_mut().insert(self.last_lease.get(), lease);
        self.last_lease.get()
    }

    /// Renews a lease; false if it has expired.
    pub fn renew(&self, number: u64) -> bool {
        self.renewals.set(self.renewals.get() + 1);
        let mut leases = self.leases.borrow_mut();
        let Some(lease) = leases.get_mut(&number) else { return false };
        lease.expires_at = Instant::now() + lease.ttl;
        true
    }

    /// Writes a key that is deleted with a lease; false if the lease has expired.
    pub fn put_leased(&self, key: &str, value: Bytes, number: u64) -> bool {
        let mut leases = self.leases.borrow_mut();
        let Some(lease) = leases.get_mut(&number) else { return false };
        lease.keys.push(key.to_owned());
        drop(leases);
        self.put(key, value);
        true
    }

    /// Revokes a lease and deletes its keys.
    pub fn revoke(&self, number: u64) {
        let lease = self.leases.borrow_mut().remove(&number);
        for key in lease.into_iter().flat_map(|lease| lease.keys) {
            self.remove(&key);
        }
    }

    /// Revokes the leases that have expired.
    pub fn expire_leases(&self) {
        let now = Instant::now();
        let expired: Vec<u64> =
            self.leases.borrow().iter().filter(|(_, lease)| lease.expires_at <= now).map(|l| *l.0).collect();
        expired.into_iter().for_each(|number| self.revoke(number));
    }

    /// Advances time by a suspension that the monotonic clock does not count: moves all recorded
    /// times into the past, and shortens the remaining time of the leases.
    pub fn skip_time(&self, time: Duration) {
        let earlier = |at: &mut Instant| *at = at.checked_sub(time).unwrap_or(*at);
        self.changes.borrow_mut().iter_mut().for_each(|(_, at)| earlier(at));
        self.leases.borrow_mut().values_mut().for_each(|lease| earlier(&mut lease.expires_at));
        self.expire_leases();
    }

    /// Number of lease renewals.
    pub fn renewals(&self) -> u64 {
        self.renewals.get()
    }

    /// Time of the first change that a view is missing; `None` if it is missing none. The changes of a
    /// key count only from the time at which the store last had the view's value for that key.
    pub fn missing_since(&self, view: &StoreView) -> Option<Instant> {
        let changes = self.changes.borrow();
        let mut missing: HashMap<&str, Option<Instant>> = HashMap::new();
        for (event, at) in changes.iter() {
            let has = match (event, view.item(event.key())) {
                (Event::Put(put), Some(item)) => put == item,
                (Event::Delete { .. }, None) => true,
                _ => false,
            };
            let first = missing.entry(event.key()).or_default();
            *first = if has { None } else { first.or(Some(*at)) };
        }
        missing.into_values().flatten().min()
    }
}
