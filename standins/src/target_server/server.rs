//! Connections of a target server: each request is read, run in one of the
//! slots, and answered as its misbehaviour says.

use super::large::LargeAnswer;
use super::message::{Answer, Request, Wire};
use super::{Arrival, Misbehaviour, NewConnections, Run, Shared};
use crate::ports::after_spawns;
use hyper::StatusCode;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;

/// Time for an object that the target has not lately seen, as a multiple.
const COLD_FACTOR: u32 = 3;
/// How much later a late surplus answer or the reset of a started one comes:
/// long enough for the instance to have read what came before.
const SURPLUS_DELAY: Duration = Duration::from_millis(30);
/// Says that a request did not run.
const NOT_EXECUTED: (&str, &str) = ("Lockloft-Not-Executed", "1");

/// Accepts connections until it is aborted or a request ends it, which closes them.
pub async fn accept(listener: TcpListener, shared: Arc<Shared>) {
    let mut connections = JoinSet::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = shared.ended.notified() => {
                let Some(down) = shared.restart() else {
                    // A process that ends stops listening before its connections are closed: its
                    // listener has the lower descriptor.
                    drop(listener);
                    // A process that is being spawned holds a copy of it.
                    let _ = tokio::task::spawn_blocking(after_spawns).await;
                    return;
                };
                connections.shutdown().await;
                tokio::time::sleep(down).await;
                continue;
            }
        };
        let Ok((stream, _)) = accepted else { continue };
        shared.lock().connections += 1;
        connections.spawn(serve(stream, shared.clone()));
        while connections.try_join_next().is_some() {}
    }
}

async fn serve(stream: TcpStream, shared: Arc<Shared>) {
    // Without it answers come later, which no test counts on.
    let _ = stream.set_nodelay(true);
    let how = shared.lock().new_connections;
    match how {
        NewConnections::Accepted => {}
        NewConnections::WaitForSlot => drop(shared.slot().await),
        NewConnections::ResetBesideQueue if shared.lock().waiting > 0 => {
            // It fails where the connection is closed already.
            let _ = stream.set_zero_linger();
            return;
        }
        NewConnections::ResetBesideQueue => {}
    }
    let mut connection = Connection { wire: Wire::new(stream), shared };
    while connection.serve_next().await.is_some() {}
}

struct Connection {
    wire: Wire,
    shared: Arc<Shared>,
}

impl Connection {
    /// Reads a request and answers it; `None` where the connection ends.
    async fn serve_next(&mut self) -> Option<()> {
        let mut request = self.wire.read_head().await?;
        let misbehaviour = self.shared.lock().misbehaviour;
        if misbehaviour == Misbehaviour::AnswerEarly && request.header("content-length").is_some() {
            self.refuse(&request, "early").await?;
            return self.wire.read_body(&mut request).await;
        }
        if let Misbehaviour::EarlyRawReset(text) = misbehaviour
            && request.header("content-length").is_some()
        {
            return self.write_and_reset(text.replace("{id}", request.id()).as_bytes()).await;
        }
        self.wire.read_body(&mut request).await?;
        if request.line.starts_with("GET /health ") {
            return self.answer_health(&request, misbehaviour).await;
        }
        self.respond(request, misbehaviour).await
    }

    async fn respond(&mut self, request: Request, misbehaviour: Misbehaviour) -> Option<()> {
        let arrival = Arrival { id: request.id().to_owned(), at: Instant::now() };
        self.shared.lock().arrivals.push(arrival);
        if request.header("lockloft-expect-instance").is_some_and(|expected| expected != self.shared.id()) {
            return self.answer_misdirected(&request).await;
        }
        if misbehaviour == Misbehaviour::Full {
            return self.refuse_for_load(&request).await;
        }
        if misbehaviour == Misbehaviour::Shed {
            return self.refuse(&request, "").await;
        }
        if !self.run(&request, misbehaviour).await {
            return None;
        }
        self.answer(&request, misbehaviour).await
    }

    /// Runs a request; false where its connection was closed meanwhile.
    async fn run(&self, request: &Request, misbehaviour: Misbehaviour) -> bool {
        self.shared.lock().waiting += 1;
        let slot = self.shared.slot().await;
        let (position, time) = self.begin(request, misbehaviour);
        if misbehaviour.ends_on(&request.line) {
            self.shared.end();
            // Its address refuses connections before this one is closed.
            return std::future::pending().await;
        }
        let finished = tokio::select! {
            () = tokio::time::sleep(time) => true,
            () = self.wire.closed(), if misbehaviour != Misbehaviour::IgnoreClose => false,
        };
        drop(slot);
        let mut state = self.shared.lock();
        state.running -= 1;
        state.runs[position].cut = !finished;
        finished
    }

    /// Notes a run; gives its number and how long it takes.
    fn begin(&self, request: &Request, misbehaviour: Misbehaviour) -> (usize, Duration) {
        let mut state = self.shared.lock();
        state.waiting -= 1;
        state.running += 1;
        let object = request.header("lockloft-affinity-key").unwrap_or("").to_owned();
        let is_cold = !object.is_empty() && state.warm.insert(object);
        state.runs.push(Run {
            id: request.id().to_owned(),
            line: request.line.clone(),
            body: request.body.clone(),
            deadline_ms: request.header("lockloft-deadline-ms").and_then(|text| text.parse().ok()),
            tenant: request.header("lockloft-tenant").map(str::to_owned),
            has_key: request.header("api-key").is_some(),
            at: Instant::now(),
            cut: false,
            breaks_off: misbehaviour.breaks_off(),
        });
        let work = state.work * state.percent / 100;
        let time = if is_cold { work * COLD_FACTOR } else { work };
        (state.runs.len() - 1, time)
    }

    /// Answers a health check, which waits for a slot or is turned away as a request is.
    async fn answer_health(&mut self, request: &Request, misbehaviour: Misbehaviour) -> Option<()> {
        if misbehaviour == Misbehaviour::Full {
            return self.refuse_for_load(request).await;
        }
        drop(self.shared.slot().await);
        let id = self.shared.id();
        let headers = [("Lockloft-Instance-Id", id.as_str())];
        let answer = self.encode(StatusCode::OK, "", &headers, "");
        self.write(&answer).await
    }

    async fn answer_misdirected(&mut self, request: &Request) -> Option<()> {
        let id = self.shared.id();
        let headers = [("Lockloft-Instance-Id", id.as_str())];
        let answer = self.encode(StatusCode::MISDIRECTED_REQUEST, request.id(), &headers, "");
        self.write(&answer).await
    }

    /// Turns a request away as a target does whose slots and queue are full.
    async fn refuse_for_load(&mut self, request: &Request) -> Option<()> {
        let slots = self.shared.slots;
        let load = format!("{slots},{slots},{slots}");
        let answer = self.encode_with(&load, StatusCode::SERVICE_UNAVAILABLE, request.id(), &[NOT_EXECUTED], "");
        self.write(&answer).await
    }

    async fn refuse(&mut self, request: &Request, body: &str) -> Option<()> {
        let answer = self.encode(StatusCode::SERVICE_UNAVAILABLE, request.id(), &[NOT_EXECUTED], body);
        self.write(&answer).await
    }

    /// Answers a request that has run; `None` where the connection is to be
    /// closed.
    async fn answer(&mut self, request: &Request, misbehaviour: Misbehaviour) -> Option<()> {
        let id = request.id();
        if let Some(large) = LargeAnswer::asked_by(&request.line).and_then(|large| large.under(misbehaviour)) {
            return self.answer_large(large, id).await;
        }
        let body = format!("{} {id}", self.shared.id());
        let signature = format!("signed-{id}");
        let signed = [("Lockloft-Response-Signature", signature.as_str())];
        let whole = self.encode(StatusCode::OK, id, &signed, &body);
        match misbehaviour {
            Misbehaviour::LoseAnswer => None,
            Misbehaviour::NoAnswer => std::future::pending().await,
            Misbehaviour::Garbage => self.write_last(b"this is no answer\r\n\r\n").await,
            Misbehaviour::Raw(text) => self.write_last(text.replace("{id}", id).as_bytes()).await,
            Misbehaviour::RawReset(text) | Misbehaviour::EarlyRawReset(text) => {
                self.write_and_reset(text.replace("{id}", id).as_bytes()).await
            }
            Misbehaviour::Endless(endless) => {
                let end = endless.write(&mut self.wire, id).await;
                self.shared.lock().endless_ends.push(end);
                None
            }
            Misbehaviour::Unsigned => self.write(&self.encode(StatusCode::OK, id, &[], &body)).await,
            Misbehaviour::WrongId => self.write(&self.encode(StatusCode::OK, "another", &signed, &body)).await,
            Misbehaviour::ServerError => {
                self.write(&self.encode(StatusCode::INTERNAL_SERVER_ERROR, id, &signed, "failed")).await
            }
            Misbehaviour::Truncate => self.write_last(&whole[..whole.len() - body.len() / 2]).await,
            Misbehaviour::Unframed => self.write_last(unframed(id, &body).as_bytes()).await,
            Misbehaviour::UnframedReset => {
                let text = unframed(id, &body);
                self.write_and_reset(&text.as_bytes()[..text.len() - body.len().div_ceil(2)]).await
            }
            Misbehaviour::SurplusAnswer => {
                self.write(&whole).await?;
                self.write(&whole).await
            }
            Misbehaviour::LateSurplusAnswer => {
                self.write(&whole).await?;
                tokio::time::sleep(SURPLUS_DELAY).await;
                self.write(&whole).await
            }
            Misbehaviour::None
            | Misbehaviour::AnswerEarly
            | Misbehaviour::Full
            | Misbehaviour::Shed
            | Misbehaviour::EndOn(_)
            | Misbehaviour::RestartOn(..)
            | Misbehaviour::RestartSameOn(..)
            | Misbehaviour::IgnoreClose => self.write(&whole).await,
        }
    }

    /// Writes a large answer, which keeps a slot until it is written.
    async fn answer_large(&mut self, large: LargeAnswer, id: &str) -> Option<()> {
        let shared = self.shared.clone();
        let _slot = shared.slot().await;
        large.write(&mut self.wire, id, &shared.load()).await
    }

    fn encode(&self, status: StatusCode, id: &str, headers: &[(&str, &str)], body: &str) -> Vec<u8> {
        self.encode_with(&self.shared.load(), status, id, headers, body)
    }

    fn encode_with(&self, load: &str, status: StatusCode, id: &str, headers: &[(&str, &str)], body: &str) -> Vec<u8> {
        let statements = self.shared.say(id, status.as_u16());
        let stated = statements.iter().map(|(name, value)| (name.as_str(), value.as_str()));
        let headers: Vec<(&str, &str)> = headers.iter().copied().chain(stated).collect();
        Answer { status, id, load, headers: &headers, body }.to_bytes()
    }

    async fn write(&mut self, bytes: &[u8]) -> Option<()> {
        self.wire.write(bytes).await.then_some(())
    }

    /// Writes bytes after which the connection is closed.
    async fn write_last(&mut self, bytes: &[u8]) -> Option<()> {
        self.wire.write(bytes).await;
        None
    }

    async fn write_and_reset(&mut self, bytes: &[u8]) -> Option<()> {
        self.wire.write(bytes).await;
        tokio::time::sleep(SURPLUS_DELAY).await;
        self.wire.reset_at_end();
        None
    }
}

/// An answer without a length, which ends with its connection.
fn unframed(id: &str, body: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nLockloft-Request-Id: {id}\r\nLockloft-Response-Signature: signed-{id}\r\n\r\n{body}")
}
