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
use crate::net::server::read_ahead::buffer::ReadAheadBuffer;
use crate::net::server::read_ahead::early_request::{Arrival, EarlyRequest, UnansweredGuard};
use crate::net::server::read_ahead::framing::{HeadScanner, ReadMode};
use crate::net::server::read_ahead::head;
use hyper::Response;
use hyper::body::Body;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::http::request::Parts;
use std::collections::VecDeque;
use std::rc::Rc;

/// Requests begun before their turn on one connection: bounds what the answers behind a slow one hold.
pub const MAX_EARLY_REQUESTS: usize = 16;
/// Bytes read ahead of one connection: bounds what requests that wait hold.
pub const MAX_BUFFERED_BYTES: usize = 16 * 1024;

/// What was read ahead of one connection.
pub struct Queue<H: Handler> {
    handler: Rc<H>,
    pub(super) mode: ReadMode,
    pub(super) buffer: ReadAheadBuffer,
    /// Place in the head that hyper is given.
    head_scanner: HeadScanner,
    /// When the last byte of that head was read, where it was read ahead.
    head_read_at: Option<Instant>,
    /// Bytes that belong to queued requests.
    queued_bytes: usize,
    /// Bytes in which the end of the next head was looked for, and the place in it.
    searched: (usize, HeadScanner),
    early_requests: VecDeque<EarlyRequest<H>>,
    /// The request that has to wait; nothing behind it begins.
    deferred: Option<UnansweredGuard<H>>,
    /// Whether a request was begun behind which nothing counts.
    has_closing_request: bool,
    /// Whether the request in hand may be repeated.
    allows_pipelining: bool,
    /// Whether the request in hand has its answer.
    has_response: bool,
    /// Whether nothing behind the request in hand counts.
    is_closing: bool,
}

impl<H: Handler> Queue<H> {
    /// Of a connection that was just opened.
    pub fn new(handler: Rc<H>) -> Self {
        Self {
            handler,
            mode: ReadMode::Head,
            buffer: ReadAheadBuffer::default(),
            head_scanner: HeadScanner::default(),
            head_read_at: None,
            queued_bytes: 0,
            searched: (0, HeadScanner::default()),
            early_requests: VecDeque::new(),
            deferred: None,
            has_closing_request: false,
            allows_pipelining: false,
            has_response: false,
            is_closing: false,
        }
    }

    /// Whether whole requests wait behind the one in hand.
    fn has_queued_requests(&self) -> bool {
        self.deferred.is_some() || !self.early_requests.is_empty()
    }

    /// Whether what the caller sends is read and dropped, since the answer to the request in hand
    /// closes the connection.
    pub(super) fn discards_input(&mut self) -> bool {
        if self.handler.is_stopping() && !self.has_response && !self.has_queued_requests() {
            self.close();
        }
        self.is_closing
    }

    /// Bytes that may still be read ahead.
    pub(super) fn remaining_capacity(&self) -> usize {
        if self.handler.is_stopping() {
            return 0;
        }
        MAX_BUFFERED_BYTES.saturating_sub(self.buffer.bytes().len())
    }

    /// Drops all that was read ahead and breaks off what was begun; nothing begins any more.
    pub(super) fn close(&mut self) {
        self.is_closing = true;
        self.buffer.clear();
        self.cancel_early_requests();
    }

    /// Breaks off what was begun.
    fn cancel_early_requests(&mut self) {
        self.early_requests.clear();
        self.deferred = None;
        self.has_closing_request = false;
        (self.queued_bytes, self.searched) = (0, (0, HeadScanner::default()));
    }

    /// Begins what may begin of the requests that were read ahead.
    pub(super) fn begin_early_requests(&mut self) {
        while !self.is_closing
            && !self.has_closing_request
            && self.deferred.is_none()
            && self.early_requests.len() < MAX_EARLY_REQUESTS
        {
            let Some(end) = self.find_next_head() else { return };
            let read_at = self.buffer.read_at(end).unwrap_or_else(Instant::now);
            match self.parse_early_request(end) {
                Some(parts) => {
                    self.has_closing_request = head::closes_connection(&parts.headers);
                    self.early_requests.push_back(EarlyRequest::new(&self.handler, parts, read_at));
                }
                None => self.deferred = Some(UnansweredGuard::new(self.handler.clone())),
            }
            self.queued_bytes = end;
        }
    }

    /// Where the next head ends.
    fn find_next_head(&mut self) -> Option<usize> {
        let (searched, scanner) = &mut self.searched;
        let all = self.buffer.bytes();
        let found = scanner.find_end(&all[*searched..]);
        *searched = found.map_or(all.len(), |count| *searched + count);
        found.map(|_| *searched)
    }

    /// The next head, where its request may begin before its turn.
    fn parse_early_request(&self, end: usize) -> Option<Parts> {
        if !self.allows_pipelining {
            return None;
        }
        let parts = head::parse(&self.buffer.bytes()[self.queued_bytes..end])?;
        self.handler.may_begin_early(&parts).then_some(parts)
    }

    /// The first bytes that were read ahead and are part of a head, `most` of them.
    pub(super) fn buffered_head_length(&mut self, max_bytes: usize) -> usize {
        let all = self.buffer.bytes();
        let first = &all[..all.len().min(max_bytes)];
        let found = self.head_scanner.find_end(first);
        let count = found.unwrap_or(first.len());
        self.head_read_at = found.and_then(|end| self.buffer.read_at(end));
        count
    }

    /// How many bytes that come from the socket are part of a head.
    pub(super) fn received_head_length(&mut self, bytes: &[u8]) -> usize {
        self.head_read_at = None;
        self.head_scanner.find_end(bytes).unwrap_or(bytes.len())
    }

    /// Drops bytes that were given to hyper.
    pub(super) fn consume(&mut self, count: usize) {
        self.buffer.consume(count);
        self.queued_bytes = self.queued_bytes.saturating_sub(count);
        self.searched.0 = self.searched.0.saturating_sub(count);
    }

    /// Takes in that hyper has read a head and what it says of the body. Gives the answer to the
    /// request, where one is under way.
    pub fn record_request<B: Body>(&mut self, parts: &mut Parts, body: &B) -> Option<EarlyRequest<H>> {
        self.mode = self.mode_after_head(body);
        self.head_scanner = HeadScanner::default();
        self.has_response = false;
        self.is_closing |= head::closes_connection(&parts.headers);
        self.allows_pipelining = head::allows_pipelining(parts) && self.handler.allows_pipelining(parts);
        let head_read_at = self.head_read_at.take();
        let early_request = self.early_requests.pop_front().filter(|early| early.matches(parts));
        if early_request.is_none() {
            self.cancel_early_requests();
        }
        if let Some(read_at) = head_read_at {
            parts.extensions.insert(Arrival { read_at, is_early: false });
        }
        early_request
    }

    fn mode_after_head<B: Body>(&self, body: &B) -> ReadMode {
        let is_pass_through = matches!(self.mode, ReadMode::PassThrough { .. });
        match body.size_hint().exact() {
            _ if body.is_end_stream() && is_pass_through => ReadMode::PassThrough { has_body: false },
            _ if body.is_end_stream() => ReadMode::ReadAhead,
            Some(length) if !is_pass_through => ReadMode::Body(length),
            _ => ReadMode::PassThrough { has_body: true },
        }
    }

    /// Takes in that the request in hand has its answer; the last one of a planned stop closes the
    /// connection.
    pub fn record_response<B>(&mut self, response: &mut Response<B>) {
        self.has_response = true;
        if self.handler.is_stopping() && !self.has_queued_requests() {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        if head::closes_connection(response.headers()) {
            self.close();
        }
    }
}
