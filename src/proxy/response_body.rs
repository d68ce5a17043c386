//! Bodies of responses to callers: small ones in memory, larger ones held while the caller reads.
//!
//! Owns the decision whether a target's connection is reused: only after the complete response
//! was read and the complete request was sent. A connection that is dropped earlier is closed,
//! which cancels the request at the target. Relies on the target's pool.

use crate::net::keep_alive::KeepAlive;
use crate::net::pool::{Connection, Pool};
use crate::net::request_body::BodyError;
use crate::proxy::held_response::HeldResponse;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Frame, SizeHint};
use hyper::{Response, StatusCode};
use std::cell::Cell;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

/// The body of a response to a caller.
pub enum ResponseBody {
    /// Complete and in memory.
    Buffered(Full<Bytes>),
    /// Held while the caller reads it ([`HeldResponse`]).
    Held(Box<HeldResponse>),
}

impl ResponseBody {
    /// A response with this status and an empty body.
    pub fn empty(status: StatusCode) -> Response<Self> {
        let mut response = Response::new(ResponseBody::buffered(""));
        *response.status_mut() = status;
        response
    }

    /// Count of the bytes that are held because the caller's connection has not taken them yet. A small body
    /// is taken at once.
    pub fn held_count(&self) -> Rc<Cell<u64>> {
        match self {
            ResponseBody::Buffered(_) => Rc::default(),
            ResponseBody::Held(held) => held.held_count(),
        }
    }

    /// A body that is complete and in memory.
    pub fn buffered(bytes: impl Into<Bytes>) -> Self {
        ResponseBody::Buffered(Full::new(bytes.into()))
    }
}

/// A connection to a target that may be reused after the complete response.
pub struct ReusableConnection {
    /// The connection.
    pub connection: Connection,
    /// How long the target keeps it open.
    pub keep_alive: KeepAlive,
    /// Whether the request's body was sent completely.
    pub request_sent: Rc<Cell<bool>>,
}

impl ReusableConnection {
    /// Returns the connection to the pool if the request was sent completely; closes it otherwise.
    pub fn release(self, pool: &Pool) {
        if self.request_sent.get() {
            pool.put_idle(self.connection, self.keep_alive);
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
