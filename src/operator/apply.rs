//! An operator's apply: the policies are checked, and written to the store at
//! the revision that follows the one in force. The write is conditional, so
//! that of two operators one wins, and a lost answer is resolved by reading.

use crate::operator::api::ApplyRequest;
use crate::platform::Platform;
use crate::policy::PolicyError;
use crate::policy::{Policies, PolicyDocument};
use crate::state::Instance;
use crate::store::{Store, StoreError};
use crate::sync::call::call;
use hyper::StatusCode;
use rand::Rng;
use std::time::Duration;
use thiserror::Error;
use tokio::time::{Instant, sleep};

/// Longest time for which an apply is tried.
const PATIENCE: Duration = Duration::from_secs(8);
/// Wait after a call that gave nothing, milliseconds.
const BACKOFF_MS: std::ops::Range<u64> = 100..300;
/// Largest document, bytes.
const MAX_BYTES: usize = 512 * 1024;

/// Why policies were not applied.
#[derive(Debug, Error)]
pub enum ApplyError {
    /// They do not pass the check.
    #[error(transparent)]
    Declaration(#[from] PolicyError),
    /// They are too large for the store.
    #[error("the files have {0} bytes, more than {MAX_BYTES}; remedy: put fewer labels on single targets")]
    TooLarge(usize),
    /// Another change came first.
    #[error(
        "revision {known} by {by} is in force, not {expected}; remedy: read it with `lockloft show`, then apply again"
    )]
    Conflict { expected: u64, known: u64, by: String },
    /// The store gave no answer for too long.
    #[error(
        "the store gave no answer ({0}); the change may still come into force; remedy: look with `lockloft show` before the next apply"
    )]
    Unknown(StoreError),
}

impl ApplyError {
    /// The status of the answer that tells of it.
    pub fn status(&self) -> StatusCode {
        match self {
            ApplyError::Declaration(_) => StatusCode::BAD_REQUEST,
            ApplyError::TooLarge(_) => StatusCode::PAYLOAD_TOO_LARGE,
            ApplyError::Conflict { .. } => StatusCode::CONFLICT,
            ApplyError::Unknown(_) => StatusCode::SERVICE_UNAVAILABLE,
        }
    }
}

/// What is in the store.
struct Stored {
    document: Option<PolicyDocument>,
    /// Revision of the key in the store; 0 where it is not there.
    at: u64,
}

impl Stored {
    fn revision(&self) -> u64 {
        self.document.as_ref().map_or(0, |document| document.revision)
    }

    fn is_from(&self, id: &str) -> bool {
        self.document.as_ref().is_some_and(|document| document.id == id)
    }
}

/// Applies policies; gives their revision.
///
/// # Errors
/// [`ApplyError`]; nothing was applied but where it says so.
pub async fn apply<P: Platform>(instance: &Instance<P>, request: &ApplyRequest) -> Result<u64, ApplyError> {
    Policies::check(0, &request.sources)?;
    let until = Instant::now() + PATIENCE;
    let mut expected = request.expect;
    loop {
        let error = match attempt(instance, request, &mut expected).await {
            Ok(revision) => return Ok(revision),
            Err(ApplyError::Unknown(error)) => error,
            Err(error) => return Err(error),
        };
        if Instant::now() > until {
            return Err(ApplyError::Unknown(error));
        }
        let wait = rand::rng().random_range(BACKOFF_MS);
        sleep(Duration::from_millis(wait)).await;
    }
}

/// One read and one write. Without a revision given, the first that was read
/// is the one expected from then on.
async fn attempt<P: Platform>(
    instance: &Instance<P>,
    request: &ApplyRequest,
    expected: &mut Option<u64>,
) -> Result<u64, ApplyError> {
    let stored = read(instance).await.map_err(ApplyError::Unknown)?;
    if stored.is_from(&request.id) {
        return Ok(stored.revision());
    }
    let expected = *expected.get_or_insert(stored.revision());
    if stored.revision() != expected {
        let known = stored.revision();
        let by = stored.document.map_or_else(String::new, |document| document.by);
        return Err(ApplyError::Conflict { expected, known, by });
    }
    let document = PolicyDocument {
        revision: expected + 1,
        id: request.id.clone(),
        by: request.by.clone(),
        sources: request.sources.clone(),
    };
    let value = document.value();
    if value.len() > MAX_BYTES {
        return Err(ApplyError::TooLarge(value.len()));
    }
    let put = instance.store.put_if(P::policies_key(), value, stored.at);
    call(instance, "put_if", put).await.map_err(ApplyError::Unknown)?;
    Ok(document.revision)
}

async fn read<P: Platform>(instance: &Instance<P>) -> Result<Stored, StoreError> {
    let listing = call(instance, "list", instance.store.list(P::policies_key())).await?;
    let Some(item) = listing.items.into_iter().find(|item| item.key == P::policies_key()) else {
        return Ok(Stored { document: None, at: 0 });
    };
    let document = PolicyDocument::read(&item.value);
    let document = document.map_err(|error| StoreError::Unreadable(error.to_string()))?;
    Ok(Stored { document: Some(document), at: item.revision })
}
