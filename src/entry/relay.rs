//! One entry of a hall watches the store, the others hear from it. The relay
//! is the entry whose name comes first, so nobody follows in a circle; whoever
//! hears nothing from it, or stale news, watches the store itself for a while.

use super::peers::PeerLink;
use super::platform::Platform;
use super::state::Entry;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// How long one question to the relay waits for changes. A frozen relay is
/// noticed within this and the link's own patience.
const WAIT: Duration = Duration::from_millis(700);
/// Age of the relay's knowledge from which it is no longer followed: somewhat
/// more than the time between two renewals of its lease, which prove that its
/// watch still stands.
pub const STALE: Duration = Duration::from_millis(1_300);
/// How long a relay that failed is not followed.
const DISTRUST: Duration = Duration::from_secs(5);

/// The relay that an entry follows, and the link to it.
#[derive(Default)]
pub struct Follower {
    link: Option<PeerLink>,
    distrusted: Option<(SocketAddr, Instant)>,
}

impl Follower {
    /// The relay to be asked now; `None` where this entry watches the store
    /// itself.
    pub fn relay<P: Platform>(&self, entry: &Entry<P>) -> Option<SocketAddr> {
        let settings = entry.settings.borrow().clone();
        let world = entry.world.borrow();
        let (name, first) = world.members.iter().find(|(_, member)| *member.hall == *settings.hall)?;
        if *name >= settings.name {
            return None;
        }
        let now = Instant::now();
        let is_distrusted = self.distrusted.is_some_and(|(peer, until)| peer == first.peer && now < until);
        (!is_distrusted).then_some(first.peer)
    }

    /// Asks the relay for changes and takes them in; distrusts it where it
    /// fails or its news are stale.
    pub async fn follow<P: Platform>(&mut self, entry: &Entry<P>, relay: SocketAddr) {
        if !self.hear(entry, relay).await {
            self.link = None;
            self.distrusted = Some((relay, Instant::now() + DISTRUST));
            tracing::info!(event = "relay_left", %relay);
        }
    }

    async fn hear<P: Platform>(&mut self, entry: &Entry<P>, relay: SocketAddr) -> bool {
        if self.link.as_ref().is_none_or(|link| link.peer != relay) {
            let Ok(link) = PeerLink::open(relay).await else { return false };
            self.link = Some(link);
        }
        let Some(link) = self.link.as_mut() else { return false };
        let after = entry.view.borrow().at();
        let Ok(told) = link.changes(after, WAIT).await else { return false };
        let Some(age) = told.age().filter(|age| *age < STALE) else { return false };
        entry.metrics.relayed.inc();
        told.take(entry, "relay");
        entry.knew_store(age);
        true
    }
}
