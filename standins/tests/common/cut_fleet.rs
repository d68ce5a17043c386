//! Six instances in three halls of two regions, twelve targets behind proxies that single instances can
//! be cut off from, and callers of each instance.

use super::program;
use standins::http::{Connection, NoReply, Reply};
use standins::partition::{Cut, Partition};
use standins::proxy::Proxy;
use standins::scene::{SERVICE, look_route};
use standins::site::{InstanceProcess, RouteSpec, Site, TestRequest};
use standins::target_server::{Registration, Run, TargetServer, large_body};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::ops::Range;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::time::{Duration, Instant};
use tokio::task::JoinHandle;
use tokio::time::sleep;

/// Halls of the instances.
pub const HALLS: [&str; 6] = ["a-1", "a-1", "a-2", "a-2", "b-1", "b-1"];
const TARGET_HALLS: [&str; 3] = ["a-1", "a-2", "b-1"];
const TARGETS: usize = 12;
const SLOTS: u32 = 32;
const WORK: Duration = Duration::from_millis(10);
/// Callers of each instance; every second one keeps its connection open.
const CALLERS: usize = 4;
const PAUSE: Duration = Duration::from_millis(40);
const WAIT: Duration = Duration::from_secs(4);
/// Size of an upload that instances buffer, and of one that they stream.
const UPLOADS: [usize; 2] = [200_000, 700_000];
/// Size of a large answer.
const LARGE: usize = 300_000;

/// What a caller saw of a request.
#[derive(Clone, Debug)]
pub struct Seen {
    pub instance: usize,
    pub id: String,
    pub path: String,
    pub began: Instant,
    pub took: Duration,
    /// `None` where there was no whole answer.
    pub status: Option<u16>,
    pub retry_after: Option<f64>,
}

impl Seen {
    pub fn is_served(&self) -> bool {
        self.status == Some(200)
    }
}

/// The running fleet.
pub struct Fleet {
    pub site: Site,
    pub instances: Vec<InstanceProcess>,
    pub targets: Vec<TargetServer>,
    pub proxies: Vec<Proxy>,
    pub partition: Partition,
}

/// Routes of all kinds.
pub fn routes() -> Vec<RouteSpec> {
    let kinds = [("/buy/", "unsafe"), ("/send/", "upload"), ("/pack/", "download")];
    [vec![look_route()], kinds.map(|(prefix, kind)| RouteSpec::new(prefix, kind, SERVICE)).to_vec()].concat()
}

impl Fleet {
    pub async fn start() -> Self {
        let mut fleet = Self::start_targets().await;
        fleet.site.configure(1, &routes(), &[SERVICE]);
        fleet.start_instances().await;
        fleet
    }

    /// The fleet without instances and a configuration.
    pub async fn start_targets() -> Self {
        let site = Site::start(program()).await;
        let partition = Partition::default();
        let (mut targets, mut proxies) = (Vec::new(), Vec::new());
        for number in 0..TARGETS {
            let target = TargetServer::start(&format!("u-{number}"), SLOTS, WORK).await.unwrap();
            let proxy = Proxy::start_partitioned(target.address, &partition).await.unwrap();
            let registration = Registration::ready(SERVICE, TARGET_HALLS[number % TARGET_HALLS.len()]);
            site.register_at(&target, proxy.address, &registration);
            targets.push(target);
            proxies.push(proxy);
        }
        Self { site, instances: Vec::new(), targets, proxies, partition }
    }

    /// Registers all targets again, at other addresses.
    pub fn move_targets(&self, sequence: u64, address: impl Fn(usize) -> SocketAddr) {
        for (number, target) in self.targets.iter().enumerate() {
            let hall = TARGET_HALLS[number % TARGET_HALLS.len()];
            let registration = Registration { sequence, ..Registration::ready(SERVICE, hall) };
            self.site.register_at(target, address(number), &registration);
        }
    }

    pub async fn start_instances(&mut self) {
        self.start_instances_with(str::to_owned).await;
    }

    /// Starts the instances with other settings.
    pub async fn start_instances_with(&mut self, edit: impl Fn(&str) -> String) {
        for (number, hall) in HALLS.into_iter().enumerate() {
            let mut instance = self.site.instance(&format!("e-{number}"), hall);
            instance.edit_settings(&edit);
            instance.start();
            self.instances.push(instance);
        }
        for instance in &self.instances {
            instance.wait_ready().await;
        }
    }

    pub fn cut(&self, numbers: &[usize], cut: Cut) {
        for number in numbers {
            self.partition.cut(self.instances[*number].pid().expect("it runs"), cut);
        }
    }

    /// Callers' addresses of instances.
    pub fn addresses(&self, numbers: &[usize]) -> Vec<String> {
        numbers.iter().map(|number| self.instances[*number].callers.to_string()).collect()
    }

    pub fn runs(&self) -> HashMap<String, Vec<Run>> {
        let mut runs: HashMap<String, Vec<Run>> = HashMap::new();
        for run in self.targets.iter().flat_map(TargetServer::runs) {
            runs.entry(run.id.clone()).or_default().push(run);
        }
        runs
    }

    /// Number of runs of requests with this in their path.
    pub fn runs_of(&self, path: &str) -> usize {
        self.targets.iter().flat_map(TargetServer::runs).filter(|run| run.line.contains(path)).count()
    }

    /// Sum of a metric over instances.
    pub async fn metric(&self, numbers: &[usize], name: &str, with: &str) -> f64 {
        let mut sum = 0.0;
        for number in numbers {
            sum += self.instances[*number].metric(name, with).await;
        }
        sum
    }

    /// Starts callers of all instances, which go on to call theirs whatever becomes of it.
    pub fn load(&self) -> Load {
        self.load_with_key("")
    }

    /// As `load`, with a tenant's key.
    pub fn load_with_key(&self, key: &'static str) -> Load {
        let stop = Arc::new(AtomicBool::new(false));
        let mut callers = Vec::new();
        for (number, instance) in self.instances.iter().enumerate() {
            for caller in 0..CALLERS {
                let caller = Caller { instance: number, address: instance.callers, number: caller, key };
                callers.push(tokio::spawn(caller.run(stop.clone())));
            }
        }
        Load { stop, callers }
    }

    /// Checks that nothing ran twice that may run once, that nothing ran that was refused, and that what
    /// ran is what was sent.
    pub fn check_promises(&self, seen: &[Seen]) {
        let runs = self.runs();
        for request in seen {
            let runs = runs.get(&request.id).map_or(&[][..], Vec::as_slice);
            if request.path.starts_with("/buy/") || request.path.starts_with("/send/") {
                assert!(runs.len() <= 1, "{request:?} ran {} times", runs.len());
                let is_refused = matches!(request.status, Some(408 | 421 | 429 | 503));
                assert!(!is_refused || runs.is_empty(), "{request:?} was refused and ran");
            }
            for run in runs.iter().filter(|_| request.path.starts_with("/send/") && request.is_served()) {
                assert!(UPLOADS.contains(&run.body.len()), "{request:?} ran with {} bytes", run.body.len());
            }
        }
    }
}

/// Callers at work.
pub struct Load {
    stop: Arc<AtomicBool>,
    callers: Vec<JoinHandle<Vec<Seen>>>,
}

impl Load {
    pub async fn stop(self) -> Vec<Seen> {
        self.stop.store(true, Relaxed);
        let mut seen = Vec::new();
        for caller in self.callers {
            seen.extend(caller.await.expect("no caller panics"));
        }
        seen
    }
}

struct Caller {
    instance: usize,
    address: SocketAddr,
    number: usize,
    key: &'static str,
}

impl Caller {
    async fn run(self, stop: Arc<AtomicBool>) -> Vec<Seen> {
        let mut seen = Vec::new();
        let mut connection: Option<Connection> = None;
        for step in 0.. {
            if stop.load(Relaxed) {
                break;
            }
            let request = self.request(step);
            let began = Instant::now();
            let kept = connection.take().filter(|_| self.number.is_multiple_of(2));
            let (reply, kept) = send(kept, self.address, &request).await;
            connection = kept;
            let reply = reply.filter(|reply| is_whole(&request, reply));
            seen.push(Seen {
                instance: self.instance,
                id: request.id,
                path: request.path,
                began,
                took: began.elapsed(),
                status: reply.as_ref().map(|reply| reply.status.as_u16()),
                retry_after: reply.and_then(|reply| reply.header("retry-after").parse().ok()),
            });
            sleep(PAUSE).await;
        }
        seen
    }

    fn request(&self, step: usize) -> TestRequest {
        let request = match (step + self.number) % 8 {
            0 | 1 => TestRequest::post("/buy/a", "one"),
            2 => TestRequest::post("/send/a", vec![7; UPLOADS[(step / 8) % UPLOADS.len()]]),
            3 => TestRequest::get(&format!("/pack/{LARGE}")),
            _ => TestRequest::get("/look/a"),
        };
        request.affinity(step * 7 % 60).key(self.key)
    }
}

/// Sends over an open connection, over a new one where there is none or it is closed.
async fn send(
    kept: Option<Connection>,
    address: SocketAddr,
    request: &TestRequest,
) -> (Option<Reply>, Option<Connection>) {
    let mut kept = kept;
    let is_usable = match &mut kept {
        Some(kept) => kept.is_ready().await,
        None => false,
    };
    let mut connection = match kept.filter(|_| is_usable) {
        Some(kept) => kept,
        None => match Connection::open(address).await {
            Ok(opened) => opened,
            Err(NoReply::Unreachable | NoReply::Broken) => return (None, None),
        },
    };
    match connection.send(request.request(), WAIT).await {
        Ok(reply) => (Some(reply), Some(connection)),
        Err(_) => (None, None),
    }
}

/// Whether a success has the whole body of the request's own answer.
fn is_whole(request: &TestRequest, reply: &Reply) -> bool {
    if reply.status != 200 {
        return true;
    }
    match request.path.starts_with("/pack/") {
        true => reply.body == large_body(&request.id, LARGE),
        false => String::from_utf8_lossy(&reply.body).ends_with(&request.id),
    }
}

/// Requests of these instances that began in a time, and how many of them were served.
pub fn counts(seen: &[Seen], instances: &[usize], time: Range<Instant>) -> (usize, usize) {
    let asked: Vec<&Seen> =
        seen.iter().filter(|seen| instances.contains(&seen.instance) && time.contains(&seen.began)).collect();
    (asked.iter().filter(|seen| seen.is_served()).count(), asked.len())
}

/// Checks that all requests but one in fifty were served.
pub fn assert_served(what: &str, seen: &[Seen], instances: &[usize], time: Range<Instant>) {
    let (served, sent) = counts(seen, instances, time.clone());
    let failed: Vec<&Seen> = seen
        .iter()
        .filter(|seen| instances.contains(&seen.instance) && time.contains(&seen.began) && !seen.is_served())
        .collect();
    assert!(sent >= 50, "{what}: {sent} requests show nothing");
    assert!(sent - served <= 1 + sent / 50, "{what}: {served} of {sent} served, the rest {failed:?}");
}
