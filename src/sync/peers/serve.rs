//! Answers to peers that ask for changes: a long poll.
//!
//! Owns the bound on its wait. Relies on the notifications of the view in
//! [`crate::state`].

use super::ChangeSet;
use crate::platform::Platform;
use crate::state::Instance;
use crate::store::health::MAX_VIEW_AGE;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// Longest time that a question waits for changes: above the 0.7 s for which relays are
/// asked; protects the instance that answers. Evidence: no run set it.
const MAX_WAIT: Duration = Duration::from_secs(5);

/// The answer to a peer, as soon as the view changes, is confirmed to be current or turns
/// stale, or once the wait that the peer asked for is over.
pub async fn serve_changes<P: Platform>(instance: &Instance<P>, query: &str) -> ChangeSet {
    let question = Question::parse(query);
    // A confirmation is passed on at once, so that it crosses each level of the relay
    // tree without another wait.
    let confirmed = instance.store_copy.confirmed();
    tokio::select! {
        _ = timeout(question.wait.min(MAX_WAIT), changed_after(instance, question.after)) => {}
        () = confirmed => {}
        // The peer then follows another relay.
        () = turns_stale(instance) => {}
    }
    ChangeSet::after(instance, question.after)
}

/// Waits until the view is beyond a revision.
async fn changed_after<P: Platform>(instance: &Instance<P>, revision: u64) {
    loop {
        let changed = instance.store_copy.changed();
        if instance.store_copy.view().at() > revision {
            return;
        }
        changed.await;
    }
}

/// Waits until the view is stale.
async fn turns_stale<P: Platform>(instance: &Instance<P>) {
    loop {
        let age = instance.store_copy.view_age().unwrap_or(MAX_VIEW_AGE);
        let fresh_for = MAX_VIEW_AGE.saturating_sub(age);
        if fresh_for.is_zero() {
            return;
        }
        sleep(fresh_for).await;
    }
}

/// What a peer asks for.
struct Question {
    /// The revision up to which it has the changes.
    after: u64,
    /// Longest time to wait for more.
    wait: Duration,
}

impl Question {
    /// Reads a query. A missing or broken number counts as 0 and is not logged: the
    /// answer is then the full view at once, which is correct for every peer.
    fn parse(query: &str) -> Self {
        let number = |name: &str| {
            let found = url::form_urlencoded::parse(query.as_bytes()).find(|(other, _)| other == name);
            found.and_then(|(_, value)| value.parse().ok()).unwrap_or(0)
        };
        Self { after: number("after"), wait: Duration::from_millis(number("wait_ms")) }
    }
}
