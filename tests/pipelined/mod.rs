//! A connection without a network: a test writes a caller's bytes, ends answers one by one, and
//! reads what comes back. Time passes only when the test says so.

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::header::{CONNECTION, HeaderValue};
use hyper::http::request::Parts;
use hyper::{Request, Response};
use lockloft::clock::Instant;
use lockloft::net::server::read_ahead::early_request::Arrival;
use lockloft::net::server::{CallerBody, ConnectionLimits, Handler, Socket, serve_connection};
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

/// Turns after which all tasks have come to rest.
const TURNS: usize = 64;

/// A request without a body.
pub fn get(path: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nHost: h\r\n\r\n")
}

/// A request with a body.
pub fn post(path: &str, body: &str) -> String {
    format!("POST {path} HTTP/1.1\r\nHost: h\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

/// Bounds on a connection's rests.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Longest time of a head.
    pub head_time: Duration,
    /// Longest rest.
    pub idle_time: Duration,
}

impl Default for Bounds {
    fn default() -> Self {
        Self { head_time: Duration::from_secs(3), idle_time: Duration::from_secs(15) }
    }
}

/// What the caller and the connection have sent each other.
#[derive(Default)]
struct Pipe {
    to_server: RefCell<Vec<u8>>,
    taken: Cell<usize>,
    to_caller: RefCell<Vec<u8>>,
    is_read_closed: Cell<bool>,
    /// Whether the caller reads nothing now.
    is_full: Cell<bool>,
    writer: RefCell<Option<Waker>>,
    reader: RefCell<Option<Waker>>,
}

struct PipeEnd(Rc<Pipe>);

impl AsyncRead for PipeEnd {
    fn poll_read(self: Pin<&mut Self>, context: &mut Context<'_>, into: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let Pipe { to_server, taken, is_read_closed, reader, .. } = &*self.0;
        let bytes = to_server.borrow();
        let count = into.remaining().min(bytes.len() - taken.get());
        if count == 0 && !is_read_closed.get() {
            reader.replace(Some(context.waker().clone()));
            return Poll::Pending;
        }
        into.put_slice(&bytes[taken.get()..][..count]);
        taken.set(taken.get() + count);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for PipeEnd {
    fn poll_write(self: Pin<&mut Self>, context: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        if self.0.is_full.get() {
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

impl Socket for PipeEnd {
    fn is_read_closed(&self) -> bool {
        self.0.is_read_closed.get()
    }
}

/// A handler whose answers the test ends.
struct Answers {
    bounds: Bounds,
    begun: RefCell<Vec<(String, Duration)>>,
    broken_off: RefCell<Vec<String>>,
    finished: RefCell<HashSet<String>>,
    finishes_all: Cell<bool>,
    changed: Notify,
    is_stopping: Cell<bool>,
    unanswered: Cell<i64>,
}

/// Records that a request was broken off, unless its answer was ready.
struct Under<'a> {
    answers: &'a Answers,
    path: String,
    is_ready: bool,
}

impl Drop for Under<'_> {
    fn drop(&mut self) {
        if !self.is_ready {
            self.answers.broken_off.borrow_mut().push(self.path.clone());
        }
    }
}

impl Handler for Answers {
    type Body = Full<Bytes>;

    async fn handle(self: Rc<Self>, request: Request<CallerBody>) -> Response<Full<Bytes>> {
        let path = request.uri().path().to_owned();
        let now = Instant::now();
        let read_at = request.extensions().get::<Arrival>().map_or(now, |arrival| arrival.read_at);
        self.begun.borrow_mut().push((path.clone(), now - read_at));
        let mut under = Under { answers: &self, path: path.clone(), is_ready: false };
        let body = request.into_body().collect().await.map(|body| body.to_bytes()).unwrap_or_default();
        loop {
            let changed = self.changed.notified();
            if self.finishes_all.get() || self.finished.borrow().contains(&path) {
                break;
            }
            changed.await;
        }
        under.is_ready = true;
        let text = format!("{path}{}\n", String::from_utf8_lossy(&body).trim());
        let mut response = Response::new(Full::from(text));
        if path.ends_with("/close") {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }

    fn limits(&self) -> ConnectionLimits {
        let Bounds { head_time, idle_time } = self.bounds;
        ConnectionLimits { head_bytes: 16 * 1024, head_time, idle_time, max_connections: 1 }
    }

    fn count_connections(&self, _: i64) {}

    fn may_begin_early(&self, head: &Parts) -> bool {
        !self.is_stopping.get() && head.uri.path().starts_with("/safe/")
    }

    fn allows_pipelining(&self, head: &Parts) -> bool {
        head.uri.path().starts_with("/safe/")
    }

    fn is_stopping(&self) -> bool {
        self.is_stopping.get()
    }

    fn count_unanswered(&self, change: i64) {
        self.unanswered.set(self.unanswered.get() + change);
    }
}

/// One connection under test.
pub struct Play {
    runtime: Runtime,
    tasks: LocalSet,
    pipe: Rc<Pipe>,
    answers: Rc<Answers>,
    served: JoinHandle<()>,
    /// What came back, as text.
    read: String,
}

impl Play {
    /// A connection that was just opened.
    pub fn new(bounds: Bounds) -> Self {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build().unwrap();
        let tasks = LocalSet::new();
        let pipe = Rc::new(Pipe::default());
        let answers = Rc::new(Answers {
            bounds,
            begun: RefCell::default(),
            broken_off: RefCell::default(),
            finished: RefCell::default(),
            finishes_all: Cell::new(false),
            changed: Notify::new(),
            is_stopping: Cell::new(false),
            unanswered: Cell::new(0),
        });
        let served = {
            let _entered = runtime.enter();
            tasks.spawn_local(serve_connection(PipeEnd(pipe.clone()), answers.clone()))
        };
        let mut play = Self { runtime, tasks, pipe, answers, served, read: String::new() };
        play.settle();
        play
    }

    /// Runs all tasks until they rest.
    fn settle(&mut self) {
        self.tasks.block_on(&self.runtime, async {
            for _ in 0..TURNS {
                yield_now().await;
            }
        });
        self.read = String::from_utf8_lossy(&self.pipe.to_caller.borrow()).into_owned();
    }

    fn wake(&mut self) {
        if let Some(waker) = self.pipe.reader.take() {
            waker.wake();
        }
        self.settle();
    }

    /// The caller sends bytes.
    pub fn send(&mut self, text: &str) {
        self.pipe.to_server.borrow_mut().extend_from_slice(text.as_bytes());
        self.wake();
    }

    /// The caller closes its connection.
    pub fn leave(&mut self) {
        self.pipe.is_read_closed.set(true);
        self.wake();
    }

    /// The caller stops reading what it gets, or goes on.
    pub fn read_nothing(&mut self, is_full: bool) {
        self.pipe.is_full.set(is_full);
        if let Some(waker) = self.pipe.writer.take() {
            waker.wake();
        }
        self.settle();
    }

    /// A planned stop begins.
    pub fn stop(&mut self) {
        self.answers.is_stopping.set(true);
    }

    /// The answer to a path becomes ready.
    pub fn finish(&mut self, path: &str) {
        self.answers.finished.borrow_mut().insert(path.to_owned());
        self.answers.changed.notify_waiters();
        self.settle();
    }

    /// All answers are ready as soon as they are begun.
    pub fn finish_all(&mut self) {
        self.answers.finishes_all.set(true);
        self.answers.changed.notify_waiters();
        self.settle();
    }

    /// Time passes.
    pub fn pass(&mut self, time: Duration) {
        self.tasks.block_on(&self.runtime, async { tokio::time::sleep(time).await });
        self.settle();
    }

    /// Paths of the requests that were begun, in order.
    pub fn begun(&self) -> Vec<String> {
        self.answers.begun.borrow().iter().map(|(path, _)| path.clone()).collect()
    }

    /// How long ago a request was read when it began.
    pub fn age(&self, path: &str) -> Duration {
        let begun = self.answers.begun.borrow();
        begun.iter().find(|(begun, _)| begun == path).expect("it began").1
    }

    /// Paths of the requests that were broken off, in order of their names.
    pub fn broken_off(&self) -> Vec<String> {
        let mut paths = self.answers.broken_off.borrow().clone();
        paths.sort();
        paths
    }

    /// Requests that were read before their turn and have no answer ready.
    pub fn unanswered(&self) -> i64 {
        self.answers.unanswered.get()
    }

    /// Bytes taken from the caller.
    pub fn bytes_read(&self) -> usize {
        self.pipe.taken.get()
    }

    /// What the caller got.
    pub fn read(&self) -> &str {
        &self.read
    }

    /// Bodies that the caller got, each of which is a path and what was sent to it.
    pub fn bodies(&self) -> Vec<&str> {
        self.read.lines().filter(|line| line.starts_with('/')).collect()
    }

    /// Whether the connection is over.
    pub fn is_closed(&self) -> bool {
        self.served.is_finished()
    }
}
