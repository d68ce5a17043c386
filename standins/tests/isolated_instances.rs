//! Instances that lose every target while callers, the store and the other instances reach them.

mod common;
#[path = "common/cut_fleet.rs"]
mod cut_fleet;
#[path = "common/hanging_address.rs"]
mod hanging_address;

use common::program;
use cut_fleet::{Fleet, Seen, assert_served, counts, routes};
use hanging_address::hanging_address;
use standins::http;
use standins::partition::Cut;
use standins::scene::SERVICE;
use standins::site::{InstanceProcess, MEMORY_MB, RouteSpec, TenantSpec, TestRequest};
use standins::slow_caller::SlowCaller;
use standins::store::Trouble;
use standins::target_server::{Registration, TargetState, large_body};
use standins::wait::{wait_for, wait_until};
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// Traffic before a cut.
const BEFORE: Duration = Duration::from_secs(2);
/// Time from which callers of an instance that is cut off are served.
const CONTACT: Duration = Duration::from_millis(2_500);
/// Length of a cut.
const CUT: Duration = Duration::from_secs(7);
/// Time within which instances that are cut off are not named any more.
const NAMED: Duration = Duration::from_secs(2);
/// Time within which an instance serves by itself again.
const BACK: Duration = Duration::from_secs(1);
/// Traffic after a cut.
const AFTER: Duration = Duration::from_millis(3_500);
/// Time in which a request that cannot be served is refused.
const AT_ONCE: Duration = Duration::from_millis(500);

/// Descriptors of an instance, from its settings.
const DESCRIPTORS: usize = 4_100;
/// Requests a second of a tenant: more than the callers send, and less than twice as many.
const QUOTA: f64 = 600.0;

/// Requests a second that an instance takes from others with a fiftieth of a processor.
const FORWARDED_RATE: f64 = 20.0;

const ALL: [usize; 6] = [0, 1, 2, 3, 4, 5];
const HALF: [usize; 3] = [0, 2, 4];

fn others(cut_off: &[usize]) -> Vec<usize> {
    ALL.into_iter().filter(|number| !cut_off.contains(number)).collect()
}

async fn assert_not_named(fleet: &Fleet, cut_off: &[usize]) {
    let addresses = fleet.addresses(cut_off);
    for instance in &fleet.instances {
        for region in ["a", "b"] {
            let named = instance.resolve(region).await;
            assert!(!named.is_empty(), "{} names nobody in {region}", instance.name);
            let wrong: Vec<&String> = named.iter().filter(|address| addresses.contains(address)).collect();
            assert!(wrong.is_empty(), "{} names {wrong:?} to callers of {region}", instance.name);
        }
    }
}

/// What came of a cut.
struct Outcome {
    seen: Vec<Seen>,
    began: Instant,
    ended: Instant,
    /// Requests that the instances which were cut off had forwarded once they had to serve by themselves
    /// again, and at the end.
    forwarded: [f64; 2],
}

impl Outcome {
    /// Checks that callers of instances were served from `CONTACT` after the cut began until its end.
    fn assert_served_meanwhile(&self, instances: &[usize]) {
        assert_served("at those cut off", &self.seen, instances, self.began + CONTACT..self.ended);
    }

    fn assert_served_after(&self) {
        assert_served("after the cut", &self.seen, &ALL, self.ended + BACK..Instant::now());
    }

    /// Requests that began while the cut lasted and was known.
    fn meanwhile(&self) -> Vec<&Seen> {
        self.seen.iter().filter(|seen| (self.began + CONTACT..self.ended).contains(&seen.began)).collect()
    }
}

/// Cuts instances off under load, and lets them pass again; `meanwhile` runs while they are cut off.
async fn cut(fleet: &Fleet, key: &'static str, cut_off: &[usize], cut: Cut, meanwhile: impl AsyncFnOnce()) -> Outcome {
    let load = fleet.load_with_key(key);
    sleep(BEFORE).await;
    fleet.cut(cut_off, cut);
    let began = Instant::now();
    meanwhile().await;
    sleep(CUT.saturating_sub(began.elapsed())).await;
    fleet.partition.heal_all();
    let ended = Instant::now();
    sleep(BACK).await;
    let at_first = fleet.metric(cut_off, "lockloft_entry_forwarded_total", "").await;
    sleep(AFTER).await;
    let forwarded = [at_first, fleet.metric(cut_off, "lockloft_entry_forwarded_total", "").await];
    let seen = load.stop().await;
    fleet.check_promises(&seen);
    Outcome { seen, began, ended, forwarded }
}

async fn callers_are_served(cut_off: &[usize], how: Cut, meanwhile: impl AsyncFnOnce(&Fleet)) {
    let fleet = Fleet::start().await;
    let outcome = cut(&fleet, "", cut_off, how, async || {
        sleep(NAMED).await;
        assert_not_named(&fleet, cut_off).await;
        meanwhile(&fleet).await;
    })
    .await;
    outcome.assert_served_meanwhile(cut_off);
    assert_served("at the others", &outcome.seen, &others(cut_off), outcome.began..outcome.ended);
    outcome.assert_served_after();
    let [at_first, at_last] = outcome.forwarded;
    assert!(at_first > 0.0, "callers are served by way of others");
    assert_eq!(at_first, at_last, "an instance serves by itself again");
}

#[tokio::test(flavor = "multi_thread")]
async fn callers_are_served_while_half_of_all_instances_hear_nothing_of_any_target() {
    callers_are_served(&HALF, Cut::Silent, async |_| {}).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn callers_are_served_while_connections_of_half_of_all_instances_are_reset() {
    callers_are_served(&HALF, Cut::Reset, async |_| {}).await;
}

/// Checks that callers of these instances are served while connections that were open live on and new ones fail.
async fn callers_are_served_beside_open_connections(cut_off: &[usize]) {
    let fleet = Fleet::start().await;
    let outcome = cut(&fleet, "", cut_off, Cut::RefuseNew, async || {}).await;
    outcome.assert_served_meanwhile(cut_off);
    outcome.assert_served_after();
}

#[tokio::test(flavor = "multi_thread")]
async fn callers_are_served_over_open_connections_while_new_ones_fail() {
    callers_are_served_beside_open_connections(&HALF).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn callers_are_served_while_connections_of_one_instance_are_reset() {
    callers_are_served(&[3], Cut::Reset, async |_| {}).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn callers_are_served_while_connections_of_a_whole_hall_are_reset() {
    callers_are_served(&[2, 3], Cut::Reset, async |_| {}).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn callers_are_served_while_connections_of_all_of_a_region_are_reset() {
    callers_are_served(&[0, 1, 2, 3], Cut::Reset, async |_| {}).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn callers_are_served_while_connections_of_all_instances_but_one_are_reset() {
    callers_are_served(&[0, 1, 2, 4, 5], Cut::Reset, async |_| {}).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn callers_are_served_while_new_connections_of_a_whole_hall_fail() {
    callers_are_served_beside_open_connections(&[0, 1]).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn callers_are_served_while_new_connections_of_all_of_a_region_fail() {
    callers_are_served_beside_open_connections(&[0, 1, 2, 3]).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn callers_are_served_while_one_instance_is_cut_off() {
    callers_are_served(&[3], Cut::Silent, async |_| {}).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn callers_are_served_while_a_whole_hall_is_cut_off() {
    callers_are_served(&[0, 1], Cut::Silent, async |_| {}).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn callers_are_served_while_all_of_a_region_are_cut_off() {
    callers_are_served(&[0, 1, 2, 3], Cut::Silent, async |_| {}).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn callers_are_served_while_all_instances_but_one_are_cut_off() {
    callers_are_served(&[0, 1, 2, 4, 5], Cut::Silent, async |_| {}).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn callers_are_served_while_the_store_is_lost_as_well() {
    callers_are_served(&HALF, Cut::Silent, async |fleet| fleet.site.endpoint.set(Trouble::Silent)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn callers_are_served_while_the_configuration_changes_and_targets_drain() {
    callers_are_served(&HALF, Cut::Silent, async |fleet| {
        let added = RouteSpec::new("/later/", "safe", SERVICE);
        fleet.site.configure(2, &[routes(), vec![added]].concat(), &[SERVICE]);
        let registration =
            Registration { state: TargetState::Draining, sequence: 2, ..Registration::ready(SERVICE, "a-1") };
        fleet.site.register_at(&fleet.targets[0], fleet.proxies[0].address, &registration);
        let drained = Instant::now();
        fleet.instances[0].wait_status("/later/a", 200).await;
        sleep(Duration::from_secs(2)).await;
        let late = fleet.targets[0].runs().iter().filter(|run| run.at > drained + Duration::from_secs(2)).count();
        assert_eq!(late, 0, "a target that drains gets nothing by way of others either");
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn callers_are_served_while_targets_close_each_connection_and_new_ones_fail() {
    let fleet = Fleet::start().await;
    fleet.targets.iter().for_each(|target| target.state(&[("Connection", "close")]));
    let named = async || {
        sleep(NAMED).await;
        assert_not_named(&fleet, &HALF).await;
    };
    let outcome = cut(&fleet, "", &HALF, Cut::RefuseNew, named).await;
    outcome.assert_served_meanwhile(&HALF);
    outcome.assert_served_after();
}

#[tokio::test(flavor = "multi_thread")]
async fn callers_are_served_in_a_second_cut_that_follows_on_the_first() {
    let fleet = Fleet::start().await;
    let load = fleet.load();
    sleep(BEFORE).await;
    let mut cuts = Vec::new();
    for (cut_off, how) in [(HALF, Cut::Silent), ([0, 1, 5], Cut::Reset), ([0, 1, 5], Cut::Silent)] {
        fleet.cut(&cut_off, how);
        let began = Instant::now();
        sleep(CUT).await;
        fleet.partition.heal_all();
        cuts.push((cut_off, began + CONTACT..Instant::now()));
        sleep(BACK).await;
    }
    let seen = load.stop().await;
    fleet.check_promises(&seen);
    for (cut_off, time) in cuts {
        assert_served("at those cut off", &seen, &cut_off, time);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn callers_are_served_while_instances_that_serve_for_others_are_cut_off_as_well() {
    let fleet = Fleet::start().await;
    let mut grown = Instant::now();
    let outcome = cut(&fleet, "", &[0, 2], Cut::Silent, async || {
        sleep(CUT).await;
        fleet.cut(&[1, 4], Cut::Silent);
        grown = Instant::now();
        sleep(CUT).await;
    })
    .await;
    assert_served("before it grew", &outcome.seen, &[0, 2], outcome.began + CONTACT..grown);
    assert_served("once it has grown", &outcome.seen, &[0, 1, 2, 4], grown + CONTACT..outcome.ended);
    outcome.assert_served_after();
}

/// Sends a signal to an instance that serves for others. The share of their callers' requests that was served
/// from then on, of which some were on their way to it.
async fn served_after_signal(signal: libc::c_int) -> f64 {
    let fleet = Fleet::start().await;
    let mut sent = Instant::now();
    let outcome = cut(&fleet, "", &HALF, Cut::Silent, async || {
        sleep(CONTACT).await;
        fleet.instances[1].signal(signal);
        sent = Instant::now();
    })
    .await;
    fleet.instances[1].signal(libc::SIGCONT);
    let (served, asked) = counts(&outcome.seen, &HALF, sent..outcome.ended);
    assert!(asked >= 50, "{asked} requests show nothing");
    served as f64 / asked as f64
}

#[tokio::test(flavor = "multi_thread")]
async fn callers_are_served_while_an_instance_that_serves_for_others_ends() {
    let share = served_after_signal(libc::SIGKILL).await;
    assert!(share >= 0.95, "{share} served");
}

#[tokio::test(flavor = "multi_thread")]
async fn callers_are_served_while_an_instance_that_serves_for_others_is_suspended() {
    let share = served_after_signal(libc::SIGSTOP).await;
    assert!(share >= 2.0 / 3.0, "{share} served");
}

/// Checks that requests were refused at once and that their callers were told when to come back.
fn assert_refused_at_once(requests: &[&Seen]) {
    let late = requests.iter().filter(|seen| seen.took > AT_ONCE).count();
    assert!(late <= 1 + requests.len() / 50, "{late} of {} wait", requests.len());
    let refused = requests.iter().filter(|seen| seen.status == Some(503) && seen.retry_after.is_some()).count();
    assert!(refused + 1 + requests.len() / 50 >= requests.len(), "{refused} of {} are told when", requests.len());
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_are_refused_at_once_where_no_instance_reaches_a_target() {
    let fleet = Fleet::start().await;
    let outcome = cut(&fleet, "", &ALL, Cut::Silent, async || {}).await;
    assert_refused_at_once(&outcome.meanwhile());
    outcome.assert_served_after();
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_are_refused_at_once_where_no_connection_to_a_target_comes_up() {
    let fleet = Fleet::start().await;
    let (address, _listener, _waiting) = hanging_address();
    let load = fleet.load();
    sleep(BEFORE).await;
    fleet.move_targets(2, |_| address);
    let began = Instant::now();
    sleep(CUT).await;
    fleet.move_targets(3, |number| fleet.proxies[number].address);
    let ended = Instant::now();
    sleep(BACK + AFTER).await;
    let seen = load.stop().await;
    fleet.check_promises(&seen);
    let meanwhile: Vec<&Seen> = seen.iter().filter(|seen| (began + CONTACT..ended).contains(&seen.began)).collect();
    assert!(meanwhile.len() >= 50, "{} requests show nothing", meanwhile.len());
    assert_refused_at_once(&meanwhile);
    assert_served("once they come up", &seen, &ALL, ended + NAMED..Instant::now());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_quota_counts_a_request_once_that_another_instance_sends() {
    let mut fleet = Fleet::start_targets().await;
    let tenant = TenantSpec::new("one", &["key-of-one"]).quota(QUOTA, QUOTA);
    fleet.site.configure_tenants(1, &routes(), &[SERVICE], &[tenant]);
    fleet.start_instances().await;
    let outcome = cut(&fleet, "key-of-one", &[0, 1, 2, 3, 4], Cut::Silent, async || {}).await;
    let (served, sent) = counts(&outcome.seen, &ALL, outcome.began + CONTACT..outcome.ended);
    let rate = sent as f64 / (CUT - CONTACT).as_secs_f64();
    assert!(rate < QUOTA, "callers send {rate} a second, which the quota allows");
    assert!(sent - served <= 1 + sent / 50, "{served} of {sent} served");
    assert!(fleet.runs().values().flatten().all(|run| !run.has_key && run.tenant.as_deref() == Some("one")));
}

/// Descriptors that a process has open, and the processor time that it has used, seconds.
fn use_of(process: u32) -> (usize, f64) {
    let descriptors = std::fs::read_dir(format!("/proc/{process}/fd")).unwrap().count();
    let stat = std::fs::read_to_string(format!("/proc/{process}/stat")).unwrap();
    let fields: Vec<&str> = stat.rsplit(')').next().unwrap().split_whitespace().collect();
    let ticks = fields[11].parse::<f64>().unwrap() + fields[12].parse::<f64>().unwrap();
    (descriptors, ticks / 100.0)
}

#[tokio::test(flavor = "multi_thread")]
async fn the_others_have_room_for_what_half_of_all_instances_forward() {
    let fleet = Fleet::start().await;
    let load = fleet.load();
    let processes: Vec<u32> = others(&HALF).iter().map(|other| fleet.instances[*other].pid().unwrap()).collect();
    let used = || processes.iter().map(|process| use_of(*process)).collect::<Vec<_>>();
    sleep(BEFORE).await;
    let first = used();
    sleep(Duration::from_secs(3)).await;
    let before = used();
    fleet.cut(&HALF, Cut::Silent);
    sleep(CONTACT).await;
    let begin = used();
    sleep(Duration::from_secs(3)).await;
    let end = used();
    load.stop().await;
    for other in 0..processes.len() {
        let usual = before[other].1 - first[other].1;
        let carried = end[other].1 - begin[other].1;
        let memory = fleet.instances[others(&HALF)[other]].peak_memory().unwrap();
        eprintln!(
            "{} and {} descriptors, {usual:.2} and {carried:.2} s of processor time in 3 s, {memory} kB at most",
            before[other].0, end[other].0
        );
        assert!(end[other].0 < DESCRIPTORS / 8, "{} descriptors", end[other].0);
        assert!(memory < MEMORY_MB * 1_000, "{memory} kB");
        // Twice the requests, and each of the second half comes over another connection.
        assert!(carried < 4.0 * usual + 0.1, "{carried} s of processor time where {usual} s are usual");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn callers_of_an_instance_come_before_those_that_others_forward() {
    let mut fleet = Fleet::start_targets().await;
    fleet.site.configure(1, &routes(), &[SERVICE]);
    // Callers send some seventy requests a second to each instance, and more where they are refused.
    fleet.start_instances_with(|text| text.replace("[limits]\n", "[limits]\ncpu_share = 0.02\n")).await;
    let outcome = cut(&fleet, "", &HALF, Cut::Silent, async || {}).await;
    assert_served("at the others", &outcome.seen, &others(&HALF), outcome.began..outcome.ended);
    let (served, sent) = counts(&outcome.seen, &HALF, outcome.began + CONTACT..outcome.ended);
    let time = (outcome.ended - outcome.began - CONTACT).as_secs_f64();
    let taken = FORWARDED_RATE * others(&HALF).len() as f64 * time;
    let is_bounded = (taken * 2.0 / 3.0..taken * 1.1).contains(&(served as f64));
    assert!(is_bounded, "{served} of {sent} are served where the others take {taken:.0}");
    let meanwhile = outcome.meanwhile();
    let refused: Vec<_> = meanwhile.iter().filter(|seen| !seen.is_served()).collect();
    let at_once = refused.iter().filter(|seen| seen.status == Some(503) && seen.took < AT_ONCE).count();
    assert!(at_once + 1 + refused.len() / 50 >= refused.len(), "{at_once} of {} at once", refused.len());
}

/// Guards against requests that are given up although no other try is allowed: the cut may end before their
/// time does.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_allows_no_other_try_waits_for_its_answer_through_a_cut() {
    let mut fleet = Fleet::start_targets().await;
    let once = RouteSpec { max_attempts: 1, ..RouteSpec::new("/once/", "safe", SERVICE) };
    fleet.site.configure(1, &[routes(), vec![once]].concat(), &[SERVICE]);
    fleet.start_instances().await;
    let load = fleet.load();
    sleep(BEFORE).await;
    fleet.targets.iter().for_each(|target| target.set_work(Duration::from_millis(200)));
    let callers = fleet.instances[0].callers;
    let isolated = || !fleet.instances[0].events("reach").is_empty();
    let requests = (0..20).map(|number| {
        let request = TestRequest { deadline_ms: 8_000, ..TestRequest::get("/once/a") }.affinity(number);
        tokio::spawn(async move { request.send(callers).await })
    });
    let sent: Vec<_> = requests.collect();
    wait_until("their runs", || fleet.runs_of("/once/") == 20).await;
    fleet.cut(&[0], Cut::Silent);
    wait_until("that the cut is known", isolated).await;
    fleet.partition.heal_all();
    for request in sent {
        assert_eq!(request.await.unwrap().unwrap().status, 200);
    }
    load.stop().await;
}

/// Guards against forwarded requests that are given up although no further instance is tried.
#[tokio::test(flavor = "multi_thread")]
async fn a_forwarded_request_waits_for_its_answer_through_a_cut_of_the_instance_that_sent_it() {
    let fleet = Fleet::start().await;
    let load = fleet.load();
    sleep(BEFORE).await;
    fleet.cut(&[0], Cut::Silent);
    sleep(CONTACT).await;
    fleet.targets.iter().for_each(|target| target.set_work(Duration::from_millis(200)));
    let callers = fleet.instances[0].callers;
    let requests = (0..20).map(|number| {
        let request = TestRequest { deadline_ms: 8_000, ..TestRequest::get("/look/forwarded") }.affinity(number);
        tokio::spawn(async move { request.send(callers).await })
    });
    let sent: Vec<_> = requests.collect();
    wait_until("their runs", || fleet.runs_of("/look/forwarded") == 20).await;
    fleet.cut(&others(&[0]), Cut::Silent);
    wait_until("that the cuts are known", || {
        others(&[0]).into_iter().all(|number| !fleet.instances[number].events("reach").is_empty())
    })
    .await;
    fleet.partition.heal_all();
    for request in sent {
        assert_eq!(request.await.unwrap().unwrap().status, 200);
    }
    load.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_leaves_ends_the_work_of_its_request_at_the_target() {
    let fleet = Fleet::start().await;
    let load = fleet.load();
    sleep(BEFORE).await;
    fleet.cut(&HALF, Cut::Silent);
    sleep(CONTACT).await;
    load.stop().await;
    fleet.targets.iter().for_each(|target| target.set_work(Duration::from_secs(3)));
    let request = TestRequest { deadline_ms: 8_000, ..TestRequest::post("/buy/a", "one") };
    let sent = http::once(fleet.instances[0].callers, request.request(), Duration::from_millis(700)).await;
    assert!(sent.is_err(), "the caller has left");
    wait_until("the end of the run", || {
        fleet.runs().get(&request.id).is_some_and(|runs| runs.len() == 1 && runs[0].cut)
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn operators_see_that_an_instance_reaches_no_target_and_who_serves_its_callers() {
    let fleet = Fleet::start().await;
    let load = fleet.load();
    sleep(BEFORE).await;
    fleet.cut(&[0], Cut::Silent);
    let isolated = &fleet.instances[0];
    wait_for("the status", async || isolated.status().await["reach"] == "nothing").await;
    let why = http::get(isolated.peers, "/why?host=shop.example&path=/look/a&object=1").await.unwrap();
    let why: serde_json::Value = serde_json::from_slice(&why.body).unwrap();
    assert_eq!(why["reach"], "nothing", "{why}");
    let request = TestRequest::get("/look/a");
    assert_eq!(request.send(isolated.callers).await.unwrap().status, 200);
    let own = isolated.request_line(&request.id).await;
    let by = own["forwarded_to"].as_str().expect("the line names the other instance").to_owned();
    let other = fleet.instances.iter().find(|instance| instance.peers.to_string() == by).expect("it is one of ours");
    assert_eq!(other.request_line(&request.id).await["forwarded_by"], "e-0");
    let lines = isolated.events("reach");
    assert_eq!((lines[0]["reach"].as_str(), lines[0]["before"].as_str()), (Some("nothing"), Some("targets")));
    fleet.partition.heal_all();
    wait_for("the end", async || isolated.status().await["reach"].is_null()).await;
    load.stop().await;
}

/// Checks that what happens in `trouble` is not taken for a cut of an instance's links.
async fn nobody_is_isolated(trouble: impl AsyncFnOnce(&mut Fleet)) -> Vec<Seen> {
    let mut fleet = Fleet::start().await;
    let load = fleet.load();
    sleep(BEFORE).await;
    trouble(&mut fleet).await;
    sleep(CUT).await;
    let seen = load.stop().await;
    fleet.check_promises(&seen);
    for instance in &fleet.instances {
        let turns = instance.events("reach");
        assert!(turns.is_empty(), "{}: {turns:?}", instance.name);
    }
    assert_eq!(fleet.metric(&ALL, "lockloft_entry_forwarded_total", "").await, 0.0);
    seen
}

#[tokio::test(flavor = "multi_thread")]
async fn one_dead_target_isolates_nobody() {
    let mut died = Instant::now();
    let seen = nobody_is_isolated(async |fleet| {
        fleet.targets.remove(0).stop().await;
        died = Instant::now();
    })
    .await;
    assert_served("beside a dead target", &seen, &ALL, died + CONTACT..Instant::now());
}

#[tokio::test(flavor = "multi_thread")]
async fn dead_targets_of_one_hall_isolate_nobody() {
    let mut died = Instant::now();
    let seen = nobody_is_isolated(async |fleet| {
        // Targets of the hall `a-1`, from the last on so that the numbers hold.
        for number in [9, 6, 3, 0] {
            fleet.targets.remove(number).stop().await;
        }
        died = Instant::now();
    })
    .await;
    assert_served("beside a dead hall", &seen, &ALL, died + CONTACT..Instant::now());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_service_without_targets_isolates_nobody() {
    let seen = nobody_is_isolated(async |fleet| {
        let empty = RouteSpec::new("/empty/", "safe", "empty");
        fleet.site.configure(2, &[routes(), vec![empty]].concat(), &[SERVICE, "empty"]);
        fleet.instances[0].wait_status("/empty/a", 503).await;
        for _ in 0..50 {
            let reply = TestRequest::get("/empty/a").send(fleet.instances[0].callers).await.unwrap();
            assert_eq!(reply.status, 503);
            sleep(Duration::from_millis(20)).await;
        }
    })
    .await;
    assert!(seen.iter().all(Seen::is_served));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_service_whose_targets_are_all_dead_isolates_nobody() {
    nobody_is_isolated(async |fleet| {
        let target = standins::scene::start_target_of(&fleet.site, "d-0", "dead", "a-1").await;
        let second = standins::scene::start_target_of(&fleet.site, "d-1", "dead", "b-1").await;
        let dead = RouteSpec::new("/dead/", "safe", "dead");
        fleet.site.configure(2, &[routes(), vec![dead]].concat(), &[SERVICE, "dead"]);
        fleet.instances[0].wait_status("/dead/a", 200).await;
        target.stop().await;
        second.stop().await;
        for _ in 0..100 {
            let reply = TestRequest::get("/dead/a").send(fleet.instances[0].callers).await.unwrap();
            assert_ne!(reply.status, 200);
            sleep(Duration::from_millis(20)).await;
        }
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn overloaded_targets_isolate_nobody() {
    nobody_is_isolated(async |fleet| {
        fleet.targets.iter().for_each(|target| target.set(standins::target_server::Misbehaviour::Full));
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn slow_targets_isolate_nobody() {
    let mut slow = Instant::now();
    let seen = nobody_is_isolated(async |fleet| {
        fleet.targets.iter().for_each(|target| target.set_work(Duration::from_millis(700)));
        slow = Instant::now();
    })
    .await;
    let answered = seen.iter().filter(|seen| seen.began > slow + CONTACT && seen.is_served()).count();
    assert!(answered > 50, "{answered} requests are served by slow targets");
}

#[tokio::test(flavor = "multi_thread")]
async fn targets_whose_answers_are_all_overdue_isolate_nobody() {
    nobody_is_isolated(async |fleet| {
        fleet.targets.iter().for_each(|target| target.set_work(Duration::from_millis(1_500)));
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_at_either_end_cuts_no_answer_that_came_through_another_instance() {
    // The last two are beyond what an instance holds of one answer.
    for size in [60_000, 85_000, 100_000, 115_000, 300_000, 1_300_000, 3_000_000] {
        let mut fleet = Fleet::start().await;
        fleet.cut(&[0], Cut::Silent);
        wait_for("it forwards", async || {
            let _ = TestRequest::get("/look/a").send(fleet.instances[0].callers).await;
            fleet.metric(&[0], "lockloft_entry_forwarded_total", "answered").await > 0.0
        })
        .await;
        let request = TestRequest { deadline_ms: 8_000, ..TestRequest::get(&format!("/pack/{size}")) };
        let mut caller = SlowCaller::send_kept(fleet.instances[0].callers, &request).await.unwrap();
        caller.read_head().await;
        fleet.instances.iter().for_each(InstanceProcess::terminate);
        sleep(Duration::from_millis(2_500)).await;
        let received = caller.read_answers(1).await;
        let [answer] = &received[..] else { panic!("{size} bytes: {} answers", received.len()) };
        assert!(answer.is_whole && answer.status == 200, "{} of {size} bytes", answer.body.len());
        assert!(answer.body == large_body(&request.id, size).as_bytes(), "the body is another");
        for instance in &mut fleet.instances {
            assert!(instance.wait_exit().await.success());
        }
    }
}
