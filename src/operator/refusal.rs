//! Why an operator's question is refused, each with the status and the message
//! of the answer.

use super::api::Refused;
use super::apply::ApplyError;
use crate::policy::DocumentError;
use hyper::StatusCode;
use hyper::header::{InvalidHeaderName, InvalidHeaderValue};
use hyper::http::method::InvalidMethod;
use hyper::http::uri::InvalidUri;
use thiserror::Error;

/// A refused question.
#[derive(Debug, Error)]
pub enum Refusal {
    /// The view of the store has no policies.
    #[error("no policies are in force; remedy: `lockloft apply` some")]
    NoPolicies,
    /// The view of the store has no policies, and those whose key was removed are in force.
    #[error(
        "the store has no policies, but revision {in_force} stays in force; remedy: `lockloft apply` the policies that you want, or an empty file for none"
    )]
    PoliciesRemoved {
        /// Revision of the policies in force.
        in_force: u64,
    },
    /// The view has a policy document that cannot be read.
    #[error("the policies in the store cannot be read ({error}); {}; remedy: `lockloft apply` replaces them", stays(*.in_force))]
    Document {
        /// What is wrong with it.
        error: DocumentError,
        /// Revision of the policies in force; 0 where there are none.
        in_force: u64,
    },
    /// The body of an apply is larger than its limit.
    #[error("the body has more than {0} bytes; remedy: put fewer labels on single targets")]
    TooLarge(usize),
    /// The body of an apply did not arrive whole.
    #[error("the body broke off ({0}) and nothing was applied; remedy: send it again")]
    BrokenBody(Box<dyn std::error::Error + Send + Sync>),
    /// The body of an apply has not the form of one.
    #[error(transparent)]
    Request(serde_json::Error),
    /// The policies were not applied.
    #[error(transparent)]
    Apply(#[from] ApplyError),
    /// There is no configuration to decide by yet.
    #[error("this instance has no configuration yet; ask another instance")]
    NoConfig,
    /// No route takes the request in question.
    #[error("no route takes this host and path; correct them or add a route")]
    NoRoute,
    /// There is no tenant of the name in question.
    #[error("the configuration in force has no tenant of this name; correct it")]
    NoTenant,
    /// A key of a question is missing.
    #[error("{0} is missing; give {0}=VALUE")]
    MissingKey(&'static str),
    /// A key of a question names no header.
    #[error(transparent)]
    HeaderName(#[from] InvalidHeaderName),
    /// A question's header cannot have this value.
    #[error(transparent)]
    HeaderValue(#[from] InvalidHeaderValue),
    /// A question's method is none.
    #[error(transparent)]
    Method(#[from] InvalidMethod),
    /// A question's path is none.
    #[error(transparent)]
    Path(#[from] InvalidUri),
    /// An answer has no form in JSON: a fault of this program.
    #[error(transparent)]
    Answer(serde_json::Error),
}

impl Refusal {
    /// Status of the answer.
    pub fn status(&self) -> StatusCode {
        match self {
            Self::NoPolicies | Self::PoliciesRemoved { .. } | Self::NoRoute | Self::NoTenant => StatusCode::NOT_FOUND,
            Self::TooLarge(_) => StatusCode::PAYLOAD_TOO_LARGE,
            Self::Apply(error) => error.status(),
            Self::NoConfig => StatusCode::SERVICE_UNAVAILABLE,
            Self::Document { .. } | Self::Answer(_) => StatusCode::INTERNAL_SERVER_ERROR,
            Self::BrokenBody(_)
            | Self::Request(_)
            | Self::MissingKey(_)
            | Self::HeaderName(_)
            | Self::HeaderValue(_)
            | Self::Method(_)
            | Self::Path(_) => StatusCode::BAD_REQUEST,
        }
    }

    /// The answer's body.
    pub fn body(&self) -> Vec<u8> {
        let refused = Refused { message: self.to_string() };
        serde_json::to_vec(&refused).expect("a message is a plain string")
    }
}

/// What is in force beside policies in the store that are not.
pub fn stays(in_force: u64) -> String {
    match in_force {
        0 => "no policies are in force".to_owned(),
        in_force => format!("revision {in_force} stays in force"),
    }
}
