//! A stand-in for the platform's store: keys with revisions, leases, watches
//! over a history that can be compacted, snapshots from which it can be restored, and endpoints with
//! troubles.
//!
//! Owns all keys and leases and the tasks that serve them. It spells the
//! store's side of the wire out by itself, without `platform/`: a fault in one
//! codec must not hide in both. A transaction that fails on a lease keeps what
//! it put before; the instance writes one key at a time.

mod calls;
mod endpoint;
mod state;

pub use endpoint::{Endpoint, ListFault, Trouble, WatchFault};

use crate::http::serve;
use crate::ports::own_ip;
use bytes::Bytes;
use hyper::header::HeaderValue;
use state::{FIRST_ERA, State};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::task::JoinHandle;

/// Time between looks for leases that have expired: far below the shortest
/// lease of the tests, 1 s.
const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(20);

#[derive(Debug, Default)]
struct Shared {
    state: Mutex<State>,
    changed: Notify,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder panics")
    }
}

/// The store's contents at a point in time.
pub struct Snapshot(State);

/// The store's contents that a restore replaced.
pub struct LostState(State);

/// A running store; dropped, it closes all endpoints.
pub struct Store {
    shared: Arc<Shared>,
    tasks: Mutex<Vec<JoinHandle<()>>>,
}

impl Drop for Store {
    fn drop(&mut self) {
        for task in self.tasks.lock().expect("no holder panics").drain(..) {
            task.abort();
        }
    }
}

impl Store {
    /// Starts an empty store without endpoints, in its first era.
    pub fn start() -> Self {
        let shared = Arc::new(Shared::default());
        shared.lock().era_header = Some(FIRST_ERA.into());
        let leases = tokio::spawn(expire_leases(shared.clone()));
        Self { shared, tasks: Mutex::new(vec![leases]) }
    }

    /// Opens an endpoint.
    ///
    /// # Errors
    /// Where loopback cannot be listened on.
    pub async fn endpoint(&self) -> std::io::Result<Endpoint> {
        let listener = TcpListener::bind((own_ip(), 0)).await?;
        let endpoint = Endpoint::new(listener.local_addr()?);
        let (shared, at) = (self.shared.clone(), endpoint.clone());
        let task = serve(listener, move |request| calls::answer(shared.clone(), at.clone(), request));
        self.tasks.lock().expect("no holder panics").push(task);
        Ok(endpoint)
    }

    /// Writes a key without a lease, as the operator or a target does; gives
    /// the revision.
    pub fn put(&self, key: &str, value: impl Into<Bytes>) -> u64 {
        let revision = self.shared.lock().put(key, value.into(), 0);
        self.shared.changed.notify_waiters();
        revision
    }

    /// Writes and removes keys one after the other, so that a watch brings all changes in one answer;
    /// `None` removes.
    pub fn write_all(&self, changes: impl IntoIterator<Item = (String, Option<Bytes>)>) {
        let mut state = self.shared.lock();
        for (key, value) in changes {
            match value {
                Some(value) => drop(state.put(&key, value, 0)),
                None => state.remove(&key),
            }
        }
        drop(state);
        self.shared.changed.notify_waiters();
    }

    /// Removes a key.
    pub fn remove(&self, key: &str) {
        self.shared.lock().remove(key);
        self.shared.changed.notify_waiters();
    }

    /// Removes every key under a prefix, as when leases are revoked.
    pub fn remove_prefix(&self, prefix: &str) {
        for key in self.keys(prefix) {
            self.remove(&key);
        }
    }

    /// Compacts the history: watches from before get 410.
    pub fn compact(&self) {
        self.shared.lock().compact();
    }

    /// Takes a snapshot of its contents.
    pub fn snapshot(&self) -> Snapshot {
        Snapshot(self.shared.lock().clone())
    }

    /// Restores a snapshot, begins the next era and returns the replaced contents. Pending watches are
    /// not notified.
    pub fn restore(&self, snapshot: Snapshot) -> LostState {
        LostState(self.shared.lock().restore(snapshot.0))
    }

    /// Restores a snapshot without beginning an era: its answers report what they reported before.
    pub fn restore_unmarked(&self, snapshot: Snapshot) {
        self.shared.lock().restore_unmarked(snapshot.0);
    }

    /// Sets whether a watch after a revision that the store has not reached waits for it, instead of being
    /// answered with 410.
    pub fn set_waits_for_later(&self, waits: bool) {
        self.shared.lock().waits_for_later = waits;
    }

    /// Sets the number of items on a page of a list.
    pub fn set_page_size(&self, items: usize) {
        self.shared.lock().page_size = Some(items);
    }

    /// Sets a revision that lists and watches name in place of their own; `None` for their own. Reads that
    /// find no key name their own.
    pub fn set_claimed_revision(&self, revision: Option<u64>) {
        self.shared.lock().claimed_revision = revision;
    }

    /// Writes a key as [`Self::put`] does, with a revision of the caller's in the item; the store's own
    /// revision rises by one.
    pub fn put_at(&self, key: &str, value: impl Into<Bytes>, revision: u64) {
        self.shared.lock().put_at(key, value.into(), revision);
        self.shared.changed.notify_waiters();
    }

    /// Repeats the operator's and the targets' writes and removals that the last restore lost, except
    /// for keys that have changed since.
    pub fn repeat_lost_writes(&self, lost_state: &LostState) {
        self.shared.lock().repeat_lost_writes(&lost_state.0);
        self.shared.changed.notify_waiters();
    }

    /// Sets the value of the era header in its answers; `None` omits the header.
    pub fn set_era_header(&self, value: Option<&'static str>) {
        self.shared.lock().era_header = value.map(HeaderValue::from_static);
    }

    /// The value of a key; `None` if it does not exist.
    pub fn value(&self, key: &str) -> Option<Bytes> {
        self.shared.lock().items.get(key).map(|item| item.value.clone())
    }

    /// Keys under a prefix.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        self.shared.lock().items.keys().filter(|key| key.starts_with(prefix)).cloned().collect()
    }

    /// Calls of a kind so far, such as `kv-watch`.
    pub fn calls(&self, kind: &str) -> u64 {
        self.shared.lock().calls.get(kind).copied().unwrap_or(0)
    }
}

async fn expire_leases(shared: Arc<Shared>) {
    loop {
        tokio::time::sleep(LEASE_CHECK_INTERVAL).await;
        if shared.lock().expire_leases() {
            shared.changed.notify_waiters();
        }
    }
}
