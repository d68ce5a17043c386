//! Responses that an instance generates itself if no target's response can be passed on.
//!
//! Owns their statuses, names, bodies and Retry-After times. A 503 means that no target ran the
//! request; after a 502 or 504, one may have.
//!
//! *The view* is this instance's copy of the store ([`crate::store::freshness`]); while it is stale, it
//! may lack changes.

use crate::decision::failure::next_try::FailureReason;
use crate::decision::failure::quarantine::FIRST_PROBE_DELAY;
use crate::proxy::response_body::ResponseBody;
use hyper::header::{CONTENT_TYPE, RETRY_AFTER};
use hyper::{Response, StatusCode};
use std::time::Duration;
use thiserror::Error;

/// Retry-After if this instance has no configuration, no usable target or no way to one, which lasts longer
/// than a lack of capacity.
const RETRY_AFTER_OUTAGE: Duration = Duration::from_millis(500);
/// Retry-After if there is no reason to wait: this instance is stopping or its view is stale, so that
/// another one can take the request; a target with free slots shed it; or the API key belongs to
/// another tenant by now.
const RETRY_AT_ONCE: Duration = Duration::ZERO;

/// Why a caller gets no target's response. The messages are the bodies that callers receive.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum Refusal {
    /// No configuration is known yet.
    #[error("this instance has no configuration yet; send the request to another instance")]
    NoConfig,
    /// No route matches the host and path.
    #[error("no route takes this host and path; correct them or add a route")]
    NoRoute,
    /// No known route matches the host and path, and the view is too old to rule out that one was
    /// added.
    #[error(
        "no route known here takes this host and path, and this instance has not heard of changes for too long; send the request to another instance"
    )]
    StaleRoutes,
    /// The request does not have exactly one API key, or no tenant holds it.
    #[error("the request has no key that a tenant holds; send one valid key in one header")]
    NoKey,
    /// The API key was given to another tenant while the request waited.
    #[error("the key was given to another tenant while the request waited; send the request again")]
    KeyMoved,
    /// The view is too old to rule out that the API key was revoked.
    #[error("this instance has not heard of changes to keys for too long; send the request to another instance")]
    StaleKeys,
    /// The route and the tenant have no allowed region in common.
    #[error("the route and the tenant allow no region in common; have the operators correct one of them")]
    NoRegion,
    /// The tenant has exhausted its quota.
    #[error("the tenant's quota is used up; retry after the time in retry-after, or have the quota raised")]
    OverQuota,
    /// The request is malformed: it names no host, its URI has no path, its deadline is not a whole number,
    /// or its tenant's name is not a valid header value.
    #[error("the request cannot be understood; send it as docs/CALLERS.md says")]
    Malformed,
    /// The body is larger than the configuration allows.
    #[error("the body is too large; send a smaller one")]
    TooLarge,
    /// The body broke off, or was not complete by the deadline.
    #[error("the body did not arrive whole in time; send the request again")]
    BrokenBody,
    /// No target may be used for the request.
    #[error("no target may take this request now; retry after the time in retry-after")]
    NoTarget,
    /// Targets accept no more requests now, by the limits or pauses that they announced.
    #[error("the targets take no more requests now; retry after the time in retry-after")]
    Limited,
    /// The targets for its affinity key have no capacity.
    #[error("the targets for this affinity key have no room; retry after the time in retry-after")]
    Full,
    /// Other targets have capacity, but a policy's cap does not allow moving the request to them now
    /// ([`crate::policy`]).
    #[error("a policy's cap keeps the request from the targets that have room; retry after the time in retry-after")]
    Capped,
    /// A target refused the request without running it.
    #[error("the targets refused the request and did not run it; retry after the time in retry-after")]
    NotExecuted,
    /// A target with free slots refused the request without running it.
    #[error("the targets shed load and did not run the request; retry at once")]
    Shed,
    /// No connection to a target could be made.
    #[error("no target could be reached; retry after the time in retry-after")]
    Unreachable,
    /// Too little time was left before the request was sent.
    #[error("the request's time ran out before it was sent; give it more time")]
    TooLate,
    /// Held responses and buffered request bodies take so much memory that no further request on a route
    /// with large responses is sent.
    #[error("this instance holds as much of large answers as its memory allows; retry after the time in retry-after")]
    HeldResponses,
    /// The request is in quarantine because targets crashed under it.
    #[error(
        "targets that ran this request ended; it was not sent on, correct it or retry after the time in retry-after"
    )]
    Quarantined,
    /// This instance reaches no target, and no other instance that may be asked does.
    #[error("this instance reaches no target, and knows no other that does; retry after the time in retry-after")]
    Isolated,
    /// This instance is stopping.
    #[error("this instance is stopping; send the request to another instance")]
    Stopping,
    /// The response was lost after the request may have run.
    #[error("the target's answer was lost; the request may have run")]
    Lost,
    /// The request timed out after it may have run.
    #[error("no answer came in time; the request may have run")]
    TimedOut,
}

impl Refusal {
    /// All refusals.
    const ALL: [Refusal; 25] = [
        Refusal::NoConfig,
        Refusal::NoRoute,
        Refusal::StaleRoutes,
        Refusal::NoKey,
        Refusal::KeyMoved,
        Refusal::StaleKeys,
        Refusal::NoRegion,
        Refusal::OverQuota,
        Refusal::Malformed,
        Refusal::TooLarge,
        Refusal::BrokenBody,
        Refusal::NoTarget,
        Refusal::Limited,
        Refusal::Full,
        Refusal::Capped,
        Refusal::NotExecuted,
        Refusal::Shed,
        Refusal::Unreachable,
        Refusal::TooLate,
        Refusal::HeldResponses,
        Refusal::Quarantined,
        Refusal::Isolated,
        Refusal::Stopping,
        Refusal::Lost,
        Refusal::TimedOut,
    ];

    /// The refusal with a name; `None` if there is none.
    pub fn from_name(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|refusal| refusal.as_str() == name)
    }

    /// The name in the access log and in metrics (`outcome`).
    pub fn as_str(self) -> &'static str {
        match self {
            Refusal::NoConfig => "no-configuration",
            Refusal::NoRoute => "no-route",
            Refusal::StaleRoutes => "stale-routes",
            Refusal::NoKey => "no-key",
            Refusal::KeyMoved => "key-moved",
            Refusal::StaleKeys => "stale-keys",
            Refusal::NoRegion => "no-region",
            Refusal::OverQuota => "over-quota",
            Refusal::Malformed => "malformed",
            Refusal::TooLarge => "too-large",
            Refusal::BrokenBody => "broken-body",
            Refusal::NoTarget => "no-target",
            Refusal::Limited => "limited",
            Refusal::Full => "full",
            Refusal::Capped => "capped",
            Refusal::NotExecuted => "turned-away",
            Refusal::Shed => "shed",
            Refusal::Unreachable => "unreachable",
            Refusal::TooLate => "too-late",
            Refusal::HeldResponses => "held-answers",
            Refusal::Quarantined => "quarantined",
            Refusal::Isolated => "isolated",
            Refusal::Stopping => "stopping",
            Refusal::Lost => "lost",
            Refusal::TimedOut => "timed-out",
        }
    }

    /// The status of the response.
    pub fn status(self) -> StatusCode {
        match self {
            Refusal::NoRoute => StatusCode::NOT_FOUND,
            Refusal::NoKey => StatusCode::UNAUTHORIZED,
            Refusal::OverQuota => StatusCode::TOO_MANY_REQUESTS,
            Refusal::Malformed => StatusCode::BAD_REQUEST,
            Refusal::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Refusal::BrokenBody => StatusCode::REQUEST_TIMEOUT,
            Refusal::Lost => StatusCode::BAD_GATEWAY,
            Refusal::TimedOut => StatusCode::GATEWAY_TIMEOUT,
            _ => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    /// Whether it is certain that no target ran the request or will run it.
    pub fn guarantees_not_run(self) -> bool {
        !matches!(self, Refusal::Lost | Refusal::TimedOut)
    }

    /// Time after which the caller should try again, zero for at once; `None` if waiting does not make
    /// a retry more likely to succeed. `capacity_wait` is the time after which there is probably
    /// capacity.
    pub fn retry_after(self, capacity_wait: Duration) -> Option<Duration> {
        match self {
            Refusal::Full | Refusal::Capped | Refusal::NotExecuted | Refusal::Unreachable | Refusal::TooLate => {
                Some(capacity_wait)
            }
            Refusal::NoConfig | Refusal::NoTarget | Refusal::Isolated => Some(RETRY_AFTER_OUTAGE),
            Refusal::OverQuota | Refusal::Limited | Refusal::HeldResponses => Some(capacity_wait),
            Refusal::Quarantined => Some(FIRST_PROBE_DELAY),
            Refusal::Stopping | Refusal::Shed | Refusal::KeyMoved | Refusal::StaleKeys | Refusal::StaleRoutes => {
                Some(RETRY_AT_ONCE)
            }
            _ => None,
        }
    }

    /// The response for the caller; `capacity_wait` as for [`Self::retry_after`].
    pub fn response(self, capacity_wait: Duration) -> Response<ResponseBody> {
        let mut builder = Response::builder().status(self.status()).header(CONTENT_TYPE, "text/plain");
        if let Some(wait) = self.retry_after(capacity_wait) {
            let seconds = wait.as_millis() as f64 / 1_000.0;
            builder = builder.header(RETRY_AFTER, seconds.to_string());
        }
        builder.body(ResponseBody::buffered(self.to_string())).expect("the headers are constant and valid")
    }
}

impl From<FailureReason> for Refusal {
    fn from(reason: FailureReason) -> Self {
        match reason {
            FailureReason::NotTried => Refusal::NoTarget,
            FailureReason::Unreachable => Refusal::Unreachable,
            FailureReason::NotExecuted => Refusal::NotExecuted,
            FailureReason::Shed => Refusal::Shed,
            FailureReason::Lost => Refusal::Lost,
            FailureReason::TimedOut => Refusal::TimedOut,
        }
    }
}
