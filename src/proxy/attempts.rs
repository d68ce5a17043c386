//! Tries a request at targets until one responds or no further try is allowed.
//!
//! [`crate::decision::failure::next_try`] decides whether there is another try,
//! [`crate::proxy::target_choice`] which target gets it, and [`crate::proxy::exchange`] carries out
//! one try. Owns the count of tries, and the body between tries; deposits to and withdraws from the
//! instance's retry budget.

use crate::clock::Instant;
use crate::decision::capacity::rate_limit::SendKind;
use crate::decision::failure::isolation::Reach;
use crate::decision::failure::next_try::{
    FailedTries, TryDecision, TryOutcome, UnmetPrecondition, earlier_failure_reason, has_time, next_forward, next_try,
};
use crate::decision::registry::target::Target;
use crate::decision::registry::target_key::TargetKey;
use crate::decision::selection::choice::ChosenTarget;
use crate::net::request_body::RequestBody;
use crate::platform::Platform;
use crate::proxy::access_record::AccessRecord;
use crate::proxy::caller_request::CallerRequest;
use crate::proxy::exchange::Exchange;
use crate::proxy::forward::{Forward, ForwardFailure};
use crate::proxy::held_response::HeldResponseContext;
use crate::proxy::incoming_body::IncomingBody;
use crate::proxy::origin::Origin;
use crate::proxy::outgoing_request::{TargetIdError, outgoing_request};
use crate::proxy::refusal::Refusal;
use crate::proxy::response_body::ResponseBody;
use crate::proxy::strikes::{admit, record_lost_connection, record_response, report_pending};
use crate::proxy::target_choice::TargetChoice;
use crate::proxy::try_error::TryError;
use hyper::{Request, Response};
use std::cell::Cell;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

/// A try whose preconditions are met.
struct PreparedTry {
    chosen: ChosenTarget,
    request: Request<RequestBody>,
    /// Strikes against the request that are known when the try begins.
    strikes: u32,
}

/// Who sends a request.
enum Sender {
    /// This instance.
    This,
    /// Another instance.
    Other,
    /// Another instance if one takes it, otherwise this one.
    OtherFirst,
}

/// How a try ended.
enum TryEnd {
    /// By the exchange with the target.
    Exchange(Result<Response<ResponseBody>, TryError>),
    /// Another instance repeated the request.
    Forwarded(Response<ResponseBody>),
}

/// The tries of one request.
pub struct Attempts<'a, P: Platform> {
    request: &'a CallerRequest<'a, P>,
    choice: TargetChoice<'a, P>,
    body: IncomingBody,
    /// Failed tries.
    tries: FailedTries,
    /// Targets that are not chosen again.
    tried: Vec<TargetKey>,
    /// Whether another instance was asked to send it while this one might reach targets.
    has_asked: bool,
}

impl<'a, P: Platform> Attempts<'a, P> {
    /// Creates the state of a request that this instance has not tried yet. Deposits in the retry budget the
    /// fraction of a retry that each request adds to it, unless the instance that forwarded it has done so.
    pub fn new(request: &'a CallerRequest<'a, P>, body: IncomingBody) -> Self {
        let choice = TargetChoice::new(request);
        if *request.origin == Origin::Caller {
            request.instance.retry_budgets.borrow_mut().deposit(choice.service());
        }
        let sends = request.origin.entry().map_or(0, |entry| entry.sends);
        let tries = FailedTries { sends, ..FailedTries::default() };
        Self { request, choice, body, tries, tried: Vec::new(), has_asked: false }
    }

    /// Tries the request at targets, and returns the first response that can be passed on.
    ///
    /// # Errors
    /// [`Refusal`] if there is none.
    pub async fn run(mut self, record: &mut AccessRecord) -> Result<Response<ResponseBody>, Refusal> {
        record.affinity = Some(self.choice.affinity());
        let result = self.try_targets(record).await;
        if result.is_err() {
            report_pending(self.request);
        }
        result
    }

    async fn try_targets(&mut self, record: &mut AccessRecord) -> Result<Response<ResponseBody>, Refusal> {
        loop {
            match self.sender() {
                Sender::This => {}
                Sender::Other if !self.may_forward() => {
                    return Err(self.refusal_for(UnmetPrecondition::NoTarget, Refusal::Isolated));
                }
                Sender::Other => {
                    let Some(response) = self.forward(record).await? else { continue };
                    return Ok(response);
                }
                Sender::OtherFirst => {
                    let Some(response) = self.ask_other(record).await? else { continue };
                    return Ok(response);
                }
            }
            let costs_retry = match next_try(&self.tries, self.request.route.into()) {
                TryDecision::Try { costs_retry } => costs_retry,
                TryDecision::Refuse(reason) => return Err(reason.into()),
            };
            self.choice.wait_for_allowances(&self.tried).await;
            let PreparedTry { chosen: ChosenTarget { target, is_second }, request, strikes } =
                self.prepare_try(costs_retry, record)?;
            self.tried.push(target.key);
            record.load = target.load(Instant::now());
            record.target = Some(target.clone());
            let started = Instant::now();
            target.count_sent(self.send_kind(&target, is_second));
            let result = match self.send(request, &target, record).await {
                TryEnd::Exchange(result) => result,
                TryEnd::Forwarded(response) => return Ok(response),
            };
            record.last_try_time = Some(started.elapsed());
            if is_second {
                self.record_second_target_latency(&target, &result, started.elapsed());
            }
            match result {
                Ok(response) => {
                    record.sends = self.tries.sends + 1;
                    record_response(self.request);
                    return Ok(response);
                }
                Err(error) => {
                    if matches!(error, TryError::ConnectionLost) {
                        record_lost_connection(self.request, &target, strikes).await;
                    }
                    self.record_failure(error, &target);
                    record.sends = self.tries.sends;
                }
            }
        }
    }

    /// Who sends the request, as far as this instance's links go. An instance that is alone goes on to try targets,
    /// since nothing is to be gained by not doing so.
    fn sender(&self) -> Sender {
        let is_alone = || !self.request.instance.has_other_members();
        match self.request.instance.links.reach() {
            Reach::Nothing if !is_alone() => Sender::Other,
            Reach::OpenConnections if self.may_forward() && !self.has_open_connection() => Sender::Other,
            // A body that one instance has declined has to be left for this one.
            Reach::Uncertain if !self.has_asked && self.may_forward() && self.body.can_be_sent_again() => {
                Sender::OtherFirst
            }
            _ => Sender::This,
        }
    }

    /// Whether another instance may send the request: it was not forwarded before, and there is one.
    fn may_forward(&self) -> bool {
        *self.request.origin == Origin::Caller && self.request.instance.has_other_members()
    }

    /// Whether a connection is open to the target that is due. The choice is made without a charge, since the
    /// instance that sends the request charges for it.
    fn has_open_connection(&self) -> bool {
        self.choice.preview(&self.tried).is_none_or(|target| target.pool.has_idle(Instant::now()))
    }

    /// Whether another instance may repeat the request while this one waits for the answer of a try.
    fn may_repeat(&self) -> bool {
        let is_allowed =
            matches!(next_forward(&self.tries_if_lost(), self.request.route.into()), TryDecision::Try { .. });
        is_allowed && self.body.can_be_sent_again() && self.may_forward()
    }

    /// The failed tries, should the one under way be lost.
    fn tries_if_lost(&self) -> FailedTries {
        let mut tries = self.tries;
        tries.record(TryOutcome::Lost);
        tries
    }

    /// Has another instance send the request. `None` if that instance broke off: whether the request is
    /// repeated is then decided as after any other try.
    async fn forward(&mut self, record: &mut AccessRecord) -> Result<Option<Response<ResponseBody>>, Refusal> {
        if let TryDecision::Refuse(reason) = next_forward(&self.tries, self.request.route.into()) {
            return Err(reason.into());
        }
        self.request.check_api_key().map_err(|refusal| self.refusal_for(UnmetPrecondition::InvalidKey, refusal))?;
        let forward = Forward::new(self.request, self.tries.sends);
        match forward.run(&mut self.body, record).await {
            Ok(response) => Ok(Some(response)),
            Err(ForwardFailure::NoPeer) => Err(self.refusal_for(UnmetPrecondition::NoTarget, Refusal::Isolated)),
            Err(ForwardFailure::TooLate) => Err(self.refusal_for(UnmetPrecondition::TooLate, Refusal::TooLate)),
            Err(ForwardFailure::Refused(refusal)) if self.tries.may_have_run && refusal.guarantees_not_run() => {
                Err(Refusal::Lost)
            }
            Err(ForwardFailure::Refused(refusal)) => Err(refusal),
            Err(ForwardFailure::Lost) => {
                self.tries.record(TryOutcome::Lost);
                Ok(None)
            }
            Err(ForwardFailure::TimedOut) => {
                self.tries.record(TryOutcome::TimedOut);
                Ok(None)
            }
        }
    }

    /// Chooses a target and builds the request for it. The order of the checks determines which
    /// refusal the caller gets. The retry budget is charged last, so that every withdrawal is
    /// followed by a send.
    fn prepare_try(&mut self, costs_retry: bool, record: &mut AccessRecord) -> Result<PreparedTry, Refusal> {
        self.request.check_api_key().map_err(|refusal| self.refusal_for(UnmetPrecondition::InvalidKey, refusal))?;
        let strikes =
            admit(self.request).map_err(|refusal| self.refusal_for(UnmetPrecondition::Quarantined, refusal))?;
        // That an earlier try consumed a streamed body is not logged: the access log line has the
        // failure of that try.
        let body = self
            .body
            .for_try()
            .ok_or_else(|| self.refusal_for(UnmetPrecondition::RequestUnavailable, Refusal::NoTarget))?;
        let chosen = self.choice.choose(&self.tried, record);
        let chosen = chosen.map_err(|refusal| self.refusal_for(UnmetPrecondition::NoTarget, refusal))?;
        if !has_time(self.request.deadline.saturating_duration_since(Instant::now())) {
            return Err(self.refusal_for(UnmetPrecondition::TooLate, Refusal::TooLate));
        }
        let request = outgoing_request(self.request, body, &chosen.target).map_err(|error| {
            self.log_invalid_target_id(&error, &chosen.target);
            self.refusal_for(UnmetPrecondition::RequestUnavailable, Refusal::NoTarget)
        })?;
        if costs_retry && !self.withdraw_retry() {
            return Err(self.refusal_for(UnmetPrecondition::OverBudget, Refusal::NoTarget));
        }
        Ok(PreparedTry { chosen, request, strikes })
    }

    /// The refusal if the next try cannot be made: that of an earlier failure, or else `default` for
    /// the unmet precondition itself.
    fn refusal_for(&self, unmet: UnmetPrecondition, default: Refusal) -> Refusal {
        earlier_failure_reason(&self.tries, unmet).map_or(default, Refusal::from)
    }

    /// Withdraws one retry from the budget; false if the balance is too low.
    fn withdraw_retry(&self) -> bool {
        let instance = self.request.instance;
        let is_granted = instance.retry_budgets.borrow_mut().withdraw(self.choice.service(), rand::random());
        let counter = if is_granted { &instance.metrics.retries } else { &instance.metrics.retries_denied };
        counter.inc();
        is_granted
    }

    /// Why the request is sent to the target now.
    fn send_kind(&self, target: &Target, is_second: bool) -> SendKind {
        match self.request.origin {
            _ if target.awaits_probe() => SendKind::Probe,
            _ if self.tries != FailedTries::default() => SendKind::Retry,
            origin if *origin != Origin::Caller => SendKind::Forwarded,
            _ if is_second => SendKind::Second,
            _ => SendKind::First,
        }
    }

    /// Sends the request to a target. Once this instance reaches no target, another one is asked to repeat the
    /// request where that is allowed. The answer of the target may still come meanwhile: that nothing arrives from
    /// it is no reason to give up what it may be at work on.
    async fn send(&mut self, request: Request<RequestBody>, target: &Rc<Target>, record: &mut AccessRecord) -> TryEnd {
        let instance = self.request.instance;
        let (had_limit, forwarded_to) = (target.rate_limit().is_some(), record.forwarded_to);
        let mut exchange = pin!(self.exchange(&request, target).run(request));
        instance.report_limit_change(target, had_limit);
        let end = match self.may_repeat() {
            true => tokio::select! {
                biased;
                result = &mut exchange => TryEnd::Exchange(result),
                response = self.repeat_if_cut_off(record) => TryEnd::Forwarded(response),
            },
            false => TryEnd::Exchange(exchange.await),
        };
        instance.report_limit_change(target, had_limit);
        if matches!(end, TryEnd::Exchange(_)) {
            record.forwarded_to = forwarded_to;
        }
        end
    }

    fn exchange(&self, request: &Request<RequestBody>, target: &Rc<Target>) -> Exchange<'a> {
        let request_sent = match request.body() {
            RequestBody::Streamed(streamed) => streamed.sent(),
            RequestBody::Buffered(_) => Rc::new(Cell::new(true)),
        };
        let (instance, started) = (self.request.instance, Instant::now());
        Exchange {
            names: &instance.names,
            links: &instance.links,
            median_latency: instance.routing.borrow().median_latency(&target.service),
            instances: instance.routing.borrow().members.count(),
            metrics: &instance.metrics,
            in_flight: target.begin_request(started),
            request_id: self.request.id(),
            idempotency: self.request.route.idempotency,
            deadline: self.request.deadline,
            request_sent,
            held_responses: HeldResponseContext::new(instance),
            started,
            handed_over: Rc::default(),
        }
    }

    /// The response of another instance that repeats the request, once this one reaches no target; never
    /// completes where none does.
    async fn repeat_if_cut_off(&mut self, record: &mut AccessRecord) -> Response<ResponseBody> {
        self.request.instance.links.cut_off().await;
        match self.forward_if_taken(self.tries_if_lost().sends, record).await {
            Some(response) => response,
            None => std::future::pending().await,
        }
    }

    /// Has another instance send the request, once; `None` if that gave no response.
    async fn ask_other(&mut self, record: &mut AccessRecord) -> Result<Option<Response<ResponseBody>>, Refusal> {
        self.has_asked = true;
        if let TryDecision::Refuse(reason) = next_forward(&self.tries, self.request.route.into()) {
            return Err(reason.into());
        }
        self.request.check_api_key().map_err(|refusal| self.refusal_for(UnmetPrecondition::InvalidKey, refusal))?;
        let response = self.forward_if_taken(self.tries.sends, record).await;
        if response.is_none() {
            record.forwarded_to = None;
        }
        Ok(response)
    }

    /// The response of another instance, to a request of which `sends` tries have reached a target; `None` if there
    /// is none.
    async fn forward_if_taken(&mut self, sends: u32, record: &mut AccessRecord) -> Option<Response<ResponseBody>> {
        match Forward::new(self.request, sends).run(&mut self.body, record).await {
            Ok(response) => return Some(response),
            Err(ForwardFailure::Lost) => self.tries.record(TryOutcome::Lost),
            Err(ForwardFailure::TimedOut) => self.tries.record(TryOutcome::TimedOut),
            Err(ForwardFailure::NoPeer | ForwardFailure::TooLate | ForwardFailure::Refused(_)) => {}
        }
        None
    }

    /// Records the latency of a second target: the time to its response, or to the timeout.
    fn record_second_target_latency(
        &self,
        target: &Target,
        result: &Result<Response<ResponseBody>, TryError>,
        elapsed: Duration,
    ) {
        if matches!(result, Ok(_) | Err(TryError::TimedOut)) {
            self.request.instance.routing.borrow().record_second_target_latency(&target.service, elapsed);
        }
    }

    /// Logs and counts a failed try, and takes back a body of which nothing was sent.
    fn record_failure(&mut self, error: TryError, target: &Target) {
        let outcome = error.outcome();
        self.log_failure(outcome, target);
        self.tries.record(outcome);
        if outcome == TryOutcome::Shed {
            // The target did not run the request and had a free slot: it may be chosen again.
            self.tried.retain(|key| *key != target.key);
        }
        if let TryError::Unreachable(request) = error {
            self.body.restore(*request);
        }
    }

    fn log_failure(&self, outcome: TryOutcome, target: &Target) {
        tracing::info!(
            event = "try_failed",
            id = self.request.id_text(),
            fingerprint = %self.request.fingerprint,
            target = &*target.id,
            hall = &*target.hall,
            fault = outcome.as_str(),
            after_ms = self.request.started.elapsed().as_millis() as u64,
        );
    }

    /// Logs a target whose id is not a valid header value: at most one line for each request, and
    /// limited by the rate of the log.
    fn log_invalid_target_id(&self, error: &TargetIdError, target: &Target) {
        tracing::warn!(
            event = "target_id_invalid",
            id = self.request.id_text(),
            target = &*target.id,
            hall = &*target.hall,
            error = %error,
        );
    }
}
