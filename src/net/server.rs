//! Connections of callers and peers: accepted, served, and closed when they
//! rest too long or send a head too slowly.

use hyper::body::{Body, Bytes, Frame, Incoming, SizeHint};
use hyper::rt::{Read, ReadBufCursor, Write};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use std::cell::Cell;
use std::convert::Infallible;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, sleep, sleep_until};

/// The least buffer that hyper takes for a head.
const MIN_HEAD_BUFFER: usize = 8 * 1024;
/// Wait where no more connections can be taken.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Bounds on a connection.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionLimits {
    /// Largest head, bytes.
    pub head_bytes: usize,
    /// Longest time to send a head.
    pub head_time: Duration,
    /// Longest rest.
    pub idle_time: Duration,
    /// Connections that are open at once; more wait to be accepted.
    pub connections: u32,
}

impl ConnectionLimits {
    /// Bounds on connections of peers, operators and the platform, which are few and
    /// send small heads.
    pub const INNER: Self = Self {
        head_bytes: 16 * 1024,
        head_time: Duration::from_secs(3),
        idle_time: Duration::from_secs(15),
        connections: 256,
    };
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Between requests.
    Resting,
    /// A head has begun to come.
    ReadingHead,
    /// A request is being worked on.
    Busy,
}

#[derive(Debug)]
struct Progress {
    phase: Cell<Phase>,
    since: Cell<Instant>,
}

impl Progress {
    fn enter(&self, phase: Phase) {
        self.phase.set(phase);
        self.since.set(Instant::now());
    }

    /// When the connection is to be closed if nothing happens.
    fn deadline(&self, limits: &ConnectionLimits) -> Option<Instant> {
        match self.phase.get() {
            Phase::Resting => Some(self.since.get() + limits.idle_time),
            Phase::ReadingHead => Some(self.since.get() + limits.head_time),
            Phase::Busy => None,
        }
    }
}

/// A stream that notes when a head begins.
struct Noted {
    io: TokioIo<TcpStream>,
    progress: Rc<Progress>,
}

impl Read for Noted {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: ReadBufCursor<'_>,
    ) -> Poll<std::io::Result<()>> {
        let polled = Pin::new(&mut self.io).poll_read(context, buffer);
        if polled.is_ready() && self.progress.phase.get() == Phase::Resting {
            self.progress.enter(Phase::ReadingHead);
        }
        polled
    }
}

impl Write for Noted {
    fn poll_write(mut self: Pin<&mut Self>, context: &mut Context<'_>, bytes: &[u8]) -> Poll<std::io::Result<usize>> {
        Pin::new(&mut self.io).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.io).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.io).poll_shutdown(context)
    }
}

/// An answer's body that notes its end.
struct NotedBody<B> {
    body: B,
    progress: Rc<Progress>,
}

impl<B> Drop for NotedBody<B> {
    fn drop(&mut self) {
        self.progress.enter(Phase::Resting);
    }
}

impl<B: Body<Data = Bytes> + Unpin> Body for NotedBody<B> {
    type Data = Bytes;
    type Error = B::Error;

    fn poll_frame(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, B::Error>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// What answers the requests of a listener.
pub trait Handler: 'static {
    /// The body of an answer.
    type Body: Body<Data = Bytes, Error: std::error::Error + Send + Sync> + Unpin;
    /// Answers a request.
    fn answer(self: Rc<Self>, request: Request<Incoming>) -> impl Future<Output = Response<Self::Body>>;
    /// Bounds on its connections, asked for each new one.
    fn limits(&self) -> ConnectionLimits;
    /// Told when a connection opens (1) and closes (-1).
    fn connections(&self, change: i64);
}

/// Accepts and serves connections until the process ends.
pub async fn listen<H: Handler>(listener: TcpListener, handler: Rc<H>) {
    let open = Rc::new(Cell::new(0));
    loop {
        if open.get() >= handler.limits().connections {
            sleep(ACCEPT_PAUSE).await;
            continue;
        }
        match listener.accept().await {
            Ok((stream, _)) => {
                let counted = Open::new(open.clone());
                tokio::task::spawn_local(serve(stream, handler.clone(), counted));
            }
            Err(_) => sleep(ACCEPT_PAUSE).await,
        }
    }
}

/// Counts a connection for as long as it is open.
struct Open(Rc<Cell<u32>>);

impl Open {
    fn new(count: Rc<Cell<u32>>) -> Self {
        count.set(count.get() + 1);
        Self(count)
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

async fn serve<H: Handler>(stream: TcpStream, handler: Rc<H>, _open: Open) {
    let _ = stream.set_nodelay(true);
    let limits = handler.limits();
    let progress = Rc::new(Progress { phase: Cell::new(Phase::Resting), since: Cell::new(Instant::now()) });
    let noted = Noted { io: TokioIo::new(stream), progress: progress.clone() };
    let service = service_fn(|request| {
        let (handler, progress) = (handler.clone(), progress.clone());
        async move {
            progress.enter(Phase::Busy);
            let answer = handler.answer(request).await;
            Ok::<_, Infallible>(answer.map(|body| NotedBody { body, progress }))
        }
    });
    let mut builder = http1::Builder::new();
    builder.max_buf_size(limits.head_bytes.max(MIN_HEAD_BUFFER));
    let mut connection = pin!(builder.serve_connection(noted, service));
    handler.connections(1);
    loop {
        let look = progress.deadline(&limits).unwrap_or_else(|| Instant::now() + limits.head_time);
        tokio::select! {
            _ = connection.as_mut() => break,
            () = sleep_until(look.min(Instant::now() + limits.head_time)) => {}
        }
        if progress.deadline(&limits).is_some_and(|deadline| deadline <= Instant::now()) {
            break;
        }
    }
    handler.connections(-1);
}
