//! Sends one request to one target, checks the response and prepares it for the caller.
//!
//! Owns the request's in-flight count at the target, and the connection, until the response is
//! complete or its reader takes over both. Records successes, failures, signals and load reports
//! at the target; relies on its connection pool.

use crate::clock::{Instant, sleep_until, timeout_at};
use crate::decision::capacity::in_flight::InFlight;
use crate::decision::capacity::load_report::LoadReport;
use crate::decision::capacity::rate_limit::LimitSignal;
use crate::decision::failure::isolation::{Failure, FailureKind, OVERDUE_INTERVAL, SILENCE, overdue_after};
use crate::decision::failure::pause::PauseSignal;
use crate::decision::failure::shedding::has_free_slot;
use crate::decision::registry::signals::LeavingSignal;
use crate::decision::registry::target::Target;
use crate::model::config::Idempotency;
use crate::net::client::ReceivedBody;
use crate::net::headers::remove_hop_by_hop;
use crate::net::keep_alive::KeepAlive;
use crate::net::pool::{ConnectError, Connection, SendError};
use crate::net::request_body::RequestBody;
use crate::platform::HeaderNames;
use crate::proxy::buffered_response::{ReadBody, read_body};
use crate::proxy::delivery::Delivery;
use crate::proxy::held_response::{HeldResponseContext, Source};
use crate::proxy::response_body::{ResponseBody, ReusableConnection};
use crate::proxy::response_check::{self, ResponseError};
use crate::proxy::try_error::TryError;
use crate::state::TargetLinks;
use crate::telemetry::metrics::Metrics;
use hyper::header::HeaderValue;
use hyper::{Request, Response, StatusCode};
use std::cell::Cell;
use std::pin::pin;
use std::rc::Rc;

/// One request to one target, and what is needed to send it and to handle its response.
pub struct Exchange<'a> {
    /// Names of the platform's headers.
    pub names: &'a HeaderNames,
    /// Told of answers and failures, by which it is known whether this instance reaches the targets.
    pub links: &'a TargetLinks,
    /// Usual time of the service, seconds; infinite if it is not known.
    pub median_latency: f64,
    /// Instances that send requests.
    pub instances: usize,
    /// Counts invalid load reports.
    pub metrics: &'a Metrics,
    /// Counts the request as in flight at the target.
    pub in_flight: InFlight<Target>,
    /// The caller's request id; `None` if it sent none.
    pub request_id: Option<&'a HeaderValue>,
    /// Whether the request may run more than once.
    pub idempotency: Idempotency,
    /// When the request times out; a response that is still being read from the target is aborted then.
    pub deadline: Instant,
    /// Set once the request's body was sent completely.
    pub request_sent: Rc<Cell<bool>>,
    /// Limits and counters for a response that is held for the caller.
    pub held_responses: HeldResponseContext,
    /// When the try began.
    pub started: Instant,
    /// Set once the request was handed to a connection.
    pub handed_over: Rc<Cell<bool>>,
}

impl Exchange<'_> {
    /// Sends the request and returns the response.
    ///
    /// # Errors
    /// [`TryError`]; its effect on the target is already recorded.
    pub async fn run(self, request: Request<RequestBody>) -> Result<Response<ResponseBody>, TryError> {
        let (deadline, started) = (self.deadline, self.started);
        let (target, links) = (self.in_flight.target().clone(), self.links);
        let handed_over = self.handed_over.clone();
        match timeout_at(deadline, self.send_and_check(request)).await {
            Ok(result) => result,
            Err(_) if !handed_over.get() => {
                if started.elapsed() >= SILENCE {
                    links.record_failure(&request_failure(&target, FailureKind::Unconnected, true));
                }
                Err(TryError::NotSent)
            }
            // Silence says nothing of the target while it may be that of all links.
            Err(_) if links.is_doubtful() => Err(TryError::TimedOut),
            Err(_) => {
                target.record_latency(started.elapsed(), Instant::now());
                target.pool.close_idle_since(started);
                Err(TryError::TimedOut)
            }
        }
    }

    async fn send_and_check(self, request: Request<RequestBody>) -> Result<Response<ResponseBody>, TryError> {
        let (response, connection) = self.send(request).await?;
        let checked = response_check::check(self.names, self.request_id, self.idempotency, &response);
        let report = self.load_report(&response);
        if let Some(report) = report.filter(|_| checked != Err(ResponseError::WrongRequestId)) {
            self.in_flight.target().record_load_report(report, Instant::now());
        }
        if !matches!(checked, Err(ResponseError::WrongRequestId | ResponseError::Misdirected | ResponseError::Unsigned))
        {
            self.apply_signals(&response);
        }
        checked.map_err(|error| self.reject(error, report, response.status()))?;
        self.read_response(response, connection).await
    }

    /// The load that the target reports. An invalid report is counted, and logged once for each
    /// target. Without a valid report, the load is estimated from this instance's requests in flight and
    /// from an earlier report until that no longer counts ([`crate::decision::capacity::load`]).
    fn load_report(&self, response: &Response<ReceivedBody>) -> Option<LoadReport> {
        response_check::load_report(self.names, response.headers()).unwrap_or_else(|error| {
            self.metrics.load_reports_ignored.with_label_values(&[error.as_str()]).inc();
            self.in_flight.target().log_unreadable("load report");
            None
        })
    }

    /// Applies the target's signals in the headers, and logs what they change.
    fn apply_signals(&self, response: &Response<ReceivedBody>) {
        let target = self.in_flight.target();
        let signals = response_check::response_signals(self.names, response);
        if signals.limit == LimitSignal::Unreadable {
            target.log_unreadable("rate limit");
        }
        if signals.leaving == LeavingSignal::Unreadable {
            target.log_unreadable("leaving");
        }
        if signals.pause == PauseSignal::Unreadable {
            target.log_unreadable("pause");
        }
        let change = target.apply_signals(signals, rand::random(), self.started, Instant::now());
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

    /// Updates the target after a response that may not be passed on, and returns the error for it.
    fn reject(&self, error: ResponseError, report: Option<LoadReport>, status: StatusCode) -> TryError {
        let target = self.in_flight.target();
        match error {
            ResponseError::Misdirected => {
                target.mark_replaced();
                TryError::NotExecuted
            }
            ResponseError::NotExecuted if has_free_slot(report) && !target.is_paused(Instant::now()) => TryError::Shed,
            ResponseError::NotExecuted => TryError::NotExecuted,
            ResponseError::UnprovenPromise => {
                self.log_withheld_status(status);
                self.record_end(status);
                TryError::UnusableResponse
            }
            ResponseError::WrongRequestId | ResponseError::Unsigned => self.fail(TryError::UnusableResponse),
        }
    }

    fn log_withheld_status(&self, status: StatusCode) {
        let (target, id) = (self.in_flight.target(), self.request_id.and_then(|id| id.to_str().ok()));
        tracing::info!(
            event = "status_withheld",
            id,
            target = &*target.id,
            hall = &*target.hall,
            status = status.as_u16()
        );
    }

    /// Records a response of the target that ended with this status.
    fn record_end(&self, status: StatusCode) {
        match status.is_server_error() {
            true => self.record_failure(),
            false => self.in_flight.target().record_success(self.started.elapsed(), Instant::now()),
        }
    }

    /// Sends the request over an idle connection, or over a new one if none is usable.
    async fn send(&self, request: Request<RequestBody>) -> Result<(Response<ReceivedBody>, Connection), TryError> {
        let target = self.in_flight.target();
        let mut request = request;
        while let Some(mut connection) = target.pool.take_idle().await {
            match self.send_over(&mut connection, request, false).await {
                Ok(response) => return Ok((response, connection)),
                Err(SendError::Unsent(unsent)) => request = *unsent,
                Err(SendError::ConnectionLost) => return Err(self.fail(TryError::ConnectionLost)),
                Err(SendError::InvalidResponse) => return Err(self.fail(TryError::UnusableResponse)),
            }
        }
        self.send_over_new_connection(request).await
    }

    /// Sends the request over a new connection. The reason why none could be opened is dropped: it
    /// makes no difference to the request, and the event `try_failed` names the target.
    async fn send_over_new_connection(
        &self,
        request: Request<RequestBody>,
    ) -> Result<(Response<ReceivedBody>, Connection), TryError> {
        let target = self.in_flight.target();
        let mut connection = match target.pool.connect().await {
            Ok(connection) => connection,
            Err(error) => {
                self.record_link_failure(connect_failure(&error), true);
                self.record_failure();
                return Err(TryError::Unreachable(Box::new(request)));
            }
        };
        match self.send_over(&mut connection, request, true).await {
            Ok(response) => {
                self.links.record_connected();
                Ok((response, connection))
            }
            Err(SendError::Unsent(unsent)) => Err(TryError::Unreachable(unsent)),
            Err(SendError::ConnectionLost) => Err(self.fail(TryError::ConnectionLost)),
            Err(SendError::InvalidResponse) => Err(self.fail(TryError::UnusableResponse)),
        }
    }

    /// Sends the request over a connection, which may be a new one, and records what that shows of the links to
    /// targets. While the request's body is still being sent, no answer is due.
    async fn send_over(
        &self,
        connection: &mut Connection,
        request: Request<RequestBody>,
        is_new: bool,
    ) -> Result<Response<ReceivedBody>, SendError> {
        self.handed_over.set(true);
        let (sent, _wait) = (Instant::now(), self.links.begin_wait());
        let mut sending = pin!(connection.send(request));
        let result = tokio::select! {
            biased;
            result = &mut sending => result,
            () = self.watch_wait(sent, is_new) => sending.await,
        };
        match &result {
            Ok(_) | Err(SendError::InvalidResponse) => self.links.record_answer(),
            Err(SendError::ConnectionLost) => self.record_link_failure(FailureKind::Refused, is_new),
            Err(SendError::Unsent(_)) => {}
        }
        result
    }

    /// Records that no answer comes to the request sent at `sent`: once it is overdue, and again once the load of the
    /// target does not explain it any more. Completes then.
    async fn watch_wait(&self, sent: Instant, is_new: bool) {
        let mut wait = overdue_after(self.median_latency);
        loop {
            sleep_until(sent + wait).await;
            let known = self.in_flight.target().known_load(self.instances, self.median_latency, Instant::now());
            let kind = FailureKind::of_wait(sent.elapsed(), known);
            if self.request_sent.get() {
                self.record_link_failure(kind, is_new);
            }
            match known.explained_wait() {
                Some(explained) if kind == FailureKind::Waiting => wait = explained.max(wait + OVERDUE_INTERVAL),
                _ => return,
            }
        }
    }

    fn record_link_failure(&self, kind: FailureKind, is_new: bool) {
        self.links.record_failure(&request_failure(self.in_flight.target(), kind, is_new));
    }

    /// Records a failure of the target, and returns `error`.
    fn fail(&self, error: TryError) -> TryError {
        self.record_failure();
        error
    }

    /// Records a failure of the target, and logs the ejection if one follows.
    fn record_failure(&self) {
        let target = self.in_flight.target();
        if let Some(duration) = target.record_failure(self.started, Instant::now()) {
            let for_ms = duration.as_millis() as u64;
            tracing::info!(event = "target_ejected", id = &*target.id, hall = &*target.hall, for_ms);
        }
    }

    /// Reads the body if it is small, and builds the response for the caller.
    async fn read_response(
        self,
        response: Response<ReceivedBody>,
        connection: Connection,
    ) -> Result<Response<ResponseBody>, TryError> {
        let keep_alive = KeepAlive::from(response.headers());
        let (mut parts, incoming) = response.into_parts();
        remove_hop_by_hop(&mut parts.headers);
        let Ok(read) = read_body(incoming).await else {
            self.record_failure();
            return Err(TryError::UnusableResponse);
        };
        self.record_end(parts.status);
        let connection = ReusableConnection { connection, keep_alive, request_sent: self.request_sent.clone() };
        Ok(Response::from_parts(parts, self.into_body(read, connection)))
    }

    /// The body for the caller.
    fn into_body(self, read: ReadBody, connection: ReusableConnection) -> ResponseBody {
        let Self { in_flight, request_id, deadline, held_responses, .. } = self;
        let delivery = Delivery { request_id, deadline, held_responses };
        delivery.body(read, Source { connection, in_flight })
    }
}

/// What it shows that no connection was opened.
pub fn connect_failure(error: &ConnectError) -> FailureKind {
    match error {
        ConnectError::Refused => FailureKind::Refused,
        ConnectError::TimedOut | ConnectError::Failed(_) => FailureKind::Unconnected,
    }
}

/// The failure of a request at a target.
fn request_failure(target: &Target, kind: FailureKind, is_new: bool) -> Failure {
    Failure { target: target.key, hall: target.hall.clone(), kind, is_new, is_probe: false }
}
