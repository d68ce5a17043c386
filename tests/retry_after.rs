//! Retry-After of refusals for lack of capacity.

use lockloft::decision::refusal::retry_after::{base_wait, with_jitter};
use proptest::prelude::*;
use std::time::Duration;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn the_wait_follows_the_median_latency() {
    assert_eq!(base_wait(0.15), ms(450));
    assert_eq!(base_wait(0.4), ms(1_200));
    assert_eq!(base_wait(0.001), ms(100), "no caller returns within a round trip");
    assert_eq!(base_wait(60.0), ms(2_000), "callers have no more time than this for a request");
    assert_eq!(base_wait(f64::INFINITY), ms(400), "no latency is known yet");
}

proptest! {
    /// The wait is within its bounds for any latency, and callers return after 0.5 to 1.5 times the wait.
    #[test]
    fn waits_are_bounded_and_jittered(median in 0.0f64..1e12, random in 0.0f64..1.0) {
        let wait = base_wait(median);
        prop_assert!((ms(100)..=ms(2_000)).contains(&wait));
        let jittered = with_jitter(wait, random);
        prop_assert!(jittered >= wait / 2 && jittered <= wait * 3 / 2);
    }
}
