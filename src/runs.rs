//! Single runs: keys that a look-up gives, and the table of the home that
//! keeps each from running twice.
//!
//! The rule follows the command journal and the generations of "Detached
//! agent sessions and supervision": a key is marked before anything is sent,
//! a mark without a result is answered as unknown and never run again, and a
//! key of an earlier incarnation is refused. Unlike the paper's, the journal
//! needs no disk: an instance that forgot its table is a new incarnation.

use crate::clock;
use crate::membership::Id;
use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use bytes::Bytes;
use hmac::{Hmac, Mac};
use hyper::{HeaderMap, StatusCode};
use sha2::Sha256;
use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::watch;

/// Keys held at once.
const MAX_KEYS: usize = 200_000;
/// Bytes of stored answers held at once.
const MAX_BYTES: usize = 64 << 20;
/// Largest answer that is stored.
pub const MAX_ANSWER: usize = 256 << 10;
/// Format of the key's bytes.
const FORMAT: u8 = 1;
/// Bytes of the message authentication code that are kept.
const MAC_LEN: usize = 16;
/// Bytes before the home's name.
const FIXED_LEN: usize = 1 + 8 + 8 + 8 + 16;

/// A key for a single run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunKey {
    /// The only run of the only instance that may run it.
    pub home: Id,
    /// The home's uptime in milliseconds after which it may not begin.
    pub expires: u64,
    /// Hash of the service's name.
    pub service: u64,
    /// Tells it from all other keys.
    pub unique: u128,
}

/// Makes and reads keys; all instances of a deployment share its secret.
pub struct Sealer {
    secret: Vec<u8>,
}

impl Sealer {
    /// A sealer with the deployment's secret.
    pub fn new(secret: &[u8]) -> Self {
        Self { secret: secret.to_vec() }
    }

    fn mac(&self, bytes: &[u8]) -> [u8; MAC_LEN] {
        let mut mac = Hmac::<Sha256>::new_from_slice(&self.secret).expect("any length is a key");
        mac.update(b"lockloft run key");
        mac.update(bytes);
        let full = mac.finalize().into_bytes();
        full[..MAC_LEN].try_into().expect("the code is longer than what is kept")
    }

    /// The text form of a key.
    pub fn seal(&self, key: &RunKey) -> String {
        let mut bytes = Vec::with_capacity(FIXED_LEN + key.home.name.len() + MAC_LEN);
        bytes.push(FORMAT);
        bytes.extend(key.home.incarnation.to_be_bytes());
        bytes.extend(key.expires.to_be_bytes());
        bytes.extend(key.service.to_be_bytes());
        bytes.extend(key.unique.to_be_bytes());
        bytes.extend(key.home.name.as_bytes());
        let mac = self.mac(&bytes);
        bytes.extend(mac);
        URL_SAFE_NO_PAD.encode(bytes)
    }

    /// The key that a text stands for; `None` where it was not sealed here.
    pub fn open(&self, text: &str) -> Option<RunKey> {
        let bytes = URL_SAFE_NO_PAD.decode(text).ok()?;
        if bytes.len() <= FIXED_LEN + MAC_LEN || bytes[0] != FORMAT {
            return None;
        }
        let (signed, mac) = bytes.split_at(bytes.len() - MAC_LEN);
        let matches: bool = subtle::ConstantTimeEq::ct_eq(&self.mac(signed)[..], mac).into();
        if !matches {
            return None;
        }
        let number = |at: usize| u64::from_be_bytes(signed[at..at + 8].try_into().expect("eight bytes"));
        Some(RunKey {
            home: Id { incarnation: number(1), name: String::from_utf8(signed[FIXED_LEN..].to_vec()).ok()? },
            expires: number(9),
            service: number(17),
            unique: u128::from_be_bytes(signed[25..41].try_into().expect("sixteen bytes")),
        })
    }
}

/// Hash of a service's name, as keys carry it.
pub fn service_hash(name: &str) -> u64 {
    xxhash_rust::xxh3::xxh3_64(name.as_bytes())
}

/// An answer held for repeats of its request.
#[derive(Clone, Debug)]
pub struct Stored {
    /// Status of the target's answer.
    pub status: StatusCode,
    /// Its headers.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
}

/// What became of a key.
#[derive(Clone, Debug)]
pub enum RunState {
    /// Its request is under way.
    Running,
    /// It ran, and this is the answer.
    Done(Stored),
    /// It was given up before anything was sent, for good.
    Retired,
    /// It may have run, or ran and its answer is not held.
    Lost,
}

/// What a request with a key may do.
pub enum Begin {
    /// Run: the key is marked.
    Run(Run),
    /// The key was used before.
    Used(watch::Receiver<RunState>),
    /// The key was given up before: it did not run and never will.
    Retired,
    /// The key expired, and what became of it is forgotten.
    Expired,
}

struct Held {
    expires: u64,
    state: watch::Sender<RunState>,
}

#[derive(Default)]
struct Table {
    keys: HashMap<u128, Held>,
    by_expiry: BTreeMap<(u64, u128), ()>,
    bytes: usize,
    /// Every key that is not held and expires no later than this was refused
    /// when the table was full, and never begins.
    floor: u64,
}

impl Table {
    fn forget_expired(&mut self, now: u64) {
        while let Some((&(expires, unique), ())) = self.by_expiry.first_key_value() {
            if expires > now {
                break;
            }
            self.by_expiry.pop_first();
            if let Some(held) = self.keys.remove(&unique) {
                self.bytes -= size(&held.state.borrow());
            }
        }
    }

    /// Drops the oldest stored answers until the bytes fit.
    fn shrink(&mut self) {
        for (_, unique) in self.by_expiry.keys() {
            if self.bytes <= MAX_BYTES {
                return;
            }
            if let Some(held) = self.keys.get(unique) {
                let size = size(&held.state.borrow());
                if size > 0 {
                    self.bytes -= size;
                    held.state.send_replace(RunState::Lost);
                }
            }
        }
    }
}

fn size(state: &RunState) -> usize {
    match state {
        RunState::Done(stored) => stored.body.len() + 512,
        _ => 0,
    }
}

/// The keys of which this run of this instance is the home.
pub struct Runs {
    table: Mutex<Table>,
    most: usize,
    ttl: u64,
}

impl Runs {
    /// An empty table for keys that live `ttl`.
    pub fn new(ttl: Duration) -> Self {
        Self::with_bound(ttl, MAX_KEYS)
    }

    /// An empty table that holds at most `most` keys.
    pub fn with_bound(ttl: Duration, most: usize) -> Self {
        Self { table: Mutex::new(Table::default()), most, ttl: ttl.as_millis() as u64 }
    }

    /// Marks a key before its request may be sent. A key that expired, that
    /// was refused when the table was full, or that would live longer than
    /// any this deployment gives, never begins.
    pub fn begin(self: &Arc<Self>, key: &RunKey) -> Begin {
        let now = clock::now_ms();
        let mut table = self.table.lock().expect("no holder panics");
        table.forget_expired(now);
        if let Some(held) = table.keys.get(&key.unique) {
            return match &*held.state.borrow() {
                RunState::Retired => Begin::Retired,
                _ => Begin::Used(held.state.subscribe()),
            };
        }
        if key.expires <= now || key.expires > now + self.ttl {
            return Begin::Expired;
        }
        if key.expires <= table.floor {
            return Begin::Retired;
        }
        if table.keys.len() >= self.most {
            // Refusing one key without holding it means refusing, for good,
            // all that are not held and expire no later.
            table.floor = table.floor.max(key.expires);
            return Begin::Retired;
        }
        let (state, _) = watch::channel(RunState::Running);
        table.keys.insert(key.unique, Held { expires: key.expires, state });
        table.by_expiry.insert((key.expires, key.unique), ());
        Begin::Run(Run { runs: self.clone(), unique: key.unique, over: false })
    }

    /// Retires a key whose request is given up before it began, so that a
    /// late copy cannot run. Returns false where it is under way or done.
    pub fn retire(self: &Arc<Self>, key: &RunKey) -> bool {
        match self.begin(key) {
            Begin::Run(run) => {
                run.end(RunState::Retired);
                true
            }
            Begin::Retired => true,
            Begin::Used(_) | Begin::Expired => false,
        }
    }

    /// Keys held.
    pub fn len(&self) -> usize {
        self.table.lock().expect("no holder panics").keys.len()
    }

    /// Whether no key is held.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn set(&self, unique: u128, state: RunState) {
        let mut table = self.table.lock().expect("no holder panics");
        table.bytes += size(&state);
        if let Some(held) = table.keys.get(&unique) {
            debug_assert!(held.expires > 0);
            held.state.send_replace(state);
        }
        table.shrink();
    }
}

/// The right to send one request once. Dropped without an end, its key
/// counts as lost: the request may have been sent.
pub struct Run {
    runs: Arc<Runs>,
    unique: u128,
    over: bool,
}

impl Run {
    /// Notes what became of the request.
    pub fn end(mut self, state: RunState) {
        self.over = true;
        self.runs.set(self.unique, state);
    }
}

impl Drop for Run {
    fn drop(&mut self) {
        if !self.over {
            self.runs.set(self.unique, RunState::Lost);
        }
    }
}

#[cfg(test)]
mod tests;
