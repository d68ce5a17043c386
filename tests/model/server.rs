//! The store of the model: keys with revisions, the times of their changes, leases, a
//! history that can be compacted, and lists of several pages.

use bytes::Bytes;
use lockloft::store::view::StoreView;
use lockloft::store::{Event, Item, LeaseId};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

struct Lease {
    ttl: Duration,
    ends: Instant,
    keys: Vec<String>,
}

/// A page of a list.
pub struct Page {
    pub items: Vec<Item>,
    pub at: u64,
    pub has_more: bool,
}

/// The store.
#[derive(Default)]
pub struct Server {
    items: RefCell<BTreeMap<String, Item>>,
    /// All changes and their times; the index is the revision less 1.
    history: RefCell<Vec<(Event, Instant)>>,
    /// Watches after an earlier revision are told that history is gone.
    compacted: Cell<u64>,
    leases: RefCell<HashMap<u64, Lease>>,
    last_lease: Cell<u64>,
    renewals: Cell<u64>,
    changed: Notify,
}

impl Server {
    /// The revision of the last change.
    pub fn at(&self) -> u64 {
        self.history.borrow().len() as u64
    }

    /// The items as they are.
    pub fn items(&self) -> BTreeMap<String, Item> {
        self.items.borrow().clone()
    }

    /// The keys with a prefix.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        self.items.borrow().keys().filter(|key| key.starts_with(prefix)).cloned().collect()
    }

    /// Writes a key.
    pub fn put(&self, key: &str, value: impl Into<Bytes>) {
        let item = Item { key: key.to_owned(), value: value.into(), revision: self.at() + 1 };
        self.items.borrow_mut().insert(key.to_owned(), item.clone());
        self.record(Event::Put(item));
    }

    /// Removes a key, if it is there.
    pub fn remove(&self, key: &str) {
        if self.items.borrow_mut().remove(key).is_some() {
            self.record(Event::Gone { key: key.to_owned(), revision: self.at() + 1 });
        }
    }

    fn record(&self, event: Event) {
        self.history.borrow_mut().push((event, Instant::now()));
        self.changed.notify_waiters();
    }

    /// Forgets the history.
    pub fn compact(&self) {
        self.compacted.set(self.at());
    }

    /// The page of a list that begins after a key.
    pub fn page(&self, after: &str, size: usize) -> Page {
        let items = self.items.borrow();
        let mut rest = items.values().filter(|item| item.key.as_str() > after);
        let page: Vec<Item> = rest.by_ref().take(size).cloned().collect();
        Page { items: page, at: self.at(), has_more: rest.next().is_some() }
    }

    /// Changes after a revision, as soon as there is one or the wait is over; `None` where
    /// history is gone.
    pub async fn watch(&self, after: u64, wait: Duration) -> Option<(Vec<Event>, u64)> {
        let ends = Instant::now() + wait;
        loop {
            let changed = self.changed.notified();
            if after < self.compacted.get() {
                return None;
            }
            let history = self.history.borrow()[after as usize..].to_vec();
            if !history.is_empty() {
                return Some((history.into_iter().map(|(event, _)| event).collect(), self.at()));
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
        LeaseId(self.last_lease.get())
    }

    /// Renews a lease; false where it is over.
    pub fn renew(&self, id: LeaseId) -> bool {
        self.renewals.set(self.renewals.get() + 1);
        let mut leases = self.leases.borrow_mut();
        let Some(lease) = leases.get_mut(&id.0) else { return false };
        lease.ends = Instant::now() + lease.ttl;
        true
    }

    /// Writes a key that goes with a lease; false where the lease is over.
    pub fn put_leased(&self, key: &str, value: Bytes, id: LeaseId) -> bool {
        let mut leases = self.leases.borrow_mut();
        let Some(lease) = leases.get_mut(&id.0) else { return false };
        lease.keys.push(key.to_owned());
        drop(leases);
        self.put(key, value);
        true
    }

    /// Ends a lease and removes its keys.
    pub fn end(&self, id: LeaseId) {
        let lease = self.leases.borrow_mut().remove(&id.0);
        for key in lease.into_iter().flat_map(|lease| lease.keys) {
            self.remove(&key);
        }
    }

    /// Ends the leases whose time is over.
    pub fn end_leases(&self) {
        let now = Instant::now();
        let over: Vec<u64> = self.leases.borrow().iter().filter(|(_, lease)| lease.ends <= now).map(|l| *l.0).collect();
        over.into_iter().for_each(|id| self.end(LeaseId(id)));
    }

    /// Lets time pass that the steady clock of a suspended machine does not count: all that was
    /// is so much longer ago, and leases have so much less left.
    pub fn pass(&self, time: Duration) {
        let earlier = |at: &mut Instant| *at = at.checked_sub(time).unwrap_or(*at);
        self.history.borrow_mut().iter_mut().for_each(|(_, at)| earlier(at));
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
        let history = self.history.borrow();
        let mut lacking: HashMap<&str, Option<Instant>> = HashMap::new();
        for (event, at) in history.iter() {
            let has = match (event, view.item(event.key())) {
                (Event::Put(put), Some(item)) => put.revision == item.revision,
                (Event::Gone { .. }, None) => true,
                _ => false,
            };
            let first = lacking.entry(event.key()).or_default();
            *first = if has { None } else { first.or(Some(*at)) };
        }
        lacking.into_values().flatten().min()
    }
}
