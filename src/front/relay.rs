//! The relay front: requests that other instances send to this hall's
//! targets, or to this instance as the home of a key.

use super::Front;
use crate::body::AnswerBody;
use crate::decision::account::{Kind, decision_id};
use crate::failure::Failure;
use crate::forward::{RELAYED_PATIENCE, Served, mark, result_word, run_here};
use crate::instance::Instance;
use crate::job::{Arrival, Asker, DECISION, Job, KEY, TIMEOUT};
use crate::keyed::serve_as_home;
use crate::relay::{self, CALLER, KIND, MODE, Mode, PROOF, SERVICE};
use crate::story::Story;
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::http::request::Parts;
use hyper::{Request, Response};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Serves other instances.
pub struct RelayFront {
    instance: Arc<Instance>,
}

/// What a relayed request says besides the caller's own.
struct Relayed {
    job: Job,
    mode: Mode,
    key: Option<String>,
    from: Option<String>,
}

impl RelayFront {
    /// A front of this instance.
    pub fn new(instance: Arc<Instance>) -> Self {
        Self { instance }
    }

    fn read(&self, parts: Parts, body: Incoming) -> Result<Relayed, Failure> {
        let proven = parts.headers.get(PROOF).is_some_and(|p| {
            bool::from(subtle::ConstantTimeEq::ct_eq(p.as_bytes(), self.instance.relay_proof.as_bytes()))
        });
        if !proven {
            return Err(Failure::Malformed("not relayed by an instance of this deployment".into()));
        }
        let view = self.instance.view.load_full().ok_or(Failure::NoConfiguration)?;
        let text = |name| parts.headers.get(name).and_then(|v| v.to_str().ok());
        let malformed = |name| Failure::Malformed(format!("the relayed request lacks a good {name}"));
        let mode = Mode::try_from(text(MODE).unwrap_or(""))?;
        let caller = text(CALLER).and_then(|c| c.parse().ok()).ok_or_else(|| malformed(CALLER))?;
        let left = text(TIMEOUT).and_then(|t| t.parse().ok()).ok_or_else(|| malformed(TIMEOUT))?;
        let name = text(SERVICE).unwrap_or("");
        let unknown = || Failure::UnknownService { host: String::new(), path: name.to_owned() };
        let service = view.world.service(name).ok_or_else(unknown)?;
        let key = text(KEY).map(str::to_owned);
        let from = text(DECISION).map(str::to_owned);
        let timeout = view.world.services[service].timeout.min(Duration::from_millis(left));
        let ask = Asker { view: &view, caller }.ask(service, &parts);
        let job = Job::new(view, ask, Arrival { caller, timeout, parts, body }, self.instance.accounts.draw());
        Ok(Relayed { job, mode, key, from })
    }

    async fn run(&self, relayed: &mut Relayed, story: &mut Story) -> Served {
        let job = &mut relayed.job;
        match (relayed.mode, &relayed.key) {
            (Mode::Home, Some(key)) => serve_as_home(&self.instance, job, story, key).await,
            (Mode::Home, None) => Err(Failure::KeyRequired),
            (Mode::Dispatch, _) => {
                story.at(job.view.home);
                job.hold_small().await?;
                self.dispatch(job, story).await
            }
        }
    }

    /// Admits to a target of this hall; another target where the first could
    /// not be reached at all.
    async fn dispatch(&self, job: &mut Job, story: &mut Story) -> Served {
        let patience = job.view.world.services[job.ask.service].timeout / RELAYED_PATIENCE;
        loop {
            let served = run_here(&self.instance, job, story, patience).await;
            let again = matches!(served, Err(Failure::Unreachable)) && job.is_sendable() && !job.left().is_zero();
            if !again {
                return served;
            }
        }
    }
}

impl Front for RelayFront {
    async fn serve(&self, request: Request<Incoming>, _from: SocketAddr) -> Response<AnswerBody> {
        let started = Instant::now();
        let (parts, body) = request.into_parts();
        let mut relayed = match self.read(parts, body) {
            Ok(relayed) => relayed,
            Err(failure) => return refuse(&failure),
        };
        self.instance.metrics.relays.with_label_values(&["in"]).inc();
        let mut story = Story::default();
        let served = self.run(&mut relayed, &mut story).await;
        let result = result_word(&served);
        let mut response = match served {
            Ok(response) => response,
            Err(failure) => refuse(&failure),
        };
        if relayed.mode == Mode::Dispatch {
            story.link(relayed.from);
        }
        let job = &relayed.job;
        mark(&mut response, &decision_id(&self.instance.id, job.seq));
        if let Some(place) = job.view.home.and_then(|h| job.view.routes[job.ask.service].hall(h)) {
            let facts = place.load.facts();
            relay::write_load(&facts, response.headers_mut());
        }
        self.instance.accounts.record(story.account(Kind::Relayed, job, result, started));
        response
    }

    fn instance(&self) -> &Arc<Instance> {
        &self.instance
    }

    fn is_bounded(&self) -> bool {
        false
    }
}

fn refuse(failure: &Failure) -> Response<AnswerBody> {
    let mut response = failure.answer();
    response.headers_mut().insert(KIND, HeaderValue::from_static(failure.kind()));
    response
}
