//! A connection without a network. A test sends a caller's bytes, completes responses one by one, and
//! reads what the caller receives. Time advances only when the test asks for it.
//!
//! Requests for paths under `/safe/` are idempotent, all others (`/once/`) are not. The response to a path
//! that ends with `/close` closes the connection.

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::header::{CONNECTION, HeaderValue};
use hyper::http::request::Parts;
use hyper::{Request, Response};
use lockloft::clock::Instant;
use lockloft::net::server::read_ahead::early_request::Arrival;
use lockloft::net::server::{CallerBody, ConnectionLimits, Connections, Handler, Socket, serve_connection};
use std::cell::{Cell, RefCell};
use std::collections::HashSet;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::runtime::Runtime;
use tokio::sync::Notify;
use tokio::task::{JoinHandle, LocalSet, yield_now};

/// Number of yields after which all tasks are idle.
const SETTLE_YIELDS: usize = 64;

/// A request without a body.
pub fn get(path: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nHost: h\r\n\r\n")
}

/// A request with a body.
pub fn post(path: &str, body: &str) -> String {
    format!("POST {path} HTTP/1.1\r\nHost: h\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

/// Timeouts of a connection.
#[derive(Clone, Copy, Debug)]
pub struct Timeouts {
    /// Longest time for a request head.
    pub head_time: Duration,
    /// Longest time between two requests.
    pub idle_time: Duration,
}

impl Default for Timeouts {
    fn default() -> Self {
        Self { head_time: Duration::from_secs(3), idle_time: Duration::from_secs(15) }
    }
}

/// Bytes that the caller and the server have sent each other, and the state of both sides.
#[derive(Default)]
struct Pipe {
    to_server: RefCell<Vec<u8>>,
    /// Number of bytes of `to_server` that the server has read.
    bytes_read: Cell<usize>,
    to_caller: RefCell<Vec<u8>>,
    is_closed_by_caller: Cell<bool>,
    /// Whether the caller has stopped reading.
    is_caller_paused: Cell<bool>,
    writer: RefCell<Option<Waker>>,
    reader: RefCell<Option<Waker>>,
}

struct ServerSide(Rc<Pipe>);

impl AsyncRead for ServerSide {
    fn poll_read(self: Pin<&mut Self>, context: &mut Context<'_>, into: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let Pipe { to_server, bytes_read, is_closed_by_caller, reader, .. } = &*self.0;
        let bytes = to_server.borrow();
        let count = into.remaining().min(bytes.len() - bytes_read.get());
        if count == 0 && !is_closed_by_caller.get() {
            reader.replace(Some(context.waker().clone()));
            return Poll::Pending;
        }
        into.put_slice(&bytes[bytes_read.get()..][..count]);
        bytes_read.set(bytes_read.get() + count);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for ServerSide {
    fn poll_write(self: Pin<&mut Self>, context: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        if self.0.is_caller_paused.get() {
            self.0.writer.replace(Some(context.waker().clone()));
            return Poll::Pending;
        }
        self.0.to_caller.borrow_mut().extend_from_slice(bytes);
        Poll::Ready(Ok(bytes.len()))
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}

impl Socket for ServerSide {
    fn is_read_closed(&self) -> bool {
        self.0.is_closed_by_caller.get()
    }
}

/// A handler whose responses are completed by the test.
struct TestHandler {
    timeouts: Timeouts,
    /// Path of each request that began, and the time from reading its head until then.
    begun: RefCell<Vec<(String, Duration)>>,
    cancelled: RefCell<Vec<String>>,
    completed: RefCell<HashSet<String>>,
    completes_all: Cell<bool>,
    changed: Notify,
    is_stopping: Cell<bool>,
    read_ahead: Cell<i64>,
    connections: Rc<Connections>,
}

/// Records a request as cancelled if it is dropped before its response is complete.
struct CancellationRecorder<'a> {
    handler: &'a TestHandler,
    path: String,
    is_complete: bool,
}

impl Drop for CancellationRecorder<'_> {
    fn drop(&mut self) {
        if !self.is_complete {
            self.handler.cancelled.borrow_mut().push(self.path.clone());
        }
    }
}

impl Handler for TestHandler {
    type Body = Full<Bytes>;

    async fn handle(self: Rc<Self>, request: Request<CallerBody>) -> Response<Full<Bytes>> {
        let path = request.uri().path().to_owned();
        let now = Instant::now();
        let read_at = request.extensions().get::<Arrival>().map_or(now, |arrival| arrival.read_at);
        self.begun.borrow_mut().push((path.clone(), now - read_at));
        let mut recorder = CancellationRecorder { handler: &self, path: path.clone(), is_complete: false };
        let body = request.into_body().collect().await.map(|body| body.to_bytes()).unwrap_or_default();
        loop {
            let changed = self.changed.notified();
            if self.completes_all.get() || self.completed.borrow().contains(&path) {
                break;
            }
            changed.await;
        }
        recorder.is_complete = true;
        let text = format!("{path}{}\n", String::from_utf8_lossy(&body).trim());
        let mut response = Response::new(Full::from(text));
        if path.ends_with("/close") {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }

    fn limits(&self) -> ConnectionLimits {
        let Timeouts { head_time, idle_time } = self.timeouts;
        ConnectionLimits {
            head_bytes: 16 * 1024,
            head_time,
            idle_time,
            stall_time: Duration::from_secs(30),
            max_connections: 1,
        }
    }

    fn connections(&self) -> &Rc<Connections> {
        &self.connections
    }

    fn count_connections(&self, _: i64) {}

    fn may_begin_early(&self, head: &Parts) -> bool {
        !self.is_stopping.get() && head.uri.path().starts_with("/safe/")
    }

    fn allows_early_requests_behind(&self, head: &Parts) -> bool {
        head.uri.path().starts_with("/safe/")
    }

    fn is_stopping(&self) -> bool {
        self.is_stopping.get()
    }

    fn count_read_ahead(&self, change: i64) {
        self.read_ahead.set(self.read_ahead.get() + change);
    }
}

/// One connection under test.
pub struct TestConnection {
    runtime: Runtime,
    tasks: LocalSet,
    pipe: Rc<Pipe>,
    handler: Rc<TestHandler>,
    served: JoinHandle<()>,
    /// All bytes that the caller received, as text.
    received: String,
}

impl TestConnection {
    /// Opens a connection with these timeouts.
    pub fn new(timeouts: Timeouts) -> Self {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build().unwrap();
        let tasks = LocalSet::new();
        let pipe = Rc::new(Pipe::default());
        let handler = Rc::new(TestHandler {
            timeouts,
            begun: RefCell::default(),
            cancelled: RefCell::default(),
            completed: RefCell::default(),
            completes_all: Cell::new(false),
            changed: Notify::new(),
            is_stopping: Cell::new(false),
            read_ahead: Cell::new(0),
            connections: Rc::default(),
        });
        let served = {
            let _entered = runtime.enter();
            tasks.spawn_local(serve_connection(ServerSide(pipe.clone()), handler.clone()))
        };
        let mut connection = Self { runtime, tasks, pipe, handler, served, received: String::new() };
        connection.settle();
        connection
    }

    /// Runs all tasks until they are idle.
    fn settle(&mut self) {
        self.tasks.block_on(&self.runtime, async {
            for _ in 0..SETTLE_YIELDS {
                yield_now().await;
            }
        });
        self.received = String::from_utf8_lossy(&self.pipe.to_caller.borrow()).into_owned();
    }

    fn wake(&mut self) {
        if let Some(waker) = self.pipe.reader.take() {
            waker.wake();
        }
        self.settle();
    }

    /// Sends bytes of the caller.
    pub fn send(&mut self, text: &str) {
        self.pipe.to_server.borrow_mut().extend_from_slice(text.as_bytes());
        self.wake();
    }

    /// Closes the caller's side of the connection.
    pub fn disconnect(&mut self) {
        self.pipe.is_closed_by_caller.set(true);
        self.wake();
    }

    /// Makes the caller stop or resume reading.
    pub fn set_caller_paused(&mut self, is_paused: bool) {
        self.pipe.is_caller_paused.set(is_paused);
        if let Some(waker) = self.pipe.writer.take() {
            waker.wake();
        }
        self.settle();
    }

    /// Begins a planned stop.
    pub fn stop(&mut self) {
        self.handler.is_stopping.set(true);
    }

    /// Completes the response to the requests for `path`.
    pub fn complete(&mut self, path: &str) {
        self.handler.completed.borrow_mut().insert(path.to_owned());
        self.handler.changed.notify_waiters();
        self.settle();
    }

    /// Completes all responses, now and later ones as soon as their requests begin.
    pub fn complete_all(&mut self) {
        self.handler.completes_all.set(true);
        self.handler.changed.notify_waiters();
        self.settle();
    }

    /// Advances the time.
    pub fn advance(&mut self, time: Duration) {
        self.tasks.block_on(&self.runtime, async { tokio::time::sleep(time).await });
        self.settle();
    }

    /// Paths of the requests that began, in order.
    pub fn begun(&self) -> Vec<String> {
        self.handler.begun.borrow().iter().map(|(path, _)| path.clone()).collect()
    }

    /// Time from when the head of a request was read until the request began.
    pub fn age(&self, path: &str) -> Duration {
        let begun = self.handler.begun.borrow();
        begun.iter().find(|(begun, _)| begun == path).expect("it began").1
    }

    /// Paths of the cancelled requests, sorted.
    pub fn cancelled(&self) -> Vec<String> {
        let mut paths = self.handler.cancelled.borrow().clone();
        paths.sort();
        paths
    }

    /// Number of requests that were read before their turn and still count as read ahead
    /// ([`Handler::count_read_ahead`]).
    pub fn read_ahead_count(&self) -> i64 {
        self.handler.read_ahead.get()
    }

    /// Number of the caller's bytes that the server has read.
    pub fn bytes_read(&self) -> usize {
        self.pipe.bytes_read.get()
    }

    /// All bytes that the caller received, as text.
    pub fn received(&self) -> &str {
        &self.received
    }

    /// Response bodies that the caller received, each of which is the path and the body of its request.
    pub fn bodies(&self) -> Vec<&str> {
        self.received.lines().filter(|line| line.starts_with('/')).collect()
    }

    /// Whether the server has closed the connection.
    pub fn is_closed(&self) -> bool {
        self.served.is_finished()
    }
}
