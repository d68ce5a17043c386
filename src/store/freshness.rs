//! Freshness of the view: how old an instance's knowledge is, and what proved it.
//!
//! **Rule.** The view is current while it was proven so less than `MAX_VIEW_AGE` ago. A
//! proof is as old as its evidence: the time since the call was sent, never the time
//! at which its answer was read; and it speaks of what its own answer carried, never of
//! another call that waits.
//!
//! **Inputs**
//!
//! | proof | what it shows | its age |
//! |---|---|---|
//! | list | the view is the store at the revision of the first page | since the list was asked for |
//! | watch | the same, at the revision of the answer | since the watch was sent |
//! | read | the view has reached the position that the store reports | since the read was sent ([`crate::sync::confirm`]) |
//! | relay, peer | the view is the sender's | that of the sender's view, and the time on the way |
//!
//! Each proof covers all kinds of keys: every source carries them in one order of
//! positions. An answer from an earlier era than the latest known one proves nothing
//! ([`super::era`]). A single value that is refused is named in the log (`value_refused`).
//!
//! **Why.** Rules that must not act on old state ask here: targets in slow start, followers
//! of a relay, the grace of registrations.
//!
//! **Guards** the promise that a believed age is never below the true one.
//!
//! **Test**: `tests/freshness.rs`.
//!
//! Owns the last proof. Relies on [`crate::state::StoreCopy`] to take proofs only from the
//! places above.

use crate::clock::Instant;
use crate::store::era::Position;
use std::cell::Cell;
use std::time::Duration;

/// Age from which the view is stale: somewhat more than the time between two reads that
/// confirm it, and less than the shortest bound on lag (2 s). A relay with an older view is
/// not followed, and targets in slow start get nothing. Half and double change what
/// callers get by 2 in 1,000 at most.
pub const MAX_VIEW_AGE: Duration = Duration::from_millis(1_300);

/// What proved that the view was current.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Proof {
    /// A list of all keys.
    List,
    /// The answer of a watch.
    Watch,
    /// A read of the store's revision, which the view has.
    Read,
    /// A relay's answer.
    Relay,
    /// The answer of a peer that was asked during an outage.
    Peer,
}

impl Proof {
    /// Its name in the log.
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

/// The last proof, and when the view was current by it.
#[derive(Debug, Default)]
pub struct Freshness {
    proven: Cell<Option<(Instant, Proof)>>,
    /// Whether the log says that the view is stale.
    told_stale: Cell<bool>,
}

impl Freshness {
    /// Takes a proof that the view was current `age` ago. An older one than the last
    /// changes nothing.
    pub fn record_proof(&self, proof: Proof, age: Duration) {
        let Some(at) = Instant::now().checked_sub(age) else { return };
        if self.proven.get().is_none_or(|(last, _)| last < at) {
            self.proven.set(Some((at, proof)));
        }
    }

    /// Time since the view was last proven current; `None` where it never was.
    pub fn age(&self) -> Option<Duration> {
        self.proven.get().map(|(at, _)| at.elapsed())
    }

    /// What proved it last; `None` where nothing did.
    pub fn proof(&self) -> Option<Proof> {
        self.proven.get().map(|(_, proof)| proof)
    }

    /// Whether the view is current: younger than [`MAX_VIEW_AGE`].
    pub fn is_current(&self) -> bool {
        self.age().is_some_and(|age| age < MAX_VIEW_AGE)
    }

    /// Logs that the view has turned stale or is current again, once each; `at` is the position
    /// of the view. Nothing is logged before the first proof.
    pub fn log_change(&self, at: Position) {
        let Some((proven, proof)) = self.proven.get() else { return };
        let is_stale = !self.is_current();
        if self.told_stale.replace(is_stale) == is_stale {
            return;
        }
        let (age_ms, source) = (proven.elapsed().as_millis() as u64, proof.as_str());
        let Position { era, revision } = at;
        if is_stale {
            tracing::warn!(event = "view_stale", age_ms, source, revision, era = era.0);
        } else {
            tracing::info!(event = "view_current", age_ms, source, revision, era = era.0);
        }
    }
}
