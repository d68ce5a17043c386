//! A target as the platform's pages describe it: incarnations, slots and a
//! queue, signatures, load reports, cold objects, and its ways to misbehave.
//! It writes its answers byte by byte, since some of them are no good HTTP.

use crate::ports::{after_spawns, free_address};
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::task::{JoinHandle, JoinSet};

/// How a target misbehaves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Misbehaviour {
    /// Not at all.
    #[default]
    None,
    /// It runs the request and closes the connection.
    LoseAnswer,
    /// It runs the request and says nothing more.
    NoAnswer,
    /// It sends a second answer behind the first.
    SurplusAnswer,
    /// It sends a second answer a while behind the first.
    LateSurplusAnswer,
    /// Its answer has no length and ends with the connection.
    Unframed,
    /// As `Unframed`, but the connection is reset midway.
    UnframedReset,
    /// It answers before the request's body is through, and reads on.
    AnswerEarly,
    /// It breaks off in the middle of the answer.
    Truncate,
    /// Its answer has no signature.
    Unsigned,
    /// Its answer bears another request's identity.
    WrongId,
    /// It sends bytes that are no answer.
    Garbage,
    /// It fails with a 500 of its own.
    ServerError,
    /// It is full: it answers 503 and does not run the request.
    Full,
    /// It works on and answers though its connection was closed meanwhile.
    IgnoreClose,
    /// It sends these bytes, `{id}` in them being the request's identity, and
    /// closes the connection.
    Raw(&'static str),
}

/// One request that a target began to work on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Run {
    /// The request's identity.
    pub id: String,
    /// Method and path.
    pub line: String,
    /// Its body.
    pub body: Vec<u8>,
    /// What it was told to be left.
    pub deadline_ms: Option<u64>,
    /// When it began.
    pub at: Instant,
    /// Whether its connection closed before the answer.
    pub cut: bool,
}

#[derive(Debug)]
struct State {
    misbehaviour: Misbehaviour,
    work: Duration,
    runs: Vec<Run>,
    arrivals: u64,
    warm: HashSet<String>,
    running: u32,
    waiting: u32,
    connections: u64,
}

#[derive(Debug)]
struct Shared {
    id: String,
    slots: u32,
    state: Mutex<State>,
    room: Semaphore,
}

/// A running target.
pub struct TargetServer {
    /// Identity of this incarnation.
    pub id: String,
    /// Where it listens.
    pub address: SocketAddr,
    shared: Arc<Shared>,
    task: JoinHandle<()>,
}

impl Drop for TargetServer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Time for an object that the target has not lately seen, as a multiple.
const COLD_FACTOR: u32 = 3;
/// How much later a late surplus answer comes.
const SURPLUS_DELAY: Duration = Duration::from_millis(30);

impl TargetServer {
    /// Starts a target that works `work` on a request for a warm object.
    pub async fn start(id: &str, slots: u32, work: Duration) -> std::io::Result<Self> {
        Self::start_at(free_address(), id, slots, work).await
    }

    /// Starts a target at an address, such as one that another has left.
    pub async fn start_at(address: SocketAddr, id: &str, slots: u32, work: Duration) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let state = State {
            misbehaviour: Misbehaviour::None,
            work,
            runs: Vec::new(),
            arrivals: 0,
            warm: HashSet::new(),
            running: 0,
            waiting: 0,
            connections: 0,
        };
        let room = Semaphore::new(slots as usize);
        let shared = Arc::new(Shared { id: id.to_owned(), slots, state: Mutex::new(state), room });
        let task = tokio::spawn(accept(listener, shared.clone()));
        Ok(Self { id: id.to_owned(), address, shared, task })
    }

    /// Ends it: its address is free and its connections are closed when this
    /// returns.
    pub async fn stop(mut self) {
        self.task.abort();
        let _ = (&mut self.task).await;
        after_spawns();
    }

    /// Changes how it misbehaves.
    pub fn set(&self, misbehaviour: Misbehaviour) {
        self.shared.lock().misbehaviour = misbehaviour;
    }

    /// Changes how long it works.
    pub fn work(&self, work: Duration) {
        self.shared.lock().work = work;
    }

    /// The requests it began to work on.
    pub fn runs(&self) -> Vec<Run> {
        self.shared.lock().runs.clone()
    }

    /// Requests that reached it, run or not, health checks aside.
    pub fn arrivals(&self) -> u64 {
        self.shared.lock().arrivals
    }

    /// Connections it has taken.
    pub fn connections(&self) -> u64 {
        self.shared.lock().connections
    }

    /// Its registration for the store.
    pub fn registration(&self, service: &str, zone: &str, state: &str, sequence: u64, warmup_ms: u64) -> String {
        serde_json::json!({
            "address": self.address,
            "info": {"service": service, "version": "v1", "zone": zone, "capacity": self.shared.slots},
            "status": {"state": state, "sequence": sequence, "warmup_ms": warmup_ms},
        })
        .to_string()
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder panics")
    }

    fn load(&self) -> String {
        let state = self.lock();
        format!("{},{},{}", state.running, state.waiting, self.slots)
    }
}

async fn accept(listener: TcpListener, shared: Arc<Shared>) {
    let mut connections = JoinSet::new();
    loop {
        let Ok((stream, _)) = listener.accept().await else { continue };
        let _ = stream.set_nodelay(true);
        shared.lock().connections += 1;
        connections.spawn(converse(stream, shared.clone()));
        while connections.try_join_next().is_some() {}
    }
}

/// A request as read from the wire.
#[derive(Debug)]
struct Call {
    line: String,
    headers: Vec<(String, String)>,
    body: Vec<u8>,
}

impl Call {
    fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(other, _)| other == name).map(|(_, value)| value.as_str())
    }

    fn id(&self) -> &str {
        self.header("lockloft-request-id").unwrap_or("")
    }
}

/// Reads requests from a connection and answers each.
async fn converse(mut stream: TcpStream, shared: Arc<Shared>) {
    let mut buffer = Vec::new();
    loop {
        let Some(mut call) = read_head(&mut stream, &mut buffer).await else { return };
        let misbehaviour = shared.lock().misbehaviour;
        if misbehaviour == Misbehaviour::AnswerEarly && call.header("content-length").is_some() {
            let answer = answer(&shared, call.id(), 503, "early", &[("Lockloft-Not-Executed", "1")]);
            if stream.write_all(&answer).await.is_err() {
                return;
            }
            if read_body(&mut stream, &mut buffer, &mut call).await.is_none() {
                return;
            }
            continue;
        }
        if read_body(&mut stream, &mut buffer, &mut call).await.is_none() {
            return;
        }
        if !respond(&mut stream, &shared, call, misbehaviour).await {
            return;
        }
    }
}

/// Answers one request; false where the connection is to be closed.
async fn respond(stream: &mut TcpStream, shared: &Arc<Shared>, call: Call, misbehaviour: Misbehaviour) -> bool {
    if call.line.starts_with("GET /health ") {
        let answer = answer(shared, "", 200, "", &[("Lockloft-Instance-Id", &shared.id)]);
        return stream.write_all(&answer).await.is_ok();
    }
    shared.lock().arrivals += 1;
    if call.header("lockloft-expect-instance").is_some_and(|expected| expected != shared.id) {
        let other = [("Lockloft-Instance-Id", shared.id.as_str())];
        return stream.write_all(&answer(shared, call.id(), 421, "", &other)).await.is_ok();
    }
    if misbehaviour == Misbehaviour::Full {
        let refusal = answer(shared, call.id(), 503, "", &[("Lockloft-Not-Executed", "1")]);
        return stream.write_all(&refusal).await.is_ok();
    }
    if !work(stream, shared, &call, misbehaviour).await {
        return false;
    }
    say(stream, shared, &call, misbehaviour).await
}

/// Works on a request; false where its connection closed meanwhile.
async fn work(stream: &mut TcpStream, shared: &Arc<Shared>, call: &Call, misbehaviour: Misbehaviour) -> bool {
    shared.lock().waiting += 1;
    let permit = shared.room.acquire().await.expect("the semaphore is never closed");
    let (position, time) = {
        let mut state = shared.lock();
        state.waiting -= 1;
        state.running += 1;
        let object = call.header("lockloft-affinity-key").unwrap_or("").to_owned();
        let cold = !object.is_empty() && state.warm.insert(object);
        state.runs.push(Run {
            id: call.id().to_owned(),
            line: call.line.clone(),
            body: call.body.clone(),
            deadline_ms: call.header("lockloft-deadline-ms").and_then(|text| text.parse().ok()),
            at: Instant::now(),
            cut: false,
        });
        (state.runs.len() - 1, if cold { state.work * COLD_FACTOR } else { state.work })
    };
    let mut byte = [0];
    let finished = tokio::select! {
        () = tokio::time::sleep(time) => true,
        closed = stream.peek(&mut byte), if misbehaviour != Misbehaviour::IgnoreClose => match closed {
            // Bytes of a next request are none of this one's business.
            Ok(size) if size > 0 => { tokio::time::sleep(time).await; true }
            _ => false,
        },
    };
    drop(permit);
    let mut state = shared.lock();
    state.running -= 1;
    state.runs[position].cut = !finished;
    finished
}

/// Sends the answer; false where the connection is to be closed.
async fn say(stream: &mut TcpStream, shared: &Shared, call: &Call, misbehaviour: Misbehaviour) -> bool {
    let body = format!("{} {}", shared.id, call.id());
    let signature = format!("signed-{}", call.id());
    let signed = [("Lockloft-Response-Signature", signature.as_str())];
    let whole = answer(shared, call.id(), 200, &body, &signed);
    match misbehaviour {
        Misbehaviour::LoseAnswer => false,
        Misbehaviour::NoAnswer => std::future::pending().await,
        Misbehaviour::Garbage => {
            let _ = stream.write_all(b"this is no answer\r\n\r\n").await;
            false
        }
        Misbehaviour::Raw(text) => {
            let _ = stream.write_all(text.replace("{id}", call.id()).as_bytes()).await;
            false
        }
        Misbehaviour::Unsigned => stream.write_all(&answer(shared, call.id(), 200, &body, &[])).await.is_ok(),
        Misbehaviour::WrongId => stream.write_all(&answer(shared, "another", 200, &body, &signed)).await.is_ok(),
        Misbehaviour::ServerError => stream.write_all(&answer(shared, call.id(), 500, "failed", &signed)).await.is_ok(),
        Misbehaviour::Truncate => {
            let _ = stream.write_all(&whole[..whole.len() - body.len() / 2]).await;
            false
        }
        Misbehaviour::Unframed | Misbehaviour::UnframedReset => {
            let head = format!(
                "HTTP/1.1 200 OK\r\nLockloft-Request-Id: {}\r\nLockloft-Response-Signature: {signature}\r\n\r\n",
                call.id()
            );
            let _ = stream.write_all(head.as_bytes()).await;
            if misbehaviour == Misbehaviour::UnframedReset {
                let _ = stream.write_all(&body.as_bytes()[..body.len() / 2]).await;
                tokio::time::sleep(SURPLUS_DELAY).await;
                let _ = stream.set_zero_linger();
                return false;
            }
            let _ = stream.write_all(body.as_bytes()).await;
            false
        }
        Misbehaviour::SurplusAnswer => stream.write_all(&whole).await.is_ok() && stream.write_all(&whole).await.is_ok(),
        Misbehaviour::LateSurplusAnswer => {
            let first = stream.write_all(&whole).await.is_ok();
            tokio::time::sleep(SURPLUS_DELAY).await;
            first && stream.write_all(&whole).await.is_ok()
        }
        _ => stream.write_all(&whole).await.is_ok(),
    }
}

fn answer(shared: &Shared, id: &str, status: u16, body: &str, headers: &[(&str, &str)]) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status} Said\r\nContent-Length: {}\r\n", body.len());
    if !id.is_empty() {
        text.push_str(&format!("Lockloft-Request-Id: {id}\r\n"));
    }
    text.push_str(&format!("Lockloft-Server-Load: {}\r\n", shared.load()));
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    text.push_str(body);
    text.into_bytes()
}

async fn fill(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<()> {
    let size = stream.read_buf(buffer).await.ok()?;
    (size > 0).then_some(())
}

async fn read_head(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<Call> {
    let end = loop {
        if let Some(end) = buffer.windows(4).position(|window| window == b"\r\n\r\n") {
            break end;
        }
        fill(stream, buffer).await?;
    };
    let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
    buffer.drain(..end + 4);
    let mut lines = head.split("\r\n");
    let line = lines.next()?.to_owned();
    let headers = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
        .collect();
    Some(Call { line, headers, body: Vec::new() })
}

async fn read_body(stream: &mut TcpStream, buffer: &mut Vec<u8>, call: &mut Call) -> Option<()> {
    if let Some(length) = call.header("content-length").and_then(|text| text.parse::<usize>().ok()) {
        while buffer.len() < length {
            fill(stream, buffer).await?;
        }
        call.body = buffer.drain(..length).collect();
        return Some(());
    }
    if call.header("transfer-encoding").is_some() {
        while let Some(chunk) = read_chunk(stream, buffer).await? {
            call.body.extend(chunk);
        }
    }
    Some(())
}

/// The next chunk of a body; `Some(None)` at its end.
async fn read_chunk(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<Option<Vec<u8>>> {
    let end = loop {
        if let Some(end) = buffer.windows(2).position(|window| window == b"\r\n") {
            break end;
        }
        fill(stream, buffer).await?;
    };
    let size = usize::from_str_radix(std::str::from_utf8(&buffer[..end]).ok()?.trim(), 16).ok()?;
    while buffer.len() < end + 4 + size {
        fill(stream, buffer).await?;
    }
    let chunk = buffer[end + 2..end + 2 + size].to_vec();
    buffer.drain(..end + 4 + size);
    Some((size > 0).then_some(chunk))
}
