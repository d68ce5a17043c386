//! Eras of the store. A store that is restored from a snapshot has lost all later writes, issues the
//! same revisions and lease numbers again, and reports a later era in its responses.
//!
//! **Rule.** Revisions are comparable only within one era; a later era is ordered after all revisions
//! of an earlier one. Once an era is known, responses from earlier eras are rejected, whether they come
//! from the store or from a peer. A store response that reports no era is attributed to the latest known
//! one.
//!
//! **Inputs**: the eras reported by the store and by peers; exact.
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
use serde::{Deserialize, Serialize};
use std::cell::Cell;
use tokio::sync::Notify;

/// Number of an era; 0 while the store has reported none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Era(pub u64);

impl Era {
    /// Whether the store has reported no era.
    pub fn is_unknown(&self) -> bool {
        *self == Era::default()
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
        tracing::info!(event = "store_era", era = era.0, before = before.0);
        self.advanced.notify_waiters();
    }

    /// Records the era that a response of the store reports, and returns the era of the response: the
    /// latest known one if it reports none.
    ///
    /// # Errors
    /// [`StoreError::EarlierEra`] if a later era is known.
    pub fn check_response(&self, reported: Option<Era>) -> Result<Era, StoreError> {
        let era = reported.unwrap_or(self.era.get());
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
