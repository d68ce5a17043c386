//! Eras of the store. A store that is restored from a snapshot has lost all later writes, issues the
//! same revisions and lease numbers again, and reports a later era in its responses. If it does not report
//! one, the first instance whose list is behind what it has seen ([`super::history`]) begins a *rewind* of
//! the era, which its peers learn as they learn an era. So does an instance to which the store reports an
//! earlier number than was known when the call was sent: since its responses are linearizable, the store
//! never had the later one, whoever named it.
//!
//! **Rule.** Revisions are comparable only within one era; a later era is ordered after all revisions
//! of an earlier one. Eras are ordered by their rewinds, and then by the number that the store reports.
//! Once an era is known, responses from earlier eras are rejected, whether they come from the store or
//! from a peer. A store response that reports no era is attributed to the one that was
//! known when its call was sent, and each response to the rewind that was known then.
//!
//! **Inputs**: the eras reported by the store and by peers, and rewinds found by instances; exact. Instances
//! that find the same rewind independently count it alike, as one more than they knew.
//!
//! **Why.** After a restore, an equal revision does not imply equal contents. An instance that
//! compared revisions alone would skip changes below the revision of its view, and would accept a
//! list of the restored store as proof of its old view.
//!
//! **Guards** the promises that changes made after a restore take effect, that a response from
//! before the restore does not prove a view current, and that no peer's word alone keeps an instance from
//! following the store.
//!
//! **Test**: `tests/eras.rs`, `tests/freshness_model.rs`, `standins/tests/restored_store.rs`,
//! `standins/tests/unmarked_restores.rs`.
//!
//! Owns the latest known era. Relies on the store's client and on [`crate::sync`] to report each era
//! they receive.

use crate::clock::Instant;
use crate::store::StoreError;
use serde::{Deserialize, Serialize};
use std::cell::Cell;
use std::fmt;
use tokio::sync::Notify;

/// An era, ordered by its rewinds and then by its number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Era {
    /// How often the store's history was found not to be the one that its number stood for.
    pub rewinds: Rewinds,
    /// The number that the store reports; 0 while it has reported none.
    pub number: u64,
}

/// A number of rewinds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Rewinds(u32);

impl Rewinds {
    /// Maximum by which a peer's number is believed to be ahead: more than a store has while a fleet runs,
    /// and far from the end of the type, beyond which no rewind could begin.
    const MAX_STEP: u32 = 1 << 16;

    /// Whether none was found.
    pub fn is_none(&self) -> bool {
        self.0 == 0
    }

    /// Whether a peer that has found `self` is believed by an instance that has found `known`.
    fn is_plausible(self, known: Self) -> bool {
        self.0 <= known.0.saturating_add(Self::MAX_STEP)
    }

    fn next(self) -> Self {
        Self(self.0.saturating_add(1))
    }
}

impl From<u32> for Rewinds {
    fn from(count: u32) -> Self {
        Self(count)
    }
}

impl From<Rewinds> for u32 {
    fn from(rewinds: Rewinds) -> Self {
        rewinds.0
    }
}

impl fmt::Display for Rewinds {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

impl Era {
    /// Whether the store has reported no era, and no rewind was found.
    pub fn is_unknown(&self) -> bool {
        *self == Era::default()
    }
}

/// The first history of an era.
impl From<u64> for Era {
    fn from(number: u64) -> Self {
        Self { rewinds: Rewinds::default(), number }
    }
}

/// A position in the history of the store, ordered by era and then by revision.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Position {
    /// The era; unknown (0) if the store reports none.
    pub era: Era,
    /// The revision within the era.
    pub revision: u64,
}

/// A revision of a store that reports no era.
impl From<u64> for Position {
    fn from(revision: u64) -> Self {
        Self { era: Era::default(), revision }
    }
}

/// The latest era known to this instance.
#[derive(Debug, Default)]
pub struct LatestEra {
    era: Cell<Era>,
    observed_at: Cell<Option<Instant>>,
    advanced: Notify,
}

impl LatestEra {
    /// The latest known era; 0 if none is known.
    pub fn get(&self) -> Era {
        self.era.get()
    }

    /// When it was first observed; `None` if no era is known.
    pub fn observed_at(&self) -> Option<Instant> {
        self.observed_at.get()
    }

    /// Records an era. An era that is not later than the latest known one is ignored.
    pub fn observe(&self, era: Era) {
        let before = self.era.get();
        if era <= before {
            return;
        }
        self.era.set(era);
        self.observed_at.set(Some(Instant::now()));
        let Era { number, rewinds } = era;
        tracing::info!(event = "store_era", era = number, before = before.number, rewinds = u32::from(rewinds));
        self.advanced.notify_waiters();
    }

    /// Records an era that a peer names. Returns whether it is believed: one with more rewinds than a store
    /// can have is not.
    pub fn observe_peer(&self, era: Era) -> bool {
        let is_plausible = era.rewinds.is_plausible(self.era.get().rewinds);
        if is_plausible {
            self.observe(era);
        }
        is_plausible
    }

    /// Begins a rewind of `era`, and returns it; `None` if a later era is known already.
    pub fn begin_rewind(&self, era: Era) -> Option<Era> {
        self.rewind_to(era, era.number)
    }

    /// Begins a rewind of `era` in which the store reports `number`; `None` if a later era is known already.
    fn rewind_to(&self, era: Era, number: u64) -> Option<Era> {
        if self.era.get() != era {
            return None;
        }
        let rewound = Era { rewinds: era.rewinds.next(), number };
        self.observe(rewound);
        Some(rewound)
    }

    /// Records the number that a response of the store reports, and returns the era of the response.
    /// `sent_in` is the latest era known when its call was sent: that of the response if it reports no number.
    ///
    /// # Errors
    /// [`StoreError::EarlierEra`] if a later era is known.
    pub fn check_response(&self, reported: Option<u64>, sent_in: Era) -> Result<Era, StoreError> {
        let number = reported.unwrap_or(sent_in.number);
        if number < sent_in.number {
            return self.rewind_to(sent_in, number).ok_or(StoreError::EarlierEra);
        }
        self.check_stale_response(reported, sent_in)
    }

    /// The same for a read that may be stale, which says nothing about eras after its own.
    ///
    /// # Errors
    /// As [`Self::check_response`].
    pub fn check_stale_response(&self, reported: Option<u64>, sent_in: Era) -> Result<Era, StoreError> {
        let era = Era { number: reported.unwrap_or(sent_in.number), ..sent_in };
        self.observe(era);
        if era < self.era.get() { Err(StoreError::EarlierEra) } else { Ok(era) }
    }

    /// Completes once a later era than `era` is known.
    pub async fn advanced_past(&self, era: Era) {
        loop {
            let advanced = self.advanced.notified();
            if self.era.get() > era {
                return;
            }
            advanced.await;
        }
    }
}
