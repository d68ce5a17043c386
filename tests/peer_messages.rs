//! Messages of peers with any numbers: nothing that keeps sums over them panics, or answers with numbers that
//! are none.

use lockloft::clock::Instant;
use lockloft::decision::capacity::load::Load;
use lockloft::decision::capacity::load_report::LoadReport;
use lockloft::decision::capacity::rate_limit::accounts::{Head, LimitAccounts};
use lockloft::decision::capacity::rate_limit::ledger::HolderId;
use lockloft::decision::capacity::rate_limit::totals::LimitTotals;
use lockloft::decision::capacity::rate_limit::{LimitSignal, RateLimit};
use lockloft::decision::quota::equal_share::FleetSize;
use lockloft::decision::quota::local_usage::LocalUsage;
use lockloft::decision::quota::totals::{InstanceIdentity, QuotaContext, UsageTotals};
use lockloft::decision::registry::members::Members;
use lockloft::model::allowances::{AllowanceAnswer, AllowanceRequest, AllowanceUse, GrantedAllowance};
use lockloft::model::config::{Quota, Tenant, Tenants};
use lockloft::model::forwarded::ForwardedHead;
use lockloft::model::member::{Capacity, Member};
use lockloft::model::rate_limits::{AnnouncedRate, LimitAnswer, LimitReport, StartKey, TargetDemand};
use lockloft::model::strikes::Strikes;
use lockloft::model::usage::{Usage, UsageAnswer, UsageReport, decode, encode};
use proptest::prelude::*;
use std::time::Duration;

const HALLS: [&str; 3] = ["a", "b", "c"];
const TARGETS: [StartKey; 2] = [StartKey([1; 8]), StartKey([2; 8])];

fn members() -> Members {
    let mut members = Members::default();
    for (name, hall) in [("e-1", "a"), ("e-2", "a"), ("e-3", "b")] {
        let address = "10.0.0.1:1".parse().unwrap();
        let member = Member {
            callers: address,
            peer: address,
            hall: hall.to_owned(),
            region: "r".to_owned(),
            isolated: false,
            capacity: Capacity::default(),
        };
        members.insert(name.to_owned(), member, Instant::now());
    }
    members
}

/// A number of 32 bits, often near the ends of what they hold.
fn any_count() -> impl Strategy<Value = u32> {
    prop_oneof![any::<u32>(), 0_u32..4, (u32::MAX - 3)..=u32::MAX, Just(i32::MAX as u32)]
}

fn any_signed() -> impl Strategy<Value = i32> {
    prop_oneof![any::<i32>(), Just(i32::MAX), Just(i32::MIN), -2_i32..3]
}

/// Any number of 32 bits, none of them left out.
fn any_rate() -> impl Strategy<Value = f32> {
    let special = [f32::NAN, f32::INFINITY, f32::NEG_INFINITY, f32::MAX, f32::MIN, -0.0, 0.0, 1.0];
    prop_oneof![any::<u32>().prop_map(f32::from_bits), prop::sample::select(special.to_vec()), 0.0_f32..20.0]
}

fn any_use() -> impl Strategy<Value = AllowanceUse> {
    let counts = (any_count(), any_count(), any_count(), any_count());
    (prop::sample::select(TARGETS.to_vec()), any_rate(), counts).prop_map(
        |(target, rate, (used, until, wanted, in_advance))| AllowanceUse {
            target,
            rate,
            used,
            until,
            wanted,
            in_advance,
        },
    )
}

fn any_allowance_request() -> impl Strategy<Value = AllowanceRequest> {
    let targets = prop::collection::vec(any_use(), 0..4);
    (0_usize..3, prop::sample::select(HALLS.to_vec()), 0_u32..2, any::<bool>(), targets).prop_map(
        |(from, hall, epoch, is_for_hall, targets)| AllowanceRequest {
            from: format!("e-{from}"),
            hall: hall.to_owned(),
            epoch,
            is_for_hall,
            targets,
        },
    )
}

fn any_grant() -> impl Strategy<Value = GrantedAllowance> {
    (prop::sample::select(TARGETS.to_vec()), any_count(), any::<u16>())
        .prop_map(|(target, until, valid_ms)| GrantedAllowance { target, until, valid_ms })
}

fn any_demand() -> impl Strategy<Value = TargetDemand> {
    let announced = prop::option::of((prop::option::of(any_rate()), any::<u16>()));
    let announced = announced.prop_map(|both| both.map(|(rate, age_ms)| AnnouncedRate { rate, age_ms }));
    (prop::sample::select(TARGETS.to_vec()), announced, any_rate(), any::<bool>())
        .prop_map(|(target, announced, demand, is_leaving)| TargetDemand { target, announced, demand, is_leaving })
}

fn any_limit_report() -> impl Strategy<Value = LimitReport> {
    let targets = prop::collection::vec(any_demand(), 0..4);
    (0_usize..3, prop::sample::select(HALLS.to_vec()), any::<bool>(), targets).prop_map(
        |(from, hall, is_forwarded, targets)| LimitReport {
            from: format!("e-{from}"),
            hall: hall.to_owned(),
            is_forwarded,
            targets,
        },
    )
}

fn any_usage_report() -> impl Strategy<Value = UsageReport> {
    let usage = (any_signed(), any_count()).prop_map(|(admitted, offered)| Usage { admitted, offered });
    let tenants = prop::collection::vec((prop::sample::select(vec!["t", "other", ""]), usage), 0..4);
    (0_usize..3, prop::sample::select(HALLS.to_vec()), any::<bool>(), any_count(), tenants).prop_map(
        |(from, hall, is_forwarded, period_ms, tenants)| UsageReport {
            from: format!("e-{from}"),
            hall: hall.to_owned(),
            is_forwarded,
            period_ms,
            tenants: tenants.into_iter().map(|(name, usage)| (name.to_owned(), usage)).collect(),
            loads: Vec::new(),
        },
    )
}

fn any_wait() -> impl Strategy<Value = Duration> {
    prop_oneof![0_u64..50, 100_u64..3_000].prop_map(Duration::from_millis)
}

proptest! {
    #[test]
    fn any_question_for_allowances_is_answered(
        steps in prop::collection::vec((any_allowance_request(), prop::collection::vec(any_grant(), 0..3), any_wait()), 1..30),
        reports in prop::collection::vec(any_limit_report(), 0..3),
    ) {
        let (members, mut now) = (members(), Instant::now());
        let (mut accounts, mut totals) = (LimitAccounts::default(), LimitTotals::default());
        let id = HolderId { hall: "a".to_owned(), name: "e-1".to_owned(), epoch: 1 };
        reports.iter().for_each(|report| { totals.record_report(report, "a", now); });
        for (request, granted, wait) in steps {
            let head = Head { id: &id, members: &members, totals: &totals, now };
            match request.is_for_hall {
                true => accounts.grant_to_hall(&request, &head),
                false => accounts.grant_to_instance(&request, &head),
            };
            accounts.grant_again(&request, &head);
            accounts.renewals(&head, |_| false);
            accounts.apply_renewal(&granted, now);
            accounts.should_renew(&request.targets, now);
            prop_assert!(accounts.summaries(&head).iter().all(|summary| summary.grantable.is_finite()));
            now += wait;
        }
    }

    #[test]
    fn any_report_of_limits_is_answered_with_ratios(
        reports in prop::collection::vec((any_limit_report(), any_wait()), 1..20),
    ) {
        let (members, mut now, mut totals) = (members(), Instant::now(), LimitTotals::default());
        for (report, wait) in reports {
            totals.record_report(&report, "a", now);
            for answer in totals.target_admit_ratios(&report.targets, &members, "a", now) {
                prop_assert!((0.0..=1.0).contains(&answer.admit_ratio), "{:?}", answer);
            }
            totals.demands_to_forward(now);
            totals.summaries(&members, "a", now);
            now += wait;
        }
    }

    #[test]
    fn any_report_of_usage_is_answered_with_ratios(
        reports in prop::collection::vec((any_usage_report(), any_wait()), 1..20),
        rate in prop_oneof![0.001_f64..20.0, Just((1_u64 << 53) as f64)],
        burst in prop_oneof![0.0_f64..20.0, Just((1_u64 << 53) as f64)],
    ) {
        let (members, mut now) = (members(), Instant::now());
        let quota = Some(Quota { rate, burst });
        let tenant = Tenant { name: "t".into(), api_keys: Vec::new(), priority: 0, quota, allowed_regions: Vec::new() };
        let tenants = Tenants::try_from(vec![tenant]).unwrap();
        let context = QuotaContext {
            tenants: &tenants,
            members: &members,
            window: Duration::from_secs(5),
            slack: 10.0,
            own: InstanceIdentity { name: "e-1", hall: "a" },
        };
        let (mut totals, mut usage) = (UsageTotals::default(), LocalUsage::default());
        for (report, wait) in reports {
            let answer = totals.record_report(&report, context, now);
            prop_assert!(answer.admit_ratios.iter().all(|(_, ratio)| (0.0..=1.0).contains(ratio)), "{:?}", answer);
            for hall in HALLS {
                let (unsent, _) = totals.begin_forward(hall, now);
                totals.restore_forward(hall, unsent, now);
                totals.record_forward_answer(hall, &answer, now);
            }
            totals.is_forward_urgent(context);
            usage.apply_answer(&answer, now);
            usage.admit(&"t".into(), Quota { rate, burst }, FleetSize { members: 3, is_member: true }, 0.5, now);
            prop_assert!((0.0..=1.0).contains(&usage.answered_ratio("t")));
            now += wait;
        }
    }

    #[test]
    fn an_answer_with_a_ratio_that_is_none_is_no_answer(ratio in any_rate()) {
        let answer = UsageAnswer { admit_ratios: vec![("t".to_owned(), 0.5), ("u".to_owned(), ratio)], loads: Vec::new() };
        let decoded = decode::<UsageAnswer>(&encode(&answer));
        prop_assert_eq!(decoded.is_ok(), (0.0..=1.0).contains(&ratio), "{}", ratio);
    }

    #[test]
    fn any_bytes_are_a_message_or_an_error(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let _ = decode::<UsageReport>(&bytes);
        let _ = decode::<UsageAnswer>(&bytes);
        let _ = decode::<LimitReport>(&bytes);
        let _ = decode::<LimitAnswer>(&bytes);
        let _ = decode::<AllowanceRequest>(&bytes);
        let _ = decode::<AllowanceAnswer>(&bytes);
        let _ = serde_json::from_slice::<Strikes>(&bytes);
    }

    #[test]
    fn any_load_is_one(text in "[0-9]{0,12},[0-9]{0,12},[0-9]{0,12}", remote in any::<u32>(), own in 0_usize..5) {
        let (mut load, now) = (Load::default(), Instant::now());
        (0..own).for_each(|_| load.begin_request());
        if let Ok(report) = LoadReport::parse(&text) {
            load.record_report(report, now);
            load.take_unshared();
        }
        load.record_remote(remote, now + Duration::from_millis(1));
        (0..own).for_each(|_| load.begin_request());
        load.take_unshared();
        prop_assert!(load.for_successor(now).estimate(now).is_finite());
    }

    #[test]
    fn any_rate_that_a_target_announces_is_spaced(text in "[0-9.]{1,32}", random in 0.0_f64..1.0) {
        let (mut limit, now) = (RateLimit::default(), Instant::now());
        limit.apply(LimitSignal::parse([text.as_bytes()].into_iter()), now, now);
        limit.update_equal_share(7, "e-1", ["e-1", "e-2"].into_iter());
        limit.permission(now);
        limit.apply_allowance(None, random, now, now);
        limit.record_sent(now);
        limit.take_report(now);
        prop_assert!(limit.rate().is_none_or(|rate| rate.is_finite() && rate >= 0.0));
    }
}

#[test]
fn a_forwarded_request_with_more_tries_than_any_deadline_holds_is_refused() {
    let head = |sends: u64| {
        let text = format!(r#"{{"by": "e-1", "method": "GET", "path": "/", "sends": {sends}}}"#);
        ForwardedHead::try_from(Some(&text.parse().unwrap()))
    };
    assert_eq!(head(3).map(|head| head.sends).ok(), Some(3));
    for sends in [u64::from(u32::MAX), 70_000, u64::MAX] {
        assert!(head(sends).is_err(), "{sends}");
    }
}
