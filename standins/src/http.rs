//! HTTP of the stand-ins: a client whose connections their users keep, and a
//! server for answers that are whole and good.

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{HeaderMap, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;
use tokio::time::timeout;

/// Longest wait for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest wait for the answer to a GET.
const GET_TIMEOUT: Duration = Duration::from_secs(10);
/// Longest wait for the answer to a POST: an apply of policies waits for the
/// store longer than any other call.
const POST_TIMEOUT: Duration = Duration::from_secs(15);
/// Longest wait for what is answered to raw bytes.
const RAW_TIMEOUT: Duration = Duration::from_secs(5);

/// A whole answer.
#[derive(Clone, Debug)]
pub struct Reply {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

impl Reply {
    /// A header as text, empty where absent.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).and_then(|v| v.to_str().ok()).unwrap_or("")
    }
}

/// Why there was no whole answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoReply {
    /// No connection was made.
    Unreachable,
    /// The connection broke, or the time ran out, after the request was sent.
    Broken,
}

/// A client connection, kept alive by its user.
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
}

impl Connection {
    /// Connects to an address.
    ///
    /// # Errors
    /// `Unreachable` where there is no connection within 1 s.
    pub async fn open(address: SocketAddr) -> Result<Self, NoReply> {
        let connected = timeout(CONNECT_TIMEOUT, connect(address)).await;
        let stream = connected.map_err(|_| NoReply::Unreachable)?.map_err(|_| NoReply::Unreachable)?;
        let (sender, connection) = handshake(TokioIo::new(stream)).await.map_err(|_| NoReply::Unreachable)?;
        tokio::spawn(connection);
        Ok(Self { sender })
    }

    /// Waits until another request can be sent; false where the connection is
    /// closed.
    pub async fn is_ready(&mut self) -> bool {
        self.sender.ready().await.is_ok()
    }

    /// Sends a request and reads the whole answer within `wait`.
    ///
    /// # Errors
    /// `Broken` where the connection closes or the time runs out.
    pub async fn send(&mut self, request: Request<Full<Bytes>>, wait: Duration) -> Result<Reply, NoReply> {
        let exchange = async {
            // The task of the connection may still be busy with the end of the
            // previous answer; hyper refuses a request that is sent meanwhile.
            self.sender.ready().await?;
            let response = self.sender.send_request(request).await?;
            let (parts, body) = response.into_parts();
            let body = body.collect().await?.to_bytes();
            Ok::<_, hyper::Error>(Reply { status: parts.status, headers: parts.headers, body })
        };
        match timeout(wait, exchange).await {
            Ok(Ok(reply)) => Ok(reply),
            _ => Err(NoReply::Broken),
        }
    }
}

async fn connect(address: SocketAddr) -> std::io::Result<TcpStream> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    Ok(stream)
}

/// Sends one request over a connection of its own.
///
/// # Errors
/// Where there is no connection, or no whole answer within `wait`.
pub async fn once(address: SocketAddr, request: Request<Full<Bytes>>, wait: Duration) -> Result<Reply, NoReply> {
    Connection::open(address).await?.send(request, wait).await
}

/// Gets one path.
///
/// # Errors
/// As `once`, within 10 s.
pub async fn get(address: SocketAddr, path: &str) -> Result<Reply, NoReply> {
    let request = Request::get(path).header("host", address.to_string()).body(Full::default());
    once(address, request.expect("the path is good"), GET_TIMEOUT).await
}

/// Posts a body to one path.
///
/// # Errors
/// As `once`, within 15 s.
pub async fn post(address: SocketAddr, path: &str, body: Vec<u8>) -> Result<Reply, NoReply> {
    let request = Request::post(path).header("host", address.to_string()).body(Full::from(body));
    once(address, request.expect("the path is good"), POST_TIMEOUT).await
}

/// Sends bytes as they are and reads until the other side closes the connection
/// or 5 s are over.
///
/// # Errors
/// Where there is no connection.
pub async fn raw(address: SocketAddr, bytes: &[u8]) -> std::io::Result<String> {
    let mut stream = TcpStream::connect(address).await?;
    stream.write_all(bytes).await?;
    let mut read = Vec::new();
    // What was read until a reset or the end of the time counts.
    let _ = timeout(RAW_TIMEOUT, stream.read_to_end(&mut read)).await;
    Ok(String::from_utf8_lossy(&read).into_owned())
}

/// How a connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// The other side has closed it.
    Closed,
    /// It was reset.
    Reset,
    /// It was still open after some time.
    Open,
}

/// As `raw`, for bytes that may not all be taken; says how the connection ended.
///
/// # Errors
/// Where there is no connection.
pub async fn raw_with_ending(address: SocketAddr, bytes: &[u8]) -> std::io::Result<(String, Ending)> {
    let mut stream = TcpStream::connect(address).await?;
    let (mut reader, mut writer) = stream.split();
    let mut read = Vec::new();
    let reading = async {
        match timeout(RAW_TIMEOUT, reader.read_to_end(&mut read)).await {
            Ok(Ok(_)) => Ending::Closed,
            Ok(Err(_)) => Ending::Reset,
            Err(_) => Ending::Open,
        }
    };
    // What is not taken shows in what is read.
    let (ending, _) = tokio::join!(reading, timeout(RAW_TIMEOUT, writer.write_all(bytes)));
    Ok((String::from_utf8_lossy(&read).into_owned(), ending))
}

/// The error of a server that closes the connection instead of answering.
#[derive(Debug)]
pub struct Closed;

impl std::fmt::Display for Closed {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("closed on purpose")
    }
}

impl std::error::Error for Closed {}

/// Serves connections with `answer` until the handle is aborted.
pub fn serve<F, A>(listener: TcpListener, answer: F) -> JoinHandle<()>
where
    F: Fn(Request<Incoming>) -> A + Clone + Send + 'static,
    A: Future<Output = Result<Response<Full<Bytes>>, Closed>> + Send + 'static,
{
    tokio::spawn(async move {
        let mut connections = tokio::task::JoinSet::new();
        loop {
            let Ok((stream, _)) = listener.accept().await else { continue };
            // It fails only on a connection that is closed already.
            let _ = stream.set_nodelay(true);
            let answer = answer.clone();
            connections.spawn(async move {
                // An error ends the connection, which is all that it can do here.
                let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service_fn(answer)).await;
            });
            while connections.try_join_next().is_some() {}
        }
    })
}

/// A text answer.
pub fn text(status: StatusCode, body: impl Into<Bytes>) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body.into()));
    *response.status_mut() = status;
    response
}
