//! The targets: all that are registered, by identity and by service, and tombstones of those
//! that were removed. **Rule**: of an id, the registration of the latest start counts, and of
//! that start the one with the highest sequence number, for all that it says.
//!
//! - A later start begins anew: nothing that was observed of an earlier one says anything about
//!   it, and connections to that one are closed.
//! - Other data of the same start make a new record in the place of the old one. A registration
//!   with the same number changes state and slow start alone, and an earlier one nothing.
//! - A target that was removed is added again only by a later registration than its last one; after an
//!   expired grace, also by the same one.
//! - Where an id has named a start, a registration without one lacks a field: it names no target
//!   that could be used. An id that never named one goes by sequence alone.
//! - A registration that cannot be used takes its target out of use until the next good one,
//!   which must not be earlier than the last good one. What was observed of it stays.
//!
//! **Inputs**: registrations and their removal, as old as the view; starts, as the targets'
//! clocks give them, compared for one id only; sequence numbers, which a target raises with
//! each write of its registration; tombstones, at most `TOMBSTONE_TTL` (120 s) old.
//!
//! **Why.** A write of a registration may reach the store late, after its removal or after the
//! target has started again, and others may write to its key. A target that has started again
//! counts from the beginning, and knows nothing that the last start knew.
//!
//! **Guards** the promise that a target which is gone gets no more requests, that a request
//! goes to the service, hall and address that were registered last, and that a target which
//! started again is used as soon as its registration is seen.
//!
//! **Test**: `tests/registrations.rs`, `tests/restarted_targets.rs`;
//! `a_registration_written_late_does_not_add_a_removed_target` in `tests/choice.rs`;
//! `standins/tests/registered_again.rs`, `standins/tests/restarted_targets.rs`.

use crate::clock::Instant;
use crate::decision::capacity::second_target::SecondTargetLatency;
use crate::decision::failure::latency;
use crate::decision::registry::statements::Statements;
use crate::decision::registry::target::Target;
use crate::model::rate_limits::StartKey;
use crate::model::registration::{TargetRegistration, WriteOrder};
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

/// How long a tombstone is kept. Longer than any late write can take: leases run out within
/// some 5 s; bounded, so that memory is.
const TOMBSTONE_TTL: Duration = Duration::from_secs(120);

/// What is kept of a removed target.
#[derive(Debug)]
struct Tombstone {
    /// Of its last registration.
    order: WriteOrder,
    /// Whether the target's grace expired: it may then register again with the same order.
    has_grace_expired: bool,
    at: Instant,
    start_key: StartKey,
    /// What that start has said of itself: it may only have lost its registration.
    statements: Rc<RefCell<Statements>>,
}

/// What became of a registration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Registered {
    /// It counts.
    Taken,
    /// It is earlier than what is known of the target, and changes nothing.
    Late,
    /// It names no start, as earlier ones of its id did.
    WithoutStart,
}

/// All targets.
#[derive(Debug, Default)]
pub struct Targets {
    by_id: HashMap<Rc<str>, Rc<Target>>,
    by_service: HashMap<Rc<str>, Vec<Rc<Target>>>,
    tombstones: HashMap<Rc<str>, Tombstone>,
    /// Median latency by service, seconds.
    medians: HashMap<Rc<str>, f64>,
    /// Latency of second targets by service.
    second_latencies: HashMap<Rc<str>, SecondTargetLatency>,
}

impl Targets {
    /// The targets of a service.
    pub fn of_service(&self, service: &str) -> &[Rc<Target>] {
        self.by_service.get(service).map_or(&[], Vec::as_slice)
    }

    /// All services that have or had a target, with their targets.
    pub fn by_service(&self) -> impl Iterator<Item = (&Rc<str>, &Vec<Rc<Target>>)> {
        self.by_service.iter()
    }

    /// All targets.
    pub fn iter(&self) -> impl Iterator<Item = &Rc<Target>> {
        self.by_id.values()
    }

    /// The target of an identity.
    pub fn get(&self, id: &str) -> Option<&Rc<Target>> {
        self.by_id.get(id)
    }

    /// Takes in a registration.
    pub fn register(&mut self, registration: &TargetRegistration, region: Rc<str>, now: Instant) -> Registered {
        let last = self.last_order(&registration.id);
        if registration.start.is_none() && last.is_some_and(|last| last.start.is_some()) {
            return Registered::WithoutStart;
        }
        let known = self.by_id.get(&registration.id).cloned();
        match known {
            Some(known) => self.register_again(&known, registration, region, now),
            None if self.is_late(registration) => Registered::Late,
            None => {
                self.add(self.restored(registration, region, now));
                Registered::Taken
            }
        }
    }

    /// A target that is registered again finds what this start of it had said.
    fn restored(&self, registration: &TargetRegistration, region: Rc<str>, now: Instant) -> Target {
        let mut target = Target::new(registration, region, now);
        let tombstone = self.tombstones.get(&registration.id);
        if let Some(tombstone) = tombstone.filter(|tombstone| tombstone.start_key == target.start_key) {
            target.keep_statements(tombstone.statements.clone());
        }
        target
    }

    /// Place of the last registration that counted of an id, also of a removed target.
    fn last_order(&self, id: &str) -> Option<WriteOrder> {
        let known = self.by_id.get(id).map(|target| target.order());
        known.or_else(|| self.tombstones.get(id).map(|tombstone| tombstone.order))
    }

    /// Whether a registration of a removed target is earlier than its removal. If the target was
    /// removed because its grace expired, a registration with the same order is not late.
    fn is_late(&self, registration: &TargetRegistration) -> bool {
        self.tombstones.get(&registration.id).is_some_and(|tombstone| match tombstone.has_grace_expired {
            true => registration.order() < tombstone.order,
            false => registration.order() <= tombstone.order,
        })
    }

    fn register_again(
        &mut self,
        known: &Target,
        registration: &TargetRegistration,
        region: Rc<str>,
        now: Instant,
    ) -> Registered {
        if registration.order() < known.order() {
            return Registered::Late;
        }
        let is_same = registration.order() == known.order() || known.is_described_by(registration);
        if registration.start != known.start {
            known.pool.clear();
            self.take_out(known);
            self.add(Target::new(registration, region, now));
        } else if is_same {
            known.update(registration, now);
        } else {
            self.take_out(known);
            self.add(known.succeeded_by(registration, region, now));
        }
        Registered::Taken
    }

    fn add(&mut self, target: Target) {
        let target = Rc::new(target);
        self.by_id.insert(target.id.clone(), target.clone());
        self.second_latencies.entry(target.service.clone()).or_default();
        self.by_service.entry(target.service.clone()).or_default().push(target);
    }

    fn take_out(&mut self, target: &Target) {
        self.by_id.remove(&target.id);
        if let Some(list) = self.by_service.get_mut(&target.service) {
            list.retain(|other| other.id != target.id);
        }
    }

    /// Removes a target and leaves a tombstone.
    pub fn remove(&mut self, target: &Target, now: Instant) {
        self.replace_with_tombstone(target, false, now);
    }

    /// Removes a target whose grace expired, and leaves a tombstone.
    pub fn remove_expired(&mut self, target: &Target, now: Instant) {
        self.replace_with_tombstone(target, true, now);
    }

    fn replace_with_tombstone(&mut self, target: &Target, has_grace_expired: bool, now: Instant) {
        self.take_out(target);
        let (order, start_key, statements) = (target.order(), target.start_key, target.statements());
        let tombstone = Tombstone { order, has_grace_expired, at: now, start_key, statements };
        self.tombstones.insert(target.id.clone(), tombstone);
    }

    /// Removes tombstones that are old.
    pub fn sweep_tombstones(&mut self, now: Instant) {
        self.tombstones.retain(|_, tombstone| now.saturating_duration_since(tombstone.at) < TOMBSTONE_TTL);
    }

    /// Targets whose grace is over and that have not registered again.
    pub fn expired(&self, now: Instant) -> Vec<Rc<Target>> {
        self.by_id.values().filter(|target| target.has_expired(now)).cloned().collect()
    }

    /// Median of the average latencies of the service's targets, seconds; infinite before
    /// the first answer.
    pub fn median_latency(&self, service: &str) -> f64 {
        self.medians.get(service).copied().unwrap_or(f64::INFINITY)
    }

    /// How long second targets of the service take; `None` where it never had a target.
    pub fn second_latency(&self, service: &str) -> Option<&SecondTargetLatency> {
        self.second_latencies.get(service)
    }

    /// Works out the medians again; a service without any answer keeps its last one.
    pub fn update_median_latencies(&mut self) {
        for (service, targets) in &self.by_service {
            let averages = targets.iter().filter_map(|target| target.average_latency()).collect();
            if let Some(median) = latency::median(averages) {
                self.medians.insert(service.clone(), median);
            }
        }
    }
}
