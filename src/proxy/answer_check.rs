//! Whether an answer may be passed on: it is ours, its target ran the request, and a
//! success is signed.
//!
//! Looks at the head of the answer alone and changes nothing. What a failed check
//! means for the target is [`crate::proxy::exchange`]'s business.

use crate::decision::capacity::load_report::{LoadReport, LoadReportError};
use crate::decision::capacity::rate_limit::LimitSignal;
use crate::decision::failure::pause::PauseSignal;
use crate::decision::registry::signals::{LeavingSignal, ResponseSignals};
use crate::platform::HeaderNames;
use hyper::header::{HeaderValue, RETRY_AFTER};
use hyper::{HeaderMap, Response, StatusCode};

/// Why an answer may not be passed on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerError {
    /// It bears the identity of another request.
    Foreign,
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
/// [`AnswerError`], the first that applies.
pub fn check<B>(names: &HeaderNames, id: Option<&HeaderValue>, response: &Response<B>) -> Result<(), AnswerError> {
    let headers = response.headers();
    if !is_ours(names, id, headers) {
        return Err(AnswerError::Foreign);
    }
    if response.status() == StatusCode::MISDIRECTED_REQUEST {
        return Err(AnswerError::Misdirected);
    }
    if headers.contains_key(&names.not_executed) {
        return Err(AnswerError::NotExecuted);
    }
    if response.status().is_success() && !headers.contains_key(&names.signature) {
        return Err(AnswerError::Unsigned);
    }
    Ok(())
}

/// Whether the answer bears the request's identity. An answer without one can only
/// say that nothing ran.
fn is_ours(names: &HeaderNames, id: Option<&HeaderValue>, headers: &HeaderMap) -> bool {
    match (headers.get(&names.request_id), id) {
        (Some(answered), Some(asked)) => answered == asked,
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
    let text = value.to_str().map_err(|_| LoadReportError::NotText)?;
    LoadReport::parse(text).map(Some)
}

/// What the target says of itself with the answer. Only one that turns a request away says how long it
/// wants no other.
pub fn stated<B>(names: &HeaderNames, response: &Response<B>) -> ResponseSignals {
    let values = |name| response.headers().get_all(name).iter().map(HeaderValue::as_bytes);
    let turns_away = matches!(response.status(), StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS);
    let pause = if turns_away { PauseSignal::parse(values(&RETRY_AFTER)) } else { PauseSignal::None };
    ResponseSignals {
        limit: LimitSignal::parse(values(&names.rate_limit)),
        leaving: LeavingSignal::parse(values(&names.leaving)),
        pause,
        is_rejection: turns_away,
    }
}
