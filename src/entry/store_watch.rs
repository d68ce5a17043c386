//! Keeps the view of the store up to date: one watch over all keys, and a
//! list where the history is gone.

use super::platform::{Platform, Store, StoreError, Watched};
use super::state::Entry;
use rand::Rng;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// The prefix of all keys.
const ALL: &str = "";
/// Longest time one watch waits.
const WAIT: Duration = Duration::from_secs(20);
/// Pause before the next watch, so that a burst of changes costs one call.
const PAUSE: Duration = Duration::from_millis(400);
/// Shortest and longest wait after a failed call, milliseconds.
const BACKOFF_MS: std::ops::Range<u64> = 150..450;
/// Longest wait for a list.
const LIST_TIMEOUT: Duration = Duration::from_secs(3);

/// Runs until the process ends.
pub async fn run<P: Platform>(entry: Rc<Entry<P>>) {
    let mut must_list = true;
    loop {
        let result = if must_list { list(&entry).await } else { watch(&entry).await };
        match result {
            Ok(next) => must_list = next == Next::List,
            Err(error) => {
                entry.missed_store(&error);
                entry.metrics.store_failures.inc();
                let wait = rand::rng().random_range(BACKOFF_MS);
                sleep(Duration::from_millis(wait)).await;
            }
        }
    }
}

#[derive(PartialEq, Eq)]
enum Next {
    List,
    Watch,
}

async fn list<P: Platform>(entry: &Entry<P>) -> Result<Next, StoreError> {
    entry.metrics.store_calls.with_label_values(&["list"]).inc();
    let listing = timeout(LIST_TIMEOUT, entry.store.list(ALL)).await.map_err(|_| StoreError::Silent)??;
    entry.heard_store();
    entry.take_listing(listing, "list");
    Ok(Next::Watch)
}

/// Waits for changes. A watch says nothing while nothing changes, so it is
/// begun anew where the store was lost meanwhile.
async fn watch<P: Platform>(entry: &Entry<P>) -> Result<Next, StoreError> {
    entry.metrics.store_calls.with_label_values(&["watch"]).inc();
    let after = entry.view.borrow().at();
    let answer = tokio::select! {
        answer = entry.store.watch(ALL, after, WAIT) => answer?,
        () = entry.store_back.notified() => return Ok(Next::Watch),
    };
    entry.heard_store();
    match answer {
        Watched::HistoryGone => Ok(Next::List),
        Watched::Events { events, at } => {
            entry.take_events(events, at, "watch");
            sleep(PAUSE).await;
            Ok(Next::Watch)
        }
    }
}
