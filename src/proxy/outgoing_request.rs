//! Builds the request for one target: a copy of the caller's request with the remaining time and
//! the target's id in its headers.

use crate::clock::Instant;
use crate::decision::registry::target::Target;
use crate::net::request_body::RequestBody;
use crate::platform::Platform;
use crate::proxy::caller_request::CallerRequest;
use hyper::header::{HeaderValue, InvalidHeaderValue};
use hyper::{Request, Version};
use thiserror::Error;

/// The target's id is not a valid header value, so no request can be addressed to it.
#[derive(Debug, Error)]
#[error("the target's id is not a valid header value; register it without control characters")]
pub struct TargetIdError(#[from] InvalidHeaderValue);

/// Builds the request for `target`.
///
/// # Errors
/// [`TargetIdError`]; the body is lost in that case.
pub fn outgoing_request<P: Platform>(
    caller_request: &CallerRequest<'_, P>,
    body: RequestBody,
    target: &Target,
) -> Result<Request<RequestBody>, TargetIdError> {
    let expected_target = HeaderValue::from_str(&target.id)?;
    let mut request = Request::new(body);
    *request.method_mut() = caller_request.parts.method.clone();
    *request.uri_mut() = caller_request.parts.uri.clone();
    *request.version_mut() = Version::HTTP_11;
    *request.headers_mut() = caller_request.parts.headers.clone();
    let names = &caller_request.instance.names;
    let remaining = caller_request.deadline.saturating_duration_since(Instant::now()).as_millis() as u64;
    request.headers_mut().insert(&names.deadline_ms, HeaderValue::from(remaining));
    request.headers_mut().insert(&names.expected_target, expected_target);
    Ok(request)
}
