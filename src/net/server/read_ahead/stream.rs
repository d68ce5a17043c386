//! The stream on which hyper serves a connection. Gives hyper the bytes of one request at a time, and
//! reads ahead while hyper is busy with it.
//!
//! Owns the socket. While hyper is busy with a request that it has read completely, hyper reads only to
//! notice that the caller has closed the connection. During that time the stream fills the [`Queue`],
//! and gives hyper only the end of the stream. Relies on `Progress` to know when a response was sent.

use crate::clock::{Instant, Sleep, sleep};
use crate::net::server::handler::Handler;
use crate::net::server::output::Output;
use crate::net::server::progress::{Phase, Progress};
use crate::net::server::read_ahead::framing::ReadMode;
use crate::net::server::read_ahead::queue::Queue;
use crate::net::server::socket::Socket;
use hyper::rt::{Read, ReadBufCursor, Write};
use hyper_util::rt::TokioIo;
use std::cell::RefCell;
use std::io;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::ReadBuf;

/// Maximum number of bytes that are read from a socket at once.
const READ_SIZE: usize = 16 * 1024;
/// Interval between checks whether a caller has closed its connection, while nothing is read from it.
const DISCONNECT_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Stream between the socket of a connection and hyper.
pub struct ReadAheadStream<S, H: Handler> {
    io: TokioIo<S>,
    progress: Rc<Progress>,
    output: Rc<Output>,
    queue: Rc<RefCell<Queue<H>>>,
    /// Timer of the next check whether the caller has closed the connection; `None` while bytes are read.
    disconnect_check: Option<Pin<Box<Sleep>>>,
}

impl<S: Socket, H: Handler> ReadAheadStream<S, H> {
    /// Creates the stream of a connection on `socket`.
    pub fn new(socket: S, progress: Rc<Progress>, output: Rc<Output>, queue: Rc<RefCell<Queue<H>>>) -> Self {
        Self { io: TokioIo::new(socket), progress, output, queue, disconnect_check: None }
    }

    /// The socket.
    pub fn into_socket(self) -> S {
        self.io.into_inner()
    }

    /// Reads how much of the output is unacknowledged, if that is needed now.
    fn update_output(&self) {
        if self.output.needs_update() {
            self.output.record_unacknowledged(self.io.inner().unacknowledged());
        }
    }

    /// Reads at most `max_bytes` bytes and passes them to `on_read`; returns their number.
    fn read_some(
        &mut self,
        context: &mut Context<'_>,
        max_bytes: usize,
        on_read: impl FnOnce(&mut Queue<H>, &[u8]),
    ) -> Poll<io::Result<usize>> {
        let mut space = [MaybeUninit::uninit(); READ_SIZE];
        let mut read = ReadBuf::uninit(&mut space[..max_bytes.min(READ_SIZE)]);
        ready!(Pin::new(self.io.inner_mut()).poll_read(context, &mut read))?;
        on_read(&mut self.queue.borrow_mut(), read.filled());
        Poll::Ready(Ok(read.filled().len()))
    }

    /// Gives hyper bytes of a head, and keeps those behind it.
    fn poll_head(&mut self, context: &mut Context<'_>, mut cursor: ReadBufCursor<'_>) -> Poll<io::Result<()>> {
        let max_bytes = cursor.remaining();
        if !self.queue.borrow().buffer.bytes().is_empty() {
            let mut queue = self.queue.borrow_mut();
            let count = queue.buffered_head_length(max_bytes);
            cursor.put_slice(&queue.buffer.bytes()[..count]);
            queue.consume(count);
            return Poll::Ready(Ok(()));
        }
        let read = ready!(self.read_some(context, max_bytes, |queue, bytes| {
            let count = queue.received_head_length(bytes);
            cursor.put_slice(&bytes[..count]);
            queue.buffer.add(&bytes[count..], Instant::now());
        }));
        Poll::Ready(read.map(drop))
    }

    /// Gives hyper all bytes that arrive.
    fn poll_pass_through(&mut self, context: &mut Context<'_>, mut cursor: ReadBufCursor<'_>) -> Poll<io::Result<()>> {
        if self.queue.borrow().buffer.bytes().is_empty() {
            return Pin::new(&mut self.io).poll_read(context, cursor);
        }
        let mut queue = self.queue.borrow_mut();
        let given = queue.buffer.bytes().len().min(cursor.remaining());
        cursor.put_slice(&queue.buffer.bytes()[..given]);
        queue.consume(given);
        Poll::Ready(Ok(()))
    }

    /// Gives hyper bytes of a body of which `left` bytes are still to come, and keeps those behind it.
    fn poll_body(
        &mut self,
        context: &mut Context<'_>,
        mut cursor: ReadBufCursor<'_>,
        left: u64,
    ) -> Poll<io::Result<()>> {
        let max_bytes = cursor.remaining().min(usize::try_from(left).unwrap_or(usize::MAX));
        let mut given = 0;
        if !self.queue.borrow().buffer.bytes().is_empty() {
            let mut queue = self.queue.borrow_mut();
            given = queue.buffer.bytes().len().min(max_bytes);
            cursor.put_slice(&queue.buffer.bytes()[..given]);
            queue.consume(given);
        } else {
            let read = ready!(self.read_some(context, cursor.remaining(), |queue, bytes| {
                given = bytes.len().min(max_bytes);
                cursor.put_slice(&bytes[..given]);
                queue.buffer.add(&bytes[given..], Instant::now());
            }));
            read?;
        }
        let left = left - given as u64;
        self.queue.borrow_mut().mode = if left == 0 { ReadMode::ReadAhead } else { ReadMode::Body(left) };
        Poll::Ready(Ok(()))
    }

    /// Reads ahead. Ready only at the end of the stream or on an error.
    fn poll_read_ahead(&mut self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        loop {
            self.queue.borrow_mut().begin_early_requests();
            let discards = self.queue.borrow_mut().discards_input();
            let max_bytes = if discards { READ_SIZE } else { self.queue.borrow().remaining_room() };
            if max_bytes == 0 {
                ready!(self.poll_disconnect(context));
                self.queue.borrow_mut().close();
                return Poll::Ready(Ok(()));
            }
            self.disconnect_check = None;
            let read = ready!(self.read_some(context, max_bytes, |queue, bytes| {
                if !discards {
                    queue.buffer.add(bytes, Instant::now());
                }
            }));
            if !matches!(read, Ok(1..)) {
                self.queue.borrow_mut().close();
                return Poll::Ready(read.map(drop));
            }
        }
    }

    /// Ready once the caller has closed the connection. Reads none of its bytes.
    fn poll_disconnect(&mut self, context: &mut Context<'_>) -> Poll<()> {
        while !self.io.inner().is_read_closed() {
            let check = self.disconnect_check.get_or_insert_with(|| Box::pin(sleep(DISCONNECT_CHECK_INTERVAL)));
            ready!(check.as_mut().poll(context));
            self.disconnect_check = None;
        }
        Poll::Ready(())
    }

    /// Updates and returns the read mode. Once a response was sent, hyper gets the next request. If hyper
    /// reads while it is busy with a request without a body, it has no unread bytes in its own buffer,
    /// and reading ahead may begin.
    fn update_mode(&self) -> ReadMode {
        let queue = &mut self.queue.borrow_mut();
        queue.mode = match queue.mode {
            ReadMode::ReadAhead if self.progress.is_response_sent() => ReadMode::Head,
            ReadMode::PassThrough { has_body: false } if !self.progress.is_response_sent() => ReadMode::ReadAhead,
            mode => mode,
        };
        queue.mode
    }
}

impl<S: Socket, H: Handler> Read for ReadAheadStream<S, H> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        cursor: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let polled = match self.update_mode() {
            ReadMode::ReadAhead => return self.poll_read_ahead(context),
            ReadMode::Head => self.poll_head(context, cursor),
            ReadMode::Body(left) => self.poll_body(context, cursor, left),
            ReadMode::PassThrough { .. } => self.poll_pass_through(context, cursor),
        };
        if polled.is_ready() && self.progress.phase() == Phase::Idle {
            self.progress.enter(Phase::ReadingHead);
        }
        polled
    }
}

impl<S: Socket, H: Handler> Write for ReadAheadStream<S, H> {
    fn poll_write(mut self: Pin<&mut Self>, context: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.io).poll_write(context, bytes);
        self.output.record_write(bytes.len(), if let Poll::Ready(Ok(count)) = polled { count } else { 0 });
        self.update_output();
        polled
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.io).poll_flush(context))?;
        self.output.record_flush();
        self.update_output();
        // hyper reads the buffered bytes only when it is woken.
        if self.progress.record_flush() && !self.queue.borrow().buffer.bytes().is_empty() {
            context.waker().wake_by_ref();
        }
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_shutdown(context)
    }
}
