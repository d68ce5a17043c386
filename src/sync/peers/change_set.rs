//! The wire format of store changes between peers: JSON, and its conversion from and to events of the
//! store.
//!
//! Owns the JSON names, which must stay: instances of two versions run side by side during an update.
//! Relies on the shared state to apply changes.

use crate::model::checked::{MessageAge, Milliseconds};
use crate::platform::Platform;
use crate::state::Instance;
use crate::store::era::{Era, Position, Rewinds};
use crate::store::freshness::Proof;
use crate::store::{Event, Item, Listing};
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::time::Duration;
use thiserror::Error;

/// Maximum number of changes that a store makes between the first and the last page of a list: beyond it a
/// revision in a full view is none that the store has reached.
const MAX_LIST_CHANGES: u64 = 1_000_000;

/// Why the changes of a peer are not applied.
#[derive(Debug, Error)]
pub enum ChangeError {
    /// A value cannot be decoded.
    #[error("the value of {key} at revision {revision} is not base64: {source}; check the peer's version")]
    Value {
        /// The key of the value.
        key: String,
        /// The revision of the change.
        revision: u64,
        /// The cause.
        source: base64::DecodeError,
    },
    /// The peer names an era that the store cannot have.
    #[error("the peer has found {rewinds} rewinds of the store, more than a store has; check the peer's version")]
    Era {
        /// Rewinds that the peer names.
        rewinds: Rewinds,
    },
}

/// A change of one key.
#[derive(Debug, Serialize, Deserialize)]
struct WireChange {
    key: String,
    revision: u64,
    /// Base64; absent if the key was deleted.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    value: Option<String>,
}

impl From<&Event> for WireChange {
    fn from(event: &Event) -> Self {
        let value = match event {
            Event::Put(item) => Some(STANDARD.encode(&item.value)),
            Event::Delete { .. } => None,
        };
        Self { key: event.key().to_owned(), revision: event.revision(), value }
    }
}

impl TryFrom<WireChange> for Event {
    type Error = ChangeError;

    fn try_from(change: WireChange) -> Result<Self, ChangeError> {
        let WireChange { key, revision, value } = change;
        let Some(text) = value else { return Ok(Event::Delete { key, revision }) };
        match STANDARD.decode(text) {
            Ok(value) => Ok(Event::Put(Item { key, value: Bytes::from(value), revision })),
            Err(source) => Err(ChangeError::Value { key, revision, source }),
        }
    }
}

/// The position up to which the requesting peer has the changes, as given in its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerPosition {
    /// The revision; 0 if the peer has no view.
    pub revision: u64,
    /// The era of the revision; `None` if the request gives none, as from a peer of an older version.
    /// A revision other than 0 then counts as one of the serving instance's era.
    pub era: Option<Era>,
}

/// The changes after a position, as sent to a peer.
#[derive(Debug, Serialize, Deserialize)]
pub struct ChangeSet {
    /// The revision up to which the sender's view is complete.
    #[serde(rename = "at")]
    revision: u64,
    /// Number of the era of the store to which all revisions belong; absent if the store reports none,
    /// and from a sender of an older version.
    #[serde(rename = "era", default, skip_serializing_if = "is_zero")]
    era_number: u64,
    /// Rewinds of that era; absent if none were found, and from a sender of an older version.
    #[serde(default, skip_serializing_if = "Rewinds::is_none")]
    rewinds: Rewinds,
    /// Milliseconds since the sender's view was last proven current; absent if it never was.
    #[serde(rename = "age_ms", default, skip_serializing_if = "Option::is_none")]
    view_age_ms: Option<u64>,
    /// Milliseconds since the sender saw the store recover from an outage; absent if it saw none.
    #[serde(rename = "returned_ms", default, skip_serializing_if = "Option::is_none")]
    recovery_age_ms: Option<u64>,
    /// Whether the events are all items of the view rather than changes.
    #[serde(rename = "whole")]
    is_full: bool,
    events: Vec<WireChange>,
    /// Time since the ages were computed, as measured by the receiver.
    #[serde(skip)]
    delay: Duration,
}

impl ChangeSet {
    /// The changes of an instance's view after a peer's position; the full view if those changes are
    /// no longer kept or the peer's position is of an earlier era. A peer with a later era gets no
    /// events, since it rejects those of an earlier one.
    pub fn after<P: Platform>(instance: &Instance<P>, after: PeerPosition) -> Self {
        let view = instance.store_copy.view();
        let Position { era, revision } = view.position();
        // A peer without a view ignores changes, since they belong to another era than its empty view.
        // Only a full view moves it to this era.
        let needs_full_view = after.revision == 0 && !era.is_unknown();
        let is_same_era = after.era.map_or(!needs_full_view, |after| after == era);
        let (is_full, events) = match view.changes_after(after.revision).filter(|_| is_same_era) {
            Some(events) => (false, events.map(WireChange::from).collect()),
            None if after.era > Some(era) => (false, Vec::new()),
            None => (true, view.items().map(|item| WireChange::from(&Event::Put(item.clone()))).collect()),
        };
        Self {
            revision,
            era_number: era.number,
            rewinds: era.rewinds,
            view_age_ms: instance.store_copy.view_age().map(milliseconds),
            recovery_age_ms: instance.store_copy.recovery_age().map(milliseconds),
            is_full,
            events,
            delay: Duration::ZERO,
        }
    }

    /// The JSON body of a response.
    pub fn to_json(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("changes are plain strings")
    }

    /// The same changes, received `delay` after their ages were computed.
    pub fn with_delay(self, delay: Duration) -> Self {
        Self { delay, ..self }
    }

    /// The position of the sender's view.
    pub fn position(&self) -> Position {
        Position { era: Era { number: self.era_number, rewinds: self.rewinds }, revision: self.revision }
    }

    /// Age of the sender's view when the sender computed it; `None` if it was never proven current.
    pub fn reported_age(&self) -> Option<Duration> {
        self.view_age_ms.and_then(checked_age)
    }

    /// Time since the sender's view was last proven current; `None` if it never was.
    pub fn view_age(&self) -> Option<Duration> {
        self.reported_age().map(|age| age + self.delay)
    }

    /// Applies the changes to an instance's view, and records the age of the sender's view as proof
    /// that it was current, unless the sender's view is behind. Older changes, and changes and proofs from
    /// an earlier era, are ignored. A change counts as made at the sender's position at the latest: a later
    /// revision would hide all further changes of its key. `source` names the sender in log lines.
    ///
    /// # Errors
    /// [`ChangeError`] if a change cannot be decoded or the era is not believed. No change is applied then,
    /// but the sender's latest era and a recovery of the store that it saw are recorded all the same.
    pub fn apply<P: Platform>(
        self,
        instance: &Instance<P>,
        source: &'static str,
        proof: Proof,
    ) -> Result<(), ChangeError> {
        let (at, age) = (self.position(), self.view_age());
        if !instance.store_copy.latest_era().observe_peer(at.era) {
            return Err(ChangeError::Era { rewinds: at.era.rewinds });
        }
        if let Some(age) = self.recovery_age_ms.and_then(checked_age) {
            instance.store_copy.record_peer_recovery(age + self.delay);
        }
        // A full view may hold items from later pages of a list, which are beyond the sender's position.
        let max = if self.is_full { at.revision.saturating_add(MAX_LIST_CHANGES) } else { at.revision };
        let reached = |change: WireChange| match change.revision > max {
            true => WireChange { revision: at.revision, ..change },
            false => change,
        };
        let events = self.events.into_iter().map(reached).map(Event::try_from).collect::<Result<Vec<Event>, _>>()?;
        if self.is_full {
            let items = events.into_iter().filter_map(item).collect();
            instance.apply_listing(Listing { items, at }, source);
        } else {
            instance.apply_events(events, at, source);
        }
        // A sender that stays behind this view follows another history, or this view has a position that the
        // store never had.
        if let Some(age) = age.filter(|_| at >= instance.store_copy.view().position()) {
            instance.store_copy.record_proof(proof, age, at.era);
        }
        Ok(())
    }
}

fn is_zero(number: &u64) -> bool {
    *number == 0
}

fn milliseconds(age: Duration) -> u64 {
    u64::try_from(age.as_millis()).unwrap_or(u64::MAX)
}

/// An age in a message. One longer than a process runs counts as none: it proves nothing.
fn checked_age(milliseconds: u64) -> Option<Duration> {
    MessageAge::try_from(Milliseconds(milliseconds as f64)).ok().map(Duration::from)
}

/// The item of a put. A full view has no deletions: a key that is not among its items does not exist.
fn item(event: Event) -> Option<Item> {
    match event {
        Event::Put(item) => Some(item),
        Event::Delete { .. } => None,
    }
}
