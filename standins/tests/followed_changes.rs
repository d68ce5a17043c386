//! Changes that the store has acknowledged are in force within their bounds, whatever else
//! another writer has put into the store.

mod common;

use common::program;
use serde_json::json;
use standins::scene::{SERVICE, look_route, start_target_of};
use standins::site::{InstanceProcess, RouteSpec, Site, TestRequest};
use standins::target_server::{Registration, TargetServer};
use std::time::Duration;

/// Bound on the time from the acknowledgement of a change until no request is handled as before it:
/// `config_apply_ms` and `drain_ms` of the operators' site.
const APPLY_BOUND: Duration = Duration::from_millis(2_500);
/// Requests sent to each instance.
const REQUESTS: usize = 20;
/// Service that `/look/` moves to.
const NEXT_SERVICE: &str = "desk";
/// Service of `/stay/`, one of whose targets leaves.
const STAYING_SERVICE: &str = "till";
/// The target that leaves.
const LEAVING: &str = "till-leaving";
const SERVICES: [&str; 3] = [SERVICE, NEXT_SERVICE, STAYING_SERVICE];

/// Requests that were handled as before the change.
#[derive(Debug, PartialEq, Eq)]
struct Outdated {
    /// Run by the service that the route has left.
    config: usize,
    /// Run by the target that has said that it leaves.
    drain: usize,
}

const NONE: Outdated = Outdated { config: 0, drain: 0 };

/// A site with instances in two regions.
struct Fleet {
    site: Site,
    instances: Vec<InstanceProcess>,
    targets: Vec<TargetServer>,
}

impl Fleet {
    async fn start() -> Self {
        let site = Site::start(program()).await;
        let mut targets = Vec::new();
        for hall in ["a-1", "b-1"] {
            for service in SERVICES {
                targets.push(start_target_of(&site, &format!("{service}-{hall}"), service, hall).await);
            }
        }
        targets.push(start_target_of(&site, LEAVING, STAYING_SERVICE, "a-1").await);
        site.configure(1, &[look_route(), stay_route()], &SERVICES);
        let mut instances = Vec::new();
        for (name, hall) in [("e-1", "a-1"), ("e-2", "a-1"), ("e-3", "b-1")] {
            instances.push(site.ready_instance(name, hall).await);
        }
        Self { site, instances, targets }
    }

    /// Has a target say that it leaves, moves a route to the next service, and waits for the bound.
    async fn change(&self) {
        let leaving = self.targets.iter().find(|target| target.id == LEAVING).expect("it was started");
        self.site.register_as(leaving, &Registration::draining(STAYING_SERVICE, "a-1", 2));
        self.site.configure(2, &[RouteSpec::new("/look/", "safe", NEXT_SERVICE), stay_route()], &SERVICES);
        tokio::time::sleep(APPLY_BOUND).await;
    }

    fn runs_of(&self, prefix: &str) -> usize {
        self.targets.iter().filter(|target| target.id.starts_with(prefix)).map(|target| target.runs().len()).sum()
    }

    async fn outdated(&self) -> Outdated {
        let before = [SERVICE, LEAVING].map(|prefix| self.runs_of(prefix));
        for instance in &self.instances {
            for (path, object) in
                ["/look/a", "/stay/a"].into_iter().flat_map(|path| (0..REQUESTS).map(move |n| (path, n)))
            {
                let reply = TestRequest::get(path).affinity(object).send(instance.callers).await;
                assert!(reply.is_ok_and(|reply| reply.status == 200), "{}: {}", instance.name, instance.log());
            }
        }
        Outdated { config: self.runs_of(SERVICE) - before[0], drain: self.runs_of(LEAVING) - before[1] }
    }

    fn evidence(&self) -> String {
        self.instances.iter().map(|instance| format!("{}:\n{}", instance.name, instance.log())).collect()
    }
}

fn stay_route() -> RouteSpec {
    RouteSpec::new("/stay/", "safe", STAYING_SERVICE)
}

/// A registration whose slow start lasts longer than any clock counts.
fn endless_slow_start() -> String {
    json!({
        "address": "127.0.0.1:9",
        "info": {"service": SERVICE, "version": "v1", "zone": "a-1", "capacity": 6},
        "status": {"state": "ready", "sequence": 1, "warmup_ms": 9_223_372_036_854_775_807_000_f64},
    })
    .to_string()
}

#[tokio::test(flavor = "multi_thread")]
async fn changes_are_in_force_within_their_bounds() {
    let fleet = Fleet::start().await;
    fleet.change().await;
    assert_eq!(fleet.outdated().await, NONE, "{}", fleet.evidence());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_slow_start_beyond_the_clock_hides_no_later_change() {
    let fleet = Fleet::start().await;
    fleet.site.store.put("servers/t-odd", endless_slow_start());
    fleet.change().await;
    assert_eq!(fleet.outdated().await, NONE, "{}", fleet.evidence());
}
