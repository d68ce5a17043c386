//! An operator's apply: the policies are checked, and written to the store as
//! the revision that follows the stored one.
//!
//! The write is conditional on the key's revision in the store, so that of two
//! operators one wins. A call that fails is retried, and each retry begins with
//! reading the key: a document with the id of this apply, or one that followed it, is a
//! write whose answer was lost.
//!
//! Where the key is absent or its value cannot be read, the apply follows the policies in
//! force at the instance, and replaces the value.

use super::api::ApplyRequest;
use super::stored::{MAX_DOCUMENT, Stored};
use crate::clock::{Instant, sleep};
use crate::platform::Platform;
use crate::policy::{Policies, PolicyError};
use crate::state::Instance;
use crate::store::{Store, StoreError};
use crate::sync::call::document_call;
use hyper::StatusCode;
use rand::Rng;
use std::ops::Range;
use std::time::Duration;
use thiserror::Error;

/// Time after which a failed call is not retried: longer than usual outages of the store
/// (4.5 s), and an operator waits for it.
const RETRY_FOR: Duration = Duration::from_secs(8);
/// Random wait before a retry, milliseconds: a few calls a second at most.
const RETRY_WAIT_MS: Range<u64> = 100..300;

/// Why policies were not applied.
#[derive(Debug, Error)]
pub enum ApplyError {
    /// They do not pass the check.
    #[error(transparent)]
    Policies(#[from] PolicyError),
    /// They are too large for the store.
    #[error("the files have {0} bytes, more than {MAX_DOCUMENT}; remedy: put fewer labels on single targets")]
    TooLarge(usize),
    /// Another change came first.
    #[error(
        "revision {known} by {by} is in force, not {expected}; remedy: read it with `lockloft show`, then apply again"
    )]
    Conflict {
        /// The revision that the apply had to follow.
        expected: u64,
        /// The revision in force.
        known: u64,
        /// Who applied that one.
        by: String,
    },
    /// No call to the store succeeded in time. A write whose answer was lost may have
    /// taken place.
    #[error(
        "the store gave no answer ({0}); the change may still come into force; remedy: look with `lockloft show` before the next apply"
    )]
    Unknown(StoreError),
}

impl ApplyError {
    /// Status of the answer to the operator.
    pub fn status(&self) -> StatusCode {
        match self {
            ApplyError::Policies(_) => StatusCode::BAD_REQUEST,
            ApplyError::TooLarge(_) => StatusCode::PAYLOAD_TOO_LARGE,
            ApplyError::Conflict { .. } => StatusCode::CONFLICT,
            ApplyError::Unknown(_) => StatusCode::SERVICE_UNAVAILABLE,
        }
    }
}

/// Applies policies; returns their revision.
///
/// # Errors
/// [`ApplyError`]. Nothing was applied, except that after [`ApplyError::Unknown`]
/// it may have been.
pub async fn apply<P: Platform>(instance: &Instance<P>, request: &ApplyRequest) -> Result<u64, ApplyError> {
    Policies::check(0, &request.sources)?;
    let until = Instant::now() + RETRY_FOR;
    let mut expected = request.expect;
    loop {
        let error = match try_once(instance, request, &mut expected).await {
            Ok(revision) => return Ok(revision),
            Err(ApplyError::Unknown(error)) => error,
            Err(error) => return Err(error),
        };
        if Instant::now() > until {
            return Err(ApplyError::Unknown(error));
        }
        let wait = rand::rng().random_range(RETRY_WAIT_MS);
        sleep(Duration::from_millis(wait)).await;
    }
}

/// One read and one write. Where the operator expects no revision, the first one
/// read is expected by all later tries.
async fn try_once<P: Platform>(
    instance: &Instance<P>,
    request: &ApplyRequest,
    expected: &mut Option<u64>,
) -> Result<u64, ApplyError> {
    let stored = Stored::read(instance).await.map_err(ApplyError::Unknown)?;
    if let Some(revision) = stored.written_by(&request.id) {
        return Ok(revision);
    }
    let expected = *expected.get_or_insert(stored.revision());
    if stored.revision() != expected {
        let (known, by) = (stored.revision(), stored.by().to_owned());
        return Err(ApplyError::Conflict { expected, known, by });
    }
    let value = stored.followed_by(request);
    if value.len() > MAX_DOCUMENT {
        return Err(ApplyError::TooLarge(value.len()));
    }
    let size = value.len();
    let put = instance.store.put_if(P::policies_key(), value, stored.at);
    document_call(instance, "put_if", size, put).await.map_err(ApplyError::Unknown)?;
    Ok(stored.next_revision())
}
