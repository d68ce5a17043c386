//! Headers of targets with any bytes: what they say is used within its bounds, or is not used at all.

use hyper::HeaderMap;
use hyper::header::{CONNECTION, HeaderName, HeaderValue, RETRY_AFTER};
use lockloft::clock::Instant;
use lockloft::decision::capacity::load_report::LoadReport;
use lockloft::decision::capacity::rate_limit::LimitSignal;
use lockloft::decision::failure::pause::PauseSignal;
use lockloft::decision::registry::signals::{LeavingSignal, ResponseSignals};
use lockloft::decision::registry::target::Target;
use lockloft::model::forwarded::ForwardedHead;
use lockloft::model::registration::{TargetRegistration, TargetState};
use lockloft::net::keep_alive::KeepAlive;
use proptest::prelude::*;
use std::rc::Rc;
use std::time::Duration;

/// The longest time for which a target may pause requests, a day, with its jitter.
const LONGEST_PAUSE: Duration = Duration::from_secs(24 * 60 * 60 + 1);

/// Text that is nearly a number, or one near the end of what numbers hold.
fn any_number() -> impl Strategy<Value = Vec<u8>> {
    let edges = [
        "0",
        "-0",
        "-1",
        "1",
        "0.0001",
        "1e3",
        "1e400",
        "inf",
        "nan",
        "NaN",
        "-inf",
        "9223372036854775807",
        "9223372036854775808",
        "9223372036854775807000",
        "18446744073709551615",
        "18446744073709551616",
        "99999999999999999999999999999999",
        "4294967295",
        "4294967296",
        "1048576",
        "1048577",
        "+5",
        " 7 ",
        "",
    ];
    prop_oneof![
        4 => prop::sample::select(edges.to_vec()).prop_map(|text| text.as_bytes().to_vec()),
        2 => "[0-9]{1,40}(\\.[0-9]{0,40})?".prop_map(String::into_bytes),
        1 => "[0-9.,=;a-z -]{0,30}".prop_map(String::into_bytes),
        1 => prop::collection::vec(any::<u8>(), 0..40),
        1 => (1_usize..20_000).prop_map(|length| "9".repeat(length).into_bytes()),
    ]
}

/// Some numbers, joined by commas.
fn any_list() -> impl Strategy<Value = Vec<u8>> {
    prop::collection::vec(any_number(), 0..5).prop_map(|numbers| numbers.join(&b','))
}

fn target() -> Rc<Target> {
    let registration = TargetRegistration {
        id: "t".into(),
        start: None,
        service: "shop".into(),
        address: "10.0.0.9:80".parse().unwrap(),
        hall: "a-1".into(),
        version: "1".into(),
        slots: 4,
        state: TargetState::Ready,
        sequence: 1,
        slow_start_remaining: Duration::ZERO,
    };
    Rc::new(Target::new(&registration, "a".into(), Instant::now()))
}

proptest! {
    #[test]
    fn any_signals_of_a_target_are_used_within_their_bounds(
        limits in prop::collection::vec(any_number(), 0..3),
        pauses in prop::collection::vec(any_number(), 0..3),
        leaving in prop::collection::vec(any_number(), 0..3),
        load in any_list(),
        is_rejection in any::<bool>(),
        random in 0.0_f64..1.0,
        later_ms in prop::sample::select(vec![0_u64, 1, 900, 20_000, 1_000_000]),
    ) {
        let (target, now) = (target(), Instant::now());
        let signals = ResponseSignals {
            limit: LimitSignal::parse(limits.iter().map(Vec::as_slice)),
            pause: PauseSignal::parse(pauses.iter().map(Vec::as_slice)),
            leaving: LeavingSignal::parse(leaving.iter().map(Vec::as_slice)),
            is_rejection,
        };
        target.apply_signals(signals, random, now, now);
        if let Some(report) = std::str::from_utf8(&load).ok().and_then(|text| LoadReport::parse(text).ok()) {
            target.record_load_report(report, now);
        }
        for now in [now, now + Duration::from_millis(later_ms)] {
            target.update_equal_limit_share("e-1", ["e-1", "e-2"].into_iter());
            prop_assert!(target.pause_remaining(now).is_none_or(|pause| pause <= LONGEST_PAUSE));
            prop_assert!(target.rate_limit().is_none_or(|rate| rate.is_finite() && rate >= 0.0));
            prop_assert!(target.load(now).is_finite());
            target.limit_permission(now);
            target.set_limit_admit_ratio(0.5, random, now);
            drop(target.begin_request(now));
            target.take_limit_report(now);
            target.take_unshared_load();
            target.is_paused(now);
        }
        target.apply_allowance(None, random, now, now);
        target.begin_ask(now);
    }

    #[test]
    fn any_keep_alive_is_a_time_or_none(values in prop::collection::vec(any_number(), 0..3), closes in any::<bool>()) {
        let mut headers = HeaderMap::new();
        for value in &values {
            let text = [b"max=5, timeout=", value.as_slice()].concat();
            if let Ok(value) = HeaderValue::from_bytes(&text) {
                headers.append(HeaderName::from_static("keep-alive"), value);
            }
        }
        if closes {
            headers.insert(CONNECTION, HeaderValue::from_static("close"));
        }
        let keep_alive = KeepAlive::from(&headers);
        prop_assert_eq!(keep_alive == KeepAlive::Close, closes);
        if let KeepAlive::For(time) = keep_alive {
            let now = Instant::now();
            prop_assert!(now + time >= now);
        }
    }

    #[test]
    fn any_head_of_a_forwarded_request_is_one_or_an_error(value in any_number(), sends in any_number()) {
        if let Ok(value) = HeaderValue::from_bytes(&value) {
            let _ = ForwardedHead::try_from(Some(&value));
        }
        let text = [br#"{"by": "e-1", "method": "GET", "path": "/", "sends": "#.as_slice(), &sends, b"}"].concat();
        let head = HeaderValue::from_bytes(&text).ok().map(|value| ForwardedHead::try_from(Some(&value)));
        if let Some(Ok(head)) = head {
            prop_assert!(head.sends.checked_add(1).is_some());
        }
    }
}

#[test]
fn a_pause_of_any_length_ends() {
    let header = |text: &str| {
        let mut headers = HeaderMap::new();
        headers.insert(RETRY_AFTER, HeaderValue::from_str(text).unwrap());
        PauseSignal::parse(headers.get_all(RETRY_AFTER).iter().map(HeaderValue::as_bytes))
    };
    for text in ["9223372036854775807", "18446744073709551616", "99999999999999999999999999999999"] {
        let PauseSignal::For(pause) = header(text) else { panic!("{text} is a number of seconds") };
        assert!(pause <= LONGEST_PAUSE, "{pause:?}");
    }
}
