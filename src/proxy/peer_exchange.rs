//! Forwards one request to one instance, and prepares its response for the caller.
//!
//! Owns the request's in-flight count at the instance, and the connection, until the response is complete
//! or its reader takes over both. The other instance has checked the response of its target.

use crate::clock::timeout_at;
use crate::decision::capacity::in_flight::InFlight;
use crate::decision::refusal::status_promise::is_passed_on;
use crate::decision::registry::forward_peer::ForwardPeer;
use crate::model::checked::{RetryWait, Seconds};
use crate::model::config::Idempotency;
use crate::model::forwarded::{ANSWERED, OUTCOME_HEADER};
use crate::net::client::ReceivedBody;
use crate::net::headers::remove_hop_by_hop;
use crate::net::keep_alive::KeepAlive;
use crate::net::pool::{Connection, SendError};
use crate::net::request_body::RequestBody;
use crate::proxy::buffered_response::read_body;
use crate::proxy::delivery::Delivery;
use crate::proxy::held_response::Source;
use crate::proxy::refusal::Refusal;
use crate::proxy::response_body::{ResponseBody, ReusableConnection};
use hyper::header::RETRY_AFTER;
use hyper::{HeaderMap, Request, Response, StatusCode};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use thiserror::Error;

/// Why a forwarded request gave no response that can be passed on.
#[derive(Debug, Error)]
pub enum ForwardError {
    /// No connection could be made; returns the request, of which nothing was sent.
    #[error("the instance could not be reached; another one can take the request")]
    Unreachable(Box<Request<RequestBody>>),
    /// The deadline passed while no connection was open yet: nothing was sent.
    #[error("no connection to the instance was open before the deadline and nothing was sent")]
    NotSent,
    /// The instance has not looked at the request: it reaches no target either, is stopping, takes no more
    /// forwarded requests, or is of an earlier version.
    #[error("the instance declined the request; another one can take it")]
    Declined,
    /// The instance refused the request as it refuses those of its callers.
    #[error("the instance refused the request as {}", refusal.as_str())]
    Refused {
        /// The reason.
        refusal: Refusal,
        /// Time after which the caller should try again.
        retry_after: Option<Duration>,
    },
    /// The connection or the response broke off, or cannot be passed on; the request may have run.
    #[error("the instance gave no response that can be passed on and the request may have run")]
    Lost,
    /// The deadline passed; the request may have run.
    #[error("no response arrived before the deadline and the request may have run")]
    TimedOut,
}

/// One request to one instance, and what is needed to send it and to handle its response.
pub struct PeerExchange<'a> {
    /// Counts the request as in flight at the instance.
    pub in_flight: InFlight<ForwardPeer>,
    /// Set once the request's body was sent completely.
    pub request_sent: Rc<Cell<bool>>,
    /// Whether the request may run more than once.
    pub idempotency: Idempotency,
    /// How the response is passed on.
    pub delivery: Delivery<'a>,
}

impl PeerExchange<'_> {
    /// Sends the request and returns the response.
    ///
    /// # Errors
    /// [`ForwardError`].
    pub async fn run(self, request: Request<RequestBody>) -> Result<Response<ResponseBody>, ForwardError> {
        let (deadline, handed_over) = (self.delivery.deadline, Cell::new(false));
        match timeout_at(deadline, self.send(request, &handed_over)).await {
            Ok(result) => result,
            Err(_) if handed_over.get() => Err(ForwardError::TimedOut),
            Err(_) => Err(ForwardError::NotSent),
        }
    }

    async fn send(
        self,
        request: Request<RequestBody>,
        handed_over: &Cell<bool>,
    ) -> Result<Response<ResponseBody>, ForwardError> {
        let sent = self.in_flight.target().pool.send(request, handed_over).await;
        let (response, connection) = sent.map_err(|error| match error {
            SendError::Unsent(request) => ForwardError::Unreachable(request),
            SendError::ConnectionLost | SendError::InvalidResponse => ForwardError::Lost,
        })?;
        let outcome = Outcome::of(&response).ok_or(ForwardError::Declined)?;
        if outcome == Outcome::Answered && !is_passed_on(response.status().as_u16(), self.idempotency) {
            // An instance of an earlier version passes on any status.
            return Err(ForwardError::Lost);
        }
        let response = self.read_response(response, connection).await?;
        match outcome {
            Outcome::Answered => Ok(response),
            Outcome::Refused(refusal) if is_declined(refusal) => Err(ForwardError::Declined),
            Outcome::Refused(refusal) => {
                Err(ForwardError::Refused { refusal, retry_after: retry_after(response.headers()) })
            }
        }
    }

    async fn read_response(
        self,
        response: Response<ReceivedBody>,
        connection: Connection,
    ) -> Result<Response<ResponseBody>, ForwardError> {
        let keep_alive = KeepAlive::from(response.headers());
        let (mut parts, incoming) = response.into_parts();
        remove_hop_by_hop(&mut parts.headers);
        parts.headers.remove(&OUTCOME_HEADER);
        let read = read_body(incoming).await.map_err(|_| ForwardError::Lost)?;
        let connection = ReusableConnection { connection, keep_alive, request_sent: self.request_sent };
        let Self { in_flight, delivery, .. } = self;
        Ok(Response::from_parts(parts, delivery.body(read, Source { connection, in_flight })))
    }
}

/// What became of a forwarded request at the other instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Outcome {
    Answered,
    Refused(Refusal),
}

impl Outcome {
    /// The outcome by the header of the response; `None` without one. A refusal that this version does not
    /// know counts as what its status promises.
    fn of(response: &Response<ReceivedBody>) -> Option<Self> {
        let name = response.headers().get(&OUTCOME_HEADER)?.to_str().ok()?;
        if name == ANSWERED {
            return Some(Outcome::Answered);
        }
        let by_status = match response.status() {
            StatusCode::BAD_GATEWAY => Refusal::Lost,
            StatusCode::GATEWAY_TIMEOUT => Refusal::TimedOut,
            _ => Refusal::NotExecuted,
        };
        Some(Outcome::Refused(Refusal::from_name(name).unwrap_or(by_status)))
    }
}

/// Whether a refusal concerns the other instance alone, so that another one can take the request.
fn is_declined(refusal: Refusal) -> bool {
    matches!(
        refusal,
        Refusal::Isolated
            | Refusal::Stopping
            | Refusal::NoConfig
            | Refusal::NoRoute
            | Refusal::StaleRoutes
            | Refusal::StaleKeys
            | Refusal::HeldResponses
    )
}

fn retry_after(headers: &HeaderMap) -> Option<Duration> {
    let seconds: f64 = headers.get(RETRY_AFTER)?.to_str().ok()?.parse().ok()?;
    RetryWait::try_from(Seconds(seconds)).ok().map(Duration::from)
}
