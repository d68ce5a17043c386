//! Callers of a soak that send several requests before the first is answered, most of which may be
//! repeated, and that leave with some of them unanswered at times.
//!
//! Owns its connections. An answer in the wrong place is not the request's own, which the promises
//! count as unsound. Relies on [`callers`] for the choice of an instance.

use super::callers::{self, Shared};
use super::layout::ROUTE_TIMEOUT;
use super::observations::SentRequest;
use super::tenants;
use crate::http::Reply;
use crate::site::{HOST, fresh_id};
use bytes::{Buf, Bytes, BytesMut};
use hyper::header::{CONTENT_LENGTH, HeaderName, HeaderValue};
use hyper::{HeaderMap, StatusCode};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::sync::Arc;
use std::sync::atomic::Ordering::Relaxed;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Pipelining callers of a soak.
pub const CALLERS: u64 = 4;
/// Keeps their draws apart from those of other callers.
const SEED_OFFSET: u64 = 500;
/// Requests sent at once.
const TOGETHER: std::ops::Range<usize> = 2..7;
/// Pause between them.
const PAUSE_MS: std::ops::Range<u64> = 10..120;
/// Objects that requests are about.
const OBJECTS: u32 = 60;
/// Longest wait for one answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(4);
/// Share of the rounds in which the caller leaves early.
const LEAVES: f64 = 0.15;
/// Share of the requests that may run once, in the other rounds.
const ONCE: f64 = 0.15;

/// One request of a round.
struct Sent {
    id: String,
    is_safe: bool,
    api_key: Option<&'static str>,
}

impl Sent {
    fn draw(random: &mut StdRng, shared: &Shared, leaves: bool) -> Self {
        let is_safe = leaves || !random.random_bool(ONCE);
        Self { id: fresh_id(), is_safe, api_key: shared.has_tenants.then(|| tenants::draw(random)) }
    }

    fn text(&self, object: u32) -> String {
        let line = if self.is_safe { "GET /look/a" } else { "POST /buy/a" };
        let body = if self.is_safe { "\r\n" } else { "Content-Length: 3\r\n\r\none" };
        let key = self.api_key.map(|key| format!("Api-Key: {key}\r\n")).unwrap_or_default();
        let id = &self.id;
        format!(
            "{line} HTTP/1.1\r\nHost: {HOST}\r\nLockloft-Request-Id: {id}\r\nLockloft-Affinity-Key: {object}\r\n\
             Lockloft-Deadline-Ms: 3000\r\n{key}{body}"
        )
    }

    fn is_own(&self, reply: &Reply) -> bool {
        let is_signed = reply.header("lockloft-response-signature") == format!("signed-{}", self.id);
        is_signed && reply.body.ends_with(self.id.as_bytes())
    }
}

/// Sends rounds of requests until the callers are to end.
pub async fn run(shared: Arc<Shared>, seed: u64, number: u64) {
    let mut random = StdRng::seed_from_u64(seed + SEED_OFFSET + number);
    while !shared.stop.load(Relaxed) {
        tokio::time::sleep(Duration::from_millis(random.random_range(PAUSE_MS))).await;
        let Some((instance, address)) = callers::choose(&shared, &mut random).await else { continue };
        let leaves = random.random_bool(LEAVES);
        let count = random.random_range(TOGETHER);
        let round: Vec<Sent> = (0..count).map(|_| Sent::draw(&mut random, &shared, leaves)).collect();
        let text: String = round.iter().map(|sent| sent.text(random.random_range(0..OBJECTS))).collect();
        let started = Instant::now();
        // An instance that cannot be reached is under a fault.
        let Ok(mut stream) = TcpStream::connect(address).await else { continue };
        if stream.write_all(text.as_bytes()).await.is_err() {
            continue;
        }
        if leaves {
            tokio::time::sleep(Duration::from_millis(random.random_range(PAUSE_MS))).await;
            continue;
        }
        let mut answers = Some(Answers { stream, read: BytesMut::new() });
        for sent in round {
            let reply = next_reply(&mut answers).await;
            let seen = SentRequest {
                sound: reply.as_ref().is_some_and(|reply| sent.is_own(reply)),
                status: reply.map(|reply| reply.status.as_u16()),
                id: sent.id,
                safe: sent.is_safe,
                instance,
                sent: started,
                ended: Instant::now(),
                time: ROUTE_TIMEOUT,
                api_key: sent.api_key,
            };
            shared.requests.lock().expect("no holder panics").push(seen);
        }
    }
}

/// The next answer. Where none comes in time the connection is given up: what came later would be taken
/// for the answer to the request behind.
async fn next_reply(answers: &mut Option<Answers>) -> Option<Reply> {
    let reply = timeout(ANSWER_TIMEOUT, answers.as_mut()?.next()).await.ok().flatten();
    if reply.is_none() {
        *answers = None;
    }
    reply
}

/// The answers on one connection, one after the other.
struct Answers {
    stream: TcpStream,
    read: BytesMut,
}

impl Answers {
    /// The next whole answer; `None` where the connection ends before, or says no length.
    async fn next(&mut self) -> Option<Reply> {
        let end = loop {
            match self.read.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
                Some(end) => break end + 4,
                None => self.more().await?,
            }
        };
        let head = self.read.split_to(end);
        let (status, headers) = parse(std::str::from_utf8(&head).ok()?)?;
        let length: usize = headers.get(CONTENT_LENGTH)?.to_str().ok()?.parse().ok()?;
        while self.read.len() < length {
            self.more().await?;
        }
        let body = Bytes::copy_from_slice(&self.read[..length]);
        self.read.advance(length);
        Some(Reply { status, headers, body })
    }

    /// Reads on; `None` at the end.
    async fn more(&mut self) -> Option<()> {
        let count = self.stream.read_buf(&mut self.read).await.ok()?;
        (count > 0).then_some(())
    }
}

/// Status and headers of an answer's head.
fn parse(head: &str) -> Option<(StatusCode, HeaderMap)> {
    let mut lines = head.lines();
    let status = lines.next()?.split(' ').nth(1)?.parse().ok()?;
    let mut headers = HeaderMap::new();
    for line in lines.filter(|line| !line.is_empty()) {
        let (name, value) = line.split_once(':')?;
        headers.append(HeaderName::try_from(name).ok()?, HeaderValue::try_from(value.trim()).ok()?);
    }
    Some((status, headers))
}
