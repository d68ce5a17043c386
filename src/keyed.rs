//! Requests that run at most once: at the key's home, or relayed to it.

use crate::body::AnswerBody;
use crate::failure::{Failure, Outcome};
use crate::forward::{Served, serve};
use crate::instance::Instance;
use crate::job::{DECISION, Job, Payload};
use crate::pool::SendError;
use crate::relay::{self, Mode, RelayNote};
use crate::runs::{Begin, MAX_ANSWER, Run, RunKey, RunState, Stored, service_hash};
use crate::story::Story;
use bytes::BytesMut;
use http_body_util::{BodyExt, Full};
use hyper::Response;
use std::sync::Arc;
use tokio::sync::{oneshot, watch};
use tokio::time::timeout_at;

/// Serves a request that bears a key.
///
/// # Errors
/// A [`Failure`]; its "not run" speaks for the key, which never runs later.
pub async fn serve_keyed(instance: &Arc<Instance>, job: &mut Job, story: &mut Story, text: &str) -> Served {
    let key = open(instance, job, text)?;
    if key.home == instance.id {
        return serve_at_home(instance, job, story, &key).await;
    }
    relay_home(instance, job, story, &key, text).await
}

/// Serves a request that another instance relayed here as to its key's home.
///
/// # Errors
/// As [`serve_keyed`]; never relays on.
pub async fn serve_as_home(instance: &Arc<Instance>, job: &mut Job, story: &mut Story, text: &str) -> Served {
    let key = open(instance, job, text)?;
    if key.home != instance.id {
        return Err(Failure::HomeLost);
    }
    serve_at_home(instance, job, story, &key).await
}

fn open(instance: &Instance, job: &Job, text: &str) -> Result<RunKey, Failure> {
    let service = &job.view.world.services[job.ask.service].name;
    let key = instance.sealer.open(text).filter(|k| k.service == service_hash(service));
    key.ok_or(Failure::ForeignKey)
}

/// Runs the request here, its key's home, at most once.
async fn serve_at_home(instance: &Arc<Instance>, job: &mut Job, story: &mut Story, key: &RunKey) -> Served {
    if let Err(failure) = job.hold().await {
        // The caller is told that the request did not run, so no other copy
        // of it may run later either.
        return Err(if instance.runs.retire(key) { failure } else { Failure::KeySpent });
    }
    match instance.runs.begin(key) {
        Begin::Retired => Err(Failure::KeyRetired),
        Begin::Expired => Err(Failure::KeySpent),
        Begin::Used(state) => repeat(job, state).await,
        Begin::Run(run) => run_once(instance, job, story, run).await,
    }
}

/// Runs in a task of its own, which goes on when the caller leaves: the
/// answer is then held for the caller's next try.
async fn run_once(instance: &Arc<Instance>, job: &mut Job, story: &mut Story, run: Run) -> Served {
    let (done, result) = oneshot::channel();
    let mut own = Job {
        view: job.view.clone(),
        ask: job.ask.clone(),
        caller: job.caller,
        priority: job.priority,
        deadline: job.deadline,
        parts: job.parts.clone(),
        payload: std::mem::replace(&mut job.payload, Payload::Gone),
        trial: job.trial,
        avoid: job.avoid,
        seq: job.seq,
    };
    let instance = instance.clone();
    tokio::spawn(async move {
        let mut story = Story::default();
        let served = serve(&instance, &mut own, &mut story).await;
        let served = settle(served, run).await;
        let _ = done.send((served, story));
    });
    match result.await {
        Ok((served, told)) => {
            *story = told;
            served
        }
        Err(_) => Err(Failure::Broken),
    }
}

/// Notes the end of a run and keeps its answer for repeats.
async fn settle(served: Served, run: Run) -> Served {
    let response = match served {
        Ok(response) => response,
        Err(failure) => {
            match failure.outcome() {
                Outcome::NotRun => run.end(RunState::Retired),
                Outcome::Unknown => run.end(RunState::Lost),
            }
            return Err(failure);
        }
    };
    let (parts, body) = response.into_parts();
    let AnswerBody::Carried(mut body) = body else {
        run.end(RunState::Lost);
        return Ok(Response::from_parts(parts, body));
    };
    let mut read = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            run.end(RunState::Lost);
            return Err(Failure::Broken);
        };
        if let Some(data) = frame.data_ref() {
            read.extend_from_slice(data);
        }
        if read.len() > MAX_ANSWER {
            // Too large to hold: this caller gets it as it comes, a repeat
            // is told that the outcome is unknown here.
            run.end(RunState::Lost);
            let body = body.with_prefix(read.freeze());
            return Ok(Response::from_parts(parts, AnswerBody::Carried(body)));
        }
    }
    let bytes = read.freeze();
    run.end(RunState::Done(Stored { status: parts.status, headers: parts.headers.clone(), body: bytes.clone() }));
    Ok(Response::from_parts(parts, AnswerBody::Own(Full::new(bytes))))
}

/// Answers a repeat of a request that is under way or over.
async fn repeat(job: &Job, mut state: watch::Receiver<RunState>) -> Served {
    let settled = state.wait_for(|s| !matches!(s, RunState::Running));
    let settled = match timeout_at(job.deadline.into(), settled).await {
        Ok(Ok(state)) => state.clone(),
        _ => return Err(Failure::KeySpent),
    };
    match settled {
        RunState::Done(stored) => Ok(replay(stored)),
        RunState::Retired => Err(Failure::KeyRetired),
        RunState::Running | RunState::Lost => Err(Failure::KeySpent),
    }
}

fn replay(stored: Stored) -> Response<AnswerBody> {
    let mut response = Response::new(AnswerBody::Own(Full::new(stored.body)));
    *response.status_mut() = stored.status;
    *response.headers_mut() = stored.headers;
    response
}

/// Relays to the key's home. Only the home may say that a key did not run:
/// an earlier copy may have reached it by another way.
async fn relay_home(instance: &Arc<Instance>, job: &mut Job, story: &mut Story, key: &RunKey, text: &str) -> Served {
    let Some(entry) = instance.roster.find(&key.home.name).filter(|e| e.member.id == key.home) else {
        return Err(Failure::HomeLost);
    };
    let Some(mut request) = job.request() else { return Err(Failure::HomeLost) };
    let decision = crate::decision::account::decision_id(&instance.id, job.seq);
    let view = job.view.clone();
    let note = RelayNote {
        caller: job.caller,
        service: &view.world.services[job.ask.service].name,
        mode: Mode::Home,
        left: job.left().saturating_sub(crate::forward::RELAY_SLACK),
        decision: &decision,
        key: Some(text),
    };
    note.write(&instance.relay_proof, request.headers_mut());
    instance.metrics.relays.with_label_values(&["home"]).inc();
    let peer = instance.relays.peer(entry.member.addresses.relay);
    let (response, conn) = match relay::send(&peer, request, job.left()).await {
        Ok(answer) => answer,
        Err(SendError::Unsent(_) | SendError::Lost) => return Err(Failure::HomeLost),
    };
    story.link(response.headers().get(DECISION).and_then(|v| v.to_str().ok()).map(str::to_owned));
    Ok(pass(response, conn, job))
}

/// Passes the home's answer on as it is, its own refusals included.
fn pass(response: Response<hyper::body::Incoming>, conn: crate::pool::Conn, job: &Job) -> Response<AnswerBody> {
    let outcome = response.headers().get(crate::failure::OUTCOME).cloned();
    let mut answer = crate::forward::carry_relayed(response, conn, job.deadline);
    if let Some(outcome) = outcome {
        answer.headers_mut().insert(crate::failure::OUTCOME, outcome);
    }
    answer
}
