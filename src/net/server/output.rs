//! What was sent on one connection, and which of its responses the other side has not acknowledged.
//!
//! A response passes from its handler to the buffer of the connection, from there to the socket, and to
//! the system of the other side, which acknowledges it. Only then can neither the end of this process nor
//! the close of the connection take bytes of it back.
//!
//! Owns the counts of bytes and the responses that they belong to, in bounded memory. Relies on
//! [`ReadAheadStream`] to report what is written, and on [`Socket::unacknowledged`].
//!
//! [`ReadAheadStream`]: crate::net::server::read_ahead::stream::ReadAheadStream
//! [`Socket::unacknowledged`]: crate::net::server::Socket::unacknowledged

use crate::clock::Instant;
use hyper::header::HeaderValue;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

/// Maximum number of responses of one connection that are told apart. A caller that does not read can have
/// many small ones in its socket; the oldest are then counted without their ids.
const MAX_RESPONSES: usize = 16;

/// What is known of a response besides its bytes. Handlers set it as an extension of the response.
#[derive(Clone, Debug, Default)]
pub struct ResponseTag {
    /// The caller's request id; `None` if it sent none.
    pub id: Option<HeaderValue>,
    /// When its caller stops waiting; `None` if that is not known.
    pub deadline: Option<Instant>,
}

/// How much of a response the connection has received.
#[derive(Clone, Copy, Debug)]
enum Received {
    /// Its body has not ended.
    Part,
    /// All of it, but its last bytes were not counted yet.
    All,
    /// All of it; position of its end in the output of the connection.
    Until(u64),
}

#[derive(Debug)]
struct SentResponse {
    tag: ResponseTag,
    /// Bytes held in memory that the connection has not received.
    held: Rc<Cell<u64>>,
    received: Received,
}

/// A response that the other side has not acknowledged completely, and where its bytes are.
#[derive(Clone, Debug)]
pub struct UnfinishedResponse {
    /// The caller's request id; `None` if it sent none.
    pub id: Option<HeaderValue>,
    /// Whether the connection has received the whole response.
    pub is_complete: bool,
    /// Bytes held in memory that the connection has not received.
    pub held: u64,
    /// Bytes in the buffer of the connection.
    pub buffered: u64,
    /// Bytes in the socket.
    pub in_socket: u64,
}

impl UnfinishedResponse {
    /// Whether bytes of it are lost if the process ends or its connection closes now.
    pub fn has_unwritten_bytes(&self) -> bool {
        !self.is_complete || self.buffered > 0
    }

    /// The caller's request id as text for the log; `None` if it sent none that is text.
    pub fn id_text(&self) -> Option<&str> {
        self.id.as_ref().and_then(|id| id.to_str().ok())
    }
}

/// The output of one connection.
#[derive(Debug)]
pub struct Output {
    /// Bytes written to the socket.
    written: Cell<u64>,
    /// Bytes in the buffer of the connection, not written yet.
    buffered: Cell<u64>,
    /// When the socket last took bytes, while it does not take all of the buffer.
    blocked_since: Cell<Option<Instant>>,
    /// Bytes that the other side is known to have acknowledged.
    acknowledged: Cell<u64>,
    /// When bytes were last known to be acknowledged.
    progressed_at: Cell<Instant>,
    /// Latest time until which the caller of any response so far waits.
    deadline: Cell<Option<Instant>>,
    responses: RefCell<VecDeque<SentResponse>>,
    is_watched: Cell<bool>,
    /// Older responses, which are counted without their ids, and the position of the end of the last one.
    unnamed: Cell<(u32, u64)>,
}

impl Output {
    /// The output of a connection that was just opened.
    pub fn new() -> Self {
        Self {
            written: Cell::new(0),
            buffered: Cell::new(0),
            blocked_since: Cell::new(None),
            acknowledged: Cell::new(0),
            progressed_at: Cell::new(Instant::now()),
            deadline: Cell::new(None),
            responses: RefCell::default(),
            is_watched: Cell::new(false),
            unnamed: Cell::new((0, 0)),
        }
    }

    /// Records a response that is passed to the connection. `held` counts the bytes of its body that the
    /// connection has not received.
    pub fn begin(&self, tag: ResponseTag, held: Rc<Cell<u64>>) {
        self.deadline.set(self.deadline.get().max(tag.deadline));
        let mut responses = self.responses.borrow_mut();
        if responses.len() == MAX_RESPONSES
            && let Some(SentResponse { received: Received::Until(end), .. }) = responses.pop_front()
        {
            self.unnamed.set((self.unnamed.get().0 + 1, end));
        }
        responses.push_back(SentResponse { tag, held, received: Received::Part });
    }

    /// Records that the connection has received the whole body of the last response.
    pub fn complete(&self) {
        if let Some(last) = self.responses.borrow_mut().back_mut() {
            last.received = Received::All;
        }
    }

    /// Records that `count` of the `offered` bytes in the connection's buffer were written to the socket.
    pub fn record_write(&self, offered: usize, count: usize) {
        self.written.set(self.written.get() + count as u64);
        self.buffered.set((offered - count) as u64);
        if count == offered {
            self.blocked_since.set(None);
        } else if count > 0 || self.blocked_since.get().is_none() {
            self.blocked_since.set(Some(Instant::now()));
        }
        self.set_ends();
    }

    /// Records that the connection's buffer is empty.
    pub fn record_flush(&self) {
        self.buffered.set(0);
        self.set_ends();
    }

    fn set_ends(&self) {
        let end = self.written.get() + self.buffered.get();
        let mut responses = self.responses.borrow_mut();
        for response in responses.iter_mut().rev() {
            match response.received {
                Received::All => response.received = Received::Until(end),
                Received::Until(_) => break,
                Received::Part => {}
            }
        }
    }

    /// Has unfinished responses be followed from now on.
    pub fn watch(&self) {
        self.is_watched.set(true);
    }

    /// Whether [`Self::record_unacknowledged`] is to be called at intervals, to follow unfinished responses.
    pub fn is_followed(&self) -> bool {
        self.is_watched.get() && self.is_unfinished()
    }

    /// Whether [`Self::record_unacknowledged`] is to be called now: to follow unfinished responses, or to
    /// forget finished ones.
    pub fn needs_update(&self) -> bool {
        self.is_followed() || self.responses.borrow().len() == MAX_RESPONSES
    }

    /// Records the number of bytes in the socket, and forgets the responses that are finished. `None`, if the
    /// system does not tell, counts as all acknowledged.
    pub fn record_unacknowledged(&self, in_socket: Option<u64>) {
        let acknowledged = self.written.get().saturating_sub(in_socket.unwrap_or(0));
        if acknowledged > self.acknowledged.get() {
            self.acknowledged.set(acknowledged);
            self.progressed_at.set(Instant::now());
        }
        let mut responses = self.responses.borrow_mut();
        while let Some(SentResponse { received: Received::Until(end), .. }) = responses.front()
            && *end <= acknowledged
        {
            responses.pop_front();
        }
        if self.unnamed.get().1 <= acknowledged {
            self.unnamed.set((0, 0));
        }
    }

    /// Whether bytes of any response are not known to be acknowledged.
    pub fn is_unfinished(&self) -> bool {
        let is_open = |response: &SentResponse| !matches!(response.received, Received::Until(_));
        self.buffered.get() > 0 || self.in_socket() > 0 || self.responses.borrow().back().is_some_and(is_open)
    }

    /// When the other side counts as having stopped reading: `stall_time` after the socket last took bytes, and
    /// after the deadlines of the responses. `None` while nothing waits for the socket.
    pub fn stalled_at(&self, stall_time: Duration) -> Option<Instant> {
        let since = self.blocked_since.get()?;
        Some(self.deadline.get().map_or(since, |deadline| deadline.max(since)) + stall_time)
    }

    /// Number of bytes in the socket that are not known to be acknowledged.
    pub fn in_socket(&self) -> u64 {
        self.written.get() - self.acknowledged.get()
    }

    /// Forgets what was not written to the socket, because the connection closes.
    pub fn close(&self) {
        let written = self.written.get();
        self.buffered.set(0);
        self.blocked_since.set(None);
        self.responses.borrow_mut().retain(|sent| matches!(sent.received, Received::Until(end) if end <= written));
    }

    /// Latest deadline of the responses so far; `None` if none has one.
    pub fn deadline(&self) -> Option<Instant> {
        self.deadline.get()
    }

    /// When bytes were last known to be acknowledged.
    pub fn progressed_at(&self) -> Instant {
        self.progressed_at.get()
    }

    /// Responses that are not finished and have no entry of their own in [`Self::unfinished`].
    pub fn unnamed(&self) -> u32 {
        self.unnamed.get().0
    }

    /// The responses that are not finished, the oldest first.
    pub fn unfinished(&self) -> Vec<UnfinishedResponse> {
        let (acknowledged, written) = (self.acknowledged.get(), self.written.get());
        let end_of_output = written + self.buffered.get();
        let mut begin = acknowledged;
        let mut unfinished = Vec::new();
        for response in self.responses.borrow().iter() {
            let (is_complete, end) = match response.received {
                Received::Part => (false, end_of_output),
                Received::All => (true, end_of_output),
                Received::Until(end) => (true, end),
            };
            if is_complete && end <= acknowledged {
                continue;
            }
            unfinished.push(UnfinishedResponse {
                id: response.tag.id.clone(),
                is_complete,
                held: if is_complete { 0 } else { response.held.get() },
                buffered: end.saturating_sub(begin.max(written)),
                in_socket: end.min(written).saturating_sub(begin),
            });
            begin = begin.max(end);
        }
        unfinished
    }
}

impl Default for Output {
    fn default() -> Self {
        Self::new()
    }
}
