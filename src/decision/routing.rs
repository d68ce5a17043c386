//! The routing state: everything that the store says and the choice of a target looks at.
//!
//! Owns the configuration in force, the operators' policies in force, the evacuated halls,
//! the [`Targets`] and the [`Members`]. Changes of the store are applied here, one record at a
//! time: a later version replaces an earlier one, a refused value changes nothing.
//!
//! All of it is as old as the view of the store: normally below a second, not bounded while
//! the store is unreachable. Requests are served on with what was last known.

use crate::decision::change::{StateChange, TargetChange};
use crate::decision::members::Members;
use crate::decision::slow_start::{SlowStartShare, own_rate};
use crate::decision::target::Target;
use crate::decision::targets::Targets;
use crate::model::config::{Config, Service};
use crate::model::member::Member;
use crate::model::record::{Record, RecordError, RemovedRecord};
use crate::model::registration::{TargetRegistration, TargetState};
use crate::platform::Platform;
use crate::policy::{Policies, PolicyDocument};
use crate::store::{Event, Item};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::time::Instant;

/// The routing state of an instance.
#[derive(Debug)]
pub struct Routing {
    /// The configuration in force; `None` before the first.
    pub config: Option<Rc<Config>>,
    /// The operators' policies in force; `None` where there are none.
    pub policies: Option<Rc<Policies>>,
    /// All instances, this one among them.
    pub members: Members,
    evacuated: HashSet<Rc<str>>,
    targets: Targets,
    /// Region of each hall, from the settings.
    regions: HashMap<Rc<str>, Rc<str>>,
}

impl Routing {
    /// An empty routing state; `regions` gives the region of each hall.
    pub fn new(regions: HashMap<Rc<str>, Rc<str>>) -> Self {
        Self {
            config: None,
            policies: None,
            members: Members::default(),
            evacuated: HashSet::new(),
            targets: Targets::default(),
            regions,
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

    /// Median of the average latencies of the service's targets, seconds; infinite before
    /// the first answer.
    pub fn median_latency(&self, service: &str) -> f64 {
        self.targets.median_latency(service)
    }

    /// Works out the median latencies again.
    pub fn update_median_latencies(&mut self) {
        self.targets.update_median_latencies();
    }

    /// Bounds idle connections to targets by what these take from all instances.
    pub fn share_connections(&self) {
        for (service, targets) in self.targets.by_service() {
            let Some(service) = self.service(service) else { continue };
            for target in targets {
                target.pool.share_connections(service.max_connections, self.members.len());
            }
        }
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
        let rate = || {
            let service = self.service(&target.service);
            let shared = service.map_or(0, |service| share.bounds.shared_rate(service.slow_start_rate));
            own_rate(shared, target.hash, share.own, self.members.names())
        };
        target.may_send_in_slow_start(self.members.changed_at(), rate, now)
    }

    /// Addresses at which peers listen, but for this instance's own.
    pub fn peers(&self, own_name: &str) -> Vec<SocketAddr> {
        self.members.peers(own_name)
    }

    /// Applies changes of the store. A target whose registration is among the removed ones is
    /// kept until `grace_until` where that is given.
    pub fn apply<P: Platform>(
        &mut self,
        changes: &[Event],
        now: Instant,
        grace_until: Option<Instant>,
    ) -> Vec<StateChange> {
        self.targets.sweep_tombstones(now);
        let apply_one = |change: &Event| match change {
            Event::Put(item) => match P::read(item) {
                Ok(record) => self.apply_record(record, item, now),
                Err(error) => Some(StateChange::Refused(error)),
            },
            Event::Gone { key, .. } => self.remove_record(P::read_gone(key), now, grace_until),
        };
        changes.iter().filter_map(apply_one).collect()
    }

    /// Removes targets whose grace is over and that have not registered again.
    pub fn remove_expired(&mut self, now: Instant) -> Vec<StateChange> {
        let expired = self.targets.expired(now);
        expired.iter().map(|target| self.remove_target(target, now)).collect()
    }

    fn apply_record(&mut self, record: Record, item: &Item, now: Instant) -> Option<StateChange> {
        match record {
            Record::Config(config) => self.apply_config(config),
            Record::Policies => self.apply_policies(item),
            Record::Evacuation(hall) => {
                let name = hall.to_string();
                self.evacuated.insert(hall).then_some(StateChange::Evacuation { hall: name, on: true })
            }
            Record::Target(registration) => self.apply_registration(&registration, now),
            Record::Own(name) => {
                let member = Member::read(&item.value)?;
                self.members.insert(name.clone(), member, now);
                Some(StateChange::Member { name, present: true })
            }
            Record::Unknown => None,
        }
    }

    fn apply_config(&mut self, config: Config) -> Option<StateChange> {
        let version = config.version;
        if self.config.as_ref().is_some_and(|known| known.version >= version) {
            return None;
        }
        self.config = Some(Rc::new(config));
        Some(StateChange::Config(version))
    }

    /// Takes later policies in force, whole or not at all.
    fn apply_policies(&mut self, item: &Item) -> Option<StateChange> {
        let refused = |problem: String| StateChange::Refused(RecordError { key: item.key.clone(), problem });
        let document = match PolicyDocument::read(&item.value) {
            Ok(document) => document,
            Err(problem) => return Some(refused(problem)),
        };
        if self.policies.as_ref().is_some_and(|known| known.revision >= document.revision) {
            return None;
        }
        match Policies::try_from(&document) {
            Ok(policies) => self.policies = Some(Rc::new(policies)),
            Err(error) => return Some(refused(error.to_string())),
        }
        Some(StateChange::Policies { revision: document.revision, by: document.by })
    }

    fn apply_registration(&mut self, registration: &TargetRegistration, now: Instant) -> Option<StateChange> {
        let state = match registration.state {
            TargetState::Ready => TargetChange::Ready,
            TargetState::Draining => TargetChange::Draining,
        };
        let region = self.region_of(&registration.hall);
        let is_later = self.targets.register(registration, region, now);
        is_later.then(|| StateChange::Target { id: registration.id.clone(), state })
    }

    fn remove_record(
        &mut self,
        record: RemovedRecord,
        now: Instant,
        grace_until: Option<Instant>,
    ) -> Option<StateChange> {
        match record {
            RemovedRecord::Evacuation(hall) => self.end_evacuation(hall, now),
            RemovedRecord::Target(id) => {
                let target = self.targets.get(&id)?.clone();
                Some(self.remove_registration(&target, now, grace_until))
            }
            RemovedRecord::Own(name) => {
                self.members.remove(&name, now).then_some(StateChange::Member { name, present: false })
            }
            RemovedRecord::Unknown => None,
        }
    }

    fn remove_registration(&mut self, target: &Rc<Target>, now: Instant, grace_until: Option<Instant>) -> StateChange {
        match grace_until.filter(|_| target.is_ready()) {
            Some(until) => {
                target.begin_grace(until);
                StateChange::Target { id: target.id.clone(), state: TargetChange::InGrace }
            }
            None => self.remove_target(target, now),
        }
    }

    fn remove_target(&mut self, target: &Target, now: Instant) -> StateChange {
        self.targets.remove(target, now);
        StateChange::Target { id: target.id.clone(), state: TargetChange::Removed }
    }

    /// Ends an evacuation. The hall's targets may have become cold meanwhile, and no
    /// registration says so in time: they start slowly.
    fn end_evacuation(&mut self, hall: String, now: Instant) -> Option<StateChange> {
        if !self.evacuated.remove(hall.as_str()) {
            return None;
        }
        for target in self.targets.iter().filter(|target| *target.hall == *hall) {
            if let Some(service) = self.service(&target.service) {
                target.begin_slow_start(service.warmup, now);
            }
        }
        Some(StateChange::Evacuation { hall, on: false })
    }

    fn service(&self, name: &str) -> Option<&Service> {
        self.config.as_ref()?.services.get(name)
    }
}
