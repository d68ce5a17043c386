//! The task that keeps the view current, from the first one on: through the hall's relay, or by a watch of its
//! own over all keys, and a list where the store's history is compacted or a later era of the store
//! becomes known ([`crate::store::era`]).
//!
//! Owns the order of these calls and the backoff between them. Relies on
//! [`super::start`] for the first view, on [`super::relay`] for whether there is a relay to follow, and on [`super::confirm`] for
//! whether a watch that waits still stands.

use crate::clock::{Instant, sleep, sleep_until, timeout};
use crate::platform::Platform;
use crate::state::Instance;
use crate::store::freshness::Proof;
use crate::store::{Store, StoreError, Watched};
use crate::sync::backoff::Backoff;
use crate::sync::confirm;
use crate::sync::relay::RelayClient;
use crate::sync::start::{InitialView, fetch_initial_view};
use crate::sync::{ALL_KEYS, RECEIVING_POLL_INTERVAL};
use std::rc::Rc;
use std::time::Duration;

/// Longest time that one watch waits: the store allows 30 s, a shorter wait costs more calls.
const WATCH_WAIT: Duration = Duration::from_secs(20);
/// Pause before the next watch, so that a burst of changes costs one call: a fifth of the
/// shortest bound on lag (2 s). At 60 ms the calls of a quiet day of 12 instances were 474
/// in place of 229.
const WATCH_PAUSE: Duration = Duration::from_millis(400);
/// Longest time for a list of all pages: ten times that of 3 MB over 10 Mbit/s. A store that is
/// silent or stalls is noticed by the client's own limits on each page.
const LIST_TIMEOUT: Duration = Duration::from_secs(25);

/// The next call to the store.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Step {
    List,
    Watch,
}

impl Step {
    /// Its name in metrics and log.
    fn as_str(self) -> &'static str {
        match self {
            Step::List => "list",
            Step::Watch => "watch",
        }
    }
}

/// Runs until the process ends.
pub async fn run<P: Platform>(instance: Rc<Instance<P>>) {
    let InitialView { seed, has_view } = fetch_initial_view(&instance).await;
    let mut relays = RelayClient::with_seed(seed);
    let mut next = if has_view { Step::Watch } else { Step::List };
    let mut backoff = Backoff::default();
    loop {
        if instance.store_copy.is_superseded() {
            next = Step::List;
        }
        // Whom to follow is known with a first view.
        let has_view = instance.store_copy.view_age().is_some();
        if let Some(relay) = relays.select_relay(&instance).filter(|_| has_view) {
            relays.follow(&instance, relay).await;
            // The relay's changes may be newer than those of the last list or watch.
            next = Step::Watch;
            continue;
        }
        // What the last relay said of itself holds no longer.
        instance.store_copy.set_relay_receiving(false);
        let result = match next {
            Step::List => list(&instance).await,
            Step::Watch => watch(&instance, relays.next_retry_at()).await,
        };
        match result {
            Ok(then) => {
                next = then;
                backoff.reset();
            }
            Err(error) => {
                relays.record_store_failure();
                instance.store_copy.mark_failed(next.as_str(), &error);
                instance.metrics.store_failures.inc();
                sleep(backoff.next_delay()).await;
            }
        }
    }
}

/// Lists all keys. Changes since its begin are for the watch that follows.
async fn list<P: Platform>(instance: &Instance<P>) -> Result<Step, StoreError> {
    instance.metrics.store_calls.with_label_values(&[Step::List.as_str()]).inc();
    let requested_at = Instant::now();
    let mut receipt = None;
    let begin = || receipt = Some(instance.store_copy.begin_receipt());
    let listed = timeout(LIST_TIMEOUT, instance.store.list(ALL_KEYS, begin)).await;
    let listing = listed.map_err(|_| StoreError::Silent)??;
    instance.store_copy.mark_answered();
    let era = listing.at.era;
    instance.take_listing(listing, "list");
    instance.store_copy.mark_current(Proof::List, requested_at.elapsed(), era);
    Ok(Step::Watch)
}

/// Waits for changes, until a relay may be followed again. A watch that is lost looks like a
/// quiet one, so it is begun anew once a read shows a change that it has not brought, and
/// once the store is reachable after an outage. It ends once a later era is known, since
/// its revision is not valid in that era.
async fn watch<P: Platform>(instance: &Instance<P>, relay_retry_at: Option<Instant>) -> Result<Step, StoreError> {
    instance.metrics.store_calls.with_label_values(&[Step::Watch.as_str()]).inc();
    let requested_at = Instant::now();
    let after = instance.store_copy.view().at().revision;
    let mut receipt = None;
    let begin = || receipt = Some(instance.store_copy.begin_receipt());
    let answer = tokio::select! {
        biased;
        answer = instance.store.watch(ALL_KEYS, after, WATCH_WAIT, begin) => answer?,
        () = instance.store_copy.superseded() => return Ok(Step::List),
        () = wait_for_recovery(instance) => return Ok(Step::Watch),
        () = confirm::wait_until_watch_is_lost(instance) => return Ok(Step::Watch),
        () = wait_for_relay(instance, relay_retry_at) => return Ok(Step::Watch),
    };
    instance.store_copy.mark_answered();
    match answer {
        Watched::HistoryGone => Ok(Step::List),
        Watched::Events { events, at } => {
            instance.take_events(events, at, "watch");
            instance.store_copy.mark_current(Proof::Watch, requested_at.elapsed(), at.era);
            if instance.store_copy.is_superseded() {
                return Ok(Step::List);
            }
            let took = receipt.take().map_or(Duration::ZERO, |receipt| receipt.age());
            // A slow answer has gathered changes meanwhile.
            sleep(WATCH_PAUSE.saturating_sub(took)).await;
            Ok(Step::Watch)
        }
    }
}

/// Completes once the store is reachable after an outage, unless an answer is under way: it
/// would be begun anew from its first byte, and one that the outage broke ends by itself.
async fn wait_for_recovery<P: Platform>(instance: &Instance<P>) {
    loop {
        instance.store_copy.reachable_again().await;
        if !instance.store_copy.has_receipt() {
            return;
        }
    }
}

/// Completes at the time at which a relay may be followed again, or after the answer that is
/// under way then; never where there is no such time.
async fn wait_for_relay<P: Platform>(instance: &Instance<P>, relay_retry_at: Option<Instant>) {
    match relay_retry_at {
        Some(at) => sleep_until(at).await,
        None => std::future::pending().await,
    }
    while instance.store_copy.has_receipt() {
        sleep(RECEIVING_POLL_INTERVAL).await;
    }
}
