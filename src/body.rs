//! Bodies on their way: requests towards targets, answers towards callers.

use crate::pace::Pace;
use crate::pool::Conn;
use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use http_body_util::Full;
use hyper::body::Incoming;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Instant;
use thiserror::Error;
use tokio::time::Sleep;

/// Why a body ended early. The connection that carries it is cut, so that
/// the other side sees the break.
#[derive(Debug, Error)]
pub enum BodyError {
    /// The side that sends it failed.
    #[error("the body broke off: {0}")]
    Broken(#[from] hyper::Error),
    /// The deadline passed.
    #[error("the deadline passed in the middle of the body")]
    Late,
    /// More bytes came than are allowed.
    #[error("the body exceeds its limit")]
    TooLarge,
}

/// A request body towards a target or another instance.
#[derive(Debug)]
pub enum OutBody {
    /// Held in memory, so it can be sent again.
    Whole(Full<Bytes>),
    /// Passed through as it comes.
    Stream(Through),
}

/// A request body that is passed through.
#[derive(Debug)]
pub struct Through {
    /// The body.
    pub incoming: Incoming,
    /// Bytes that may still come.
    pub left: u64,
    /// Pace of the link it goes over, if that has one.
    pub pace: Option<Pace>,
}

impl Through {
    fn poll_frame(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if let Some(pace) = &mut self.pace {
            std::task::ready!(pace.poll_ready(cx));
        }
        let frame = std::task::ready!(Pin::new(&mut self.incoming).poll_frame(cx));
        if let Some(Ok(frame)) = &frame
            && let Some(data) = frame.data_ref()
        {
            let size = data.len() as u64;
            if size > self.left {
                return Poll::Ready(Some(Err(BodyError::TooLarge)));
            }
            self.left -= size;
            self.pace.iter().for_each(|p| p.passed(data.len()));
        }
        Poll::Ready(frame.map(|f| f.map_err(BodyError::from)))
    }
}

impl OutBody {
    /// A body held in memory.
    pub fn whole(bytes: Bytes) -> Self {
        OutBody::Whole(Full::new(bytes))
    }
}

impl Body for OutBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match self.get_mut() {
            OutBody::Whole(full) => Pin::new(full).poll_frame(cx).map_err(|never| match never {}),
            OutBody::Stream(through) => through.poll_frame(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            OutBody::Whole(full) => full.is_end_stream(),
            OutBody::Stream(through) => through.incoming.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            OutBody::Whole(full) => full.size_hint(),
            OutBody::Stream(through) => through.incoming.size_hint(),
        }
    }
}

/// Something that is told when a carried answer ended.
pub trait Watcher: Send + Unpin {
    /// The answer was passed on whole (`true`) or broke off.
    fn ended(&mut self, whole: bool);
}

/// An answer body from a target or another instance, passed through.
///
/// The connection goes back to its pool only after the last byte was read;
/// dropped earlier, it is closed.
pub struct Carried<W> {
    incoming: Incoming,
    prefix: Option<Bytes>,
    conn: Option<Conn>,
    deadline: Pin<Box<Sleep>>,
    pace: Option<Pace>,
    watcher: W,
}

impl<W: Watcher> Carried<W> {
    /// Passes on `incoming`, which arrives over `conn`, until `deadline`.
    pub fn new(incoming: Incoming, conn: Conn, deadline: Instant, watcher: W) -> Self {
        let deadline = Box::pin(tokio::time::sleep_until(deadline.into()));
        Self { incoming, prefix: None, conn: Some(conn), deadline, pace: None, watcher }
    }

    /// Keeps the body to the pace of the link it comes over.
    pub fn set_pace(&mut self, pace: Option<Pace>) {
        self.pace = pace;
    }

    /// Puts back bytes that were read before.
    pub fn with_prefix(mut self, prefix: Bytes) -> Self {
        self.prefix = Some(prefix);
        self
    }

    fn finish(&mut self, whole: bool) {
        let Some(conn) = self.conn.take() else { return };
        if whole {
            conn.keep();
        }
        self.watcher.ended(whole);
    }
}

impl<W: Watcher> Body for Carried<W> {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let this = self.get_mut();
        if let Some(prefix) = this.prefix.take() {
            return Poll::Ready(Some(Ok(Frame::data(prefix))));
        }
        let held = this.pace.as_mut().is_some_and(|pace| pace.poll_ready(cx).is_pending());
        let polled = if held { Poll::Pending } else { Pin::new(&mut this.incoming).poll_frame(cx) };
        match polled {
            Poll::Ready(None) => {
                this.finish(true);
                Poll::Ready(None)
            }
            Poll::Ready(Some(Err(error))) => {
                this.finish(false);
                Poll::Ready(Some(Err(error.into())))
            }
            Poll::Ready(Some(Ok(frame))) => {
                let size = frame.data_ref().map_or(0, Bytes::len);
                this.pace.iter().for_each(|p| p.passed(size));
                if this.incoming.is_end_stream() {
                    this.finish(true);
                }
                Poll::Ready(Some(Ok(frame)))
            }
            Poll::Pending => {
                std::task::ready!(this.deadline.as_mut().poll(cx));
                this.finish(false);
                Poll::Ready(Some(Err(BodyError::Late)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.prefix.is_none() && self.conn.is_none() && self.incoming.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        let mut hint = self.incoming.size_hint();
        if let Some(prefix) = &self.prefix {
            let size = prefix.len() as u64;
            match hint.exact() {
                Some(rest) => hint.set_exact(rest + size),
                None => hint = SizeHint::default(),
            }
        }
        hint
    }
}

/// The body of any answer to a caller.
pub enum AnswerBody {
    /// Made by lockloft.
    Own(Full<Bytes>),
    /// Passed through.
    Carried(Carried<crate::exchange::Ending>),
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match self.get_mut() {
            AnswerBody::Own(full) => Pin::new(full).poll_frame(cx).map_err(|never| match never {}),
            AnswerBody::Carried(carried) => Pin::new(carried).poll_frame(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            AnswerBody::Own(full) => full.is_end_stream(),
            AnswerBody::Carried(carried) => carried.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            AnswerBody::Own(full) => full.size_hint(),
            AnswerBody::Carried(carried) => carried.size_hint(),
        }
    }
}
