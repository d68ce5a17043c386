//! Freshness of the view: how long ago it was proven current, and by what.
//!
//! **Rule.** The view is current if it was proven current less than `MAX_VIEW_AGE` ago. The age
//! of a proof is counted from when its call was sent, not from when the response was read. A
//! proof covers only the contents of its own response, not those of another pending call.
//!
//! **Inputs**
//!
//! | proof | what it shows | age |
//! |---|---|---|
//! | list | the view equals the store at the revision of the first page | since the list was requested |
//! | watch | the same, at the revision of the response; nothing if the response may be a part of the changes ([`crate::sync::watch`]) | since the watch was sent |
//! | read | the view has reached the position that the store reports | since the read was sent ([`crate::sync::confirm`]) |
//! | relay, peer | the view equals the sender's | age of the sender's view plus the transfer time |
//!
//! Each proof covers all kinds of keys, since every source delivers them in one order of
//! positions. A response from an earlier era than the latest known one proves nothing
//! ([`super::era`]). A response that contains a refused value is still a proof; the value is logged
//! (`value_refused`).
//!
//! **Why.** Rules that must not act on stale state depend on it: those for targets in slow start,
//! for following a relay, and for the grace of registrations.
//!
//! **Guards** the promise that the computed age of the view is never below its true age.
//!
//! **Test**: `tests/freshness.rs`.
//!
//! Owns the latest proof. Relies on [`crate::state::StoreCopy`] to record proofs only from the
//! sources above.

use crate::clock::Instant;
use crate::store::era::Position;
use std::cell::Cell;
use std::time::Duration;

/// Age from which the view is stale: slightly more than the time between two reads that
/// confirm it, and less than the shortest bound on lag (2 s). A relay with an older view is
/// not followed, and targets in slow start get no requests.
pub const MAX_VIEW_AGE: Duration = Duration::from_millis(1_300);

/// The kind of evidence that the view was current.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Proof {
    /// A list of all keys.
    List,
    /// The response to a watch.
    Watch,
    /// A read of the store's position, which the view has reached.
    Read,
    /// A response of the relay.
    Relay,
    /// A response of a seed at the start, or of a random peer while the view is stale.
    Peer,
}

impl Proof {
    /// The name in the log.
    pub fn as_str(self) -> &'static str {
        match self {
            Proof::List => "list",
            Proof::Watch => "watch",
            Proof::Read => "read",
            Proof::Relay => "relay",
            Proof::Peer => "peer",
        }
    }
}

/// The latest proof, and when it showed the view to be current.
#[derive(Debug, Default)]
pub struct Freshness {
    proven: Cell<Option<(Instant, Proof)>>,
    /// Whether the last logged state was stale.
    logged_stale: Cell<bool>,
}

impl Freshness {
    /// Records a proof that the view was current `age` ago. A proof older than the latest
    /// is ignored.
    pub fn record_proof(&self, proof: Proof, age: Duration) {
        let Some(at) = Instant::now().checked_sub(age) else { return };
        if self.proven.get().is_none_or(|(last, _)| last < at) {
            self.proven.set(Some((at, proof)));
        }
    }

    /// Time since the view was last proven current; `None` if it never was.
    pub fn age(&self) -> Option<Duration> {
        self.proven.get().map(|(at, _)| at.elapsed())
    }

    /// The kind of the latest proof; `None` before the first.
    pub fn proof(&self) -> Option<Proof> {
        self.proven.get().map(|(_, proof)| proof)
    }

    /// Whether the view is current: younger than [`MAX_VIEW_AGE`].
    pub fn is_current(&self) -> bool {
        self.age().is_some_and(|age| age < MAX_VIEW_AGE)
    }

    /// Logs each change between current and stale once; `at` is the position of the view.
    /// Nothing is logged before the first proof.
    pub fn log_change(&self, at: Position) {
        let Some((proven, proof)) = self.proven.get() else { return };
        let is_stale = !self.is_current();
        if self.logged_stale.replace(is_stale) == is_stale {
            return;
        }
        let (age_ms, source) = (proven.elapsed().as_millis() as u64, proof.as_str());
        let Position { era, revision } = at;
        if is_stale {
            tracing::warn!(event = "view_stale", age_ms, source, revision, era = era.number);
        } else {
            tracing::info!(event = "view_current", age_ms, source, revision, era = era.number);
        }
    }
}
