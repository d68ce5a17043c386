//! A target as this instance sees it: the data of its registration, and a small state for each rule
//! that applies to it. The rules are in their own modules; this one forwards events to them and
//! returns their results.
//!
//! Owns no rule. Relies on [`Load`], [`Latency`], [`Ejection`], [`SlowStart`], [`Grace`] and
//! [`TargetSignals`].

mod signals;

use crate::clock::Instant;
use crate::decision::capacity::in_flight::{InFlight, InFlightCounter};
use crate::decision::capacity::load::Load;
use crate::decision::capacity::load_report::LoadReport;
use crate::decision::capacity::slow_start::SlowStart;
use crate::decision::failure::ejection::Ejection;
use crate::decision::failure::isolation::KnownLoad;
use crate::decision::failure::latency::Latency;
use crate::decision::registry::grace::Grace;
use crate::decision::registry::signals::TargetSignals;
use crate::decision::registry::target_key::{TargetKey, start_key};
use crate::model::rate_limits::StartKey;
use crate::model::registration::{StartTime, TargetRegistration, TargetState, WriteOrder};
use crate::net::pool::Pool;
use crate::policy::{Policies, PolicySet, TargetAttributes};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

/// One start of a target, with the data of its registration.
#[derive(Debug)]
pub struct Target {
    /// Its identity, the same for all of its starts.
    pub id: Rc<str>,
    /// When its process started; `None` if its registration does not say.
    pub start: Option<StartTime>,
    /// Name of the service it belongs to.
    pub service: Rc<str>,
    /// Name of its hall.
    pub hall: Rc<str>,
    /// Name of its region, from the settings; the hall's name if the settings do not list the hall.
    pub region: Rc<str>,
    /// Version of its software.
    pub version: Rc<str>,
    /// Number of requests it executes concurrently; at least 1.
    pub slots: u32,
    /// Hash of its identity.
    pub key: TargetKey,
    /// Hash of its identity, start and address.
    pub start_key: StartKey,
    /// Pool of connections to it.
    pub pool: Pool,
    state: Cell<TargetState>,
    /// Whether the latest value at its key is not a usable registration.
    is_invalid: Cell<bool>,
    sequence: Cell<u64>,
    load: RefCell<Load>,
    latency: RefCell<Latency>,
    ejection: RefCell<Ejection>,
    slow_start: RefCell<SlowStart>,
    grace: RefCell<Grace>,
    /// Signals of this start, shared with earlier records of it.
    signals: Rc<RefCell<TargetSignals>>,
    /// Whether it is among the observed targets of [`crate::decision::registry::targets`].
    is_observed: Cell<bool>,
    /// Whether an unreadable field of its responses was logged.
    is_unreadable_logged: Cell<bool>,
    /// The policies whose target selectors match it, and the revision they belong to.
    matching_policies: Cell<Option<(u64, PolicySet)>>,
}

impl Target {
    /// A target whose first registration arrives at `now`.
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
            signals: Rc::new(RefCell::new(TargetSignals::new())),
            is_observed: Cell::default(),
            is_unreadable_logged: Cell::default(),
            matching_policies: Cell::default(),
        };
        target.begin_slow_start(registration.slow_start_remaining, now);
        target
    }

    /// The record that replaces this one after a registration of the same start with other data.
    /// Its slow start lasts at least as long as that of this one. It inherits the load, latency, ejection
    /// and signals only at the same address: they do not apply to another one.
    pub fn successor(&self, registration: &TargetRegistration, region: Rc<str>, now: Instant) -> Self {
        let mut target = Self::new(registration, region, now);
        target.slow_start.replace(self.slow_start.borrow().clone());
        target.begin_slow_start(registration.slow_start_remaining, now);
        if registration.address == self.pool.address() {
            target.load.replace(self.load.borrow().for_successor(now));
            target.latency.replace(self.latency.borrow().clone());
            target.ejection.replace(self.ejection.borrow().clone());
            target.inherit_signals(self.signals());
        }
        target
    }

    /// Whether the registration agrees with this record in all fields but state, sequence and slow
    /// start, which [`Self::update`] can change.
    pub fn matches(&self, registration: &TargetRegistration) -> bool {
        self.service == registration.service
            && self.pool.address() == registration.address
            && self.hall == registration.hall
            && self.version == registration.version
            && self.slots == registration.slots.max(1)
    }

    /// Applies the state, sequence and slow start of a further registration.
    pub fn update(&self, registration: &TargetRegistration, now: Instant) {
        self.grace.borrow_mut().end();
        self.sequence.set(registration.sequence);
        self.state.set(registration.state);
        self.is_invalid.set(false);
        self.begin_slow_start(registration.slow_start_remaining, now);
    }

    /// Sequence number of the last accepted registration.
    pub fn sequence(&self) -> u64 {
        self.sequence.get()
    }

    /// Write order of the last accepted registration.
    pub fn order(&self) -> WriteOrder {
        WriteOrder { start: self.start, sequence: self.sequence() }
    }

    /// Whether its registration is valid and says that it accepts requests.
    pub fn is_ready(&self) -> bool {
        self.state.get() == TargetState::Ready && !self.is_invalid()
    }

    /// Excludes it until its next valid registration; false if it was already excluded. Ends its
    /// grace, which is only for keys that are missing.
    pub fn invalidate(&self) -> bool {
        self.grace.borrow_mut().end();
        !self.is_invalid.replace(true)
    }

    /// Whether the latest value at its key is not a usable registration.
    pub fn is_invalid(&self) -> bool {
        self.is_invalid.get()
    }

    /// The attributes that its policy labels are read from.
    pub fn attributes(&self) -> TargetAttributes<'_> {
        TargetAttributes {
            id: &self.id,
            service: &self.service,
            region: &self.region,
            hall: &self.hall,
            version: &self.version,
        }
    }

    /// The policies whose target selectors match it, computed once per revision.
    pub fn matching_policies(&self, policies: &Policies) -> PolicySet {
        if let Some((revision, mask)) = self.matching_policies.get()
            && revision == policies.revision
        {
            return mask;
        }
        let mask = policies.matching_target(&self.attributes());
        self.matching_policies.set(Some((policies.revision, mask)));
        mask
    }

    /// Whether it was marked as observed.
    pub fn is_observed(&self) -> bool {
        self.is_observed.get()
    }

    /// Marks it as observed.
    pub fn mark_observed(&self) {
        self.is_observed.set(true);
    }

    /// Counts a request as in flight until the returned guard is dropped.
    pub fn begin_request(self: &Rc<Self>, now: Instant) -> InFlight<Self> {
        self.latency.borrow_mut().record_sent(self.in_flight(), now);
        self.slow_start.borrow_mut().record_sent(now);
        self.record_limit_use(now);
        self.ejection.borrow_mut().record_sent();
        self.load.borrow_mut().begin_request();
        InFlight::new(self.clone())
    }

    /// Records a valid response that arrived after `elapsed`.
    pub fn record_success(&self, elapsed: Duration, now: Instant) {
        self.ejection.borrow_mut().record_success();
        self.record_latency(elapsed, now);
    }

    /// Records a failure of the target on a request sent at `sent`; returns the length of the
    /// ejection that it causes, if any.
    pub fn record_failure(&self, sent: Instant, now: Instant) -> Option<Duration> {
        self.ejection.borrow_mut().record_failure(sent, now)
    }

    /// Takes back all failures, and the ejection that they caused: they were not the target's.
    pub fn forgive_failures(&self) {
        self.ejection.borrow_mut().record_success();
    }

    /// Records that another target responds at its address: this start has ended for good.
    pub fn mark_replaced(&self) {
        self.ejection.borrow_mut().mark_replaced();
        self.pool.clear();
    }

    /// Whether it gets no request now because of failures: it is ejected, a probe after the ejection is in
    /// flight, or another target responds at its address.
    pub fn is_ejected(&self, now: Instant) -> bool {
        self.ejection.borrow().is_ejected(self.in_flight(), now)
    }

    /// Records that a response arrived after `elapsed`, or that none had arrived by then.
    pub fn record_latency(&self, elapsed: Duration, now: Instant) {
        self.latency.borrow_mut().record(elapsed, now);
    }

    /// Moving average of its latency, seconds; `None` before the first response.
    pub fn average_latency(&self) -> Option<f64> {
        self.latency.borrow().average()
    }

    /// Whether it is slow compared with the `median` of its service, seconds, and `objective`.
    pub fn is_slow(&self, median: f64, objective: Duration, now: Instant) -> bool {
        self.latency.borrow().is_slow(median, objective, self.in_flight(), now)
    }

    /// Whether it may be sent a probe while it is slow, to measure it again.
    pub fn may_probe_slow(&self, now: Instant) -> bool {
        self.latency.borrow().may_probe(self.in_flight(), now)
    }

    /// Number of requests of this instance in flight.
    pub fn in_flight(&self) -> u32 {
        self.load.borrow().in_flight()
    }

    /// Records a load report that arrived in a response.
    pub fn record_load_report(&self, report: LoadReport, now: Instant) {
        self.load.borrow_mut().record_report(report, now);
    }

    /// Records a load that it reported to another instance at `at`.
    pub fn record_remote_load(&self, requests: u32, at: Instant) {
        self.load.borrow_mut().record_remote(requests, at);
    }

    /// Its last load report, if it has not been passed on to other instances yet: the number of
    /// requests, and when it arrived.
    pub fn take_unshared_load(&self) -> Option<(u32, Instant)> {
        self.load.borrow_mut().take_unshared()
    }

    /// Estimated number of requests running or waiting there.
    pub fn load(&self, now: Instant) -> f64 {
        self.load.borrow().estimate(now)
    }

    /// What is known of its load. `instances` send requests, and `median` is the usual time of its service, seconds.
    pub fn known_load(&self, instances: usize, median: f64, now: Instant) -> KnownLoad {
        let (others, in_flight) = (self.load.borrow().of_others(now), self.in_flight());
        let unanswered_for = self.latency.borrow().time_without_response(in_flight, now);
        KnownLoad { others, in_flight, unanswered_for, slots: self.slots, instances, median }
    }

    /// Begins its slow start of `remaining` at `now`; never shortens one in progress.
    pub fn begin_slow_start(&self, remaining: Duration, now: Instant) {
        self.slow_start.borrow_mut().begin(remaining, now);
    }

    /// Whether it is in slow start.
    pub fn is_in_slow_start(&self, now: Instant) -> bool {
        self.slow_start.borrow().is_active(now)
    }

    /// Whether this instance may send it a request while it is in slow start. `members_changed_at` is when
    /// the members last changed, `shared_rate` the rate of all instances together, requests per second,
    /// and `member_share` computes this instance's share of it.
    pub fn may_send_in_slow_start(
        &self,
        members_changed_at: Instant,
        shared_rate: u32,
        member_share: impl FnOnce(u32) -> u32,
        now: Instant,
    ) -> bool {
        self.slow_start.borrow_mut().may_send(members_changed_at, shared_rate, member_share, now)
    }

    /// Keeps it until `until` although its registration is missing.
    pub fn begin_grace(&self, until: Instant) {
        self.grace.borrow_mut().begin(until);
    }

    /// Extends a running grace to `until` if that is later.
    pub fn extend_grace(&self, until: Instant) {
        self.grace.borrow_mut().extend(until);
    }

    /// Whether its registration is missing and it has not registered again; its grace may be over.
    pub fn is_in_grace(&self) -> bool {
        self.grace.borrow().is_started()
    }

    /// Whether its grace is over and it has not registered again.
    pub fn has_expired(&self, now: Instant) -> bool {
        self.grace.borrow().has_expired(now)
    }
}

impl InFlightCounter for Target {
    fn end_request(&self) {
        self.load.borrow_mut().end_request();
    }
}
