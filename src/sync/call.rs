//! One call to the store: bounded in time, counted, and noted for what it says
//! of the store.

use crate::instance::state::Entry;
use crate::platform::{Platform, StoreError};
use std::time::Duration;
use tokio::time::timeout;

/// Longest wait for an answer.
const CALL_TIMEOUT: Duration = Duration::from_millis(700);

/// Waits for the answer to a call of this kind.
///
/// # Errors
/// [`StoreError`]; [`StoreError::Silent`] where the wait was too long.
pub async fn call<P: Platform, T>(
    entry: &Entry<P>,
    kind: &str,
    answer: impl Future<Output = Result<T, StoreError>>,
) -> Result<T, StoreError> {
    entry.metrics.store_calls.with_label_values(&[kind]).inc();
    let result = timeout(CALL_TIMEOUT, answer).await.unwrap_or(Err(StoreError::Silent));
    match &result {
        Ok(_) | Err(StoreError::LeaseOver | StoreError::Conflict) => entry.heard_store(),
        Err(error) => {
            entry.metrics.store_failures.inc();
            entry.health.missed(error);
        }
    }
    result
}
