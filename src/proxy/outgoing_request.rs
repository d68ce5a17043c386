//! A caller's request as it is sent to one target: the time left and the target's id
//! in its headers.

use crate::decision::target::Target;
use crate::net::request_body::RequestBody;
use crate::platform::Platform;
use crate::proxy::caller_request::CallerRequest;
use crate::proxy::incoming_body::IncomingBody;
use hyper::header::{HeaderValue, InvalidHeaderValue};
use hyper::{Request, Version};
use thiserror::Error;
use tokio::time::Instant;

/// Why there is no request to send to a target.
#[derive(Debug, Error)]
pub enum OutgoingError {
    /// The body was streamed to a target before; the caller has to send it again.
    #[error("the body went with an earlier try; the caller has to send the request again")]
    BodyGone,
    /// The target's id is no header value, so that no request can name it.
    #[error("the target's id is no header value; register it without control characters")]
    TargetId(#[from] InvalidHeaderValue),
}

/// The request for `target`.
///
/// # Errors
/// [`OutgoingError`]; the body may be gone then.
pub fn outgoing_request<P: Platform>(
    caller: &CallerRequest<'_, P>,
    body: &mut IncomingBody,
    target: &Target,
) -> Result<Request<RequestBody>, OutgoingError> {
    let mut request = Request::new(body.send().ok_or(OutgoingError::BodyGone)?);
    *request.method_mut() = caller.parts.method.clone();
    *request.uri_mut() = caller.parts.uri.clone();
    *request.version_mut() = Version::HTTP_11;
    *request.headers_mut() = caller.parts.headers.clone();
    let names = &caller.instance.names;
    let left = caller.deadline.saturating_duration_since(Instant::now()).as_millis() as u64;
    request.headers_mut().insert(&names.deadline_ms, HeaderValue::from(left));
    request.headers_mut().insert(&names.expected_target, HeaderValue::from_str(&target.id)?);
    Ok(request)
}
