//! One call to the store: bounded in time, counted, and noted for what it says
//! of the store.

use crate::platform::Platform;
use crate::state::Instance;
use crate::store::StoreError;
use std::time::Duration;
use tokio::time::timeout;

/// Longest wait for an answer.
const CALL_TIMEOUT: Duration = Duration::from_millis(700);

/// Waits for the answer to a call of this kind.
///
/// # Errors
/// [`StoreError`]; [`StoreError::Silent`] where the wait was too long.
pub async fn call<P: Platform, T>(
    instance: &Instance<P>,
    kind: &str,
    answer: impl Future<Output = Result<T, StoreError>>,
) -> Result<T, StoreError> {
    instance.metrics.store_calls.with_label_values(&[kind]).inc();
    let result = timeout(CALL_TIMEOUT, answer).await.unwrap_or(Err(StoreError::Silent));
    match &result {
        Ok(_) | Err(StoreError::LeaseOver | StoreError::Conflict) => instance.mark_answered(),
        Err(error) => {
            instance.metrics.store_failures.inc();
            instance.health.mark_failed(error);
        }
    }
    result
}
