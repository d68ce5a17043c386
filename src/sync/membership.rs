//! Membership: an instance that is ready keeps a key of its own in the store under a lease, renews
//! the lease each `RENEWAL_INTERVAL` (1.2 s), and writes the key again if the view lacks it.
//!
//! **Inputs**
//! - Whether the instance is ready or stopping; local, exact.
//! - The members; as old as the view: at most 1.3 s while the store or the relay responds, older
//!   while neither does.
//! - Whether the instance reaches targets ([`crate::state::TargetLinks`]); local, exact. Its key says if it
//!   does not.
//! - The store's shortest lease and the instance's name, addresses, hall and region, from the
//!   settings at the time of the call.
//!
//! A lease from an earlier era of the store is neither renewed nor revoked: the restored store may
//! have issued its number to another writer. The instance requests a new lease and writes its key
//! again ([`crate::store::era`]).
//!
//! **Load pattern**: all instances learn of a new era within a second. Each requests its new lease
//! after a random delay of up to `MAX_REGISTRATION_JITTER` (0.5 s).
//!
//! **Why.** The lease removes a dead instance from the members without a message. The key can be
//! deleted while the lease is alive, so that renewing the lease is not enough.
//!
//! **Guards** the promises that the members are the instances that accept requests, and that a
//! stopping instance leaves them at once, even if another call is in progress. If its lease cannot be
//! revoked, it leaves them when the lease expires.
//!
//! Owns the lease. Relies on the view to see whether the key is still there.

use crate::clock::{Instant, sleep};
use crate::model::member::Member;
use crate::platform::Platform;
use crate::state::Instance;
use crate::store::lease::{LEASE_TTL, RENEWAL_INTERVAL};
use crate::store::{LeaseId, Store, StoreError};
use crate::sync::backoff::Backoff;
use crate::sync::call::call;
use rand::Rng;
use std::rc::Rc;
use std::time::Duration;

/// Time after which a key that was written but is not in the view is written again: longer than
/// the pause between watches (0.4 s) and a relay's wait (0.7 s) together.
const VISIBILITY_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Maximum random delay before an instance registers again in a later era, so that the instances do
/// not all call the store at the same time.
const MAX_REGISTRATION_JITTER: Duration = Duration::from_millis(500);
/// Minimum time between two writes of the key because of what this instance reaches: bounds the calls of an
/// instance whose links come and go.
const MIN_WRITE_INTERVAL: Duration = Duration::from_millis(500);
/// Time between checks whether the instance is ready to register: short compared with its start.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(300);

/// Registers this instance once it is ready, and deregisters it when it stops.
pub async fn run<P: Platform>(instance: Rc<Instance<P>>) {
    let mut registration: Option<Registration> = None;
    let mut backoff = Backoff::default();
    while !instance.lifecycle.is_stopping() {
        let wait = tokio::select! {
            wait = maintain_registration(&instance, &mut registration, &mut backoff) => wait,
            () = instance.lifecycle.stop_requested() => break,
        };
        tokio::select! {
            () = sleep(wait) => {}
            () = wait_for_later_era(&instance, registration.as_ref()) => {}
            () = instance.links.reach_changed(), if registration.is_some() => {}
            () = instance.lifecycle.stop_requested() => {}
        }
    }
    // Revoking a lease from an earlier era could delete the keys of another writer.
    if let Some(registration) = registration.filter(|registration| registration.is_from_latest_era(&instance)) {
        deregister(&instance, registration.lease).await;
    }
}

/// Completes once an era later than that of the lease is known; never without a registration.
async fn wait_for_later_era<P: Platform>(instance: &Instance<P>, registration: Option<&Registration>) {
    match registration {
        Some(registration) => instance.store_copy.latest_era().advanced_past(registration.lease.era).await,
        None => std::future::pending().await,
    }
}

/// Revokes the lease, which deletes the key. There is no second attempt, since the lease expires by
/// itself.
async fn deregister<P: Platform>(instance: &Instance<P>, lease: LeaseId) {
    if let Err(error) = call(instance, "end", instance.store.revoke(lease)).await {
        tracing::warn!(event = "lease_end_failed", %error);
    }
}

/// The registration of this instance.
struct Registration {
    lease: LeaseId,
    /// When the key was last written under the lease; `None` before the first successful write.
    written_at: Option<Instant>,
    /// When the last call that granted or renewed the lease was sent.
    renewed_at: Instant,
    /// Whether the key says that this instance is isolated.
    isolated: bool,
}

impl Registration {
    fn is_from_latest_era<P: Platform>(&self, instance: &Instance<P>) -> bool {
        self.lease.era == instance.store_copy.latest_era().get()
    }
}

/// Requests a lease, writes the key or renews the lease, whichever is due. Returns the delay before
/// the next call of this function.
async fn maintain_registration<P: Platform>(
    instance: &Instance<P>,
    registration: &mut Option<Registration>,
    backoff: &mut Backoff,
) -> Duration {
    if !instance.is_ready() {
        return READY_POLL_INTERVAL;
    }
    if registration.as_ref().is_some_and(|registration| !registration.is_from_latest_era(instance)) {
        *registration = None;
        return MAX_REGISTRATION_JITTER.mul_f64(rand::rng().random());
    }
    let sent_at = Instant::now();
    let result = match registration {
        None => grant_lease(instance).await.map(|lease| {
            *registration = Some(Registration { lease, written_at: None, renewed_at: sent_at, isolated: false });
            Duration::ZERO
        }),
        Some(current) if is_key_missing(instance, current) || is_key_outdated(instance, current) => {
            let isolated = instance.is_isolated_itself();
            write_key(instance, current.lease, isolated).await.map(|()| {
                current.written_at = Some(Instant::now());
                current.isolated = isolated;
                time_until_renewal(current.renewed_at)
            })
        }
        // The lease is not due yet: this instance is isolated, or no longer, and has written that just before.
        Some(current) if !time_until_renewal(current.renewed_at).is_zero() => {
            Ok(time_until_renewal(current.renewed_at).min(MIN_WRITE_INTERVAL))
        }
        Some(current) => call(instance, "renew", instance.store.renew(current.lease)).await.map(|()| {
            current.renewed_at = sent_at;
            time_until_renewal(sent_at)
        }),
    };
    match result {
        Ok(wait) => {
            backoff.reset();
            wait
        }
        Err(StoreError::LeaseExpired) => {
            *registration = None;
            Duration::ZERO
        }
        // `call` counts failures, and the health of the store logs outages.
        Err(_) if instance.store_copy.is_current() => backoff.next_long_delay(),
        Err(_) => backoff.next_delay(),
    }
}

/// Time until the next renewal after a call that granted or renewed the lease and was sent at `sent_at`. It
/// is not counted from the response: the lease runs from the call's arrival at the store, and the machine may
/// have been suspended before it received the response.
fn time_until_renewal(sent_at: Instant) -> Duration {
    RENEWAL_INTERVAL.saturating_sub(sent_at.elapsed())
}

/// Whether the key has to be written: either it has not been written yet, or the view still lacks
/// it [`VISIBILITY_TIMEOUT`] after the last write.
fn is_key_missing<P: Platform>(instance: &Instance<P>, registration: &Registration) -> bool {
    let Some(written_at) = registration.written_at else { return true };
    let name = &instance.settings.borrow().name;
    written_at.elapsed() > VISIBILITY_TIMEOUT && !instance.routing.borrow().members.contains_key(name)
}

/// Whether the key does not say what this instance reaches, and was not written just before.
fn is_key_outdated<P: Platform>(instance: &Instance<P>, registration: &Registration) -> bool {
    let is_recent = registration.written_at.is_some_and(|at| at.elapsed() < MIN_WRITE_INTERVAL);
    registration.isolated != instance.is_isolated_itself() && !is_recent
}

/// Requests a lease that is no shorter than the store permits.
async fn grant_lease<P: Platform>(instance: &Instance<P>) -> Result<LeaseId, StoreError> {
    let shortest = instance.settings().shortest_lease;
    call(instance, "grant", instance.store.grant(LEASE_TTL.max(shortest))).await
}

async fn write_key<P: Platform>(instance: &Instance<P>, lease: LeaseId, isolated: bool) -> Result<(), StoreError> {
    let settings = instance.settings();
    let member = Member {
        callers: settings.listen.callers,
        peer: settings.listen.peers,
        hall: settings.hall.to_string(),
        region: settings.region.to_string(),
        isolated,
        capacity: settings.capacity,
    };
    let key = format!("{}{}", P::own_prefix(), settings.name);
    call(instance, "put", instance.store.put(&key, member.to_json(), lease)).await
}
