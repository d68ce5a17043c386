//! Outages of the store as an instance sees them, without sockets and on a simulated clock.

use lockloft::store::StoreError;
use lockloft::store::health::StoreHealth;
use std::time::Duration;
use tokio::time::advance;

/// Age of the view at a recovery; it makes no difference here.
const VIEW_AGE: Option<Duration> = None;

/// Guards against a recovery that nobody records, since the store was lost and back between two calls.
#[tokio::test(start_paused = true)]
async fn an_outage_that_ends_between_two_calls_is_recorded() {
    let health = StoreHealth::default();
    assert!(!health.record_response(VIEW_AGE));
    advance(Duration::from_millis(1_500)).await;
    health.record_failure("renew", &StoreError::NoResponse);
    assert!(!health.is_lost(), "the call failed before the store counted as lost");
    advance(Duration::from_millis(800)).await;
    assert!(health.is_lost());
    assert!(health.record_response(VIEW_AGE));
}

#[tokio::test(start_paused = true)]
async fn a_lost_call_is_no_outage() {
    let health = StoreHealth::default();
    health.record_response(VIEW_AGE);
    advance(Duration::from_millis(600)).await;
    health.record_failure("renew", &StoreError::NoResponse);
    advance(Duration::from_millis(600)).await;
    assert!(!health.record_response(VIEW_AGE));
}

#[tokio::test(start_paused = true)]
async fn a_time_without_calls_is_no_outage() {
    let health = StoreHealth::default();
    health.record_response(VIEW_AGE);
    advance(Duration::from_secs(10)).await;
    assert!(!health.record_response(VIEW_AGE));
}
