//! Large answers to callers that read slowly: they are taken off their target at once, within bounds of
//! memory, and are whole or visibly broken.

mod common;

use common::program;
use standins::scene::{SERVICE, Scene, Setup, look_route};
use standins::site::{InstanceProcess, RouteSpec, Site, TestRequest};
use standins::slow_caller::{Received, SlowCaller};
use standins::target_server::large_body;
use standins::wait::{wait_for, wait_until};
use std::time::{Duration, Instant};

/// A large answer, bytes.
const LARGE: usize = 540_000;
/// Time that a caller gives a large answer, milliseconds.
const DEADLINE_MS: u64 = 9_000;
/// Time after which an instance without requests has stopped.
const LONGER_THAN_A_STOP: Duration = Duration::from_millis(2_800);
/// Memory limit of the settings, MB.
const MEMORY_MB: u64 = 160;

fn routes() -> Vec<RouteSpec> {
    vec![look_route(), RouteSpec::new("/pack/", "download", SERVICE)]
}

/// One instance with a memory limit, and targets of so many slots.
async fn scene(count: usize, slots: u32, memory_mb: u64) -> Scene {
    let setup = Setup { slots, routes: routes(), ..Setup::targets(count) };
    let (site, targets) = setup.deploy(program()).await;
    let instance = limited_instance(&site, memory_mb).await;
    wait_until("the targets", || instance.events("target").len() >= count).await;
    Scene { site, instance, targets }
}

async fn limited_instance(site: &Site, memory_mb: u64) -> InstanceProcess {
    let mut instance = site.instance("e-1", "a-1");
    instance.edit_settings(|text| {
        text.replace(&format!("memory_mb = {}", standins::site::MEMORY_MB), &format!("memory_mb = {memory_mb}"))
    });
    instance.start();
    instance.wait_ready().await;
    instance
}

fn pack(path: &str) -> TestRequest {
    TestRequest { deadline_ms: DEADLINE_MS, ..TestRequest::get(path) }
}

fn large() -> TestRequest {
    pack(&format!("/pack/{LARGE}"))
}

async fn held(instance: &InstanceProcess) -> u64 {
    instance.metric("lockloft_entry_held_body_bytes", "").await as u64
}

fn assert_whole(received: &Received, id: &str) {
    assert_eq!((received.status, received.is_whole), (200, true), "{id}");
    assert!(received.body == large_body(id, LARGE).as_bytes(), "{id}: the body is another");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_target_s_slot_is_free_while_its_answer_waits_for_the_caller() {
    let scene = scene(1, 1, 260).await;
    let request = large();
    let mut slow = SlowCaller::send(scene.instance.callers, &request).await.unwrap();
    slow.read_head().await;
    wait_for("the answer is off the target", async || scene.instance.in_flight().await == 0).await;
    let started = Instant::now();
    let reply = TestRequest::get("/look/a").send(scene.instance.callers).await.unwrap();
    assert_eq!(reply.status, 200);
    assert!(started.elapsed() < Duration::from_secs(1), "{:?}", started.elapsed());
    assert_eq!(scene.targets[0].connections(), 1, "the connection went back to the pool");
    assert!(held(&scene.instance).await > 0, "the rest of the answer is held and counted");
    assert_whole(&slow.read_on().await, &request.id);
    wait_for("nothing is held", async || held(&scene.instance).await == 0).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_large_answer_that_is_read_at_once_leaves_its_connection_for_the_next() {
    let scene = scene(1, 1, 260).await;
    for _ in 0..20 {
        let request = large();
        let reply = request.send(scene.instance.callers).await.unwrap();
        assert!(reply.body.ends_with(request.id.as_bytes()));
    }
    assert_eq!(scene.targets[0].connections(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_whole_answer_is_delivered_after_its_deadline() {
    let scene = scene(1, 1, 260).await;
    let request = TestRequest { deadline_ms: 600, ..large() };
    let mut slow = SlowCaller::send(scene.instance.callers, &request).await.unwrap();
    let deadline = Instant::now() + Duration::from_millis(900);
    slow.read_head().await;
    wait_until("the deadline", || Instant::now() > deadline).await;
    assert_whole(&slow.read_on().await, &request.id);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_that_its_target_sends_slowly_is_whole() {
    let scene = scene(1, 2, 260).await;
    let request = pack(&format!("/pack/{LARGE}/slow"));
    let slow = SlowCaller::send(scene.instance.callers, &request).await.unwrap();
    let received = slow.read_slowly(Duration::from_millis(2)).await;
    assert_whole(&received, &request.id);
    assert_eq!(scene.runs_of(&request.id), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_that_breaks_off_under_a_slow_reader_never_looks_whole() {
    let scene = scene(1, 4, 260).await;
    for _ in 0..3 {
        let request = pack(&format!("/pack/{LARGE}/cut"));
        let mut slow = SlowCaller::send(scene.instance.callers, &request).await.unwrap();
        slow.read_head().await;
        wait_until("the target's answer has ended", || scene.runs_of(&request.id) == 1).await;
        let received = slow.read_slowly(Duration::from_millis(1)).await;
        assert!(!received.is_whole && received.body.len() <= LARGE / 2, "{} bytes", received.body.len());
        assert!(large_body(&request.id, LARGE).as_bytes().starts_with(&received.body));
    }
    wait_for("nothing is held", async || held(&scene.instance).await == 0).await;
    wait_until("the lines", || scene.instance.events("answer_broken").len() == 3).await;
    let line = scene.instance.events("answer_broken").remove(0);
    assert_eq!((&line["fault"], &line["target"]), (&"broken".into(), &"u-0".into()), "{line}");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_that_is_not_off_its_target_by_the_deadline_frees_the_target() {
    // A bound of all that no large answer fits into: the caller's pace holds.
    let scene = scene(1, 1, 1).await;
    let request = TestRequest { deadline_ms: 700, ..large() };
    let mut slow = SlowCaller::send(scene.instance.callers, &request).await.unwrap();
    slow.read_head().await;
    wait_until("the deadline", || !scene.instance.events("answer_broken").is_empty()).await;
    assert_eq!(scene.instance.events("answer_broken")[0]["fault"], "late");
    scene.instance.wait_status("/look/a", 200).await;
    let received = slow.read_on().await;
    assert!(!received.is_whole, "{} bytes", received.body.len());
}

#[tokio::test(flavor = "multi_thread")]
async fn what_is_held_for_a_caller_that_leaves_is_dropped_and_its_target_cut() {
    let scene = scene(1, 1, 260).await;
    let request = pack("/pack/900000/slow");
    let mut slow = SlowCaller::send(scene.instance.callers, &request).await.unwrap();
    slow.read_head().await;
    drop(slow);
    wait_for("nothing is held", async || held(&scene.instance).await == 0).await;
    scene.instance.wait_status("/look/a", 200).await;
    assert_eq!(scene.targets[0].connections(), 2, "an unfinished connection is closed");
}

#[tokio::test(flavor = "multi_thread")]
async fn large_answers_are_refused_before_they_begin_while_too_much_is_held() {
    // One in ten of 4 MB is filled by one answer.
    let scene = scene(2, 8, 4).await;
    let first = large();
    let mut slow = SlowCaller::send(scene.instance.callers, &first).await.unwrap();
    slow.read_head().await;
    wait_for("the bound of all is reached", async || held(&scene.instance).await > 400_000).await;
    let refused = large();
    let reply = refused.send(scene.instance.callers).await.unwrap();
    assert_eq!(reply.status, 503);
    assert!(reply.header("retry-after").parse::<f64>().unwrap() > 0.0);
    assert_eq!(scene.runs_of(&refused.id), 0, "a refusal says that it has not run");
    assert_eq!(scene.instance.request_line(&refused.id).await["outcome"], "held-answers");
    assert_eq!(TestRequest::get("/look/a").send(scene.instance.callers).await.unwrap().status, 200);
    assert_whole(&slow.read_on().await, &first.id);
    scene.instance.wait_status(&format!("/pack/{LARGE}"), 200).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_waits_for_an_answer_that_its_caller_reads_slowly() {
    let mut scene = scene(1, 1, 260).await;
    let request = large();
    let mut slow = SlowCaller::send(scene.instance.callers, &request).await.unwrap();
    slow.read_head().await;
    wait_for("the answer is held", async || held(&scene.instance).await > 0).await;
    scene.instance.terminate();
    wait_until("the stop", || !scene.instance.events("stopping").is_empty()).await;
    let ends = Instant::now() + LONGER_THAN_A_STOP;
    wait_until("the shortest time of a stop", || Instant::now() > ends).await;
    assert_whole(&slow.read_on().await, &request.id);
    assert!(scene.instance.wait_exit().await.success());
}

#[tokio::test(flavor = "multi_thread")]
async fn five_hundred_slow_readers_stay_within_the_memory_and_others_are_served() {
    const READERS: usize = 500;
    let scene = scene(8, 200, MEMORY_MB).await;
    let address = scene.instance.callers;
    // All of them begin before the first answer comes.
    scene.targets.iter().for_each(|target| target.set_work(Duration::from_millis(800)));
    let mut readers = Vec::new();
    for number in 0..READERS {
        let request = large().affinity(number);
        readers.push(SlowCaller::send(address, &request).await.unwrap());
    }
    let reading: Vec<_> = readers
        .into_iter()
        .map(|mut reader| {
            tokio::spawn(async move {
                reader.read_head().await;
                let id = reader.id.clone();
                (id, reader.read_slowly(Duration::from_millis(40)).await)
            })
        })
        .collect();
    let runs = || scene.targets.iter().map(|target| target.runs().len()).sum::<usize>();
    let turned_away = async || scene.instance.metric("lockloft_entry_requests_total", "held-answers").await as usize;
    wait_for("500 requests have begun", async || runs() + turned_away().await == READERS).await;
    scene.targets.iter().for_each(|target| target.set_work(Duration::from_millis(2)));
    wait_for("answers are held", async || held(&scene.instance).await > 0).await;
    let started = Instant::now();
    for object in 0..40 {
        let reply = TestRequest::get("/look/a").affinity(object).send(address).await.unwrap();
        assert_eq!(reply.status, 200, "another caller: {reply:?}");
    }
    let others = started.elapsed();
    let most_held = held(&scene.instance).await;
    let (mut whole, mut refused, mut broken) = (0, 0, 0);
    for task in reading {
        let (id, received) = task.await.unwrap();
        match received.status {
            200 if received.is_whole => {
                assert_whole(&received, &id);
                whole += 1;
            }
            200 => broken += 1,
            status => {
                assert_eq!(status, 503, "{id}");
                refused += 1;
            }
        }
    }
    let peak = scene.instance.peak_memory().unwrap();
    println!(
        "peak memory {peak} kB of {MEMORY_MB} MB; {whole} whole, {refused} refused, {broken} broken; {most_held} bytes \
         held; 40 others took {others:?}"
    );
    assert!(peak < MEMORY_MB * 1_000, "{peak} kB");
    assert_eq!(broken, 0, "an answer that has begun is not dropped for want of memory");
    assert!(whole > READERS / 2 && others < Duration::from_secs(5), "{whole} whole, {others:?}");
    wait_for("nothing is held", async || held(&scene.instance).await == 0).await;
}
