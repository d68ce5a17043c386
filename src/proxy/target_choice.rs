//! The target of a request's next try: the rules of [`crate::decision::selection::choice`] asked
//! for the service that is due, one for all tries of the request.
//!
//! Owns what the operators' caps were charged for the request. Relies on the routing
//! of the snapshot, read anew for each try.

use crate::clock::Instant;
use crate::decision::registry::routing::Routing;
use crate::decision::registry::target::Target;
use crate::decision::registry::target_key::TargetKey;
use crate::decision::selection::choice::{Asked, Chosen, NoTarget, choose};
use crate::model::config::WeightedService;
use crate::platform::Platform;
use crate::policy::{CapCharge, MatchedPolicies, RequestFacts};
use crate::proxy::access_record::AccessRecord;
use crate::proxy::caller_request::CallerRequest;
use crate::proxy::refusal::Refusal;
use crate::settings::Settings;
use std::rc::Rc;

/// What the choices for one request have in common.
pub struct TargetChoice<'a, P: Platform> {
    request: &'a CallerRequest<'a, P>,
    affinity: u64,
    weighted_service: &'a WeightedService,
    charge: CapCharge,
}

/// What one choice sees.
struct Snapshot<'a> {
    routing: &'a Routing,
    settings: &'a Settings,
}

impl<'a, P: Platform> TargetChoice<'a, P> {
    /// Hashes the request's affinity and picks the service that is due.
    pub fn new(request: &'a CallerRequest<'a, P>) -> Self {
        let affinity = request.affinity();
        let weighted_service = request.instance.splits.borrow_mut().pick(request.route, affinity);
        Self { request, affinity, weighted_service, charge: CapCharge::default() }
    }

    /// Hash of the request's affinity key.
    pub fn affinity(&self) -> u64 {
        self.affinity
    }

    /// The picked service.
    pub fn service(&self) -> &Rc<str> {
        &self.weighted_service.service
    }

    /// A target of the picked service, none of those `tried`. What it cannot take is
    /// refused and not offered to another service of the split: the weights bind.
    ///
    /// # Errors
    /// [`Refusal`] where the service has no target for the request.
    pub fn choose(&self, tried: &[TargetKey], record: &mut AccessRecord) -> Result<Chosen, Refusal> {
        let instance = self.request.instance;
        let settings = instance.settings.borrow().clone();
        let snapshot = Snapshot { routing: &instance.routing.borrow(), settings: &settings };
        let (chosen, policies) = self.choose_for_service(&snapshot, tried);
        record.policies = policies;
        match chosen {
            Ok(chosen) => {
                record.service = Some(self.weighted_service.service.clone());
                Ok(chosen)
            }
            Err(NoTarget::NoneUsable) => Err(Refusal::NoTarget),
            Err(NoTarget::Limited { first, wait }) => {
                record.pause_wait = Some(wait);
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

    /// A target of the picked service, and the names of the policies that had a part.
    fn choose_for_service(
        &self,
        snapshot: &Snapshot<'_>,
        tried: &[TargetKey],
    ) -> (Result<Chosen, NoTarget>, Vec<String>) {
        let matched_policies = self.matched_policies(snapshot);
        let settings = snapshot.settings;
        let asked = Asked {
            route: self.request.route,
            tenant: self.request.tenant(),
            service: &self.weighted_service.service,
            affinity: self.affinity,
        };
        let query = self.request.instance.query(settings, asked, matched_policies.as_ref(), tried);
        let chosen = choose(snapshot.routing, self.request.config, &query);
        (chosen, matched_policies.as_ref().map_or_else(Vec::new, MatchedPolicies::applied))
    }

    /// The operators' policies that select the request.
    fn matched_policies(&self, snapshot: &Snapshot<'_>) -> Option<MatchedPolicies<'_>> {
        let parts = &self.request.parts;
        let facts = RequestFacts {
            service: &self.weighted_service.service,
            route: &self.request.route.name,
            region: &snapshot.settings.region,
            hall: &snapshot.settings.hall,
            method: &parts.method,
            uri: &parts.uri,
            headers: &parts.headers,
        };
        MatchedPolicies::find(snapshot.routing.policies.as_ref()?, &facts, self.affinity, &self.charge)
    }
}

/// The access log names the preferred target of a request that found no room.
fn record_preferred(record: &mut AccessRecord, weighted: &WeightedService, preferred: Rc<Target>) {
    record.load = preferred.load(Instant::now());
    record.service = Some(weighted.service.clone());
    record.target = Some(preferred);
}
