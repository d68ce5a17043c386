//! An upstream that behaves as PROTOCOL.md says: `capacity` requests at once, a few more in a queue, a health
//! check that waits for a slot as a request does, and work that ends when its connection closes.

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde_json::json;
use standins::ports::free_address;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll, ready};
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::task::JoinHandle;
use tokio::time::Sleep;

/// One run of a request.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub upstream: String,
    pub service: String,
    pub began: Instant,
    /// When the work was done; `None` if its connection closed before, or it still goes on.
    pub done: Option<Instant>,
    /// When its connection closed before the work was done.
    pub cut: Option<Instant>,
}

struct Shared {
    id: String,
    service: String,
    slots: usize,
    queue: usize,
    work: Duration,
    free: Arc<Semaphore>,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    runs: Vec<Run>,
    running: usize,
    waiting: usize,
    health_waits: Vec<Duration>,
    /// Downloads that were answered.
    downloads: usize,
    /// Number of the download whose answer is broken off midway.
    breaks: Option<usize>,
}

pub struct Upstream {
    pub id: String,
    pub address: SocketAddr,
    pub hall: String,
    shared: Arc<Shared>,
    task: JoinHandle<()>,
}

/// A download: its size, the size of a piece, and the time between two pieces.
const LARGE: usize = 320 << 10;
const PIECE: usize = 32 << 10;
const PIECE_EVERY: Duration = Duration::from_millis(20);

/// The body of an answer: all at once, or in pieces.
pub struct AnswerBody {
    left: usize,
    /// Bytes after which the connection is reset, if it is.
    breaks_at: Option<usize>,
    pause: Option<Pin<Box<Sleep>>>,
    text: Option<Bytes>,
    /// Slot and place, until the answer is out.
    _held: Option<(Place, OwnedSemaphorePermit)>,
}

impl AnswerBody {
    fn text(text: &str) -> Self {
        let text = Bytes::from(text.to_owned());
        Self { left: text.len(), breaks_at: None, pause: None, text: Some(text), _held: None }
    }

    fn large(is_broken: bool, held: (Place, OwnedSemaphorePermit)) -> Self {
        let breaks_at = is_broken.then_some(LARGE / 2);
        Self { left: LARGE, breaks_at, pause: None, text: None, _held: Some(held) }
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = std::io::Error;

    fn poll_frame(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<std::io::Result<Frame<Bytes>>>> {
        if let Some(text) = self.text.take() {
            self.left = 0;
            return Poll::Ready((!text.is_empty()).then(|| Ok(Frame::data(text))));
        }
        if self.left == 0 {
            return Poll::Ready(None);
        }
        if let Some(pause) = &mut self.pause {
            ready!(pause.as_mut().poll(context));
        }
        if self.breaks_at.is_some_and(|at| LARGE - self.left >= at) {
            return Poll::Ready(Some(Err(std::io::ErrorKind::ConnectionReset.into())));
        }
        self.pause = Some(Box::pin(tokio::time::sleep(PIECE_EVERY)));
        let size = self.left.min(PIECE);
        self.left -= size;
        Poll::Ready(Some(Ok(Frame::data(Bytes::from(vec![b'x'; size])))))
    }

    fn is_end_stream(&self) -> bool {
        self.left == 0
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.left as u64)
    }
}

impl Drop for Upstream {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Upstream {
    pub async fn start(id: &str, service: &str, hall: &str, slots: usize, queue: usize, work: Duration) -> Self {
        let address = free_address();
        let listener = TcpListener::bind(address).await.expect("the address is free");
        let shared = Arc::new(Shared {
            id: id.to_owned(),
            service: service.to_owned(),
            slots,
            queue,
            work,
            free: Arc::new(Semaphore::new(slots)),
            state: Mutex::default(),
        });
        let task = tokio::spawn(accept(listener, shared.clone()));
        Self { id: id.to_owned(), address, hall: hall.to_owned(), shared, task }
    }

    /// Its entry in the store.
    pub fn entry(&self, address: SocketAddr, state: &str, sequence: u64) -> String {
        json!({
            "address": address.to_string(),
            "info": {"service": self.shared.service, "zone": self.hall, "version": "1", "capacity": self.shared.slots},
            "status": {"state": state, "sequence": sequence, "warmup_ms": 0},
        })
        .to_string()
    }

    pub fn runs(&self) -> Vec<Run> {
        self.shared.state.lock().unwrap().runs.clone()
    }

    /// Has the answer to its download of this number broken off midway.
    pub fn break_off(&self, number: usize) {
        self.shared.state.lock().unwrap().breaks = Some(number);
    }

    /// Downloads that it has answered.
    pub fn downloads(&self) -> usize {
        self.shared.state.lock().unwrap().downloads
    }

    /// How long health checks have waited for a slot.
    pub fn health_waits(&self) -> Vec<Duration> {
        self.shared.state.lock().unwrap().health_waits.clone()
    }
}

async fn accept(listener: TcpListener, shared: Arc<Shared>) {
    let mut connections = tokio::task::JoinSet::new();
    loop {
        let Ok((stream, _)) = listener.accept().await else { continue };
        let _ = stream.set_nodelay(true);
        let shared = shared.clone();
        connections.spawn(async move {
            let service = service_fn(move |request| answer(shared.clone(), request));
            let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
        });
        while connections.try_join_next().is_some() {}
    }
}

/// Counts a request as waiting, then as running, until it is dropped.
struct Place {
    shared: Arc<Shared>,
    is_running: bool,
}

impl Place {
    fn wait(shared: &Arc<Shared>) -> Self {
        shared.state.lock().unwrap().waiting += 1;
        Self { shared: shared.clone(), is_running: false }
    }

    fn begin(&mut self) {
        let mut state = self.shared.state.lock().unwrap();
        state.waiting -= 1;
        state.running += 1;
        self.is_running = true;
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let mut state = self.shared.state.lock().unwrap();
        match self.is_running {
            true => state.running -= 1,
            false => state.waiting -= 1,
        }
    }
}

/// Notes a run as cut if it is dropped before its end.
struct RunGuard {
    shared: Arc<Shared>,
    number: usize,
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        let run = &mut self.shared.state.lock().unwrap().runs[self.number];
        if run.done.is_none() {
            run.cut = Some(Instant::now());
        }
    }
}

type Answer = Response<AnswerBody>;

async fn answer(shared: Arc<Shared>, request: Request<Incoming>) -> Result<Answer, Infallible> {
    let header = |name: &str| request.headers().get(name).and_then(|v| v.to_str().ok()).unwrap_or("").to_owned();
    let (id, expected) = (header("lockloft-request-id"), header("lockloft-expect-instance"));
    let path = request.uri().path().to_owned();
    if request.into_body().collect().await.is_err() {
        return Ok(reply(&shared, StatusCode::BAD_REQUEST, &id, &[("lockloft-not-executed", "1")], ""));
    }
    if !expected.is_empty() && expected != shared.id {
        return Ok(reply(&shared, StatusCode::MISDIRECTED_REQUEST, &id, &[("lockloft-not-executed", "1")], ""));
    }
    let is_full = {
        let state = shared.state.lock().unwrap();
        state.running + state.waiting >= shared.slots + shared.queue
    };
    if is_full {
        return Ok(reply(&shared, StatusCode::SERVICE_UNAVAILABLE, &id, &[("lockloft-not-executed", "1")], ""));
    }
    let arrived = Instant::now();
    let mut place = Place::wait(&shared);
    let slot = shared.free.clone().acquire_owned().await.expect("it is never closed");
    place.begin();
    if path == "/health" {
        shared.state.lock().unwrap().health_waits.push(arrived.elapsed());
        let own = shared.id.clone();
        return Ok(reply(&shared, StatusCode::OK, &id, &[("lockloft-instance-id", &own)], ""));
    }
    let number = {
        let mut state = shared.state.lock().unwrap();
        let (upstream, service) = (shared.id.clone(), shared.service.clone());
        state.runs.push(Run { id: id.clone(), upstream, service, began: Instant::now(), done: None, cut: None });
        state.runs.len() - 1
    };
    let guard = RunGuard { shared: shared.clone(), number };
    tokio::time::sleep(shared.work).await;
    shared.state.lock().unwrap().runs[number].done = Some(Instant::now());
    drop(guard);
    if path.starts_with("/pack/") {
        let is_broken = {
            let mut state = shared.state.lock().unwrap();
            state.downloads += 1;
            state.breaks == Some(state.downloads)
        };
        let signature = format!("signed-{id}");
        let head = reply(&shared, StatusCode::OK, &id, &[("lockloft-response-signature", &signature)], "");
        return Ok(head.map(|_| AnswerBody::large(is_broken, (place, slot))));
    }
    drop(slot);
    drop(place);
    let (signature, body) = (format!("signed-{id}"), format!("{} {} {id}", shared.service, shared.id));
    Ok(reply(&shared, StatusCode::OK, &id, &[("lockloft-response-signature", &signature)], &body))
}

fn reply(shared: &Shared, status: StatusCode, id: &str, headers: &[(&str, &str)], body: &str) -> Answer {
    let load = {
        let state = shared.state.lock().unwrap();
        format!("{},{},{}", state.running, state.waiting, shared.slots)
    };
    let mut builder = Response::builder().status(status).header("lockloft-server-load", load);
    if !id.is_empty() {
        builder = builder.header("lockloft-request-id", id);
    }
    for (name, value) in headers {
        builder = builder.header(*name, *value);
    }
    builder.body(AnswerBody::text(body)).expect("the parts are good")
}
