//! Six targets of twenty turned requests away and asked for 3 s of rest. In that time two of them got
//! 24 and 16 requests of one instance, where two are allowed. No instance read their Retry-After, and
//! the rule on targets that shed load beside free slots asked the same target once more: 830 tries
//! ended `shed` within five seconds, 238 requests after two of them, and the callers of all 588 that
//! were refused were sent back at once.
//!
//! A target that names a time when it turns a request away gets no other of that instance until then,
//! whatever way it would come.

mod common;

use common::program;
use standins::fleet::load;
use standins::scene::{Scene, Setup};
use standins::site::TestRequest;
use standins::target_server::{Misbehaviour, TargetServer};
use std::time::{Duration, Instant};

const REST: Duration = Duration::from_secs(3);
/// Time in which what was under way arrives.
const UNDER_WAY: Duration = Duration::from_millis(500);

async fn scene() -> Scene {
    let scene = Setup { slots: 64, ..Setup::all_kinds(4) }.start(program()).await;
    load(std::slice::from_ref(&scene.instance), Duration::from_secs(1)).await;
    scene
}

/// Arrivals at a target from half a second after the first that it turned away until the end of the
/// rest that it asked for then.
fn arrivals_in_rest(target: &TargetServer, asked: Instant) -> usize {
    let times = target.arrival_times();
    let first = times.iter().find(|at| **at >= asked).expect("it was asked");
    times.iter().filter(|at| **at >= *first + UNDER_WAY && **at < *first + REST).count()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_target_that_turns_a_request_away_and_asks_for_rest_gets_two_requests_at_most_meanwhile() {
    let scene = scene().await;
    let asked = Instant::now();
    scene.targets[0].set(Misbehaviour::Shed);
    scene.targets[0].state(&[("Retry-After", "3")]);
    let failed = load(std::slice::from_ref(&scene.instance), Duration::from_secs(4)).await;
    let arrived = arrivals_in_rest(&scene.targets[0], asked);
    assert!(arrived <= 2, "{arrived}");
    assert!(failed.len() <= 2, "the others have room: {failed:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_full_target_that_asks_for_rest_gets_none_by_retries_of_any_kind_of_request() {
    let scene = scene().await;
    scene.earn_retries().await;
    let asked = Instant::now();
    scene.targets[0].set(Misbehaviour::Full);
    scene.targets[0].state(&[("Retry-After", "3")]);
    let end = asked + Duration::from_secs(4);
    let address = scene.instance.callers;
    let callers = ["/buy/x", "/send/x", "/look/x"].map(|path| {
        tokio::spawn(async move {
            for object in 0.. {
                if Instant::now() >= end {
                    break;
                }
                let request = if path == "/look/x" { TestRequest::get(path) } else { TestRequest::post(path, "one") };
                // What is answered is the other test's matter.
                let _ = request.affinity(object % 40).send(address).await;
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        })
    });
    for caller in callers {
        caller.await.expect("no caller panics");
    }
    let arrived = arrivals_in_rest(&scene.targets[0], asked);
    assert!(arrived <= 2, "{arrived}");
}

#[tokio::test(flavor = "multi_thread")]
async fn callers_are_told_at_once_when_to_return_where_all_targets_ask_for_rest() {
    let scene = scene().await;
    let asked = Instant::now();
    scene.set_all(Misbehaviour::Shed);
    scene.targets.iter().for_each(|target| target.state(&[("Retry-After", "3")]));
    load(std::slice::from_ref(&scene.instance), Duration::from_secs(1)).await;
    let mut waits = Vec::new();
    for _ in 0..40 {
        let begun = Instant::now();
        let request = TestRequest::get("/look/a");
        let reply = request.send(scene.instance.callers).await.expect("it answers");
        assert!(begun.elapsed() < Duration::from_millis(200), "{:?}", begun.elapsed());
        assert_eq!(reply.status, 503);
        waits.push(reply.header("retry-after").parse::<f64>().expect("a number of seconds"));
    }
    let left = (REST - asked.elapsed().min(REST)).as_secs_f64();
    assert!(waits.iter().all(|wait| *wait >= left && *wait <= 5.5), "{left} {waits:?}");
    let spread = waits.iter().copied().fold(0.0, f64::max) - waits.iter().copied().fold(9.0, f64::min);
    assert!(spread > 0.3, "{waits:?}");
    for target in &scene.targets {
        let arrived = arrivals_in_rest(target, asked);
        assert!(arrived <= 2, "{arrived}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_target_is_used_again_after_its_rest() {
    let scene = scene().await;
    scene.targets[0].set(Misbehaviour::Shed);
    scene.targets[0].state(&[("Retry-After", "1")]);
    load(std::slice::from_ref(&scene.instance), Duration::from_secs(1)).await;
    scene.targets[0].set(Misbehaviour::None);
    scene.targets[0].state(&[]);
    load(std::slice::from_ref(&scene.instance), Duration::from_secs(2)).await;
    let before = scene.targets[0].arrivals();
    load(std::slice::from_ref(&scene.instance), Duration::from_secs(1)).await;
    assert!(scene.targets[0].arrivals() - before >= 4, "{}", scene.targets[0].arrivals() - before);
}
