//! Body of a request as it is read from its connection.
//!
//! Owns nothing. Relies on hyper. hyper's body type cannot be constructed outside hyper, so requests that
//! are processed before hyper has read them, none of which has a body, get [`CallerBody::Empty`].

use hyper::body::{Body, Bytes, Frame, Incoming, SizeHint};
use std::pin::Pin;
use std::task::{Context, Poll};

/// Body of a request of a caller.
#[derive(Debug)]
pub enum CallerBody {
    /// The request has no body.
    Empty,
    /// The body is read from the connection.
    Streamed(Incoming),
}

impl From<Incoming> for CallerBody {
    fn from(incoming: Incoming) -> Self {
        if incoming.is_end_stream() { CallerBody::Empty } else { CallerBody::Streamed(incoming) }
    }
}

impl Body for CallerBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        match self.get_mut() {
            CallerBody::Empty => Poll::Ready(None),
            CallerBody::Streamed(incoming) => Pin::new(incoming).poll_frame(context),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            CallerBody::Empty => true,
            CallerBody::Streamed(incoming) => incoming.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            CallerBody::Empty => SizeHint::with_exact(0),
            CallerBody::Streamed(incoming) => incoming.size_hint(),
        }
    }
}
