//! The client of a relay. One instance of a hall watches the store; the others receive its changes
//! through a tree in which each instance serves a few ([`crate::sync::relay_tree`]). An instance
//! whose relay fails or has a stale view follows another relay for a while; if there is none, or two
//! in a row fail, it watches the store itself. A starting instance that is not a seed follows a seed
//! from its initial view on until it is a member, unless that seed fails.
//!
//! **Inputs**
//! - Names, halls and peer addresses of the members; as old as the view: at most 1.3 s while the
//!   store or the relay responds, older while neither does.
//! - Name and hall of this instance, from the settings.
//! - Era and age of the relay's view, from its response. A view from an earlier era than the latest
//!   known one is stale at any age. Otherwise it is stale from `MAX_VIEW_AGE` (1.3 s) on, or from
//!   `MAX_RECEIVING_AGE` (3 s) on while the relay is receiving a response with changes: another relay
//!   of the hall would seldom have them sooner. A stale relay is not followed beyond
//!   [`stale_relay_timeout`].
//! - Relays that failed for this instance; kept for `RELAY_RETRY_DELAY` (5 s).
//!
//! **Why.** A watch by each instance multiplies the calls and bytes of the store; a tree bounds the
//! bytes that the busiest instance sends. On a day with few changes, 12 instances make 175 calls with
//! relays and 229 without.
//!
//! A relay is given up when it stops sending, not because its response is large: a large value over
//! a slow link takes longer than a timeout that detects a dead relay soon enough, and its transfer
//! would restart at each relay.
//!
//! **Guards** the promises that an instance's view stays current with a bounded load on the store and
//! the relays, that a relay with a stale view is not followed, and that relays which fail one after
//! the other delay a change by the timeouts of at most two.
//!
//! **Test**: `standins/tests/relay.rs`, `standins/tests/stale_halls.rs`.
//!
//! Owns the connection to the relay and the relays that failed. Relies on the members in the view for
//! their order, and on [`crate::sync::peers`] for requests and responses.

use crate::clock::{Instant, sleep};
use crate::platform::Platform;
use crate::state::Instance;
use crate::store::freshness::{MAX_VIEW_AGE, Proof};
use crate::sync::peers::{FetchError, InvalidResponseLog, PeerConnection, PeerError, PeerRequest};
use crate::sync::relay_tree::{ancestors, index_in_hall, preceding_relays, stale_relay_timeout};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;

/// Maximum wait for changes of one request to the relay. A frozen relay is detected within this and
/// the connection's timeout, together 1.3 s.
const POLL_WAIT: Duration = Duration::from_millis(700);
/// Time for which a relay that failed is not followed: about the length of a disruption; each attempt
/// to follow a dead relay costs up to 1.3 s of lag.
const RELAY_RETRY_DELAY: Duration = Duration::from_secs(5);
/// Timeout of a complete response: ten times the transfer time of an uncompressed configuration of
/// 1 MB over 10 Mbit/s. It ends the response of a relay that sends only a byte now and then; random
/// peers are asked meanwhile if the view is stale.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(10);
/// Age of a relay's view up to which it is followed while it is receiving a response with changes:
/// the operators' bound on lag for halls of more than three instances.
const MAX_RECEIVING_AGE: Duration = Duration::from_secs(3);
/// Relays that fail in a row before the instance watches the store itself: each takes up to 1.3 s,
/// and a change of the configuration may take 3 s in halls of more than three instances. With 1, all
/// followers of a dead relay would call the store.
const MAX_FAILURES: u32 = 2;

/// Time between requests to a relay whose view is stale.
const STALE_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Log reason of an invalid response.
const INVALID_RESPONSE: &str = "unreadable";

/// Why a relay is no longer followed.
#[derive(Debug, Error)]
enum RelayError {
    /// The request failed or the response is invalid.
    #[error(transparent)]
    Fetch(#[from] FetchError),
    /// Its view has reached [`MAX_VIEW_AGE`] ([`MAX_RECEIVING_AGE`] while it is receiving changes), was
    /// never current, or is from an earlier era of the store than the latest known one.
    #[error("the relay's view is stale")]
    Stale,
}

impl From<PeerError> for RelayError {
    fn from(error: PeerError) -> Self {
        RelayError::Fetch(error.into())
    }
}

impl RelayError {
    /// The `reason` of the log event `relay_left`.
    fn as_str(&self) -> &'static str {
        match self {
            RelayError::Fetch(FetchError::Peer(PeerError::NoResponse)) => "silent",
            RelayError::Fetch(FetchError::Peer(PeerError::ResponseTimedOut { .. })) => "slow",
            RelayError::Fetch(FetchError::Peer(PeerError::RequestFailed(_))) => "broken",
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
    /// Relays that failed, and when each may be followed again.
    failed: HashMap<SocketAddr, Instant>,
    /// Relays that failed in a row.
    failures: u32,
    /// Since when the relays that respond have been stale.
    stale_since: Option<Instant>,
    /// Until when the store is watched instead of following a relay.
    watch_store_until: Option<Instant>,
    invalid_responses: InvalidResponseLog,
}

impl RelayClient {
    /// A client that follows `seed` first, if there is one.
    pub fn with_seed(seed: Option<SocketAddr>) -> Self {
        Self { seed, ..Self::default() }
    }

    /// The relay to follow now; `None` if this instance has to watch the store itself.
    pub fn select_relay<P: Platform>(&mut self, instance: &Instance<P>) -> Option<SocketAddr> {
        if self.watch_store_until.is_some_and(|until| Instant::now() < until) {
            return None;
        }
        // Once its own registration is in the view, an instance knows the other members of its hall.
        // It keeps following its hall, not the seed, if that registration expires later.
        if instance.routing.borrow().members.contains_key(&instance.settings.borrow().name) {
            self.seed = None;
        }
        if self.seed.is_some() {
            return self.seed;
        }
        let relays = preceding_relays(instance);
        let now = Instant::now();
        let is_usable = |relay: &SocketAddr| self.failed.get(relay).is_none_or(|until| *until <= now);
        let ancestors = ancestors(relays.len()).map(|index| relays[index]);
        ancestors.chain(relays.iter().copied()).find(is_usable)
    }

    /// When a relay that failed may be followed again; `None` if none failed within
    /// `RELAY_RETRY_DELAY`.
    pub fn next_retry_at(&self) -> Option<Instant> {
        let now = Instant::now();
        let watch_store_until = self.watch_store_until.filter(|until| *until > now);
        watch_store_until.or_else(|| self.failed.values().copied().filter(|until| *until > now).min())
    }

    /// Requests changes from the relay and applies them. A relay that fails, or whose view has been
    /// stale for too long, is not followed for `RELAY_RETRY_DELAY`.
    pub async fn follow<P: Platform>(&mut self, instance: &Instance<P>, relay: SocketAddr) {
        let sent_at = Instant::now();
        match self.request_changes(instance, relay).await {
            Ok(()) => {
                self.failures = 0;
                self.stale_since = None;
            }
            Err(RelayError::Stale) if self.tolerates_stale_relay(instance) => sleep(STALE_POLL_INTERVAL).await,
            Err(error) => self.stop_following(instance, relay, &error, sent_at),
        }
    }

    /// Whether this instance keeps following a stale relay for now; false if its own calls to the
    /// store prove its view current.
    fn tolerates_stale_relay<P: Platform>(&mut self, instance: &Instance<P>) -> bool {
        let copy = &instance.store_copy;
        let is_proven_by_others = matches!(copy.view_proof(), Some(Proof::Relay | Proof::Peer));
        if copy.is_current() && !is_proven_by_others {
            return false;
        }
        let since = *self.stale_since.get_or_insert_with(Instant::now);
        since.elapsed() < stale_relay_timeout(index_in_hall(instance))
    }

    /// Records that the store failed as well, so that relays are followed again.
    pub fn record_store_failure(&mut self) {
        self.watch_store_until = None;
    }

    fn stop_following<P: Platform>(
        &mut self,
        instance: &Instance<P>,
        relay: SocketAddr,
        error: &RelayError,
        sent_at: Instant,
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
        log_relay_left(relay, error, instance.store_copy.view().position().revision, now - sent_at);
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
        let receiving = instance.store_copy.begin_receiving();
        let changes = response.read(RESPONSE_TIMEOUT).await?;
        drop(receiving);
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

/// Logs that a relay is no longer followed: `after` is the revision of this instance's view, `elapsed`
/// the time since the request.
fn log_relay_left(relay: SocketAddr, error: &RelayError, after: u64, elapsed: Duration) {
    let (reason, took_ms) = (error.as_str(), elapsed.as_millis() as u64);
    tracing::info!(event = "relay_left", %relay, reason, %error, after, took_ms);
}
