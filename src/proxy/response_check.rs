//! Checks whether a response may be passed on: it belongs to the request, the target ran the request, a
//! success carries the target's signature, and a failure promises nothing that does not hold.
//!
//! Reads only the head of the response and changes no state. [`crate::proxy::exchange`] records
//! what a failed check means for the target.

use crate::decision::capacity::load_report::{LoadReport, LoadReportError};
use crate::decision::capacity::rate_limit::LimitSignal;
use crate::decision::failure::pause::PauseSignal;
use crate::decision::refusal::status_promise::is_passed_on;
use crate::decision::registry::signals::{LeavingSignal, ResponseSignals};
use crate::model::config::Idempotency;
use crate::platform::HeaderNames;
use hyper::header::{HeaderValue, RETRY_AFTER};
use hyper::{HeaderMap, Response, StatusCode};

/// Why a response may not be passed on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseError {
    /// Its request id is not that of the request, is there more than once, or is missing and the response
    /// does not state that the request did not run.
    WrongRequestId,
    /// Another target has taken over the address (421); the request did not run.
    Misdirected,
    /// The target reports that it did not run the request.
    NotExecuted,
    /// Its status promises callers that the request did not run, which the target does not say, and which
    /// counts for a request that may run once.
    UnprovenPromise,
    /// A success without one signature of the target: something other than the target responded, or the
    /// head of one response was broken off and followed by that of another.
    Unsigned,
}

/// Checks the response to the request with this id, which may run as often as `idempotency` says.
///
/// # Errors
/// [`ResponseError`], the first that applies.
pub fn check<B>(
    names: &HeaderNames,
    id: Option<&HeaderValue>,
    idempotency: Idempotency,
    response: &Response<B>,
) -> Result<(), ResponseError> {
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
    if !is_passed_on(response.status().as_u16(), idempotency) {
        return Err(ResponseError::UnprovenPromise);
    }
    if response.status().is_success() && headers.get_all(&names.signature).iter().count() != 1 {
        return Err(ResponseError::Unsigned);
    }
    Ok(())
}

/// Whether the response carries the request's id. A response without one is accepted if the request
/// has none either, or if the response states that the request did not run.
fn has_request_id(names: &HeaderNames, id: Option<&HeaderValue>, headers: &HeaderMap) -> bool {
    let mut ids = headers.get_all(&names.request_id).iter();
    match (ids.next(), id) {
        (Some(received), Some(sent)) => received == sent && ids.next().is_none(),
        (None, None) => true,
        (None, Some(_)) => headers.contains_key(&names.not_executed),
        (Some(_), None) => false,
    }
}

/// The load that the target reports in a response; `None` if it reports none.
///
/// # Errors
/// [`LoadReportError`] if the report is invalid.
pub fn load_report(names: &HeaderNames, headers: &HeaderMap) -> Result<Option<LoadReport>, LoadReportError> {
    let Some(value) = headers.get(&names.load) else { return Ok(None) };
    let text = value.to_str().map_err(|_| LoadReportError::NotText)?;
    LoadReport::parse(text).map(Some)
}

/// The signals about the target in the headers of a response. `Retry-After` counts as a pause only
/// if the target rejects the request (503 or 429): in other responses it does not mean that the target
/// wants no further requests.
pub fn response_signals<B>(names: &HeaderNames, response: &Response<B>) -> ResponseSignals {
    let values = |name| response.headers().get_all(name).iter().map(HeaderValue::as_bytes);
    let is_rejection = matches!(response.status(), StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS);
    let pause = if is_rejection { PauseSignal::parse(values(&RETRY_AFTER)) } else { PauseSignal::None };
    ResponseSignals {
        limit: LimitSignal::parse(values(&names.rate_limit)),
        leaving: LeavingSignal::parse(values(&names.leaving)),
        pause,
        is_rejection,
    }
}
