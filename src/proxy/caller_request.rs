//! A caller's request after routing and authentication: the state that all of its tries share.
//!
//! Owns the head of the request; borrows the instance, and the configuration with which the
//! request began. The body is separate ([`crate::proxy::incoming_body`]).

use crate::clock::Instant;
use crate::hash::hash_affinity_key;
use crate::model::config::{Config, Route, Tenant};
use crate::model::fingerprint::Fingerprint;
use crate::platform::Platform;
use crate::proxy::caller_tenant::CallerTenant;
use crate::proxy::origin::Origin;
use crate::proxy::refusal::Refusal;
use crate::state::Instance;
use hyper::header::HeaderValue;
use hyper::http::request::Parts;
use std::rc::Rc;

/// A caller's request with its route and deadline.
pub struct CallerRequest<'a, P: Platform> {
    /// The instance that processes it.
    pub instance: &'a Rc<Instance<P>>,
    /// Where it comes from.
    pub origin: &'a Origin,
    /// The configuration in force when the request began.
    pub config: &'a Config,
    /// The route that matched it.
    pub route: &'a Route,
    /// The caller's tenant and API key; `None` if the route is public or there are no tenants.
    pub caller: Option<CallerTenant<'a>>,
    /// Its head, without hop-by-hop headers and without the caller's API key.
    pub parts: Parts,
    /// Hash of its contents, under which strikes are counted.
    pub fingerprint: Fingerprint,
    /// When its head had been read.
    pub started: Instant,
    /// When it times out: a later response would be of no use to the caller.
    pub deadline: Instant,
}

impl<P: Platform> CallerRequest<'_, P> {
    /// The caller's request id; `None` if it sent none.
    pub fn id(&self) -> Option<&HeaderValue> {
        self.parts.headers.get(&self.instance.names.request_id)
    }

    /// The request id as text for the log. One that is not text is omitted, since nobody could
    /// search for it.
    pub fn id_text(&self) -> Option<&str> {
        self.id().and_then(|id| id.to_str().ok())
    }

    /// The caller's tenant; `None` if the route is public or there are no tenants.
    pub fn tenant(&self) -> Option<&Tenant> {
        self.caller.as_ref().map(|caller| caller.tenant)
    }

    /// Whether its route and its tenant allow it to be served in `region`.
    pub fn allows_region(&self, region: &str) -> bool {
        self.route.allows(region) && self.tenant().is_none_or(|tenant| tenant.allows(region))
    }

    /// Checks that a newer configuration still maps the caller's API key to the same tenant.
    ///
    /// # Errors
    /// [`Refusal::NoKey`] or [`Refusal::KeyMoved`], as [`CallerTenant::check`].
    pub fn check_api_key(&self) -> Result<(), Refusal> {
        let Some(caller) = &self.caller else { return Ok(()) };
        match &self.instance.routing.borrow().config {
            Some(later) if later.version != self.config.version => caller.check(later),
            _ => Ok(()),
        }
    }

    /// Hash of the affinity key. Without a key, or on a route without affinity, the hash of the
    /// request id; without that either, a random number.
    pub fn affinity(&self) -> u64 {
        let key = self.parts.headers.get(&self.instance.names.affinity_key).filter(|_| self.route.affinity);
        match key.or_else(|| self.id()) {
            Some(value) => hash_affinity_key(value.as_bytes()),
            None => rand::random(),
        }
    }
}
