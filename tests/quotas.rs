//! Unit tests of the quota rules: window, equal share, admission, totals, heads.

use lockloft::clock::Instant;
use lockloft::decision::quota::equal_share::{EqualShare, FleetSize};
use lockloft::decision::quota::heads::{head_of, heads};
use lockloft::decision::quota::local_usage::{Admission, LocalUsage, MAX_ANSWER_AGE};
use lockloft::decision::quota::tenant_window::{TenantWindow, WindowLimit};
use lockloft::decision::quota::totals::{InstanceIdentity, QuotaContext, UsageTotals};
use lockloft::decision::registry::members::Members;
use lockloft::model::config::{ApiKey, Quota, Tenant, TenantError, Tenants};
use lockloft::model::member::{Capacity, Member};
use lockloft::model::usage::{Usage, UsageAnswer, UsageReport, decode, encode};
use proptest::prelude::*;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

const QUOTA: Quota = Quota { rate: 10.0, burst: 20.0 };
const WINDOW: Duration = Duration::from_secs(5);
/// Period that each report to a window covers.
const REPORT_PERIOD: Duration = Duration::from_millis(200);
/// The limit at a head to which all instances report.
const WHOLE_QUOTA: WindowLimit =
    WindowLimit { quota: QUOTA, window: WINDOW, slack: 0.0, reachable_fraction: 1.0, reserved: 0.0 };

fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

/// Usage of `count` requests that were all admitted.
fn all_admitted(count: u32) -> Usage {
    Usage { admitted: count as i32, offered: count }
}

/// The admit ratio of a window of which all requests are known.
fn admit_ratio(window: &mut TenantWindow, limit: WindowLimit, now: Instant) -> f64 {
    window.admit_ratio(limit, |_| true, WINDOW, now)
}

#[test]
fn all_requests_are_admitted_while_the_window_has_room_and_none_once_it_is_over_full() {
    let start = Instant::now();
    let mut window = TenantWindow::new(start);
    window.record("a", all_admitted(30), REPORT_PERIOD, WHOLE_QUOTA, start);
    let next = start + seconds(1.0);
    assert_eq!(admit_ratio(&mut window, WHOLE_QUOTA, next), 1.0);
    window.record("a", all_admitted(50), REPORT_PERIOD, WHOLE_QUOTA, next);
    assert_eq!((window.used(|_| true), admit_ratio(&mut window, WHOLE_QUOTA, next)), (80.0, 0.0));
    let later = next + seconds(5.5);
    assert_eq!((admit_ratio(&mut window, WHOLE_QUOTA, later), window.used(|_| true)), (1.0, 0.0));
}

#[test]
fn a_request_counts_for_the_whole_window() {
    let start = Instant::now();
    for offset in 0..50 {
        let mut window = TenantWindow::new(start);
        let at = start + Duration::from_millis(10 * offset);
        window.record("a", all_admitted(1), REPORT_PERIOD, WHOLE_QUOTA, at);
        admit_ratio(&mut window, WHOLE_QUOTA, at + seconds(4.99));
        assert_eq!(window.used(|_| true), 1.0);
        admit_ratio(&mut window, WHOLE_QUOTA, at + seconds(5.51));
        assert_eq!(window.used(|_| true), 0.0);
    }
}

#[test]
fn requests_unknown_to_a_new_head_count_as_used() {
    let start = Instant::now();
    let mut window = TenantWindow::new(start);
    window.record("a", Usage { admitted: 0, offered: 14 }, REPORT_PERIOD, WHOLE_QUOTA, start);
    let ratio = window.admit_ratio(WHOLE_QUOTA, |_| true, Duration::ZERO, start);
    assert!((ratio - 10.0 / window.demand()).abs() < 0.01, "{ratio}");
    let known = window.admit_ratio(WHOLE_QUOTA, |_| true, 2 * WINDOW, start);
    // What is left of the quota in the window is used up in 1.2 s.
    assert!((known - 70.0 / 1.2 / window.demand()).abs() < 0.01, "{known}");
}

#[test]
fn unreachable_halls_and_their_part_of_the_quota_do_not_count() {
    let start = Instant::now();
    let mut window = TenantWindow::new(start);
    window.record("a", all_admitted(30), REPORT_PERIOD, WHOLE_QUOTA, start);
    window.record("b", all_admitted(60), REPORT_PERIOD, WHOLE_QUOTA, start);
    assert_eq!(admit_ratio(&mut window, WHOLE_QUOTA, start), 0.0);
    let half = WindowLimit { reachable_fraction: 0.5, ..WHOLE_QUOTA };
    assert_eq!(window.used(|hall| hall == "a"), 30.0);
    assert!(window.admit_ratio(half, |hall| hall == "a", 2 * WINDOW, start) > 0.0);
    assert_eq!(window.admit_ratio(half, |hall| hall == "b", 2 * WINDOW, start), 0.0);
}

#[test]
fn requests_that_no_target_ran_are_subtracted_from_the_window() {
    let start = Instant::now();
    let mut window = TenantWindow::new(start);
    window.record("a", all_admitted(60), REPORT_PERIOD, WHOLE_QUOTA, start);
    window.record("a", Usage { admitted: -50, offered: 0 }, REPORT_PERIOD, WHOLE_QUOTA, start);
    assert_eq!(window.used(|_| true), 10.0);
}

proptest! {
    #[test]
    fn requests_admitted_in_any_window_stay_within_the_quota(
        steps in prop::collection::vec((0_u64..400, 0_u32..12), 1..300),
    ) {
        let start = Instant::now();
        let mut now = start;
        let mut window = TenantWindow::new(start);
        let mut admitted: Vec<(Instant, f64)> = Vec::new();
        for (wait, offered) in steps {
            now += Duration::from_millis(wait);
            let ratio = admit_ratio(&mut window, WHOLE_QUOTA, now);
            let count = (f64::from(offered) * ratio) as u32;
            window.record("a", Usage { admitted: count as i32, offered }, REPORT_PERIOD, WHOLE_QUOTA, now);
            admitted.push((now, count.into()));
            let in_window = admitted.iter().filter(|(at, _)| *at + WINDOW > now).map(|(_, count)| count);
            let in_window: f64 = in_window.sum();
            // All requests of a step are admitted at one ratio, computed before any of them is counted, and
            // requests leave the window a whole slot at a time. The bound is therefore exceeded by up to the
            // requests of two steps, at most 11 each.
            prop_assert!(
                in_window <= WHOLE_QUOTA.max_requests() + 2.0 * 11.0,
                "{in_window} of {}",
                WHOLE_QUOTA.max_requests()
            );
        }
    }

    #[test]
    fn equal_shares_of_all_instances_sum_to_the_quota(
        members in 1_usize..300,
        requests in prop::collection::vec((0_usize..300, 0_u64..50), 1..2_000),
    ) {
        let fleet = FleetSize { members, is_member: true };
        let start = Instant::now();
        let mut now = start;
        let mut shares = vec![EqualShare::default(); members];
        let mut admitted = 0.0;
        for (instance, wait) in requests {
            now += Duration::from_millis(wait);
            if shares[instance % members].try_take(QUOTA, fleet, now) {
                admitted += 1.0;
            }
        }
        let max_admitted = QUOTA.burst.max(members as f64) + QUOTA.rate * (now - start).as_secs_f64();
        prop_assert!(admitted <= max_admitted + 1e-6, "{admitted} of {max_admitted}");
    }

    #[test]
    fn a_decoded_report_equals_the_encoded_one(
        tenants in prop::collection::vec(("[a-z]{0,9}", any::<i32>(), any::<u32>()), 0..90),
    ) {
        let tenants = tenants.into_iter().map(|(name, admitted, offered)| (name, Usage { admitted, offered })).collect();
        let report = UsageReport { from: "e-1".into(), hall: "h".into(), is_forwarded: true, period_ms: 7, tenants, ..Default::default() };
        prop_assert_eq!(decode::<UsageReport>(&encode(&report)).unwrap(), report);
    }

    #[test]
    fn decoding_arbitrary_bytes_does_not_panic(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        let _ = decode::<UsageReport>(&bytes);
        let _ = decode::<UsageAnswer>(&bytes);
    }
}

#[test]
fn an_instance_that_is_not_a_member_admits_a_hundredth_of_the_quota() {
    let fleet = FleetSize { members: 1, is_member: false };
    let quota = Quota { rate: 100.0, burst: 100.0 };
    let (start, mut share) = (Instant::now(), EqualShare::default());
    assert!(share.try_take(quota, fleet, start) && !share.try_take(quota, fleet, start));
    assert!(share.try_take(quota, fleet, start + seconds(1.0)));
}

/// Number of `offered` requests at one moment that an instance admits, one of ten members.
fn admit(usage: &mut LocalUsage, tenant: &Rc<str>, offered: usize, now: Instant) -> usize {
    let fleet = FleetSize { members: 10, is_member: true };
    let admitted = |_: &usize| usage.admit(tenant, QUOTA, fleet, 0.5, now) == Admission::Admitted;
    (0..offered).filter(admitted).count()
}

#[test]
fn an_instance_admits_requests_at_the_answered_ratio() {
    let (start, tenant): (Instant, Rc<str>) = (Instant::now(), "t".into());
    let mut usage = LocalUsage::default();
    let mut admitted = 0;
    for step in 0..100 {
        let now = start + Duration::from_millis(200 * step);
        usage.begin_report(now);
        usage.apply_answer(&UsageAnswer { admit_ratios: vec![("t".into(), 0.25)], ..Default::default() }, now);
        admitted += admit(&mut usage, &tenant, 8, now);
    }
    assert!((199..=201).contains(&admitted), "{admitted}");
}

#[test]
fn without_an_answer_a_few_requests_are_admitted_and_then_the_equal_share() {
    let (start, tenant): (Instant, Rc<str>) = (Instant::now(), "t".into());
    let mut usage = LocalUsage::default();
    assert_eq!(admit(&mut usage, &tenant, 100, start), 3 + 1);
    assert!(usage.has_surge("t"));
    usage.begin_report(start);
    usage.restore_report();
    assert_eq!(admit(&mut usage, &tenant, 100, start), 0);
    let later = start + MAX_ANSWER_AGE + seconds(1.0);
    assert_eq!(admit(&mut usage, &tenant, 100, later), 2);
    usage.begin_report(later);
    usage.apply_answer(&UsageAnswer::default(), later);
    usage.begin_report(later);
    usage.apply_answer(&UsageAnswer::default(), later);
    // Five times the number from which requests are reported at once, and at least eight.
    assert!(admit(&mut usage, &tenant, 10_000, later) >= 8);
}

/// Guards against instances that together admit more than the quota has left before the first report of a
/// step is answered.
#[test]
fn between_two_answers_an_instance_admits_its_part_of_the_burst_beyond_its_usual_requests() {
    let (start, tenant): (Instant, Rc<str>) = (Instant::now(), "t".into());
    let large = Quota { rate: 100.0, burst: 100.0 };
    let fleet = FleetSize { members: 10, is_member: true };
    let mut usage = LocalUsage::default();
    let admitted = |usage: &mut LocalUsage, offered: usize, now: Instant| {
        (0..offered).filter(|_| usage.admit(&tenant, large, fleet, 0.5, now) == Admission::Admitted).count()
    };
    let mut now = start;
    for _ in 0..50 {
        admitted(&mut usage, 2, now);
        now += Duration::from_millis(200);
        usage.begin_report(now);
        usage.apply_answer(&UsageAnswer::default(), now);
    }
    // Half of the burst in ten parts, one request, and 1.25 times the two usual ones with three standard
    // deviations.
    let allowance = 13;
    assert_eq!(admitted(&mut usage, 2 * allowance, now), allowance);
    // An answer that comes soon after the last one does not renew the allowance.
    let soon = now + Duration::from_millis(50);
    usage.begin_report(soon);
    usage.apply_answer(&UsageAnswer::default(), soon);
    assert!(admitted(&mut usage, 2 * allowance, soon) <= allowance / 3);
    let later = now + Duration::from_millis(200);
    usage.begin_report(later);
    usage.apply_answer(&UsageAnswer::default(), later);
    assert!(admitted(&mut usage, 2 * allowance, later) >= allowance);
}

#[test]
fn a_request_that_no_target_ran_is_subtracted_in_the_next_report() {
    let (now, tenant): (Instant, Rc<str>) = (Instant::now(), "t".into());
    let mut usage = LocalUsage::default();
    admit(&mut usage, &tenant, 3, now);
    usage.begin_report(now);
    usage.apply_answer(&UsageAnswer::default(), now);
    usage.release("t");
    assert_eq!(usage.begin_report(now), [("t".to_owned(), Usage { admitted: -1, offered: 0 })]);
}

#[test]
fn an_answered_ratio_applies_to_a_tenant_whose_first_request_comes_later() {
    let (now, tenant): (Instant, Rc<str>) = (Instant::now(), "t".into());
    let mut usage = LocalUsage::default();
    admit(&mut usage, &"other".into(), 1, now);
    usage.begin_report(now);
    usage.apply_answer(&UsageAnswer { admit_ratios: vec![("t".into(), 0.0)], ..Default::default() }, now);
    assert_eq!(admit(&mut usage, &tenant, 5, now), 0);
}

fn member(number: u16, hall: &str) -> Member {
    let peer: SocketAddr = ([127, 0, 0, 1], number).into();
    Member {
        callers: peer,
        peer,
        hall: hall.to_owned(),
        region: "r".to_owned(),
        isolated: false,
        capacity: Capacity::default(),
    }
}

/// Four instances, in two halls.
fn members(now: Instant) -> Members {
    let mut members = Members::default();
    for (name, hall) in [("e-1", "a"), ("e-2", "a"), ("e-3", "b"), ("e-4", "b")] {
        members.insert(name.to_owned(), member(name.as_bytes()[2].into(), hall), now);
    }
    members
}

fn tenants() -> Tenants {
    let tenant = |name: &str, quota| Tenant {
        name: name.into(),
        api_keys: vec![ApiKey::new(name)],
        priority: 0,
        quota,
        allowed_regions: Vec::new(),
    };
    Tenants::try_from(vec![tenant("t", Some(QUOTA)), tenant("free", None)]).unwrap()
}

/// What the totals of the instance `e-1` depend on.
fn context<'a>(tenants: &'a Tenants, members: &'a Members) -> QuotaContext<'a> {
    QuotaContext { tenants, members, window: WINDOW, slack: 0.0, own: InstanceIdentity { name: "e-1", hall: "a" } }
}

fn report(from: &str, hall: &str, count: u32) -> UsageReport {
    let is_forwarded = hall == "b";
    let tenants = vec![("t".to_owned(), all_admitted(count)), ("free".to_owned(), all_admitted(1_000))];
    UsageReport {
        from: from.to_owned(),
        hall: hall.to_owned(),
        is_forwarded,
        period_ms: 0,
        tenants,
        ..Default::default()
    }
}

#[test]
fn a_head_aggregates_all_halls_and_leaves_the_shares_of_instances_that_do_not_report() {
    let start = Instant::now();
    let (tenants, members) = (tenants(), members(start));
    let context = context(&tenants, &members);
    let mut totals = UsageTotals::default();
    assert!(
        totals.record_report(&report("e-1", "a", 5), context, start).admit_ratios.iter().all(|(name, _)| name == "t")
    );
    assert!(totals.is_isolated(context, start));
    totals.record_report(&report("e-2", "a", 5), context, start);
    let answer = totals.record_report(&report("e-3", "b", 65), context, start);
    assert_eq!(answer.admit_ratios, [("t".to_owned(), 0.0)]);
    assert_eq!(totals.window("t").unwrap().used(|_| true), 75.0);
    assert!(totals.window("free").is_none() && !totals.is_isolated(context, start));
    // Once e-2 and the other hall have stopped reporting, this head grants a quarter of the quota: 17.5 in
    // a window, of which the own hall used 10.
    let mut now = start;
    for _ in 0..20 {
        now += Duration::from_millis(100);
        totals.record_report(&report("e-1", "a", 0), context, now);
    }
    let demand =
        UsageReport { tenants: vec![("t".to_owned(), Usage { admitted: 0, offered: 20 })], ..report("e-1", "a", 0) };
    let answer = totals.record_report(&demand, context, now);
    // 12.5 requests admitted before this instance became head are unknown, and leave at 2.5 per second;
    // the window is over-full by 5.
    let allowed = 2.5 - 5.0;
    let expected = f64::max(allowed / 40.0, 0.0);
    let ratio = f64::from(answer.admit_ratios[0].1);
    assert!((ratio - expected).abs() < 0.01, "{ratio} {expected}");
}

#[test]
fn usage_is_forwarded_to_another_hall_once_and_kept_if_that_fails() {
    let start = Instant::now();
    let (tenants, members) = (tenants(), members(start));
    let context = QuotaContext {
        tenants: &tenants,
        members: &members,
        window: WINDOW,
        slack: 0.0,
        own: InstanceIdentity { name: "e-1", hall: "a" },
    };
    let mut totals = UsageTotals::default();
    totals.record_report(&report("e-1", "a", 3), context, start);
    totals.record_report(&report("e-2", "a", 4), context, start);
    totals.record_report(&report("e-3", "b", 50), context, start);
    let count = |usage: &[(String, Usage)]| usage.iter().find(|(name, _)| name == "t").map(|(_, usage)| usage.offered);
    let forwarded = totals.begin_forward("b", start).0;
    assert_eq!(count(&forwarded), Some(7));
    assert!(totals.begin_forward("b", start).0.is_empty() && totals.begin_forward("a", start).0.is_empty());
    totals.restore_forward("b", forwarded, start);
    totals.record_report(&report("e-2", "a", 1), context, start);
    assert_eq!(count(&totals.begin_forward("b", start).0), Some(8));
}

#[test]
fn a_head_without_reports_for_a_while_starts_with_empty_totals() {
    let start = Instant::now();
    let (tenants, members) = (tenants(), members(start));
    let context = QuotaContext {
        tenants: &tenants,
        members: &members,
        window: WINDOW,
        slack: 0.0,
        own: InstanceIdentity { name: "e-1", hall: "a" },
    };
    let mut totals = UsageTotals::default();
    totals.record_report(&report("e-2", "a", 1), context, start);
    assert!(totals.is_head(start));
    let later = start + seconds(30.0);
    assert!(!totals.is_head(later));
    totals.record_report(&report("e-2", "a", 0), context, later);
    assert_eq!(totals.window("t").unwrap().used(|_| true), 0.0);
}

#[test]
fn all_instances_choose_the_same_head_and_the_next_one_if_it_fails() {
    let now = Instant::now();
    let mut members = Members::default();
    for number in 0..40_u16 {
        let hall = format!("h-{}", number % 4);
        members.insert(format!("e-{number}"), member(number, &hall), now);
    }
    let first = heads(&members, |_| true);
    assert_eq!(first.len(), 4);
    let failed = first["h-2"].peer;
    let next = heads(&members, |peer| peer != failed);
    assert_eq!((next["h-0"], next["h-1"], next["h-3"]), (first["h-0"], first["h-1"], first["h-3"]));
    assert_ne!(next["h-2"], first["h-2"]);
    assert!(heads(&members, |_| false).is_empty());
}

#[test]
fn the_head_is_one_of_the_strongest_machines_of_its_hall() {
    let now = Instant::now();
    let mut members = Members::default();
    let with_core = |number: u16, core_milli| {
        let capacity = Capacity { core_milli: Some(core_milli), link_kbit: None };
        Member { capacity, ..member(number, "h") }
    };
    for number in 0..100_u16 {
        members.insert(format!("e-{number}"), with_core(number, if number < 10 { 500 } else { 100 }), now);
    }
    let mut gone: Vec<SocketAddr> = Vec::new();
    for _ in 0..10 {
        let head = head_of(&members, "h", |peer| !gone.contains(&peer)).unwrap();
        assert!(head.name.len() == 3, "{} is weak", head.name);
        gone.push(head.peer);
    }
    let weak = head_of(&members, "h", |peer| !gone.contains(&peer)).unwrap().name.to_owned();
    // A machine that comes back with another processor takes another place in the order.
    let number: u16 = weak[2..].parse().unwrap();
    members.insert(weak.clone(), with_core(number, 2_000), now);
    assert_eq!(head_of(&members, "h", |_| true).unwrap().name, weak);
    members.remove(&weak, now);
    assert_ne!(head_of(&members, "h", |_| true).unwrap().name, weak);
    assert_eq!(members.head_order().candidates("h").count(), 99);
}

#[test]
fn tenants_that_share_a_key_or_a_name_are_refused() {
    let tenant = |name: &str, keys: &[&str]| Tenant {
        name: name.into(),
        api_keys: keys.iter().map(|key| ApiKey::new(key)).collect(),
        priority: 0,
        quota: None,
        allowed_regions: Vec::new(),
    };
    let refused = |all: Vec<Tenant>| Tenants::try_from(all).unwrap_err();
    let shared = refused(vec![tenant("a", &["x", "zz"]), tenant("b", &["zz"])]);
    assert_eq!(shared, TenantError::DuplicateKey("a".into(), "b".into()));
    assert!(!shared.to_string().contains("zz"), "{shared}");
    assert_eq!(refused(vec![tenant("a", &["x"]), tenant("a", &["y"])]), TenantError::DuplicateName("a".into()));
    assert_eq!(refused(vec![tenant("a", &[""])]), TenantError::EmptyKey("a".into()));
    assert_eq!(format!("{:?}", ApiKey::new("secret")), "ApiKey(hidden)");
}

#[test]
fn members_whose_registrations_were_lost_count_for_a_while() {
    let start = Instant::now();
    let (tenants, mut members) = (tenants(), members(start));
    for name in ["e-2", "e-3", "e-4"] {
        members.remove(name, start);
    }
    assert_eq!((members.count(), members.recent_count(start)), (1, 4));
    let mut totals = UsageTotals::default();
    totals.record_report(&report("e-1", "a", 5), context(&tenants, &members), start);
    assert!(totals.is_isolated(context(&tenants, &members), start), "the removed members may still run");
    members.insert("e-2".to_owned(), member(b'2'.into(), "a"), start + seconds(1.0));
    assert_eq!(members.recent_count(start + seconds(2.0)), 4);
    let later = start + seconds(10.1);
    assert_eq!(members.recent_count(later), 2);
    members.remove("e-2", later);
    assert_eq!((members.recent_count(later), members.recent_count(later + seconds(10.1))), (2, 1));
}
