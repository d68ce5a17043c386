//! Forwarding: a request goes to a target of this hall or to an instance of
//! another, is tried again only where that is safe, and comes back whole.

use crate::admit::Entrant;
use crate::body::{AnswerBody, Carried, OutBody};
use crate::decision::account::decision_id;
use crate::decision::{Refusal, Summaries, choose};
use crate::exchange::{Ending, Exchange, hedge_delay, send_hedged};
use crate::failure::{Failure, Outcome};
use crate::instance::Instance;
use crate::job::{DECISION, Job, end_to_end};
use crate::key::HallKey;
use crate::load::TargetState;
use crate::pool::{Conn, SendError};
use crate::relay::{self, Mode, RelayNote};
use crate::report::{Report, is_shed};
use crate::service::Repeat;
use crate::story::Story;
use crate::view::View;
use hyper::body::{Body, Incoming};
use hyper::header::HeaderValue;
use hyper::{HeaderMap, Response};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Most tries for one request, the first included.
const MAX_TRIES: u32 = 3;
/// Part of the time left that a first try of a repeatable request may use up
/// in another hall before it is tried elsewhere.
const RELAY_PART: u32 = 2;
/// What the other side of a relay is given less than is waited for it, so
/// that its own word arrives before this side gives up.
pub const RELAY_SLACK: Duration = Duration::from_millis(30);
/// Part of the timeout that a relayed request may wait in the queue here: its
/// sender knows other halls.
pub const RELAYED_PATIENCE: u32 = 4;

/// An answer, or why there is none.
pub type Served = Result<Response<AnswerBody>, Failure>;

/// Finds a hall and a target for a request, and its answer.
///
/// # Errors
/// The [`Failure`] whose outcome holds for all tries together.
pub async fn serve(instance: &Arc<Instance>, job: &mut Job, story: &mut Story) -> Served {
    let view = job.view.clone();
    let service = &view.world.services[job.ask.service];
    let traffic = view.routes[job.ask.service].traffic.clone();
    traffic.retries.earn(service.retry);
    let mut may_have_run = false;
    let mut last = None;
    for _ in 0..MAX_TRIES {
        let choice = match choose(&view, &job.ask, &mut job.trial, &Summaries) {
            Ok(choice) => choice,
            Err(none) => {
                last = last.or(Some(Failure::NoPlace(reason_text(none.reason))));
                story.found_none(none);
                break;
            }
        };
        let hall = choice.hall;
        story.chose(choice);
        let tried = if Some(hall) == view.home {
            run_here(instance, job, story, job.left()).await
        } else {
            run_there(instance, job, story, hall).await
        };
        let failure = match tried {
            Ok(response) => return Ok(response),
            Err(failure) => failure,
        };
        match failure.outcome() {
            Outcome::NotRun => note_refusal(job, hall, &failure),
            Outcome::Unknown => {
                may_have_run = true;
                if service.repeat == Repeat::Never || !traffic.retries.spend() {
                    last = Some(failure);
                    break;
                }
                // In the own hall only the target is avoided from now on.
                if Some(hall) != view.home {
                    job.trial.refused.insert(hall);
                }
            }
        }
        last = Some(failure);
        if !job.is_sendable() || job.left().is_zero() {
            break;
        }
        instance.metrics.retries.with_label_values(&["retry"]).inc();
    }
    let failure = last.unwrap_or(Failure::Late);
    match failure.outcome() {
        Outcome::NotRun if may_have_run => Err(Failure::Broken),
        _ => Err(failure),
    }
}

/// A hall that refused is not asked again; one whose target could not be
/// reached has others.
fn note_refusal(job: &mut Job, hall: HallKey, failure: &Failure) {
    if *failure != Failure::Unreachable || Some(hall) != job.view.home {
        job.trial.refused.insert(hall);
    }
}

/// Why no hall was left, for the caller.
fn reason_text(refusal: Refusal) -> &'static str {
    match refusal {
        Refusal::Drained => "every hall is drained",
        Refusal::Denied => "a policy denies every hall",
        Refusal::NotAllowed => "no policy allows a hall",
        Refusal::NoTarget => "no hall has a usable target",
        Refusal::Refused => "every hall refused",
        Refusal::Cap => "a cap keeps the request from moving to a hall that has room",
        _ => "no hall is ready",
    }
}

/// Sends a request to a target of this hall.
///
/// # Errors
/// A [`Failure`]; a request of which no byte left is still in the job.
pub async fn run_here(instance: &Arc<Instance>, job: &mut Job, story: &mut Story, patience: Duration) -> Served {
    let view = job.view.clone();
    let entrant = Entrant {
        view: &view,
        ask: &job.ask,
        priority: job.priority,
        deadline: job.deadline,
        patience,
        avoid: &job.avoid,
    };
    let permit = entrant.admit(instance).await?;
    let Some(request) = job.request() else { return Err(Failure::Broken) };
    let exchange = Exchange::new(job, permit);
    let sent = match hedge_delay(&view, job) {
        None => exchange.send(request).await,
        Some(delay) => send_hedged(instance, &view, job, exchange, request, delay).await,
    };
    let sent = match sent {
        Ok(sent) => sent,
        Err(failed) => {
            job.avoid.insert(failed.position);
            note_failure(instance, &view, job, &failed.target);
            if let Some(request) = failed.unsent {
                job.restore(*request);
            }
            return Err(failed.failure);
        }
    };
    story.answered_by(view.routes[job.ask.service].targets[sent.position]);
    if let Some(report) = Report::read(sent.response.headers()) {
        sent.target.report(report.permille());
        if report.named_metrics.leaving > 0.0 {
            sent.target.set_leaving(true);
        }
    }
    if is_shed(sent.response.status(), sent.response.headers()) {
        job.avoid.insert(sent.position);
        let wait = retry_after(sent.response.headers());
        return Err(Failure::TargetShed { wait });
    }
    if sent.response.status().is_server_error() {
        note_failure(instance, &view, job, &sent.target);
    } else {
        sent.target.succeeded(sent.ending.started.elapsed().as_micros() as u64);
    }
    Ok(carry(sent.response, sent.conn, job.deadline, sent.ending))
}

fn note_failure(instance: &Instance, view: &View, job: &Job, target: &TargetState) {
    if target.failed() {
        let service = &view.world.services[job.ask.service].name;
        instance.metrics.ejections.with_label_values(&[service]).inc();
        tracing::warn!(target = target.name, service, "target ejected after consecutive failures");
    }
}

fn retry_after(headers: &HeaderMap) -> Duration {
    let text = headers.get(hyper::header::RETRY_AFTER).and_then(|v| v.to_str().ok());
    text.and_then(|t| t.parse().ok()).map_or(Duration::from_secs(1), Duration::from_secs)
}

/// Passes an answer on, without headers of the connection or of lockloft.
fn carry(response: Response<Incoming>, conn: Conn, deadline: Instant, ending: Ending) -> Response<AnswerBody> {
    let (parts, incoming) = response.into_parts();
    let headers = end_to_end(&parts.headers);
    let mut answer = Response::new(AnswerBody::Carried(Carried::new(incoming, conn, deadline, ending)));
    *answer.status_mut() = parts.status;
    *answer.headers_mut() = headers;
    answer
}

/// Passes on an answer that came from another instance.
pub fn carry_relayed(response: Response<Incoming>, conn: Conn, deadline: Instant) -> Response<AnswerBody> {
    carry(response, conn, deadline, Ending::new(None, Instant::now()))
}

/// Relays a request to an instance of another hall.
async fn run_there(instance: &Arc<Instance>, job: &mut Job, story: &mut Story, hall: HallKey) -> Served {
    let view = job.view.clone();
    let members = instance.roster.members(&view.world.halls[hall].name);
    let Some(peer) = instance.relays.pick(&members, &instance.id) else { return Err(Failure::Unreachable) };
    let Some(mut request) = job.request() else { return Err(Failure::Broken) };
    let wait = match view.world.services[job.ask.service].repeat {
        Repeat::Safe if job.is_sendable() => job.left() / RELAY_PART,
        _ => job.left(),
    };
    let decision = decision_id(&instance.id, job.seq);
    let note = RelayNote {
        caller: job.caller,
        service: &view.world.services[job.ask.service].name,
        mode: Mode::Dispatch,
        left: wait.saturating_sub(RELAY_SLACK),
        decision: &decision,
        key: None,
    };
    note.write(&instance.relay_proof, request.headers_mut());
    match (request.body_mut(), instance.pace_to(&view, hall)) {
        (OutBody::Stream(through), pace) => through.pace = pace,
        (OutBody::Whole(full), Some(pace)) => pace.passed(full.size_hint().lower() as usize),
        (OutBody::Whole(_), None) => {}
    }
    instance.metrics.relays.with_label_values(&["out"]).inc();
    if let Some(route) = view.routes[job.ask.service].hall(hall) {
        route.load.add_flight(1);
    }
    let (response, conn) = match relay::send(&peer, request, wait).await {
        Ok(answer) => answer,
        Err(SendError::Unsent(request)) => {
            job.restore(*request);
            return Err(Failure::Unreachable);
        }
        Err(SendError::Lost) => return Err(if job.left().is_zero() { Failure::Silent } else { Failure::Broken }),
    };
    if let (Some(facts), Some(route)) = (relay::read_load(response.headers()), view.routes[job.ask.service].hall(hall))
    {
        route.load.update(facts, 0);
    }
    story.link(response.headers().get(DECISION).and_then(|v| v.to_str().ok()).map(str::to_owned));
    match relay::read_failure(response.headers()) {
        Some(Outcome::NotRun) => Err(remote_refusal(response.headers())),
        Some(Outcome::Unknown) => Err(Failure::Broken),
        None => {
            let mut answer = carry_relayed(response, conn, job.deadline);
            if let AnswerBody::Carried(carried) = answer.body_mut() {
                carried.set_pace(instance.pace_to(&view, hall));
            }
            Ok(answer)
        }
    }
}

/// A refusal by another instance, as one of our own.
fn remote_refusal(headers: &HeaderMap) -> Failure {
    let wait = retry_after(headers);
    match headers.get(relay::KIND).and_then(|v| v.to_str().ok()) {
        Some("no-place") => Failure::NoPlace("the hall has no usable target"),
        Some("late") => Failure::Late,
        Some("broken-body") => Failure::BrokenBody,
        _ => Failure::Full { wait },
    }
}

/// Sets the headers that every answer to a caller bears.
pub fn mark(response: &mut Response<AnswerBody>, decision: &str) {
    if let Ok(value) = HeaderValue::from_str(decision) {
        response.headers_mut().insert(DECISION, value);
    }
}

/// The word for a result in accounts and metrics.
pub fn result_word(served: &Served) -> String {
    match served {
        Ok(response) => response.status().as_u16().to_string(),
        Err(failure) => failure.kind().to_owned(),
    }
}
