//! The targets: all that are registered, by identity and by service, and tombstones of those that
//! were removed. **Rule**: for each id, the registration of the latest start counts, and within that
//! start the one with the highest sequence number, for all of its fields.
//!
//! - A later start resets all state: nothing observed of an earlier start applies to it, and
//!   connections to the earlier one are closed.
//! - A registration of the same start with other data creates a new record that replaces the old one.
//!   One with the same sequence number changes only state and slow start; an earlier one is ignored.
//! - A removed target is added again only by a registration later than its last one; after an expired
//!   grace, also by the same one.
//! - Once an id has registered with a start time, a registration without one is invalid. An id that
//!   never had one is ordered by sequence alone.
//! - An invalid registration excludes its target until the next valid one, which must not be earlier
//!   than the last valid one. What was observed of the target is kept.
//!
//! Requests of one instance go to few of the targets of a large fleet, and most targets never announce
//! a rate limit. Periodic work therefore visits the *observed* targets alone: those to which this instance
//! has sent a request, or of which another instance reported a signal. Its cost depends on the instance's
//! own traffic, not on the number of targets.
//!
//! **Inputs**: registrations and their removal, as old as the view; start times from the targets'
//! clocks, compared only within one id; sequence numbers, which a target raises with each write of
//! its registration; tombstones, at most `TOMBSTONE_TTL` (120 s) old.
//!
//! **Why.** A write of a registration may reach the store late, after the removal or after the
//! target has restarted, and others may write to its key. A restarted target counts its sequence from
//! the beginning, and knows nothing that the last start knew.
//!
//! **Guards** the promises that a removed target receives no more requests, that a request goes to the
//! service, hall and address that were registered last, and that a restarted target is used as
//! soon as its registration is seen.
//!
//! **Test**: `tests/registrations.rs`, `tests/restarted_targets.rs`;
//! `a_registration_written_late_does_not_add_a_removed_target` in `tests/choice.rs`;
//! `standins/tests/registered_again.rs`, `standins/tests/restarted_targets.rs`.

use crate::clock::Instant;
use crate::decision::capacity::second_target::SecondTargetLatency;
use crate::decision::failure::latency;
use crate::decision::registry::signals::TargetSignals;
use crate::decision::registry::target::Target;
use crate::decision::registry::target_key::TargetKey;
use crate::model::rate_limits::StartKey;
use crate::model::registration::{TargetRegistration, TargetState, WriteOrder};
use crate::model::usage::ShortKey;
use std::cell::{Ref, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// How long a tombstone is kept. Longer than any late write can take, since leases expire within
/// about 5 s; limited to bound memory.
const TOMBSTONE_TTL: Duration = Duration::from_secs(120);

/// What is remembered of a removed target.
#[derive(Debug)]
struct Tombstone {
    /// Write order of its last accepted registration.
    order: WriteOrder,
    /// Whether its grace expired: it may then register again with the same order.
    has_grace_expired: bool,
    removed_at: Instant,
    start_key: StartKey,
    /// Signals of that start, which may have lost only its registration and still be running.
    signals: Rc<RefCell<TargetSignals>>,
}

/// What happened to a registration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RegistrationOutcome {
    /// It is in effect.
    Accepted,
    /// It is ignored, because it is earlier than the last accepted one of its id. After a removal the same
    /// one is ignored too, unless the target was removed because its grace expired.
    Stale,
    /// It has no start time, although an earlier one of its id had.
    MissingStart,
}

/// All registered targets, and tombstones of removed ones.
#[derive(Debug, Default)]
pub struct Targets {
    by_id: HashMap<Rc<str>, Rc<Target>>,
    by_service: HashMap<Rc<str>, Vec<Rc<Target>>>,
    /// By the key in messages about loads. Of two targets with the same one, the later is found.
    by_short_key: HashMap<ShortKey, Rc<Target>>,
    /// By the key in messages about rate limits.
    by_start_key: HashMap<StartKey, Rc<Target>>,
    /// By address. Of two targets with the same one, the later is found.
    by_address: HashMap<SocketAddr, Rc<Target>>,
    /// The observed targets, in the order in which they were first observed.
    observed: RefCell<Vec<Rc<Target>>>,
    /// Targets that were given a grace; it may have ended by a registration.
    in_grace: HashMap<TargetKey, Rc<Target>>,
    tombstones: HashMap<Rc<str>, Tombstone>,
    /// Median of the targets' average latencies by service, seconds.
    medians: HashMap<Rc<str>, f64>,
    /// Latency of requests at second targets, by service.
    second_target_latencies: HashMap<Rc<str>, SecondTargetLatency>,
}

impl Targets {
    /// The targets of a service; empty if there are none.
    pub fn of_service(&self, service: &str) -> &[Rc<Target>] {
        self.by_service.get(service).map_or(&[], Vec::as_slice)
    }

    /// All services that have or had a target, with their current targets.
    pub fn by_service(&self) -> impl Iterator<Item = (&Rc<str>, &Vec<Rc<Target>>)> {
        self.by_service.iter()
    }

    /// All targets, in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = &Rc<Target>> {
        self.by_id.values()
    }

    /// The target with this identity.
    pub fn get(&self, id: &str) -> Option<&Rc<Target>> {
        self.by_id.get(id)
    }

    /// Whether a registration is in effect as it stands.
    pub fn is_in_effect(&self, registration: &TargetRegistration) -> bool {
        self.get(&registration.id).is_some_and(|known| {
            let is_same = known.order() == registration.order() && known.matches(registration);
            let is_ready = registration.state == TargetState::Ready;
            is_same && known.is_ready() == is_ready && !known.is_invalid() && !known.is_in_grace()
        })
    }

    /// The target with this key in messages about loads.
    pub fn with_short_key(&self, key: ShortKey) -> Option<&Rc<Target>> {
        self.by_short_key.get(&key)
    }

    /// The target whose present start has this key in messages about rate limits.
    pub fn with_start_key(&self, key: StartKey) -> Option<&Rc<Target>> {
        self.by_start_key.get(&key)
    }

    /// The target that was registered last at this address.
    pub fn at_address(&self, address: SocketAddr) -> Option<&Rc<Target>> {
        self.by_address.get(&address)
    }

    /// Marks a target as observed, unless it is no longer registered.
    pub fn observe(&self, target: &Rc<Target>) {
        let is_current = || self.get(&target.id).is_some_and(|known| Rc::ptr_eq(known, target));
        if !target.is_observed() && is_current() {
            target.mark_observed();
            self.observed.borrow_mut().push(target.clone());
        }
    }

    /// The observed targets.
    pub fn observed(&self) -> Ref<'_, [Rc<Target>]> {
        Ref::map(self.observed.borrow(), Vec::as_slice)
    }

    /// Applies a registration that arrives at `now`. `region` is the region of its hall.
    pub fn register(
        &mut self,
        registration: &TargetRegistration,
        region: Rc<str>,
        now: Instant,
    ) -> RegistrationOutcome {
        let last = self.last_order(&registration.id);
        if registration.start.is_none() && last.is_some_and(|last| last.start.is_some()) {
            return RegistrationOutcome::MissingStart;
        }
        let known = self.by_id.get(&registration.id).cloned();
        match known {
            Some(known) => self.reregister(&known, registration, region, now),
            None if self.is_stale(registration) => RegistrationOutcome::Stale,
            None => {
                let target = self.with_restored_signals(registration, region, now);
                let has_signals = target.rate_limit().is_some() || target.has_active_limit(now) || target.is_leaving();
                self.insert(target, has_signals);
                RegistrationOutcome::Accepted
            }
        }
    }

    /// A new record, with the signals of the same start from its tombstone if there is one.
    fn with_restored_signals(&self, registration: &TargetRegistration, region: Rc<str>, now: Instant) -> Target {
        let mut target = Target::new(registration, region, now);
        let tombstone = self.tombstones.get(&registration.id);
        if let Some(tombstone) = tombstone.filter(|tombstone| tombstone.start_key == target.start_key) {
            target.inherit_signals(tombstone.signals.clone());
        }
        target
    }

    /// Write order of the last accepted registration of an id, including a removed target's.
    fn last_order(&self, id: &str) -> Option<WriteOrder> {
        let known = self.by_id.get(id).map(|target| target.order());
        known.or_else(|| self.tombstones.get(id).map(|tombstone| tombstone.order))
    }

    /// Whether a registration of a removed target is no later than the last one before its removal.
    /// If the target was removed because its grace expired, one with the same order is not stale.
    fn is_stale(&self, registration: &TargetRegistration) -> bool {
        self.tombstones.get(&registration.id).is_some_and(|tombstone| match tombstone.has_grace_expired {
            true => registration.order() < tombstone.order,
            false => registration.order() <= tombstone.order,
        })
    }

    /// Applies a registration of a known target.
    fn reregister(
        &mut self,
        known: &Target,
        registration: &TargetRegistration,
        region: Rc<str>,
        now: Instant,
    ) -> RegistrationOutcome {
        if registration.order() < known.order() {
            return RegistrationOutcome::Stale;
        }
        let is_same = registration.order() == known.order() || known.matches(registration);
        if registration.start != known.start {
            known.pool.clear();
            self.unlink(known);
            self.insert(Target::new(registration, region, now), false);
        } else if is_same {
            known.update(registration, now);
        } else {
            self.unlink(known);
            self.insert(known.successor(registration, region, now), known.is_observed());
        }
        RegistrationOutcome::Accepted
    }

    fn insert(&mut self, target: Target, is_observed: bool) {
        let target = Rc::new(target);
        self.by_id.insert(target.id.clone(), target.clone());
        self.by_short_key.insert(target.key.short(), target.clone());
        self.by_start_key.insert(target.start_key, target.clone());
        self.by_address.insert(target.pool.address(), target.clone());
        if is_observed {
            self.observe(&target);
        }
        self.second_target_latencies.entry(target.service.clone()).or_default();
        self.by_service.entry(target.service.clone()).or_default().push(target);
    }

    /// Removes a target from all indexes, without a tombstone.
    fn unlink(&mut self, target: &Target) {
        self.by_id.remove(&target.id);
        self.in_grace.remove(&target.key);
        self.by_start_key.remove(&target.start_key);
        if self.with_short_key(target.key.short()).is_some_and(|known| known.id == target.id) {
            self.by_short_key.remove(&target.key.short());
        }
        if self.at_address(target.pool.address()).is_some_and(|known| known.id == target.id) {
            self.by_address.remove(&target.pool.address());
        }
        if target.is_observed() {
            self.observed.get_mut().retain(|other| other.id != target.id);
        }
        if let Some(list) = self.by_service.get_mut(&target.service) {
            list.retain(|other| other.id != target.id);
        }
    }

    /// Removes a target and leaves a tombstone for it.
    pub fn remove(&mut self, target: &Target, now: Instant) {
        self.replace_with_tombstone(target, false, now);
    }

    /// Removes a target whose grace expired, and leaves a tombstone that accepts the same registration
    /// again.
    pub fn remove_expired(&mut self, target: &Target, now: Instant) {
        self.replace_with_tombstone(target, true, now);
    }

    fn replace_with_tombstone(&mut self, target: &Target, has_grace_expired: bool, now: Instant) {
        self.unlink(target);
        let (order, start_key, signals) = (target.order(), target.start_key, target.signals());
        let tombstone = Tombstone { order, has_grace_expired, removed_at: now, start_key, signals };
        self.tombstones.insert(target.id.clone(), tombstone);
    }

    /// Removes tombstones older than `TOMBSTONE_TTL`.
    pub fn remove_old_tombstones(&mut self, now: Instant) {
        self.tombstones.retain(|_, tombstone| now.saturating_duration_since(tombstone.removed_at) < TOMBSTONE_TTL);
    }

    /// Keeps a target until `until` although its registration is missing.
    pub fn begin_grace(&mut self, target: &Rc<Target>, until: Instant) {
        target.begin_grace(until);
        self.in_grace.insert(target.key, target.clone());
    }

    /// Extends the graces in progress to `until` if that is later.
    pub fn extend_graces(&self, until: Instant) {
        self.in_grace.values().for_each(|target| target.extend_grace(until));
    }

    /// Targets whose grace has expired without a new registration.
    pub fn expired(&mut self, now: Instant) -> Vec<Rc<Target>> {
        self.in_grace.retain(|_, target| target.is_in_grace());
        self.in_grace.values().filter(|target| target.has_expired(now)).cloned().collect()
    }

    /// Median of the average latencies of the service's targets, seconds; infinite before the first
    /// response.
    pub fn median_latency(&self, service: &str) -> f64 {
        self.medians.get(service).copied().unwrap_or(f64::INFINITY)
    }

    /// Latency of requests at second targets of the service; `None` if it never had a target.
    pub fn second_target_latency(&self, service: &str) -> Option<&SecondTargetLatency> {
        self.second_target_latencies.get(service)
    }

    /// Recomputes the medians. A service keeps its last one while it has no target that has responded,
    /// or no target at all.
    pub fn update_median_latencies(&mut self) {
        let mut averages: HashMap<&Rc<str>, Vec<f64>> = HashMap::new();
        let observed = self.observed.borrow();
        for target in observed.iter() {
            if let Some(average) = target.average_latency() {
                averages.entry(&target.service).or_default().push(average);
            }
        }
        for (service, averages) in averages {
            if let Some(median) = latency::median(averages) {
                self.medians.insert(service.clone(), median);
            }
        }
    }
}
