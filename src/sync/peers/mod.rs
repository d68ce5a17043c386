//! What entries tell one another of the store: its changes, so that one entry
//! of a hall watches for all, and a whole view where a peer is far behind.

mod link;
mod told;

pub use link::PeerLink;
pub use told::{ToldChanges, show};

use crate::instance::state::Entry;
use crate::platform::Platform;
use rand::seq::IndexedRandom;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// Path at which a peer tells what has changed.
pub const CHANGES_PATH: &str = "/changes";
/// Time between questions to random peers while the store is lost.
const ASK_EVERY: Duration = Duration::from_millis(400);

/// Asks peers while the store is lost, until the process ends.
pub async fn run<P: Platform>(entry: Rc<Entry<P>>) {
    loop {
        sleep(ASK_EVERY).await;
        if !entry.health.is_lost() {
            continue;
        }
        let Some(peer) = pick(&entry) else { continue };
        let after = entry.view.borrow().at();
        let told = async { PeerLink::open(peer).await?.changes(after, Duration::ZERO).await };
        let Ok(told) = told.await else { continue };
        let age = told.age();
        told.take(&entry, "peer");
        if let Some(age) = age {
            entry.knew_store(age);
        }
    }
}

fn pick<P: Platform>(entry: &Entry<P>) -> Option<SocketAddr> {
    let settings = entry.settings();
    let mut peers = entry.world.borrow().peers(&settings.name);
    peers.extend(settings.seeds.iter().filter(|seed| **seed != settings.listen.peers));
    peers.choose(&mut rand::rng()).copied()
}
