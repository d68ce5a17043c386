//! Callers of a soak that rest between the parts of their answers, while instances stop in turn.
//!
//! Each draws from a seed of its own: how many requests it sends at once on a connection, how large their
//! answers are, and how often and how long it rests. All answers have to come whole.

use super::callers::{self, Shared};
use super::layout::SERVICE;
use super::observations::SentRequest;
use super::tenants;
use crate::site::{RouteSpec, TestRequest};
use crate::slow_caller::{Received, SlowCaller, head};
use crate::target_server::large_body;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering::Relaxed;
use std::time::{Duration, Instant};

/// Callers that rest.
pub const CALLERS: u64 = 40;
/// Time from a signal to stop until an instance has to have ended, seconds: an answer to a request of the
/// first half can be read in it.
pub const STOP_S: f64 = 8.0;
/// Time that a caller gives its answers.
const DEADLINE: Duration = Duration::from_secs(7);
/// How long before that an instance ends an answer that its target has not sent whole.
const DEADLINE_MARGIN: Duration = Duration::from_millis(15);
/// Pause between the connections of one caller.
const PAUSE_MS: std::ops::Range<u64> = 20..400;
/// Rests of a caller while it reads.
const RESTS: std::ops::Range<usize> = 1..3;
/// All rests of a caller together: up to more than the shortest time of a stop.
const REST_MS: std::ops::Range<u64> = 1_500..3_400;
/// Share of the callers that send several requests at once.
const TOGETHER: f64 = 0.2;
/// Bytes of an answer, and of each of several: with what a socket holds, these end in the buffer of the
/// connection or before it.
const SIZES: std::ops::Range<usize> = 40_000..115_000;
const SMALL_SIZES: std::ops::Range<usize> = 500..32_000;
/// Bytes of an answer that is held, which a stop waits for in any case, and the share of the callers with one.
const HELD_SIZES: std::ops::Range<usize> = 115_000..400_000;
const HELD: f64 = 0.01;
/// Requests of a caller that sends several.
const REQUESTS: std::ops::Range<usize> = 2..7;
/// Objects that requests are about.
const OBJECTS: u32 = 60;

/// Routes of these callers: without and with answers that may be large.
pub fn routes() -> [RouteSpec; 2] {
    [RouteSpec::new("/rest/", "safe", SERVICE), RouteSpec::new("/rest-large/", "download", SERVICE)]
}

/// Sends requests and reads their answers until the callers are to end.
pub async fn run(shared: Arc<Shared>, seed: u64) {
    let mut random = StdRng::seed_from_u64(seed);
    while !shared.stop.load(Relaxed) {
        tokio::time::sleep(Duration::from_millis(random.random_range(PAUSE_MS))).await;
        let Some((instance, address)) = callers::choose(&shared, &mut random).await else { continue };
        let reader = Reader::draw(&mut random, shared.has_tenants);
        let sent = reader.run(instance, address).await;
        shared.requests.lock().expect("no holder panics").extend(sent);
    }
}

/// A caller with one connection.
struct Reader {
    requests: Vec<(TestRequest, usize)>,
    api_key: Option<&'static str>,
    rests: Vec<Duration>,
    closes: bool,
}

impl Reader {
    fn draw(random: &mut StdRng, has_tenants: bool) -> Self {
        let api_key = has_tenants.then_some(tenants::FREE_KEY);
        let (count, sizes) = match random.random_bool(TOGETHER) {
            true => (random.random_range(REQUESTS), SMALL_SIZES),
            false if random.random_bool(HELD) => (1, HELD_SIZES),
            false => (1, SIZES),
        };
        let prefix = if random.random_bool(0.5) { "/rest" } else { "/rest-large" };
        let form = if random.random_bool(0.3) { "/chunks" } else { "" };
        let object = random.random_range(0..OBJECTS);
        let mut request = || {
            let size = random.random_range(sizes.clone());
            let request = TestRequest::get(&format!("{prefix}/pack/{size}{form}")).affinity(object);
            let request = request.key(api_key.unwrap_or_default());
            (TestRequest { deadline_ms: DEADLINE.as_millis() as u64, ..request }, size)
        };
        let requests = (0..count).map(|_| request()).collect();
        let count = random.random_range(RESTS);
        let rest = Duration::from_millis(random.random_range(REST_MS)) / count as u32;
        Self { requests, api_key, rests: vec![rest; count], closes: random.random_bool(0.5) }
    }

    /// Sends the requests and reads the answers; empty where there was no connection. Behind an answer that did
    /// not come whole the connection has ended, and nothing is known of the requests.
    async fn run(self, instance: usize, address: SocketAddr) -> Vec<SentRequest> {
        let sent = Instant::now();
        let Ok(mut caller) = SlowCaller::connect(address).await else { return Vec::new() };
        let last = self.requests.len() - 1;
        let more = |at: usize| if self.closes && at == last { "Connection: close\r\n" } else { "" };
        let text: String = self.requests.iter().enumerate().map(|(at, (request, _))| head(request, more(at))).collect();
        if caller.write(&text).await.is_err() {
            return Vec::new();
        }
        caller.read_head().await;
        for rest in &self.rests {
            tokio::time::sleep(*rest).await;
            caller.sip().await;
        }
        let answers = caller.read_answers(self.requests.len()).await;
        let ended = Instant::now();
        let seen = |(at, (request, size)): (usize, &(TestRequest, usize))| {
            let answer = answers.get(at).filter(|answer| answer.is_whole);
            SentRequest {
                sound: answer.is_some_and(|answer| is_own(answer, &request.id, *size)),
                status: answer.map(|answer| answer.status),
                id: request.id.clone(),
                safe: true,
                instance,
                sent,
                ended,
                time: DEADLINE - DEADLINE_MARGIN,
                api_key: self.api_key,
            }
        };
        let whole = answers.iter().take_while(|answer| answer.is_whole).count();
        self.requests.iter().enumerate().take(whole + 1).map(seen).collect()
    }
}

/// Whether an answer is the target's own to the request: the large one, or the short one of a target that
/// misbehaves.
fn is_own(answer: &Received, id: &str, size: usize) -> bool {
    answer.body == large_body(id, size).as_bytes() || answer.body.ends_with(format!(" {id}").as_bytes())
}
