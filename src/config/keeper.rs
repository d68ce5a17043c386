//! The actor through which every revision goes, one at a time.

use super::revision::Offer;
use crate::instance::Instance;
use std::sync::Arc;
use xtra::{Context, Handler};

/// Takes revisions into force.
#[derive(xtra::Actor)]
pub struct Keeper {
    instance: Arc<Instance>,
}

impl Keeper {
    /// An actor for this instance.
    pub fn new(instance: Arc<Instance>) -> Self {
        Self { instance }
    }
}

impl Handler<Offer> for Keeper {
    type Return = bool;

    /// Parses and checks on a thread of its own, off the request path.
    async fn handle(&mut self, offer: Offer, _: &mut Context<Self>) -> bool {
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
}
