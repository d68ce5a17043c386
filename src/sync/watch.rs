//! Keeps the view of the store up to date: by the hall's relay, or by a watch
//! of its own over all keys, and a list where the history is gone.

use crate::platform::Platform;
use crate::state::Instance;
use crate::store::{Store, StoreError, Watched};
use crate::sync::backoff::Backoff;
use crate::sync::relay::Follower;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// The prefix of all keys.
const ALL: &str = "";
/// Longest time one watch waits.
const WAIT: Duration = Duration::from_secs(20);
/// Pause before the next watch, so that a burst of changes costs one call.
const PAUSE: Duration = Duration::from_millis(400);
/// Longest wait for a list.
const LIST_TIMEOUT: Duration = Duration::from_secs(3);

/// What is done next to stay up to date.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Next {
    List,
    Watch,
}

/// Runs until the process ends.
pub async fn run<P: Platform>(instance: Rc<Instance<P>>) {
    let mut follower = Follower::default();
    let mut next = Next::List;
    let mut backoff = Backoff::default();
    loop {
        if let Some(relay) = follower.relay(&instance) {
            follower.follow(&instance, relay).await;
            // The relay may have told more than a watch could.
            next = Next::Watch;
            continue;
        }
        let result = match next {
            Next::List => list(&instance).await,
            Next::Watch => watch(&instance).await,
        };
        match result {
            Ok(then) => {
                next = then;
                backoff.reset();
            }
            Err(error) => {
                instance.health.mark_failed(&error);
                instance.metrics.store_failures.inc();
                sleep(backoff.wait()).await;
            }
        }
    }
}

async fn list<P: Platform>(instance: &Instance<P>) -> Result<Next, StoreError> {
    instance.metrics.store_calls.with_label_values(&["list"]).inc();
    let listing = timeout(LIST_TIMEOUT, instance.store.list(ALL)).await.map_err(|_| StoreError::Silent)??;
    instance.mark_answered();
    instance.take_listing(listing, "list");
    instance.mark_current(Duration::ZERO);
    Ok(Next::Watch)
}

/// Waits for changes. A watch says nothing while nothing changes, so it is
/// begun anew where the store was lost meanwhile.
async fn watch<P: Platform>(instance: &Instance<P>) -> Result<Next, StoreError> {
    instance.metrics.store_calls.with_label_values(&["watch"]).inc();
    instance.watching.set(true);
    let after = instance.view.borrow().at();
    let answer = tokio::select! {
        answer = instance.store.watch(ALL, after, WAIT) => answer,
        () = instance.store_back.notified() => return Ok(Next::Watch),
    };
    instance.watching.set(false);
    let answer = answer?;
    instance.mark_answered();
    match answer {
        Watched::HistoryGone => Ok(Next::List),
        Watched::Events { events, at } => {
            instance.take_events(events, at, "watch");
            instance.mark_current(Duration::ZERO);
            sleep(PAUSE).await;
            Ok(Next::Watch)
        }
    }
}
