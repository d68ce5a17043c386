//! The access log: one line for each request that has ended.
//!
//! [`AccessRecord`] collects the values of the line while the request is processed. `lockloft
//! explain` reads the event and field names back
//! ([`crate::telemetry::access_log::RequestLine`]). Relies on the target's identity and the names
//! of [`Proof`].

use crate::clock::Instant;
use crate::decision::registry::target::Target;
use crate::model::fingerprint::Fingerprint;
use crate::store::freshness::Proof;
use hyper::StatusCode;
use hyper::header::HeaderValue;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Values for the access log line of one request, filled in while it is processed.
#[derive(Debug, Default)]
pub struct AccessRecord {
    /// The caller's request id; `None` if it sent none.
    pub id: Option<HeaderValue>,
    /// Whether processing began before the requests ahead of it on its connection had a response.
    pub is_early: bool,
    /// Time for which it waited for its turn on its connection.
    pub queue_time: Duration,
    /// Name of the route; `None` if none matched.
    pub route: Option<Rc<str>>,
    /// Name of the caller's tenant; `None` if the route needs none or none was found.
    pub tenant: Option<Rc<str>>,
    /// Inputs of the quota decision, if the tenant's quota refused the request.
    pub quota: Option<QuotaRecord>,
    /// Name of the service chosen by the traffic split; `None` before a choice, and if no target of
    /// the service is usable.
    pub service: Option<Rc<str>>,
    /// Target of the last try; the preferred target if none had capacity.
    pub target: Option<Rc<Target>>,
    /// When the request times out; `None` before its route is known.
    pub deadline: Option<Instant>,
    /// Version of the configuration that applied; 0 before the first one is known.
    pub config: u64,
    /// Number of tries that reached a target.
    pub sends: u32,
    /// Estimated requests running or waiting at that target before this one.
    pub load: f64,
    /// Affinity hash ([`CallerRequest::affinity`]); `None` before the first try.
    ///
    /// [`CallerRequest::affinity`]: crate::proxy::caller_request::CallerRequest::affinity
    pub affinity: Option<u64>,
    /// Fingerprint of the request; `None` if its body was not read.
    pub fingerprint: Option<Fingerprint>,
    /// Duration of the last try, including the network round trip.
    pub last_try_time: Option<Duration>,
    /// Time until a target may accept requests again, if none accepts any now.
    pub target_wait: Option<Duration>,
    /// Address for peers of the instance that it was last forwarded to; `None` if it was not.
    pub forwarded_to: Option<SocketAddr>,
    /// Time after which that instance would have the caller try again, if it refused the request.
    pub forwarded_wait: Option<Duration>,
    /// Name of the instance that forwarded it here; `None` if a caller sent it here.
    pub forwarded_by: Option<String>,
    /// Names of the policies that affected the choice.
    pub policies: Vec<String>,
}

/// Inputs of a quota decision.
#[derive(Clone, Copy, Debug)]
pub struct QuotaRecord {
    /// Share of the tenant's requests that is admitted, 0 to 1.
    pub admit_ratio: f64,
    /// Time since a hall's head ([`crate::decision::quota::heads`]) last answered; since the first
    /// request with a quota if none has.
    pub answer_age: Option<Duration>,
}

/// Outcome of a request.
#[derive(Clone, Copy, Debug)]
pub struct RequestEnd {
    /// `answered`, or the name of the refusal.
    pub outcome: &'static str,
    /// Status of the response.
    pub status: StatusCode,
    /// Time from the arrival of the request's head to the head of the response.
    pub duration: Duration,
    /// Age of this instance's view of the store; `None` before the first list.
    pub view_age: Option<Duration>,
    /// What proved that the view was current at that age; `None` before the first list.
    pub view_proof: Option<Proof>,
}

impl AccessRecord {
    /// Writes the line of a finished request. A request id that is not text is omitted, since
    /// nobody could search for it.
    pub fn log(&self, end: &RequestEnd) {
        tracing::info!(
            event = "request",
            id = self.id.as_ref().and_then(|id| id.to_str().ok()),
            early = self.is_early.then_some(true),
            waited_ms = Some(self.queue_time.as_millis() as u64).filter(|ms| *ms > 0),
            route = self.route.as_deref(),
            tenant = self.tenant.as_deref(),
            quota_share = self.quota.map(|quota| quota.admit_ratio),
            quota_age_ms = self.quota.and_then(|quota| quota.answer_age).map(|age| age.as_millis() as u64),
            service = self.service.as_deref(),
            target = self.target.as_ref().map(|target| &*target.id),
            hall = self.target.as_ref().map(|target| &*target.hall),
            load = self.load,
            key = self.affinity.map(|affinity| format!("{affinity:016x}")),
            fingerprint = self.fingerprint.map(|fingerprint| fingerprint.to_string()),
            try_ms = self.last_try_time.map(|time| time.as_millis() as u64),
            sends = self.sends,
            config = self.config,
            policies = (!self.policies.is_empty()).then(|| self.policies.join(",")),
            forwarded_to = self.forwarded_to.map(|address| address.to_string()),
            forwarded_by = self.forwarded_by.as_deref(),
            view_age_ms = end.view_age.map(|age| age.as_millis() as u64),
            view_proof = end.view_proof.map(Proof::as_str),
            outcome = end.outcome,
            status = end.status.as_u16(),
            took_ms = end.duration.as_millis() as u64,
        );
    }
}
