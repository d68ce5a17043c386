//! A request's body as its connection gives it.
//!
//! Owns nothing. Relies on hyper, whose body cannot be made by hand: a request that was read ahead
//! has none.

use hyper::body::{Body, Bytes, Frame, Incoming, SizeHint};
use std::pin::Pin;
use std::task::{Context, Poll};

/// The body of a request.
#[derive(Debug)]
pub enum CallerBody {
    /// There is none.
    Empty,
    /// It is read from the connection.
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
