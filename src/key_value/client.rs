//! The platform over its published HTTP protocol.

use super::{Budget, Entry, Expect, KeyValue, KeyValueError, Listed, MAX_VALUE};
use crate::dial;
use crate::metrics::Metrics;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::header::{ETAG, HOST, IF_MATCH, IF_NONE_MATCH, RETRY_AFTER};
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::time::timeout;

/// Longest wait for the answer to a call that is not a watch.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Calls that may come at once, at a start or after an outage.
const BURST: f64 = 40.0;
/// Wait that a 429 without `retry-after` is taken to ask for.
const DEFAULT_BACKOFF: Duration = Duration::from_millis(500);
/// Idle connections that are kept.
const MAX_IDLE: usize = 4;
/// The largest answer that is read: a value or a list.
const MAX_ANSWER: usize = 4 * MAX_VALUE;

type Sender = SendRequest<Full<Bytes>>;

/// A client of the platform's service. Retries nothing by itself.
pub struct HttpKeyValue {
    address: SocketAddr,
    budget: Budget,
    idle: Mutex<Vec<Sender>>,
    metrics: Arc<Metrics>,
}

impl HttpKeyValue {
    /// A client of the service at `address` that makes at most `rate` calls a
    /// second in the long run.
    pub fn new(address: SocketAddr, rate: f64, metrics: Arc<Metrics>) -> Self {
        Self { address, budget: Budget::new(rate, BURST), idle: Mutex::new(Vec::new()), metrics }
    }

    async fn call(&self, kind: &str, request: Request<Full<Bytes>>, wait: Duration) -> Result<Answer, KeyValueError> {
        self.budget.take().map_err(|after| KeyValueError::Busy { after })?;
        let outcome = match timeout(wait, self.exchange(request)).await {
            Ok(Ok(answer)) => Ok(answer),
            Ok(Err(_)) | Err(_) => Err(KeyValueError::Silent),
        };
        let result = if outcome.is_ok() { "answered" } else { "silent" };
        self.metrics.platform_calls.with_label_values(&[kind, result]).inc();
        let answer = outcome?;
        match answer.status {
            StatusCode::TOO_MANY_REQUESTS => Err(KeyValueError::Busy { after: answer.retry_after }),
            StatusCode::PRECONDITION_FAILED => Err(KeyValueError::Conflict),
            status if status.is_server_error() => Err(KeyValueError::Silent),
            _ => Ok(answer),
        }
    }

    async fn exchange(
        &self,
        request: Request<Full<Bytes>>,
    ) -> Result<Answer, Box<dyn std::error::Error + Send + Sync>> {
        let mut sender = self.connect().await?;
        let response = sender.send_request(request).await?;
        let answer = Answer::read(response).await?;
        let mut idle = self.idle.lock().expect("no holder panics");
        if idle.len() < MAX_IDLE && !sender.is_closed() {
            idle.push(sender);
        }
        Ok(answer)
    }

    async fn connect(&self) -> Result<Sender, Box<dyn std::error::Error + Send + Sync>> {
        loop {
            let Some(mut sender) = self.idle.lock().expect("no holder panics").pop() else { break };
            if sender.ready().await.is_ok() {
                return Ok(sender);
            }
        }
        let stream = dial::connect(self.address).await?;
        let (sender, connection) = handshake(TokioIo::new(stream)).await?;
        tokio::spawn(connection);
        Ok(sender)
    }

    fn request(&self, method: Method, path: &str) -> hyper::http::request::Builder {
        Request::builder().method(method).uri(path).header(HOST, self.address.to_string())
    }
}

struct Answer {
    status: StatusCode,
    version: u64,
    retry_after: Duration,
    body: Bytes,
}

impl Answer {
    async fn read(response: Response<hyper::body::Incoming>) -> Result<Self, Box<dyn std::error::Error + Send + Sync>> {
        let status = response.status();
        let text = |name| response.headers().get(name).and_then(|v| v.to_str().ok());
        let version = text(ETAG).and_then(|v| v.trim_matches('"').parse().ok()).unwrap_or(0);
        let retry_after =
            text(RETRY_AFTER).and_then(|v| v.parse().ok()).map_or(DEFAULT_BACKOFF, Duration::from_secs_f64);
        let body = Limited::new(response.into_body(), MAX_ANSWER).collect().await?.to_bytes();
        Ok(Self { status, version, retry_after, body })
    }

    fn entry(self) -> Result<Option<Entry>, KeyValueError> {
        match self.status {
            StatusCode::OK => Ok(Some(Entry { version: self.version, value: self.body })),
            StatusCode::NOT_FOUND | StatusCode::NOT_MODIFIED => Ok(None),
            status => Err(KeyValueError::Strange(status.to_string())),
        }
    }

    fn json<T: serde::de::DeserializeOwned>(&self) -> Result<T, KeyValueError> {
        if self.status != StatusCode::OK {
            return Err(KeyValueError::Strange(self.status.to_string()));
        }
        serde_json::from_slice(&self.body).map_err(|e| KeyValueError::Strange(format!("unreadable JSON ({e})")))
    }
}

fn empty() -> Full<Bytes> {
    Full::new(Bytes::new())
}

impl KeyValue for HttpKeyValue {
    async fn get(&self, key: &str) -> Result<Option<Entry>, KeyValueError> {
        let request = self.request(Method::GET, &format!("/kv/{key}")).body(empty()).expect("keys are plain paths");
        self.call("get", request, CALL_TIMEOUT).await?.entry()
    }

    async fn put(&self, key: &str, value: Bytes, expect: Expect) -> Result<u64, KeyValueError> {
        if value.len() > MAX_VALUE {
            return Err(KeyValueError::TooLarge(value.len()));
        }
        let builder = self.request(Method::PUT, &format!("/kv/{key}"));
        let builder = match expect {
            Expect::Absent => builder.header(IF_NONE_MATCH, "*"),
            Expect::Version(version) => builder.header(IF_MATCH, format!("\"{version}\"")),
        };
        let request = builder.body(Full::new(value)).expect("keys are plain paths");
        let answer = self.call("put", request, CALL_TIMEOUT).await?;
        if !answer.status.is_success() {
            return Err(KeyValueError::Strange(answer.status.to_string()));
        }
        Ok(answer.version)
    }

    async fn watch(&self, key: &str, after: u64, wait: Duration) -> Result<Option<Entry>, KeyValueError> {
        let path = format!("/kv/{key}?after={after}&wait_ms={}", wait.as_millis());
        let request = self.request(Method::GET, &path).body(empty()).expect("keys are plain paths");
        self.call("watch", request, wait + CALL_TIMEOUT).await?.entry()
    }

    async fn keys(&self, prefix: &str) -> Result<Vec<String>, KeyValueError> {
        #[derive(serde::Deserialize)]
        struct Named {
            key: String,
        }
        let request =
            self.request(Method::GET, &format!("/kv?prefix={prefix}")).body(empty()).expect("keys are plain paths");
        let list: Vec<Named> = self.call("list", request, CALL_TIMEOUT).await?.json()?;
        Ok(list.into_iter().map(|n| n.key).collect())
    }

    async fn instances(&self) -> Result<Vec<Listed>, KeyValueError> {
        let request = self.request(Method::GET, "/instances").body(empty()).expect("the path is constant");
        self.call("instances", request, CALL_TIMEOUT).await?.json()
    }
}
