//! Confirmation of the view while a watch waits.
//!
//! **Rule.** A read reports the store's position. A view that has reached it was current
//! when the read was sent; a watch that does not bring it within `DELIVERY_TIME` is lost.
//!
//! **Inputs**
//! - The store's position, by a read of its own; as old as the time since it was sent.
//! - The position and the age of the view; exact.
//! - Whether an answer with changes is under way to this instance; exact.
//!
//! **Why.** A watch that waits looks like one whose connection fell silent, whose answer was
//! lost or whose call an outage swallowed. An answer on another connection says that the
//! store answers, and nothing of the watch. The position is the same on each connection.
//! Without this rule a lost watch hid changes for 23 s from a view that was believed 0.5 s old.
//!
//! **Guards** the promise that a believed age is never below the true one, and bounds the
//! time for which a lost watch hides a change: `CONFIRM_AGE`, two ways to the store, and
//! `DELIVERY_TIME`, 1.3 s together, and a call's timeout and a backoff, another second, where
//! the read is lost as well.
//!
//! **Test**: `tests/freshness_model.rs`, `standins/tests/silent_connections.rs`.
//!
//! Owns nothing. Relies on [`super::watch`] to run it beside a watch, and to begin that anew.

use crate::clock::{Instant, sleep};
use crate::platform::Platform;
use crate::state::Instance;
use crate::store::era::Position;
use crate::store::freshness::{MAX_VIEW_AGE, Proof};
use crate::store::{Store, StoreError};
use crate::sync::RECEIVING_POLL_INTERVAL;
use crate::sync::backoff::Backoff;
use crate::sync::call::call;
use std::time::Duration;

/// Age of the view at which the store is asked: with a call between regions (some 80 ms) well below
/// that of a stale view. Changes that arrive more often spare the reads.
const CONFIRM_AGE: Duration = Duration::from_millis(800);
/// Time that a watch has to bring a change which a read has shown: several ways between regions (35
/// ms), and an answer of a slow store (0.24 s). Too short, it costs a call; too long,
/// it delays a change.
const DELIVERY_TIME: Duration = Duration::from_millis(300);
/// Time that a watch has to answer by itself before the store is asked beside it: one of a store
/// that changes often proves the view without a read.
const INITIAL_DELAY: Duration = Duration::from_millis(150);
/// Time before a read while the store is lost: renewals show sooner that it answers again, but an
/// instance that starts or stops makes none.
const LOST_STORE_DELAY: Duration = Duration::from_millis(1_500);

// A view that one read after the other confirms does not turn stale between two.
const _: () = assert!(MAX_VIEW_AGE.as_millis() > CONFIRM_AGE.as_millis() + DELIVERY_TIME.as_millis());

/// Why a watch is begun anew.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LostWatch {
    /// The store is at a later position than the watch has delivered.
    Behind { at: Position },
    /// A read got no answer: connections may have gone silent, and the watch has shown
    /// nothing since.
    NoResponse,
}

/// Confirms the view whenever it is `CONFIRM_AGE` old; completes once the watch beside it
/// has to be begun anew.
pub async fn wait_until_watch_is_lost<P: Platform>(instance: &Instance<P>) {
    let started_at = Instant::now();
    let lost = detect_lost_watch(instance).await;
    let (waited_ms, after) = (started_at.elapsed().as_millis() as u64, instance.store_copy.view().at().revision);
    match lost {
        LostWatch::Behind { at: Position { era, revision } } => {
            tracing::warn!(event = "watch_lost", reason = "behind", waited_ms, after, revision, era = era.0);
        }
        LostWatch::NoResponse => tracing::info!(event = "watch_lost", reason = "unanswered", waited_ms, after),
    }
}

async fn detect_lost_watch<P: Platform>(instance: &Instance<P>) -> LostWatch {
    let copy = &instance.store_copy;
    let mut backoff = Backoff::default();
    let mut had_no_response = false;
    sleep(INITIAL_DELAY).await;
    loop {
        sleep(CONFIRM_AGE.saturating_sub(copy.view_age().unwrap_or(CONFIRM_AGE))).await;
        // Meanwhile a read proves nothing.
        if copy.has_receipt() {
            sleep(RECEIVING_POLL_INTERVAL).await;
            continue;
        }
        if copy.is_lost() {
            sleep(LOST_STORE_DELAY).await;
        }
        let requested_at = Instant::now();
        match call(instance, "revision", instance.store.position()).await {
            Ok(at) if !confirm(instance, at, requested_at).await => return LostWatch::Behind { at },
            Ok(_) if had_no_response => return LostWatch::NoResponse,
            Ok(_) => backoff.reset(),
            // `call` has counted and logged the failure.
            Err(error) => {
                had_no_response |= error == StoreError::Silent;
                sleep(backoff.next_delay()).await;
            }
        }
    }
}

/// Whether the view has reached the store's position, or the watch may still deliver it.
async fn confirm<P: Platform>(instance: &Instance<P>, at: Position, requested_at: Instant) -> bool {
    let copy = &instance.store_copy;
    if copy.view().at() < at {
        sleep(DELIVERY_TIME).await;
    }
    if copy.view().at() < at {
        return copy.has_receipt();
    }
    copy.mark_current(Proof::Read, requested_at.elapsed(), at.era);
    true
}
