//! Callers of a soak: each keeps its connection until the instance closes it or
//! is gone, then takes another that the directory names. Each draws from a seed
//! of its own, so that the faults' draws do not depend on the load.

use super::layout::ROUTE_TIMEOUT;
use super::observations::SentRequest;
use super::tenants;
use crate::http::{self, Connection, Reply};
use crate::site::TestRequest;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Pause between requests of one caller.
const PAUSE_MS: std::ops::Range<u64> = 10..60;
/// Longest wait for a whole answer: beyond the deadline of a request.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(4);
/// Objects that requests are about.
const OBJECTS: u32 = 60;
/// Bytes of a body.
const BODY_SIZES: std::ops::Range<usize> = 1..20_000;
/// Longest wait for the directory.
const RESOLVE_TIMEOUT: Duration = Duration::from_secs(1);

/// Where an instance is reached.
#[derive(Clone, Copy, Debug)]
pub struct InstanceAddresses {
    /// For requests.
    pub callers: SocketAddr,
    /// For questions to the directory.
    pub directory: SocketAddr,
}

/// What all callers share.
pub struct Shared {
    /// All instances, by number.
    pub instances: Vec<InstanceAddresses>,
    /// The requests that have ended.
    pub requests: Mutex<Vec<SentRequest>>,
    /// Whether callers have keys of tenants.
    pub has_tenants: bool,
    /// Set when the callers are to end.
    pub stop: AtomicBool,
}

/// A connection to an instance.
struct Caller {
    instance: usize,
    connection: Connection,
}

/// Sends requests until the callers are to end.
pub async fn run(shared: Arc<Shared>, seed: u64) {
    let mut random = StdRng::seed_from_u64(seed);
    let mut held: Option<Caller> = None;
    while !shared.stop.load(Relaxed) {
        tokio::time::sleep(Duration::from_millis(random.random_range(PAUSE_MS))).await;
        let caller = match held.take() {
            Some(caller) => Some(caller),
            None => connect(&shared, &mut random).await,
        };
        let Some(mut caller) = caller else { continue };
        if !caller.connection.is_ready().await {
            continue;
        }
        let safe = random.random_bool(0.5);
        let api_key = shared.has_tenants.then(|| tenants::draw(&mut random));
        let request = draw(&mut random, safe).key(api_key.unwrap_or_default());
        let (mut sent, stays_open) = caller.send(&request, safe).await;
        sent.api_key = api_key;
        shared.requests.lock().expect("no holder panics").push(sent);
        held = stays_open.then_some(caller);
    }
}

impl Caller {
    /// Sends a request; gives what was seen, and whether its connection stays
    /// open.
    async fn send(&mut self, request: &TestRequest, safe: bool) -> (SentRequest, bool) {
        let sent = Instant::now();
        let reply = self.connection.send(request.request(), ANSWER_TIMEOUT).await.ok();
        let seen = SentRequest {
            id: request.id.clone(),
            safe,
            instance: self.instance,
            sent,
            ended: Instant::now(),
            time: ROUTE_TIMEOUT,
            api_key: None,
            status: reply.as_ref().map(|reply| reply.status.as_u16()),
            sound: reply.as_ref().is_some_and(|reply| is_sound(reply, &request.id)),
        };
        (seen, reply.is_some_and(|reply| reply.header("connection") != "close"))
    }
}

/// Whether an answer is a target's own to the request, whole and signed.
fn is_sound(reply: &Reply, id: &str) -> bool {
    let is_signed = reply.header("lockloft-response-signature") == format!("signed-{id}");
    is_signed && reply.body.ends_with(id.as_bytes())
}

fn draw(random: &mut StdRng, safe: bool) -> TestRequest {
    let request = match safe {
        true => TestRequest::get("/look/a"),
        false => TestRequest::post("/buy/a", vec![b'x'; random.random_range(BODY_SIZES)]),
    };
    request.affinity(random.random_range(0..OBJECTS))
}

/// Connects to an instance that some directory names; `None` where the
/// directory or the instance does not answer, as under a fault.
async fn connect(shared: &Shared, random: &mut StdRng) -> Option<Caller> {
    let (instance, address) = choose(shared, random).await?;
    let connection = Connection::open(address).await.ok()?;
    Some(Caller { instance, connection })
}

/// An instance that some directory names, and its address; `None` where the directory does not
/// answer, as under a fault.
pub async fn choose(shared: &Shared, random: &mut StdRng) -> Option<(usize, SocketAddr)> {
    let asked = shared.instances.choose(random)?;
    let resolved = http::get(asked.directory, "/-/resolve?region=a");
    let reply = tokio::time::timeout(RESOLVE_TIMEOUT, resolved).await.ok()?.ok()?;
    let chosen = *named(&reply)?.choose(random)?;
    let instance = shared.instances.iter().position(|instance| instance.callers == chosen)?;
    Some((instance, chosen))
}

/// The addresses in a directory's answer.
fn named(reply: &Reply) -> Option<Vec<SocketAddr>> {
    let answer: serde_json::Value = serde_json::from_slice(&reply.body).ok()?;
    let addresses = answer["addresses"].as_array()?.iter();
    Some(addresses.filter_map(|address| address.as_str()?.parse().ok()).collect())
}
