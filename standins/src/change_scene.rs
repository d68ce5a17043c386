//! A fleet with a route that moves and a target that leaves, and how many requests are handled as
//! before these changes.

use crate::scene::{SERVICE, look_route, start_target_of};
use crate::site::{InstanceProcess, RouteSpec, Site, TestRequest};
use crate::store::Endpoint;
use crate::target_server::{Registration, TargetServer};
use std::path::Path;
use std::time::Duration;

/// Bound on the time from the acknowledgement of a change until no request is handled as before it:
/// `config_apply_ms` and `drain_ms` of the operators' site.
pub const APPLY_BOUND: Duration = Duration::from_millis(2_500);
/// Requests sent to each instance for each change.
const REQUESTS: usize = 20;
/// Service that `/look/` moves to.
const NEXT_SERVICE: &str = "desk";
/// Service of `/stay/`, one of whose targets leaves.
const STAYING_SERVICE: &str = "till";
/// The target that leaves.
const LEAVING: &str = "till-leaving";
const SERVICES: [&str; 3] = [SERVICE, NEXT_SERVICE, STAYING_SERVICE];
/// Names and halls of the instances. `e-2` follows `e-1` as its relay; `e-3` is in another region.
const INSTANCES: [(&str, &str); 3] = [("e-1", "a-1"), ("e-2", "a-1"), ("e-3", "b-1")];

/// An instance that handled requests as before the changes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutdatedInstance {
    /// Its name.
    pub name: String,
    /// Requests run by the service that the route has left.
    pub config: usize,
    /// Requests run by the target that has said that it leaves.
    pub drain: usize,
    /// Whether the last line that it logged about the age of its view says that it is stale.
    pub says_stale: bool,
}

/// A site with instances in two regions, each with its own endpoint to the store.
pub struct ChangeScene {
    /// The site.
    pub site: Site,
    /// The instances `e-1`, `e-2` and `e-3`.
    pub instances: Vec<InstanceProcess>,
    /// The endpoints of the instances, in the same order.
    pub endpoints: Vec<Endpoint>,
    targets: Vec<TargetServer>,
}

impl ChangeScene {
    /// Starts everything, and waits until all instances know one another.
    pub async fn start(program: &Path) -> Self {
        let mut scene = Self::deploy(program).await;
        scene.start_instances().await;
        scene
    }

    /// Starts the store and the targets.
    pub async fn deploy(program: &Path) -> Self {
        let site = Site::start(program).await;
        let mut targets = Vec::new();
        for hall in ["a-1", "b-1"] {
            for service in SERVICES {
                targets.push(start_target_of(&site, &format!("{service}-{hall}"), service, hall).await);
            }
        }
        targets.push(start_target_of(&site, LEAVING, STAYING_SERVICE, "a-1").await);
        site.configure(1, &[look_route(), stay_route()], &SERVICES);
        Self { site, instances: Vec::new(), endpoints: Vec::new(), targets }
    }

    /// Starts the instances, and waits until all of them know one another.
    pub async fn start_instances(&mut self) {
        for (name, hall) in INSTANCES {
            let endpoint = self.site.store.endpoint().await.expect("loopback has free ports");
            let mut instance = self.site.instance_at(name, hall, &endpoint, &[]);
            instance.start();
            instance.wait_ready().await;
            self.instances.push(instance);
            self.endpoints.push(endpoint);
        }
        for instance in &self.instances {
            let knows_all = async || instance.status().await["members"] == INSTANCES.len();
            crate::wait::wait_for("all members", knows_all).await;
        }
    }

    /// Moves a route to the next service, and has a target say that it leaves.
    pub fn change(&self) {
        let leaving = self.targets.iter().find(|target| target.id == LEAVING).expect("it was started");
        self.site.register_as(leaving, &Registration::draining(STAYING_SERVICE, "a-1", 2));
        self.site.configure(2, &[RouteSpec::new("/look/", "safe", NEXT_SERVICE), stay_route()], &SERVICES);
    }

    /// Sends requests to each instance; returns the instances that handled some as before the changes.
    ///
    /// # Panics
    /// If a request is not served.
    pub async fn outdated(&self) -> Vec<OutdatedInstance> {
        let mut outdated = Vec::new();
        for instance in &self.instances {
            let before = [SERVICE, LEAVING].map(|prefix| self.runs_of(prefix));
            for path in ["/look/a", "/stay/a"] {
                for object in 0..REQUESTS {
                    let reply = TestRequest::get(path).affinity(object).send(instance.callers).await;
                    assert!(reply.is_ok_and(|reply| reply.status == 200), "{}: {}", instance.name, instance.log());
                }
            }
            let [config, drain] = [SERVICE, LEAVING].map(|prefix| self.runs_of(prefix));
            let [config, drain] = [config - before[0], drain - before[1]];
            if config + drain > 0 {
                let says_stale = says_stale(instance);
                outdated.push(OutdatedInstance { name: instance.name.clone(), config, drain, says_stale });
            }
        }
        outdated
    }

    /// Makes the changes, waits for the bound, and returns the instances that handle requests as before.
    pub async fn outdated_after_change(&self) -> Vec<OutdatedInstance> {
        self.change();
        tokio::time::sleep(APPLY_BOUND).await;
        self.outdated().await
    }

    /// The logs of all instances.
    pub fn logs(&self) -> String {
        self.instances.iter().map(|instance| format!("{}:\n{}", instance.name, instance.log())).collect()
    }

    fn runs_of(&self, prefix: &str) -> usize {
        self.targets.iter().filter(|target| target.id.starts_with(prefix)).map(|target| target.runs().len()).sum()
    }
}

/// Whether the last line that an instance logged about the age of its view says that it is stale.
fn says_stale(instance: &InstanceProcess) -> bool {
    let log = instance.log();
    let mut lines = log.lines().filter(|line| line.contains("\"view_stale\"") || line.contains("\"view_current\""));
    lines.next_back().is_some_and(|line| line.contains("\"view_stale\""))
}

fn stay_route() -> RouteSpec {
    RouteSpec::new("/stay/", "safe", STAYING_SERVICE)
}
