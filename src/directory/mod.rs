//! HTTP handler of the readiness check and of the directory, from which callers learn which instances
//! to use.
//!
//! Owns nothing. [`crate::decision::selection::directory`] decides which instances a response lists. Callers may
//! keep a response for the operators' bound `bounds.directory_ttl_s`. The platform defines the formats
//! of request and response.
//!
//! **Why callers may keep a response for the whole bound.** When it expires, callers send a new request
//! and wait for the response: a round trip, or 1 s if the instance that they send it to is dead. An
//! instance that died in the meantime costs a caller one connection attempt: the caller does not try
//! its address again. A stopping instance serves all requests at first, then only those that must end
//! before it is killed, and refuses the others at once ([`crate::decision::refusal::stop`]).

use crate::decision::selection::directory::{self, OwnInstance};
use crate::model::member::Member;
use crate::net::server::{CallerBody, ConnectionLimits, Connections, Handler};
use crate::platform::Platform;
use crate::proxy::response_body::ResponseBody;
use crate::state::Instance;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Request, Response, StatusCode};
use std::rc::Rc;

/// Handles requests of the readiness check and of the directory.
pub struct DirectoryHandler<P: Platform>(pub Rc<Instance<P>>);

impl<P: Platform> Handler for DirectoryHandler<P> {
    type Body = ResponseBody;

    async fn handle(self: Rc<Self>, request: Request<CallerBody>) -> Response<ResponseBody> {
        let (path, query) = (request.uri().path(), request.uri().query().unwrap_or(""));
        if path == P::ready_path() {
            let status = if self.0.is_ready() { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
            return ResponseBody::empty(status);
        }
        let Some(caller) = P::directory_question(path, query) else {
            return ResponseBody::empty(StatusCode::NOT_FOUND);
        };
        let settings = self.0.settings();
        let own = OwnInstance {
            name: &settings.name,
            region: &settings.region,
            address: settings.listen.callers,
            is_ready: self.0.is_ready(),
            is_isolated: self.0.is_isolated_itself(),
            capacity: settings.capacity,
        };
        let routing = self.0.routing.borrow();
        let request_bytes = self.0.request_size.bytes();
        let is_isolated = |name: &str, member: &Member| self.0.is_isolated(name, member);
        let (region, members) = (&caller.region, &routing.members);
        let instances = directory::instances_for(region, own, members, is_isolated, request_bytes, rand::random);
        if instances.is_empty() {
            return ResponseBody::empty(StatusCode::SERVICE_UNAVAILABLE);
        }
        let body = P::directory_answer(&instances, settings.directory_ttl);
        let mut response = Response::new(ResponseBody::buffered(body));
        response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        response
    }

    fn limits(&self) -> ConnectionLimits {
        ConnectionLimits::INTERNAL
    }

    fn connections(&self) -> &Rc<Connections> {
        &self.0.connections
    }

    fn count_connections(&self, _: i64) {}
}
