//! What instances tell one another of the store: its changes, so that one instance
//! of a hall watches for all, and a whole view where a peer is far behind.

mod link;
mod told;

pub use link::PeerLink;
pub use told::{ToldChanges, show};

use crate::platform::Platform;
use crate::state::Instance;
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
pub async fn run<P: Platform>(instance: Rc<Instance<P>>) {
    loop {
        sleep(ASK_EVERY).await;
        if !instance.health.is_lost() {
            continue;
        }
        let Some(peer) = pick(&instance) else { continue };
        let after = instance.view.borrow().at();
        let told = async { PeerLink::open(peer).await?.changes(after, Duration::ZERO).await };
        let Ok(told) = told.await else { continue };
        let age = told.age();
        told.take(&instance, "peer");
        if let Some(age) = age {
            instance.mark_current(age);
        }
    }
}

fn pick<P: Platform>(instance: &Instance<P>) -> Option<SocketAddr> {
    let settings = instance.settings();
    let mut peers = instance.routing.borrow().peers(&settings.name);
    peers.extend(settings.seeds.iter().filter(|seed| **seed != settings.listen.peers));
    peers.choose(&mut rand::rng()).copied()
}
