//! Applies changes of the store to the routing state, one record at a time, in the order of the store.
//! **Rule**: an earlier version of the configuration, the policies or a registration is ignored;
//! evacuations and members are applied in the order of arrival. An unreadable configuration or policy
//! document changes nothing; an unreadable registration excludes the target or instance at its key.
//! If the key of the policies is removed, they stay in force, and the next document takes effect
//! whatever its revision, since revisions may start again.
//!
//! The first list of a later era also lacks records that were written after the snapshot from which
//! the store was restored ([`crate::store::era`]). Members, evacuations and ready targets missing
//! from it are therefore kept for a grace, within which they can be written again.
//!
//! **Inputs**: changes of the store, whose age depends on how they arrived (watch, relay or peer);
//! versions of the configuration, revisions of the policies, sequence numbers of registrations; the
//! end of the grace ([`crate::decision::registry::grace`]) if the store has just returned.
//!
//! **Why.** Changes can arrive twice and out of order when an instance switches between the store,
//! its relay and peers. A mistake of an operator must not interrupt requests.
//!
//! **Guards** the promises that an instance never returns to an older configuration, and that the
//! last valid value stays in force after a refused one.
//!
//! **Constants**: none.
//!
//! **Test**: `platform/tests/broken_registrations.rs`;
//! `an_earlier_registration_or_configuration_that_arrives_late_changes_nothing` in `tests/choice.rs`;
//! `tests/policies.rs` and `tests/removed_policies.rs` for policies.

use super::Routing;
use crate::clock::Instant;
use crate::decision::registry::change::{StateChange, TargetChange};
use crate::decision::registry::panicked_records::Treatment;
use crate::decision::registry::target::Target;
use crate::decision::registry::targets::RegistrationOutcome;
use crate::model::config::Config;
use crate::model::record::{Record, RecordError, RemovedRecord};
use crate::model::registration::{TargetRegistration, TargetState};
use crate::platform::Platform;
use crate::policy::{Policies, PolicyDocument};
use crate::store::{Event, Item};
use std::rc::Rc;

/// Error of a registration without a start time, if an earlier one of the same id had one.
const MISSING_START: &str = "the start time is missing, although earlier registrations of the target have one";

/// Error of a change that panicked.
const PANICKED: &str = "applying it panicked, see the log's event panic";

fn target_change(target: &Target, state: TargetChange) -> StateChange {
    StateChange::Target { id: target.id.clone(), start: target.start, state }
}

/// How changes are applied.
#[derive(Clone, Copy, Debug)]
struct Pass {
    now: Instant,
    /// Until when removed ready targets are kept, if they are.
    grace_until: Option<Instant>,
    /// Whether the changes were applied before, as far as is known.
    is_repeat: bool,
}

impl Routing {
    /// Applies changes of the store. If `grace_until` is given, ready targets whose registrations were
    /// removed are kept until then.
    pub fn apply<P: Platform>(
        &mut self,
        changes: &[Event],
        now: Instant,
        grace_until: Option<Instant>,
    ) -> Vec<StateChange> {
        self.targets.remove_old_tombstones(now);
        let state_changes = self.apply_each::<P>(changes, Pass { now, grace_until, is_repeat: false });
        self.update_region_weights();
        state_changes
    }

    /// Applies items of the view again, as far as they are not in effect, after a panic that may have
    /// left any of them out. [`Self::apply`] or [`Self::begin_era`] has to follow.
    pub fn apply_again<P: Platform>(&mut self, items: &[Event], now: Instant) -> Vec<StateChange> {
        self.apply_each::<P>(items, Pass { now, grace_until: None, is_repeat: true })
    }

    fn apply_each<P: Platform>(&mut self, changes: &[Event], pass: Pass) -> Vec<StateChange> {
        let mut state_changes = Vec::new();
        for change in changes {
            let treatment = self.panicked.begin(change);
            state_changes.extend(self.apply_change::<P>(change, treatment, pass));
            self.panicked.end();
        }
        state_changes
    }

    /// Whether the last change that was begun panicked, so that the next attempt refuses it.
    pub fn has_panicked_record(&self) -> bool {
        self.panicked.has_unfinished()
    }

    fn apply_change<P: Platform>(&mut self, change: &Event, treatment: Treatment, pass: Pass) -> Vec<StateChange> {
        let Pass { now, grace_until, is_repeat } = pass;
        match treatment {
            Treatment::Apply => {}
            Treatment::Refuse => return self.refuse_panicked(P::decode_removal(change.key()), change, now),
            Treatment::Ignore => return vec![StateChange::Refused(RecordError::new(change.key(), PANICKED))],
        }
        self.end_grace(|| P::decode_removal(change.key()));
        match change {
            Event::Put(item) => match P::decode(item) {
                Ok(record) if is_repeat && self.is_in_effect(item, &record) => Vec::new(),
                Ok(record) => self.apply_record(item, record, now),
                Err(error) => self.refuse(P::decode_removal(&item.key), error, now),
            },
            Event::Delete { key, revision } => {
                let changed = match P::decode_removal(key) {
                    RemovedRecord::Policies => self.retain_policies(key, *revision),
                    removed => self.remove_record(removed, now, grace_until),
                };
                changed.into_iter().collect()
            }
        }
    }

    /// Whether a record is in effect whose repetition would begin a slow start or a time to live again.
    fn is_in_effect(&self, item: &Item, record: &Record) -> bool {
        match record {
            Record::Target(registration) => self.targets.is_in_effect(registration),
            Record::Strikes { fingerprint, .. } => self.quarantine.has_revision(*fingerprint, item.revision),
            _ => false,
        }
    }

    /// Refuses a change at which applying it panicked.
    fn refuse_panicked(&mut self, record: RemovedRecord, change: &Event, now: Instant) -> Vec<StateChange> {
        let error = RecordError::new(change.key(), PANICKED);
        let error = match &record {
            RemovedRecord::Target(_) | RemovedRecord::Member(_) | RemovedRecord::Strikes(_) => error.for_registration(),
            RemovedRecord::Evacuation(_) | RemovedRecord::Policies | RemovedRecord::Unknown => error,
        };
        self.refuse(record, error, now)
    }

    /// Applies the first list of a later era of the store. Members, evacuations and ready targets
    /// missing from it are removed at `grace_until` unless they have been written again. A grace that
    /// is already running is extended to `grace_until`.
    pub fn begin_era<P: Platform>(
        &mut self,
        changes: &[Event],
        now: Instant,
        grace_until: Instant,
    ) -> Vec<StateChange> {
        // Records that were missing from an earlier list already are not among the changes. Without the
        // extension, their grace would end before they can be written again.
        self.in_grace.iter_mut().for_each(|(_, until)| *until = grace_until.max(*until));
        self.targets.extend_graces(grace_until);
        let mut others = Vec::new();
        for change in changes {
            match self.record_to_keep::<P>(change) {
                Some(record) if self.in_grace.iter().any(|(kept, _)| *kept == record) => {}
                Some(record) => self.in_grace.push((record, grace_until)),
                None => others.push(change.clone()),
            }
        }
        self.apply::<P>(&others, now, Some(grace_until))
    }

    /// The member or evacuation that a change removes, which the first list of a later era may lack.
    fn record_to_keep<P: Platform>(&mut self, change: &Event) -> Option<RemovedRecord> {
        let Event::Delete { key, .. } = change else { return None };
        let treatment = self.panicked.begin(change);
        let removed = (treatment == Treatment::Apply).then(|| P::decode_removal(key));
        self.panicked.end();
        removed.filter(|record| matches!(record, RemovedRecord::Member(_) | RemovedRecord::Evacuation(_)))
    }

    /// Refuses an unusable value. The target at its key is excluded, a member is removed, strikes count as
    /// expired, and anything else stays as it is.
    fn refuse(&mut self, record: RemovedRecord, error: RecordError, now: Instant) -> Vec<StateChange> {
        let change = match record {
            RemovedRecord::Target(id) => self.invalidate_target(&id),
            RemovedRecord::Member(_) | RemovedRecord::Strikes(_) => self.remove_record(record, now, None),
            RemovedRecord::Evacuation(_) | RemovedRecord::Policies | RemovedRecord::Unknown => None,
        };
        change.into_iter().chain([StateChange::Refused(error)]).collect()
    }

    fn invalidate_target(&self, id: &str) -> Option<StateChange> {
        let target = self.targets.get(id)?;
        target.invalidate().then(|| target_change(target, TargetChange::Invalid))
    }

    /// Removes targets, members and evacuations whose grace has expired without a new write, and
    /// strikes that no longer count.
    pub fn remove_expired(&mut self, now: Instant) -> Vec<StateChange> {
        let expired = self.targets.expired(now);
        let removed_targets = expired.iter().map(|target| self.remove_expired_target(target, now));
        let mut state_changes: Vec<StateChange> = removed_targets.collect();
        // One at a time, so that a removal that panics keeps no other from being made.
        while let Some(expired) = self.in_grace.iter().position(|(_, until)| *until <= now) {
            let (record, _) = self.in_grace.remove(expired);
            state_changes.extend(self.remove_record(record, now, None));
        }
        if !state_changes.is_empty() {
            self.update_region_weights();
        }
        let ended = self.quarantine.remove_expired(now).into_iter();
        let ended = ended.map(|fingerprint| StateChange::Quarantine { fingerprint, on: false });
        state_changes.into_iter().chain(ended).collect()
    }

    /// Ends the grace of a member or evacuation whose key was written or removed.
    fn end_grace(&mut self, record: impl FnOnce() -> RemovedRecord) {
        if !self.in_grace.is_empty() {
            let changed = record();
            self.in_grace.retain(|(record, _)| *record != changed);
        }
    }

    fn apply_record(&mut self, item: &Item, record: Record, now: Instant) -> Vec<StateChange> {
        let state_change = match record {
            Record::Config(config) => self.apply_config(config),
            Record::Policies(document) => self.apply_policies(item, document),
            Record::Evacuation(hall) => {
                let name = hall.to_string();
                self.evacuated.insert(hall).then_some(StateChange::Evacuation { hall: name, on: true })
            }
            Record::Target(registration) => return self.apply_registration(item, &registration, now),
            Record::Member { name, member } => {
                self.members.insert(name.clone(), member, now);
                Some(StateChange::Member { name, present: true })
            }
            Record::Strikes { fingerprint, strikes } => {
                let changed = self.quarantine.apply(fingerprint, strikes, item.revision, now);
                changed.map(|on| StateChange::Quarantine { fingerprint, on })
            }
            Record::Unknown => None,
        };
        state_change.into_iter().collect()
    }

    fn apply_config(&mut self, config: Config) -> Option<StateChange> {
        let version = config.version;
        if self.config.as_ref().is_some_and(|known| known.version >= version) {
            return None;
        }
        self.config = Some(Rc::new(config));
        Some(StateChange::Config(version))
    }

    /// Puts later policies in force, all of them or none.
    fn apply_policies(&mut self, item: &Item, document: PolicyDocument) -> Option<StateChange> {
        let is_first_after_removal = self.policies_removed_at.is_some_and(|removed| item.revision > removed);
        if !is_first_after_removal && self.policies.as_ref().is_some_and(|known| known.revision >= document.revision) {
            return None;
        }
        match Policies::try_from(&document) {
            Ok(policies) => self.policies = Some(Rc::new(policies)),
            Err(error) => return Some(StateChange::Refused(RecordError::new(&item.key, error))),
        }
        self.policies_removed_at = None;
        Some(StateChange::Policies { revision: document.revision, by: document.by })
    }

    fn apply_registration(&mut self, item: &Item, registration: &TargetRegistration, now: Instant) -> Vec<StateChange> {
        let state = match registration.state {
            TargetState::Ready => TargetChange::Ready,
            TargetState::Draining => TargetChange::Draining,
        };
        let region = self.region_of(&registration.hall);
        match self.targets.register(registration, region, now) {
            RegistrationOutcome::Accepted => {
                let TargetRegistration { id, start, .. } = registration;
                vec![StateChange::Target { id: id.clone(), start: *start, state }]
            }
            RegistrationOutcome::Stale => Vec::new(),
            RegistrationOutcome::MissingStart => {
                let error = RecordError::new(&item.key, MISSING_START).for_registration();
                self.refuse(RemovedRecord::Target(registration.id.to_string()), error, now)
            }
        }
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
            RemovedRecord::Member(name) => {
                self.members.remove(&name, now).then_some(StateChange::Member { name, present: false })
            }
            RemovedRecord::Strikes(fingerprint) => Some(StateChange::StrikesExpired(fingerprint)),
            RemovedRecord::Policies | RemovedRecord::Unknown => None,
        }
    }

    /// Keeps the policies in force after the removal of their key, and reports the removal as refused.
    fn retain_policies(&mut self, key: &str, at: u64) -> Option<StateChange> {
        let revision = self.policies.as_ref()?.revision;
        self.policies_removed_at = Some(at);
        let problem = format!("the key was removed, but the policies of revision {revision} stay in force");
        Some(StateChange::Refused(RecordError::new(key, problem)))
    }

    fn remove_registration(&mut self, target: &Rc<Target>, now: Instant, grace_until: Option<Instant>) -> StateChange {
        match grace_until.filter(|_| target.is_ready()) {
            Some(until) => {
                self.targets.begin_grace(target, until);
                target_change(target, TargetChange::InGrace)
            }
            None => self.remove_target(target, now),
        }
    }

    fn remove_target(&mut self, target: &Target, now: Instant) -> StateChange {
        self.targets.remove(target, now);
        target_change(target, TargetChange::Removed)
    }

    fn remove_expired_target(&mut self, target: &Target, now: Instant) -> StateChange {
        self.targets.remove_expired(target, now);
        target_change(target, TargetChange::Removed)
    }

    /// Ends an evacuation. The hall's targets may have become cold during it, which no registration
    /// reports in time, so they begin a slow start.
    fn end_evacuation(&mut self, hall: String, now: Instant) -> Option<StateChange> {
        if !self.evacuated.remove(hall.as_str()) {
            return None;
        }
        for target in self.targets.iter().filter(|target| *target.hall == *hall) {
            if let Some(service) = self.service(&target.service) {
                target.begin_slow_start(service.slow_start, now);
            }
        }
        Some(StateChange::Evacuation { hall, on: false })
    }
}
