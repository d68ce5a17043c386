//! What the choice of a target looks at besides the routing state: the request, the
//! instance, and the time.
//!
//! Owns nothing: a [`Query`] is made for each try of a request.

use crate::clock::Instant;
use crate::decision::capacity::slow_start::SlowStartShare;
use crate::decision::registry::target::Target;
use crate::decision::registry::target_key::TargetKey;
use crate::model::config::{Route, Tenant, Urgency};
use crate::policy::{MatchedPolicies, PolicyOrder, PolicyVerdict};

/// What a request asks for, before anything is known of targets.
#[derive(Clone, Copy, Debug)]
pub struct Asked<'a> {
    /// Its route.
    pub route: &'a Route,
    /// The tenant of its caller; `None` where none is asked for.
    pub tenant: Option<&'a Tenant>,
    /// The service chosen for it.
    pub service: &'a str,
    /// Hash of its affinity key, or of the request where it has none.
    pub affinity: u64,
}

/// A question for a target.
#[derive(Debug)]
pub struct Query<'a> {
    /// The request's route.
    pub route: &'a Route,
    /// The tenant of its caller; `None` where none is asked for.
    pub tenant: Option<&'a Tenant>,
    /// The service chosen for it.
    pub service: &'a str,
    /// Hash of its affinity key, or of the request where it has none.
    pub affinity: u64,
    /// The instance's own region.
    pub region: &'a str,
    /// What this instance may send to cold targets; `None`, for nothing, while the view may
    /// be stale.
    pub slow_start: Option<SlowStartShare<'a>>,
    /// Whether the instances share the loads that targets tell them.
    pub has_shared_loads: bool,
    /// The operators' policies that select the request.
    pub active: Option<&'a MatchedPolicies<'a>>,
    /// The targets that it was sent to already.
    pub tried: &'a [TargetKey],
    /// The time.
    pub now: Instant,
}

impl Query<'_> {
    /// Whether targets of `region` may be used: the route's regions and the tenant's both bind.
    pub fn allows(&self, region: &str) -> bool {
        self.route.allows(region) && self.tenant.is_none_or(|tenant| tenant.allows(region))
    }

    /// How urgent the request is.
    pub fn urgency(&self) -> Urgency {
        Urgency { tenant: self.tenant.map_or(0, |tenant| tenant.priority), route: self.route.priority }
    }

    /// What the operators' policies say of a target; `None` where none selects the request.
    pub fn policy_verdict(&self, target: &Target) -> Option<PolicyVerdict> {
        self.active.map(|active| active.verdict(target.selecting(active.policies())))
    }

    /// The order that policies give a target; smaller goes first.
    pub fn policy_order(&self, target: &Target) -> PolicyOrder {
        match self.policy_verdict(target) {
            Some(PolicyVerdict::Permitted(order) | PolicyVerdict::Drained(order)) => order,
            _ => PolicyOrder::default(),
        }
    }
}
