//! Eras of the store. A store that is restored from a snapshot has lost all later writes, issues the
//! same revisions and lease numbers again, and reports a later era in its responses. If it does not report
//! one, the first instance whose list is behind what it has seen ([`super::history`]) begins a *rewind* of
//! the era, which its peers learn as they learn an era.
//!
//! **Rule.** Revisions are comparable only within one era; a later era is ordered after all revisions
//! of an earlier one. Once an era is known, responses from earlier eras are rejected, whether they come
//! from the store or from a peer. A store response that reports no era is attributed to the one that was
//! known when its call was sent, and each response to the rewind that was known then.
//!
//! **Inputs**: the eras reported by the store and by peers, and rewinds found by instances; exact. Instances
//! that find the same rewind independently count it alike, as one more than they knew.
//!
//! **Why.** After a restore, an equal revision does not imply equal contents. An instance that
//! compared revisions alone would skip changes below the revision of its view, and would accept a
//! list of the restored store as proof of its old view.
//!
//! **Guards** the promises that changes made after a restore take effect, and that a response from
//! before the restore does not prove a view current.
//!
//! **Test**: `tests/eras.rs`, `tests/freshness_model.rs`, `standins/tests/restored_store.rs`.
//!
//! Owns the latest known era. Relies on the store's client and on [`crate::sync`] to report each era
//! they receive.

use crate::clock::Instant;
use crate::store::StoreError;
use std::cell::Cell;
use tokio::sync::Notify;

/// An era, ordered by its number and then by its rewinds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Era {
    /// The number that the store reports; 0 while it has reported none.
    pub number: u64,
    /// How often the store's history was found to be another one under the same number.
    pub rewinds: u32,
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
        Self { number, rewinds: 0 }
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
        tracing::info!(event = "store_era", era = number, before = before.number, rewinds);
        self.advanced.notify_waiters();
    }

    /// Begins a rewind of `era`, and returns it; `None` if a later era is known already.
    pub fn begin_rewind(&self, era: Era) -> Option<Era> {
        if self.era.get() != era {
            return None;
        }
        let rewound = Era { rewinds: era.rewinds.saturating_add(1), ..era };
        self.observe(rewound);
        Some(rewound)
    }

    /// Records the number that a response of the store reports, and returns the era of the response.
    /// `sent_in` is the latest era known when its call was sent: that of the response if it reports no number.
    ///
    /// # Errors
    /// [`StoreError::EarlierEra`] if a later era is known.
    pub fn check_response(&self, reported: Option<u64>, sent_in: Era) -> Result<Era, StoreError> {
        let era = reported.filter(|number| *number != sent_in.number).map_or(sent_in, Era::from);
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
