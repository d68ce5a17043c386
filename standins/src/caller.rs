//! Callers: each looks up entries, keeps the answer for its time, and sends
//! its requests to the first entry, or the next where that one fails.

use crate::http::{Connection, NoReply, Reply};
use crate::target::RUN;
use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use serde::Deserialize;
use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::time::{Duration, Instant};

/// An entry of a look-up.
#[derive(Clone, Debug, Deserialize)]
pub struct Entry {
    /// Where it listens.
    pub address: SocketAddr,
    /// Its hall.
    pub hall: String,
}

/// The answer to a look-up.
#[derive(Clone, Debug, Deserialize)]
pub struct Lookup {
    /// Entries, best first.
    pub entries: Vec<Entry>,
    /// How long it may be kept.
    pub ttl_ms: u64,
    /// Key for one request.
    pub key: Option<String>,
    /// The decision's id.
    pub decision: String,
    /// Configuration revision.
    pub revision: u64,
}

/// A request to send.
#[derive(Clone, Debug)]
pub struct Send<'a> {
    /// Service, also its path.
    pub service: &'a str,
    /// Rest of the path.
    pub path: &'a str,
    /// Name of the run.
    pub run: &'a str,
    /// Key, if any.
    pub key: Option<&'a str>,
    /// Body.
    pub body: Bytes,
    /// More headers.
    pub headers: &'a [(&'a str, &'a str)],
    /// Longest wait.
    pub wait: Duration,
}

impl<'a> Send<'a> {
    /// A request without key or body.
    pub fn to(service: &'a str, run: &'a str) -> Self {
        let wait = Duration::from_secs(5);
        Self { service, path: "", run, key: None, body: Bytes::new(), headers: &[], wait }
    }

    /// The HTTP request.
    pub fn request(&self) -> Request<Full<Bytes>> {
        let method = if self.body.is_empty() && self.key.is_none() { "GET" } else { "POST" };
        let mut builder = Request::builder()
            .method(method)
            .uri(format!("/{}{}", self.service, self.path))
            .header("host", "lockloft.test")
            .header(RUN, self.run)
            .header("lockloft-timeout-ms", self.wait.as_millis() as u64);
        if let Some(key) = self.key {
            builder = builder.header("idempotency-key", key);
        }
        for (name, value) in self.headers {
            builder = builder.header(*name, *value);
        }
        builder.body(Full::new(self.body.clone())).expect("the parts are good")
    }
}

/// One caller.
pub struct Caller {
    source: IpAddr,
    known: Vec<SocketAddr>,
    kept: HashMap<String, (Lookup, Instant)>,
    open: HashMap<SocketAddr, Connection>,
}

impl Caller {
    /// A caller at `source` that knows the addresses of some entries.
    pub fn new(source: IpAddr, known: Vec<SocketAddr>) -> Self {
        Self { source, known, kept: HashMap::new(), open: HashMap::new() }
    }

    /// Sends a request to one address over a kept connection.
    pub async fn send_to(
        &mut self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        wait: Duration,
    ) -> Result<Reply, NoReply> {
        let kept = match self.open.remove(&address) {
            Some(mut connection) => connection.is_ready().await.then_some(connection),
            None => None,
        };
        let mut connection = match kept {
            Some(connection) => connection,
            None => Connection::open(address, Some(self.source)).await?,
        };
        let reply = connection.send(request, wait).await?;
        self.open.insert(address, connection);
        Ok(reply)
    }

    /// Looks up a service, always anew.
    pub async fn look(&mut self, service: &str) -> Option<Lookup> {
        let mut ask: Vec<SocketAddr> = Vec::new();
        if let Some((kept, _)) = self.kept.get(service) {
            ask.extend(kept.entries.iter().map(|e| e.address));
        }
        ask.extend(self.known.iter());
        for address in ask {
            let request = Request::get(format!("/lookup?service={service}")).header("host", "lockloft.test");
            let request = request.body(Full::default()).expect("the parts are good");
            let Ok(reply) = self.send_to(address, request, Duration::from_millis(800)).await else { continue };
            if let Ok(lookup) = serde_json::from_slice::<Lookup>(&reply.body) {
                let until = Instant::now() + Duration::from_millis(lookup.ttl_ms);
                self.kept.insert(service.to_owned(), (lookup.clone(), until));
                return Some(lookup);
            }
        }
        None
    }

    /// Entries of a service, from memory while they may be kept.
    pub async fn entries(&mut self, service: &str) -> Vec<SocketAddr> {
        if let Some((kept, until)) = self.kept.get(service)
            && Instant::now() < *until
        {
            return kept.entries.iter().map(|e| e.address).collect();
        }
        let lookup = self.look(service).await;
        lookup.map(|l| l.entries.iter().map(|e| e.address).collect()).unwrap_or_default()
    }

    /// Sends to the first entry; to the next only where none was connected.
    pub async fn send(&mut self, send: &Send<'_>) -> Result<Reply, NoReply> {
        let mut last = NoReply::Unreachable;
        for address in self.entries(send.service).await {
            match self.send_to(address, send.request(), send.wait + Duration::from_millis(500)).await {
                Err(NoReply::Unreachable) => {}
                Err(error) => {
                    last = error;
                    self.kept.remove(send.service);
                    break;
                }
                Ok(reply) => return Ok(reply),
            }
            self.kept.remove(send.service);
        }
        Err(last)
    }
}
