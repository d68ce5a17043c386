//! Why a try gave no answer that can be passed on.

use crate::decision::failure::next_try::TryOutcome;
use crate::net::request_body::RequestBody;
use hyper::Request;
use thiserror::Error;

/// Why a target gave no answer that can be passed on. What is done then is the rule of
/// [`crate::decision::failure::next_try`].
#[derive(Debug, Error)]
pub enum TryError {
    /// No connection could be made; the request is given back.
    #[error("no connection could be made; another target can take the request")]
    Unreachable(Box<Request<RequestBody>>),
    /// The target said that it did not run the request.
    #[error("the target did not run the request; another target can take it")]
    NotExecuted,
    /// The target said that it did not run the request, though it had a free slot.
    #[error("the target sheds load and did not run the request; the same target can take it")]
    Shed,
    /// What came is no answer that can be passed on; the request may have run.
    #[error("the answer cannot be passed on and the request may have run; repeat it only if its route is safe")]
    Lost,
    /// The connection ended before an answer began; the request may have run.
    #[error("the connection ended without an answer and the request may have run; repeat it only if its route is safe")]
    NoResponse,
    /// The deadline passed without an answer; the request may have run.
    #[error("no answer came before the deadline and the request may have run; give it more time")]
    TimedOut,
}

impl TryError {
    /// What it means for the request.
    pub fn outcome(&self) -> TryOutcome {
        match self {
            TryError::Unreachable(_) => TryOutcome::Unreachable,
            TryError::NotExecuted => TryOutcome::NotExecuted,
            TryError::Shed => TryOutcome::Shed,
            TryError::Lost | TryError::NoResponse => TryOutcome::Lost,
            TryError::TimedOut => TryOutcome::TimedOut,
        }
    }
}
