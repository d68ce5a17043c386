//! A request on its way through an instance.

use crate::body::{OutBody, Through};
use crate::decision::{Ask, Trial};
use crate::failure::Failure;
use crate::key::ServiceKey;
use crate::label::Symbol;
use crate::policy::Action;
use crate::target::TargetSet;
use crate::view::View;
use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::{Body, Incoming};
use hyper::http::request::Parts;
use hyper::{HeaderMap, Request};
use std::net::IpAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::time::timeout_at;

/// Header with the time the caller gives a request, in milliseconds.
pub const TIMEOUT: &str = "lockloft-timeout-ms";
/// Header with the id of the decision about a request.
pub const DECISION: &str = "lockloft-decision";
/// Header with the key of a single run.
pub const KEY: &str = "idempotency-key";
/// Prefix of headers that only lockloft sets.
pub const PREFIX: &str = "lockloft-";
/// Largest body of a repeatable request that is held so as to be sent again.
const HOLD_BYTES: u64 = 64 << 10;

/// The body of a request, as far as this instance has it.
pub enum Payload {
    /// In memory: may be sent again.
    Whole(Bytes),
    /// Passed through as it comes: may be sent once.
    Stream(Incoming),
    /// Taken by an exchange.
    Gone,
}

/// A request on its way.
pub struct Job {
    /// The view all of it is decided on.
    pub view: Arc<View>,
    /// What is asked for.
    pub ask: Ask,
    /// The caller's address.
    pub caller: IpAddr,
    /// Queue priority.
    pub priority: u8,
    /// When the answer has to be there.
    pub deadline: Instant,
    /// Method, path and headers.
    pub parts: Parts,
    /// The body.
    pub payload: Payload,
    /// What has happened so far.
    pub trial: Trial,
    /// Targets that failed it, by position in the service.
    pub avoid: TargetSet,
    /// The decision's sequence number.
    pub seq: u64,
}

/// A request as it came in.
pub struct Arrival {
    /// The caller's address.
    pub caller: IpAddr,
    /// Time until the answer has to be there.
    pub timeout: Duration,
    /// Method, path and headers.
    pub parts: Parts,
    /// The body, not read yet.
    pub body: Incoming,
}

impl Job {
    /// A request at its beginning; `seq` is its decision's number.
    pub fn new(view: Arc<View>, ask: Ask, arrival: Arrival, seq: u64) -> Self {
        Self {
            priority: priority(&view, &ask),
            ask,
            caller: arrival.caller,
            deadline: Instant::now() + arrival.timeout,
            parts: arrival.parts,
            payload: Payload::Stream(arrival.body),
            trial: Trial::default(),
            avoid: TargetSet::default(),
            seq,
            view,
        }
    }

    /// The longest body that may be sent.
    fn body_limit(&self) -> u64 {
        self.view.world.services[self.ask.service].body
    }

    /// The next request to send; `None` where the body is gone.
    pub fn request(&mut self) -> Option<Request<OutBody>> {
        let body = match std::mem::replace(&mut self.payload, Payload::Gone) {
            Payload::Whole(bytes) => {
                self.payload = Payload::Whole(bytes.clone());
                OutBody::whole(bytes)
            }
            Payload::Stream(incoming) => OutBody::Stream(Through { incoming, left: self.body_limit(), pace: None }),
            Payload::Gone => return None,
        };
        let mut request = Request::new(body);
        *request.method_mut() = self.parts.method.clone();
        *request.uri_mut() = self.parts.uri.clone();
        *request.headers_mut() = end_to_end(&self.parts.headers);
        Some(request)
    }

    /// Takes back a request of which no byte was sent.
    pub fn restore(&mut self, request: Request<OutBody>) {
        if let OutBody::Stream(through) = request.into_body() {
            self.payload = Payload::Stream(through.incoming);
        }
    }

    /// Whether the request can be sent now.
    pub fn is_sendable(&self) -> bool {
        !matches!(self.payload, Payload::Gone)
    }

    /// Reads the whole body if it is small enough to hold.
    ///
    /// # Errors
    /// A [`Failure`] where it is too large or does not arrive.
    pub async fn hold_small(&mut self) -> Result<(), Failure> {
        let Payload::Stream(incoming) = &self.payload else { return Ok(()) };
        match incoming.size_hint().exact() {
            Some(0) => self.payload = Payload::Whole(Bytes::new()),
            Some(size) if size <= HOLD_BYTES => self.hold().await?,
            Some(size) if size > self.body_limit() => return Err(Failure::TooLarge { most: self.body_limit() }),
            _ => {}
        }
        Ok(())
    }

    /// Reads the whole body into memory.
    ///
    /// # Errors
    /// A [`Failure`] where it is too large or does not arrive.
    pub async fn hold(&mut self) -> Result<(), Failure> {
        let most = self.body_limit();
        let Payload::Stream(incoming) = std::mem::replace(&mut self.payload, Payload::Gone) else { return Ok(()) };
        if incoming.size_hint().lower() > most {
            return Err(Failure::TooLarge { most });
        }
        let read = Limited::new(incoming, usize::try_from(most).unwrap_or(usize::MAX)).collect();
        match timeout_at(self.deadline.into(), read).await {
            Err(_) => Err(Failure::BrokenBody),
            Ok(Ok(collected)) => {
                self.payload = Payload::Whole(collected.to_bytes());
                Ok(())
            }
            Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => Err(Failure::TooLarge { most }),
            Ok(Err(_)) => Err(Failure::BrokenBody),
        }
    }

    /// Time left until the deadline.
    pub fn left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }
}

/// Headers that speak of one connection only.
const HOP_BY_HOP: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "proxy-connection",
];

/// The headers that go on to the next process: without those of the
/// connection and without any that only lockloft sets.
pub fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let mut kept = HeaderMap::with_capacity(headers.len() + 4);
    let named = headers.get("connection").and_then(|v| v.to_str().ok()).unwrap_or("").to_ascii_lowercase();
    for (name, value) in headers {
        let text = name.as_str();
        let listed = named.split(',').any(|n| n.trim() == text);
        if !HOP_BY_HOP.contains(&text) && !listed && !text.starts_with(PREFIX) {
            kept.append(name, value.clone());
        }
    }
    kept
}

/// Works out what a request asks for.
pub struct Asker<'a> {
    /// The view to decide on.
    pub view: &'a View,
    /// The caller's address.
    pub caller: IpAddr,
}

impl Asker<'_> {
    /// The ask of a request or look-up for `service`.
    pub fn ask(&self, service: ServiceKey, parts: &Parts) -> Ask {
        let mut ask = self.bare(service);
        let world = &self.view.world;
        for source in &world.services[service].headers {
            if let Some(value) = parts.headers.get(&source.name).and_then(|v| v.to_str().ok()) {
                ask.labels.set(source.key, world.interner.value(value));
            }
        }
        if let Some(query) = parts.uri.query() {
            for (name, value) in url::form_urlencoded::parse(query.as_bytes()) {
                if let Some(source) = world.services[service].query.iter().find(|s| s.name == name) {
                    ask.labels.set(source.key, world.interner.value(&value));
                }
            }
        }
        if let Some(method) = self.view.method {
            ask.labels.set(method, world.interner.value(parts.method.as_str()));
        }
        ask.from = self.view.home;
        ask
    }

    /// The ask of a look-up, before its own labels.
    pub fn bare(&self, service: ServiceKey) -> Ask {
        let world = &self.view.world;
        let caller = world.blocks.find(self.caller);
        let mut labels = world.services[service].labels.clone();
        if let Some(caller) = caller {
            labels.overlay(&world.callers[caller].labels);
        }
        Ask { service, caller, labels, seed: seed(self.caller), from: None }
    }
}

/// Sets a label of an ask by its name and value as text.
pub fn set_label(view: &View, ask: &mut Ask, name: &str, value: &str) {
    if let Some(key) = view.world.interner.key(name) {
        let symbol = if value.is_empty() { Symbol::NONE } else { view.world.interner.value(value) };
        ask.labels.set(key, symbol);
    }
}

/// The queue priority of a request: its service's, or the last that a
/// priority policy gives it.
pub fn priority(view: &View, ask: &Ask) -> u8 {
    let mut priority = view.world.services[ask.service].priority;
    for used in &view.routes[ask.service].policies {
        let policy = &view.world.policies[used.key];
        if let Action::Priority(value) = policy.action
            && policy.requests.selects(&ask.labels)
        {
            priority = value;
        }
    }
    priority
}

/// A stable hash of a caller's address.
pub fn seed(caller: IpAddr) -> u64 {
    match caller {
        IpAddr::V4(a) => xxhash_rust::xxh3::xxh3_64(&a.octets()),
        IpAddr::V6(a) => xxhash_rust::xxh3::xxh3_64(&a.octets()[..8]),
    }
}

/// The service that a request is for.
pub fn service_of(view: &View, parts: &Parts) -> Result<ServiceKey, Failure> {
    let host = parts.headers.get(hyper::header::HOST).and_then(|v| v.to_str().ok()).or(parts.uri.host()).unwrap_or("");
    let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
    let path = parts.uri.path();
    let mut best: Option<(usize, ServiceKey)> = None;
    for (key, service) in view.world.services.iter() {
        if !service.answers(name, path) {
            continue;
        }
        let length = service.paths.iter().filter(|p| path.starts_with(p.as_str())).map(String::len).max();
        let length = length.unwrap_or(0) + usize::from(!service.hosts.is_empty());
        if best.is_none_or(|(l, _)| length > l) {
            best = Some((length, key));
        }
    }
    let unknown = || Failure::UnknownService { host: name.to_owned(), path: path.to_owned() };
    best.map(|(_, key)| key).ok_or_else(unknown)
}
