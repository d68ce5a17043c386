//! Four instances in two regions, as many targets, and callers of many objects at all of them.
//!
//! Stands in the library, so that tests of what targets say of themselves share it.

use crate::scene::{Setup, look_route};
use crate::site::{InstanceProcess, Site, TestRequest};
use crate::target_server::TargetServer;
use std::path::Path;
use std::time::{Duration, Instant};

/// Four instances in two regions, and four targets.
pub async fn fleet(program: &Path) -> (Site, Vec<InstanceProcess>, Vec<TargetServer>) {
    fleet_in(program, &["a-1", "a-2", "b-1", "b-2"], 4).await
}

/// An instance in each of the halls, and so many targets in these halls in turn.
pub async fn fleet_in(
    program: &Path,
    halls: &[&'static str],
    targets: usize,
) -> (Site, Vec<InstanceProcess>, Vec<TargetServer>) {
    let target_halls = halls.iter().copied().cycle().take(targets).collect();
    let setup = Setup { halls: target_halls, slots: 64, ..Setup::targets(0) };
    let (site, targets) = setup.deploy(program).await;
    site.configure(2, &[look_route()], &["shop"]);
    let mut instances = Vec::new();
    for (number, hall) in halls.iter().enumerate() {
        let mut instance = site.instance(&format!("e-{number}"), hall);
        instance.start();
        instances.push(instance);
    }
    for instance in &instances {
        instance.wait_ready().await;
    }
    (site, instances, targets)
}

/// Sends some thirty requests a second to each instance for a time, of many objects; gives the
/// replies other than 200, each with its status and Retry-After.
///
/// # Panics
/// Where a caller does.
pub async fn load(instances: &[InstanceProcess], time: Duration) -> Vec<(u16, String)> {
    let end = Instant::now() + time;
    let callers = instances.iter().map(|instance| instance.callers).map(|address| {
        tokio::spawn(async move {
            let mut failed = Vec::new();
            for object in 0.. {
                if Instant::now() >= end {
                    break;
                }
                let reply = TestRequest::get("/look/a").affinity(object % 60).send(address).await;
                let reply = reply.map(|reply| (reply.status.as_u16(), reply.header("retry-after").to_owned()));
                failed.extend(Some(reply.unwrap_or_default()).filter(|(status, _)| *status != 200));
                tokio::time::sleep(Duration::from_millis(25)).await;
            }
            failed
        })
    });
    let mut failed = Vec::new();
    for caller in callers.collect::<Vec<_>>() {
        failed.extend(caller.await.expect("no caller panics"));
    }
    failed
}
