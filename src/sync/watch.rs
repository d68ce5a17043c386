//! The task that loads the initial view and keeps it current: through the hall's relay, or by its
//! own watch on all keys. It lists the store if the store's history is compacted, a later era of
//! the store becomes known ([`crate::store::era`]), a response is behind what was seen of the store
//! ([`crate::store::history`]), or two watches in a row deliver nothing of a change that a read has shown.
//!
//! Owns the order of these calls and the backoff between them. Relies on [`super::start`] for the
//! initial view, on [`super::relay`] for the relay to follow, and on [`super::confirm`] to detect a
//! lost watch.

use crate::clock::{Instant, sleep, sleep_until, timeout};
use crate::platform::Platform;
use crate::state::Instance;
use crate::store::era::Position;
use crate::store::freshness::Proof;
use crate::store::{Event, Listing, Store, StoreError, WatchResponse};
use crate::sync::backoff::Backoff;
use crate::sync::confirm::{self, LostWatch};
use crate::sync::relay::RelayClient;
use crate::sync::start::{InitialView, fetch_initial_view};
use crate::sync::{ALL_KEYS, RECEIVING_POLL_INTERVAL, is_behind};
use std::rc::Rc;
use std::time::Duration;

/// Maximum wait of one watch: the store allows 30 s; a shorter wait costs more calls.
const WATCH_WAIT: Duration = Duration::from_secs(20);
/// Pause before the next watch, so that a burst of changes costs one call: a fifth of the shortest
/// bound on lag (2 s). At 60 ms, 12 instances made 474 calls on a day with few changes, instead of
/// 229.
const WATCH_PAUSE: Duration = Duration::from_millis(400);
/// Number of changes in a response from which on the next watch starts without a pause. So many changes
/// share the cost of their call already, and more of them are probably waiting: a response holds some
/// 500 at most, and after the loss of a hall or the start of a fleet thousands arrive at once.
const MIN_BACKLOG: usize = 100;
/// Number of changes in a response from which on it may be a part of what the store has: a response holds
/// some 500 at most.
const MIN_PART: usize = 400;
/// Size of the values in a response, bytes, from which on it may be a part as well: the store puts some 1 MB
/// into a response.
const MIN_PART_SIZE: usize = 768 << 10;
/// Minimum time between lists that watches, reads or later eras ask for: short relative to the shortest bound on lag (2 s), so
/// that lists alone keep the view current if no watch works, and few calls for the store.
const LIST_INTERVAL: Duration = Duration::from_secs(1);
/// Timeout of a list with all its pages: ten times the transfer time of 3 MB over 10 Mbit/s. A store
/// that does not respond or stalls is detected by the store client's own timeouts for each page.
const LIST_TIMEOUT: Duration = Duration::from_secs(25);

/// The next call to the store.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Step {
    List,
    /// A list that is at least `LIST_INTERVAL` after the one before: responses may ask for one each time.
    ListAgain,
    Watch,
}

impl Step {
    /// The label of the call in metrics and log lines.
    fn as_str(self) -> &'static str {
        match self {
            Step::List | Step::ListAgain => "list",
            Step::Watch => "watch",
        }
    }
}

/// Keeps the view current until the process ends. Started again after a panic, it first applies what the
/// panic left unfinished.
pub async fn run<P: Platform>(instance: Rc<Instance<P>>) {
    instance.resume_update();
    let (seed, mut next) = match has_started_before(&instance) {
        true => (None, step_after_panic(&instance)),
        false => {
            let InitialView { seed, has_view } = fetch_initial_view(&instance).await;
            (seed, if has_view { Step::Watch } else { Step::List })
        }
    };
    let mut relays = RelayClient::with_seed(seed);
    let mut backoff = Backoff::default();
    let mut listed_at: Option<Instant> = None;
    let mut lost_after: Option<Position> = None;
    loop {
        if instance.store_copy.is_superseded() {
            next = Step::ListAgain;
        }
        // The members, and with them the relay, are unknown before the initial view.
        let has_view = instance.store_copy.view_age().is_some();
        if let Some(relay) = relays.select_relay(&instance).filter(|_| has_view) {
            relays.follow(&instance, relay).await;
            // If the store's history was compacted, the relay may have sent the changes that the view
            // lacked, so that no list is needed. Otherwise the next watch reports the compaction again.
            next = Step::Watch;
            continue;
        }
        // No relay is followed now, so what the previous one reported no longer applies.
        instance.store_copy.set_relay_receiving(false);
        if next == Step::ListAgain {
            sleep_until(listed_at.map_or_else(Instant::now, |listed| listed + LIST_INTERVAL)).await;
        }
        let result = match next {
            Step::List | Step::ListAgain => {
                listed_at = Some(Instant::now());
                list(&instance).await
            }
            Step::Watch => watch(&instance, relays.next_retry_at(), &mut lost_after).await,
        };
        match result {
            Ok(step) => {
                next = step;
                backoff.reset();
            }
            Err(error) => {
                relays.record_store_failure();
                instance.store_copy.record_failure(next.as_str(), &error);
                instance.metrics.store_failures.inc();
                sleep(backoff.next_delay()).await;
            }
        }
    }
}

/// Whether this task has ended before and left a view.
fn has_started_before<P: Platform>(instance: &Instance<P>) -> bool {
    instance.store_copy.view().position() != Position::default()
}

/// The store is listed anew after a panic. A view that was not proven yet is that of a start, at which a
/// whole fleet may panic at the same value: a list by each instance would be too much for the store, and
/// a watch proves the view as well.
fn step_after_panic<P: Platform>(instance: &Instance<P>) -> Step {
    if instance.store_copy.view_age().is_some() { Step::List } else { Step::Watch }
}

/// Lists all keys. The watch that follows returns the changes made during the list.
async fn list<P: Platform>(instance: &Instance<P>) -> Result<Step, StoreError> {
    instance.metrics.store_calls.with_label_values(&[Step::List.as_str()]).inc();
    let (sent_at, seen) = (Instant::now(), instance.store_copy.seen());
    let mut receiving = None;
    let on_response_start = || receiving = Some(instance.store_copy.begin_receiving());
    let listed = timeout(LIST_TIMEOUT, instance.store.list(ALL_KEYS, on_response_start)).await;
    let listing = listed.map_err(|_| StoreError::NoResponse)??;
    instance.store_copy.record_response();
    let listing = match is_behind(instance, Step::List.as_str(), seen, listing.at) {
        true => begin_rewind(instance, listing),
        false => listing,
    };
    let era = listing.at.era;
    instance.apply_listing(listing, "list");
    instance.store_copy.record_proof(Proof::List, sent_at.elapsed(), era);
    Ok(Step::Watch)
}

/// Attributes a list that is behind to a rewind of its era, so that it replaces the view; leaves it as it is
/// if a later era is known, in which it is rejected.
fn begin_rewind<P: Platform>(instance: &Instance<P>, listing: Listing) -> Listing {
    let Position { era, revision } = listing.at;
    let era = instance.store_copy.latest_era().begin_rewind(era).unwrap_or(era);
    Listing { at: Position { era, revision }, ..listing }
}

/// Watches the store and applies the changes in its response; ends early if a relay may be followed
/// again. A lost watch looks like one without changes, so the watch is restarted once a read shows a
/// change that it has not delivered, and once the store is reachable after an outage. It also ends once
/// a later era is known, in which the revision that it started from is not valid. `lost_after` is the position
/// of the last watch that was lost in the first way.
async fn watch<P: Platform>(
    instance: &Instance<P>,
    relay_retry_at: Option<Instant>,
    lost_after: &mut Option<Position>,
) -> Result<Step, StoreError> {
    instance.metrics.store_calls.with_label_values(&[Step::Watch.as_str()]).inc();
    let sent_at = Instant::now();
    let after = instance.store_copy.view().position();
    let mut receiving = None;
    let on_response_start = || receiving = Some(instance.store_copy.begin_receiving());
    let response = tokio::select! {
        biased;
        response = instance.store.watch(ALL_KEYS, after.revision, WATCH_WAIT, on_response_start) => response?,
        () = instance.store_copy.superseded() => return Ok(Step::ListAgain),
        () = wait_for_recovery(instance) => return Ok(Step::Watch),
        lost = confirm::wait_until_watch_is_lost(instance) => return Ok(step_after(lost, after, lost_after)),
        () = wait_for_relay(instance, relay_retry_at) => return Ok(Step::Watch),
    };
    instance.store_copy.record_response();
    match response {
        WatchResponse::Compacted => Ok(Step::ListAgain),
        WatchResponse::Events { events, at } => {
            if is_behind(instance, Step::Watch.as_str(), after, at) {
                return Ok(Step::ListAgain);
            }
            let (is_backlog, is_part) = (events.len() >= MIN_BACKLOG, may_be_part(&events));
            instance.apply_events(events, at, "watch");
            // The changes after a part were in the store already when the watch was sent.
            if !is_part {
                instance.store_copy.record_proof(Proof::Watch, sent_at.elapsed(), at.era);
            }
            if instance.store_copy.is_superseded() {
                return Ok(Step::ListAgain);
            }
            if is_backlog || is_part {
                return Ok(Step::Watch);
            }
            let elapsed = receiving.take().map_or(Duration::ZERO, |receiving| receiving.age());
            // The time in which a slow response was received counts as part of the pause, since changes
            // have accumulated meanwhile.
            sleep(WATCH_PAUSE.saturating_sub(elapsed)).await;
            Ok(Step::Watch)
        }
    }
}

/// Whether a response may be one of several that hold the changes up to the store's position: it does not
/// say so.
fn may_be_part(events: &[Event]) -> bool {
    let size: usize = events.iter().map(Event::value_size).sum();
    events.len() >= MIN_PART || size >= MIN_PART_SIZE
}

/// The step after the loss of a watch from the position `after`: a list if the watch before it was lost after
/// the same position, since watches then deliver nothing although reads are answered.
fn step_after(lost: LostWatch, after: Position, lost_after: &mut Option<Position>) -> Step {
    match lost {
        LostWatch::StoreBehind { .. } => Step::ListAgain,
        LostWatch::Behind { .. } if lost_after.replace(after) == Some(after) => Step::ListAgain,
        LostWatch::Behind { .. } | LostWatch::NoResponse => Step::Watch,
    }
}

/// Completes once the store is reachable after an outage, unless a response is being received: a
/// restart would discard the part already received, and a response broken by the outage fails by
/// itself.
async fn wait_for_recovery<P: Platform>(instance: &Instance<P>) {
    loop {
        instance.store_copy.reachable_again().await;
        if !instance.store_copy.is_receiving_directly() {
            return;
        }
    }
}

/// Completes at `relay_retry_at`, from which a relay may be followed again; if a response is being
/// received then, once it is complete. Never completes if `relay_retry_at` is `None`.
async fn wait_for_relay<P: Platform>(instance: &Instance<P>, relay_retry_at: Option<Instant>) {
    match relay_retry_at {
        Some(at) => sleep_until(at).await,
        None => std::future::pending().await,
    }
    while instance.store_copy.is_receiving_directly() {
        sleep(RECEIVING_POLL_INTERVAL).await;
    }
}
