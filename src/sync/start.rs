//! The first view of an instance that starts: from a seed, and from the store only where no
//! seed has a current one.
//!
//! **Rule.** An instance that is no seed itself asks the seeds for their whole view, in random
//! order, the next one [`NEXT_SEED`] after the last, and takes the first current one. Where none
//! comes within [`PATIENCE`] it lists the store. Until its own registration is in its view it
//! follows the seed that answered, as a relay ([`super::relay`]); a seed lists the store.
//!
//! **Inputs**
//! - Addresses of the seeds and its own, from the settings; a seed may be gone.
//! - Age of a seed's view, as its answer gives it; from `MAX_VIEW_AGE` (1.3 s) on the view is
//!   not taken, so that a seed that is cut off starts nobody.
//!
//! **Why.** The load pattern is the start of a whole fleet, after power returns for instance:
//! each instance listed all keys and watched the store until it knew the members of its hall.
//! With 295 instances and 1,077 targets that was eight calls an instance within three seconds
//! and 160 MB through the store's link; each waited for the others' lists.
//!
//! **Guards** the promise that a start of all instances at once costs the store a few lists, and
//! that an instance starts without any other one.
//!
//! **Test**: `standins/tests/fleet_start.rs`.
//!
//! Owns nothing beyond the start. Relies on [`super::peers`] for the questions, and on the seed
//! to answer once it has a view.

use crate::platform::Platform;
use crate::state::Instance;
use crate::store::freshness::{MAX_VIEW_AGE, Proof};
use crate::sync::peers::{AskError, ChangeSet, PeerLink};
use rand::seq::SliceRandom;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, timeout_at};

/// Time after which the next seed is asked as well: over a way between regions (25 ms) and the
/// time of a list at the seed. Follows from these.
const NEXT_SEED: Duration = Duration::from_millis(150);
/// Longest time for which seeds are asked. After a loss of power seeds start up to 0.4 s later
/// than others and need 0.2 s for their list; at 0.5 s 110 of 295 instances gave up and listed the
/// store as well. An instance that starts alone among dead seeds waits no longer.
pub const PATIENCE: Duration = Duration::from_millis(900);
/// Time between questions to a seed that cannot be reached: it may be starting as well.
const ASK_AGAIN: Duration = Duration::from_millis(50);
/// Revision before the first change: the answer is a whole view.
const NO_REVISION: u64 = 0;

/// Takes the first view from a seed; the seed that gave it, or `None` where the store has to be
/// listed.
pub async fn from_seed<P: Platform>(instance: &Instance<P>) -> Option<SocketAddr> {
    let settings = instance.settings();
    let mut seeds = settings.seeds.clone();
    if seeds.is_empty() || seeds.contains(&settings.listen.peers) {
        return None;
    }
    seeds.shuffle(&mut rand::rng());
    let end = Instant::now() + PATIENCE;
    let mut questions = JoinSet::new();
    for (seed, number) in seeds.into_iter().zip(0..) {
        questions.spawn_local(async move {
            sleep(NEXT_SEED * number).await;
            (seed, current_view(seed, end).await)
        });
    }
    // A question that panicked is one without an answer; its panic is on standard error.
    while let Ok(Some(Ok((seed, changes)))) = timeout_at(end, questions.join_next()).await {
        if take(instance, changes) {
            tracing::info!(event = "started_from_seed", %seed, revision = instance.store_copy.view().at());
            return Some(seed);
        }
    }
    tracing::info!(event = "started_without_seed", seeds = settings.seeds.len());
    None
}

/// Asks a seed until it gives a current view; it waits until it has one. Who asks bounds the
/// time.
async fn current_view(seed: SocketAddr, end: Instant) -> ChangeSet {
    loop {
        // Why there was none changes nothing: the next question may find the seed started.
        if let Ok(changes) = ask(seed, end).await
            && changes.view_age().is_some_and(|age| age < MAX_VIEW_AGE)
        {
            return changes;
        }
        sleep(ASK_AGAIN).await;
    }
}

async fn ask(seed: SocketAddr, end: Instant) -> Result<ChangeSet, AskError> {
    let mut link = PeerLink::open(seed).await?;
    let answer = link.ask(NO_REVISION, end.saturating_duration_since(Instant::now())).await?;
    Ok(answer.read(PATIENCE).await?)
}

/// Takes a seed's view; false where it cannot be read.
fn take<P: Platform>(instance: &Instance<P>, changes: ChangeSet) -> bool {
    let Some(age) = changes.view_age() else { return false };
    match changes.apply(instance, "seed") {
        Ok(()) => {
            instance.store_copy.mark_current(Proof::Peer, age);
            true
        }
        Err(error) => {
            tracing::warn!(event = "peer_answer_unreadable", %error);
            false
        }
    }
}
