//! Confirms that the view is current while a watch waits.
//!
//! **Rule.** A read returns the store's position. A view that has reached this position was current
//! when the read was sent. If the watch does not deliver the changes up to this position within
//! `DELIVERY_TIMEOUT`, it is lost. If the position is behind one that was seen before the read was sent, the
//! view is of another history ([`crate::store::history`]): nothing is proven, and the store is listed.
//!
//! **Inputs**
//! - The store's position, from a separate read; at most as old as the time since it was sent.
//! - The position and the age of the view; exact.
//! - Whether a response with changes is being received by this instance; exact.
//!
//! **Why.** A watch that waits for changes cannot be told from one whose connection is dead, whose
//! response was lost, or whose request was lost in an outage. A response on another connection shows
//! that the store responds, but not that the watch still exists. The store's position is the same on
//! each connection. Without this rule a lost watch hid changes for 23 s from a view that was taken to
//! be 0.5 s old.
//!
//! **Guards** the promise that the computed age of the view is never below its true age, and bounds
//! the time for which a lost watch hides a change: `CONFIRM_AGE`, a round trip to the store and
//! `DELIVERY_TIMEOUT`, together 1.3 s; if the read is lost as well, a call's timeout and a backoff add
//! another second.
//!
//! **Test**: `tests/freshness_model.rs`, `standins/tests/silent_connections.rs`.
//!
//! Owns no state. Relies on [`super::watch`] to run it concurrently with a watch, and to restart a
//! lost one.

use crate::clock::{Instant, sleep};
use crate::platform::Platform;
use crate::state::Instance;
use crate::store::era::Position;
use crate::store::freshness::{MAX_VIEW_AGE, Proof};
use crate::store::{Store, StoreError};
use crate::sync::backoff::Backoff;
use crate::sync::call::call;
use crate::sync::{RECEIVING_POLL_INTERVAL, is_behind};
use std::time::Duration;

/// Age of the view at which the store's position is read: together with a call between regions (about
/// 80 ms) well below the age from which a view is stale. If changes arrive more often, no reads are
/// needed.
const CONFIRM_AGE: Duration = Duration::from_millis(800);
/// Time within which a watch has to deliver a change that a read has shown: several times the
/// latency between regions (35 ms), and more than the response time of a slow store (0.24 s). If it is
/// too short, a working watch is restarted, which costs a call; if it is too long, a lost watch delays
/// changes.
const DELIVERY_TIMEOUT: Duration = Duration::from_millis(300);
/// Time from the start of a watch to the first read: if the store changes often, the watch proves
/// the view current without a read.
const INITIAL_DELAY: Duration = Duration::from_millis(150);
/// Delay before a read while the store is lost: lease renewals show sooner that it responds again,
/// but an instance that starts or stops makes none.
const LOST_STORE_DELAY: Duration = Duration::from_millis(1_500);

/// Label of a read of the store's position.
const READ: &str = "revision";

// A view that every read confirms does not turn stale between two reads.
const _: () = assert!(MAX_VIEW_AGE.as_millis() > CONFIRM_AGE.as_millis() + DELIVERY_TIMEOUT.as_millis());

/// Why a watch has to be restarted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LostWatch {
    /// The store is behind what was seen of it: the view belongs to another history.
    StoreBehind {
        /// The store's position.
        at: Position,
    },
    /// The watch has not delivered all changes.
    Behind {
        /// The store's position, later than that delivered by the watch.
        at: Position,
    },
    /// A read got no response: connections may be dead, and the watch has delivered nothing since.
    NoResponse,
}

/// Confirms the view whenever it is `CONFIRM_AGE` old; completes once the concurrent watch has to be
/// restarted, and returns why.
pub async fn wait_until_watch_is_lost<P: Platform>(instance: &Instance<P>) -> LostWatch {
    let started_at = Instant::now();
    let lost = detect_lost_watch(instance).await;
    let (waited_ms, after) = (started_at.elapsed().as_millis() as u64, instance.store_copy.view().position().revision);
    match lost {
        LostWatch::StoreBehind { at: Position { era, revision } } => {
            let era = era.number;
            tracing::warn!(event = "watch_lost", reason = "store-behind", waited_ms, after, revision, era);
        }
        LostWatch::Behind { at: Position { era, revision } } => {
            tracing::warn!(event = "watch_lost", reason = "behind", waited_ms, after, revision, era = era.number);
        }
        LostWatch::NoResponse => tracing::info!(event = "watch_lost", reason = "unanswered", waited_ms, after),
    }
    lost
}

async fn detect_lost_watch<P: Platform>(instance: &Instance<P>) -> LostWatch {
    let copy = &instance.store_copy;
    let mut backoff = Backoff::default();
    let mut had_no_response = false;
    sleep(INITIAL_DELAY).await;
    loop {
        sleep(CONFIRM_AGE.saturating_sub(copy.view_age().unwrap_or(CONFIRM_AGE))).await;
        // While a response is being received, a read shows neither that the watch is lost nor that it
        // works.
        if copy.is_receiving_directly() {
            sleep(RECEIVING_POLL_INTERVAL).await;
            continue;
        }
        if copy.is_store_lost() {
            sleep(LOST_STORE_DELAY).await;
        }
        let (sent_at, seen) = (Instant::now(), copy.seen());
        match call(instance, READ, instance.store.position()).await {
            Ok(at) if is_behind(instance, READ, seen, at) => return LostWatch::StoreBehind { at },
            Ok(at) if !confirm(instance, at, sent_at).await => return LostWatch::Behind { at },
            Ok(_) if had_no_response => return LostWatch::NoResponse,
            Ok(_) => backoff.reset(),
            // `call` has counted and logged the failure.
            Err(error) => {
                had_no_response |= error == StoreError::NoResponse;
                sleep(backoff.next_delay()).await;
            }
        }
    }
}

/// Whether the view has reached the store's position, or a response that is being received may still
/// contain the missing changes; records the proof in the first case.
async fn confirm<P: Platform>(instance: &Instance<P>, at: Position, sent_at: Instant) -> bool {
    let copy = &instance.store_copy;
    if copy.view().position() < at {
        sleep(DELIVERY_TIMEOUT).await;
    }
    if copy.view().position() < at {
        return copy.is_receiving_directly();
    }
    copy.record_proof(Proof::Read, sent_at.elapsed(), at.era);
    true
}
