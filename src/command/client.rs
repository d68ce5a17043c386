//! Questions to an instance at its peers' address: JSON over HTTP/1.1, one
//! connection for each question.

use super::error::CommandError;
use crate::operator::api::Refused;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::handshake;
use hyper::header::HOST;
use hyper::{Method, Request, StatusCode};
use hyper_util::rt::TokioIo;
use serde::de::DeserializeOwned;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Longest wait for an answer. An apply is tried for 8 s by the instance, with calls of up to 0.7
/// s; the rest is for its way there and back.
const TIMEOUT: Duration = Duration::from_secs(30);

/// An instance that answers operators.
pub struct Client {
    instance: String,
}

impl Client {
    /// The instance at this address.
    ///
    /// # Errors
    /// [`CommandError::Usage`] where none is given.
    pub fn new(instance: Option<&str>) -> Result<Self, CommandError> {
        let missing = || CommandError::Usage("no instance named: give --entry ADDR or set LOCKLOFT_ENTRY".into());
        Ok(Self { instance: instance.ok_or_else(missing)?.to_owned() })
    }

    /// Gets a path.
    ///
    /// # Errors
    /// [`CommandError`].
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, CommandError> {
        self.call(Method::GET, path, Bytes::new()).await
    }

    /// Posts a body to a path.
    ///
    /// # Errors
    /// [`CommandError`].
    pub async fn post<T: DeserializeOwned>(&self, path: &str, body: Vec<u8>) -> Result<T, CommandError> {
        self.call(Method::POST, path, body.into()).await
    }

    async fn call<T: DeserializeOwned>(&self, method: Method, path: &str, body: Bytes) -> Result<T, CommandError> {
        // Whatever ended the exchange, the remedy is the same: another address.
        let unreachable = || CommandError::Unreachable { instance: self.instance.clone() };
        let exchanged = timeout(TIMEOUT, self.exchange(method, path, body)).await.map_err(|_| unreachable())?;
        let (status, bytes) = exchanged.map_err(|_| unreachable())?;
        if status.is_success() {
            return serde_json::from_slice(&bytes).map_err(bad_answer);
        }
        let refused: Refused = serde_json::from_slice(&bytes).map_err(bad_answer)?;
        Err(match status {
            StatusCode::CONFLICT => CommandError::Conflict(refused.message),
            _ => CommandError::Refused(refused.message),
        })
    }

    async fn exchange(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<(StatusCode, Bytes), Box<dyn std::error::Error>> {
        let stream = TcpStream::connect(&self.instance).await?;
        let (mut sender, connection) = handshake(TokioIo::new(stream)).await?;
        tokio::spawn(connection);
        let request = Request::builder().method(method).uri(path).header(HOST, &self.instance).body(Full::new(body))?;
        let response = sender.send_request(request).await?;
        let status = response.status();
        Ok((status, response.into_body().collect().await?.to_bytes()))
    }
}

fn bad_answer(error: serde_json::Error) -> CommandError {
    CommandError::BadAnswer(error.to_string())
}

/// A query string of keys and values.
pub fn query<'a>(pairs: impl Iterator<Item = (String, &'a str)>) -> String {
    url::form_urlencoded::Serializer::new(String::new()).extend_pairs(pairs).finish()
}
