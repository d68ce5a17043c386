//! A caller's request once it is understood: what all of its tries need.
//!
//! Owns the head of the request; borrows the instance and the configuration with
//! which it began. The body is apart ([`crate::proxy::incoming_body`]).

use crate::clock::Instant;
use crate::hash::hash_affinity_key;
use crate::model::config::{Config, Route, Tenant};
use crate::model::fingerprint::Fingerprint;
use crate::platform::Platform;
use crate::proxy::caller_tenant::CallerTenant;
use crate::proxy::refusal::Refusal;
use crate::state::Instance;
use hyper::header::HeaderValue;
use hyper::http::request::Parts;

/// A caller's request with its route and its deadline.
pub struct CallerRequest<'a, P: Platform> {
    /// The instance that has it.
    pub instance: &'a Instance<P>,
    /// The configuration that decides.
    pub config: &'a Config,
    /// Its route.
    pub route: &'a Route,
    /// Its caller's tenant; `None` where none is asked for.
    pub caller: Option<CallerTenant<'a>>,
    /// Its head, without headers of the caller's connection and without its key.
    pub parts: Parts,
    /// What it asks for, as a hash.
    pub fingerprint: Fingerprint,
    /// When its head had arrived.
    pub started: Instant,
    /// When an answer is no longer of use.
    pub deadline: Instant,
}

impl<P: Platform> CallerRequest<'_, P> {
    /// The caller's identity for it, where it sent one.
    pub fn id(&self) -> Option<&HeaderValue> {
        self.parts.headers.get(&self.instance.names.request_id)
    }

    /// The identity as text for the log; one that is not text is left out, since it
    /// could not be searched for.
    pub fn id_text(&self) -> Option<&str> {
        self.id().and_then(|id| id.to_str().ok())
    }

    /// Its caller's tenant; `None` where none is asked for.
    pub fn tenant(&self) -> Option<&Tenant> {
        self.caller.as_ref().map(|caller| caller.tenant)
    }

    /// Whether its key still opens what it opened when the request began.
    ///
    /// # Errors
    /// The refusal where it does not.
    pub fn check_key(&self) -> Result<(), Refusal> {
        let Some(caller) = &self.caller else { return Ok(()) };
        match &self.instance.routing.borrow().config {
            Some(later) if later.version != self.config.version => caller.check(later),
            _ => Ok(()),
        }
    }

    /// The affinity key's hash; a hash of the request's identity where it has no key
    /// or the route no affinity, and a random number where it has neither.
    pub fn affinity(&self) -> u64 {
        let key = self.parts.headers.get(&self.instance.names.affinity_key).filter(|_| self.route.affinity);
        match key.or_else(|| self.id()) {
            Some(value) => hash_affinity_key(value.as_bytes()),
            None => rand::random(),
        }
    }
}
