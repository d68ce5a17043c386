//! Relaying to other instances: whom to send to, and what the headers say.

use crate::clock;
use crate::failure::{Failure, OUTCOME, Outcome};
use crate::job::{DECISION, KEY, TIMEOUT};
use crate::load::Facts;
use crate::membership::Id;
use crate::pool::{Conn, Pool, SendError};
use crate::roster::Entry;
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::{HeaderMap, Request, Response};
use rand::Rng;
use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Header that proves a relayed request comes from an instance.
pub const PROOF: &str = "lockloft-proof";
/// Header with what the receiver is to do: a [`Mode`].
pub const MODE: &str = "lockloft-mode";
/// Header with the caller's address.
pub const CALLER: &str = "lockloft-caller";
/// Header with the service's name.
pub const SERVICE: &str = "lockloft-service";
/// Header of an answer with the answering hall's load.
pub const LOAD: &str = "lockloft-load";
/// Header of a refusal with its kind.
pub const KIND: &str = "lockloft-kind";
/// Most connections to one other instance.
const MOST_CONNECTIONS: u32 = 512;
/// First time an instance that failed is left alone, in milliseconds.
const AVOID_BASE_MS: u64 = 500;
/// Longest such time.
const AVOID_MAX_MS: u64 = 8_000;

/// What the receiver of a relayed request does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// Admit it to a target of its hall, or refuse.
    Dispatch,
    /// Keep its key as the key's home, and decide.
    Home,
}

impl Mode {
    /// The header value.
    pub fn text(self) -> &'static str {
        match self {
            Mode::Dispatch => "dispatch",
            Mode::Home => "home",
        }
    }
}

impl TryFrom<&str> for Mode {
    type Error = Failure;

    fn try_from(text: &str) -> Result<Self, Failure> {
        match text {
            "dispatch" => Ok(Mode::Dispatch),
            "home" => Ok(Mode::Home),
            other => Err(Failure::Malformed(format!("unknown relay mode {other:?}"))),
        }
    }
}

/// One other instance as a place to relay to.
#[derive(Debug)]
pub struct RelayPeer {
    pool: Pool,
    flight: AtomicU32,
    failures: AtomicU32,
    avoid_until: AtomicU64,
}

impl RelayPeer {
    fn new(address: SocketAddr) -> Self {
        Self {
            pool: Pool::new(address, MOST_CONNECTIONS),
            flight: AtomicU32::new(0),
            failures: AtomicU32::new(0),
            avoid_until: AtomicU64::new(0),
        }
    }

    /// Whether it failed a moment ago.
    pub fn is_avoided(&self) -> bool {
        self.avoid_until.load(Relaxed) > clock::now_ms()
    }

    fn failed(&self) {
        let times = self.failures.fetch_add(1, Relaxed).min(8);
        let out = (AVOID_BASE_MS << times).min(AVOID_MAX_MS);
        self.avoid_until.store(clock::now_ms() + out, Relaxed);
    }

    fn succeeded(&self) {
        self.failures.store(0, Relaxed);
        self.avoid_until.store(0, Relaxed);
    }
}

/// Connections to all other instances.
#[derive(Debug, Default)]
pub struct Relays {
    peers: Mutex<HashMap<SocketAddr, Arc<RelayPeer>>>,
}

/// Counts a relayed request while its head is awaited.
struct Counted(Arc<RelayPeer>);

impl Counted {
    fn new(peer: Arc<RelayPeer>) -> Self {
        peer.flight.fetch_add(1, Relaxed);
        Self(peer)
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        self.0.flight.fetch_sub(1, Relaxed);
    }
}

impl Relays {
    /// The instance whose relay front is at `address`.
    pub fn peer(&self, address: SocketAddr) -> Arc<RelayPeer> {
        let mut peers = self.peers.lock().expect("no holder panics");
        peers.entry(address).or_insert_with(|| Arc::new(RelayPeer::new(address))).clone()
    }

    /// Forgets instances whose address is no longer known.
    pub fn retain(&self, known: &[SocketAddr]) {
        self.peers.lock().expect("no holder panics").retain(|a, _| known.contains(a));
    }

    /// Of two members drawn at random the one with fewer of our requests;
    /// members that failed a moment ago only where there are no others.
    pub fn pick(&self, entries: &[Entry], not: &Id) -> Option<Arc<RelayPeer>> {
        let others = entries.iter().filter(|e| e.member.id != *not);
        let peers: Vec<_> = others.map(|e| self.peer(e.member.addresses.relay)).collect();
        let ready: Vec<_> = peers.iter().filter(|p| !p.is_avoided()).cloned().collect();
        let from = if ready.is_empty() { peers } else { ready };
        if from.is_empty() {
            return None;
        }
        let mut rng = rand::rng();
        let a = &from[rng.random_range(0..from.len())];
        let b = &from[rng.random_range(0..from.len())];
        let better = if a.flight.load(Relaxed) <= b.flight.load(Relaxed) { a } else { b };
        Some(better.clone())
    }

    /// Whether the member failed a moment ago. Does not begin to know it.
    pub fn is_avoided(&self, entry: &Entry) -> bool {
        let peers = self.peers.lock().expect("no holder panics");
        peers.get(&entry.member.addresses.relay).is_some_and(|p| p.is_avoided())
    }
}

/// Sends a request to another instance and waits for the head of its answer,
/// at most `wait`.
///
/// # Errors
/// [`SendError`]; `Lost` also where the wait ran out.
pub async fn send(
    peer: &Arc<RelayPeer>,
    request: Request<crate::body::OutBody>,
    wait: Duration,
) -> Result<(Response<Incoming>, Conn), SendError> {
    let _counted = Counted::new(peer.clone());
    let result = match tokio::time::timeout(wait, peer.pool.send(request)).await {
        Ok(result) => result,
        Err(_) => Err(SendError::Lost),
    };
    match &result {
        Ok(_) => peer.succeeded(),
        Err(_) => peer.failed(),
    }
    result
}

/// What the headers of a relayed request say besides the caller's own.
pub struct RelayNote<'a> {
    /// The caller's address.
    pub caller: IpAddr,
    /// Service name.
    pub service: &'a str,
    /// What the receiver is to do.
    pub mode: Mode,
    /// Time it has.
    pub left: Duration,
    /// The sender's decision.
    pub decision: &'a str,
    /// The key, where the receiver is its home.
    pub key: Option<&'a str>,
}

impl RelayNote<'_> {
    /// Writes the headers.
    pub fn write(&self, proof: &HeaderValue, headers: &mut HeaderMap) {
        let mut set = |name: &'static str, text: String| {
            if let Ok(value) = HeaderValue::from_str(&text) {
                headers.insert(name, value);
            }
        };
        set(MODE, self.mode.text().to_owned());
        set(CALLER, self.caller.to_string());
        set(SERVICE, self.service.to_owned());
        set(TIMEOUT, self.left.as_millis().to_string());
        set(DECISION, self.decision.to_owned());
        if let Some(key) = self.key {
            set(KEY, key.to_owned());
        }
        headers.insert(PROOF, proof.clone());
    }
}

/// The value that proves to other instances that a request is relayed.
pub fn proof(secret: &[u8]) -> HeaderValue {
    let text = crate::peer::auth::derive(secret, b"relay");
    HeaderValue::from_str(&text).expect("base64 is a valid header value")
}

/// The load of the answering hall, as a header.
pub fn write_load(facts: &Facts, headers: &mut HeaderMap) {
    let text = format!("{} {} {} {}", facts.slots, facts.flight, facts.wait_us, facts.service_us);
    if let Ok(value) = HeaderValue::from_str(&text) {
        headers.insert(LOAD, value);
    }
}

/// The load in an answer's headers.
pub fn read_load(headers: &HeaderMap) -> Option<Facts> {
    let text = headers.get(LOAD)?.to_str().ok()?;
    let numbers: Vec<u64> = text.split(' ').map_while(|n| n.parse().ok()).collect();
    let [slots, flight, wait_us, service_us] = numbers.as_slice() else { return None };
    Some(Facts {
        slots: u32::try_from(*slots).ok()?,
        flight: u32::try_from(*flight).ok()?,
        wait_us: *wait_us,
        service_us: *service_us,
        age_ms: Some(0),
    })
}

/// The failure that an instance's own answer stands for, if it is one.
pub fn read_failure(headers: &HeaderMap) -> Option<Outcome> {
    match headers.get(OUTCOME)?.to_str().ok()? {
        "not-run" => Some(Outcome::NotRun),
        _ => Some(Outcome::Unknown),
    }
}
