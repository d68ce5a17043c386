//! What follows the end of a task, and what a panic leaves of the state, without processes.

mod scene;

use bytes::Bytes;
use hyper::header::HeaderName;
use lockloft::clock::sleep;
use lockloft::decision::failure::task_end::{FIRST_DELAY, MAX_DELAY, Restarts, STABLE_TIME, Surroundings};
use lockloft::instance::supervisor::keep_running;
use lockloft::model::member::{Capacity, Member};
use lockloft::model::record::{Record, RecordError, RemovedRecord};
use lockloft::platform::{CallerPlace, HeaderNames, Platform};
use lockloft::settings::Settings;
use lockloft::state::{Instance, StaleReason};
use lockloft::store::era::{Era, Position};
use lockloft::store::freshness::Proof;
use lockloft::store::{Event, Item, Listing};
use lockloft::task::{self, TaskEnd};
use lockloft::telemetry::log::{Lines, Log};
use scene::{NoStore, TestPlatform};
use std::cell::Cell;
use std::net::SocketAddr;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::LocalSet;

/// Value at which decoding panics.
const PANICS: &str = "panics";
/// Part of a key whose removal panics.
const PANICS_REMOVED: &str = "panics-removed";

/// [`TestPlatform`], but some values panic. Keys of members begin with `e/`, those of evacuations with
/// `evacuated/`.
struct PanickingPlatform;

impl Platform for PanickingPlatform {
    type Store = NoStore;

    fn headers() -> HeaderNames {
        let name = HeaderName::from_static;
        HeaderNames {
            request_id: name("id"),
            deadline_ms: name("deadline"),
            affinity_key: name("key"),
            signature: name("signature"),
            expected_target: name("target"),
            target_id: name("target-id"),
            load: name("load"),
            rate_limit: name("limit"),
            leaving: name("leaving"),
            not_executed: name("not-run"),
            api_key: name("api-key"),
            tenant: name("tenant"),
        }
    }
    fn ready_path() -> &'static str {
        TestPlatform::ready_path()
    }
    fn own_prefix() -> &'static str {
        "e/"
    }
    fn strikes_prefix() -> &'static str {
        TestPlatform::strikes_prefix()
    }
    fn policies_key() -> &'static str {
        TestPlatform::policies_key()
    }
    fn decode(item: &Item) -> Result<Record, RecordError> {
        assert_ne!(item.value, PANICS, "the value of {} panics", item.key);
        TestPlatform::decode(item)
    }
    fn decode_removal(key: &str) -> RemovedRecord {
        assert!(!key.contains(PANICS_REMOVED), "the removal of {key} panics");
        match key.strip_prefix("evacuated/") {
            Some(hall) => RemovedRecord::Evacuation(hall.to_owned()),
            None if key.starts_with("e/") => RemovedRecord::Member(key.to_owned()),
            None => RemovedRecord::Target(key.to_owned()),
        }
    }
    fn directory_question(_: &str, _: &str) -> Option<CallerPlace> {
        None
    }
    fn directory_answer(_: &[SocketAddr], _: Duration) -> Bytes {
        Bytes::new()
    }
}

fn instance() -> Instance<PanickingPlatform> {
    let text = "[instance]\nname = \"i0\"\nhall = \"a-1\"\nregion = \"a\"\n\
        [listen]\ncallers = \"127.0.0.1:101\"\nreadiness = \"127.0.0.1:102\"\n\
        directory = \"127.0.0.1:103\"\npeers = \"127.0.0.1:104\"\n\
        [store]\naddress = \"127.0.0.1:5\"\nshortest_lease_ms = 1000\n\
        [bounds]\nstop_s = 6\ndirectory_ttl_s = 5\nretry_ratio = 0.2\nretry_slack = 64\ncold_overage = 1.5\ncold_slack = 5\n\
        [limits]\nmemory_mb = 260\ndescriptors = 4100\n";
    let settings = Settings::parse(Path::new("node.toml"), text).expect("valid settings");
    Instance::new(settings, NoStore, Log::start(0))
}

fn item(key: &str, value: &str, revision: u64) -> Item {
    Item { key: key.to_owned(), value: Bytes::copy_from_slice(value.as_bytes()), revision }
}

fn put(key: &str, value: &str, revision: u64) -> Event {
    Event::Put(item(key, value, revision))
}

fn removal(key: &str, revision: u64) -> Event {
    Event::Delete { key: key.to_owned(), revision }
}

fn target(key: &str, sequence: u64, revision: u64) -> Event {
    put(key, &format!("a-1 4 ready {sequence} 0"), revision)
}

fn member(port: u16) -> String {
    let address = SocketAddr::from(([127, 0, 0, 1], port));
    let (hall, region) = ("a-1".to_owned(), "a".to_owned());
    let member =
        Member { callers: address, peer: address, hall, region, isolated: false, capacity: Capacity::default() };
    String::from_utf8(member.to_json().to_vec()).unwrap()
}

/// Applies events as a task does that panics at one of them; returns whether it panicked.
fn panics(instance: &Instance<PanickingPlatform>, events: &[Event], at: impl Into<Position>) -> bool {
    let apply = || instance.apply_events(events.to_vec(), at.into(), "watch");
    catch_unwind(AssertUnwindSafe(apply)).is_err()
}

fn uses(instance: &Instance<PanickingPlatform>, target: &str) -> bool {
    instance.routing.borrow().targets().any(|known| *known.id == *target && known.is_ready())
}

fn revision(instance: &Instance<PanickingPlatform>) -> u64 {
    instance.store_copy.view().position().revision
}

#[test]
fn a_task_is_started_again_with_growing_delays_until_it_runs_for_long() {
    let mut restarts = Restarts::default();
    let mut after = |ran_for| restarts.record_end(TaskEnd::Panicked, ran_for, Surroundings::default()).unwrap();
    let delays: Vec<Duration> = (0..8).map(|_| after(Duration::ZERO)).collect();
    assert_eq!((delays[0], delays[1], delays[7]), (FIRST_DELAY, FIRST_DELAY * 2, MAX_DELAY));
    assert!(delays.is_sorted());
    assert_eq!(after(STABLE_TIME), FIRST_DELAY);
}

#[test]
fn a_task_that_returns_is_started_again_unless_the_instance_stops() {
    let mut restarts = Restarts::default();
    let stopping = Surroundings { is_stopping: true, ..Surroundings::default() };
    assert!(restarts.record_end(TaskEnd::Returned, Duration::ZERO, Surroundings::default()).is_some());
    assert!(restarts.record_end(TaskEnd::Returned, Duration::ZERO, stopping).is_none());
    assert!(restarts.record_end(TaskEnd::Panicked, Duration::ZERO, stopping).is_some());
}

#[test]
fn many_values_that_panic_do_not_delay_each_other_more_and_more() {
    let mut restarts = Restarts::default();
    let refusing = Surroundings { refuses_record: true, ..Surroundings::default() };
    for _ in 0..20 {
        assert_eq!(restarts.record_end(TaskEnd::Panicked, Duration::ZERO, refusing), Some(FIRST_DELAY));
    }
}

#[tokio::test(start_paused = true)]
async fn a_periodic_task_that_panics_goes_on() {
    let rounds = Rc::new(Cell::new(0));
    let counted = rounds.clone();
    let start = move || {
        let rounds = counted.clone();
        async move {
            loop {
                sleep(Duration::from_millis(500)).await;
                rounds.set(rounds.get() + 1);
                assert!(rounds.get() != 2 && rounds.get() != 4, "round {} panics", rounds.get());
            }
        }
    };
    let kept = keep_running("periodic", Surroundings::default, start);
    let _ = LocalSet::new().run_until(tokio::time::timeout(Duration::from_secs(10), kept)).await;
    assert!(rounds.get() > 10, "{} rounds", rounds.get());
    assert!(!task::has_ended("periodic"));
    let ends = task::end_counts().into_iter().find(|count| count.task == "periodic").unwrap();
    assert_eq!((ends.end, ends.count), (TaskEnd::Panicked, 2));
}

#[tokio::test(start_paused = true)]
async fn a_task_that_returned_at_the_stop_is_not_started_again() {
    let starts = Rc::new(Cell::new(0));
    let counted = starts.clone();
    let start = move || {
        counted.set(counted.get() + 1);
        async {}
    };
    let stopping = || Surroundings { is_stopping: true, ..Surroundings::default() };
    LocalSet::new().run_until(keep_running("stopped", stopping, start)).await;
    assert_eq!(starts.get(), 1);
    assert_eq!(task::ended(), ["stopped"]);
}

#[test]
fn a_view_does_not_say_what_is_not_applied() {
    let instance = instance();
    instance.apply_events(vec![target("t1", 1, 1)], 1.into(), "watch");
    instance.store_copy.record_proof(Proof::Watch, Duration::ZERO, Era::default());
    assert!(instance.store_copy.is_current());
    assert!(panics(&instance, &[target("t2", 1, 2), put("t3", PANICS, 3), target("t4", 1, 4)], 4));
    assert_eq!(revision(&instance), 1);
    let view = instance.store_copy.view();
    assert_eq!(view.changes_after(1).unwrap().count(), 0, "peers were sent what is not applied");
    assert_eq!(view.items().count(), 1);
    assert!(instance.store_copy.is_interrupted());
}

#[test]
fn a_view_that_is_not_applied_is_not_proven_current() {
    let instance = instance();
    assert!(panics(&instance, &[put("t1", PANICS, 1)], 1));
    instance.store_copy.record_proof(Proof::Read, Duration::ZERO, Era::default());
    assert_eq!(instance.store_copy.view_age(), None);
    assert_eq!(instance.store_copy.stale_reason(), Some(StaleReason::Unapplied));
    instance.resume_update();
    instance.store_copy.record_proof(Proof::Read, Duration::ZERO, Era::default());
    assert!(instance.store_copy.is_current());
}

#[test]
fn the_changes_beside_one_that_panics_are_applied_removals_included() {
    let instance = instance();
    instance.apply_events(vec![target("t1", 1, 1), target("t2", 1, 2)], 2.into(), "watch");
    let events = [removal("t1", 3), put("t3", PANICS, 4), target("t4", 1, 5), removal("t2", 6)];
    assert!(panics(&instance, &events, 6));
    instance.resume_update();
    assert_eq!(revision(&instance), 6);
    assert_eq!(["t1", "t2", "t3", "t4"].map(|id| uses(&instance, id)), [false, false, false, true]);
    assert_eq!(instance.metrics.values_refused.get(), 1);
}

#[test]
fn another_source_applies_what_a_panic_left_before_its_own_changes() {
    let instance = instance();
    assert!(panics(&instance, &[put("t1", PANICS, 1), target("t2", 1, 2)], 2));
    instance.apply_events(vec![target("t3", 1, 3)], 3.into(), "peer");
    assert_eq!(["t2", "t3"].map(|id| uses(&instance, id)), [true, true]);
    assert_eq!(revision(&instance), 3);
}

#[test]
fn several_values_that_panic_cost_one_panic_each() {
    let instance = instance();
    let events = [put("t1", PANICS, 1), put("t2", PANICS, 2), put("t3", PANICS, 3), target("t4", 1, 4)];
    assert!(panics(&instance, &events, 4));
    for _ in 0..2 {
        assert!(catch_unwind(AssertUnwindSafe(|| instance.resume_update())).is_err());
    }
    instance.resume_update();
    assert!(uses(&instance, "t4"));
    assert_eq!(revision(&instance), 4);
}

#[test]
fn a_target_whose_registration_panics_is_not_used_until_it_is_written_again() {
    let instance = instance();
    instance.apply_events(vec![target("t1", 1, 1)], 1.into(), "watch");
    assert!(panics(&instance, &[put("t1", PANICS, 2)], 2));
    instance.resume_update();
    assert!(!uses(&instance, "t1"));
    assert!(panics(&instance, &[put("t1", PANICS, 3)], 3), "the next write was not tried");
    instance.resume_update();
    instance.apply_events(vec![target("t1", 2, 4)], 4.into(), "watch");
    assert!(uses(&instance, "t1"));
}

#[test]
fn a_removal_that_panics_each_time_is_ignored() {
    let instance = instance();
    instance.apply_events(vec![target(PANICS_REMOVED, 1, 1)], 1.into(), "watch");
    let events = [removal(PANICS_REMOVED, 2), target("t2", 1, 3)];
    assert!(panics(&instance, &events, 3));
    assert!(catch_unwind(AssertUnwindSafe(|| instance.resume_update())).is_err(), "refusing it panics too");
    instance.resume_update();
    assert!(uses(&instance, "t2"));
    assert_eq!(revision(&instance), 3);
}

#[test]
fn a_list_that_panics_is_applied_as_a_whole_with_what_it_lacks() {
    let instance = instance();
    instance.apply_events(vec![target("t1", 1, 1), put("evacuated/a-2", "evacuated a-2", 2)], 2.into(), "watch");
    let items = vec![item("t2", PANICS, 3), item("t3", "a-1 4 ready 1 0", 4)];
    let list = || instance.apply_listing(Listing { items: items.clone(), at: 5.into() }, "list");
    assert!(catch_unwind(AssertUnwindSafe(list)).is_err());
    assert_eq!(revision(&instance), 2);
    instance.resume_update();
    assert_eq!(["t1", "t2", "t3"].map(|id| uses(&instance, id)), [false, false, true]);
    assert!(!instance.routing.borrow().is_evacuated("a-2"));
    assert_eq!(revision(&instance), 5);
}

#[test]
fn the_first_list_of_a_later_era_that_panics_is_applied_with_its_grace() {
    let instance = instance();
    let at = |era, revision| Position { era: Era::from(era), revision };
    let first = vec![item("evacuated/a-2", "evacuated a-2", 1), item("t1", "a-1 4 ready 1 0", 2)];
    instance.apply_listing(Listing { items: first, at: at(1, 2) }, "list");
    let second = vec![item("t2", PANICS, 1), item("t3", "a-1 4 ready 1 0", 2)];
    let list = || instance.apply_listing(Listing { items: second.clone(), at: at(2, 2) }, "list");
    assert!(catch_unwind(AssertUnwindSafe(list)).is_err());
    assert_eq!(instance.store_copy.view().position(), at(1, 2));
    instance.resume_update();
    assert_eq!(instance.store_copy.view().position(), at(2, 2));
    // Missing records are kept for the grace of the era.
    assert!(instance.routing.borrow().is_evacuated("a-2"));
    assert_eq!(["t1", "t2", "t3"].map(|id| uses(&instance, id)), [true, false, true]);
}

#[test]
fn a_state_that_a_panic_left_unfinished_is_made_whole_from_the_view() {
    let instance = instance();
    instance.apply_events(vec![put("e/i1", &member(1), 1), put("e/i2", &member(2), 2)], 2.into(), "watch");
    assert_eq!(instance.metrics.members.get(), 2);
    // As a sweep that panics after its removals and before their consequences.
    instance.store_copy.set_applying(true);
    instance.routing.borrow_mut().apply::<PanickingPlatform>(
        &[removal("e/i1", 3)],
        lockloft::clock::Instant::now(),
        None,
    );
    instance.metrics.members.set(9);
    instance.resume_update();
    assert_eq!(instance.routing.borrow().members.count(), 2);
    assert_eq!(instance.metrics.members.get(), 2);
    assert!(!instance.store_copy.is_interrupted());
}

#[test]
fn a_consequence_that_panics_each_time_keeps_no_change_from_being_applied() {
    let instance = instance();
    instance.apply_events(vec![target("t1", 1, 1)], 1.into(), "watch");
    // Whoever updates the bounds of the retry budgets panics.
    let budgets = instance.retry_budgets.borrow_mut();
    assert!(panics(&instance, &[put("e/i1", &member(1), 2), target("t2", 1, 3)], 3));
    assert!(instance.store_copy.is_interrupted());
    instance.resume_update();
    assert_eq!(revision(&instance), 3);
    instance.apply_events(vec![target("t3", 1, 4)], 4.into(), "watch");
    assert_eq!(["t1", "t2", "t3"].map(|id| uses(&instance, id)), [true; 3]);
    assert!(panics(&instance, &[put("e/i2", &member(2), 5)], 5), "the step was not made again");
    drop(budgets);
    instance.resume_update();
    instance.apply_events(vec![put("e/i3", &member(3), 6)], 6.into(), "watch");
    assert_eq!(instance.metrics.members.get(), 3);
}

#[test]
fn what_is_applied_again_begins_no_slow_start() {
    let instance = instance();
    let slow = put("t1", "a-1 4 ready 1 20", 1);
    instance.apply_events(vec![put("config", "config 5", 1), slow], 2.into(), "watch");
    std::thread::sleep(Duration::from_millis(30));
    assert!(panics(&instance, &[put("t2", PANICS, 3)], 3));
    instance.resume_update();
    let now = lockloft::clock::Instant::now();
    let routing = instance.routing.borrow();
    assert!(routing.targets().all(|target| !target.is_in_slow_start(now)), "a slow start began again");
}

#[test]
fn ordinary_lines_use_up_no_bytes_of_those_about_panics() {
    let lines = Lines::new(100);
    let now = std::time::Instant::now();
    (0..100).for_each(|_| lines.add(&[b'x'; 50], now));
    let dropped = lines.dropped();
    assert!(dropped > 0);
    lines.add_fault(&[b'x'; 500], now);
    assert_eq!(lines.dropped(), dropped);
}
