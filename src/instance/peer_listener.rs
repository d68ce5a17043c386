//! The address for peers, operators and metrics.
//!
//! Owns the choice by path; [`peers`] and [`operator`] answer. Relies on the limits for
//! connections inside the platform.

use crate::net::server::{ConnectionLimits, Handler};
use crate::operator;
use crate::platform::Platform;
use crate::proxy::answer_body::AnswerBody;
use crate::state::Instance;
use crate::sync::peers;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use std::rc::Rc;

/// Path of the metrics.
const METRICS_PATH: &str = "/metrics";

/// Answers peers, operators, and whoever reads the metrics.
pub struct PeerListener<P: Platform>(pub Rc<Instance<P>>);

impl<P: Platform> Handler for PeerListener<P> {
    type Body = AnswerBody;

    async fn answer(self: Rc<Self>, request: Request<Incoming>) -> Response<AnswerBody> {
        match request.uri().path() {
            peers::CHANGES_PATH => {
                let query = request.uri().query().unwrap_or("");
                let changes = peers::serve_changes(&self.0, query).await;
                Response::new(AnswerBody::buffered(changes.json()))
            }
            METRICS_PATH => {
                let metrics = &self.0.metrics;
                metrics.held_bytes.set(self.0.requests.buffered_bytes() as i64);
                metrics.lines_dropped.set(self.0.log.lines().dropped() as i64);
                metrics.lines_left_out.set(self.0.log.lines().left_out() as i64);
                Response::new(AnswerBody::buffered(metrics.text()))
            }
            _ => {
                let answered = operator::answer(&self.0, request).await;
                answered.unwrap_or_else(|| AnswerBody::empty(StatusCode::NOT_FOUND))
            }
        }
    }

    fn limits(&self) -> ConnectionLimits {
        ConnectionLimits::INNER
    }

    fn connections(&self, _: i64) {}
}
