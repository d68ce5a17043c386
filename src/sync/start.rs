//! The first view of an instance that starts: from a seed, and from the store only where no
//! seed has a current one.
//!
//! **Rule.** An instance that is no seed itself asks the seeds for their whole view, in random
//! order, the next one `NEXT_SEED` (0.15 s) after the last, and takes the first current one. It
//! lists the store at once where fewer than `LARGE_FLEET` (128) instances are registered and the
//! store holds anything, and otherwise where no seed has answered within `SEED_TIME` (0.9 s). Until
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
use crate::sync::{ALL_KEYS, SEED_TIME};
use rand::seq::SliceRandom;
use std::net::SocketAddr;
use std::pin::pin;
use std::time::Duration;
use tokio::task::JoinSet;

/// Time after which the next seed is asked as well: over a way between regions (25 ms) and the
/// time of a list at the seed. Follows from these.
const NEXT_SEED: Duration = Duration::from_millis(150);
/// Registered instances from which the seeds are waited for: the keys of a smaller fleet are a
/// page or two of a list.
const LARGE_FLEET: usize = 128;
/// Time between questions to a seed that cannot be reached: it may be starting as well.
const ASK_AGAIN: Duration = Duration::from_millis(50);

/// How an instance starts.
#[derive(Clone, Copy, Debug, Default)]
pub struct Start {
    /// The seed to follow at first; `None` for a seed, and where there is none.
    pub seed: Option<SocketAddr>,
    /// Whether its view was taken; else the store has to be listed.
    pub has_view: bool,
}

/// Takes the first view from a seed, or finds that the store has to be listed.
pub async fn start<P: Platform>(instance: &Instance<P>) -> Start {
    let settings = instance.settings();
    let mut seeds = settings.seeds.clone();
    if seeds.is_empty() || seeds.contains(&settings.listen.peers) {
        return Start::default();
    }
    seeds.shuffle(&mut rand::rng());
    let to_list = Start { seed: seeds.first().copied(), has_view: false };
    let end = Instant::now() + SEED_TIME;
    let mut questions = ask_all(seeds);
    let mut size = pin!(is_small_fleet(instance));
    let mut is_known = false;
    loop {
        tokio::select! {
            biased;
            // A question that panicked is one without an answer; its panic is on standard error.
            Some(Ok((seed, changes))) = questions.join_next() => {
                if take(instance, changes) {
                    let revision = instance.store_copy.view().at().revision;
                    tracing::info!(event = "started_from_seed", %seed, revision);
                    return Start { seed: Some(seed), has_view: true };
                }
            }
            is_small = &mut size, if !is_known => {
                is_known = true;
                if is_small {
                    return to_list;
                }
            }
            () = sleep_until(end) => break,
        }
    }
    tracing::info!(event = "started_without_seed", seeds = settings.seeds.len());
    to_list
}

/// Asks seeds, the next one `NEXT_SEED` after the last.
fn ask_all(seeds: Vec<SocketAddr>) -> JoinSet<(SocketAddr, ChangeSet)> {
    let mut questions = JoinSet::new();
    for (seed, number) in seeds.into_iter().zip(0..) {
        questions.spawn_local(async move {
            sleep(NEXT_SEED * number).await;
            (seed, current_view(seed).await)
        });
    }
    questions
}

/// Whether a list of the store is short. Where the store does not say, or holds nothing yet that
/// a caller could be served by, seeds are waited for.
async fn is_small_fleet<P: Platform>(instance: &Instance<P>) -> bool {
    match count(instance, P::own_prefix()).await {
        Ok(0) => count(instance, ALL_KEYS).await.is_ok_and(|keys| keys > 0),
        Ok(members) => members < LARGE_FLEET,
        // `call` has counted and logged the failure.
        Err(_) => false,
    }
}

async fn count<P: Platform>(instance: &Instance<P>, prefix: &str) -> Result<usize, StoreError> {
    call(instance, "count", instance.store.count(prefix)).await
}

/// Asks a seed until it gives a current view; it waits until it has one. Who asks bounds the
/// time.
async fn current_view(seed: SocketAddr) -> ChangeSet {
    loop {
        // Why there was none changes nothing: the next question may find the seed started.
        if let Ok(changes) = ask(seed).await
            && changes.view_age().is_some_and(|age| age < MAX_VIEW_AGE)
        {
            return changes;
        }
        sleep(ASK_AGAIN).await;
    }
}

async fn ask(seed: SocketAddr) -> Result<ChangeSet, FetchError> {
    let mut connection = PeerConnection::open(seed).await?;
    // From the initial position, so that the answer is a full view.
    let answer = connection.request_changes(PeerRequest::default(), SEED_TIME).await?;
    Ok(answer.read(SEED_TIME).await?)
}

/// Takes a seed's view; false if it cannot be read, or is from an earlier era of the store than
/// the latest known one.
fn take<P: Platform>(instance: &Instance<P>, changes: ChangeSet) -> bool {
    match changes.apply(instance, "seed", Proof::Peer) {
        Ok(()) => instance.store_copy.view_age().is_some(),
        Err(error) => {
            tracing::warn!(event = "peer_answer_unreadable", %error);
            false
        }
    }
}
