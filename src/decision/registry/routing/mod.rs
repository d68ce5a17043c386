//! The routing state: everything that the store says and the choice of a target looks at.
//!
//! Owns the configuration in force, the operators' policies in force, the evacuated halls,
//! the [`Targets`] and the [`Members`]. Changes of the store are applied in `apply.rs`.
//!
//! All of it is as old as the view of the store: stale from `MAX_VIEW_AGE` (1.3 s) on, then
//! still used.

mod apply;

use crate::clock::Instant;
use crate::decision::capacity::slow_start::{SlowStartShare, member_share};
use crate::decision::failure::quarantine::Quarantine;
use crate::decision::registry::members::Members;
use crate::decision::registry::target::Target;
use crate::decision::registry::targets::Targets;
use crate::decision::selection::query::Query;
use crate::decision::selection::region_weight::{RegionSlots, RegionWeights};
use crate::model::config::{Config, Service};
use crate::model::record::RemovedRecord;
use crate::policy::Policies;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// The routing state of an instance.
#[derive(Debug)]
pub struct Routing {
    /// The configuration in force; `None` before the first.
    pub config: Option<Rc<Config>>,
    /// The operators' policies in force; `None` where there are none.
    pub policies: Option<Rc<Policies>>,
    /// Revision of the store at which the key of those in force was removed, if it was.
    policies_removed: Option<u64>,
    /// All instances, this one among them.
    pub members: Members,
    /// Requests under which targets ended.
    pub quarantine: Quarantine,
    evacuated: HashSet<Rc<str>>,
    /// Members and evacuations that the restored store lacks, each with the end of its grace.
    in_grace: Vec<(RemovedRecord, Instant)>,
    targets: Targets,
    /// Region of each hall, from the settings.
    regions: HashMap<Rc<str>, Rc<str>>,
    /// Renewed after each change.
    region_weights: RegionWeights,
}

impl Routing {
    /// An empty routing state; `regions` gives the region of each hall.
    pub fn new(regions: HashMap<Rc<str>, Rc<str>>) -> Self {
        Self {
            config: None,
            policies: None,
            policies_removed: None,
            members: Members::default(),
            quarantine: Quarantine::default(),
            evacuated: HashSet::new(),
            in_grace: Vec::new(),
            targets: Targets::default(),
            regions,
            region_weights: RegionWeights::default(),
        }
    }

    /// The targets of a service.
    pub fn targets_of(&self, service: &str) -> &[Rc<Target>] {
        self.targets.of_service(service)
    }

    /// All targets.
    pub fn targets(&self) -> impl Iterator<Item = &Rc<Target>> {
        self.targets.iter()
    }

    /// Whether the target is in use: registered, and not leaving.
    pub fn is_in_use(&self, target: &Rc<Target>) -> bool {
        let registered = self.targets.get(&target.id);
        registered.is_some_and(|known| Rc::ptr_eq(known, target)) && target.is_ready() && !target.is_leaving()
    }

    /// Median of the average latencies of the service's targets, seconds; infinite before
    /// the first answer.
    pub fn median_latency(&self, service: &str) -> f64 {
        self.targets.median_latency(service)
    }

    /// Works out the median latencies again.
    pub fn update_median_latencies(&mut self) {
        self.targets.update_median_latencies();
    }

    /// Limit of a request's second target, requests per slot, where its first has `most`.
    pub fn second_load(&self, query: &Query<'_>, most: f64) -> f64 {
        let latency = self.targets.second_latency(query.service);
        let objective = query.route.latency_objective;
        latency.map_or(most, |latency| latency.max_load(most, objective, self.median_latency(query.service)))
    }

    /// Notes that a second target of the service took this long, or gave no answer in it.
    pub fn record_second(&self, service: &str, took: Duration) {
        if let Some(latency) = self.targets.second_latency(service) {
            latency.record(took);
        }
    }

    /// Bounds idle connections to targets by what these take from all instances.
    pub fn share_connections(&self) {
        for (service, targets) in self.targets.by_service() {
            let Some(service) = self.service(service) else { continue };
            for target in targets {
                target.pool.share_connections(service.max_connections, self.members.count());
            }
        }
    }

    /// Factor on the weight of targets of the instance's own region, for a request.
    pub fn near_weight(&self, query: &Query<'_>) -> f64 {
        self.region_weights.weight(query.service, query.region, |region| query.allows(region))
    }

    fn update_region_weights(&mut self) {
        let slots = self.targets.by_service().map(|(service, targets)| (service.clone(), self.region_slots(targets)));
        let regions = self.members.iter().map(|(_, member)| member.region.as_str());
        self.region_weights = RegionWeights::new(slots.collect(), regions);
    }

    /// Slots by region of the targets that are ready and in no evacuated hall.
    fn region_slots(&self, targets: &[Rc<Target>]) -> RegionSlots {
        let mut slots = RegionSlots::new();
        for target in targets.iter().filter(|target| target.is_ready() && !self.is_evacuated(&target.hall)) {
            *slots.entry(target.region.clone()).or_default() += target.slots;
        }
        slots
    }

    /// Whether the hall is evacuated, so that its targets get nothing.
    pub fn is_evacuated(&self, hall: &str) -> bool {
        self.evacuated.contains(hall)
    }

    /// The evacuated halls.
    pub fn evacuated(&self) -> impl Iterator<Item = &str> {
        self.evacuated.iter().map(|hall| &**hall)
    }

    /// The region of a hall; the hall's own name where the settings do not list it.
    pub fn region_of(&self, hall: &Rc<str>) -> Rc<str> {
        self.regions.get(hall).unwrap_or(hall).clone()
    }

    /// Whether this instance may send a cold target a request now, of the rate that all
    /// instances share.
    pub fn may_send_in_slow_start(&self, target: &Target, share: SlowStartShare<'_>, now: Instant) -> bool {
        let service = self.service(&target.service);
        let shared = service.map_or(0, |service| share.bounds.shared_rate(service.slow_start_rate));
        let rate = |shared| member_share(shared, target.key.hash(), share.own, self.members.names());
        target.may_send_in_slow_start(self.members.changed_at(), shared, rate, now)
    }

    /// Revision of the operators' policies in force; 0 where there are none.
    pub fn policies_revision(&self) -> u64 {
        self.policies.as_ref().map_or(0, |policies| policies.revision)
    }

    /// Addresses at which peers listen, but for this instance's own.
    pub fn peers(&self, own_name: &str) -> Vec<SocketAddr> {
        self.members.peers(own_name)
    }

    fn service(&self, name: &str) -> Option<&Service> {
        self.config.as_ref()?.services.get(name)
    }
}
