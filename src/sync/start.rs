//! The first view of an instance that starts: from a seed, and from the store only where no
//! seed has a current one.
//!
//! **Rule.** An instance that is no seed itself asks the seeds for their whole view, in random
//! order, the next one `SEED_INTERVAL` (0.15 s) after the last, and takes the first current one. It
//! lists the store at once where fewer than `LARGE_FLEET_SIZE` (128) instances are registered and the
//! store holds anything, and otherwise where no seed has answered within `SEED_TIMEOUT` (0.9 s). Until
//! its own registration is in its view it follows a seed as a relay ([`super::relay`]). A seed
//! lists the store.
//!
//! **Inputs**
//! - Addresses of the seeds and its own, from the settings; a seed may be gone.
//! - Number of registered instances, by a read of the store that may be seconds old.
//! - Age of a seed's view, as its answer gives it; from `MAX_VIEW_AGE` (1.3 s) on the view is
//!   not taken, so that a seed that is cut off starts nobody.
//!
//! **Why.** The load pattern is the start of a whole fleet, after power returns for instance:
//! each instance listed all keys and watched the store until it knew the members of its hall.
//! With 295 instances and 1,077 targets that was eight calls an instance within three seconds
//! and 160 MB through the store's link; each waited for the others' lists. In a fleet of 12 a list
//! takes 0.06 s, and callers would wait for seeds that start as well.
//!
//! **Guards** the promise that a start of all instances at once costs the store a few lists, and
//! that an instance starts without any other one.
//!
//! **Test**: `standins/tests/fleet_start.rs`.
//!
//! Owns nothing beyond the start. Relies on [`super::peers`] for the questions, and on the seed
//! to answer once it has a view.

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

/// Time after which the next seed is asked as well: over a way between regions (25 ms) and the
/// time of a list at the seed. Follows from these.
const SEED_INTERVAL: Duration = Duration::from_millis(150);
/// Registered instances from which the seeds are waited for: the keys of a smaller fleet are a
/// page or two of a list.
const LARGE_FLEET_SIZE: usize = 128;
/// Time between questions to a seed that cannot be reached: it may be starting as well.
const SEED_RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// How an instance starts.
#[derive(Clone, Copy, Debug, Default)]
pub struct InitialView {
    /// The seed to follow at first; `None` for a seed, and where there is none.
    pub seed: Option<SocketAddr>,
    /// Whether its view was taken; else the store has to be listed.
    pub has_view: bool,
}

/// Takes the first view from a seed, or finds that the store has to be listed.
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
            // A question that panicked is one without an answer; its panic is on standard error.
            Some(Ok((seed, changes))) = requests.join_next() => {
                if apply_view(instance, changes) {
                    let revision = instance.store_copy.view().at().revision;
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

/// Asks seeds, the next one `SEED_INTERVAL` after the last.
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

/// Whether a list of the store is short. Where the store does not say, or holds nothing yet that
/// a caller could be served by, seeds are waited for.
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

/// Asks a seed until it gives a current view; it waits until it has one. Who asks bounds the
/// time.
async fn fetch_current_view(seed: SocketAddr) -> ChangeSet {
    loop {
        // Why there was none changes nothing: the next question may find the seed started.
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
    // From the initial position, so that the answer is a full view.
    let response = connection.request_changes(PeerRequest::default(), SEED_TIMEOUT).await?;
    Ok(response.read(SEED_TIMEOUT).await?)
}

/// Takes a seed's view; false if it cannot be read, or is from an earlier era of the store than
/// the latest known one.
fn apply_view<P: Platform>(instance: &Instance<P>, changes: ChangeSet) -> bool {
    match changes.apply(instance, "seed", Proof::Peer) {
        Ok(()) => instance.store_copy.view_age().is_some(),
        Err(error) => {
            tracing::warn!(event = "peer_answer_unreadable", %error);
            false
        }
    }
}
