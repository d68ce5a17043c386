//! When callers who found no room are told to return.

use lockloft::decision::refusal::retry_after::{spread, until_room};
use proptest::prelude::*;
use std::time::Duration;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn the_wait_follows_the_service_s_latency() {
    assert_eq!(until_room(0.15), ms(450));
    assert_eq!(until_room(0.4), ms(1_200));
    assert_eq!(until_room(0.001), ms(100), "no caller returns within a round trip");
    assert_eq!(until_room(60.0), ms(2_000), "no caller is sent away for longer than it has");
    assert_eq!(until_room(f64::INFINITY), ms(400), "nothing is known yet");
}

proptest! {
    /// Any latency gives a wait within the bounds, and callers return from half of it to one
    /// and a half.
    #[test]
    fn waits_are_bounded_and_spread(median in 0.0f64..1e12, random in 0.0f64..1.0) {
        let wait = until_room(median);
        prop_assert!((ms(100)..=ms(2_000)).contains(&wait));
        let spread = spread(wait, random);
        prop_assert!(spread >= wait / 2 && spread <= wait * 3 / 2);
    }
}
