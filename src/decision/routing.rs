//! What the store's items mean: the config in force, targets, evacuated
//! halls and the other instances.

use crate::decision::slow_start::{SlowStartBounds, own_rate};
use crate::decision::target::Target;
use crate::model::config::Config;
use crate::model::member::Member;
use crate::model::record::{Record, RecordError, RemovedRecord};
use crate::model::registration::TargetRegistration;
use crate::platform::Platform;
use crate::policy::{Policies, PolicyDocument};
use crate::store::Event;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// How long the last sequence of a target that went is remembered, so that an
/// registration written late does not bring it back.
const TOMBSTONE_TTL: Duration = Duration::from_secs(120);

/// How long the members must have stayed the same before cold targets are sent
/// anything: longer than another instance may lag behind.
const MEMBERS_STEADY: Duration = Duration::from_millis(2_000);

/// A change of what this instance believes, for the log.
#[derive(Debug)]
pub enum StateChange {
    /// A later configuration is in force.
    Config(u64),
    /// Later policies of the operators are in force.
    Policies { revision: u64, by: String },
    /// A hall is evacuated, or no longer.
    Evacuation { hall: String, on: bool },
    /// A target came, changed or went.
    Target { id: Rc<str>, state: &'static str },
    /// Another instance came or went.
    Member { name: String, present: bool },
    /// A value was refused.
    Refused(RecordError),
}

#[derive(Debug)]
struct Tombstone {
    sequence: u64,
    at: Instant,
}

/// The routing as the store describes it.
#[derive(Debug)]
pub struct Routing {
    /// The configuration in force; `None` before the first.
    pub config: Option<Rc<Config>>,
    /// The operators' policies in force; `None` where there are none.
    pub policies: Option<Rc<Policies>>,
    /// Other instances and this one, by name.
    pub members: BTreeMap<String, Member>,
    evacuated: HashSet<Rc<str>>,
    targets: HashMap<Rc<str>, Rc<Target>>,
    by_service: HashMap<Rc<str>, Vec<Rc<Target>>>,
    tombstones: HashMap<Rc<str>, Tombstone>,
    median: HashMap<Rc<str>, f64>,
    regions: HashMap<Rc<str>, Rc<str>>,
    members_at: Instant,
}

impl Routing {
    /// An empty routing whose halls lie in these regions.
    pub fn new(regions: HashMap<Rc<str>, Rc<str>>) -> Self {
        Self {
            config: None,
            policies: None,
            members: BTreeMap::new(),
            evacuated: HashSet::new(),
            targets: HashMap::new(),
            by_service: HashMap::new(),
            tombstones: HashMap::new(),
            median: HashMap::new(),
            regions,
            members_at: Instant::now(),
        }
    }

    /// The targets of a service.
    pub fn targets_of(&self, service: &str) -> &[Rc<Target>] {
        self.by_service.get(service).map_or(&[], Vec::as_slice)
    }

    /// All targets.
    pub fn targets(&self) -> impl Iterator<Item = &Rc<Target>> {
        self.targets.values()
    }

    /// The middle of the times that the service's targets take, seconds; very
    /// long where nothing is known.
    pub fn median_latency(&self, service: &str) -> f64 {
        self.median.get(service).copied().unwrap_or(f64::INFINITY)
    }

    /// Works out the median times anew.
    pub fn update_median_latencies(&mut self) {
        for (service, targets) in &self.by_service {
            let mut times: Vec<f64> = targets.iter().filter_map(|target| target.average_latency()).collect();
            if times.is_empty() {
                continue;
            }
            times.sort_by(f64::total_cmp);
            self.median.insert(service.clone(), times[times.len() / 2]);
        }
    }

    /// Bounds idle connections to targets by what these take from all instances.
    pub fn share_connections(&self) {
        let Some(config) = &self.config else { return };
        for (service, targets) in &self.by_service {
            let Some(service) = config.services.get(service) else { continue };
            for target in targets {
                target.pool.share_connections(service.max_connections, self.members.len());
            }
        }
    }

    /// Whether nothing may go to the hall's targets.
    pub fn is_evacuated(&self, hall: &str) -> bool {
        self.evacuated.contains(hall)
    }

    /// Halls whose targets get nothing.
    pub fn evacuated(&self) -> impl Iterator<Item = &str> {
        self.evacuated.iter().map(|hall| &**hall)
    }

    /// The region of a hall, itself where the settings do not say.
    pub fn region_of(&self, hall: &Rc<str>) -> Rc<str> {
        self.regions.get(hall).unwrap_or(hall).clone()
    }

    /// Whether `own` may send a cold target a request now, of the rate that
    /// all instances share. While the members change nobody sends any: the
    /// others may not see the same ones yet.
    pub fn may_send_in_slow_start(&self, target: &Target, own: &str, bounds: SlowStartBounds, now: Instant) -> bool {
        if now.saturating_duration_since(self.members_at) < MEMBERS_STEADY {
            return false;
        }
        let rate = || {
            let service = self.config.as_ref().and_then(|config| config.services.get(&target.service));
            let shared = service.map_or(0, |service| bounds.shared_rate(service.slow_start_rate));
            own_rate(shared, target.hash, own, self.members.keys().map(String::as_str))
        };
        target.has_slow_start_share(self.members_at, rate, now)
    }

    /// Addresses at which peers listen, but for this instance's own.
    pub fn peers(&self, own_name: &str) -> Vec<SocketAddr> {
        self.members.iter().filter(|(name, _)| *name != own_name).map(|(_, member)| member.peer).collect()
    }

    /// Takes in changes of the store. Where the store was away until lately,
    /// targets whose registrations went are kept until `grace_until`.
    pub fn apply<P: Platform>(
        &mut self,
        changes: &[Event],
        now: Instant,
        grace_until: Option<Instant>,
    ) -> Vec<StateChange> {
        self.tombstones.retain(|_, tombstones| now.saturating_duration_since(tombstones.at) < TOMBSTONE_TTL);
        let mut state_changes = Vec::new();
        for change in changes {
            match change {
                Event::Put(item) => match P::decode(item) {
                    Ok(Record::Policies(document)) => {
                        state_changes.extend(self.learn_policies(&item.key, document));
                    }
                    Ok(record) => state_changes.extend(self.learn(record, now)),
                    Err(error) => state_changes.push(StateChange::Refused(error)),
                },
                Event::Gone { key, .. } => state_changes.extend(self.forget(P::decode_removal(key), now, grace_until)),
            }
        }
        state_changes
    }

    fn learn(&mut self, record: Record, now: Instant) -> Option<StateChange> {
        match record {
            Record::Config(config) => {
                let version = config.version;
                if self.config.as_ref().is_some_and(|known| known.version >= version) {
                    return None;
                }
                self.config = Some(Rc::new(config));
                Some(StateChange::Config(version))
            }
            Record::Evacuation(hall) => {
                let name = hall.to_string();
                self.evacuated.insert(hall).then_some(StateChange::Evacuation { hall: name, on: true })
            }
            Record::Target(registration) => self.learn_target(&registration, now),
            Record::Member { name, member } => {
                if self.members.insert(name.clone(), member).is_none() {
                    self.members_at = now;
                }
                Some(StateChange::Member { name, present: true })
            }
            Record::Policies(_) | Record::Unknown => None,
        }
    }

    /// Takes later policies in force, whole or not at all.
    fn learn_policies(&mut self, key: &str, document: PolicyDocument) -> Option<StateChange> {
        if self.policies.as_ref().is_some_and(|known| known.revision >= document.revision) {
            return None;
        }
        match Policies::try_from(&document) {
            Ok(policies) => self.policies = Some(Rc::new(policies)),
            Err(error) => return Some(StateChange::Refused(RecordError::new(key, error))),
        }
        Some(StateChange::Policies { revision: document.revision, by: document.by })
    }

    fn learn_target(&mut self, registration: &TargetRegistration, now: Instant) -> Option<StateChange> {
        let state =
            if registration.state == crate::model::registration::TargetState::Ready { "ready" } else { "draining" };
        let state_change = StateChange::Target { id: registration.id.clone(), state };
        if let Some(known) = self.targets.get(&registration.id) {
            return known.update(registration, now).then_some(state_change);
        }
        if self.tombstones.get(&registration.id).is_some_and(|tombstones| registration.sequence <= tombstones.sequence)
        {
            return None;
        }
        let target = Rc::new(Target::new(registration, self.region_of(&registration.hall), now));
        self.targets.insert(registration.id.clone(), target.clone());
        self.by_service.entry(registration.service.clone()).or_default().push(target);
        Some(state_change)
    }

    fn forget(&mut self, removal: RemovedRecord, now: Instant, grace_until: Option<Instant>) -> Option<StateChange> {
        match removal {
            RemovedRecord::Evacuation(hall) => {
                if !self.evacuated.remove(hall.as_str()) {
                    return None;
                }
                self.restart_slow_start(&hall, now);
                Some(StateChange::Evacuation { hall, on: false })
            }
            RemovedRecord::Target(id) => {
                let target = self.targets.get(id.as_str())?.clone();
                match grace_until.filter(|_| target.is_ready()) {
                    Some(until) => {
                        target.expire_at(until);
                        Some(StateChange::Target { id: target.id.clone(), state: "lapsed" })
                    }
                    None => Some(self.remove_target(&target, now)),
                }
            }
            RemovedRecord::Member(name) => {
                self.members.remove(&name)?;
                self.members_at = now;
                Some(StateChange::Member { name, present: false })
            }
            RemovedRecord::Unknown => None,
        }
    }

    fn remove_target(&mut self, target: &Target, now: Instant) -> StateChange {
        self.targets.remove(&target.id);
        if let Some(list) = self.by_service.get_mut(&target.service) {
            list.retain(|other| other.id != target.id);
        }
        self.tombstones.insert(target.id.clone(), Tombstone { sequence: target.sequence(), at: now });
        StateChange::Target { id: target.id.clone(), state: "gone" }
    }

    /// Removes targets whose registrations went while the store was away and did not
    /// come back.
    pub fn remove_expired(&mut self, now: Instant) -> Vec<StateChange> {
        let lapsed: Vec<Rc<Target>> = self.targets.values().filter(|target| target.has_expired(now)).cloned().collect();
        lapsed.iter().map(|target| self.remove_target(target, now)).collect()
    }

    /// Targets that come back from an evacuation may have turned cold, and
    /// nothing says so in time.
    fn restart_slow_start(&self, hall: &str, now: Instant) {
        for target in self.targets.values().filter(|target| *target.hall == *hall) {
            let warmup = self.config.as_ref().and_then(|config| config.services.get(&target.service));
            if let Some(service) = warmup {
                target.begin_slow_start(service.slow_start, now);
            }
        }
    }
}
