//! The relay tree: one instance of a hall watches the store, the others receive its
//! changes through a tree in which each instance serves a few ([`crate::sync::relay_tree`]). One
//! whose relay fails or has a stale view follows another for a while; where there is none, or the second in
//! a row fails, it watches the store itself. An instance that started from a seed's view
//! follows the seed until it is a member itself.
//!
//! **Inputs**
//! - Names, halls and peer addresses of the members; as old as the view: current to 1.3 s
//!   while store or relay answers, older while they do not.
//! - Name and hall of this instance, from the settings.
//! - Era and age of the relay's view, as its answer gives them. A view from an earlier era than the
//!   latest known one is stale at any age; from `MAX_VIEW_AGE` (1.3 s) on the relay
//!   is not followed beyond [`stale_relay_timeout`], while it is receiving an answer with changes from
//!   `MAX_RECEIVING_AGE` (3 s) on: another relay of the hall would seldom have them sooner.
//! - Failures of relays that this instance saw, kept for `RELAY_RETRY_DELAY` (5 s).
//!
//! **Why.** A watch by each instance multiplies the store's calls and bytes; a tree bounds
//! what the busiest instance sends.
//!
//! A relay is left for silence, never for the size of its answer: a large value over a slow
//! link takes longer than any bound on silence, and would be begun anew at each relay.
//!
//! **Guards** the promises that an instance's view stays current with a bounded load on store
//! and relays, that a relay with a stale view is not followed, and that relays which fail one
//! after the other delay a change by the time of two.
//!
//! **Test**: `standins/tests/relay.rs`, `standins/tests/stale_halls.rs`.
//!
//! Owns the connection to the relay and the relays that failed. Relies on the members in
//! the view for the order, and on [`crate::sync::peers`] for the answers.

use crate::clock::{Instant, sleep};
use crate::platform::Platform;
use crate::state::Instance;
use crate::store::freshness::{MAX_VIEW_AGE, Proof};
use crate::sync::peers::{FetchError, InvalidResponseLog, PeerConnection, PeerError, PeerRequest};
use crate::sync::relay_tree::{ancestors, position_in_hall, preceding_relays, stale_relay_timeout};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;

/// How long one question to the relay waits for changes. A frozen relay is noticed within
/// this and the link's timeout, 1.3 s together. With the relay the calls of a quiet day of
/// 12 instances fell from 229 to 175.
const POLL_WAIT: Duration = Duration::from_millis(700);
/// Time for which a relay that failed is not followed: about the length of a disruption;
/// each attempt at a dead relay costs up to 1.3 s of lag. Half and double change what
/// callers get by 2 in 1,000 at most.
const RELAY_RETRY_DELAY: Duration = Duration::from_secs(5);
/// Longest time for a whole answer: ten times that of a configuration of 1 MB over 10 Mbit/s,
/// uncompressed. It ends the answer of a relay that sends a byte now and then; a stale view
/// meanwhile has random peers asked.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(10);
/// Age of a relay's view up to which it is followed while it is receiving an answer with changes:
/// the operators' bound where halls have more than three instances.
const MAX_RECEIVING_AGE: Duration = Duration::from_secs(3);
/// Relays that fail one after the other before the store is asked: each takes up to 1.3 s, and a
/// configuration has 3 s where halls have more than three instances. One would send all followers
/// of a dead relay to the store.
const MAX_FAILURES: u32 = 2;

/// Time between questions to a relay that is stale.
const STALE_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Name of answers that cannot be read, in the log.
const INVALID_RESPONSE: &str = "unreadable";

/// Why a relay is no longer followed.
#[derive(Debug, Error)]
enum RelayError {
    /// It gave no answer that can be used.
    #[error(transparent)]
    Fetch(#[from] FetchError),
    /// Its view is older than [`MAX_VIEW_AGE`], was never current, or is from an earlier era of the
    /// store than the latest known one.
    #[error("the relay's view is stale")]
    Stale,
}

impl From<PeerError> for RelayError {
    fn from(error: PeerError) -> Self {
        RelayError::Fetch(error.into())
    }
}

impl RelayError {
    /// Its name in the log.
    fn as_str(&self) -> &'static str {
        match self {
            RelayError::Fetch(FetchError::Peer(PeerError::NoResponse)) => "silent",
            RelayError::Fetch(FetchError::Peer(PeerError::ResponseTimedOut { .. })) => "slow",
            RelayError::Fetch(FetchError::Peer(PeerError::ConnectionFailed(_))) => "broken",
            RelayError::Fetch(FetchError::Peer(PeerError::InvalidResponse(_) | PeerError::InvalidCompression(_)))
            | RelayError::Fetch(FetchError::Change(_)) => INVALID_RESPONSE,
            RelayError::Stale => "stale",
        }
    }
}

/// The client of the relay that an instance follows.
#[derive(Default)]
pub struct RelayClient {
    /// The seed that is followed until this instance is a member for the first time.
    seed: Option<SocketAddr>,
    connection: Option<PeerConnection>,
    /// Relays that failed, and when they may be followed again.
    failed: HashMap<SocketAddr, Instant>,
    /// Relays that failed since one answered.
    failures: u32,
    /// Since when the relays that answered were stale.
    stale_since: Option<Instant>,
    /// Until when the store is asked instead of relays.
    watch_store_until: Option<Instant>,
    invalid_responses: InvalidResponseLog,
}

impl RelayClient {
    /// The client of an instance that follows a seed at first, where it has one.
    pub fn with_seed(seed: Option<SocketAddr>) -> Self {
        Self { seed, ..Self::default() }
    }

    /// The relay to ask now; `None` where this instance watches the store itself.
    pub fn select_relay<P: Platform>(&mut self, instance: &Instance<P>) -> Option<SocketAddr> {
        if self.watch_store_until.is_some_and(|until| Instant::now() < until) {
            return None;
        }
        // The members of a hall that starts are known once its own registration is seen.
        // One whose registration expires later goes on with its hall, not with the seeds.
        if instance.routing.borrow().members.contains_key(&instance.settings.borrow().name) {
            self.seed = None;
        }
        if self.seed.is_some() {
            return self.seed;
        }
        let relays = preceding_relays(instance);
        let now = Instant::now();
        let is_usable = |relay: &SocketAddr| self.failed.get(relay).is_none_or(|until| *until <= now);
        let ancestors = ancestors(relays.len()).map(|position| relays[position]);
        ancestors.chain(relays.iter().copied()).find(is_usable)
    }

    /// When a relay that was left may be followed again; `None` where none was left lately.
    pub fn next_retry_at(&self) -> Option<Instant> {
        let now = Instant::now();
        let watch_store_until = self.watch_store_until.filter(|until| *until > now);
        watch_store_until.or_else(|| self.failed.values().copied().filter(|until| *until > now).min())
    }

    /// Asks the relay for changes and applies them; where it fails or its view is stale,
    /// it is not followed for `RELAY_RETRY_DELAY`.
    pub async fn follow<P: Platform>(&mut self, instance: &Instance<P>, relay: SocketAddr) {
        let requested_at = Instant::now();
        match self.request_changes(instance, relay).await {
            Ok(()) => {
                self.failures = 0;
                self.stale_since = None;
            }
            Err(RelayError::Stale) if self.tolerates_stale_relay(instance) => sleep(STALE_POLL_INTERVAL).await,
            Err(error) => self.stop_following(instance, relay, &error, requested_at),
        }
    }

    /// Whether this instance stays with a stale relay for now; not where its own calls to the
    /// store have just proven its view.
    fn tolerates_stale_relay<P: Platform>(&mut self, instance: &Instance<P>) -> bool {
        let copy = &instance.store_copy;
        let is_proven_by_others = matches!(copy.view_proof(), Some(Proof::Relay | Proof::Peer));
        if copy.is_current() && !is_proven_by_others {
            return false;
        }
        let since = *self.stale_since.get_or_insert_with(Instant::now);
        since.elapsed() < stale_relay_timeout(position_in_hall(instance))
    }

    /// Notes that the store failed as well: relays are asked again.
    pub fn record_store_failure(&mut self) {
        self.watch_store_until = None;
    }

    fn stop_following<P: Platform>(
        &mut self,
        instance: &Instance<P>,
        relay: SocketAddr,
        error: &RelayError,
        requested_at: Instant,
    ) {
        if error.as_str() == INVALID_RESPONSE {
            self.invalid_responses.log(relay, error);
        }
        self.connection = None;
        self.seed = self.seed.filter(|seed| *seed != relay);
        instance.store_copy.set_relay_receiving(false);
        let now = Instant::now();
        self.failed.retain(|_, until| *until > now);
        self.failed.insert(relay, now + RELAY_RETRY_DELAY);
        self.stale_since = None;
        self.failures += 1;
        if self.failures >= MAX_FAILURES {
            self.failures = 0;
            self.watch_store_until = Some(now + RELAY_RETRY_DELAY);
        }
        log_left(relay, error, instance.store_copy.view().at().revision, now - requested_at);
    }

    async fn request_changes<P: Platform>(
        &mut self,
        instance: &Instance<P>,
        relay: SocketAddr,
    ) -> Result<(), RelayError> {
        let connection = match &mut self.connection {
            Some(connection) if connection.peer == relay => connection,
            other => other.insert(PeerConnection::open(relay).await?),
        };
        let request = PeerRequest::for_copy(&instance.store_copy);
        let response = connection.request_changes(request, POLL_WAIT).await?;
        let is_receiving = response.is_receiving();
        instance.store_copy.set_relay_receiving(is_receiving);
        let receipt = instance.store_copy.begin_receipt();
        let changes = response.read(RESPONSE_TIMEOUT).await?;
        drop(receipt);
        let max_age = if is_receiving { MAX_RECEIVING_AGE } else { MAX_VIEW_AGE };
        let is_superseded = changes.position().era < instance.store_copy.latest_era().get();
        if is_superseded || changes.reported_age().is_none_or(|age| age >= max_age) {
            return Err(RelayError::Stale);
        }
        changes.apply(instance, "relay", Proof::Relay).map_err(FetchError::from)?;
        instance.metrics.relayed.inc();
        Ok(())
    }
}

/// Logs that a relay is no longer followed: `after` is the revision that it was asked
/// about, `took` the time since.
fn log_left(relay: SocketAddr, error: &RelayError, after: u64, took: Duration) {
    let (reason, took_ms) = (error.as_str(), took.as_millis() as u64);
    tracing::info!(event = "relay_left", %relay, reason, %error, after, took_ms);
}
