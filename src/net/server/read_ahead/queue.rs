//! The requests of a connection that were read before their turn.
//!
//! **Load.** Callers send further idempotent requests before the first is answered. Those that may
//! be repeated and have no body are begun as soon as they are read; one that has to wait, and all
//! behind it, begin when those ahead are answered. Nothing begins behind a request in hand that may
//! run once: its caller may rely on the order.
//!
//! Inputs: heads as they were read; of no age. Owns the bytes and the answers under way, which end
//! with it. Relies on [`Handler::may_begin_early`], and on hyper's reading of each head: an answer
//! under way is used only for the request that it was begun for.
//! Tests: `tests/pipelined_framing.rs`, `tests/pipelined_order.rs`, `standins/tests/pipelined_requests.rs`.

use crate::clock::Instant;
use crate::net::server::handler::Handler;
use crate::net::server::read_ahead::begun::{Arrival, Begun, Unanswered};
use crate::net::server::read_ahead::bytes_ahead::BytesAhead;
use crate::net::server::read_ahead::framing::{HeadEnd, Mode};
use crate::net::server::read_ahead::head;
use hyper::Response;
use hyper::body::Body;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::http::request::Parts;
use std::collections::VecDeque;
use std::rc::Rc;

/// Requests begun before their turn on one connection: bounds what the answers behind a slow one hold.
pub const MAX_BEGUN: usize = 16;
/// Bytes read ahead of one connection: bounds what requests that wait hold.
pub const MAX_BYTES: usize = 16 * 1024;

/// What was read ahead of one connection.
pub struct Queue<H: Handler> {
    handler: Rc<H>,
    pub(super) mode: Mode,
    pub(super) bytes: BytesAhead,
    /// Place in the head that hyper is given.
    given: HeadEnd,
    /// When the last byte of that head was read, where it was read ahead.
    given_read: Option<Instant>,
    /// Bytes that belong to queued requests.
    known: usize,
    /// Bytes in which the end of the next head was looked for, and the place in it.
    searched: (usize, HeadEnd),
    begun: VecDeque<Begun<H>>,
    /// The request that has to wait; nothing behind it begins.
    waiting: Option<Unanswered<H>>,
    /// Whether a request was begun behind which nothing counts.
    has_last: bool,
    /// Whether the request in hand may be repeated.
    may_overtake: bool,
    /// Whether the request in hand has its answer.
    has_answer: bool,
    /// Whether nothing behind the request in hand counts.
    is_over: bool,
}

impl<H: Handler> Queue<H> {
    /// Of a connection that was just opened.
    pub fn new(handler: Rc<H>) -> Self {
        Self {
            handler,
            mode: Mode::Head,
            bytes: BytesAhead::default(),
            given: HeadEnd::default(),
            given_read: None,
            known: 0,
            searched: (0, HeadEnd::default()),
            begun: VecDeque::new(),
            waiting: None,
            has_last: false,
            may_overtake: false,
            has_answer: false,
            is_over: false,
        }
    }

    /// Whether whole requests wait behind the one in hand.
    fn has_more(&self) -> bool {
        self.waiting.is_some() || !self.begun.is_empty()
    }

    /// Whether what the caller sends is read and dropped, since the answer to the request in hand
    /// closes the connection.
    pub(super) fn drops_bytes(&mut self) -> bool {
        if self.handler.is_stopping() && !self.has_answer && !self.has_more() {
            self.close();
        }
        self.is_over
    }

    /// Bytes that may still be read ahead.
    pub(super) fn room(&self) -> usize {
        if self.handler.is_stopping() {
            return 0;
        }
        MAX_BYTES.saturating_sub(self.bytes.all().len())
    }

    /// Drops all that was read ahead and breaks off what was begun; nothing begins any more.
    pub(super) fn close(&mut self) {
        self.is_over = true;
        self.bytes.clear();
        self.forget();
    }

    /// Breaks off what was begun.
    fn forget(&mut self) {
        self.begun.clear();
        self.waiting = None;
        self.has_last = false;
        (self.known, self.searched) = (0, (0, HeadEnd::default()));
    }

    /// Begins what may begin of the requests that were read ahead.
    pub(super) fn begin(&mut self) {
        while !self.is_over && !self.has_last && self.waiting.is_none() && self.begun.len() < MAX_BEGUN {
            let Some(end) = self.next_head() else { return };
            let read_at = self.bytes.read_at(end).unwrap_or_else(Instant::now);
            match self.early(end) {
                Some(parts) => {
                    self.has_last = head::closes(&parts.headers);
                    self.begun.push_back(Begun::new(&self.handler, parts, read_at));
                }
                None => self.waiting = Some(Unanswered::new(self.handler.clone())),
            }
            self.known = end;
        }
    }

    /// Where the next head ends.
    fn next_head(&mut self) -> Option<usize> {
        let (searched, place) = &mut self.searched;
        let all = self.bytes.all();
        let found = place.find(&all[*searched..]);
        *searched = found.map_or(all.len(), |count| *searched + count);
        found.map(|_| *searched)
    }

    /// The next head, where its request may begin before its turn.
    fn early(&self, end: usize) -> Option<Parts> {
        if !self.may_overtake {
            return None;
        }
        let parts = head::read(&self.bytes.all()[self.known..end])?;
        self.handler.may_begin_early(&parts).then_some(parts)
    }

    /// The first bytes that were read ahead and are part of a head, `most` of them.
    pub(super) fn give_head(&mut self, most: usize) -> usize {
        let all = self.bytes.all();
        let first = &all[..all.len().min(most)];
        let found = self.given.find(first);
        let count = found.unwrap_or(first.len());
        self.given_read = found.and_then(|end| self.bytes.read_at(end));
        count
    }

    /// How many bytes that come from the socket are part of a head.
    pub(super) fn pass_head(&mut self, bytes: &[u8]) -> usize {
        self.given_read = None;
        self.given.find(bytes).unwrap_or(bytes.len())
    }

    /// Drops bytes that were given to hyper.
    pub(super) fn advance(&mut self, count: usize) {
        self.bytes.advance(count);
        self.known = self.known.saturating_sub(count);
        self.searched.0 = self.searched.0.saturating_sub(count);
    }

    /// Takes in that hyper has read a head and what it says of the body. Gives the answer to the
    /// request, where one is under way.
    pub fn enter<B: Body>(&mut self, parts: &mut Parts, body: &B) -> Option<Begun<H>> {
        self.mode = self.mode_of(body);
        self.given = HeadEnd::default();
        self.has_answer = false;
        self.is_over |= head::closes(&parts.headers);
        self.may_overtake = head::may_be_overtaken(parts) && self.handler.allows_pipelining(parts);
        let read = self.given_read.take();
        let begun = self.begun.pop_front().filter(|begun| begun.is(parts));
        if begun.is_none() {
            self.forget();
        }
        if let Some(read_at) = read {
            parts.extensions.insert(Arrival { read_at, is_early: false });
        }
        begun
    }

    fn mode_of<B: Body>(&self, body: &B) -> Mode {
        let is_blind = matches!(self.mode, Mode::Blind { .. });
        match body.size_hint().exact() {
            _ if body.is_end_stream() && is_blind => Mode::Blind { has_body: false },
            _ if body.is_end_stream() => Mode::Ahead,
            Some(length) if !is_blind => Mode::Length(length),
            _ => Mode::Blind { has_body: true },
        }
    }

    /// Takes in that the request in hand has its answer; the last one of a planned stop closes the
    /// connection.
    pub fn answered<B>(&mut self, response: &mut Response<B>) {
        self.has_answer = true;
        if self.handler.is_stopping() && !self.has_more() {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        if head::closes(response.headers()) {
            self.close();
        }
    }
}
