//! Has another instance send a caller's request, while this one cannot reach the target itself.
//!
//! Owns the tries at instances. A request goes one hop at most: one that was forwarded here is never
//! forwarded on. It is tried at another instance only if the one before has not looked at it; whether it may
//! be repeated after that, [`crate::decision::failure::next_try`] decides.

use crate::clock::Instant;
use crate::decision::failure::isolation::Reach;
use crate::decision::failure::next_try::has_time;
use crate::decision::registry::forward_peer::ForwardPeer;
use crate::model::forwarded::{FORWARD_PATH, ForwardedHead, HEAD_HEADER};
use crate::net::request_body::RequestBody;
use crate::platform::Platform;
use crate::proxy::access_record::AccessRecord;
use crate::proxy::caller_request::CallerRequest;
use crate::proxy::delivery::Delivery;
use crate::proxy::held_response::HeldResponseContext;
use crate::proxy::incoming_body::IncomingBody;
use crate::proxy::peer_exchange::{ForwardError, PeerExchange};
use crate::proxy::refusal::Refusal;
use crate::proxy::response_body::ResponseBody;
use hyper::header::HeaderValue;
use hyper::{Method, Request, Response, Version};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;

/// Maximum number of instances that one request is tried at.
const MAX_PEER_TRIES: usize = 3;

/// How forwarding a request ended without a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ForwardFailure {
    /// No instance takes it; it has not run.
    NoPeer,
    /// Too little time is left; it has not run.
    TooLate,
    /// An instance refused it.
    Refused(Refusal),
    /// An instance broke off; it may have run.
    Lost,
    /// The deadline passed; it may have run.
    TimedOut,
}

/// A request that is forwarded.
pub struct Forward<'a, P: Platform> {
    request: &'a CallerRequest<'a, P>,
    /// Tries that have reached a target.
    sends: u32,
}

impl<'a, P: Platform> Forward<'a, P> {
    /// A request of which `sends` tries have reached a target.
    pub fn new(request: &'a CallerRequest<'a, P>, sends: u32) -> Self {
        Self { request, sends }
    }

    /// Tries the request at instances until one of them takes it.
    ///
    /// # Errors
    /// [`ForwardFailure`].
    pub async fn run(
        &self,
        body: &mut IncomingBody,
        record: &mut AccessRecord,
    ) -> Result<Response<ResponseBody>, ForwardFailure> {
        let instance = self.request.instance;
        let mut tried: Vec<SocketAddr> = Vec::new();
        while tried.len() < MAX_PEER_TRIES {
            if !has_time(self.request.deadline.saturating_duration_since(Instant::now())) {
                return Err(ForwardFailure::TooLate);
            }
            let peer = instance.choose_peer(&tried, |region| self.request.allows_region(region));
            let peer = peer.ok_or(ForwardFailure::NoPeer)?;
            // A streamed body that an instance has declined is gone.
            let content = body.for_try().ok_or(ForwardFailure::NoPeer)?;
            tried.push(peer.pool.address());
            record.forwarded_to = Some(peer.pool.address());
            let asked = Instant::now();
            let result = self.send(content, &peer).await;
            self.record_result(&peer, &result);
            match result {
                Ok(response) => {
                    instance.links.record_answer_elsewhere(asked);
                    return Ok(response);
                }
                Err(ForwardError::Unreachable(request)) => body.restore(*request),
                Err(ForwardError::Declined) => {}
                Err(ForwardError::NotSent) => return Err(ForwardFailure::TooLate),
                Err(ForwardError::Refused { refusal, retry_after }) => {
                    record.forwarded_wait = retry_after;
                    return Err(ForwardFailure::Refused(refusal));
                }
                Err(ForwardError::Lost) => return Err(ForwardFailure::Lost),
                Err(ForwardError::TimedOut) => return Err(ForwardFailure::TimedOut),
            }
        }
        Err(ForwardFailure::NoPeer)
    }

    fn record_result(&self, peer: &ForwardPeer, result: &Result<Response<ResponseBody>, ForwardError>) {
        let instance = self.request.instance;
        let outcome = match result {
            Ok(_) => "answered",
            Err(ForwardError::Refused { .. }) => "refused",
            Err(ForwardError::Unreachable(_)) => "unreachable",
            Err(ForwardError::NotSent) => "not-sent",
            Err(ForwardError::Declined) => "declined",
            Err(ForwardError::Lost) => "lost",
            Err(ForwardError::TimedOut) => "timed-out",
        };
        instance.metrics.forwarded.with_label_values(&[outcome]).inc();
        match result {
            Ok(_) | Err(ForwardError::Refused { .. }) => instance.forwarding.record_success(peer),
            Err(_) => {
                instance.forwarding.record_failure(peer);
                let (id, after) = (self.request.id_text(), self.request.started.elapsed());
                let after_ms = after.as_millis() as u64;
                tracing::info!(event = "forward_failed", id, peer = &*peer.name, fault = outcome, after_ms);
            }
        }
    }

    async fn send(&self, body: RequestBody, peer: &Rc<ForwardPeer>) -> Result<Response<ResponseBody>, ForwardError> {
        let request_sent = match &body {
            RequestBody::Streamed(streamed) => streamed.sent(),
            RequestBody::Buffered(_) => Rc::new(Cell::new(true)),
        };
        let instance = self.request.instance;
        let delivery = Delivery {
            request_id: self.request.id(),
            deadline: self.request.deadline,
            held_responses: HeldResponseContext::new(instance),
        };
        let exchange = PeerExchange {
            in_flight: peer.begin_request(),
            request_sent,
            idempotency: self.request.route.idempotency,
            delivery,
        };
        let Some(request) = self.outgoing_request(body) else { return Err(ForwardError::Declined) };
        exchange.run(request).await
    }

    /// The request to the other instance: the caller's headers with its key, the time that is left, and in a
    /// header of its own what else belongs to the request. `None` if that is no valid header.
    fn outgoing_request(&self, body: RequestBody) -> Option<Request<RequestBody>> {
        let CallerRequest { instance, parts, caller, deadline, .. } = self.request;
        let head = ForwardedHead {
            by: instance.settings().name.clone(),
            method: parts.method.to_string(),
            path: parts.uri.to_string(),
            sends: self.sends,
            uncertain: instance.links.reach() == Reach::Uncertain,
        };
        let mut request = Request::new(body);
        *request.method_mut() = Method::POST;
        *request.uri_mut() = hyper::Uri::from_static(FORWARD_PATH);
        *request.version_mut() = Version::HTTP_11;
        *request.headers_mut() = parts.headers.clone();
        let headers = request.headers_mut();
        let remaining = deadline.saturating_duration_since(Instant::now()).as_millis() as u64;
        headers.insert(&instance.names.deadline_ms, HeaderValue::from(remaining));
        if let Some(caller) = caller {
            headers.insert(&instance.names.api_key, caller.api_key().clone());
        }
        headers.insert(HEAD_HEADER, head.to_header()?);
        Some(request)
    }
}
