//! Answers that lockloft makes itself, each with its outcome and remedy.

use crate::body::AnswerBody;
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{CONTENT_TYPE, RETRY_AFTER};
use hyper::{Response, StatusCode};
use serde::{Deserialize, Serialize};
use std::time::Duration;
use thiserror::Error;

/// Header that says what is known of a request lockloft answered itself.
pub const OUTCOME: &str = "lockloft-outcome";

/// What is known of a request that got no answer from a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// No byte of it reached a target and none will.
    NotRun,
    /// It may have run.
    Unknown,
}

impl Outcome {
    /// The header value.
    pub fn text(self) -> &'static str {
        match self {
            Outcome::NotRun => "not-run",
            Outcome::Unknown => "unknown",
        }
    }
}

/// Why a request got no answer from a target. Messages name the remedy.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum Failure {
    /// No configuration has been read yet.
    #[error("this instance has no configuration yet")]
    NoConfiguration,
    /// Neither host nor path belongs to a service.
    #[error("no service answers to host {host:?} and path {path:?}")]
    UnknownService { host: String, path: String },
    /// A request that cannot be understood.
    #[error("{0}")]
    Malformed(String),
    /// Policies leave no hall.
    #[error("no hall may serve this request now: {0}")]
    NoPlace(&'static str),
    /// Every slot is in use and waiting would be too long.
    #[error("all slots are in use")]
    Full { wait: Duration },
    /// A request of higher priority took its place in the queue.
    #[error("the queue is full of requests that go first")]
    Shed { wait: Duration },
    /// This instance has no share of the hall's slots now.
    #[error("this entry has no share of its hall's slots now")]
    NoQuota,
    /// The deadline passed before the request was sent.
    #[error("the deadline passed before a slot was free")]
    Late,
    /// The body is larger than the service takes.
    #[error("the body is larger than {most} bytes")]
    TooLarge { most: u64 },
    /// The body did not arrive in time, or its connection broke.
    #[error("the request body did not arrive whole in time")]
    BrokenBody,
    /// The service takes only requests with a key.
    #[error("this service takes only requests with an idempotency-key")]
    KeyRequired,
    /// The key is not one that a look-up gave for this service.
    #[error("the idempotency-key was not given by a look-up for this service")]
    ForeignKey,
    /// The key's request was given up before; it did not and will not run.
    #[error("this key was given up: its request did not run and will not")]
    KeyRetired,
    /// The key's request ran or may have run, and its answer is not held.
    #[error("this key was used before and its answer is not held here")]
    KeySpent,
    /// The key's home cannot be reached, or was replaced.
    #[error("the instance that keeps this key cannot be reached or was replaced")]
    HomeLost,
    /// The target's shedding answer said that it did not run the request.
    #[error("the target shed the request before running it")]
    TargetShed { wait: Duration },
    /// No connection to the target could be made.
    #[error("no connection to the target could be made")]
    Unreachable,
    /// The exchange broke after the request may have reached the target.
    #[error("the connection broke before the answer came")]
    Broken,
    /// The deadline passed before the answer came.
    #[error("the deadline passed before the answer came")]
    Silent,
    /// This instance has as many connections as it may.
    #[error("this entry has all the connections it may have")]
    Crowded,
}

impl Failure {
    /// What is known of the request.
    pub fn outcome(&self) -> Outcome {
        match self {
            Failure::KeySpent | Failure::HomeLost | Failure::Broken | Failure::Silent => Outcome::Unknown,
            _ => Outcome::NotRun,
        }
    }

    /// The word for this kind in answers, logs and metrics.
    pub fn kind(&self) -> &'static str {
        match self {
            Failure::NoConfiguration => "no-configuration",
            Failure::UnknownService { .. } => "unknown-service",
            Failure::Malformed(_) => "malformed",
            Failure::NoPlace(_) => "no-place",
            Failure::Full { .. } => "full",
            Failure::Shed { .. } => "shed",
            Failure::NoQuota => "no-quota",
            Failure::Late => "late",
            Failure::TooLarge { .. } => "too-large",
            Failure::BrokenBody => "broken-body",
            Failure::KeyRequired => "key-required",
            Failure::ForeignKey => "foreign-key",
            Failure::KeyRetired => "key-retired",
            Failure::KeySpent => "key-spent",
            Failure::HomeLost => "home-lost",
            Failure::TargetShed { .. } => "target-shed",
            Failure::Unreachable => "unreachable",
            Failure::Broken => "broken",
            Failure::Silent => "silent",
            Failure::Crowded => "crowded",
        }
    }

    fn status(&self) -> StatusCode {
        match self {
            Failure::UnknownService { .. } => StatusCode::NOT_FOUND,
            Failure::Malformed(_) | Failure::KeyRequired | Failure::ForeignKey => StatusCode::BAD_REQUEST,
            Failure::TooLarge { .. } => StatusCode::PAYLOAD_TOO_LARGE,
            Failure::BrokenBody => StatusCode::REQUEST_TIMEOUT,
            Failure::KeyRetired | Failure::KeySpent | Failure::HomeLost => StatusCode::CONFLICT,
            Failure::Broken | Failure::Unreachable => StatusCode::BAD_GATEWAY,
            Failure::Silent => StatusCode::GATEWAY_TIMEOUT,
            _ => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    fn remedy(&self) -> &'static str {
        match self {
            Failure::NoConfiguration => "ask another entry; the operator applies a declaration with `lockloft apply`",
            Failure::UnknownService { .. } => "correct host or path, or declare a service for them",
            Failure::Malformed(_) => "correct the request as docs/CALLERS.md describes",
            Failure::NoPlace(_) => "come back later; the operator sees why with `lockloft explain`",
            Failure::Full { .. } | Failure::Shed { .. } | Failure::TargetShed { .. } => {
                "come back after the time in retry-after"
            }
            Failure::NoQuota => "look up entries again and use the first",
            Failure::Late => "give a longer lockloft-timeout-ms, or come back later",
            Failure::TooLarge { .. } => "send a smaller body, or raise the service's body limit",
            Failure::BrokenBody => "send the request again, whole",
            Failure::KeyRequired | Failure::ForeignKey => "look up the service and send the key that the look-up gives",
            Failure::KeyRetired => "look up a new key and send the request with it",
            Failure::KeySpent | Failure::HomeLost => {
                "check at the service whether the request ran before you send it under a new key"
            }
            Failure::Unreachable => "send the request again",
            Failure::Broken | Failure::Silent => "check whether the request ran; repeat it only if it may run twice",
            Failure::Crowded => "look up entries again and use another",
        }
    }

    /// When to come back, where waiting helps.
    pub fn retry_after(&self) -> Option<Duration> {
        match self {
            Failure::Full { wait } | Failure::Shed { wait } | Failure::TargetShed { wait } => Some(*wait),
            Failure::NoConfiguration
            | Failure::NoQuota
            | Failure::NoPlace(_)
            | Failure::Unreachable
            | Failure::Crowded => Some(Duration::from_secs(1)),
            _ => None,
        }
    }

    /// The answer for the caller.
    pub fn answer(&self) -> Response<AnswerBody> {
        let notice = Notice { kind: self.kind(), message: self.to_string(), remedy: self.remedy() };
        let text = serde_json::to_vec(&notice).expect("a notice is plain strings");
        let mut builder = Response::builder()
            .status(self.status())
            .header(CONTENT_TYPE, "application/json")
            .header(OUTCOME, self.outcome().text());
        if let Some(wait) = self.retry_after() {
            builder = builder.header(RETRY_AFTER, wait.as_secs_f64().ceil().max(1.0) as u64);
        }
        let body = AnswerBody::Own(Full::new(Bytes::from(text)));
        builder.body(body).expect("the headers are valid")
    }
}

#[derive(Serialize)]
struct Notice<'a> {
    kind: &'a str,
    message: String,
    remedy: &'a str,
}
