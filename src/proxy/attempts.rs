//! The tries of one request at targets, until one answers or none is left to make.
//!
//! Whether there is another try is the rule of [`crate::decision::failure::next_try`]; which
//! target gets it, [`crate::proxy::target_choice`]; one try is an
//! [`crate::proxy::exchange`]. Owns the count of tries and the body between them;
//! earns and spends the instance's retry budget.

use crate::clock::Instant;
use crate::decision::failure::next_try::{
    FailedTries, TryDecision, TryOutcome, UnmetPrecondition, earlier_failure_reason, has_time, next_try,
};
use crate::decision::registry::target::Target;
use crate::decision::registry::target_key::TargetKey;
use crate::decision::selection::choice::ChosenTarget;
use crate::net::request_body::RequestBody;
use crate::platform::Platform;
use crate::proxy::access_record::AccessRecord;
use crate::proxy::answer_body::AnswerBody;
use crate::proxy::caller_request::CallerRequest;
use crate::proxy::exchange::Exchange;
use crate::proxy::held_answer::Holding;
use crate::proxy::incoming_body::IncomingBody;
use crate::proxy::outgoing_request::{TargetIdError, outgoing_request};
use crate::proxy::refusal::Refusal;
use crate::proxy::strikes::{admit, record_answer, record_end, report_unanswered};
use crate::proxy::target_choice::TargetChoice;
use crate::proxy::try_error::TryError;
use hyper::{Request, Response};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

/// A try that may be made.
struct Prepared {
    chosen: ChosenTarget,
    request: Request<RequestBody>,
    /// Strikes against the request that are known as it begins.
    strikes: u32,
}

/// The tries of one request.
pub struct Attempts<'a, P: Platform> {
    request: &'a CallerRequest<'a, P>,
    choice: TargetChoice<'a, P>,
    body: IncomingBody,
    /// Failed tries.
    tries: FailedTries,
    /// Targets that were tried.
    tried: Vec<TargetKey>,
}

impl<'a, P: Platform> Attempts<'a, P> {
    /// A request that was not tried yet; it earns its part of the retry budget.
    pub fn new(request: &'a CallerRequest<'a, P>, body: IncomingBody) -> Self {
        let choice = TargetChoice::new(request);
        request.instance.retries.borrow_mut().deposit(choice.service());
        Self { request, choice, body, tries: FailedTries::default(), tried: Vec::new() }
    }

    /// Tries the request at targets, and gives the answer of the first that has one.
    ///
    /// # Errors
    /// [`Refusal`] where no target's answer can be passed on.
    pub async fn run(mut self, record: &mut AccessRecord) -> Result<Response<AnswerBody>, Refusal> {
        record.affinity = Some(self.choice.affinity());
        let answered = self.try_targets(record).await;
        if answered.is_err() {
            report_unanswered(self.request);
        }
        answered
    }

    async fn try_targets(&mut self, record: &mut AccessRecord) -> Result<Response<AnswerBody>, Refusal> {
        loop {
            let costs_retry = match next_try(&self.tries, self.request.route.into()) {
                TryDecision::Try { costs_retry } => costs_retry,
                TryDecision::Refuse(reason) => return Err(reason.into()),
            };
            let Prepared { chosen: ChosenTarget { target, is_second }, request, strikes } =
                self.prepare(costs_retry, record)?;
            self.tried.push(target.key);
            record.load = target.load(Instant::now());
            record.target = Some(target.clone());
            let started = Instant::now();
            let sent = self.send(request, &target).await;
            record.last_try = Some(started.elapsed());
            if is_second {
                self.record_second(&target, &sent, started.elapsed());
            }
            match sent {
                Ok(response) => {
                    record.sends = self.tries.sends + 1;
                    record_answer(self.request);
                    return Ok(response);
                }
                Err(error) => {
                    if matches!(error, TryError::NoAnswer) {
                        record_end(self.request, &target, strikes).await;
                    }
                    self.take_failure(error, &target);
                    record.sends = self.tries.sends;
                }
            }
        }
    }

    /// A target and the request for it. The order of the checks decides what the
    /// caller is answered. The budget is charged last: what is paid for is sent.
    fn prepare(&mut self, costs_retry: bool, record: &mut AccessRecord) -> Result<Prepared, Refusal> {
        self.request.check_key().map_err(|own| self.refusal(UnmetPrecondition::InvalidKey, own))?;
        let strikes = admit(self.request).map_err(|own| self.refusal(UnmetPrecondition::Quarantined, own))?;
        // A streamed body that is gone with an earlier try is no error: the request's own
        // line gives the failure that stands.
        let body =
            self.body.send().ok_or_else(|| self.refusal(UnmetPrecondition::RequestUnavailable, Refusal::NoTarget))?;
        let chosen = self.choice.choose(&self.tried, record);
        let chosen = chosen.map_err(|refusal| self.refusal(UnmetPrecondition::NoTarget, refusal))?;
        if !has_time(self.request.deadline.saturating_duration_since(Instant::now())) {
            return Err(self.refusal(UnmetPrecondition::TooLate, Refusal::TooLate));
        }
        let request = outgoing_request(self.request, body, &chosen.target).map_err(|error| {
            self.log_unnamed(&error, &chosen.target);
            self.refusal(UnmetPrecondition::RequestUnavailable, Refusal::NoTarget)
        })?;
        if costs_retry && !self.spend_retry() {
            return Err(self.refusal(UnmetPrecondition::OverBudget, Refusal::NoTarget));
        }
        Ok(Prepared { chosen, request, strikes })
    }

    /// The refusal where the next try cannot be made: that of an earlier failure, or
    /// the unmet precondition's `own`.
    fn refusal(&self, unmet: UnmetPrecondition, own: Refusal) -> Refusal {
        earlier_failure_reason(&self.tries, unmet).map_or(own, Refusal::from)
    }

    /// Pays for one more send; false where the budget does not reach.
    fn spend_retry(&self) -> bool {
        let instance = self.request.instance;
        let paid = instance.retries.borrow_mut().withdraw(self.choice.service(), rand::random());
        let counter = if paid { &instance.metrics.retries } else { &instance.metrics.retries_denied };
        counter.inc();
        paid
    }

    async fn send(&self, request: Request<RequestBody>, target: &Rc<Target>) -> Result<Response<AnswerBody>, TryError> {
        let sent = match request.body() {
            RequestBody::Streamed(streamed) => streamed.finished(),
            RequestBody::Buffered(_) => Rc::new(Cell::new(true)),
        };
        let (instance, started) = (self.request.instance, Instant::now());
        let had_limit = target.rate_limit(started).is_some();
        let in_flight = target.begin_request(started);
        instance.report_limit_change(target, had_limit);
        let exchange = Exchange {
            names: &instance.names,
            metrics: &instance.metrics,
            in_flight,
            request_id: self.request.id(),
            deadline: self.request.deadline,
            sent,
            holding: Holding::new(instance),
            requests: &instance.requests,
            started,
        };
        let answered = exchange.run(request).await;
        instance.report_limit_change(target, had_limit);
        answered
    }

    /// Notes how long a second target took to answer, or that it did not within the time.
    fn record_second(&self, target: &Target, sent: &Result<Response<AnswerBody>, TryError>, took: Duration) {
        if matches!(sent, Ok(_) | Err(TryError::TimedOut)) {
            self.request.instance.routing.borrow().record_second_latency(&target.service, took);
        }
    }

    /// Logs and counts a failed try. A body of which nothing was sent is kept.
    fn take_failure(&mut self, error: TryError, target: &Target) {
        let outcome = error.outcome();
        self.log_failure(outcome, target);
        self.tries.record(outcome);
        if outcome == TryOutcome::Shed {
            // It ran nothing, and may be asked once more.
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

    /// Logs a target that no request can name; one line for a request, and the log's
    /// rate bounds them all.
    fn log_unnamed(&self, error: &TargetIdError, target: &Target) {
        tracing::warn!(
            event = "target_id_invalid",
            id = self.request.id_text(),
            target = &*target.id,
            hall = &*target.hall,
            error = %error,
        );
    }
}
