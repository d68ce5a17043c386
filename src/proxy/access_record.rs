//! The access log: one line for each request that has ended.
//!
//! [`AccessRecord`] collects what the line says while the request is processed. The
//! event and field names are read back by `lockloft explain`
//! ([`crate::telemetry::access_log::RequestLine`]). Relies on the target's identity and the names of proofs.

use crate::decision::registry::target::Target;
use crate::model::fingerprint::Fingerprint;
use crate::store::freshness::Proof;
use hyper::StatusCode;
use hyper::header::HeaderValue;
use std::rc::Rc;
use std::time::Duration;

/// What is known of one request, filled in as it goes on.
#[derive(Debug, Default)]
pub struct AccessRecord {
    /// The caller's identity for the request, where it sent one.
    pub id: Option<HeaderValue>,
    /// Whether it was begun before those ahead of it on its connection were answered.
    pub is_early: bool,
    /// How long it waited for its turn on its connection.
    pub queue_time: Duration,
    /// Name of its route.
    pub route: Option<Rc<str>>,
    /// Name of the caller's tenant.
    pub tenant: Option<Rc<str>>,
    /// What its tenant's quota was decided by, where that refused it.
    pub quota: Option<QuotaRecord>,
    /// The service chosen.
    pub service: Option<Rc<str>>,
    /// The target it was last sent to; the preferred one where none had room.
    pub target: Option<Rc<Target>>,
    /// Version of the configuration that decided; 0 before one is known.
    pub config: u64,
    /// Tries that reached a target.
    pub sends: u32,
    /// Requests that were probably running or waiting at that target before it.
    pub load: f64,
    /// Hash of its affinity key; of its identity where it has none.
    pub affinity: Option<u64>,
    /// Fingerprint of the request; `None` where its body was not read.
    pub fingerprint: Option<Fingerprint>,
    /// How long the last try took, with the way to the target and back.
    pub last_try_time: Option<Duration>,
    /// Time until a target may want requests again, where all want none now.
    pub pause_wait: Option<Duration>,
    /// Names of the policies that had a part in the choice.
    pub policies: Vec<String>,
}

/// What a quota was decided by.
#[derive(Clone, Copy, Debug)]
pub struct QuotaRecord {
    /// Share of the tenant's requests that might pass.
    pub admit_ratio: f64,
    /// Time since a head answered that.
    pub answer_age: Option<Duration>,
}

/// How a request ended.
#[derive(Clone, Copy, Debug)]
pub struct RequestEnd {
    /// `answered`, or the refusal's name.
    pub outcome: &'static str,
    /// Status of the answer.
    pub status: StatusCode,
    /// Time from the request's head to the head of the answer.
    pub duration: Duration,
    /// Age of this instance's view of the store; `None` before the first list.
    pub view_age: Option<Duration>,
    /// What that age was proved by; `None` before the first list.
    pub view_proof: Option<Proof>,
}

impl AccessRecord {
    /// Writes the line of a request that has ended. An identity that is not text
    /// is left out: it could not be searched for.
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
            try_ms = self.last_try_time.map(|took| took.as_millis() as u64),
            sends = self.sends,
            config = self.config,
            policies = (!self.policies.is_empty()).then(|| self.policies.join(",")),
            view_age_ms = end.view_age.map(|age| age.as_millis() as u64),
            view_proof = end.view_proof.map(Proof::as_str),
            outcome = end.outcome,
            status = end.status.as_u16(),
            took_ms = end.duration.as_millis() as u64,
        );
    }
}
