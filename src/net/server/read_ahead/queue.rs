//! Queue of the requests of a connection that were read before their turn.
//!
//! **Rule.** Idempotent requests without a body begin as soon as they are read. A request that has to
//! wait, and all behind it, begin when the requests ahead of them have their responses. Nothing begins
//! behind a current request that is not idempotent: its caller may rely on the order.
//!
//! Inputs: the heads as they were read. Owns the buffered bytes and the early requests,
//! which are cancelled when the queue is dropped. Relies on [`Handler::may_begin_early`], and on how
//! hyper parses each head: the response of an early request is used only if hyper reads the same
//! request.
//! Tests: `tests/pipelined_framing.rs`, `tests/pipelined_order.rs`, `standins/tests/pipelined_requests.rs`.

use crate::clock::Instant;
use crate::net::server::handler::Handler;
use crate::net::server::read_ahead::buffer::ReadAheadBuffer;
use crate::net::server::read_ahead::early_request::{Arrival, EarlyRequest, ReadAheadGuard};
use crate::net::server::read_ahead::framing::{HeadScanner, ReadMode};
use crate::net::server::read_ahead::head;
use hyper::Response;
use hyper::body::Body;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::http::request::Parts;
use std::collections::VecDeque;
use std::rc::Rc;

/// Maximum number of early requests of one connection: limits the memory of responses that wait behind a
/// slow one.
pub const MAX_EARLY_REQUESTS: usize = 16;
/// Maximum number of bytes of one connection that are read ahead: limits the memory of waiting requests.
pub const MAX_BUFFERED_BYTES: usize = 16 * 1024;

/// Requests and bytes that were read ahead on one connection.
pub struct Queue<H: Handler> {
    handler: Rc<H>,
    pub(super) mode: ReadMode,
    pub(super) buffer: ReadAheadBuffer,
    /// State of the search for the end of the current head in the bytes that are given to hyper.
    head_scanner: HeadScanner,
    /// When the last byte of that head was read; `None` if it was not read ahead.
    head_read_at: Option<Instant>,
    /// Number of bytes at the start of the buffer that belong to queued requests.
    queued_bytes: usize,
    /// Number of bytes already searched for the end of the next head, and the state of that search.
    searched: (usize, HeadScanner),
    early_requests: VecDeque<EarlyRequest<H>>,
    /// Counts the request that has to wait for its turn; nothing behind it begins.
    deferred: Option<ReadAheadGuard<H>>,
    /// Whether the last early request closes the connection, so that all bytes behind it are ignored.
    has_closing_request: bool,
    /// Whether requests behind the current one may begin before it has its response: only requests can
    /// follow it, and the handler allows it.
    early_requests_allowed: bool,
    /// Whether the current request has its response.
    has_response: bool,
    /// Whether the connection closes after the current request, so that all bytes behind it are ignored.
    is_closing: bool,
}

impl<H: Handler> Queue<H> {
    /// The queue of a connection that was just opened.
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
            early_requests_allowed: false,
            has_response: false,
            is_closing: false,
        }
    }

    /// Whether complete heads of further requests are queued behind the current request.
    fn has_queued_requests(&self) -> bool {
        self.deferred.is_some() || !self.early_requests.is_empty()
    }

    /// Whether the caller's further bytes are read and discarded, because the connection closes with the
    /// response to the current request. During a planned stop this closes the queue if nothing is queued.
    pub(super) fn discards_input(&mut self) -> bool {
        if self.handler.is_stopping() && !self.has_response && !self.has_queued_requests() {
            self.close();
        }
        self.is_closing
    }

    /// Number of bytes that may still be read ahead.
    pub(super) fn remaining_room(&self) -> usize {
        if self.handler.is_stopping() {
            return 0;
        }
        MAX_BUFFERED_BYTES.saturating_sub(self.buffer.bytes().len())
    }

    /// Discards the buffered bytes and cancels the early requests; no further request begins.
    pub(super) fn close(&mut self) {
        self.is_closing = true;
        self.buffer.clear();
        self.cancel_early_requests();
    }

    /// Cancels the early requests and resets the search for the next one; the buffered bytes stay.
    fn cancel_early_requests(&mut self) {
        self.early_requests.clear();
        self.deferred = None;
        self.has_closing_request = false;
        (self.queued_bytes, self.searched) = (0, (0, HeadScanner::default()));
    }

    /// Begins those requests that were read ahead and may begin.
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
                None => self.deferred = Some(ReadAheadGuard::new(self.handler.clone())),
            }
            self.queued_bytes = end;
        }
    }

    /// Position in the buffer where the next head ends; `None` if it is incomplete.
    fn find_next_head(&mut self) -> Option<usize> {
        let (searched, scanner) = &mut self.searched;
        let bytes = self.buffer.bytes();
        let found = scanner.find_end(&bytes[*searched..]);
        *searched = found.map_or(bytes.len(), |count| *searched + count);
        found.map(|_| *searched)
    }

    /// The next head, which ends at `end`, if its request may begin before its turn.
    fn parse_early_request(&self, end: usize) -> Option<Parts> {
        if !self.early_requests_allowed {
            return None;
        }
        let parts = head::parse(&self.buffer.bytes()[self.queued_bytes..end])?;
        self.handler.may_begin_early(&parts).then_some(parts)
    }

    /// Scans the start of the buffer, and returns the number of bytes there that are part of the current
    /// head, at most `max_bytes`.
    pub(super) fn buffered_head_length(&mut self, max_bytes: usize) -> usize {
        let bytes = self.buffer.bytes();
        let first = &bytes[..bytes.len().min(max_bytes)];
        let found = self.head_scanner.find_end(first);
        let count = found.unwrap_or(first.len());
        self.head_read_at = found.and_then(|end| self.buffer.read_at(end));
        count
    }

    /// Scans bytes just read from the socket, and returns how many of them are part of the current head.
    pub(super) fn received_head_length(&mut self, bytes: &[u8]) -> usize {
        self.head_read_at = None;
        self.head_scanner.find_end(bytes).unwrap_or(bytes.len())
    }

    /// Removes bytes that were given to hyper.
    pub(super) fn consume(&mut self, count: usize) {
        self.buffer.consume(count);
        self.queued_bytes = self.queued_bytes.saturating_sub(count);
        self.searched.0 = self.searched.0.saturating_sub(count);
    }

    /// Records that hyper has read the head of the next request, which becomes the current one, and the
    /// length of its body. Returns the request if it has begun early.
    pub fn record_request<B: Body>(&mut self, parts: &mut Parts, body: &B) -> Option<EarlyRequest<H>> {
        self.mode = self.mode_after_head(body);
        self.head_scanner = HeadScanner::default();
        self.has_response = false;
        self.is_closing |= head::closes_connection(&parts.headers);
        self.early_requests_allowed =
            head::only_requests_can_follow(parts) && self.handler.allows_early_requests_behind(parts);
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

    /// Records that the current request has its response. During a planned stop the response to the last
    /// request closes the connection.
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
