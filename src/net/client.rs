//! Outgoing HTTP/1.1 connections, to targets, other instances and the store.
//!
//! Owns the socket and the task that drives it. Bounds the head of a response. Accepts a response only if its
//! end can be told in one way. Relies on hyper.

use hyper::body::{Body, Incoming};
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use std::error::Error;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

/// Maximum size of the read buffer of a connection, bytes: limits the head of a response, and how much of a
/// response a connection holds while its caller reads slowly.
const READ_BUFFER_SIZE: usize = 32 * 1024;
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
        let (sender, connection) =
            Builder::new().max_buf_size(READ_BUFFER_SIZE).handshake(TokioIo::new(stream)).await?;
        let task = tokio::task::spawn_local(connection).abort_handle();
        Ok(Self { sender, task })
    }

    /// Sends a request and waits for the head of the response.
    ///
    /// # Errors
    /// [`SendError`]; [`SendError::Unsent`] only if no byte of the request was sent. The connection cannot be
    /// used again.
    pub async fn send(&mut self, request: Request<B>) -> Result<Response<Incoming>, SendError<B>> {
        match self.sender.try_send_request(request).await {
            Ok(response) if has_one_reading(&response) => Ok(response),
            Ok(_) => Err(SendError::InvalidResponse),
            Err(mut error) => match error.take_message() {
                Some(request) => Err(SendError::Unsent(Box::new(request))),
                None if error.error().is_parse() => Err(SendError::InvalidResponse),
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
