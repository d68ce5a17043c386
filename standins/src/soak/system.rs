//! The system under soak: a store with an endpoint for each instance, targets
//! behind proxies, instance processes and callers.
//!
//! Owns all of them and what is observed. `inject` makes its faults,
//! `versions` its configurations.

use super::Soak;
use super::callers::{self, InstanceAddresses, Shared};
use super::downloads;
use super::endings::{self, FrailTargets};
use super::faults::Planned;
use super::layout::{HALLS, TICK};
use super::observations::{AfterFaults, Interval, Observations};
use super::targets::ProxiedTarget;
use super::versions::{self, Versions};
use super::{pipelined, resting, tenants};
use crate::partition::Partition;
use crate::proxy::Proxy;
use crate::site::{InstanceProcess, Site, TestRequest};
use crate::store::{Endpoint, LostState, Snapshot};
use crate::wait::WAIT_TIMEOUT;
use std::collections::HashMap;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::time::{Duration, Instant};
use tokio::task::JoinHandle;

/// Time from a signal to stop until an instance has to have ended, seconds.
const STOP_S: f64 = 4.0;
/// Time between the traffic's end and the requests that follow.
const HEAL_TIME: Duration = Duration::from_secs(3);
/// Requests once everything has healed.
const REQUESTS_AFTER: usize = 200;
/// Callers of one seed have seeds of their own, this far from the next one's.
const SEED_STEP: u64 = 1_000;
/// Keeps the draws of callers that rest apart from those of other callers.
const RESTING_OFFSET: u64 = 700;

/// A snapshot of the store and the configuration version at the time.
pub struct VersionedSnapshot {
    pub(super) contents: Snapshot,
    /// The last configuration version that it is sure to have.
    pub(super) version: u64,
}

/// The running system.
pub struct System {
    pub(super) soak: Soak,
    pub(super) site: Site,
    pub(super) endpoints: Vec<Endpoint>,
    /// Before the endpoints.
    pub(super) store_proxies: Vec<Proxy>,
    pub(super) instances: Vec<InstanceProcess>,
    pub(super) targets: Vec<ProxiedTarget>,
    /// Between instances and targets.
    pub(super) partition: Partition,
    /// Instances that are cut off from the targets, with their processes.
    pub(super) isolated: HashMap<usize, u32>,
    /// Those that requests end.
    pub(super) frail: FrailTargets,
    /// When planned stops began, by instance.
    pub(super) stopping: HashMap<usize, Instant>,
    pub(super) versions: Versions,
    /// The last snapshot; `None` once the store has been restored from it.
    pub(super) snapshot: Option<VersionedSnapshot>,
    /// The contents that the last restore replaced, and when to repeat the lost writes; `None` once they
    /// have been repeated.
    pub(super) lost_state: Option<(LostState, Instant)>,
    /// By hall.
    pub(super) evacuations: [Vec<Interval>; HALLS.len()],
    pub(super) observations: Observations,
}

impl System {
    /// Starts everything and waits until it is ready.
    pub async fn start(program: &Path, soak: Soak) -> Self {
        let mut site = Site::start(program).await;
        site.stop_after(if soak.slow_readers { resting::STOP_S } else { STOP_S });
        let (mut targets, partition) = (Vec::new(), Partition::default());
        for number in 0..soak.targets {
            targets.push(ProxiedTarget::start(&site, number % HALLS.len(), Duration::ZERO, &partition).await);
        }
        if soak.hard_load {
            let seeds = soak.seed * SEED_STEP..;
            seeds.zip(&targets).for_each(|(seed, target)| target.target.vary_speed(seed));
        }
        let frail = FrailTargets::start(&site).await;
        versions::write(&site, 1, soak.tenants);
        let mut system = Self {
            soak,
            site,
            endpoints: Vec::new(),
            store_proxies: Vec::new(),
            instances: Vec::new(),
            targets,
            partition,
            isolated: HashMap::new(),
            frail,
            stopping: HashMap::new(),
            versions: Versions::first(soak.tenants),
            snapshot: None,
            lost_state: None,
            evacuations: Default::default(),
            observations: Observations::default(),
        };
        for number in 0..soak.instances {
            system.start_instance(number).await;
        }
        system.wait_ready().await;
        system
    }

    async fn start_instance(&mut self, number: usize) {
        let endpoint = self.site.store.endpoint().await.expect("loopback has free ports");
        let hall = HALLS[number % HALLS.len()];
        let proxy = Proxy::start(endpoint.address).await.expect("loopback has free ports");
        let mut instance = self.site.instance_at(&format!("e-{number}"), hall, &endpoint, &[]);
        instance.edit_settings(|text| text.replace(&endpoint.address.to_string(), &proxy.address.to_string()));
        instance.start();
        self.endpoints.push(endpoint);
        self.store_proxies.push(proxy);
        self.instances.push(instance);
    }

    async fn wait_ready(&self) {
        for instance in &self.instances {
            instance.wait_ready().await;
        }
    }

    /// Makes the faults under load and lets all heal; gives what was observed.
    pub async fn run(&mut self, planned: &[Planned]) -> Observations {
        let shared = Arc::new(self.callers());
        let tasks = self.start_callers(&shared);
        self.inject(planned).await;
        shared.stop.store(true, Relaxed);
        for task in tasks {
            task.await.expect("no caller panics");
        }
        self.heal().await;
        self.observations.after = self.send_after().await;
        self.observations.requests = std::mem::take(&mut *shared.requests.lock().expect("no holder panics"));
        self.observe_targets();
        self.observations.peak_memory = self.instances.iter().filter_map(InstanceProcess::peak_memory).collect();
        self.observations.versions_written = self.versions.written_at().to_vec();
        std::mem::take(&mut self.observations)
    }

    fn callers(&self) -> Shared {
        let addresses =
            |instance: &InstanceProcess| InstanceAddresses { callers: instance.callers, directory: instance.directory };
        Shared {
            instances: self.instances.iter().map(addresses).collect(),
            requests: Default::default(),
            has_tenants: self.soak.tenants,
            stop: AtomicBool::new(false),
        }
    }

    fn start_callers(&self, shared: &Arc<Shared>) -> Vec<JoinHandle<()>> {
        let seeds = (0..self.soak.callers as u64).map(|caller| self.soak.seed * SEED_STEP + caller);
        let mut tasks: Vec<_> = seeds.map(|seed| tokio::spawn(callers::run(shared.clone(), seed))).collect();
        if self.soak.endings {
            tasks.push(tokio::spawn(endings::run_caller(shared.clone(), self.soak.seed)));
        }
        if self.soak.hard_load {
            let seed = self.soak.seed * SEED_STEP;
            tasks.extend((0..pipelined::CALLERS).map(|n| tokio::spawn(pipelined::run(shared.clone(), seed, n))));
            let seeds = (0..downloads::CALLERS).map(|caller| (self.soak.seed + 1) * SEED_STEP - 1 - caller);
            tasks.extend(seeds.map(|seed| tokio::spawn(downloads::run(shared.clone(), seed))));
        }
        if self.soak.slow_readers {
            let seeds = (0..resting::CALLERS).map(|caller| self.soak.seed * SEED_STEP + RESTING_OFFSET + caller);
            tasks.extend(seeds.map(|seed| tokio::spawn(resting::run(shared.clone(), seed))));
        }
        tasks
    }

    async fn heal(&mut self) {
        let end = Instant::now() + WAIT_TIMEOUT;
        while !self.stopping.is_empty() && Instant::now() < end {
            self.restart_stopped();
            tokio::time::sleep(TICK).await;
        }
        self.wait_ready().await;
        tokio::time::sleep(HEAL_TIME).await;
    }

    async fn send_after(&self) -> AfterFaults {
        let mut served = 0;
        for number in 0..REQUESTS_AFTER {
            let instance = &self.instances[number % self.instances.len()];
            let reply =
                TestRequest::get("/look/a").affinity(number).key(tenants::FREE_KEY).send(instance.callers).await;
            served += usize::from(reply.is_ok_and(|reply| reply.status == 200));
        }
        AfterFaults { sent: REQUESTS_AFTER, served }
    }

    /// Adds the incarnations that still run. Those that were replaced are
    /// there already, and are not held to the evacuations of their hall.
    fn observe_targets(&mut self) {
        self.observations.frail = self.frail.observed();
        for target in &self.targets {
            let mut observed = target.observed();
            observed.evacuated = self.evacuations[target.hall].clone();
            self.observations.incarnations.push(observed);
            self.observations.spoken.push(target.spoken());
        }
    }
}
