//! Chooses the target of a request's next try by the rules of
//! [`crate::decision::selection::choice`]. The traffic split picks one service for all tries of the
//! request.
//!
//! Owns the request's charge to the operators' caps. Relies on a snapshot of the routing state,
//! taken again for each try.

use crate::clock::Instant;
use crate::decision::registry::routing::Routing;
use crate::decision::registry::target::Target;
use crate::decision::registry::target_key::TargetKey;
use crate::decision::selection::choice::{
    AllowanceNeeded, ChosenTarget, NoTarget, Query, RoutedRequest, allowance_needed, choose,
};
use crate::model::config::WeightedService;
use crate::platform::Platform;
use crate::policy::{CapCharge, MatchedPolicies, RequestAttributes};
use crate::proxy::access_record::AccessRecord;
use crate::proxy::caller_request::CallerRequest;
use crate::proxy::refusal::Refusal;
use crate::settings::Settings;
use std::rc::Rc;

/// Maximum number of targets for which one try asks for an allowance.
const MAX_ASKED_TARGETS: usize = 2;

/// State that the choices for one request share.
pub struct TargetChoice<'a, P: Platform> {
    request: &'a CallerRequest<'a, P>,
    affinity: u64,
    weighted_service: &'a WeightedService,
    cap_charge: CapCharge,
}

/// Routing state and settings by which one target is chosen.
struct Snapshot<'a> {
    routing: &'a Routing,
    settings: &'a Settings,
}

impl<'a, P: Platform> TargetChoice<'a, P> {
    /// Picks the service by the traffic split and the affinity hash ([`CallerRequest::affinity`]).
    pub fn new(request: &'a CallerRequest<'a, P>) -> Self {
        let affinity = request.affinity();
        let weighted_service = request.instance.splits.borrow_mut().pick(request.route, affinity);
        Self { request, affinity, weighted_service, cap_charge: CapCharge::default() }
    }

    /// The affinity hash ([`CallerRequest::affinity`]).
    pub fn affinity(&self) -> u64 {
        self.affinity
    }

    /// Name of the picked service.
    pub fn service(&self) -> &Rc<str> {
        &self.weighted_service.service
    }

    /// Waits for allowances, where the target to be chosen has a rate limit and this instance may send it no more
    /// requests before it has asked.
    pub async fn wait_for_allowances(&self, tried: &[TargetKey]) {
        for _ in 0..MAX_ASKED_TARGETS {
            let Some(AllowanceNeeded { target, has_alternative }) = self.allowance_needed(tried) else { return };
            self.request.instance.wait_for_allowance(&target, has_alternative).await;
        }
    }

    fn allowance_needed(&self, tried: &[TargetKey]) -> Option<AllowanceNeeded> {
        let instance = self.request.instance;
        if !instance.has_limited_targets() {
            return None;
        }
        let settings = instance.settings();
        let snapshot = Snapshot { routing: &instance.routing.borrow(), settings: &settings };
        let find = |query: &Query<'_>| allowance_needed(snapshot.routing, self.request.config, query);
        self.with_query(&snapshot, tried, &CapCharge::dry_run(), find).0
    }

    /// Chooses a target of the picked service, except those `tried`. A request that the service
    /// cannot take is refused and not sent to another service of the split, so that the split keeps
    /// its weights.
    ///
    /// # Errors
    /// [`Refusal`] if the service has no target for the request.
    pub fn choose(&self, tried: &[TargetKey], record: &mut AccessRecord) -> Result<ChosenTarget, Refusal> {
        let instance = self.request.instance;
        let settings = instance.settings();
        let snapshot = Snapshot { routing: &instance.routing.borrow(), settings: &settings };
        let (chosen, policies) = self.choose_for_service(&snapshot, tried, &self.cap_charge);
        record.policies = policies;
        match chosen {
            Ok(chosen) => {
                record.service = Some(self.weighted_service.service.clone());
                Ok(chosen)
            }
            Err(NoTarget::NoneUsable) => Err(Refusal::NoTarget),
            Err(NoTarget::LimitedOrPaused { first, wait }) => {
                record.target_wait = Some(wait);
                record_preferred(record, self.weighted_service, first);
                Err(Refusal::Limited)
            }
            Err(NoTarget::Full(preferred)) => {
                record_preferred(record, self.weighted_service, preferred);
                Err(Refusal::Full)
            }
            Err(NoTarget::Capped(preferred)) => {
                record_preferred(record, self.weighted_service, preferred);
                Err(Refusal::Capped)
            }
        }
    }

    /// The target that [`Self::choose`] would choose now, without a charge to the operators' caps; `None` if
    /// it would refuse the request.
    pub fn preview(&self, tried: &[TargetKey]) -> Option<Rc<Target>> {
        let instance = self.request.instance;
        let settings = instance.settings();
        let snapshot = Snapshot { routing: &instance.routing.borrow(), settings: &settings };
        let (chosen, _) = self.choose_for_service(&snapshot, tried, &CapCharge::dry_run());
        chosen.ok().map(|chosen| chosen.target)
    }

    /// The choice for the picked service, and the names of the policies that affected it.
    fn choose_for_service(
        &self,
        snapshot: &Snapshot<'_>,
        tried: &[TargetKey],
        charge: &CapCharge,
    ) -> (Result<ChosenTarget, NoTarget>, Vec<String>) {
        self.with_query(snapshot, tried, charge, |query| choose(snapshot.routing, self.request.config, query))
    }

    /// The result of `decide` on the query for the picked service, and the names of the policies that affected it.
    fn with_query<T>(
        &self,
        snapshot: &Snapshot<'_>,
        tried: &[TargetKey],
        charge: &CapCharge,
        decide: impl FnOnce(&Query<'_>) -> T,
    ) -> (T, Vec<String>) {
        let matched_policies = self.matched_policies(snapshot, charge);
        let settings = snapshot.settings;
        let request = RoutedRequest {
            route: self.request.route,
            tenant: self.request.tenant(),
            service: &self.weighted_service.service,
            affinity: self.affinity,
        };
        let query = self.request.instance.query(settings, request, matched_policies.as_ref(), tried);
        // The targets of a key are those by the region of the instance that the caller uses.
        let region = self.request.origin.entry().map_or(query.region, |entry| &entry.region);
        let decided = decide(&Query { region, ..query });
        (decided, matched_policies.as_ref().map_or_else(Vec::new, MatchedPolicies::applied))
    }

    /// The operators' policies that match the request.
    fn matched_policies<'b>(&'b self, snapshot: &Snapshot<'_>, charge: &'b CapCharge) -> Option<MatchedPolicies<'b>> {
        let (parts, entry) = (&self.request.parts, self.request.origin.entry());
        let attributes = RequestAttributes {
            service: &self.weighted_service.service,
            route: &self.request.route.name,
            region: entry.map_or(&snapshot.settings.region, |entry| &entry.region),
            hall: entry.map_or(&snapshot.settings.hall, |entry| &entry.hall),
            method: &parts.method,
            uri: &parts.uri,
            headers: &parts.headers,
        };
        MatchedPolicies::find(snapshot.routing.policies.as_ref()?, &attributes, self.affinity, charge)
    }
}

/// Records the preferred target for the access log if none had capacity for the request.
fn record_preferred(record: &mut AccessRecord, weighted: &WeightedService, preferred: Rc<Target>) {
    record.load = preferred.load(Instant::now());
    record.service = Some(weighted.service.clone());
    record.target = Some(preferred);
}
