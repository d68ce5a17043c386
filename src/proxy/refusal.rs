//! Answers that an instance makes itself, where no target's answer can be passed on.
//!
//! Owns the statuses, names and Retry-After times. A 503 means that no target ran the
//! request, 502 and 504 that one may have.

use crate::decision::failure::next_try::FailureReason;
use crate::decision::failure::quarantine::FIRST_PROBE_DELAY;
use crate::proxy::response_body::ResponseBody;
use hyper::header::{CONTENT_TYPE, RETRY_AFTER};
use hyper::{Response, StatusCode};
use std::time::Duration;
use thiserror::Error;

/// Retry-After where this instance has no configuration or no usable target: states that
/// last longer than a full target. Worth at half and double differs by
/// 0.002 at most: not sensitive.
const RETRY_AFTER_OUTAGE: Duration = Duration::from_millis(500);
/// Retry-After where waiting gains nothing: this instance stops and the others take the request,
/// or its target sheds load beside free slots.
const RETRY_AT_ONCE: Duration = Duration::ZERO;

/// Why a request got no answer from a target.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum Refusal {
    /// No configuration is known yet.
    #[error("this instance has no configuration yet; send the request to another instance")]
    NoConfig,
    /// No route takes the host and path.
    #[error("no route takes this host and path; correct them or add a route")]
    NoRoute,
    /// No route that is known here takes the host and path, and this instance cannot tell whether
    /// one was added.
    #[error(
        "no route known here takes this host and path, and this instance has not heard of changes for too long; send the request to another instance"
    )]
    StaleRoutes,
    /// No tenant holds the caller's key.
    #[error("the request has no key that a tenant holds; send one valid key in one header")]
    NoKey,
    /// The key was given to another tenant while the request waited.
    #[error("the key was given to another tenant while the request waited; send the request again")]
    KeyMoved,
    /// This instance cannot tell whether the key was taken away.
    #[error("this instance has not heard of changes to keys for too long; send the request to another instance")]
    StaleKeys,
    /// Route and tenant allow no region in common.
    #[error("the route and the tenant allow no region in common; have the operators correct one of them")]
    NoRegion,
    /// The tenant sends more than its quota.
    #[error("the tenant's quota is used up; retry after the time in retry-after, or have the quota raised")]
    OverQuota,
    /// The request cannot be understood.
    #[error("the request cannot be understood; send it as docs/CALLERS.md says")]
    Malformed,
    /// The body is larger than allowed.
    #[error("the body is too large; send a smaller one")]
    TooLarge,
    /// The body did not arrive whole in time.
    #[error("the body did not arrive whole in time; send the request again")]
    BrokenBody,
    /// No target may be used.
    #[error("no target may take this request now; retry after the time in retry-after")]
    NoTarget,
    /// Targets take no more requests now, as they say themselves.
    #[error("the targets take no more requests now; retry after the time in retry-after")]
    Limited,
    /// The targets for its affinity key have no room.
    #[error("the targets for this affinity key have no room; retry after the time in retry-after")]
    Full,
    /// A cap leaves no credit to move it to targets that have room.
    #[error("a policy's cap keeps the request from the targets that have room; retry after the time in retry-after")]
    Capped,
    /// Targets turned it away without running it.
    #[error("the targets refused the request and did not run it; retry after the time in retry-after")]
    TurnedAway,
    /// A target with free slots turned it away without running it.
    #[error("the targets shed load and did not run the request; retry at once")]
    Shed,
    /// No connection to a target could be made.
    #[error("no target could be reached; retry after the time in retry-after")]
    Unreachable,
    /// Its time ran out before it was sent.
    #[error("the request's time ran out before it was sent; give it more time")]
    TooLate,
    /// This instance holds as much of answers as it may.
    #[error("this instance holds as much of large answers as its memory allows; retry after the time in retry-after")]
    HeldAnswers,
    /// Targets ended under it.
    #[error(
        "targets that ran this request ended; it was not sent on, correct it or retry after the time in retry-after"
    )]
    Quarantined,
    /// This instance stops.
    #[error("this instance is stopping; send the request to another instance")]
    Stopping,
    /// The exchange broke after the request may have run.
    #[error("the target's answer was lost; the request may have run")]
    Lost,
    /// Its time ran out after it may have run.
    #[error("no answer came in time; the request may have run")]
    TimedOut,
}

impl Refusal {
    /// Its name in log and metrics.
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
            Refusal::TurnedAway => "turned-away",
            Refusal::Shed => "shed",
            Refusal::Unreachable => "unreachable",
            Refusal::TooLate => "too-late",
            Refusal::HeldAnswers => "held-answers",
            Refusal::Quarantined => "quarantined",
            Refusal::Stopping => "stopping",
            Refusal::Lost => "lost",
            Refusal::TimedOut => "timed-out",
        }
    }

    /// The status of the answer.
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

    /// Whether no target ran the request and none will.
    pub fn is_not_run(self) -> bool {
        !matches!(self, Refusal::Lost | Refusal::TimedOut)
    }

    /// How long the caller should wait before it tries again, where waiting helps; `capacity_wait`
    /// is the time after which there is probably room.
    pub fn retry_after(self, capacity_wait: Duration) -> Option<Duration> {
        match self {
            Refusal::Full | Refusal::Capped | Refusal::TurnedAway | Refusal::Unreachable | Refusal::TooLate => {
                Some(capacity_wait)
            }
            Refusal::NoConfig | Refusal::NoTarget => Some(RETRY_AFTER_OUTAGE),
            Refusal::OverQuota | Refusal::Limited | Refusal::HeldAnswers => Some(capacity_wait),
            Refusal::Quarantined => Some(FIRST_PROBE_DELAY),
            Refusal::Stopping | Refusal::Shed | Refusal::KeyMoved | Refusal::StaleKeys | Refusal::StaleRoutes => {
                Some(RETRY_AT_ONCE)
            }
            _ => None,
        }
    }

    /// The answer for the caller; `capacity_wait` is the time after which there is probably room at
    /// the service.
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
            FailureReason::NotExecuted => Refusal::TurnedAway,
            FailureReason::Shed => Refusal::Shed,
            FailureReason::Lost => Refusal::Lost,
            FailureReason::TimedOut => Refusal::TimedOut,
        }
    }
}
