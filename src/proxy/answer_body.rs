//! Bodies of answers on their way to a caller: buffered, or streamed.
//!
//! Owns the connection of a streamed answer until its end, and its place among the
//! target's requests in flight. A connection is used again only after the whole answer
//! was read and the whole request sent; dropped before, it is closed, which cancels the
//! request at the target. Relies on the target's pool.

use crate::clock::Sleep;
use crate::decision::capacity::in_flight::InFlight;
use crate::decision::registry::target::Target;
use crate::net::chunks::size_with_rest;
use crate::net::keep_alive::KeepAlive;
use crate::net::pool::Connection;
use crate::net::request_body::BodyError;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::{Response, StatusCode};
use std::cell::Cell;
use std::collections::VecDeque;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

/// The body of an answer to a caller.
pub enum AnswerBody {
    /// Whole in memory.
    Buffered(Full<Bytes>),
    /// Streamed from a target.
    Streamed(Box<StreamedAnswer>),
}

impl AnswerBody {
    /// An answer without a body.
    pub fn empty(status: StatusCode) -> Response<Self> {
        let mut response = Response::new(AnswerBody::buffered(""));
        *response.status_mut() = status;
        response
    }

    /// A body that is whole in memory.
    pub fn buffered(bytes: impl Into<Bytes>) -> Self {
        AnswerBody::Buffered(Full::new(bytes.into()))
    }
}

/// What becomes of the connection after the whole answer.
pub struct Reuse {
    /// The connection.
    pub connection: Connection,
    /// How long the target keeps it.
    pub keep_alive: KeepAlive,
    /// Whether the request's body was sent whole.
    pub sent: Rc<Cell<bool>>,
}

impl Reuse {
    /// Returns the connection to the pool where that is safe, closes it otherwise.
    pub fn settle(self, in_flight: &InFlight<Target>) {
        if self.sent.get() {
            in_flight.target().pool.keep(self.connection, self.keep_alive);
        }
    }
}

/// An answer's body streamed through until a deadline.
pub struct StreamedAnswer {
    /// What was read before.
    pub head: VecDeque<Bytes>,
    /// The rest.
    pub rest: Incoming,
    /// When it is broken off.
    pub deadline: Pin<Box<Sleep>>,
    /// Its connection and its place at the target.
    pub carrier: Option<(Reuse, InFlight<Target>)>,
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match self.get_mut() {
            AnswerBody::Buffered(full) => Pin::new(full).poll_frame(context).map_err(|never| match never {}),
            AnswerBody::Streamed(streamed) => streamed.poll_frame(context),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            AnswerBody::Buffered(full) => full.is_end_stream(),
            AnswerBody::Streamed(streamed) => streamed.head.is_empty() && streamed.rest.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            AnswerBody::Buffered(full) => full.size_hint(),
            AnswerBody::Streamed(streamed) => size_with_rest(&streamed.head, streamed.rest.size_hint()),
        }
    }
}

impl StreamedAnswer {
    fn poll_frame(&mut self, context: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if let Some(chunk) = self.head.pop_front() {
            return Poll::Ready(Some(Ok(Frame::data(chunk))));
        }
        if self.deadline.as_mut().poll(context).is_ready() {
            self.carrier = None;
            return Poll::Ready(Some(Err(BodyError::Late)));
        }
        let polled = std::task::ready!(Pin::new(&mut self.rest).poll_frame(context));
        match polled {
            Some(Ok(frame)) => Poll::Ready(Some(Ok(frame))),
            Some(Err(error)) => {
                self.carrier = None;
                Poll::Ready(Some(Err(error.into())))
            }
            None => {
                if let Some((reuse, in_flight)) = self.carrier.take() {
                    reuse.settle(&in_flight);
                }
                Poll::Ready(None)
            }
        }
    }
}
