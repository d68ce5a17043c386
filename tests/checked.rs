//! Bounds of values from outside, and the far end of the clock.

use lockloft::clock::Instant;
use lockloft::decision::capacity::slow_start::SlowStart;
use lockloft::model::checked::{
    HeadTimeout, MessageAge, Milliseconds, Ratio, ReachableAddress, RequestAmount, Seconds, Slots, SlowStartTime,
};
use proptest::prelude::*;
use std::time::Duration;

/// More than any time that is compared with others, less than the far end.
const LONG: Duration = Duration::from_secs(99 * 365 * 24 * 60 * 60);

/// Any number, often near the ends of what integers, durations and instants hold.
fn any_number() -> impl Strategy<Value = f64> {
    let edges = [0.0, -0.0, 9.2e15, 9.3e18, 1.8e19, 9.3e21, 9_223_372_036_854_775_807_000.0, 1.8e22, 1.9e22, 1.7e308];
    let special = [f64::NAN, f64::INFINITY, f64::NEG_INFINITY, f64::MIN_POSITIVE, f64::MIN];
    prop_oneof![any::<f64>(), prop::sample::select(edges.to_vec()), prop::sample::select(special.to_vec())]
}

proptest! {
    #[test]
    fn no_time_added_to_an_instant_panics_or_goes_back(seconds in any::<u64>(), nanos in 0_u32..1_000_000_000) {
        let (now, time) = (Instant::now(), Duration::new(seconds, nanos));
        prop_assert!(now + time >= now);
        prop_assert!(now - time <= now);
        prop_assert!(now + time + time >= now + time);
        prop_assert!(time < LONG || (now + time).saturating_duration_since(now) >= LONG);
        prop_assert!(time >= LONG || (now + time).saturating_duration_since(now) == time);
    }

    #[test]
    fn a_checked_time_lies_within_its_bounds(number in any_number()) {
        let day = Duration::from_secs(24 * 60 * 60);
        let from_seconds = SlowStartTime::try_from(Seconds(number)).map(Duration::from);
        let from_milliseconds = SlowStartTime::try_from(Milliseconds(number)).map(Duration::from);
        // Rounded to nanoseconds.
        let is_near = (0.0..86_400.000_000_001).contains(&number);
        let is_inside = (0.0..=86_400.0).contains(&number);
        prop_assert!(from_seconds.is_ok() || !is_inside);
        prop_assert!(from_seconds.is_err() || is_near);
        for time in [from_seconds, from_milliseconds].into_iter().flatten() {
            prop_assert!(time <= day);
            let mut slow_start = SlowStart::default();
            slow_start.begin(time, Instant::now());
        }
    }

    #[test]
    fn a_checked_number_lies_within_its_bounds(number in any_number(), count in any::<u64>()) {
        let is_amount = (0.0..=(1_u64 << 53) as f64).contains(&number);
        prop_assert_eq!(RequestAmount::try_from(number).is_ok(), is_amount);
        prop_assert_eq!(Ratio::try_from(number).is_ok(), (0.0..=1.0).contains(&number));
        prop_assert_eq!(Slots::try_from(count).is_ok(), (1..=1 << 20).contains(&count));
    }
}

#[test]
fn a_clock_at_its_far_end_stays_there() {
    let mut instant = Instant::now();
    for _ in 0..100 {
        let next = instant + Duration::MAX;
        assert!(next >= instant);
        instant = next;
    }
    assert_eq!(Instant::now().saturating_duration_since(instant), Duration::ZERO);
}

#[tokio::test]
async fn a_wait_without_end_is_no_panic() {
    let endless = lockloft::clock::sleep(Duration::MAX);
    let ended = lockloft::clock::timeout(Duration::from_millis(5), endless).await;
    assert!(ended.is_err(), "the wait has no end");
    assert_eq!(lockloft::clock::timeout(Duration::MAX, async { 1 }).await, Ok(1));
}

#[test]
fn bounds_exclude_what_a_value_cannot_mean() {
    assert!(HeadTimeout::try_from(Milliseconds(0.0)).is_err(), "no head arrives within no time");
    assert!(HeadTimeout::try_from(Milliseconds(1.0)).is_ok());
    assert!(MessageAge::try_from(Milliseconds(u64::MAX as f64)).is_err());
    for (address, is_reachable) in [
        ("10.0.0.1:80", true),
        ("[2001:db8::1]:65535", true),
        ("10.0.0.1:0", false),
        ("0.0.0.0:80", false),
        ("[::ffff:0.0.0.0]:80", false),
        ("239.0.0.1:80", false),
    ] {
        assert_eq!(ReachableAddress::try_from(address.parse::<std::net::SocketAddr>().unwrap()).is_ok(), is_reachable);
    }
}
