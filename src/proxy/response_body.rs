//! Bodies of answers on their way to a caller: small and whole, or held while the caller reads.
//!
//! Owns what becomes of a target's connection: it is used again only after the whole answer
//! was read and the whole request sent; dropped before, it is closed, which cancels the
//! request at the target. Relies on the target's pool.

use crate::decision::capacity::in_flight::InFlight;
use crate::decision::registry::target::Target;
use crate::net::keep_alive::KeepAlive;
use crate::net::pool::Connection;
use crate::net::request_body::BodyError;
use crate::proxy::held_answer::HeldAnswer;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Frame, SizeHint};
use hyper::{Response, StatusCode};
use std::cell::Cell;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

/// The body of an answer to a caller.
pub enum ResponseBody {
    /// Whole in memory.
    Buffered(Full<Bytes>),
    /// Held while the caller reads it.
    Held(Box<HeldAnswer>),
}

impl ResponseBody {
    /// An answer without a body.
    pub fn empty(status: StatusCode) -> Response<Self> {
        let mut response = Response::new(ResponseBody::buffered(""));
        *response.status_mut() = status;
        response
    }

    /// A body that is whole in memory.
    pub fn buffered(bytes: impl Into<Bytes>) -> Self {
        ResponseBody::Buffered(Full::new(bytes.into()))
    }
}

/// What becomes of the connection after the whole answer.
pub struct ReusableConnection {
    /// The connection.
    pub connection: Connection,
    /// How long the target keeps it.
    pub keep_alive: KeepAlive,
    /// Whether the request's body was sent whole.
    pub request_sent: Rc<Cell<bool>>,
}

impl ReusableConnection {
    /// Returns the connection to the pool where that is safe, closes it otherwise.
    pub fn release(self, in_flight: &InFlight<Target>) {
        if self.request_sent.get() {
            in_flight.target().pool.keep(self.connection, self.keep_alive);
        }
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match self.get_mut() {
            ResponseBody::Buffered(full) => Pin::new(full).poll_frame(context).map_err(|never| match never {}),
            ResponseBody::Held(held) => Pin::new(held.as_mut()).poll_frame(context),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            ResponseBody::Buffered(full) => full.is_end_stream(),
            ResponseBody::Held(held) => held.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            ResponseBody::Buffered(full) => full.size_hint(),
            ResponseBody::Held(held) => held.size_hint(),
        }
    }
}
