//! The answers to operators at the peers' address: what an instance holds, why
//! it would choose a target, and the policies that operators read and apply.
//!
//! | module | its job |
//! |---|---|
//! | [`api`] | JSON types shared with the operators' tool |
//! | `status`, `instances`, `targets`, `quotas` | `GET /status`, `/instances`, `/targets`, `/quotas` |
//! | `policies` | `GET /policies`, `POST /policies` |
//! | `apply`, `stored` | the conditional write of policies to the store; the value there |
//! | `why`, `question` | `GET /why`: a decision that sends nothing |
//! | `refusal` | why a question is refused, with status and message |
//!
//! Owns no state: everything is read from the [`Instance`], or written to the
//! store. Relies on [`crate::decision`] for `why` and [`crate::policy`] for the
//! check of policies.

pub mod api;
mod apply;
mod instances;
mod policies;
mod question;
mod quotas;
mod refusal;
mod status;
mod stored;
mod targets;
mod why;

pub use instances::own_weight;

use crate::net::server::CallerBody;
use crate::platform::Platform;
use crate::proxy::response_body::ResponseBody;
use crate::state::Instance;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Method, Request, Response, StatusCode};
use refusal::Refusal;
use serde::Serialize;

/// Answers an operator; `None` for a method and path that are not theirs.
pub async fn answer<P: Platform>(
    instance: &Instance<P>,
    request: Request<CallerBody>,
) -> Option<Response<ResponseBody>> {
    let answered = match (request.method(), request.uri().path()) {
        (&Method::GET, "/status") => json(&status::status(instance)),
        (&Method::GET, "/targets") => json(&targets::targets(instance)),
        (&Method::GET, "/instances") => json(&instances::instances(instance)),
        (&Method::GET, "/quotas") => json(&quotas::quotas(instance)),
        (&Method::GET, "/policies") => policies::show(instance).and_then(|document| json(&document)),
        (&Method::POST, "/policies") => {
            policies::apply(instance, request.into_body()).await.and_then(|applied| json(&applied))
        }
        (&Method::GET, "/why") => why::why(instance, request.uri()).and_then(|why| json(&why)),
        _ => return None,
    };
    Some(answered.unwrap_or_else(|refusal| respond(refusal.status(), refusal.body())))
}

fn json<T: Serialize>(value: &T) -> Result<Response<ResponseBody>, Refusal> {
    let body = serde_json::to_vec(value).map_err(Refusal::Answer)?;
    Ok(respond(StatusCode::OK, body))
}

fn respond(status: StatusCode, body: Vec<u8>) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::buffered(body));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}
