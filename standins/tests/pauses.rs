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
