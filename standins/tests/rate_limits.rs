//! A target of twenty named in its answers that it takes 9.3 requests a second of all instances
//! together. In the 4 s after, it got 104 to 106, where one and a half times as many and five, 61,
//! are allowed: 29, 21, 29 and 29 a second, as before it had said anything. No instance read the
//! header, and no line of any process named it, so that nothing but the record told of it.
//!
//! A limit over all instances is one that each keeps its part of; the instances tell each other what
//! they have to send there.

mod common;

use common::program;
use serde_json::Value;
use standins::fleet::{fleet, load};
use standins::target_server::{Misbehaviour, TargetServer};
use std::time::{Duration, Instant};

/// Time from a target's first word of a limit until it binds.
const BINDS_AFTER: Duration = Duration::from_secs(3);
/// The operators' window.
const WINDOW: Duration = Duration::from_secs(4);

/// Most arrivals in a window, from a time on.
fn most_in_window(target: &TargetServer, from: Instant) -> usize {
    let mut times: Vec<Instant> = target.arrival_times().into_iter().filter(|at| *at >= from).collect();
    times.sort();
    let within = |first: usize| times[first..].partition_point(|at| *at < times[first] + WINDOW);
    (0..times.len()).map(within).max().unwrap_or(0)
}

/// Most arrivals in a window at a target that takes `rate` a second.
fn allowed(rate: f64) -> f64 {
    1.5 * rate * WINDOW.as_secs_f64() + 5.0
}

#[tokio::test(flavor = "multi_thread")]
async fn a_target_gets_no_more_of_all_instances_than_it_says_and_most_of_that() {
    let (_site, instances, targets) = fleet(program()).await;
    load(&instances, Duration::from_secs(2)).await;
    let named = Instant::now();
    targets[0].state(&[("Server-Limit", "4.5")]);
    let failed = load(&instances, BINDS_AFTER + 2 * WINDOW).await;
    assert!(failed.is_empty(), "the others have room: {failed:?}");
    // The first half a second is the instances' to hear of it.
    let heard = named + Duration::from_millis(500);
    let most = most_in_window(&targets[0], heard) as f64;
    assert!(most <= allowed(4.5), "{most}");
    let bound = named + BINDS_AFTER;
    let got = targets[0].arrival_times().iter().filter(|at| **at >= bound).count() as f64;
    assert!(got >= 4.5 * 2.0 * WINDOW.as_secs_f64() * 0.6, "{got}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_limit_that_is_named_no_more_is_lifted_everywhere() {
    let (_site, instances, targets) = fleet(program()).await;
    targets[0].state(&[("Server-Limit", "2")]);
    load(&instances, Duration::from_secs(4)).await;
    targets[0].state(&[]);
    load(&instances, Duration::from_secs(3)).await;
    let from = Instant::now();
    load(&instances, Duration::from_secs(2)).await;
    let got = targets[0].arrival_times().iter().filter(|at| **at >= from).count();
    assert!(got >= 20, "{got}");
}

#[tokio::test(flavor = "multi_thread")]
async fn callers_whom_no_target_may_take_are_told_at_once_when_to_return_each_another_time() {
    let (_site, instances, targets) = fleet(program()).await;
    targets.iter().for_each(|target| target.state(&[("Server-Limit", "2")]));
    load(&instances, Duration::from_secs(3)).await;
    let begun = Instant::now();
    let failed = load(&instances, WINDOW).await;
    assert!(failed.len() > 100, "{}", failed.len());
    assert!(failed.iter().all(|(status, _)| *status == 503), "{failed:?}");
    let mut waits: Vec<&str> = failed.iter().map(|(_, wait)| wait.as_str()).collect();
    waits.sort_unstable();
    waits.dedup();
    assert!(waits.len() > 20 && !waits.contains(&""), "{waits:?}");
    for target in &targets {
        let most = most_in_window(target, begun) as f64;
        assert!(most <= allowed(2.0), "{most}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_target_that_takes_nothing_is_asked_now_and_then() {
    let (_site, instances, targets) = fleet(program()).await;
    targets[0].state(&[("Server-Limit", "0")]);
    load(&instances, Duration::from_secs(3)).await;
    let begun = Instant::now();
    load(&instances, 3 * WINDOW).await;
    let most = most_in_window(&targets[0], begun);
    assert!((1..=5).contains(&most), "{most}");
}

#[tokio::test(flavor = "multi_thread")]
async fn what_a_target_turns_away_counts_as_well() {
    let (_site, instances, targets) = fleet(program()).await;
    load(&instances, Duration::from_secs(1)).await;
    targets[0].set(Misbehaviour::Shed);
    targets[0].state(&[("Server-Limit", "4.5")]);
    let named = Instant::now();
    load(&instances, BINDS_AFTER + WINDOW).await;
    let most = most_in_window(&targets[0], named + Duration::from_millis(500)) as f64;
    assert!(most <= allowed(4.5), "{most}");
}

/// Which instance sent what, why, and by which values, was not to be told from the log.
#[tokio::test(flavor = "multi_thread")]
async fn the_log_says_once_a_second_how_a_limit_is_applied() {
    let (_site, instances, targets) = fleet(program()).await;
    targets[0].state(&[("Server-Limit", "4.5")]);
    load(&instances, Duration::from_secs(6)).await;
    tokio::time::sleep(Duration::from_millis(1500)).await;
    let count = |line: &Value, field: &str| line[field].as_u64().expect("a number");
    let mut sent = 0;
    for instance in &instances {
        let lines = instance.events("limit_use");
        assert!((4..=9).contains(&lines.len()), "{lines:?}");
        for line in &lines {
            assert_eq!(
                (line["id"].as_str(), line["rate"].as_f64()),
                (Some(targets[0].id.as_str()), Some(4.5)),
                "{line}"
            );
            assert!(line["equal_share"] == true || line["ratio"].is_number(), "{line}");
            assert!(line["allowance"].is_number(), "{line}");
            assert!(line["demand"].is_number() && line["reported"].is_number(), "{line}");
            sent +=
                ["first", "second", "retry", "forwarded", "probe"].map(|kind| count(line, kind)).iter().sum::<u64>();
        }
    }
    let shares: Vec<Value> = instances.iter().flat_map(|instance| instance.events("limit_use")).collect();
    assert!(shares.iter().filter(|line| line["equal_share"] == false).count() > shares.len() / 2, "{shares:?}");
    // Requests sent before an instance knew of the limit are in no line.
    let arrived = targets[0].arrivals();
    assert!(sent <= arrived && sent + 8 >= arrived, "{sent} of {arrived}");
    let totals: Vec<Value> = instances.iter().flat_map(|instance| instance.events("limit_totals")).collect();
    assert!(totals.iter().any(|line| line["halls"] != "" && line["demand"].as_f64() > Some(4.5)), "{totals:?}");
}
