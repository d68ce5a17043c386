//! A target as this instance sees it: the data of its registration, and one small state for
//! each rule that judges it. The rules are in their own modules; this one passes on what
//! happens to a target and answers what the rules say.
//!
//! Owns no rule. Relies on [`Load`], [`Latency`], [`Ejection`], [`SlowStart`], [`Grace`] and
//! [`Statements`].

mod said;

use crate::clock::Instant;
use crate::decision::capacity::in_flight::{Counter, InFlight};
use crate::decision::capacity::load::Load;
use crate::decision::capacity::load_report::LoadReport;
use crate::decision::capacity::slow_start::SlowStart;
use crate::decision::failure::ejection::Ejection;
use crate::decision::failure::latency::Latency;
use crate::decision::registry::grace::Grace;
use crate::decision::registry::statements::Statements;
use crate::decision::registry::target_key::{TargetKey, start_key};
use crate::model::rate_limits::StartKey;
use crate::model::registration::{StartTime, TargetRegistration, TargetState, WriteOrder};
use crate::net::pool::Pool;
use crate::policy::{Policies, PolicySet, TargetFacts};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

/// One run of the target's process, as its registration describes it.
#[derive(Debug)]
pub struct Target {
    /// Its identity, also that of its other starts.
    pub id: Rc<str>,
    /// When this start began, where its registration says so.
    pub start: Option<StartTime>,
    /// Service name.
    pub service: Rc<str>,
    /// Its hall.
    pub hall: Rc<str>,
    /// Its region.
    pub region: Rc<str>,
    /// Version of its software.
    pub version: Rc<str>,
    /// Requests it works on at once; at least 1.
    pub slots: u32,
    /// Key of its identity.
    pub key: TargetKey,
    /// Key of this start of it.
    pub start_key: StartKey,
    /// Connections to it.
    pub pool: Pool,
    state: Cell<TargetState>,
    /// Whether the last entry at its key names no target that could be used.
    is_invalid: Cell<bool>,
    sequence: Cell<u64>,
    load: RefCell<Load>,
    latency: RefCell<Latency>,
    ejection: RefCell<Ejection>,
    slow_start: RefCell<SlowStart>,
    grace: RefCell<Grace>,
    /// What this start of it has said, also under an earlier record.
    statements: Rc<RefCell<Statements>>,
    /// Whether it was logged that its answers say what cannot be read.
    was_unreadable: Cell<bool>,
    /// The policies whose target selectors match it, and the revision they belong to.
    selecting: Cell<Option<(u64, PolicySet)>>,
}

impl Target {
    /// A target whose first registration arrived now.
    pub fn new(registration: &TargetRegistration, region: Rc<str>, now: Instant) -> Self {
        let target = Self {
            id: registration.id.clone(),
            start: registration.start,
            service: registration.service.clone(),
            hall: registration.hall.clone(),
            region,
            version: registration.version.clone(),
            slots: registration.slots.max(1),
            key: TargetKey::new(&registration.id),
            start_key: start_key(&registration.id, registration.start, registration.address),
            pool: Pool::new(registration.address),
            state: Cell::new(registration.state),
            is_invalid: Cell::new(false),
            sequence: Cell::new(registration.sequence),
            load: RefCell::default(),
            latency: RefCell::default(),
            ejection: RefCell::default(),
            slow_start: RefCell::default(),
            grace: RefCell::default(),
            statements: Rc::default(),
            was_unreadable: Cell::default(),
            selecting: Cell::default(),
        };
        target.begin_slow_start(registration.slow_start, now);
        target
    }

    /// A target that takes the place of this one, whose id registered again with other data.
    /// It stays cold as long as this one. What this instance has seen of this one counts for
    /// the new one where that is at the same address, else it says nothing about it.
    pub fn succeeded_by(&self, registration: &TargetRegistration, region: Rc<str>, now: Instant) -> Self {
        let mut target = Self::new(registration, region, now);
        target.slow_start.replace(self.slow_start.borrow().clone());
        target.begin_slow_start(registration.slow_start, now);
        if registration.address == self.pool.address() {
            target.load.replace(self.load.borrow().handed_over(now));
            target.latency.replace(self.latency.borrow().clone());
            target.ejection.replace(self.ejection.borrow().clone());
            target.keep_statements(self.statements());
        }
        target
    }

    /// Whether the registration says the same of what is fixed here: all but state, sequence
    /// and slow start.
    pub fn is_described_by(&self, registration: &TargetRegistration) -> bool {
        self.service == registration.service
            && self.pool.address() == registration.address
            && self.hall == registration.hall
            && self.version == registration.version
            && self.slots == registration.slots.max(1)
    }

    /// Takes in state, sequence and slow start of another registration.
    pub fn update(&self, registration: &TargetRegistration, now: Instant) {
        self.grace.borrow_mut().end();
        self.sequence.set(registration.sequence);
        self.state.set(registration.state);
        self.is_invalid.set(false);
        self.begin_slow_start(registration.slow_start, now);
    }

    /// Sequence number of the last registration taken in.
    pub fn sequence(&self) -> u64 {
        self.sequence.get()
    }

    /// Place of the last registration taken in.
    pub fn order(&self) -> WriteOrder {
        WriteOrder { start: self.start, sequence: self.sequence() }
    }

    /// Whether its registration says that it takes requests.
    pub fn is_ready(&self) -> bool {
        self.state.get() == TargetState::Ready && !self.is_invalid()
    }

    /// Takes it out of use until its next good registration; false where it was out already.
    /// The entry that does so is there, so no grace runs on.
    pub fn invalidate(&self) -> bool {
        self.grace.borrow_mut().end();
        !self.is_invalid.replace(true)
    }

    /// Whether the last entry at its key names no target that could be used.
    pub fn is_invalid(&self) -> bool {
        self.is_invalid.get()
    }

    /// What its labels come from.
    pub fn facts(&self) -> TargetFacts<'_> {
        TargetFacts {
            id: &self.id,
            service: &self.service,
            region: &self.region,
            hall: &self.hall,
            version: &self.version,
        }
    }

    /// The policies whose target selectors match it, worked out once for each revision.
    pub fn selecting(&self, policies: &Policies) -> PolicySet {
        if let Some((revision, mask)) = self.selecting.get()
            && revision == policies.revision
        {
            return mask;
        }
        let mask = policies.matching_target(&self.facts());
        self.selecting.set(Some((policies.revision, mask)));
        mask
    }

    /// Counts a request in flight until the guard is dropped.
    pub fn begin(self: &Rc<Self>, now: Instant) -> InFlight<Self> {
        self.latency.borrow_mut().record_sent(self.in_flight(), now);
        self.slow_start.borrow_mut().spend(now);
        self.spend_limit(now);
        self.ejection.borrow_mut().record_sent();
        self.load.borrow_mut().begin();
        InFlight::new(self.clone())
    }

    /// Notes a sound answer after `took`.
    pub fn record_success(&self, took: Duration, now: Instant) {
        self.ejection.borrow_mut().record_success();
        self.record_latency(took, now);
    }

    /// Notes that a request sent at `sent` has failed, which speaks against the target; gives
    /// the length of the ejection that it causes.
    pub fn record_failure(&self, sent: Instant, now: Instant) -> Option<Duration> {
        self.ejection.borrow_mut().record_failure(sent, now)
    }

    /// Notes that another target answers at its address: this run is over.
    pub fn mark_replaced(&self) {
        self.ejection.borrow_mut().mark_replaced();
        self.pool.clear();
    }

    /// Whether it gets no request now because of failures.
    pub fn is_ejected(&self, now: Instant) -> bool {
        self.ejection.borrow().is_ejected(self.in_flight(), now)
    }

    /// Notes that an answer took `took`, or that none had come after it.
    pub fn record_latency(&self, took: Duration, now: Instant) {
        self.latency.borrow_mut().record(took, now);
    }

    /// Moving average of the times of its answers, seconds; `None` before the first.
    pub fn average_latency(&self) -> Option<f64> {
        self.latency.borrow().average()
    }

    /// Whether it is slow against `median`, seconds, and `objective`.
    pub fn is_slow(&self, median: f64, objective: Duration, now: Instant) -> bool {
        self.latency.borrow().is_slow(median, objective, self.in_flight(), now)
    }

    /// Whether a slow target may be sent a request to see whether it is faster.
    pub fn may_try_slow(&self, now: Instant) -> bool {
        self.latency.borrow().may_probe(self.in_flight(), now)
    }

    /// Requests of this instance that are in flight.
    pub fn in_flight(&self) -> u32 {
        self.load.borrow().in_flight()
    }

    /// Takes in a report of load that came with an answer.
    pub fn report(&self, report: LoadReport, now: Instant) {
        self.load.borrow_mut().report(report, now);
    }

    /// Takes in a load that it told another instance at a time.
    pub fn hear_load(&self, requests: u32, at: Instant) {
        self.load.borrow_mut().hear(requests, at);
    }

    /// Its last load that no other instance was told of yet: requests, and when it told it.
    pub fn take_untold_load(&self) -> Option<(u32, Instant)> {
        self.load.borrow_mut().take_untold()
    }

    /// Requests that are probably running or waiting there.
    pub fn load(&self, now: Instant) -> f64 {
        self.load.borrow().at(now)
    }

    /// Makes it cold for `remaining` from now on; never shortens.
    pub fn begin_slow_start(&self, remaining: Duration, now: Instant) {
        self.slow_start.borrow_mut().begin(remaining, now);
    }

    /// Whether it is cold.
    pub fn is_in_slow_start(&self, now: Instant) -> bool {
        self.slow_start.borrow().is_active(now)
    }

    /// Whether this instance may send it a request while it is cold.
    pub fn may_send_in_slow_start(
        &self,
        members_at: Instant,
        shared: u32,
        own_rate: impl FnOnce(u32) -> u32,
        now: Instant,
    ) -> bool {
        self.slow_start.borrow_mut().may_send(members_at, shared, own_rate, now)
    }

    /// Keeps it until a time although its registration is gone.
    pub fn begin_grace(&self, until: Instant) {
        self.grace.borrow_mut().begin(until);
    }

    /// Lengthens its grace to `until`, where one runs that ends earlier.
    pub fn extend_grace(&self, until: Instant) {
        self.grace.borrow_mut().extend(until);
    }

    /// Whether its grace is over and it has not registered again.
    pub fn has_expired(&self, now: Instant) -> bool {
        self.grace.borrow().has_expired(now)
    }
}

impl Counter for Target {
    fn count_out(&self) {
        self.load.borrow_mut().end();
    }
}
