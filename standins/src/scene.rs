//! What most tests begin with: a site with a configuration, targets and one
//! instance that is ready.
//!
//! Stands in the library, so that each test uses the parts it needs without
//! warnings on the others.

use crate::site::{InstanceProcess, RouteSpec, Site, TestRequest};
use crate::target_server::{Misbehaviour, TargetServer};
use std::collections::HashMap;
use std::path::Path;
use std::time::Duration;

/// The service of all scenes.
pub const SERVICE: &str = "shop";
/// Requests that a target of a scene runs at a time.
const SLOTS: u32 = 8;
/// Time that it works on a request for a warm object.
const WORK: Duration = Duration::from_millis(2);

/// The route of most scenes: safe requests under `/look/`.
pub fn look_route() -> RouteSpec {
    RouteSpec::new("/look/", "safe", SERVICE)
}

/// Starts a target in a hall and registers it for the scenes' service.
pub async fn start_target(site: &Site, id: &str, hall: &str) -> TargetServer {
    start_target_of(site, id, SERVICE, hall).await
}

/// Starts a target in a hall and registers it for a service.
pub async fn start_target_of(site: &Site, id: &str, service: &str, hall: &str) -> TargetServer {
    let target = TargetServer::start(id, SLOTS, WORK).await.expect("loopback has free ports");
    site.register(&target, service, hall);
    target
}

/// Objects 0 to 39, asked for once each; how many went to which target.
///
/// # Panics
/// Where one of them is not served.
pub async fn spread(instance: &InstanceProcess, targets: &[&TargetServer]) -> HashMap<String, usize> {
    let before: Vec<usize> = targets.iter().map(|target| target.runs().len()).collect();
    for object in 0..40 {
        assert_eq!(TestRequest::get("/look/a").affinity(object).send(instance.callers).await.unwrap().status, 200);
    }
    let after = targets.iter().zip(before).map(|(target, had)| (target.id.clone(), target.runs().len() - had));
    after.collect()
}

/// What a scene begins with.
#[derive(Clone, Debug)]
pub struct Setup {
    /// Halls of the targets; they are called `u-0`, `u-1` and so on.
    pub halls: Vec<&'static str>,
    /// Requests that a target runs at a time.
    pub slots: u32,
    /// Time that a target works on a request for a warm object.
    pub work: Duration,
    /// Routes of the configuration.
    pub routes: Vec<RouteSpec>,
    /// Version of the configuration.
    pub version: u64,
    /// Time from a signal to stop until an instance has to have ended, seconds;
    /// `None` for that of the site.
    pub stop_s: Option<f64>,
}

impl Setup {
    /// So many targets in one hall, and a route for safe requests.
    pub fn targets(count: usize) -> Self {
        Self {
            halls: vec!["a-1"; count],
            slots: SLOTS,
            work: WORK,
            routes: vec![look_route()],
            version: 1,
            stop_s: None,
        }
    }

    /// So many targets of few slots in one hall, and a route of each kind: `/look/`
    /// for safe requests, `/buy/` for those that may run once, `/send/` for uploads.
    pub fn all_kinds(count: usize) -> Self {
        let buy = RouteSpec::new("/buy/", "unsafe", SERVICE);
        let send = RouteSpec::new("/send/", "upload", SERVICE);
        let routes = vec![look_route(), buy, send];
        Self { slots: 4, work: Duration::from_millis(5), routes, version: 3, ..Self::targets(count) }
    }

    /// Starts everything but an instance.
    pub async fn deploy(self, program: &Path) -> (Site, Vec<TargetServer>) {
        let mut site = Site::start(program).await;
        if let Some(seconds) = self.stop_s {
            site.stop_after(seconds);
        }
        let mut targets = Vec::new();
        for (number, hall) in self.halls.iter().enumerate() {
            let id = format!("u-{number}");
            let target = TargetServer::start(&id, self.slots, self.work).await.expect("loopback has free ports");
            site.register(&target, SERVICE, hall);
            targets.push(target);
        }
        site.configure(self.version, &self.routes, &[SERVICE]);
        (site, targets)
    }

    /// Starts everything, and waits until an instance `e-1` in the hall `a-1`
    /// is ready.
    pub async fn start(self, program: &Path) -> Scene {
        let (site, targets) = self.deploy(program).await;
        let instance = site.ready_instance("e-1", "a-1").await;
        Scene { site, instance, targets }
    }
}

/// A site with targets and one instance.
pub struct Scene {
    /// The site.
    pub site: Site,
    /// The instance `e-1`.
    pub instance: InstanceProcess,
    /// The targets, by number.
    pub targets: Vec<TargetServer>,
}

impl Scene {
    /// Changes how all targets misbehave.
    pub fn set_all(&self, misbehaviour: Misbehaviour) {
        self.targets.iter().for_each(|target| target.set(misbehaviour));
    }

    /// Earns retries by served requests: the budget starts empty.
    ///
    /// # Panics
    /// Where one of them is not served.
    pub async fn earn_retries(&self) {
        for _ in 0..30 {
            assert_eq!(TestRequest::get("/look/a").send(self.instance.callers).await.unwrap().status, 200);
        }
    }

    /// How often a request ran, at all targets together.
    pub fn runs_of(&self, id: &str) -> usize {
        self.targets.iter().flat_map(TargetServer::runs).filter(|run| run.id == id).count()
    }
}
