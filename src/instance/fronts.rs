//! The addresses of an instance: callers, readiness, directory, peers.

use crate::decision::directory;
use crate::instance::state::Instance;
use crate::net::server::{ConnectionLimits, Handler};
use crate::operator;
use crate::platform::Platform;
use crate::proxy::answer_body::AnswerBody;
use crate::proxy::serve::serve;
use crate::sync::peers;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, CONTENT_TYPE, HeaderValue};
use hyper::{Request, Response, StatusCode};
use std::rc::Rc;
use std::time::Duration;

/// Path of the metrics, at the peers' address.
pub const METRICS_PATH: &str = "/metrics";
/// How long callers may keep the directory's answer, at the most. Some keep it
/// three times as long, and a stopping instance serves them meanwhile.
const DIRECTORY_TTL: Duration = Duration::from_secs(1);
/// Bounds on connections of peers and the platform.
const INNER_LIMITS: ConnectionLimits = ConnectionLimits {
    head_bytes: 16 * 1024,
    head_time: Duration::from_secs(3),
    idle_time: Duration::from_secs(15),
    connections: 256,
};
/// Part of the descriptors that callers' connections may take, as a divisor.
const CALLER_DIVISOR: u32 = 2;

/// Answers requests of callers.
pub struct CallerFront<P: Platform>(pub Rc<Instance<P>>);

/// Counts a request for as long as it lives.
struct Active<'a, P: Platform>(&'a Instance<P>);

impl<'a, P: Platform> Active<'a, P> {
    fn new(instance: &'a Instance<P>) -> Self {
        instance.active.set(instance.active.get() + 1);
        instance.metrics.active.inc();
        Self(instance)
    }
}

impl<P: Platform> Drop for Active<'_, P> {
    fn drop(&mut self) {
        self.0.active.set(self.0.active.get() - 1);
        self.0.metrics.active.dec();
    }
}

impl<P: Platform> Handler for CallerFront<P> {
    type Body = AnswerBody;

    async fn answer(self: Rc<Self>, request: Request<Incoming>) -> Response<AnswerBody> {
        let active = Active::new(&self.0);
        let mut response = serve(&self.0, request).await;
        if self.0.stopping.get().is_some() {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        drop(active);
        response
    }

    fn limits(&self) -> ConnectionLimits {
        let world = self.0.world.borrow();
        let limits = world.config.as_ref().map(|config| config.limits).unwrap_or_default();
        ConnectionLimits {
            head_bytes: limits.head_bytes,
            head_time: limits.head_time,
            idle_time: limits.idle_time,
            connections: (self.0.settings.borrow().descriptors / CALLER_DIVISOR).max(1),
        }
    }

    fn connections(&self, change: i64) {
        self.0.metrics.connections.add(change);
    }
}

/// Answers the readiness check and the directory's questions.
pub struct DirectoryFront<P: Platform>(pub Rc<Instance<P>>);

impl<P: Platform> Handler for DirectoryFront<P> {
    type Body = AnswerBody;

    async fn answer(self: Rc<Self>, request: Request<Incoming>) -> Response<AnswerBody> {
        let (path, query) = (request.uri().path(), request.uri().query().unwrap_or(""));
        if path == P::ready_path() {
            let status = if self.0.is_ready() { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
            return plain(status);
        }
        let Some(place) = P::directory_question(path, query) else { return plain(StatusCode::NOT_FOUND) };
        let settings = self.0.settings();
        let instances = directory::instances_for(&self.0.world.borrow(), &settings, &place, self.0.is_ready());
        if instances.is_empty() {
            return plain(StatusCode::SERVICE_UNAVAILABLE);
        }
        let answer = P::directory_answer(&instances, DIRECTORY_TTL.min(settings.directory_ttl));
        let mut response = Response::new(AnswerBody::buffered(answer));
        response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        response
    }

    fn limits(&self) -> ConnectionLimits {
        INNER_LIMITS
    }

    fn connections(&self, _: i64) {}
}

/// Answers peers, operators, and whoever reads the metrics.
pub struct PeerFront<P: Platform>(pub Rc<Instance<P>>);

impl<P: Platform> Handler for PeerFront<P> {
    type Body = AnswerBody;

    async fn answer(self: Rc<Self>, request: Request<Incoming>) -> Response<AnswerBody> {
        match request.uri().path() {
            peers::CHANGES_PATH => peers::show(&self.0, request.uri().query().unwrap_or("")).await,
            METRICS_PATH => {
                let metrics = &self.0.metrics;
                metrics.held_bytes.set(self.0.held_bytes.get() as i64);
                metrics.lines_dropped.set(self.0.log.lines().dropped() as i64);
                metrics.lines_left_out.set(self.0.log.lines().left_out() as i64);
                Response::new(AnswerBody::buffered(metrics.text()))
            }
            _ => {
                let answered = operator::answer::answer(&self.0, request).await;
                answered.unwrap_or_else(|| plain(StatusCode::NOT_FOUND))
            }
        }
    }

    fn limits(&self) -> ConnectionLimits {
        INNER_LIMITS
    }

    fn connections(&self, _: i64) {}
}

fn plain(status: StatusCode) -> Response<AnswerBody> {
    let mut response = Response::new(AnswerBody::buffered(""));
    *response.status_mut() = status;
    response
}
