//! Reasons why a single try fails.

use crate::decision::failure::next_try::TryOutcome;
use crate::net::request_body::RequestBody;
use hyper::Request;
use thiserror::Error;

/// Why a try gave no response that can be passed on. [`crate::decision::failure::next_try`] decides
/// what happens next.
#[derive(Debug, Error)]
pub enum TryError {
    /// No connection could be made; returns the request, of which nothing was sent.
    #[error("no connection could be made; another target can take the request")]
    Unreachable(Box<Request<RequestBody>>),
    /// The deadline passed while no connection was open yet: nothing was sent.
    #[error("no connection was open before the deadline and nothing was sent; give the request more time")]
    NotSent,
    /// The target reported that it did not run the request.
    #[error("the target did not run the request; another target can take it")]
    NotExecuted,
    /// The target reported that it did not run the request, although it had a free slot.
    #[error("the target sheds load and did not run the request; the same target can take it")]
    Shed,
    /// A response began but cannot be passed on: it is invalid or unsigned, belongs to another request, broke
    /// off, or promises that the request has not run. The request may have run.
    #[error("the response cannot be passed on and the request may have run; repeat it only if its route is safe")]
    UnusableResponse,
    /// The connection closed before a response began; the request may have run.
    #[error(
        "the connection closed without a response and the request may have run; repeat it only if its route is safe"
    )]
    ConnectionLost,
    /// The deadline passed without a response; the request may have run.
    #[error("no response arrived before the deadline and the request may have run; give it more time")]
    TimedOut,
}

impl TryError {
    /// The outcome by which the retry rule decides.
    pub fn outcome(&self) -> TryOutcome {
        match self {
            TryError::Unreachable(_) | TryError::NotSent => TryOutcome::Unreachable,
            TryError::NotExecuted => TryOutcome::NotExecuted,
            TryError::Shed => TryOutcome::Shed,
            TryError::UnusableResponse | TryError::ConnectionLost => TryOutcome::Lost,
            TryError::TimedOut => TryOutcome::TimedOut,
        }
    }
}
