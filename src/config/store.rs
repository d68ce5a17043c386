//! Revisions in the platform's store.

use super::revision::{Document, Offer, Origin};
use crate::key_value::{Entry, Expect, KeyValue, KeyValueError};
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::time::Duration;
use thiserror::Error;

/// Prefix of the keys of revisions.
const PREFIX: &str = "config/";
/// Key of the hint where to look for the newest revision. Only a hint: it is
/// written after the commit and may lag or be lost.
const HINT: &str = "config-hint";
/// Revisions between two writes of the hint: readers step over the rest.
const HINT_EVERY: u64 = 8;
/// Most times that an apply waits for our own budget or the platform's rate.
const BUSY_TRIES: u32 = 12;
/// Tries to learn what became of a write whose reply was lost.
const RESOLVE_TRIES: u32 = 20;
/// Pause between such tries.
const RESOLVE_PAUSE: Duration = Duration::from_millis(250);

/// The key of a revision.
pub fn revision_key(revision: u64) -> String {
    format!("{PREFIX}{revision}")
}

/// What an apply did.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Applied {
    /// The revision that the declaration became.
    pub revision: u64,
}

/// Why a declaration was not applied.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum ApplyError {
    /// Another operator's change came first.
    #[error(
        "revision {found} by {by} came first; remedy: look at it with `lockloft diff`, then apply with --expect {found}"
    )]
    Conflict { found: u64, by: String },
    /// The platform cannot take writes now. Nothing was applied.
    #[error("not applied: {0}")]
    KeyValue(#[from] KeyValueError),
    /// A write was sent and its fate could not be learnt.
    #[error("revision {revision} may have been applied; remedy: run `lockloft history` and look for apply {id}")]
    Uncertain { revision: u64, id: String },
}

/// Reads one revision.
///
/// # Errors
/// Any error of the platform.
pub async fn fetch_revision<P: KeyValue>(platform: &P, revision: u64) -> Result<Option<Entry>, KeyValueError> {
    platform.get(&revision_key(revision)).await
}

/// The newest revision in the store, at or above `known`, which the caller
/// has already; `None` where the store shows nothing above it.
///
/// # Errors
/// Any error of the platform.
pub async fn fetch_newest<P: KeyValue>(platform: &P, known: u64) -> Result<Option<Offer>, KeyValueError> {
    let mut best = None;
    let mut shown = hint(platform).await?;
    if shown == 0 && known == 0 {
        shown = list_newest(platform).await?;
    }
    let mut next = known.max(shown.saturating_sub(1)) + 1;
    while let Some(entry) = fetch_revision(platform, next).await? {
        best = Some(Offer { origin: Origin::KeyValue, revision: next, value: entry.value });
        next += 1;
    }
    Ok(best)
}

/// The newest revision by the store's list of keys, for when the hint is
/// missing.
async fn list_newest<P: KeyValue>(platform: &P) -> Result<u64, KeyValueError> {
    let keys = platform.keys(PREFIX).await?;
    Ok(keys.iter().filter_map(|k| k.strip_prefix(PREFIX)?.parse().ok()).max().unwrap_or(0))
}

async fn hint<P: KeyValue>(platform: &P) -> Result<u64, KeyValueError> {
    let entry = platform.get(HINT).await?;
    Ok(entry.and_then(|e| std::str::from_utf8(&e.value).ok()?.parse().ok()).unwrap_or(0))
}

/// The newest revision that the store's hint names, 0 where there is none.
///
/// # Errors
/// Any error of the platform.
pub async fn store_shows<P: KeyValue>(platform: &P) -> Result<u64, KeyValueError> {
    hint(platform).await
}

/// Writes a checked document as the revision after `expect`.
///
/// The create of the write-once key is the commit: of two operators exactly
/// one wins. A lost reply is resolved by reading the key back and comparing
/// the apply's id.
///
/// # Errors
/// [`ApplyError`].
pub async fn apply<P: KeyValue>(platform: &P, document: &Document, expect: u64) -> Result<Applied, ApplyError> {
    let revision = expect + 1;
    let value = Bytes::from(serde_json::to_vec(document).expect("a document is plain data"));
    match create(platform, revision, value).await {
        Ok(()) => {}
        Err(KeyValueError::Conflict) | Err(KeyValueError::Silent) => resolve(platform, document, revision).await?,
        Err(error) => return Err(error.into()),
    }
    if revision.is_multiple_of(HINT_EVERY) {
        write_hint(platform, revision).await;
    }
    Ok(Applied { revision })
}

/// Creates the key, coming back when told that it is too early.
async fn create<P: KeyValue>(platform: &P, revision: u64, value: Bytes) -> Result<(), KeyValueError> {
    let mut tries = 0;
    loop {
        match platform.put(&revision_key(revision), value.clone(), Expect::Absent).await {
            Err(KeyValueError::Busy { after }) if tries < BUSY_TRIES => tokio::time::sleep(after).await,
            result => return result.map(|_| ()),
        }
        tries += 1;
    }
}

async fn resolve<P: KeyValue>(platform: &P, document: &Document, revision: u64) -> Result<(), ApplyError> {
    for _ in 0..RESOLVE_TRIES {
        match fetch_revision(platform, revision).await {
            Ok(Some(entry)) => return judge(document, revision, &entry),
            Ok(None) => {
                // The write may still be on its way: writing the same once
                // more is safe, since only one create can win.
                let value = Bytes::from(serde_json::to_vec(document).expect("a document is plain data"));
                if platform.put(&revision_key(revision), value, Expect::Absent).await.is_ok() {
                    return Ok(());
                }
            }
            Err(_) => {}
        }
        tokio::time::sleep(RESOLVE_PAUSE).await;
    }
    Err(ApplyError::Uncertain { revision, id: document.id.clone() })
}

fn judge(document: &Document, revision: u64, entry: &Entry) -> Result<(), ApplyError> {
    match serde_json::from_slice::<Document>(&entry.value) {
        Ok(found) if found.id == document.id => Ok(()),
        Ok(found) => Err(ApplyError::Conflict { found: revision, by: found.by }),
        Err(_) => Err(ApplyError::Conflict { found: revision, by: "an unknown writer".into() }),
    }
}

/// Moves the hint up; losing this write only costs later readers a few reads.
async fn write_hint<P: KeyValue>(platform: &P, revision: u64) {
    let Ok(entry) = platform.get(HINT).await else { return };
    let shown = entry.as_ref().and_then(|e| std::str::from_utf8(&e.value).ok()?.parse().ok()).unwrap_or(0);
    if shown >= revision {
        return;
    }
    let expect = entry.map_or(Expect::Absent, |e| Expect::Version(e.version));
    let _ = platform.put(HINT, Bytes::from(revision.to_string()), expect).await;
}
