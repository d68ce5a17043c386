//! Keeps this instance's own key in the store, under a lease.

use crate::model::member::Member;
use crate::platform::Platform;
use crate::state::Instance;
use crate::store::lease::{LEASE, RENEW_EVERY};
use crate::store::{LeaseId, Store, StoreError};
use crate::sync::backoff::Backoff;
use crate::sync::call::call;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Time within which a key that was written is seen by the watch.
const SEEN_WITHIN: Duration = Duration::from_millis(1_500);
/// Time between looks while there is nothing to announce yet.
const LOOK_EVERY: Duration = Duration::from_millis(300);

/// Announces this instance once it is ready, and withdraws it when it stops.
pub async fn run<P: Platform>(instance: Rc<Instance<P>>) {
    let mut lease: Option<Held> = None;
    let mut backoff = Backoff::default();
    while instance.stopping.get().is_none() {
        let wait = step(&instance, &mut lease, &mut backoff).await;
        tokio::select! {
            () = sleep(wait) => {}
            () = instance.stop_asked.notified() => {}
        }
    }
    if let Some(held) = lease {
        let _ = call(&instance, "end", instance.store.end(held.lease)).await;
    }
}

/// A lease and when the key was last written under it.
struct Held {
    lease: LeaseId,
    written: Instant,
}

async fn step<P: Platform>(instance: &Instance<P>, lease: &mut Option<Held>, backoff: &mut Backoff) -> Duration {
    if !instance.is_ready() {
        return LOOK_EVERY;
    }
    let result = match lease {
        None => announce(instance).await.map(|held| *lease = Some(held)),
        Some(held) if is_key_missing(instance, held) => {
            write_key(instance, held.lease).await.map(|()| held.written = Instant::now())
        }
        Some(held) => call(instance, "renew", instance.store.renew(held.lease)).await,
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
fn is_key_missing<P: Platform>(instance: &Instance<P>, held: &Held) -> bool {
    let name = &instance.settings.borrow().name;
    held.written.elapsed() > SEEN_WITHIN && !instance.routing.borrow().members.contains_key(name)
}

async fn announce<P: Platform>(instance: &Instance<P>) -> Result<Held, StoreError> {
    let shortest = instance.settings().shortest_lease;
    let lease = call(instance, "grant", instance.store.grant(LEASE.max(shortest))).await?;
    write_key(instance, lease).await?;
    Ok(Held { lease, written: Instant::now() })
}

async fn write_key<P: Platform>(instance: &Instance<P>, lease: LeaseId) -> Result<(), StoreError> {
    let settings = instance.settings();
    let member = Member {
        callers: settings.listen.callers,
        peer: settings.listen.peers,
        hall: settings.hall.to_string(),
        region: settings.region.to_string(),
    };
    let key = format!("{}{}", P::own_prefix(), settings.name);
    call(instance, "put", instance.store.put(&key, member.value(), lease)).await
}
