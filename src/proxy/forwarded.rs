//! Takes requests that other instances forward because they cannot reach the targets themselves.
//!
//! Such a request is processed as that of a caller is, except that its quota was charged and the retry
//! budget was paid into where the caller sent it, that policies and the region's weight go by that
//! instance, and that it is not forwarded on. It is declined unless targets have lately answered this
//! instance, so that two isolated instances do not pass requests to each other.
//!
//! Owns nothing. Relies on [`crate::state::Forwarding`] for the bounds.

use crate::clock::{Instant, timeout};
use crate::decision::failure::isolation::{PROBE_TIMEOUT, Reach};
use crate::model::forwarded::{ForwardedHead, ForwardedHeadError, HEAD_HEADER, OUTCOME_HEADER};
use crate::net::server::CallerBody;
use crate::platform::Platform;
use crate::proxy::link_probes;
use crate::proxy::origin::{Entry, Origin};
use crate::proxy::refusal::Refusal;
use crate::proxy::request::{self, Ended};
use crate::proxy::response_body::ResponseBody;
use crate::state::Instance;
use hyper::header::HeaderValue;
use hyper::{Request, Response, StatusCode};
use std::rc::Rc;
use std::time::Duration;
use thiserror::Error;

/// Why a forwarded request cannot be read.
#[derive(Debug, Error)]
pub enum ForwardedRequestError {
    /// Its header cannot be used.
    #[error(transparent)]
    Head(#[from] ForwardedHeadError),
    /// The caller's method is invalid.
    #[error("the forwarded method is invalid: {0}")]
    Method(#[from] hyper::http::method::InvalidMethod),
    /// The caller's path is invalid.
    #[error("the forwarded path is invalid: {0}")]
    Path(#[from] hyper::http::uri::InvalidUri),
}

/// Answers a forwarded request.
pub async fn serve<P: Platform>(instance: &Rc<Instance<P>>, request: Request<CallerBody>) -> Response<ResponseBody> {
    let (request, entry) = match read(instance, request) {
        Ok(read) => read,
        Err(error) => {
            tracing::warn!(event = "forwarded_refused", %error);
            return ResponseBody::empty(StatusCode::BAD_REQUEST);
        }
    };
    if !entry.is_uncertain {
        instance.forwarding.record_forwarder(&entry.name, Instant::now());
    }
    let Some(_taken) = instance.take_forwarded() else { return declined(instance) };
    if !has_contact(instance).await {
        return declined(instance);
    }
    let _under_way = instance.requests.track();
    let Ended { outcome, response } = request::handle(instance, request, Origin::Instance(entry)).await;
    instance.metrics.forwarded_here.with_label_values(&[outcome]).inc();
    with_outcome(response, outcome)
}

/// Restores the caller's request, and finds out where it was sent to.
fn read<P: Platform>(
    instance: &Instance<P>,
    request: Request<CallerBody>,
) -> Result<(Request<CallerBody>, Entry), ForwardedRequestError> {
    let (mut parts, body) = request.into_parts();
    let head = ForwardedHead::try_from(parts.headers.remove(HEAD_HEADER).as_ref())?;
    parts.method = head.method.parse()?;
    parts.uri = head.path.parse()?;
    Ok((Request::from_parts(parts, body), Entry::new(instance, &head)))
}

/// Whether targets answer this instance. If that is not known, probes find out.
async fn has_contact<P: Platform>(instance: &Rc<Instance<P>>) -> bool {
    let answered = instance.links.answered();
    if instance.links.has_contact() {
        return true;
    }
    if instance.links.reach() == Reach::Targets {
        link_probes::start_round(instance);
        // Whether it was answered or not, the evidence decides.
        let _ = timeout(PROBE_TIMEOUT, answered).await;
    }
    instance.links.has_contact()
}

fn declined<P: Platform>(instance: &Instance<P>) -> Response<ResponseBody> {
    let refusal = Refusal::Isolated;
    instance.metrics.forwarded_here.with_label_values(&["declined"]).inc();
    with_outcome(refusal.response(Duration::ZERO), refusal.as_str())
}

fn with_outcome(mut response: Response<ResponseBody>, outcome: &'static str) -> Response<ResponseBody> {
    response.headers_mut().insert(OUTCOME_HEADER, HeaderValue::from_static(outcome));
    response
}
