//! Changes of the store exchanged between instances, so that one instance of a hall
//! watches for all, and an instance whose view is stale receives them from any peer,
//! whatever holds them up: the store, its relay, or a link that carries a large answer
//! slowly.
//!
//! | file | its job |
//! |---|---|
//! | `change_set` | the form of the changes on the wire |
//! | `connection` | a connection to a peer |
//! | `serve`, `response_cache` | answers to peers |
//! | `invalid_response_log` | the bounded log of answers that cannot be read |
//!
//! Owns the task that asks peers while the view is stale. Relies on the list of members in the
//! view, or on the settings' seeds, for addresses.

mod change_set;
mod connection;
mod invalid_response_log;
mod response_cache;
mod serve;

pub use change_set::{ChangeError, ChangeSet, PeerPosition};
pub use connection::{PeerConnection, PeerError, PeerRequest};
pub use invalid_response_log::InvalidResponseLog;
pub use response_cache::ResponseCache;
pub use serve::{ChangesRequest, ChangesResponse, serve_changes};

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
/// Header of an answer: milliseconds from the question's arrival until the ages in the
/// body were worked out, so that who asked knows how old they are on arrival.
pub const COMPUTED_AFTER_HEADER: &str = "computed-after-ms";
/// Header of an answer whose sender's view is stale, but is receiving changes.
pub const RECEIVING_HEADER: &str = "receiving-changes";
/// Time between questions to random peers while the view is stale: with the 1.3 s until it is,
/// below the shortest bound on lag (2 s).
const PEER_POLL_INTERVAL: Duration = Duration::from_millis(400);

/// Longest time for a random peer's answer, after which another is asked: an answer that is
/// compressed takes a tenth on a link of 10 Mbit/s.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);

/// Asks random peers for changes while the view is stale, until the process ends.
pub async fn run<P: Platform>(instance: Rc<Instance<P>>) {
    let mut invalid_responses = InvalidResponseLog::default();
    // At first seeds are asked for a current view; a stale one is better than none only then.
    sleep(SEED_TIMEOUT).await;
    loop {
        sleep(PEER_POLL_INTERVAL).await;
        if instance.store_copy.is_current() {
            continue;
        }
        let Some(peer) = random_peer(&instance) else { continue };
        match fetch_changes(&instance, peer).await {
            Ok(()) => {}
            // Seeds and members may be gone or cut off as well; another peer is asked
            // next, and the loss of the store has its own line.
            Err(FetchError::Peer(
                PeerError::NoResponse | PeerError::ResponseTimedOut { .. } | PeerError::ConnectionFailed(_),
            )) => {}
            Err(error) => invalid_responses.log(peer, &error),
        }
    }
}

/// Why a peer's changes were not taken.
#[derive(Debug, Error)]
pub enum FetchError {
    /// It gave none.
    #[error(transparent)]
    Peer(#[from] PeerError),
    /// One of them cannot be decoded.
    #[error(transparent)]
    Change(#[from] ChangeError),
}

/// Asks a peer once. Its proof that the view is current counts only with its changes.
async fn fetch_changes<P: Platform>(instance: &Instance<P>, peer: SocketAddr) -> Result<(), FetchError> {
    let request = PeerRequest::for_copy(&instance.store_copy);
    let mut connection = PeerConnection::open(peer).await?;
    let response = connection.request_changes(request, Duration::ZERO).await?;
    let changes = response.read(RESPONSE_TIMEOUT).await?;
    Ok(changes.apply(instance, "peer", Proof::Peer)?)
}

/// A random peer: a member of the view or a seed.
fn random_peer<P: Platform>(instance: &Instance<P>) -> Option<SocketAddr> {
    let settings = instance.settings();
    let mut peers = instance.routing.borrow().peer_addresses(&settings.name);
    peers.extend(settings.seeds.iter().filter(|seed| **seed != settings.listen.peers));
    peers.choose(&mut rand::rng()).copied()
}
