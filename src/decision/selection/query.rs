//! Inputs of the choice of a target besides the routing state: the request, the instance, and the
//! time.
//!
//! Owns nothing: a [`Query`] is created for each try of a request.

use crate::clock::Instant;
use crate::decision::capacity::slow_start::SlowStartInputs;
use crate::decision::registry::target::Target;
use crate::decision::registry::target_key::TargetKey;
use crate::model::config::{Route, Tenant, Urgency};
use crate::policy::{MatchedPolicies, PolicyOrder, PolicyVerdict};

/// A request with the route, tenant and service that were found for it, before targets are considered.
#[derive(Clone, Copy, Debug)]
pub struct RoutedRequest<'a> {
    /// The route that takes the request.
    pub route: &'a Route,
    /// The tenant of the caller; `None` where the route is public or no tenants are configured.
    pub tenant: Option<&'a Tenant>,
    /// The service of the route that the request goes to.
    pub service: &'a str,
    /// Hash of the affinity key, or of the request's id where there is no key; random without either.
    pub affinity: u64,
}

/// Everything that the choice of a target for one try depends on besides the routing state.
#[derive(Debug)]
pub struct Query<'a> {
    /// The route that takes the request.
    pub route: &'a Route,
    /// The tenant of the caller; `None` where the route is public or no tenants are configured.
    pub tenant: Option<&'a Tenant>,
    /// The service of the route that the request goes to.
    pub service: &'a str,
    /// Hash of the affinity key, or of the request's id where there is no key; random without either.
    pub affinity: u64,
    /// The region of this instance, from the settings.
    pub region: &'a str,
    /// What this instance's share of the rate of a target in slow start is computed from; `None` while
    /// the view may be stale, in which case such a target is sent nothing.
    pub slow_start: Option<SlowStartInputs<'a>>,
    /// Whether the instances share the loads that targets report to them.
    pub has_shared_loads: bool,
    /// The operators' policies that match the request; `None` if none does.
    pub matched_policies: Option<&'a MatchedPolicies<'a>>,
    /// The targets that earlier tries of the request were sent to, except those that shed it.
    pub tried: &'a [TargetKey],
    /// The time of the try.
    pub now: Instant,
}

impl Query<'_> {
    /// Whether both the route and the tenant allow targets in `region`.
    pub fn allows(&self, region: &str) -> bool {
        self.route.allows(region) && self.tenant.is_none_or(|tenant| tenant.allows(region))
    }

    /// The urgency of the request: the priorities of its tenant (0 without one) and its route.
    pub fn urgency(&self) -> Urgency {
        Urgency { tenant: self.tenant.map_or(0, |tenant| tenant.priority), route: self.route.priority }
    }

    /// The verdict of the operators' policies on a target; `None` if none matches the request.
    pub fn policy_verdict(&self, target: &Target) -> Option<PolicyVerdict> {
        self.matched_policies.map(|policies| policies.verdict(target.matching_policies(policies.policies())))
    }

    /// The order that policies give a target; the smaller is preferred.
    pub fn policy_order(&self, target: &Target) -> PolicyOrder {
        match self.policy_verdict(target) {
            Some(PolicyVerdict::Permitted(order) | PolicyVerdict::Drained(order)) => order,
            _ => PolicyOrder::default(),
        }
    }
}
