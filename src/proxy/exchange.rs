//! One request at one target: sent, answered, and judged.

use crate::decision::next_try::TryOutcome;
use crate::decision::target::{InFlight, LoadReport, Target};
use crate::net::pool::{Connection, SendError};
use crate::net::request_body::RequestBody;
use crate::platform::HeaderNames;
use crate::proxy::answer_body::{AnswerBody, Reuse, StreamedAnswer};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::header::{CONNECTION, HeaderValue};
use hyper::{HeaderMap, Request, Response, StatusCode};
use std::cell::Cell;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep_until, timeout_at};

/// Answers up to this size are read whole before they are passed on, so that
/// one that breaks off can still be replaced.
const MAX_BUFFERED_ANSWER: usize = 64 * 1024;
/// Header in which a target says how long it keeps an idle connection.
const KEEP_ALIVE: &str = "keep-alive";

/// Why a target gave no answer that can be passed on.
#[derive(Debug)]
pub enum Fault {
    /// No connection could be made; the request is given back.
    Unreachable(Box<Request<RequestBody>>),
    /// The target said that it did not run the request.
    NotExecuted,
    /// The exchange broke; the request may have run.
    Lost,
    /// The time given ran out; the request may have run.
    Silent,
}

impl Fault {
    /// What it means for the request.
    pub fn outcome(&self) -> TryOutcome {
        match self {
            Fault::Unreachable(_) => TryOutcome::Unreachable,
            Fault::NotExecuted => TryOutcome::NotExecuted,
            Fault::Lost => TryOutcome::Lost,
            Fault::Silent => TryOutcome::TimedOut,
        }
    }
}

/// A request ready to be sent.
pub struct Exchange<'a> {
    /// Header names.
    pub names: &'a HeaderNames,
    /// Its place at the target.
    pub in_flight: InFlight,
    /// The caller's identity for it.
    pub request_id: Option<&'a HeaderValue>,
    /// When an answer is no longer of use.
    pub until: Instant,
    /// When a body that is being passed on is broken off.
    pub deadline: Instant,
    /// Set once the request's body was sent whole.
    pub sent: Rc<Cell<bool>>,
    /// When it was sent.
    pub started: Instant,
}

impl Exchange<'_> {
    /// Sends the request and gives its answer.
    ///
    /// # Errors
    /// [`Fault`]; what it means for the target was noted there.
    pub async fn run(self, request: Request<RequestBody>) -> Result<Response<AnswerBody>, Fault> {
        let (until, started) = (self.until, self.started);
        let target = self.in_flight.target().clone();
        match timeout_at(until, self.dispatch(request)).await {
            Ok(result) => result,
            Err(_) => {
                target.record_latency(started.elapsed(), Instant::now());
                Err(Fault::Silent)
            }
        }
    }

    async fn dispatch(self, request: Request<RequestBody>) -> Result<Response<AnswerBody>, Fault> {
        let (response, connection) = self.send(request).await?;
        let now = Instant::now();
        let target = self.in_flight.target();
        if !self.is_ours(&response) {
            record_failure(target);
            return Err(Fault::Lost);
        }
        if let Some(report) = text(response.headers(), &self.names.load).and_then(LoadReport::parse) {
            target.report(report, now);
        }
        if response.status() == StatusCode::MISDIRECTED_REQUEST {
            target.mark_replaced();
            return Err(Fault::NotExecuted);
        }
        if response.headers().contains_key(&self.names.not_executed) {
            return Err(Fault::NotExecuted);
        }
        if response.status().is_success() && !response.headers().contains_key(&self.names.signature) {
            record_failure(target);
            return Err(Fault::Lost);
        }
        self.finish(response, connection).await
    }

    async fn send(&self, request: Request<RequestBody>) -> Result<(Response<Incoming>, Connection), Fault> {
        let target = self.in_flight.target();
        let mut request = request;
        while let Some(mut connection) = target.pool.take_idle().await {
            match connection.send(request).await {
                Ok(response) => return Ok((response, connection)),
                Err(SendError::Unsent(unsent)) => request = *unsent,
                Err(SendError::Lost) => {
                    record_failure(target);
                    return Err(Fault::Lost);
                }
            }
        }
        let Ok(mut connection) = target.pool.connect().await else {
            record_failure(target);
            return Err(Fault::Unreachable(Box::new(request)));
        };
        match connection.send(request).await {
            Ok(response) => Ok((response, connection)),
            Err(SendError::Unsent(unsent)) => Err(Fault::Unreachable(unsent)),
            Err(SendError::Lost) => {
                record_failure(target);
                Err(Fault::Lost)
            }
        }
    }

    /// Whether the answer bears our request's identity. An answer without one
    /// can only say that nothing ran.
    fn is_ours(&self, response: &Response<Incoming>) -> bool {
        let answered = response.headers().get(&self.names.request_id);
        match (answered, self.request_id) {
            (Some(answered), Some(asked)) => answered == asked,
            (None, None) => true,
            (None, Some(_)) => response.headers().contains_key(&self.names.not_executed),
            (Some(_), None) => false,
        }
    }

    async fn finish(self, response: Response<Incoming>, connection: Connection) -> Result<Response<AnswerBody>, Fault> {
        let rest = kept_for(response.headers());
        let (mut parts, incoming) = response.into_parts();
        crate::net::headers::remove_hop_by_hop(&mut parts.headers);
        let reuse = Reuse { connection, rest, sent: self.sent };
        let target = &self.in_flight.target().clone();
        let read = match read_whole(incoming).await {
            Ok(read) => read,
            Err(_) => {
                record_failure(target);
                return Err(Fault::Lost);
            }
        };
        if parts.status.is_server_error() {
            record_failure(target);
        } else {
            target.record_success(self.started.elapsed(), Instant::now());
        }
        let body = match read {
            Read::Buffered(bytes) => {
                reuse.settle(&self.in_flight);
                AnswerBody::buffered(bytes)
            }
            Read::Streamed(head, rest) => AnswerBody::Streamed(Box::new(StreamedAnswer {
                head,
                rest,
                deadline: Box::pin(sleep_until(self.deadline)),
                carrier: Some((reuse, self.in_flight)),
            })),
        };
        Ok(Response::from_parts(parts, body))
    }
}

/// Notes a failure that speaks against a target, and tells where it is left
/// alone for it.
fn record_failure(target: &Target) {
    if let Some(lasting) = target.record_failure(Instant::now()) {
        let for_ms = lasting.as_millis() as u64;
        tracing::info!(event = "target_left_alone", id = &*target.id, hall = &*target.hall, for_ms);
    }
}

enum Read {
    Buffered(Bytes),
    Streamed(VecDeque<Bytes>, Incoming),
}

/// Reads an answer whole unless it is large.
async fn read_whole(mut incoming: Incoming) -> Result<Read, hyper::Error> {
    if incoming.size_hint().lower() > MAX_BUFFERED_ANSWER as u64 {
        return Ok(Read::Streamed(VecDeque::new(), incoming));
    }
    let mut chunks = VecDeque::new();
    let mut size = 0;
    while let Some(frame) = incoming.frame().await {
        let Ok(chunk) = frame?.into_data() else { continue };
        size += chunk.len();
        chunks.push_back(chunk);
        if size > MAX_BUFFERED_ANSWER {
            return Ok(Read::Streamed(chunks, incoming));
        }
    }
    if chunks.len() == 1 {
        return Ok(Read::Buffered(chunks.pop_front().expect("there is one")));
    }
    let whole: Vec<u8> = chunks.into_iter().flatten().collect();
    Ok(Read::Buffered(Bytes::from(whole)))
}

fn text<'a>(headers: &'a HeaderMap, name: &hyper::header::HeaderName) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

/// How long the target keeps the connection: `None` where it closes it,
/// `Some(None)` where it does not say.
fn kept_for(headers: &HeaderMap) -> Option<Option<Duration>> {
    let closing = headers.get_all(CONNECTION).iter().any(|value| {
        value.to_str().is_ok_and(|text| text.split(',').any(|word| word.trim().eq_ignore_ascii_case("close")))
    });
    if closing {
        return None;
    }
    let keep_alive = headers.get(KEEP_ALIVE).and_then(|value| value.to_str().ok());
    let seconds = keep_alive.and_then(|text| {
        text.split(',').find_map(|word| word.trim().strip_prefix("timeout=").and_then(|number| number.parse().ok()))
    });
    Some(seconds.map(Duration::from_secs))
}
