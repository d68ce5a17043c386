//! The exchange of store changes between instances. Through it one instance of a hall watches the
//! store for all, and an instance whose view is stale gets the changes from any peer, whatever the
//! cause: the store, its relay, or a slow link with a large response.
//!
//! | module | purpose |
//! |---|---|
//! | `change_set` | the wire format of the changes |
//! | `connection` | a connection to a peer |
//! | `serve`, `response_cache` | responses to peers |
//! | `invalid_response_log` | rate-limited log lines for invalid responses |
//!
//! Owns the task that requests changes from peers while the view is stale. Relies on the members in
//! the view and on the seeds in the settings for addresses.

mod change_set;
mod connection;
mod invalid_response_log;
mod response_cache;
mod serve;

pub use change_set::{ChangeError, ChangeSet, PeerPosition};
pub use connection::{PeerConnection, PeerError, PeerRequest};
pub use invalid_response_log::InvalidResponseLog;
pub use response_cache::ResponseCache;
pub use serve::{ChangesRequest, ChangesResponse, ViewQueue, serve_changes};

use crate::clock::sleep;
use crate::platform::Platform;
use crate::state::Instance;
use crate::store::freshness::Proof;
use crate::sync::SEED_TIMEOUT;
use rand::seq::IndexedRandom;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use thiserror::Error;

/// Path at which an instance serves its changes.
pub const CHANGES_PATH: &str = "/changes";
/// Response header: milliseconds from the arrival of the request until the ages in the body were
/// computed, so that the receiver can tell how old they are; negative for a cached body that was
/// computed before.
pub const COMPUTED_AFTER_HEADER: &str = "computed-after-ms";
/// Response header, present while the sender or its relay is receiving a response with changes.
pub const RECEIVING_HEADER: &str = "receiving-changes";
/// Time between requests to random peers while the view is stale: together with the 1.3 s after which
/// it is stale, below the shortest bound on lag (2 s).
const PEER_POLL_INTERVAL: Duration = Duration::from_millis(400);

/// Timeout of a random peer's complete response, after which another peer is asked: a compressed
/// response takes a tenth of it on a link of 10 Mbit/s.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);

/// Requests changes from random peers while the view is stale, until the process ends.
pub async fn run<P: Platform>(instance: Rc<Instance<P>>) {
    instance.resume_update();
    let mut invalid_responses = InvalidResponseLog::default();
    // During the start, `sync::start` requests a current view from the seeds; only after that is a
    // stale view accepted.
    sleep(SEED_TIMEOUT).await;
    loop {
        sleep(PEER_POLL_INTERVAL).await;
        if instance.store_copy.is_current() {
            continue;
        }
        let Some(peer) = random_peer(&instance) else { continue };
        match fetch_changes(&instance, peer).await {
            Ok(()) => {}
            // Not logged: seeds and members may have stopped or be unreachable as well, another peer is
            // asked next, and the loss of the store is logged elsewhere.
            Err(FetchError::Peer(
                PeerError::NoResponse | PeerError::ResponseTimedOut { .. } | PeerError::RequestFailed(_),
            )) => {}
            Err(error) => invalid_responses.log(peer, &error),
        }
    }
}

/// Why a peer's changes were not applied.
#[derive(Debug, Error)]
pub enum FetchError {
    /// The request failed.
    #[error(transparent)]
    Peer(#[from] PeerError),
    /// A change cannot be decoded.
    #[error(transparent)]
    Change(#[from] ChangeError),
}

/// Sends one request for changes to a peer. The peer's proof that its view is current is recorded only
/// after its changes are applied.
async fn fetch_changes<P: Platform>(instance: &Instance<P>, peer: SocketAddr) -> Result<(), FetchError> {
    let request = PeerRequest::for_copy(&instance.store_copy);
    let mut connection = PeerConnection::open(peer).await?;
    let response = connection.request_changes(request, Duration::ZERO).await?;
    let changes = response.read(RESPONSE_TIMEOUT).await?;
    Ok(changes.apply(instance, "peer", Proof::Peer)?)
}

/// The address of a random peer, a member in the view or a seed; `None` if there are none.
fn random_peer<P: Platform>(instance: &Instance<P>) -> Option<SocketAddr> {
    let settings = instance.settings();
    let mut peers = instance.routing.borrow().peer_addresses(&settings.name);
    peers.extend(settings.seeds.iter().filter(|seed| **seed != settings.listen.peers));
    peers.choose(&mut rand::rng()).copied()
}
