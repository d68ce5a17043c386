//! Which statuses of targets are passed on.

use lockloft::decision::refusal::status_promise::is_passed_on;
use lockloft::model::config::Idempotency::{Idempotent, NonIdempotent};

#[test]
fn a_status_that_promises_not_to_have_run_is_passed_on_only_where_a_request_may_run_again() {
    for status in 200..600 {
        let is_promise = matches!(status, 408 | 421 | 429 | 503);
        assert!(is_passed_on(status, Idempotent), "{status}");
        assert_eq!(is_passed_on(status, NonIdempotent), !is_promise, "{status}");
    }
}
