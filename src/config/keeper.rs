//! The actor through which every revision goes, one at a time.

use super::revision::{Offer, Origin};
use crate::instance::Instance;
use std::sync::Arc;
use std::time::Duration;
use xtra::{Context, Handler};

/// Longest time that a starting instance waits to hear from both the platform
/// and a peer. Either alone may be behind what was in force here before.
pub const OPENING: Duration = Duration::from_millis(1_500);

/// Takes revisions into force.
#[derive(xtra::Actor)]
pub struct Keeper {
    instance: Arc<Instance>,
    opening: Option<Opening>,
}

/// What a starting instance has heard so far.
#[derive(Default)]
struct Opening {
    best: Option<Offer>,
    platform: bool,
    peer: bool,
}

impl Opening {
    /// Notes an offer; tells whether enough was heard.
    fn hear(&mut self, offer: Offer) -> bool {
        match offer.origin {
            Origin::KeyValue => self.platform = true,
            Origin::Peer => self.peer = true,
            Origin::Operator => (self.platform, self.peer) = (true, true),
        }
        if self.best.as_ref().is_none_or(|b| b.revision < offer.revision) {
            self.best = Some(offer);
        }
        self.platform && self.peer
    }
}

/// The time to hear from others is over: the best offer counts.
pub struct Open;

impl Keeper {
    /// An actor for this instance.
    pub fn new(instance: Arc<Instance>) -> Self {
        Self { instance, opening: Some(Opening::default()) }
    }

    /// Parses and checks on a thread of its own, off the request path.
    async fn take(&self, offer: Offer) -> bool {
        let instance = self.instance.clone();
        let taken = tokio::task::spawn_blocking(move || offer.take(&instance)).await;
        match taken {
            Ok(Ok(taken)) => {
                if taken {
                    self.instance.wake_beats();
                }
                taken
            }
            Ok(Err(error)) => {
                tracing::error!(%error, "a revision was not taken");
                false
            }
            Err(_) => false,
        }
    }

    async fn open(&mut self) -> bool {
        match self.opening.take().and_then(|o| o.best) {
            Some(best) => self.take(best).await,
            None => false,
        }
    }
}

impl Handler<Offer> for Keeper {
    type Return = bool;

    async fn handle(&mut self, offer: Offer, _: &mut Context<Self>) -> bool {
        match &mut self.opening {
            None => self.take(offer).await,
            Some(opening) => opening.hear(offer) && self.open().await,
        }
    }
}

impl Handler<Open> for Keeper {
    type Return = ();

    async fn handle(&mut self, _: Open, _: &mut Context<Self>) {
        self.open().await;
    }
}
