//! One instance of a hall watches the store, the others hear from it through a
//! tree in which each instance tells a few. An instance follows only those whose names
//! come before its own, so nobody follows in a circle. Whoever hears nothing from
//! its relay, or stale news, follows another for a while, and watches the store
//! itself where there is none.

use crate::platform::Platform;
use crate::state::Instance;
use crate::store::health::MAX_VIEW_AGE;
use crate::sync::peers::PeerLink;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// Instances that one instance tells.
pub const FOLLOWERS: usize = 4;
/// How long one question to the relay waits for changes. A frozen relay is
/// noticed within this and the link's own patience.
const WAIT: Duration = Duration::from_millis(700);
/// How long a relay that failed is not followed.
const DISTRUST: Duration = Duration::from_secs(5);

/// Positions of the relay of the instance at `position` of its hall, that one's
/// relay, and so on up to the first.
pub fn ancestors(position: usize) -> impl Iterator<Item = usize> {
    std::iter::successors(parent(position), |position| parent(*position))
}

fn parent(position: usize) -> Option<usize> {
    Some(position.checked_sub(1)? / FOLLOWERS)
}

/// The relay that an instance follows, and the link to it.
#[derive(Default)]
pub struct Follower {
    link: Option<PeerLink>,
    /// Relays that failed, and until when they are not followed.
    distrusted: HashMap<SocketAddr, Instant>,
}

impl Follower {
    /// The relay to be asked now; `None` where this instance watches the store
    /// itself.
    pub fn relay<P: Platform>(&self, instance: &Instance<P>) -> Option<SocketAddr> {
        let settings = instance.settings.borrow().clone();
        let routing = instance.routing.borrow();
        let before = routing.members.iter().take_while(|(name, _)| **name < settings.name);
        let relays: Vec<SocketAddr> =
            before.filter(|(_, member)| *member.hall == *settings.hall).map(|(_, member)| member.peer).collect();
        let now = Instant::now();
        let is_trusted = |relay: &SocketAddr| self.distrusted.get(relay).is_none_or(|until| *until <= now);
        let ancestors = ancestors(relays.len()).map(|position| relays[position]);
        ancestors.chain(relays.iter().copied()).find(is_trusted)
    }

    /// Asks the relay for changes and takes them in; distrusts it where it
    /// fails or its news are stale.
    pub async fn follow<P: Platform>(&mut self, instance: &Instance<P>, relay: SocketAddr) {
        if !self.hear(instance, relay).await {
            self.link = None;
            let now = Instant::now();
            self.distrusted.retain(|_, until| *until > now);
            self.distrusted.insert(relay, now + DISTRUST);
            tracing::info!(event = "relay_left", %relay);
        }
    }

    async fn hear<P: Platform>(&mut self, instance: &Instance<P>, relay: SocketAddr) -> bool {
        if self.link.as_ref().is_none_or(|link| link.peer != relay) {
            let Ok(link) = PeerLink::open(relay).await else { return false };
            self.link = Some(link);
        }
        let Some(link) = self.link.as_mut() else { return false };
        let after = instance.view.borrow().at();
        let Ok(told) = link.changes(after, WAIT).await else { return false };
        let Some(age) = told.age().filter(|age| *age < MAX_VIEW_AGE) else { return false };
        instance.metrics.relayed.inc();
        told.take(instance, "relay");
        instance.mark_current(age);
        true
    }
}
