//! Callers of a soak that ask for large answers and read them at paces of their own; some leave midway.
//!
//! Each draws from a seed of its own. What is checked of them is in [`super::promises`]: an answer is
//! whole and the request's own, or visibly broken.

use super::callers::Shared;
use super::layout::{ROUTE_TIMEOUT, SERVICE};
use super::observations::SentRequest;
use super::tenants;
use crate::site::{RouteSpec, TestRequest};
use crate::slow_caller::SlowCaller;
use crate::target_server::large_body;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering::Relaxed;
use std::time::{Duration, Instant};

/// Callers that download.
pub const CALLERS: u64 = 6;
/// Bytes of an answer.
const SIZES: std::ops::Range<usize> = 50_000..540_000;
/// Pause between requests of one caller.
const PAUSE_MS: std::ops::Range<u64> = 20..200;
/// Pause between two reads of a caller.
const READ_PAUSE_MS: std::ops::Range<u64> = 0..4;
/// Share of the callers that leave in the middle of their answer.
const LEAVING: f64 = 0.1;
/// Objects that requests are about.
const OBJECTS: u32 = 60;

/// The route of downloads.
pub fn route() -> RouteSpec {
    RouteSpec::new("/pack/", "download", SERVICE)
}

/// Downloads until the callers are to end.
pub async fn run(shared: Arc<Shared>, seed: u64) {
    let mut random = StdRng::seed_from_u64(seed);
    while !shared.stop.load(Relaxed) {
        tokio::time::sleep(Duration::from_millis(random.random_range(PAUSE_MS))).await;
        let instance = random.random_range(0..shared.instances.len());
        let download = Download::draw(&mut random, shared.has_tenants);
        let Some(sent) = download.make(instance, shared.instances[instance].callers).await else { continue };
        shared.requests.lock().expect("no holder panics").push(sent);
    }
}

/// One download.
struct Download {
    request: TestRequest,
    api_key: Option<&'static str>,
    size: usize,
    read_pause: Duration,
    leaves: bool,
}

impl Download {
    fn draw(random: &mut StdRng, has_tenants: bool) -> Self {
        let size = random.random_range(SIZES);
        let is_slow_target = random.random_bool(0.2);
        let path = if is_slow_target { format!("/pack/{size}/slow") } else { format!("/pack/{size}") };
        let api_key = has_tenants.then_some(tenants::FREE_KEY);
        let request = TestRequest::get(&path).affinity(random.random_range(0..OBJECTS));
        Self {
            request: request.key(api_key.unwrap_or_default()),
            api_key,
            size,
            read_pause: Duration::from_millis(random.random_range(READ_PAUSE_MS)),
            leaves: random.random_bool(LEAVING),
        }
    }

    /// Makes it; `None` where the caller left, or there was no connection.
    async fn make(self, instance: usize, address: SocketAddr) -> Option<SentRequest> {
        let sent = Instant::now();
        let mut caller = SlowCaller::send(address, &self.request).await.ok()?;
        if self.leaves {
            caller.read_head().await;
            return None;
        }
        let received = caller.read_slowly(self.read_pause).await;
        let id = self.request.id;
        Some(SentRequest {
            sound: is_own(&received.body, &id, self.size),
            status: received.is_whole.then_some(received.status),
            id,
            safe: true,
            instance,
            sent,
            ended: Instant::now(),
            time: ROUTE_TIMEOUT,
            api_key: self.api_key,
        })
    }
}

/// Whether a body is the target's own to the request: the large one, or the short one of a target that
/// misbehaves.
fn is_own(body: &[u8], id: &str, size: usize) -> bool {
    let is_short = body.len() < SIZES.start && body.ends_with(format!(" {id}").as_bytes());
    is_short || body == large_body(id, size).as_bytes()
}
