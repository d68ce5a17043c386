//! A call to the store, with a timeout; it is counted in the metrics and recorded in the store's health.
//!
//! Owns the timeouts. Relies on [`crate::state`] for the counters and the health.

use crate::clock::timeout;
use crate::platform::Platform;
use crate::state::Instance;
use crate::store::StoreError;
use std::time::Duration;

/// Timeout of a call, without the transfer time of a document: three in a row fit into the TTL of a
/// lease, and it is twice the duration of a slow call.
const CALL_TIMEOUT: Duration = Duration::from_millis(700);

/// Minimum rate at which a document, such as the policies, has to be transferred, bytes per second: a
/// tenth of 10 Mbit/s. The transfer time is added to [`CALL_TIMEOUT`], so that a call does not time out
/// because its document is large.
const MIN_LINK_RATE: u32 = 125_000;

/// Waits for the response to a call that transfers no document; `kind` is its label in the metrics.
///
/// # Errors
/// [`StoreError`]; [`StoreError::NoResponse`] if it timed out.
pub async fn call<P: Platform, T>(
    instance: &Instance<P>,
    kind: &str,
    response: impl Future<Output = Result<T, StoreError>>,
) -> Result<T, StoreError> {
    call_within(instance, kind, CALL_TIMEOUT, response).await
}

/// Waits, as [`call`] does, for the response to a call that transfers a document of `size` bytes.
///
/// # Errors
/// [`StoreError`]; [`StoreError::NoResponse`] if it timed out.
pub async fn document_call<P: Platform, T>(
    instance: &Instance<P>,
    kind: &str,
    size: usize,
    response: impl Future<Output = Result<T, StoreError>>,
) -> Result<T, StoreError> {
    // Base64 encodes three bytes as four.
    let encoded_size = size as f64 * 4.0 / 3.0;
    let transfer_time = Duration::from_secs_f64(encoded_size / f64::from(MIN_LINK_RATE));
    call_within(instance, kind, CALL_TIMEOUT + transfer_time, response).await
}

async fn call_within<P: Platform, T>(
    instance: &Instance<P>,
    kind: &str,
    limit: Duration,
    response: impl Future<Output = Result<T, StoreError>>,
) -> Result<T, StoreError> {
    instance.metrics.store_calls.with_label_values(&[kind]).inc();
    let result = timeout(limit, response).await.unwrap_or(Err(StoreError::NoResponse));
    match &result {
        Ok(_) | Err(StoreError::LeaseExpired | StoreError::Conflict | StoreError::EarlierEra) => {
            instance.store_copy.record_response()
        }
        Err(error) => {
            instance.metrics.store_failures.inc();
            instance.store_copy.record_failure(kind, error);
        }
    }
    result
}
