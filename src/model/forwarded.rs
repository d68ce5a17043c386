//! The header by which an instance forwards a caller's request to another instance, and the header of the
//! response that says what became of it.
//!
//! A forwarded request is a POST to [`FORWARD_PATH`] at the address for peers, with the caller's headers and
//! body. An instance of an earlier version does not know the path and answers 404, without the header of
//! the response: it has not looked at the request.

use hyper::header::{HeaderName, HeaderValue};
use serde::de::Error as _;
use serde::{Deserialize, Deserializer, Serialize};
use thiserror::Error;

/// Path at which an instance takes forwarded requests.
pub const FORWARD_PATH: &str = "/forwarded";
/// Header of a forwarded request: a [`ForwardedHead`] as JSON.
pub const HEAD_HEADER: HeaderName = HeaderName::from_static("entry-forwarded");
/// Outcome of a request that got a target's response, in that header, in metrics and in the access log.
pub const ANSWERED: &str = "answered";
/// Header of the response: [`ANSWERED`], or the name of the refusal.
pub const OUTCOME_HEADER: HeaderName = HeaderName::from_static("entry-outcome");

/// What the headers and the body of a forwarded request do not say.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ForwardedHead {
    /// Name of the instance that the caller sent the request to.
    pub by: String,
    /// The caller's method.
    pub method: String,
    /// The caller's path and query.
    pub path: String,
    /// Tries that have reached a target.
    #[serde(default, deserialize_with = "sends")]
    pub sends: u32,
    /// Whether that instance may reach targets itself. Absent where it does not, and from earlier versions.
    #[serde(default, skip_serializing_if = "is_false")]
    pub uncertain: bool,
}

fn is_false(value: &bool) -> bool {
    !value
}

/// Maximum number of tries: they are made within one deadline.
const MAX_SENDS: u32 = 1 << 16;

fn sends<'de, D: Deserializer<'de>>(deserializer: D) -> Result<u32, D::Error> {
    let sends = u32::deserialize(deserializer)?;
    if sends > MAX_SENDS {
        return Err(D::Error::custom(format!("there are more than {MAX_SENDS} tries")));
    }
    Ok(sends)
}

/// Why the header of a forwarded request cannot be used.
#[derive(Debug, Error)]
pub enum ForwardedHeadError {
    /// It is absent.
    #[error("a forwarded request has no header {HEAD_HEADER}; only instances use this path")]
    Missing,
    /// It cannot be decoded.
    #[error("the header {HEAD_HEADER} cannot be decoded: {0}; check the version of the instance that sent it")]
    Invalid(#[from] serde_json::Error),
}

impl ForwardedHead {
    /// The value of the header; `None` if the path is no valid header value.
    pub fn to_header(&self) -> Option<HeaderValue> {
        HeaderValue::from_bytes(&serde_json::to_vec(self).ok()?).ok()
    }
}

impl TryFrom<Option<&HeaderValue>> for ForwardedHead {
    type Error = ForwardedHeadError;

    fn try_from(header: Option<&HeaderValue>) -> Result<Self, ForwardedHeadError> {
        let header = header.ok_or(ForwardedHeadError::Missing)?;
        Ok(serde_json::from_slice(header.as_bytes())?)
    }
}
