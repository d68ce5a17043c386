//! The initial view of a starting instance: from a seed, and from the store only if no seed has a
//! current view.
//!
//! **Rule.** An instance that is not a seed requests the full view from the seeds, in random order,
//! one more seed every `SEED_INTERVAL` (0.15 s), and applies the first current view. It lists the
//! store at once if fewer than `LARGE_FLEET_SIZE` (128) instances are registered and the store is not
//! empty; otherwise it does so if no seed has sent a current view within `SEED_TIMEOUT` (0.9 s).
//! Until its own registration is in its view, it follows a seed as its relay ([`super::relay`]). A
//! seed lists the store.
//!
//! **Inputs**
//! - Addresses of the seeds and of this instance, from the settings; a seed may no longer exist.
//! - Number of registered instances, from a read of the store that may be seconds old.
//! - Age of a seed's view, from its response and the time since; a view of `MAX_VIEW_AGE` (1.3 s) or
//!   older is rejected, so that no instance starts from a seed that is partitioned from the store.
//!
//! **Why.** The load pattern is the start of a whole fleet, for instance after a power failure. If
//! every instance lists all keys and watches the store until it knows the members of its hall, 295
//! instances with 1,077 targets make eight calls each within three seconds and transfer 160 MB over
//! the store's link, and each list waits for the others. A small fleet lists the store at once: with 12
//! instances a list takes 0.06 s, and callers would have to wait for seeds that are starting as well.
//!
//! **Guards** the promises that a simultaneous start of all instances costs the store only a few
//! lists, and that an instance can start without any other instance.
//!
//! **Test**: `standins/tests/fleet_start.rs`.
//!
//! Owns no state after the start. Relies on [`super::peers`] for the requests, and on the seed to
//! respond once it has a view.

use crate::clock::{Instant, sleep, sleep_until};
use crate::platform::Platform;
use crate::state::Instance;
use crate::store::freshness::{MAX_VIEW_AGE, Proof};
use crate::store::{Store, StoreError};
use crate::sync::call::call;
use crate::sync::peers::{ChangeSet, FetchError, PeerConnection, PeerRequest};
use crate::sync::{ALL_KEYS, SEED_TIMEOUT};
use rand::seq::SliceRandom;
use std::net::SocketAddr;
use std::pin::pin;
use std::time::Duration;
use tokio::task::JoinSet;

/// Time after which one more seed is sent a request: longer than the latency between regions (25 ms)
/// plus the time that the seed needs for a list.
const SEED_INTERVAL: Duration = Duration::from_millis(150);
/// Number of registered instances from which on an instance waits for the seeds: the keys of a
/// smaller fleet fit into one or two pages of a list.
const LARGE_FLEET_SIZE: usize = 128;
/// Time between requests to a seed that has sent no current view: it may be starting as well.
const SEED_RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// The result of the search for an initial view.
#[derive(Clone, Copy, Debug, Default)]
pub struct InitialView {
    /// The seed to follow until this instance is a member; `None` if this instance is a seed, or if
    /// there are no seeds.
    pub seed: Option<SocketAddr>,
    /// Whether a seed's view was applied; if not, the store has to be listed.
    pub has_view: bool,
}

/// Applies the view of a seed, or reports that the store has to be listed.
pub async fn fetch_initial_view<P: Platform>(instance: &Instance<P>) -> InitialView {
    let settings = instance.settings();
    let mut seeds = settings.seeds.clone();
    if seeds.is_empty() || seeds.contains(&settings.listen.peers) {
        return InitialView::default();
    }
    seeds.shuffle(&mut rand::rng());
    let without_view = InitialView { seed: seeds.first().copied(), has_view: false };
    let deadline = Instant::now() + SEED_TIMEOUT;
    let mut requests = request_views(seeds);
    let mut small_fleet = pin!(is_small_fleet(instance));
    let mut is_size_known = false;
    loop {
        tokio::select! {
            biased;
            // A request whose task panicked counts as one without a response; the panic is printed to
            // standard error.
            Some(Ok((seed, changes))) = requests.join_next() => {
                if apply_view(instance, changes) {
                    let revision = instance.store_copy.view().position().revision;
                    tracing::info!(event = "started_from_seed", %seed, revision);
                    return InitialView { seed: Some(seed), has_view: true };
                }
            }
            is_small = &mut small_fleet, if !is_size_known => {
                is_size_known = true;
                if is_small {
                    return without_view;
                }
            }
            () = sleep_until(deadline) => break,
        }
    }
    tracing::info!(event = "started_without_seed", seeds = settings.seeds.len());
    without_view
}

/// Requests the seeds' views concurrently, each `SEED_INTERVAL` after the one before.
fn request_views(seeds: Vec<SocketAddr>) -> JoinSet<(SocketAddr, ChangeSet)> {
    let mut requests = JoinSet::new();
    for (seed, number) in seeds.into_iter().zip(0..) {
        requests.spawn_local(async move {
            sleep(SEED_INTERVAL * number).await;
            (seed, fetch_current_view(seed).await)
        });
    }
    requests
}

/// Whether few instances are registered, so that a list of the store is short. False if the store does
/// not respond, and if it is still empty: it then holds no configuration with which callers could be
/// served, so the instance waits for the seeds.
async fn is_small_fleet<P: Platform>(instance: &Instance<P>) -> bool {
    match count_keys(instance, P::own_prefix()).await {
        Ok(0) => count_keys(instance, ALL_KEYS).await.is_ok_and(|keys| keys > 0),
        Ok(members) => members < LARGE_FLEET_SIZE,
        // `call` has counted and logged the failure.
        Err(_) => false,
    }
}

async fn count_keys<P: Platform>(instance: &Instance<P>, prefix: &str) -> Result<usize, StoreError> {
    call(instance, "count", instance.store.count(prefix)).await
}

/// Requests the view of a seed until it is current; the seed delays its response until it has a
/// view. [`fetch_initial_view`] limits the time.
async fn fetch_current_view(seed: SocketAddr) -> ChangeSet {
    loop {
        // The error is ignored: the seed may have started by the next request.
        if let Ok(changes) = fetch_view(seed).await
            && changes.view_age().is_some_and(|age| age < MAX_VIEW_AGE)
        {
            return changes;
        }
        sleep(SEED_RETRY_INTERVAL).await;
    }
}

async fn fetch_view(seed: SocketAddr) -> Result<ChangeSet, FetchError> {
    let mut connection = PeerConnection::open(seed).await?;
    // The response to a request without a position is the full view.
    let response = connection.request_changes(PeerRequest::default(), SEED_TIMEOUT).await?;
    Ok(response.read(SEED_TIMEOUT).await?)
}

/// Applies a seed's view; false if it is invalid, or from an earlier era of the store than the
/// latest known one.
fn apply_view<P: Platform>(instance: &Instance<P>, changes: ChangeSet) -> bool {
    match changes.apply(instance, "seed", Proof::Peer) {
        Ok(()) => instance.store_copy.view_age().is_some(),
        Err(error) => {
            tracing::warn!(event = "peer_answer_unreadable", %error);
            false
        }
    }
}
