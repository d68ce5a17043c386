//! The routing state: all contents of the store that the choice of a target depends on.
//!
//! Owns the configuration and the operators' policies in force, the evacuated halls, the quarantine,
//! the [`Targets`] and the [`Members`]. Changes of the store are applied in `apply.rs`.
//!
//! All of it is as old as the view of the store. From `MAX_VIEW_AGE` (1.3 s) on it is stale, but still
//! used.

mod apply;

use crate::clock::Instant;
use crate::decision::capacity::slow_start::{SlowStartInputs, member_share};
use crate::decision::failure::isolation::KnownLoad;
use crate::decision::failure::quarantine::Quarantine;
use crate::decision::registry::members::Members;
use crate::decision::registry::panicked_records::{PanickedRecords, PanickedStep};
use crate::decision::registry::target::Target;
use crate::decision::registry::targets::Targets;
use crate::decision::selection::query::Query;
use crate::decision::selection::region_weight::{RegionSlots, RegionWeights};
use crate::model::config::{Config, Service};
use crate::model::rate_limits::StartKey;
use crate::model::record::RemovedRecord;
use crate::model::usage::ShortKey;
use crate::policy::Policies;
use std::cell::Ref;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// The routing state of an instance.
#[derive(Debug)]
pub struct Routing {
    /// The configuration in force; `None` until the first one has arrived.
    pub config: Option<Rc<Config>>,
    /// The operators' policies in force; `None` if there are none.
    pub policies: Option<Rc<Policies>>,
    /// Revision of the store at which the key of the policies in force was removed, if it was.
    policies_removed_at: Option<u64>,
    /// All registered instances, including this one.
    pub members: Members,
    /// Requests that crashed targets, with their strikes.
    pub quarantine: Quarantine,
    evacuated: HashSet<Rc<str>>,
    /// Members and evacuations missing from a restored store, each with the end of its grace.
    in_grace: Vec<(RemovedRecord, Instant)>,
    targets: Targets,
    /// Changes at which applying them panicked.
    panicked: PanickedRecords,
    /// Region of each hall, from the settings.
    regions: HashMap<Rc<str>, Rc<str>>,
    /// Recomputed after each change of targets, members or evacuations.
    region_weights: RegionWeights,
    weights_step: PanickedStep,
}

impl Routing {
    /// An empty routing state; `regions` maps each hall to its region.
    pub fn new(regions: HashMap<Rc<str>, Rc<str>>) -> Self {
        Self {
            config: None,
            policies: None,
            policies_removed_at: None,
            members: Members::default(),
            quarantine: Quarantine::default(),
            evacuated: HashSet::new(),
            in_grace: Vec::new(),
            targets: Targets::default(),
            panicked: PanickedRecords::default(),
            regions,
            region_weights: RegionWeights::default(),
            weights_step: PanickedStep::default(),
        }
    }

    /// The targets of a service; empty if there are none.
    pub fn targets_of(&self, service: &str) -> &[Rc<Target>] {
        self.targets.of_service(service)
    }

    /// All targets, in no particular order.
    pub fn targets(&self) -> impl Iterator<Item = &Rc<Target>> {
        self.targets.iter()
    }

    /// The target with this key in messages about loads.
    pub fn target_with_short_key(&self, key: ShortKey) -> Option<&Rc<Target>> {
        self.targets.with_short_key(key)
    }

    /// The target whose present start has this key in messages about rate limits.
    pub fn target_with_start_key(&self, key: StartKey) -> Option<&Rc<Target>> {
        self.targets.with_start_key(key)
    }

    /// Marks a target as observed: a request is sent to it, or another instance reported a signal of it.
    pub fn observe(&self, target: &Rc<Target>) {
        self.targets.observe(target);
    }

    /// The observed targets, in the order in which they were first observed.
    pub fn observed_targets(&self) -> Ref<'_, [Rc<Target>]> {
        self.targets.observed()
    }

    /// Whether the target's registration is ready and it is not leaving. This record of it is the current one,
    /// or was in use when a later start of the target replaced it.
    pub fn is_in_use(&self, target: &Rc<Target>) -> bool {
        let Some(known) = self.targets.get(&target.id) else { return false };
        let is_known = Rc::ptr_eq(known, target) || self.has_later_start(target);
        is_known && [known, target].into_iter().all(|record| record.is_ready() && !record.is_leaving())
    }

    /// What is known of the load of a target.
    pub fn known_load(&self, target: &Target, now: Instant) -> KnownLoad {
        target.known_load(self.members.count(), self.median_latency(&target.service), now)
    }

    /// Median of the average latencies of the service's targets, seconds; infinite before the first
    /// response.
    pub fn median_latency(&self, service: &str) -> f64 {
        self.targets.median_latency(service)
    }

    /// Recomputes the median latencies.
    pub fn update_median_latencies(&mut self) {
        self.targets.update_median_latencies();
    }

    /// Load limit of a request's second target, requests per slot, if that of its first is `max_load`.
    pub fn second_target_max_load(&self, query: &Query<'_>, max_load: f64) -> f64 {
        let latency = self.targets.second_target_latency(query.service);
        let objective = query.route.latency_objective;
        latency.map_or(max_load, |latency| latency.max_load(max_load, objective, self.median_latency(query.service)))
    }

    /// Records that a second target of the service responded after `elapsed`, or had not responded by
    /// then.
    pub fn record_second_target_latency(&self, service: &str, elapsed: Duration) {
        if let Some(latency) = self.targets.second_target_latency(service) {
            latency.record(elapsed);
        }
    }

    /// Bounds the idle connections to each observed target by this instance's share of the connections
    /// that the target accepts from all instances.
    pub fn limit_idle_connections(&self) {
        for target in self.targets.observed().iter() {
            let Some(service) = self.service(&target.service) else { continue };
            target.pool.limit_idle(service.max_connections, self.members.count());
        }
    }

    /// Factor on the weight of targets in the instance's own region, for a request.
    pub fn own_region_weight(&self, query: &Query<'_>) -> f64 {
        self.region_weights.weight(query.service, query.region, |region| query.allows(region))
    }

    fn update_region_weights(&mut self) {
        if !self.weights_step.begin() {
            return;
        }
        let slots = self.targets.by_service().map(|(service, targets)| (service.clone(), self.region_slots(targets)));
        let regions = self.members.iter().map(|(_, member)| member.region.as_str());
        self.region_weights = RegionWeights::new(slots.collect(), regions);
        self.weights_step.end();
    }

    /// Slots, by region, of the targets that are ready and not in an evacuated hall.
    fn region_slots(&self, targets: &[Rc<Target>]) -> RegionSlots {
        // There are few regions: comparing names takes less time than a hash for each target.
        let mut slots: Vec<(&Rc<str>, u32)> = Vec::new();
        for target in targets.iter().filter(|target| target.is_ready() && !self.is_evacuated(&target.hall)) {
            match slots.iter_mut().find(|(region, _)| **region == target.region) {
                Some((_, sum)) => *sum = sum.saturating_add(target.slots),
                None => slots.push((&target.region, target.slots)),
            }
        }
        slots.into_iter().map(|(region, slots)| (region.clone(), slots)).collect()
    }

    /// Whether the hall is evacuated, so that its targets receive no requests.
    pub fn is_evacuated(&self, hall: &str) -> bool {
        self.evacuated.contains(hall)
    }

    /// Names of the evacuated halls, in no particular order.
    pub fn evacuated(&self) -> impl Iterator<Item = &str> {
        self.evacuated.iter().map(|hall| &**hall)
    }

    /// The region of a hall; the hall's own name if the settings do not list the hall.
    pub fn region_of(&self, hall: &Rc<str>) -> Rc<str> {
        self.regions.get(hall).unwrap_or(hall).clone()
    }

    /// Whether this instance may send a target in slow start a request now, within its share of that
    /// target's rate.
    pub fn may_send_in_slow_start(&self, target: &Target, inputs: SlowStartInputs<'_>, now: Instant) -> bool {
        let service = self.service(&target.service);
        let shared_rate = service.map_or(0, |service| inputs.bounds.shared_rate(service.slow_start_rate));
        let member_share = |shared_rate| member_share(shared_rate, target.key.hash(), inputs.own, self.members.names());
        target.may_send_in_slow_start(self.members.changed_at(), shared_rate, member_share, now)
    }

    /// Revision of the operators' policies in force; 0 if there are none.
    pub fn policies_revision(&self) -> u64 {
        self.policies.as_ref().map_or(0, |policies| policies.revision)
    }

    /// Addresses at which the other instances listen for peers.
    pub fn peer_addresses(&self, own_name: &str) -> Vec<SocketAddr> {
        self.members.peer_addresses(own_name)
    }

    /// Whether a later start of this target is registered; false if its registration names no start.
    pub fn has_later_start(&self, target: &Target) -> bool {
        let known = self.targets.get(&target.id);
        target.start.is_some() && known.is_some_and(|known| known.start > target.start)
    }

    /// Whether another target is registered at this target's address. It may also be an earlier one, whose
    /// registration has not lapsed yet.
    pub fn has_other_at_address(&self, target: &Target) -> bool {
        let at_address = self.targets.at_address(target.pool.address());
        at_address.is_some_and(|other| other.id != target.id)
    }

    /// Path of the health check of a service's targets; `/` if the service is not configured any more.
    pub fn health_path(&self, service: &str) -> String {
        self.service(service).map_or_else(|| "/".to_owned(), |service| service.health_path.clone())
    }

    fn service(&self, name: &str) -> Option<&Service> {
        self.config.as_ref()?.services.get(name)
    }
}
