//! One request at one target: sent, checked, and its answer made ready to pass on.
//!
//! Owns the request's place among those in flight at the target, and the connection,
//! until the answer is whole or a [`Reader`] takes it off the target. Records successes, failures and load reports at the
//! target; relies on its pool.

use crate::clock::{Instant, timeout_at};
use crate::decision::capacity::in_flight::InFlight;
use crate::decision::capacity::load_report::LoadReport;
use crate::decision::capacity::rate_limit::LimitSignal;
use crate::decision::failure::pause::PauseSignal;
use crate::decision::failure::shedding::has_free_slot;
use crate::decision::registry::signals::LeavingSignal;
use crate::decision::registry::target::Target;
use crate::net::headers::remove_hop_by_hop;
use crate::net::keep_alive::KeepAlive;
use crate::net::pool::{Connection, SendError};
use crate::net::request_body::RequestBody;
use crate::platform::HeaderNames;
use crate::proxy::answer_body::{AnswerBody, Reuse};
use crate::proxy::answer_check::{self, AnswerError};
use crate::proxy::buffered_answer::{ReadBody, read_body};
use crate::proxy::held_answer::buffer::PART;
use crate::proxy::held_answer::{HeldAnswer, Holding, Progress, Reader, Shared};
use crate::proxy::try_error::TryError;
use crate::state::Requests;
use crate::telemetry::metrics::Metrics;
use hyper::body::{Body, Incoming};
use hyper::header::HeaderValue;
use hyper::{Request, Response};
use std::cell::Cell;
use std::rc::Rc;

/// A request ready to be sent.
pub struct Exchange<'a> {
    /// Header names.
    pub names: &'a HeaderNames,
    /// Counts load reports that cannot be read.
    pub metrics: &'a Metrics,
    /// Counts it as in flight at the target.
    pub in_flight: InFlight<Target>,
    /// The caller's identity for it.
    pub request_id: Option<&'a HeaderValue>,
    /// When an answer is no longer of use; an answer's body is broken off then.
    pub deadline: Instant,
    /// Set once the request's body was sent whole.
    pub sent: Rc<Cell<bool>>,
    /// What is held of the answer is bounded and counted by it.
    pub holding: Holding,
    /// Counts an answer that is held as under way.
    pub requests: &'a Requests,
    /// When it was sent.
    pub started: Instant,
}

impl Exchange<'_> {
    /// Sends the request and gives its answer.
    ///
    /// # Errors
    /// [`TryError`]; what it means for the target is recorded there already.
    pub async fn run(self, request: Request<RequestBody>) -> Result<Response<AnswerBody>, TryError> {
        let (deadline, started) = (self.deadline, self.started);
        let target = self.in_flight.target().clone();
        match timeout_at(deadline, self.dispatch(request)).await {
            Ok(result) => result,
            Err(_) => {
                target.record_latency(started.elapsed(), Instant::now());
                target.pool.close_idle_since(started);
                Err(TryError::TimedOut)
            }
        }
    }

    async fn dispatch(self, request: Request<RequestBody>) -> Result<Response<AnswerBody>, TryError> {
        let (response, connection) = self.send(request).await?;
        let checked = answer_check::check(self.names, self.request_id, &response);
        let report = self.load_report(&response);
        if let Some(report) = report.filter(|_| checked != Err(AnswerError::Foreign)) {
            self.in_flight.target().record_load_report(report, Instant::now());
        }
        if !matches!(checked, Err(AnswerError::Foreign | AnswerError::Misdirected | AnswerError::Unsigned)) {
            self.take_statements(&response);
        }
        checked.map_err(|error| self.reject(error, report))?;
        self.finish(response, connection).await
    }

    /// The load that the target reports. One that cannot be read is counted, and logged once a
    /// target; the requests counted here stand in for it.
    fn load_report(&self, response: &Response<Incoming>) -> Option<LoadReport> {
        answer_check::load_report(self.names, response.headers()).unwrap_or_else(|error| {
            self.metrics.load_reports_ignored.with_label_values(&[error.as_str()]).inc();
            self.in_flight.target().log_unreadable("load report");
            None
        })
    }

    /// Takes in what the target says of itself.
    fn take_statements(&self, response: &Response<Incoming>) {
        let target = self.in_flight.target();
        let stated = answer_check::stated(self.names, response);
        if stated.limit == LimitSignal::Unreadable {
            target.log_unreadable("rate limit");
        }
        if stated.leaving == LeavingSignal::Unreadable {
            target.log_unreadable("leaving");
        }
        if stated.pause == PauseSignal::Unreadable {
            target.log_unreadable("pause");
        }
        let change = target.apply_signals(stated, rand::random(), self.started, Instant::now());
        if let Some(rate) = change.limit {
            tracing::info!(event = "target_limit", id = &*target.id, hall = &*target.hall, rate);
        }
        if let Some(pause) = change.pause {
            let for_ms = pause.as_millis() as u64;
            tracing::info!(event = "target_paused", id = &*target.id, hall = &*target.hall, for_ms);
        }
        if change.began_leaving {
            tracing::info!(event = "target_leaving", id = &*target.id, hall = &*target.hall);
        }
    }

    /// What an answer that may not be passed on means for the target and the request.
    fn reject(&self, error: AnswerError, report: Option<LoadReport>) -> TryError {
        let target = self.in_flight.target();
        match error {
            AnswerError::Misdirected => {
                target.mark_replaced();
                TryError::NotExecuted
            }
            AnswerError::NotExecuted if has_free_slot(report) && !target.is_paused(Instant::now()) => TryError::Shed,
            AnswerError::NotExecuted => TryError::NotExecuted,
            AnswerError::Foreign | AnswerError::Unsigned => self.fail(TryError::Lost),
        }
    }

    /// Sends the request over an idle connection, else over a new one.
    async fn send(&self, request: Request<RequestBody>) -> Result<(Response<Incoming>, Connection), TryError> {
        let target = self.in_flight.target();
        let mut request = request;
        while let Some(mut connection) = target.pool.take_idle().await {
            match connection.send(request).await {
                Ok(response) => return Ok((response, connection)),
                Err(SendError::Unsent(unsent)) => request = *unsent,
                Err(SendError::Lost) => return Err(self.fail(TryError::NoAnswer)),
                Err(SendError::Unreadable) => return Err(self.fail(TryError::Lost)),
            }
        }
        self.send_anew(request).await
    }

    /// Sends the request over a new connection. Why none could be opened changes
    /// nothing for the request; its line `try_failed` names the target.
    async fn send_anew(&self, request: Request<RequestBody>) -> Result<(Response<Incoming>, Connection), TryError> {
        let target = self.in_flight.target();
        let Ok(mut connection) = target.pool.connect().await else {
            self.record_failure();
            return Err(TryError::Unreachable(Box::new(request)));
        };
        match connection.send(request).await {
            Ok(response) => Ok((response, connection)),
            Err(SendError::Unsent(unsent)) => Err(TryError::Unreachable(unsent)),
            Err(SendError::Lost) => Err(self.fail(TryError::NoAnswer)),
            Err(SendError::Unreadable) => Err(self.fail(TryError::Lost)),
        }
    }

    /// The error, which counts as a failure of the target.
    fn fail(&self, error: TryError) -> TryError {
        self.record_failure();
        error
    }

    /// Counts a failure of the target, and logs its ejection where that follows.
    fn record_failure(&self) {
        let target = self.in_flight.target();
        if let Some(lasting) = target.record_failure(self.started, Instant::now()) {
            let for_ms = lasting.as_millis() as u64;
            tracing::info!(event = "target_ejected", id = &*target.id, hall = &*target.hall, for_ms);
        }
    }

    /// Reads the answer's body if it is small, and makes the answer for the caller.
    async fn finish(
        self,
        response: Response<Incoming>,
        connection: Connection,
    ) -> Result<Response<AnswerBody>, TryError> {
        let keep_alive = KeepAlive::from(response.headers());
        let (mut parts, incoming) = response.into_parts();
        remove_hop_by_hop(&mut parts.headers);
        let Ok(read) = read_body(incoming).await else {
            self.record_failure();
            return Err(TryError::Lost);
        };
        if parts.status.is_server_error() {
            self.record_failure();
        } else {
            self.in_flight.target().record_success(self.started.elapsed(), Instant::now());
        }
        let reuse = Reuse { connection, keep_alive, sent: self.sent.clone() };
        Ok(Response::from_parts(parts, self.answer_body(read, reuse)))
    }

    /// The body for the caller. Of a large one, the connection and the place at the target go with its
    /// reader.
    fn answer_body(self, read: ReadBody, reuse: Reuse) -> AnswerBody {
        let (holding, counted) = (self.holding, || self.requests.track());
        match read {
            ReadBody::Buffered(bytes) => {
                reuse.settle(&self.in_flight);
                match bytes.len() {
                    0..=PART => AnswerBody::buffered(bytes),
                    _ => AnswerBody::Held(Box::new(HeldAnswer::whole(bytes, &holding.total, counted()))),
                }
            }
            ReadBody::Streamed(head, rest) => {
                let shared = Rc::new(Shared::new(&holding.total, Progress::Reading(rest.size_hint())));
                head.into_iter().for_each(|chunk| shared.push(chunk));
                let (in_flight, deadline, request_id) = (self.in_flight, self.deadline, self.request_id.cloned());
                let counted = counted();
                let reader = Reader { shared, rest, reuse, in_flight, deadline, holding, request_id, counted };
                AnswerBody::Held(Box::new(HeldAnswer::read_by(reader)))
            }
        }
    }
}
