//! Whether an answer may be passed on: it is ours, its target ran the request, and a
//! success is signed.
//!
//! Looks at the head of the answer alone and changes nothing. What a failed check
//! means for the target is [`crate::proxy::exchange`]'s business.

use crate::decision::capacity::load_report::{LoadReport, LoadReportError};
use crate::decision::capacity::rate_limit::StatedLimit;
use crate::decision::failure::pause::PauseSignal;
use crate::decision::registry::statements::{Stated, StatedLeaving};
use crate::platform::HeaderNames;
use hyper::header::{HeaderValue, RETRY_AFTER};
use hyper::{HeaderMap, Response, StatusCode};

/// Why an answer may not be passed on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseError {
    /// It bears the identity of another request.
    WrongRequestId,
    /// Another target has taken over the address; nothing ran.
    Misdirected,
    /// The target says that it did not run the request.
    NotExecuted,
    /// A success without the target's signature: something else answered.
    Unsigned,
}

/// Checks the answer to the request with this identity.
///
/// # Errors
/// [`ResponseError`], the first that applies.
pub fn check<B>(names: &HeaderNames, id: Option<&HeaderValue>, response: &Response<B>) -> Result<(), ResponseError> {
    let headers = response.headers();
    if !has_request_id(names, id, headers) {
        return Err(ResponseError::WrongRequestId);
    }
    if response.status() == StatusCode::MISDIRECTED_REQUEST {
        return Err(ResponseError::Misdirected);
    }
    if headers.contains_key(&names.not_executed) {
        return Err(ResponseError::NotExecuted);
    }
    if response.status().is_success() && !headers.contains_key(&names.signature) {
        return Err(ResponseError::Unsigned);
    }
    Ok(())
}

/// Whether the answer bears the request's identity. An answer without one can only
/// say that nothing ran.
fn has_request_id(names: &HeaderNames, id: Option<&HeaderValue>, headers: &HeaderMap) -> bool {
    match (headers.get(&names.request_id), id) {
        (Some(received), Some(sent)) => received == sent,
        (None, None) => true,
        (None, Some(_)) => headers.contains_key(&names.not_executed),
        (Some(_), None) => false,
    }
}

/// The load that the target reports with an answer; `None` where it reports none.
///
/// # Errors
/// [`LoadReportError`] where it cannot be read.
pub fn load_report(names: &HeaderNames, headers: &HeaderMap) -> Result<Option<LoadReport>, LoadReportError> {
    let Some(value) = headers.get(&names.load) else { return Ok(None) };
    let text = value.to_str().map_err(|_| LoadReportError::NoText)?;
    LoadReport::parse(text).map(Some)
}

/// What the target says of itself with the answer. Only one that turns a request away says how long it
/// wants no other.
pub fn response_signals<B>(names: &HeaderNames, response: &Response<B>) -> Stated {
    let values = |name| response.headers().get_all(name).iter().map(HeaderValue::as_bytes);
    let turns_away = matches!(response.status(), StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS);
    let pause = if turns_away { PauseSignal::parse(values(&RETRY_AFTER)) } else { PauseSignal::None };
    Stated {
        limit: StatedLimit::parse(values(&names.rate_limit)),
        leaving: StatedLeaving::parse(values(&names.leaving)),
        pause,
        turns_away,
    }
}
