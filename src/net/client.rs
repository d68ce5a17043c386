//! Outgoing HTTP/1.1 connections, to targets, other instances and the store.
//!
//! Owns the socket and the task that drives it. Bounds what is read that is no data: heads, interim responses
//! and the framing of chunks, none of which another side may send without end. Accepts a response only if its
//! end can be told in one way. Relies on hyper.

use crate::task;
use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use std::cell::Cell;
use std::error::Error;
use std::io::{self, ErrorKind, IoSlice};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use thiserror::Error;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

/// Maximum size of the read buffer of a connection, bytes: limits the head of a response, and how much of a
/// response a connection holds while its caller reads slowly.
const READ_BUFFER_SIZE: usize = 32 * 1024;
/// Maximum bytes that are read without the end of a head or data of a body among them: limits interim
/// responses and the framing of chunks. More than a full read buffer, which may be read ahead of data that was
/// not taken yet.
const MAX_OVERHEAD: usize = 4 * READ_BUFFER_SIZE;
/// Bytes of one connection that are read in a row before other tasks get their turn.
const MAX_READ_RUN: usize = 2 * READ_BUFFER_SIZE;
/// The only transfer coding whose end is known.
const CHUNKED: &[u8] = b"chunked";

/// Why a request got no response.
#[derive(Debug, Error)]
pub enum SendError<B> {
    /// No byte of the request was sent; the request is returned.
    #[error("nothing was sent, since the connection was closed")]
    Unsent(Box<Request<B>>),
    /// The connection ended before the head of a response did. The request may have been received.
    #[error("the connection ended before the head of a response did")]
    ConnectionLost,
    /// The bytes received are not a valid HTTP response. The request may have been received.
    #[error("the response is not valid HTTP; check what listens at the address")]
    InvalidResponse,
}

/// One connection. Dropping it closes the connection and cancels the exchange that runs on it.
#[derive(Debug)]
pub struct ClientConnection<B> {
    sender: SendRequest<B>,
    task: AbortHandle,
    overhead: Rc<Overhead>,
}

impl<B> Drop for ClientConnection<B> {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl<B> ClientConnection<B>
where
    B: Body<Data: Send, Error: Into<Box<dyn Error + Send + Sync>>> + 'static,
{
    /// Begins to speak HTTP on a connection that was opened.
    ///
    /// # Errors
    /// Any error of the handshake.
    pub async fn new(stream: TcpStream) -> hyper::Result<Self> {
        let overhead = Rc::new(Overhead::default());
        let stream = MeteredStream { stream, overhead: overhead.clone(), read_in_row: 0 };
        let (sender, connection) =
            Builder::new().max_buf_size(READ_BUFFER_SIZE).handshake(TokioIo::new(stream)).await?;
        let task = task::spawn_passing("client-connection", connection).abort_handle();
        Ok(Self { sender, task, overhead })
    }

    /// Sends a request and waits for the head of the response.
    ///
    /// # Errors
    /// [`SendError`]; [`SendError::Unsent`] only if no byte of the request was sent. The connection cannot be
    /// used again.
    pub async fn send(&mut self, request: Request<B>) -> Result<Response<ReceivedBody>, SendError<B>> {
        self.overhead.reset();
        match self.sender.try_send_request(request).await {
            Ok(response) if has_one_reading(&response) => {
                self.overhead.reset();
                Ok(response.map(|incoming| ReceivedBody { incoming, overhead: self.overhead.clone() }))
            }
            Ok(_) => Err(SendError::InvalidResponse),
            Err(mut error) => match error.take_message() {
                Some(request) => Err(SendError::Unsent(Box::new(request))),
                None if error.error().is_parse() || self.overhead.is_exceeded() => Err(SendError::InvalidResponse),
                None => Err(SendError::ConnectionLost),
            },
        }
    }

    /// Whether the other side still has the connection open. Why it closed the connection makes no
    /// difference here.
    pub async fn is_usable(&mut self) -> bool {
        self.sender.ready().await.is_ok()
    }

    /// Whether the connection is known to be closed.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }
}

/// Whether the end of a response can be told in one way only. hyper reads the body of an unknown transfer
/// coding until the connection closes, ignores a length beside a coding, and takes a switch of protocols, which
/// no request here asks for, as the end of the response.
fn has_one_reading<B>(response: &Response<B>) -> bool {
    let headers = response.headers();
    let mut codings = headers.get_all(TRANSFER_ENCODING).iter();
    let is_framed = match (codings.next(), codings.next()) {
        (None, _) => true,
        (Some(coding), None) => {
            coding.as_bytes().eq_ignore_ascii_case(CHUNKED) && !headers.contains_key(CONTENT_LENGTH)
        }
        (Some(_), Some(_)) => false,
    };
    is_framed && !response.status().is_informational()
}

/// Bytes that were read from a connection since the last head or data of a body.
#[derive(Debug, Default)]
struct Overhead(Cell<usize>);

impl Overhead {
    fn reset(&self) {
        self.0.set(0);
    }

    fn is_exceeded(&self) -> bool {
        self.0.get() > MAX_OVERHEAD
    }

    fn add(&self, count: usize) -> io::Result<()> {
        self.0.set(self.0.get() + count);
        match self.is_exceeded() {
            true => Err(io::Error::new(ErrorKind::InvalidData, "more than a head was read and no data")),
            false => Ok(()),
        }
    }
}

/// The body of a response as it is received.
#[derive(Debug)]
pub struct ReceivedBody {
    incoming: Incoming,
    overhead: Rc<Overhead>,
}

impl Body for ReceivedBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let frame = ready!(Pin::new(&mut self.incoming).poll_frame(context));
        self.overhead.reset();
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.incoming.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming.size_hint()
    }
}

/// The stream of a connection, which counts what is read, and lets other tasks have their turn while the other
/// side sends faster than this one reads.
struct MeteredStream {
    stream: TcpStream,
    overhead: Rc<Overhead>,
    read_in_row: usize,
}

impl AsyncRead for MeteredStream {
    fn poll_read(mut self: Pin<&mut Self>, context: &mut Context<'_>, read: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        if self.read_in_row >= MAX_READ_RUN {
            self.read_in_row = 0;
            context.waker().wake_by_ref();
            return Poll::Pending;
        }
        let before = read.filled().len();
        let Poll::Ready(result) = Pin::new(&mut self.stream).poll_read(context, read) else {
            self.read_in_row = 0;
            return Poll::Pending;
        };
        let count = read.filled().len() - before;
        self.read_in_row += count;
        Poll::Ready(result.and_then(|()| self.overhead.add(count)))
    }
}

impl AsyncWrite for MeteredStream {
    fn poll_write(mut self: Pin<&mut Self>, context: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
