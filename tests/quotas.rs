//! The rules of quotas, one by one: window, part, admission, totals, heads.

use lockloft::clock::Instant;
use lockloft::decision::quota::heads::heads;
use lockloft::decision::quota::own_use::{ANSWER_AGE, Admission, OwnUse};
use lockloft::decision::quota::part::{Fleet, Part};
use lockloft::decision::quota::tenant_window::{SharedQuota, TenantWindow};
use lockloft::decision::quota::totals::{Place, Rules, Totals};
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
/// Time for which reports stand here.
const OVER: Duration = Duration::from_millis(200);
const WHOLE: SharedQuota = SharedQuota { quota: QUOTA, window: WINDOW, slack: 0.0, part: 1.0 };

fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

fn let_through(count: u32) -> Usage {
    Usage { admitted: count as i32, offered: count }
}

/// The share that may pass of a window that all is known of.
fn pass(window: &mut TenantWindow, shared: SharedQuota, now: Instant) -> f64 {
    window.pass(shared, |_| true, WINDOW, now)
}

#[test]
fn all_passes_while_the_window_has_room_and_none_once_it_is_overfull() {
    let start = Instant::now();
    let mut window = TenantWindow::new(start);
    window.record("a", let_through(30), OVER, WHOLE, start);
    let next = start + seconds(1.0);
    assert_eq!(pass(&mut window, WHOLE, next), 1.0);
    window.record("a", let_through(50), OVER, WHOLE, next);
    assert_eq!((window.used(|_| true), pass(&mut window, WHOLE, next)), (80.0, 0.0));
    let later = next + seconds(5.5);
    assert_eq!((pass(&mut window, WHOLE, later), window.used(|_| true)), (1.0, 0.0));
}

#[test]
fn a_request_stays_in_the_window_for_all_of_it() {
    let start = Instant::now();
    for offset in 0..50 {
        let mut window = TenantWindow::new(start);
        let at = start + Duration::from_millis(10 * offset);
        window.record("a", let_through(1), OVER, WHOLE, at);
        pass(&mut window, WHOLE, at + seconds(4.99));
        assert_eq!(window.used(|_| true), 1.0);
        pass(&mut window, WHOLE, at + seconds(5.51));
        assert_eq!(window.used(|_| true), 0.0);
    }
}

#[test]
fn what_a_head_does_not_know_counts_as_used_up() {
    let start = Instant::now();
    let mut window = TenantWindow::new(start);
    window.record("a", Usage { admitted: 0, offered: 14 }, OVER, WHOLE, start);
    let share = window.pass(WHOLE, |_| true, Duration::ZERO, start);
    assert!((share - 10.0 / window.demand()).abs() < 0.01, "{share}");
    let known = window.pass(WHOLE, |_| true, 2 * WINDOW, start);
    // What is left of the window is used up in 1.2 s.
    assert!((known - 70.0 / 1.2 / window.demand()).abs() < 0.01, "{known}");
}

#[test]
fn a_part_of_the_quota_is_for_the_halls_that_are_heard_from() {
    let start = Instant::now();
    let mut window = TenantWindow::new(start);
    window.record("a", let_through(30), OVER, WHOLE, start);
    window.record("b", let_through(60), OVER, WHOLE, start);
    assert_eq!(pass(&mut window, WHOLE, start), 0.0);
    let half = SharedQuota { part: 0.5, ..WHOLE };
    assert_eq!(window.used(|hall| hall == "a"), 30.0);
    assert!(window.pass(half, |hall| hall == "a", 2 * WINDOW, start) > 0.0);
    assert_eq!(window.pass(half, |hall| hall == "b", 2 * WINDOW, start), 0.0);
}

#[test]
fn requests_that_no_target_ran_leave_the_window() {
    let start = Instant::now();
    let mut window = TenantWindow::new(start);
    window.record("a", let_through(60), OVER, WHOLE, start);
    window.record("a", Usage { admitted: -50, offered: 0 }, OVER, WHOLE, start);
    assert_eq!(window.used(|_| true), 10.0);
}

proptest! {
    #[test]
    fn what_passes_in_a_window_stays_within_the_quota(
        steps in prop::collection::vec((0_u64..400, 0_u32..12), 1..300),
    ) {
        let start = Instant::now();
        let mut now = start;
        let mut window = TenantWindow::new(start);
        let mut passed: Vec<(Instant, f64)> = Vec::new();
        for (wait, offered) in steps {
            now += Duration::from_millis(wait);
            let share = pass(&mut window, WHOLE, now);
            let count = (f64::from(offered) * share) as u32;
            window.record("a", Usage { admitted: count as i32, offered }, OVER, WHOLE, now);
            passed.push((now, count.into()));
            let in_window = passed.iter().filter(|(at, _)| *at + WINDOW > now).map(|(_, count)| count);
            let in_window: f64 = in_window.sum();
            // What arrives at one moment is decided by one share, and so is what replaces that which
            // leaves: two moments may be beyond.
            prop_assert!(in_window <= WHOLE.most() + 2.0 * 11.0, "{in_window} of {}", WHOLE.most());
        }
    }

    #[test]
    fn the_parts_of_all_instances_sum_to_the_quota(
        members in 1_usize..300,
        asks in prop::collection::vec((0_usize..300, 0_u64..50), 1..2_000),
    ) {
        let fleet = Fleet { members, is_member: true };
        let start = Instant::now();
        let mut now = start;
        let mut parts = vec![Part::default(); members];
        let mut admitted = 0.0;
        for (instance, wait) in asks {
            now += Duration::from_millis(wait);
            if parts[instance % members].take(QUOTA, fleet, now) {
                admitted += 1.0;
            }
        }
        let most = QUOTA.burst.max(members as f64) + QUOTA.rate * (now - start).as_secs_f64();
        prop_assert!(admitted <= most + 1e-6, "{admitted} of {most}");
    }

    #[test]
    fn a_report_is_read_as_it_was_written(
        tenants in prop::collection::vec(("[a-z]{0,9}", any::<i32>(), any::<u32>()), 0..90),
    ) {
        let tenants = tenants.into_iter().map(|(name, admitted, offered)| (name, Usage { admitted, offered })).collect();
        let report = UsageReport { from: "e-1".into(), hall: "h".into(), is_forwarded: true, over_ms: 7, tenants, ..Default::default() };
        prop_assert_eq!(decode::<UsageReport>(&encode(&report)).unwrap(), report);
    }

    #[test]
    fn bytes_that_are_no_report_are_refused_or_read_without_a_panic(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        let _ = decode::<UsageReport>(&bytes);
        let _ = decode::<UsageAnswer>(&bytes);
    }
}

#[test]
fn an_instance_in_no_list_takes_a_hundredth() {
    let fleet = Fleet { members: 1, is_member: false };
    let quota = Quota { rate: 100.0, burst: 100.0 };
    let (start, mut part) = (Instant::now(), Part::default());
    assert!(part.take(quota, fleet, start) && !part.take(quota, fleet, start));
    assert!(part.take(quota, fleet, start + seconds(1.0)));
}

/// How many of `offered` requests an instance admits within a moment.
fn admit(own: &mut OwnUse, tenant: &Rc<str>, offered: usize, now: Instant) -> usize {
    let fleet = Fleet { members: 10, is_member: true };
    let admitted = |_: &usize| own.admit(tenant, QUOTA, fleet, 0.5, now) == Admission::Admitted;
    (0..offered).filter(admitted).count()
}

#[test]
fn an_instance_lets_the_share_through_that_was_answered() {
    let (start, tenant): (Instant, Rc<str>) = (Instant::now(), "t".into());
    let mut own = OwnUse::default();
    let mut admitted = 0;
    for step in 0..100 {
        let now = start + Duration::from_millis(200 * step);
        own.begin_report(now);
        own.take_answer(&UsageAnswer { passes: vec![("t".into(), 0.25)], ..Default::default() }, now);
        admitted += admit(&mut own, &tenant, 8, now);
    }
    assert!((199..=201).contains(&admitted), "{admitted}");
}

#[test]
fn without_an_answer_a_few_requests_pass_and_then_the_part() {
    let (start, tenant): (Instant, Rc<str>) = (Instant::now(), "t".into());
    let mut own = OwnUse::default();
    assert_eq!(admit(&mut own, &tenant, 100, start), 3 + 1);
    assert!(own.is_unusual("t"));
    own.begin_report(start);
    own.restore_report();
    assert_eq!(admit(&mut own, &tenant, 100, start), 0);
    let later = start + ANSWER_AGE + seconds(1.0);
    assert_eq!(admit(&mut own, &tenant, 100, later), 2);
    own.begin_report(later);
    own.take_answer(&UsageAnswer::default(), later);
    own.begin_report(later);
    own.take_answer(&UsageAnswer::default(), later);
    // Five times what is unusual, or eight where little is usual.
    assert!(admit(&mut own, &tenant, 10_000, later) >= 8);
}

#[test]
fn a_request_that_no_target_ran_is_taken_back_in_the_next_report() {
    let (now, tenant): (Instant, Rc<str>) = (Instant::now(), "t".into());
    let mut own = OwnUse::default();
    admit(&mut own, &tenant, 3, now);
    own.begin_report(now);
    own.take_answer(&UsageAnswer::default(), now);
    own.release("t");
    assert_eq!(own.begin_report(now), [("t".to_owned(), Usage { admitted: -1, offered: 0 })]);
}

#[test]
fn a_share_holds_for_a_tenant_whose_first_request_comes_later() {
    let (now, tenant): (Instant, Rc<str>) = (Instant::now(), "t".into());
    let mut own = OwnUse::default();
    admit(&mut own, &"other".into(), 1, now);
    own.begin_report(now);
    own.take_answer(&UsageAnswer { passes: vec![("t".into(), 0.0)], ..Default::default() }, now);
    assert_eq!(admit(&mut own, &tenant, 5, now), 0);
}

fn member(number: u16, hall: &str) -> Member {
    let peer: SocketAddr = ([127, 0, 0, 1], number).into();
    Member { callers: peer, peer, hall: hall.to_owned(), region: "r".to_owned(), capacity: Capacity::default() }
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

/// What `e-1` knows of all.
fn rules<'a>(tenants: &'a Tenants, members: &'a Members) -> Rules<'a> {
    Rules { tenants, members, window: WINDOW, slack: 0.0, own: Place { name: "e-1", hall: "a" } }
}

fn report(from: &str, hall: &str, count: u32) -> UsageReport {
    let is_forwarded = hall == "b";
    let tenants = vec![("t".to_owned(), let_through(count)), ("free".to_owned(), let_through(1_000))];
    UsageReport {
        from: from.to_owned(),
        hall: hall.to_owned(),
        is_forwarded,
        over_ms: 0,
        tenants,
        ..Default::default()
    }
}

#[test]
fn a_head_adds_up_its_hall_and_the_others_and_leaves_the_part_of_the_silent() {
    let start = Instant::now();
    let (tenants, members) = (tenants(), members(start));
    let rules = rules(&tenants, &members);
    let mut totals = Totals::default();
    assert!(totals.take(&report("e-1", "a", 5), rules, start).passes.iter().all(|(name, _)| name == "t"));
    assert!(totals.is_alone(rules, start));
    totals.take(&report("e-2", "a", 5), rules, start);
    let answer = totals.take(&report("e-3", "b", 65), rules, start);
    assert_eq!(answer.passes, [("t".to_owned(), 0.0)]);
    assert_eq!(totals.window("t").unwrap().used(|_| true), 75.0);
    assert!(totals.window("free").is_none() && !totals.is_alone(rules, start));
    // Once e-2 and the other hall are silent, a quarter of the quota is left: 17.5 in a window, of
    // which the own hall used 10.
    let mut now = start;
    for _ in 0..20 {
        now += Duration::from_millis(100);
        totals.take(&report("e-1", "a", 0), rules, now);
    }
    let asks =
        UsageReport { tenants: vec![("t".to_owned(), Usage { admitted: 0, offered: 20 })], ..report("e-1", "a", 0) };
    let answer = totals.take(&asks, rules, now);
    // Of what was before the head began 12.5 are unknown and leave at 2.5 a second; the window is
    // overfull by 5.
    let allowed = 2.5 - 5.0;
    let expected = f64::max(allowed / 40.0, 0.0);
    let share = f64::from(answer.passes[0].1);
    assert!((share - expected).abs() < 0.01, "{share} {expected}");
}

#[test]
fn what_another_hall_lacks_is_told_once_and_kept_where_it_fails() {
    let start = Instant::now();
    let (tenants, members) = (tenants(), members(start));
    let rules = Rules {
        tenants: &tenants,
        members: &members,
        window: WINDOW,
        slack: 0.0,
        own: Place { name: "e-1", hall: "a" },
    };
    let mut totals = Totals::default();
    totals.take(&report("e-1", "a", 3), rules, start);
    totals.take(&report("e-2", "a", 4), rules, start);
    totals.take(&report("e-3", "b", 50), rules, start);
    let count = |told: &[(String, Usage)]| told.iter().find(|(name, _)| name == "t").map(|(_, usage)| usage.offered);
    let told = totals.begin_forward("b", start).0;
    assert_eq!(count(&told), Some(7));
    assert!(totals.begin_forward("b", start).0.is_empty() && totals.begin_forward("a", start).0.is_empty());
    totals.restore_forward("b", told, start);
    totals.take(&report("e-2", "a", 1), rules, start);
    assert_eq!(count(&totals.begin_forward("b", start).0), Some(8));
}

#[test]
fn a_head_that_was_told_nothing_for_a_while_begins_anew() {
    let start = Instant::now();
    let (tenants, members) = (tenants(), members(start));
    let rules = Rules {
        tenants: &tenants,
        members: &members,
        window: WINDOW,
        slack: 0.0,
        own: Place { name: "e-1", hall: "a" },
    };
    let mut totals = Totals::default();
    totals.take(&report("e-2", "a", 1), rules, start);
    assert!(totals.is_head(start));
    let later = start + seconds(30.0);
    assert!(!totals.is_head(later));
    totals.take(&report("e-2", "a", 0), rules, later);
    assert_eq!(totals.window("t").unwrap().used(|_| true), 0.0);
}

#[test]
fn all_instances_find_the_same_head_and_the_next_where_it_fails() {
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
fn members_that_lost_their_keys_count_for_a_while() {
    let start = Instant::now();
    let (tenants, mut members) = (tenants(), members(start));
    for name in ["e-2", "e-3", "e-4"] {
        members.remove(name, start);
    }
    assert_eq!((members.count(), members.recent_count(start)), (1, 4));
    let mut totals = Totals::default();
    totals.take(&report("e-1", "a", 5), rules(&tenants, &members), start);
    assert!(totals.is_alone(rules(&tenants, &members), start), "the others may live");
    members.insert("e-2".to_owned(), member(b'2'.into(), "a"), start + seconds(1.0));
    assert_eq!(members.recent_count(start + seconds(2.0)), 4);
    let later = start + seconds(10.1);
    assert_eq!(members.recent_count(later), 2);
    members.remove("e-2", later);
    assert_eq!((members.recent_count(later), members.recent_count(later + seconds(10.1))), (2, 1));
}
