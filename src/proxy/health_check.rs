//! Builds health checks of targets.
//!
//! Owns nothing. Relies on the names of the platform's headers.

use crate::decision::registry::target::Target;
use crate::net::request_body::RequestBody;
use crate::platform::HeaderNames;
use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::header::{HOST, HeaderValue, InvalidHeaderValue};

/// The id of the target or the path of its health check is invalid: no health check can be sent, and a
/// target with such an id gets no requests either.
pub struct InvalidHealthCheck;

impl From<InvalidHeaderValue> for InvalidHealthCheck {
    fn from(_: InvalidHeaderValue) -> Self {
        Self
    }
}

/// A health check that only `target` answers with a success.
///
/// # Errors
/// [`InvalidHealthCheck`].
pub fn health_check(
    target: &Target,
    names: &HeaderNames,
    path: &str,
) -> Result<Request<RequestBody>, InvalidHealthCheck> {
    let mut request = Request::new(RequestBody::Buffered(Full::new(Bytes::new())));
    *request.uri_mut() = path.parse().map_err(|_| InvalidHealthCheck)?;
    request.headers_mut().insert(HOST, HeaderValue::from_str(&target.pool.address().to_string())?);
    request.headers_mut().insert(&names.expected_target, HeaderValue::from_str(&target.id)?);
    Ok(request)
}
