//! The initial view of a starting instance: from a seed, and from the store only if no seed has a
//! current view.
//!
//! **Rule.** An instance that is not a seed requests the full view from the seeds, in random order,
//! one more seed every `SEED_INTERVAL` (0.15 s), and applies the first current view. While one seed is
//! sending its view, it reads no other's. It waits as long as a seed is *working*: the seed has accepted
//! the request, and is still loading its own view, has loaded it less than `CONFIRMATION_WAIT` (1.5 s) ago
//! and waits for the store to confirm it, or is sending views to others or to this instance. Otherwise the
//! instance lists the store after `SEED_TIMEOUT` (0.9 s), and after `MAX_SEED_WAIT` (10 s) unless a seed
//! is sending its view. If few keys are in the store, it lists the store earlier: after `SEED_GRACE`
//! (0.1 s) if no seed is working, and after `SEED_WAIT` (5 s) plus up to 0.9 s at random if one is.
//! Until its own registration is in its view, it follows a seed as its relay ([`super::relay`]). A
//! seed lists the store.
//!
//! **Inputs**
//! - Addresses of the seeds and of this instance, from the settings; a seed may no longer exist.
//! - Which seeds are working; exact, except that a frozen one is noticed after 5.6 s.
//! - Number of registered instances and of all keys, up to one page of a list, from a read of the store
//!   that may be seconds old.
//! - Age of a seed's view, from its response and the time since; a view of `MAX_VIEW_AGE` (1.3 s) or
//!   older is rejected, so that no instance starts from a seed that is partitioned from the store. The age
//!   of a list counts from its first page, so that a list which takes longer is rejected until the store
//!   has confirmed it.
//!
//! **Why.** The load pattern is the start of a whole fleet, for instance after a power failure. If
//! every instance lists all keys and watches the store until it knows the members of its hall, 295
//! instances with 1,077 targets make eight calls each within three seconds and transfer 160 MB over
//! the store's link, and each list waits for the others. At 985 instances and 10,000 targets the lists
//! are 3.4 GB, and even one page for each instance delays the seeds' lists by a second. So the store is
//! asked for its size only if the seeds do not work. A seed needs about a second for its list then, and
//! several seconds to send its view to a third of the fleet.
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
use crate::task;
use rand::Rng;
use rand::seq::SliceRandom;
use std::cell::{Cell, RefCell};
use std::collections::HashSet;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::JoinSet;

/// Time after which one more seed is sent a request: longer than the latency between regions (25 ms)
/// plus the time that the seed needs for a list.
const SEED_INTERVAL: Duration = Duration::from_millis(150);
/// Number of registered instances from which on an instance waits for the seeds.
const LARGE_FLEET_SIZE: usize = 128;
/// Number of keys from which on an instance waits for the seeds: fewer fit into one page of a list.
const LARGE_VIEW_SIZE: usize = 400;
/// Time within which a seed that starts together with this instance mostly accepts requests. Longer, and
/// callers of a small fleet wait for seeds that start late.
const SEED_GRACE: Duration = Duration::from_millis(100);
/// Time for which a seed may delay its response, until it has a view and until its turn to send it: the
/// maximum wait that an instance grants its peers.
const SEED_WAIT: Duration = Duration::from_secs(5);
/// Time from the first response of a seed that has just loaded its view until the store has confirmed that
/// view: a few calls to a slow store.
const CONFIRMATION_WAIT: Duration = Duration::from_millis(1_500);
/// Maximum time for which seeds are waited for that have accepted the request and send nothing. Below the
/// operators' shortest bound on the recovery after the loss of all instances (15 s).
const MAX_SEED_WAIT: Duration = Duration::from_secs(10);
/// Timeout of a complete view, which is read as long as bytes arrive: ten times the transfer time of 4 MB
/// over 10 Mbit/s.
const VIEW_TIMEOUT: Duration = Duration::from_secs(30);
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
    let working = Rc::new(WorkingSeeds::default());
    let mut requests = request_views(seeds, &working);
    let mut needs_list = pin!(wait_until_list_is_needed(instance, &working));
    loop {
        tokio::select! {
            biased;
            Some(result) = requests.join_next() => {
                // A request whose task panicked counts as one without a response.
                let Ok((seed, changes)) = result else { continue };
                if apply_view(instance, changes) {
                    let revision = instance.store_copy.view().position().revision;
                    tracing::info!(event = "started_from_seed", %seed, revision);
                    return InitialView { seed: Some(seed), has_view: true };
                }
            }
            reason = &mut needs_list => {
                if reason == ListReason::NoSeed {
                    tracing::info!(event = "started_without_seed", seeds = settings.seeds.len());
                }
                return without_view;
            }
        }
    }
}

/// Why a starting instance lists the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ListReason {
    /// The list is short.
    SmallFleet,
    /// No seed has sent its view in time.
    NoSeed,
}

/// Completes once the store has to be listed.
async fn wait_until_list_is_needed<P: Platform>(instance: &Instance<P>, working: &WorkingSeeds) -> ListReason {
    let started_at = Instant::now();
    sleep(SEED_GRACE).await;
    // Instances that start together do not all read the store's size at the same time.
    let size_check_at = started_at + SEED_WAIT + SEED_TIMEOUT.mul_f64(rand::rng().random());
    while working.is_any() && Instant::now() < size_check_at {
        sleep(SEED_RETRY_INTERVAL).await;
    }
    if is_small_fleet(instance).await {
        return ListReason::SmallFleet;
    }
    sleep_until(started_at + SEED_TIMEOUT).await;
    while working.is_sending.get() || (working.is_any() && started_at.elapsed() < MAX_SEED_WAIT) {
        sleep(SEED_RETRY_INTERVAL).await;
    }
    ListReason::NoSeed
}

/// What the seeds are doing for this instance.
#[derive(Debug, Default)]
struct WorkingSeeds {
    /// Those that have accepted a request and are loading their own view, or sending it.
    working: RefCell<HashSet<SocketAddr>>,
    /// Whether one is sending its view.
    is_sending: Cell<bool>,
}

impl WorkingSeeds {
    fn set(&self, seed: SocketAddr, is_working: bool) {
        let mut working = self.working.borrow_mut();
        match is_working {
            true => working.insert(seed),
            false => working.remove(&seed),
        };
    }

    fn is_any(&self) -> bool {
        !self.working.borrow().is_empty()
    }
}

/// Requests the seeds' views concurrently, each `SEED_INTERVAL` after the one before.
fn request_views(seeds: Vec<SocketAddr>, working: &Rc<WorkingSeeds>) -> JoinSet<(SocketAddr, ChangeSet)> {
    let mut requests = JoinSet::new();
    for (seed, number) in seeds.into_iter().zip(0..) {
        let working = working.clone();
        requests.spawn_local(task::passing("seed-request", async move {
            sleep(SEED_INTERVAL * number).await;
            (seed, fetch_current_view(seed, &working).await)
        }));
    }
    requests
}

/// Whether few instances are registered and the store has few keys, so that a list is short. False if
/// the store does not respond, and if it is still empty: it then holds no configuration with which
/// callers could be served, so the instance waits for the seeds.
async fn is_small_fleet<P: Platform>(instance: &Instance<P>) -> bool {
    // `call` has counted and logged a failure.
    let has_few_members = count_keys(instance, P::own_prefix()).await.is_ok_and(|members| members < LARGE_FLEET_SIZE);
    // Few are registered also while a large fleet starts again after an outage.
    has_few_members && count_keys(instance, ALL_KEYS).await.is_ok_and(|keys| (1..LARGE_VIEW_SIZE).contains(&keys))
}

async fn count_keys<P: Platform>(instance: &Instance<P>, prefix: &str) -> Result<usize, StoreError> {
    call(instance, "count", instance.store.count(prefix)).await
}

/// Requests the view of a seed until it is current; the seed delays its response until it has a
/// view. [`fetch_initial_view`] limits the time.
async fn fetch_current_view(seed: SocketAddr, working: &WorkingSeeds) -> ChangeSet {
    let mut loaded_at = None;
    loop {
        let requested_at = Instant::now();
        // The error is ignored: the seed may have started by the next request.
        let view = fetch_view(seed, working).await.ok().flatten();
        let age = view.as_ref().map(ChangeSet::view_age);
        let is_working = match (view, age.flatten()) {
            (Some(changes), Some(age)) if age < MAX_VIEW_AGE => return changes,
            (Some(_), Some(age)) => {
                // A seed that had no view delays its response; others respond at once.
                if loaded_at.is_none() && requested_at.elapsed() >= SEED_GRACE {
                    loaded_at = Some(Instant::now());
                    tracing::info!(event = "seed_view_stale", %seed, age_ms = age.as_millis() as u64);
                }
                loaded_at.is_some_and(|at| at.elapsed() < CONFIRMATION_WAIT)
            }
            // A view without an age is that of a seed which has not loaded its own yet.
            (Some(_), None) => true,
            (None, _) => false,
        };
        working.set(seed, is_working);
        sleep(SEED_RETRY_INTERVAL).await;
        while working.is_sending.get() {
            sleep(SEED_RETRY_INTERVAL).await;
        }
    }
}

/// Requests the view of a seed; `None` if another seed began to send its own before.
async fn fetch_view(seed: SocketAddr, working: &WorkingSeeds) -> Result<Option<ChangeSet>, FetchError> {
    let mut connection = PeerConnection::open(seed).await?;
    working.set(seed, true);
    // The response to a request without a position is the full view.
    let response = connection.request_changes(PeerRequest::default(), SEED_WAIT).await?;
    if working.is_sending.get() {
        return Ok(None);
    }
    let _guard = SendingGuard::new(&working.is_sending);
    Ok(Some(response.read(VIEW_TIMEOUT).await?))
}

/// Marks a seed as sending its view until it is dropped.
struct SendingGuard<'a>(&'a Cell<bool>);

impl<'a> SendingGuard<'a> {
    fn new(is_sending: &'a Cell<bool>) -> Self {
        is_sending.set(true);
        Self(is_sending)
    }
}

impl Drop for SendingGuard<'_> {
    fn drop(&mut self) {
        self.0.set(false);
    }
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
