//! A stand-in for a target: slots and a queue, signed answers, load reports,
//! cold objects, and misbehaviour that tests switch on.
//!
//! Owns its listener, its connections and a list of everything it ran. It
//! writes and reads the target's side of the wire by itself, without
//! `platform/`: a fault in one codec must not hide in both.

mod endless;
mod large;
mod message;
mod misbehaviour;
mod registration;
mod server;
mod speed;

pub use endless::{Endless, EndlessEnd, Pace};
pub use large::large_body;
pub use misbehaviour::Misbehaviour;
pub use registration::{Registration, TargetState};

use crate::ports::{after_spawns, free_address};
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::sync::{Notify, Semaphore, SemaphorePermit};
use tokio::task::JoinHandle;

/// One request that a target began to work on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Run {
    /// The request's identity.
    pub id: String,
    /// The request line: method, path and version.
    pub line: String,
    /// Its body.
    pub body: Vec<u8>,
    /// The time that the instance gave, milliseconds.
    pub deadline_ms: Option<u64>,
    /// The tenant that the instance named.
    pub tenant: Option<String>,
    /// Whether a caller's key came with it.
    pub has_key: bool,
    /// When it began.
    pub at: Instant,
    /// Whether its connection closed before the answer.
    pub cut: bool,
    /// Whether the target gives no whole answer, since it misbehaves.
    pub breaks_off: bool,
}

/// A request that arrived at a target.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// The request's identity.
    pub id: String,
    /// When it arrived.
    pub at: Instant,
}

/// An answer in which a target said something of itself.
#[derive(Clone, Debug)]
pub struct Said {
    /// The request's identity.
    pub id: String,
    /// When it was answered.
    pub at: Instant,
    /// Status of the answer.
    pub status: u16,
    /// The headers that say so.
    pub headers: Vec<(String, String)>,
}

/// What becomes of a new connection while all slots are in use.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum NewConnections {
    /// It is served at once.
    #[default]
    Accepted,
    /// It is served once it has held a slot.
    WaitForSlot,
    /// It is reset where requests wait for a slot.
    ResetBesideQueue,
}

#[derive(Debug, Default)]
struct State {
    misbehaviour: Misbehaviour,
    new_connections: NewConnections,
    /// Time for one request about a warm object.
    work: Duration,
    runs: Vec<Run>,
    /// Requests that arrived, run or not.
    arrivals: Vec<Arrival>,
    /// Answers in which it said something of itself.
    said: Vec<Said>,
    /// How its answers without end ended.
    endless_ends: Vec<EndlessEnd>,
    /// What it says of itself in all answers.
    statements: Vec<(String, String)>,
    /// Objects that were asked for before.
    warm: HashSet<String>,
    running: u32,
    waiting: u32,
    /// The fourth figure of its load reports; empty where it sends three.
    slowdown: String,
    /// How long work takes, in hundredths of its usual time.
    percent: u32,
    /// Connections accepted.
    connections: u64,
    /// Whether it ended as a crash does.
    has_ended: bool,
    /// Times that its supervisor started it again.
    restarts: usize,
}

#[derive(Debug)]
struct Shared {
    /// Its id until it is first started again.
    first_id: String,
    slots: u32,
    slots_free: Semaphore,
    state: Mutex<State>,
    /// Ends the task that accepts connections.
    ended: Notify,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder panics")
    }

    /// Waits for a free slot.
    async fn slot(&self) -> SemaphorePermit<'_> {
        self.slots_free.acquire().await.expect("the semaphore is never closed")
    }

    /// Id of the process that listens now.
    fn id(&self) -> String {
        let state = self.lock();
        match (state.misbehaviour, state.restarts) {
            (Misbehaviour::RestartOn(..), restarts @ 1..) => format!("{}-{restarts}", self.first_id),
            _ => self.first_id.clone(),
        }
    }

    /// Ends the target as a crash does.
    fn end(&self) {
        self.lock().has_ended = true;
        self.ended.notify_one();
    }

    /// Counts a start by the supervisor; returns the time that it takes, or `None` if there is no supervisor.
    fn restart(&self) -> Option<Duration> {
        let mut state = self.lock();
        let (Misbehaviour::RestartOn(_, down) | Misbehaviour::RestartSameOn(_, down)) = state.misbehaviour else {
            return None;
        };
        state.restarts += 1;
        (state.running, state.waiting) = (0, 0);
        Some(down)
    }

    /// What it says of itself in the answer to a request.
    fn say(&self, id: &str, status: u16) -> Vec<(String, String)> {
        let mut state = self.lock();
        let headers = state.statements.clone();
        if !headers.is_empty() {
            state.said.push(Said { id: id.to_owned(), at: Instant::now(), status, headers: headers.clone() });
        }
        headers
    }

    /// The load as an answer reports it.
    fn load(&self) -> String {
        let state = self.lock();
        let State { running, waiting, slowdown, .. } = &*state;
        let slots = self.slots;
        match slowdown.as_str() {
            "" => format!("{running},{waiting},{slots}"),
            slowdown => format!("{running},{waiting},{slots},{slowdown}"),
        }
    }
}

/// A running target server; dropped, it closes all connections.
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

impl TargetServer {
    /// Starts a target that runs up to `slots` requests at a time and works
    /// `work` on a request for a warm object.
    ///
    /// # Errors
    /// Where its address cannot be listened on.
    pub async fn start(id: &str, slots: u32, work: Duration) -> std::io::Result<Self> {
        Self::start_at(free_address(), id, slots, work).await
    }

    /// Starts a target at an address, such as one that another has left.
    ///
    /// # Errors
    /// Where the address cannot be listened on.
    pub async fn start_at(address: SocketAddr, id: &str, slots: u32, work: Duration) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let state = Mutex::new(State { work, percent: 100, ..State::default() });
        let slots_free = Semaphore::new(slots as usize);
        let shared = Arc::new(Shared { first_id: id.to_owned(), slots, slots_free, state, ended: Notify::new() });
        let task = tokio::spawn(server::accept(listener, shared.clone()));
        Ok(Self { id: id.to_owned(), address, shared, task })
    }

    /// Ends it: its address is free and its connections are closed when this
    /// returns.
    pub async fn stop(mut self) {
        self.task.abort();
        // The error says that the task was aborted.
        let _ = (&mut self.task).await;
        after_spawns();
    }

    /// Changes how it misbehaves.
    pub fn set(&self, misbehaviour: Misbehaviour) {
        self.shared.lock().misbehaviour = misbehaviour;
    }

    /// Changes what becomes of new connections while it is busy.
    pub fn set_new_connections(&self, how: NewConnections) {
        self.shared.lock().new_connections = how;
    }

    /// Changes how long it works on a request for a warm object.
    pub fn set_work(&self, work: Duration) {
        self.shared.lock().work = work;
    }

    /// Changes the fourth figure of its load reports; an empty one is left out.
    pub fn set_slowdown(&self, figure: &str) {
        self.shared.lock().slowdown = figure.to_owned();
    }

    /// Has its speed change many times from now on, as its load reports say.
    pub fn vary_speed(&self, seed: u64) {
        tokio::spawn(speed::vary(Arc::downgrade(&self.shared), seed));
    }

    /// The requests it began to work on.
    pub fn runs(&self) -> Vec<Run> {
        self.shared.lock().runs.clone()
    }

    /// How its answers without end ended.
    pub fn endless_ends(&self) -> Vec<EndlessEnd> {
        self.shared.lock().endless_ends.clone()
    }

    /// Requests that arrived, run or not, health checks aside.
    pub fn arrivals(&self) -> u64 {
        self.shared.lock().arrivals.len() as u64
    }

    /// When requests arrived, run or not, health checks aside.
    pub fn arrival_times(&self) -> Vec<Instant> {
        self.shared.lock().arrivals.iter().map(|arrival| arrival.at).collect()
    }

    /// Requests that arrived, run or not, and answers in which it said something of itself.
    pub fn exchanges(&self) -> (Vec<Arrival>, Vec<Said>) {
        let state = self.shared.lock();
        (state.arrivals.clone(), state.said.clone())
    }

    /// Adds these headers to all answers from now on, in place of those before.
    pub fn state(&self, headers: &[(&str, &str)]) {
        let owned = headers.iter().map(|(name, value)| ((*name).to_owned(), (*value).to_owned()));
        self.shared.lock().statements = owned.collect();
    }

    /// Ends it as a crash does, with what runs on it.
    pub fn end(&self) {
        self.shared.end();
    }

    /// Whether it has ended by a request or [`Self::end`].
    pub fn has_ended(&self) -> bool {
        self.shared.lock().has_ended
    }

    /// Times that its supervisor has started it again.
    pub fn restarts(&self) -> usize {
        self.shared.lock().restarts
    }

    /// Id of the process that listens now.
    pub fn current_id(&self) -> String {
        self.shared.id()
    }

    /// Connections it has accepted.
    pub fn connections(&self) -> u64 {
        self.shared.lock().connections
    }

    /// The value in the store that registers it at `address`, which is its own
    /// or that of a proxy before it.
    pub fn registration(&self, address: SocketAddr, registration: &Registration) -> String {
        registration.to_json(address, self.shared.slots)
    }
}
