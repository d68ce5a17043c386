//! Exclusion: a target gets no request while any of fifteen reasons applies (under fourteen names: an
//! expired target is reported as `draining`). The first that applies, in the order of the table, is the
//! one that `why` reports.
//!
//! **Inputs**
//!
//! | reason | input | how old it may be |
//! |---|---|---|
//! | invalid | the value at the target's key | as the view |
//! | draining | the target's registration | as the view: at most 1.3 s while the store or a relay responds, older while neither does |
//! | expired | the end of its grace ([`crate::decision::registry::grace`]) | exact |
//! | leaving | what the target announced in its responses ([`crate::decision::registry::signals`]) | exact; if announced to other instances, 0.6 s |
//! | region not allowed | the allowed regions of the route and of the caller's tenant, from the configuration in force | as the view |
//! | evacuated | the evacuation of its hall | as the view |
//! | paused | the end of the pause that it requested from this instance ([`crate::decision::failure::pause`]) | exact |
//! | ejected | failures that this instance observed ([`crate::decision::failure::ejection`]) | since the last success |
//! | tried | targets that earlier tries of this request were sent to, except those that shed it ([`crate::decision::failure::shedding`]) | exact |
//! | denied, not allowed, drained | the operators' policies in force | as the view |
//! | slow | latency, and time since the last response ([`crate::decision::failure::latency`]); the median of the service, seconds | median 0.5 s |
//! | cold | slow start ([`crate::decision::capacity::slow_start`]) | view below 1.3 s, members unchanged for 2 s |
//! | limited | the target's rate limit ([`crate::decision::capacity::rate_limit`]) | the limit 0.6 s, the admit ratio 1 s, the allowance exact |
//!
//! **Why.** Registration, region and evacuation are checked first, then pauses, ejection and earlier
//! tries, then policies and latency. Slow start and the rate limit are last and checked only where
//! nothing else excludes the target. A target that is both ejected and denied is reported as ejected.
//!
//! **Guards** the promises that draining, evacuated and forbidden targets get no new request,
//! that a request is sent to a target again only if that target shed it, and those of the rules named
//! above.
//!
//! **Constants**: none of its own; those of each rule are in its module.
//!
//! **Test**: `targets_that_are_in_slow_start_evacuated_forbidden_or_tried_are_excluded` in
//! `tests/choice.rs`; `the_choice_agrees_with_a_naive_one` in `tests/naive_choice.rs` for policies.

use crate::decision::capacity::rate_limit::Permission;
use crate::decision::registry::routing::Routing;
use crate::decision::registry::target::Target;
use crate::decision::selection::query::Query;
use crate::policy::PolicyVerdict;

/// Why a target may not be used for a request now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exclusion {
    /// The value at its key cannot be read, or lacks a required field.
    Invalid,
    /// Its registration has the state draining, or has expired.
    Draining,
    /// It announced in a response that it is leaving.
    Leaving,
    /// Its hall is evacuated.
    Evacuated,
    /// The route or the tenant does not allow its region.
    RegionNotAllowed,
    /// A deny policy matches it.
    Denied,
    /// Allow policies match the request, and none of them matches the target.
    NotAllowed,
    /// A drain policy matches it.
    Drained,
    /// It failed, and is ejected for some time.
    Ejected,
    /// It is much slower than the other targets of the service.
    Slow,
    /// It is in slow start, and its rate is used up or reserved for other instances.
    Cold,
    /// It requested a pause.
    Paused,
    /// Its rate limit is used up, or reserved for other instances.
    Limited,
    /// An earlier try of this request was sent to it, and it did not shed the request.
    Tried,
}

impl Exclusion {
    /// The name in answers to operators. These names are part of the operators' protocol and must
    /// not change with the variants.
    pub fn as_str(self) -> &'static str {
        match self {
            Exclusion::Invalid => "invalid",
            Exclusion::Draining => "draining",
            Exclusion::Leaving => "leaving",
            Exclusion::Evacuated => "evacuated",
            Exclusion::RegionNotAllowed => "region-not-allowed",
            Exclusion::Denied => "denied",
            Exclusion::NotAllowed => "not-allowed",
            Exclusion::Drained => "drained",
            Exclusion::Ejected => "left-alone",
            Exclusion::Slow => "slow",
            Exclusion::Cold => "cold",
            Exclusion::Paused => "paused",
            Exclusion::Limited => "limited",
            Exclusion::Tried => "tried",
        }
    }
}

/// Finds the reason that excludes a target from a request.
#[derive(Clone, Copy)]
pub struct Exclusions<'a> {
    routing: &'a Routing,
    query: &'a Query<'a>,
    /// Median latency of the service's targets, seconds.
    median: f64,
    /// Whether a target is usable for which an allowance would have to be asked for.
    includes_asking: bool,
}

impl<'a> Exclusions<'a> {
    /// The exclusions for a request, at the time in the query.
    pub fn new(routing: &'a Routing, query: &'a Query<'a>) -> Self {
        Self { routing, query, median: routing.median_latency(query.service), includes_asking: false }
    }

    /// The exclusions as they would be if the head of the hall granted what is asked for.
    pub fn with_granted_allowances(self) -> Self {
        Self { includes_asking: true, ..self }
    }

    /// The first reason that excludes the target; `None` where it may be used.
    pub fn reason_for(&self, target: &Target) -> Option<Exclusion> {
        let excluded = self.by_state(target).or_else(|| self.by_policy(target));
        let excluded = excluded.or_else(|| self.by_latency(target)).or_else(|| self.by_slow_start(target));
        excluded.or_else(|| self.by_rate_limit(target))
    }

    fn by_state(&self, target: &Target) -> Option<Exclusion> {
        let (query, now) = (self.query, self.query.now);
        if target.is_invalid() {
            return Some(Exclusion::Invalid);
        }
        if !target.is_ready() || target.has_expired(now) {
            return Some(Exclusion::Draining);
        }
        if target.is_leaving() {
            return Some(Exclusion::Leaving);
        }
        if !query.allows(&target.region) {
            return Some(Exclusion::RegionNotAllowed);
        }
        if self.routing.is_evacuated(&target.hall) {
            return Some(Exclusion::Evacuated);
        }
        if target.is_paused(now) {
            return Some(Exclusion::Paused);
        }
        if target.is_ejected(now) {
            return Some(Exclusion::Ejected);
        }
        query.tried.contains(&target.key).then_some(Exclusion::Tried)
    }

    fn by_policy(&self, target: &Target) -> Option<Exclusion> {
        match self.query.policy_verdict(target)? {
            PolicyVerdict::Denied => Some(Exclusion::Denied),
            PolicyVerdict::NotAllowed => Some(Exclusion::NotAllowed),
            PolicyVerdict::Drained(_) => Some(Exclusion::Drained),
            PolicyVerdict::Permitted(_) => None,
        }
    }

    fn by_latency(&self, target: &Target) -> Option<Exclusion> {
        let (objective, now) = (self.query.route.latency_objective, self.query.now);
        let is_excluded = target.is_slow(self.median, objective, now) && !target.may_probe_slow(now);
        is_excluded.then_some(Exclusion::Slow)
    }

    fn by_rate_limit(&self, target: &Target) -> Option<Exclusion> {
        let is_excluded = match target.limit_permission(self.query.now) {
            Permission::Send => false,
            Permission::Ask => !self.includes_asking,
            Permission::Exhausted => true,
        };
        is_excluded.then_some(Exclusion::Limited)
    }

    fn by_slow_start(&self, target: &Target) -> Option<Exclusion> {
        let now = self.query.now;
        let may_send = |inputs| self.routing.may_send_in_slow_start(target, inputs, now);
        let is_excluded = target.is_in_slow_start(now) && !self.query.slow_start.is_some_and(may_send);
        is_excluded.then_some(Exclusion::Cold)
    }
}
