//! The caller front: look-ups and requests.

use super::Front;
use crate::body::AnswerBody;
use crate::decision::account::{Kind, decision_id};
use crate::failure::{Failure, OUTCOME, Outcome};
use crate::forward::{Served, mark, result_word, serve};
use crate::instance::Instance;
use crate::job::{Arrival, Asker, Job, KEY, TIMEOUT, service_of};
use crate::keyed::serve_keyed;
use crate::lookup::{self, Question};
use crate::service::{KeyRule, Repeat};
use crate::story::Story;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, CONTENT_TYPE, HeaderValue};
use hyper::http::request::Parts;
use hyper::{Request, Response};
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Header that names a better entry for a caller who asked another hall.
pub const ENTRY: &str = "lockloft-entry";

/// Serves callers.
pub struct CallerFront {
    instance: Arc<Instance>,
}

impl CallerFront {
    /// A front of this instance.
    pub fn new(instance: Arc<Instance>) -> Self {
        Self { instance }
    }

    fn lookup(&self, parts: &Parts, from: IpAddr) -> Response<AnswerBody> {
        let question = Question::try_from(parts.uri.query().unwrap_or(""));
        let answer = question.and_then(|q| lookup::answer(&self.instance, &q, from));
        self.instance.metrics.decisions.with_label_values(&["lookup"]).inc();
        match answer {
            Ok(answer) => {
                let text = serde_json::to_vec(&answer).expect("an answer is plain data");
                let mut response = Response::new(AnswerBody::Own(Full::new(Bytes::from(text))));
                response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
                mark(&mut response, &answer.decision);
                response
            }
            Err(failure) => {
                self.instance.metrics.refusals.with_label_values(&[failure.kind()]).inc();
                failure.answer()
            }
        }
    }

    async fn request(&self, parts: Parts, body: Incoming, from: IpAddr) -> Response<AnswerBody> {
        let started = Instant::now();
        let key = parts.headers.get(KEY).map(|v| v.to_str().unwrap_or("").to_owned());
        let mut job = match self.job(parts, body, from) {
            Ok(job) => job,
            Err(failure) => return self.refuse(&failure, key.as_deref()),
        };
        let mut story = Story::default();
        let served = self.serve_job(&mut job, &mut story, key.as_deref()).await;
        let result = result_word(&served);
        let service = job.view.world.services[job.ask.service].name.clone();
        let metrics = &self.instance.metrics;
        metrics.decisions.with_label_values(&["request"]).inc();
        metrics.requests.with_label_values(&[&service, &result]).inc();
        metrics.latency.with_label_values(&[&service]).observe(started.elapsed().as_secs_f64());
        let mut response = match served {
            Ok(response) => response,
            Err(failure) => {
                metrics.refusals.with_label_values(&[failure.kind()]).inc();
                failure.answer()
            }
        };
        mark(&mut response, &decision_id(&self.instance.id, job.seq));
        self.name_entry(&job, &story, &mut response);
        self.instance.accounts.record(story.account(Kind::Request, &job, result, started));
        response
    }

    /// Reads what a request asks for.
    fn job(&self, parts: Parts, body: Incoming, from: IpAddr) -> Result<Job, Failure> {
        let view = self.instance.view.load_full().ok_or(Failure::NoConfiguration)?;
        let service = service_of(&view, &parts)?;
        let limit = view.world.services[service].timeout;
        let timeout = match parts.headers.get(TIMEOUT) {
            None => limit,
            Some(value) => {
                let millis = value.to_str().ok().and_then(|t| t.parse().ok());
                let millis =
                    millis.ok_or_else(|| Failure::Malformed(format!("{TIMEOUT} is not a number of milliseconds")))?;
                limit.min(Duration::from_millis(millis))
            }
        };
        let ask = Asker { view: &view, caller: from }.ask(service, &parts);
        Ok(Job::new(view, ask, Arrival { caller: from, timeout, parts, body }, self.instance.accounts.draw()))
    }

    async fn serve_job(&self, job: &mut Job, story: &mut Story, key: Option<&str>) -> Served {
        let view = job.view.clone();
        let service = &view.world.services[job.ask.service];
        match (service.repeat, key) {
            (Repeat::Never, Some(key)) => return serve_keyed(&self.instance, job, story, key).await,
            (Repeat::Never, None) if service.key == KeyRule::Required => return Err(Failure::KeyRequired),
            _ => {}
        }
        job.hold_small().await?;
        serve(&self.instance, job, story).await
    }

    /// A refusal before anything was decided. Where the request bears a key
    /// it says "unknown": another copy may have run by another way.
    fn refuse(&self, failure: &Failure, key: Option<&str>) -> Response<AnswerBody> {
        self.instance.metrics.refusals.with_label_values(&[failure.kind()]).inc();
        let mut response = failure.answer();
        if key.is_some_and(|k| self.instance.sealer.open(k).is_some()) {
            let unknown = HeaderValue::from_static(Outcome::Unknown.text());
            response.headers_mut().insert(OUTCOME, unknown);
        }
        response
    }

    /// Names an entry of the hall that served, where that is another, so that
    /// the caller's cache corrects itself.
    fn name_entry(&self, job: &Job, story: &Story, response: &mut Response<AnswerBody>) {
        let Some(hall) = story.hall().filter(|h| Some(*h) != job.view.home) else { return };
        let members = self.instance.roster.members(&job.view.world.halls[hall].name);
        let Some(entry) = members.get(job.ask.seed as usize % members.len().max(1)) else { return };
        if let Ok(value) = HeaderValue::from_str(&entry.member.addresses.caller.to_string()) {
            response.headers_mut().insert(ENTRY, value);
        }
    }
}

impl Front for CallerFront {
    async fn serve(&self, request: Request<Incoming>, from: SocketAddr) -> Response<AnswerBody> {
        let (parts, body) = request.into_parts();
        let mut response = if parts.uri.path() == lookup::PATH {
            self.lookup(&parts, from.ip())
        } else {
            self.request(parts, body, from.ip()).await
        };
        if self.instance.is_leaving() {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }

    fn instance(&self) -> &Arc<Instance> {
        &self.instance
    }

    fn is_bounded(&self) -> bool {
        true
    }
}
