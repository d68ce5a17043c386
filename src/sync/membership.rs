//! Keeps this entry's own key in the store, under a lease.

use crate::instance::state::Entry;
use crate::model::member::Member;
use crate::platform::{LeaseId, Platform, Store, StoreError};
use crate::sync::backoff::Backoff;
use crate::sync::call::call;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Time between renewals of the lease.
pub const RENEW_EVERY: Duration = Duration::from_millis(800);
/// How long the lease lasts without a renewal.
const LEASE: Duration = Duration::from_millis(2_600);
/// Time within which a key that was written is seen by the watch.
const SEEN_WITHIN: Duration = Duration::from_millis(1_500);
/// Time between looks while there is nothing to announce yet.
const LOOK_EVERY: Duration = Duration::from_millis(300);

/// Announces this entry once it is ready, and withdraws it when it stops.
pub async fn run<P: Platform>(entry: Rc<Entry<P>>) {
    let mut lease: Option<Held> = None;
    let mut backoff = Backoff::default();
    while entry.stopping.get().is_none() {
        let wait = step(&entry, &mut lease, &mut backoff).await;
        tokio::select! {
            () = sleep(wait) => {}
            () = entry.stop_asked.notified() => {}
        }
    }
    if let Some(held) = lease {
        let _ = call(&entry, "end", entry.store.end(held.lease)).await;
    }
}

/// A lease and when the key was last written under it.
struct Held {
    lease: LeaseId,
    written: Instant,
}

async fn step<P: Platform>(entry: &Entry<P>, lease: &mut Option<Held>, backoff: &mut Backoff) -> Duration {
    if !entry.is_ready() {
        return LOOK_EVERY;
    }
    let result = match lease {
        None => announce(entry).await.map(|held| *lease = Some(held)),
        Some(held) if is_key_missing(entry, held) => {
            write_key(entry, held.lease).await.map(|()| held.written = Instant::now())
        }
        Some(held) => call(entry, "renew", entry.store.renew(held.lease)).await,
    };
    match result {
        Ok(()) => {
            backoff.reset();
            RENEW_EVERY
        }
        Err(StoreError::LeaseOver) => {
            *lease = None;
            Duration::ZERO
        }
        Err(_) => backoff.wait(),
    }
}

/// Whether the key was taken away while its lease goes on.
fn is_key_missing<P: Platform>(entry: &Entry<P>, held: &Held) -> bool {
    let name = &entry.settings.borrow().name;
    held.written.elapsed() > SEEN_WITHIN && !entry.world.borrow().members.contains_key(name)
}

async fn announce<P: Platform>(entry: &Entry<P>) -> Result<Held, StoreError> {
    let shortest = entry.settings().shortest_lease;
    let lease = call(entry, "grant", entry.store.grant(LEASE.max(shortest))).await?;
    write_key(entry, lease).await?;
    Ok(Held { lease, written: Instant::now() })
}

async fn write_key<P: Platform>(entry: &Entry<P>, lease: LeaseId) -> Result<(), StoreError> {
    let settings = entry.settings();
    let member = Member {
        callers: settings.listen.callers,
        peer: settings.listen.peers,
        hall: settings.hall.to_string(),
        region: settings.region.to_string(),
    };
    let key = format!("{}{}", P::own_prefix(), settings.name);
    call(entry, "put", entry.store.put(&key, member.value(), lease)).await
}
