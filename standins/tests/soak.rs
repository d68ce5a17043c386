//! A short soak of entries; long ones are run by hand (`standins soak`).

mod common;

use common::program;
use standins::soak::{self, Soak};
use std::time::Duration;

#[tokio::test(flavor = "multi_thread")]
async fn no_promise_is_broken_in_a_short_soak() {
    let soak = Soak { seed: 7, entries: 3, upstreams: 4, callers: 6, time: Duration::from_secs(8) };
    let outcome = soak::run(program(), soak).await;
    assert!(outcome.broken.is_none(), "{outcome:?}");
    assert!(outcome.faults > 5 && outcome.served > 100, "{outcome:?}");
}
