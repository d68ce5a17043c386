//! Callers of a soak: each keeps its connection until the instance closes it or
//! is gone, then takes another that the directory names.

use super::record::Asked;
use crate::http::{self, Connection};
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
/// Longest wait for an answer.
const WAIT: Duration = Duration::from_secs(4);
/// Objects that requests are about.
const OBJECTS: u32 = 60;

/// Where an instance is reached.
#[derive(Clone, Copy, Debug)]
pub struct Door {
    /// For requests.
    pub callers: SocketAddr,
    /// For questions to the directory.
    pub directory: SocketAddr,
}

/// What all callers share.
pub struct Shared {
    /// All instances.
    pub doors: Vec<Door>,
    /// What was seen.
    pub asked: Mutex<Vec<Asked>>,
    /// Set when they are to end.
    pub stop: AtomicBool,
}

/// One caller, until it is told to end.
pub async fn call(shared: Arc<Shared>, seed: u64) {
    let mut random = StdRng::seed_from_u64(seed);
    let mut held: Option<(usize, Connection)> = None;
    while !shared.stop.load(Relaxed) {
        tokio::time::sleep(Duration::from_millis(random.random_range(PAUSE_MS))).await;
        let (instance, mut connection) = match held.take() {
            Some(held) => held,
            None => match connect(&shared, &mut random).await {
                Some(new) => new,
                None => continue,
            },
        };
        if !connection.is_ready().await {
            continue;
        }
        let safe = random.random_bool(0.5);
        let ask = draw(&mut random, safe);
        let sent = Instant::now();
        let reply = connection.send(ask.request(), WAIT).await;
        let mut asked =
            Asked { id: ask.id.clone(), safe, instance, sent, ended: Instant::now(), status: None, sound: false };
        if let Ok(reply) = &reply {
            asked.status = Some(reply.status.as_u16());
            let signed = reply.header("lockloft-response-signature") == format!("signed-{}", ask.id);
            asked.sound = signed && reply.body.ends_with(ask.id.as_bytes());
            if reply.header("connection") != "close" {
                held = Some((instance, connection));
            }
        }
        shared.asked.lock().expect("no holder panics").push(asked);
    }
}

fn draw(random: &mut StdRng, safe: bool) -> TestRequest {
    let ask = match safe {
        true => TestRequest::get("/look/a"),
        false => TestRequest::post("/buy/a", vec![b'x'; random.random_range(1..20_000)]),
    };
    ask.affinity(random.random_range(0..OBJECTS))
}

/// A connection to an instance that some directory names.
async fn connect(shared: &Shared, random: &mut StdRng) -> Option<(usize, Connection)> {
    let asked = shared.doors.choose(random)?;
    let reply = tokio::time::timeout(Duration::from_secs(1), http::get(asked.directory, "/-/resolve?region=a")).await;
    let answer: serde_json::Value = serde_json::from_slice(&reply.ok()?.ok()?.body).ok()?;
    let named: Vec<SocketAddr> =
        answer["addresses"].as_array()?.iter().filter_map(|address| address.as_str()?.parse().ok()).collect();
    let chosen = named.choose(random)?;
    let instance = shared.doors.iter().position(|door| door.callers == *chosen)?;
    Some((instance, Connection::open(*chosen).await.ok()?))
}
