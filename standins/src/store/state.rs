//! What the store holds: keys with revisions, their history, and leases.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use hyper::Response;
use hyper::header::HeaderValue;
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::time::{Duration, Instant};

/// Header in which every answer reports the store's era.
const ERA_HEADER: &str = "store-era";
/// The era of a store that was never restored.
pub const FIRST_ERA: u64 = 1;

/// A key's value.
#[derive(Clone, Debug)]
pub struct Item {
    /// The value.
    pub value: Bytes,
    /// Revision of the last write.
    pub revision: u64,
    /// Revision of the write that created the key.
    created: u64,
    /// The lease that it ends with; 0 for none.
    lease: u64,
}

impl Item {
    /// The item as it is listed.
    pub fn to_json(&self, key: &str) -> Value {
        json!({
            "key": key,
            "value": STANDARD.encode(&self.value),
            "revision": self.revision,
            "made": self.created,
            "lease": self.lease,
        })
    }
}

#[derive(Clone, Debug)]
struct Change {
    key: String,
    revision: u64,
    /// `None` where the key was removed.
    item: Option<Item>,
}

impl Change {
    fn to_json(&self) -> Value {
        match &self.item {
            Some(item) => item.to_json(&self.key),
            None => json!({"key": self.key, "revision": self.revision, "gone": true}),
        }
    }
}

#[derive(Clone, Debug)]
struct Lease {
    ttl: Duration,
    expires: Instant,
}

/// Everything that the store holds.
#[derive(Clone, Debug, Default)]
pub struct State {
    /// Keys with their values.
    pub items: BTreeMap<String, Item>,
    /// Revision of the last change.
    pub revision: u64,
    /// Keys written or removed since the last restore.
    changed_keys: HashSet<String>,
    /// Changes up to this revision are no longer in the history.
    pub compacted: u64,
    history: Vec<Change>,
    leases: HashMap<u64, Lease>,
    last_lease: u64,
    /// Whether a watch after a later revision waits for it; otherwise it is answered with 410.
    pub waits_for_later: bool,
    /// Items on a page of a list; `None` for the usual number.
    pub page_size: Option<usize>,
    /// Revision that lists of keys and watches name in place of the store's.
    pub claimed_revision: Option<u64>,
    /// Value of the era header; `None` omits the header.
    pub era_header: Option<HeaderValue>,
    /// Calls so far, by the first word of their path.
    pub calls: HashMap<String, u64>,
}

impl State {
    /// Adds the era header to an answer.
    pub fn add_era_header<B>(&self, mut answer: Response<B>) -> Response<B> {
        if let Some(value) = &self.era_header {
            answer.headers_mut().insert(ERA_HEADER, value.clone());
        }
        answer
    }

    /// Restores a snapshot and begins the next era: later writes are lost, and leases start again
    /// with their full duration. Call counts are kept. Returns the replaced state.
    pub fn restore(&mut self, snapshot: State) -> State {
        let era = self.era_header.as_ref().and_then(|value| value.to_str().ok()?.parse().ok()).unwrap_or(FIRST_ERA);
        let lost_state = self.restore_unmarked(snapshot);
        self.era_header = Some((era + 1).into());
        lost_state
    }

    /// As [`Self::restore`], without beginning an era.
    pub fn restore_unmarked(&mut self, snapshot: State) -> State {
        let restored = State {
            calls: std::mem::take(&mut self.calls),
            era_header: self.era_header.clone(),
            waits_for_later: self.waits_for_later,
            page_size: self.page_size,
            changed_keys: HashSet::new(),
            ..snapshot
        };
        let lost_state = std::mem::replace(self, restored);
        let now = Instant::now();
        self.leases.values_mut().for_each(|lease| lease.expires = now + lease.ttl);
        lost_state
    }

    /// Sets the operator's and the targets' keys to their values in `lost_state`, the state that the last
    /// restore replaced, and removes those that it lacks. Keys that changed since the restore are left
    /// as they are.
    pub fn repeat_lost_writes(&mut self, lost_state: &State) {
        let is_operator_or_target_key = |key: &&String| key.starts_with("op/") || key.starts_with("servers/");
        let keys = lost_state.items.keys().chain(self.items.keys());
        let keys: BTreeSet<String> = keys.filter(is_operator_or_target_key).cloned().collect();
        let unchanged: Vec<String> = keys.into_iter().filter(|key| !self.changed_keys.contains(key)).collect();
        for key in unchanged {
            let stored = self.items.get(&key).map(|item| item.value.clone());
            match lost_state.items.get(&key) {
                Some(item) if stored.as_ref() != Some(&item.value) => drop(self.put(&key, item.value.clone(), 0)),
                Some(_) => {}
                None => self.remove(&key),
            }
        }
    }

    /// Writes a key under a lease, 0 for none; gives the revision.
    pub fn put(&mut self, key: &str, value: Bytes, lease: u64) -> u64 {
        self.revision += 1;
        let created = self.items.get(key).map_or(self.revision, |item| item.created);
        let item = Item { value, revision: self.revision, created, lease };
        self.items.insert(key.to_owned(), item.clone());
        self.changed_keys.insert(key.to_owned());
        self.history.push(Change { key: key.to_owned(), revision: self.revision, item: Some(item) });
        self.revision
    }

    /// Writes a key without a lease; its item names a revision that is not the store's.
    pub fn put_at(&mut self, key: &str, value: Bytes, revision: u64) {
        self.put(key, value, 0);
        let item = self.items.get_mut(key).expect("it was put");
        item.revision = revision;
        let last = self.history.last_mut().expect("the put was recorded");
        last.item = Some(item.clone());
    }

    /// Removes a key, where it is there.
    pub fn remove(&mut self, key: &str) {
        self.changed_keys.insert(key.to_owned());
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.history.push(Change { key: key.to_owned(), revision: self.revision, item: None });
        }
    }

    /// Forgets the history.
    pub fn compact(&mut self) {
        self.compacted = self.revision;
        self.history.clear();
    }

    /// The first `max` changes of keys under a prefix after a revision, and the revision up to which
    /// they are complete.
    pub fn changes(&self, prefix: &str, after: u64, max: usize) -> (Vec<Value>, u64) {
        let matching = self.history.iter().filter(|change| change.revision > after && change.key.starts_with(prefix));
        let changes: Vec<&Change> = matching.take(max + 1).collect();
        let at = if changes.len() > max { changes[max - 1].revision } else { self.revision };
        (changes.into_iter().take(max).map(Change::to_json).collect(), at)
    }

    /// Grants a lease; gives its number.
    pub fn grant_lease(&mut self, ttl: Duration) -> u64 {
        self.last_lease += 1;
        self.leases.insert(self.last_lease, Lease { ttl, expires: Instant::now() + ttl });
        self.last_lease
    }

    /// Renews a lease; gives its time, `None` where it has ended.
    pub fn renew_lease(&mut self, id: u64) -> Option<Duration> {
        let lease = self.leases.get_mut(&id)?;
        lease.expires = Instant::now() + lease.ttl;
        Some(lease.ttl)
    }

    /// Whether a lease has not ended.
    pub fn has_lease(&self, id: u64) -> bool {
        self.leases.contains_key(&id)
    }

    /// Ends a lease and removes its keys; false where it had ended before.
    pub fn end_lease(&mut self, id: u64) -> bool {
        if self.leases.remove(&id).is_none() {
            return false;
        }
        let leased = self.items.iter().filter(|(_, item)| item.lease == id);
        let keys: Vec<String> = leased.map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.remove(&key);
        }
        true
    }

    /// Ends the leases whose time is over; false where there are none.
    pub fn expire_leases(&mut self) -> bool {
        let now = Instant::now();
        let expired: Vec<u64> =
            self.leases.iter().filter(|(_, lease)| lease.expires <= now).map(|(id, _)| *id).collect();
        for id in &expired {
            self.end_lease(*id);
        }
        !expired.is_empty()
    }
}
