//! A target said in its answers that it leaves, two seconds after the store had fallen silent. Two
//! instances that had passed on such answers sent it requests 2,052 and 2,104 ms later, and twelve
//! went on, 7 to 18 a second, for the thirteen seconds until the store had taken its registration:
//! `store_lost` at all instances, and no line that said that the target leaves. Only the registration
//! was read.
//!
//! What a target says of itself counts for whoever hears it, whatever the store says, until that
//! start of the target has ended.

mod common;

use common::program;
use standins::fleet::{fleet, load};
use standins::site::{InstanceProcess, Site};
use standins::store::Trouble;
use standins::target_server::{Registration, TargetServer};
use standins::wait::wait_for;
use std::time::{Duration, Instant};

const LEAVING: &[(&str, &str)] = &[("Server-Leaving", "1")];
/// Time in which each instance has sent the target something, and the operators' bound after it.
const HEARD_AND_BOUND: Duration = Duration::from_secs(3);

/// A fleet in which the first target leaves, as all instances know.
async fn left() -> (Site, Vec<InstanceProcess>, Vec<TargetServer>) {
    let (site, instances, targets) = fleet(program()).await;
    load(&instances, Duration::from_secs(1)).await;
    site.endpoint.set(Trouble::Silent);
    targets[0].state(LEAVING);
    load(&instances, HEARD_AND_BOUND).await;
    (site, instances, targets)
}

/// Requests that reach a target under load.
async fn arrivals(instances: &[InstanceProcess], target: &TargetServer) -> usize {
    let from = Instant::now();
    let failed = load(instances, Duration::from_secs(2)).await;
    assert!(failed.is_empty(), "the others have room: {failed:?}");
    target.arrival_times().iter().filter(|at| **at >= from).count()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_target_that_says_that_it_leaves_gets_nothing_more_while_the_store_is_silent() {
    let (_site, instances, targets) = left().await;
    assert_eq!(arrivals(&instances, &targets[0]).await, 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn it_gets_nothing_either_once_it_says_so_no_more_or_is_registered_as_ready_again() {
    let (site, instances, targets) = left().await;
    targets[0].state(&[]);
    site.endpoint.set(Trouble::None);
    for sequence in 2..6 {
        site.register_as(&targets[0], &Registration { sequence, ..Registration::ready("shop", "a-1") });
    }
    assert_eq!(arrivals(&instances, &targets[0]).await, 0);
    let lines = instances[0].events("target_leaving");
    assert_eq!(lines.len(), 1, "{lines:?}");
    assert_eq!((lines[0]["id"].as_str(), lines[0]["hall"].as_str()), (Some("u-0"), Some("a-1")));
}

#[tokio::test(flavor = "multi_thread")]
async fn it_gets_nothing_either_after_its_registration_was_gone_and_came_back() {
    let (site, instances, targets) = left().await;
    site.endpoint.set(Trouble::None);
    site.store.remove("servers/u-0");
    load(&instances, Duration::from_secs(1)).await;
    site.register_as(&targets[0], &Registration { sequence: 9, ..Registration::ready("shop", "a-1") });
    assert_eq!(arrivals(&instances, &targets[0]).await, 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn another_start_under_its_id_and_address_is_used() {
    let (site, instances, targets) = left().await;
    targets[0].state(&[]);
    site.endpoint.set(Trouble::None);
    let born = Some(1_700_000_000_000);
    site.register_as(&targets[0], &Registration { born, ..Registration::ready("shop", "a-1") });
    wait_for("a request at the new start", async || arrivals(&instances, &targets[0]).await > 0).await;
}
