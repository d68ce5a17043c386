//! LOST: a planned stop of an instance while all upstreams are busy with work that takes over a second.

use crate::caller::{Sent, request, send};
use crate::instance::Instance;
use crate::record::{Record, Temporary};
use crate::upstream::{Run, Upstream};
use bytes::Bytes;
use standins::site::{RouteSpec, config};
use standins::store::Store;
use std::path::Path;
use std::time::{Duration, Instant};
use tokio::task::JoinHandle;
use tokio::time::sleep;

const HALLS: [(&str, &str); 2] = [("batumi-terminal", "batumi"), ("poti-quay", "poti")];
const SERVICE: &str = "timetable";
// Slots, queue, work and deadline are those of `timetable` and `seat-lookup` in bsp-ferries-grown.
const SLOTS: usize = 6;
const QUEUE: usize = 18;
const WORK: Duration = Duration::from_millis(1_320);
const DEADLINE_MS: u64 = 6_000;
/// Requests of the calm traffic.
const WARM: usize = 12;
/// Requests that clients send at once.
const WAVE: usize = 42;
/// Time from then until an instance is stopped.
const AFTER: Duration = Duration::from_millis(200);
/// A run that was cut off sooner isn't counted: its upstream may have begun it because of another cut.
const MIN_WORK: Duration = Duration::from_millis(100);
const GRACE: Duration = Duration::from_secs(6);

pub async fn run(folder: &Path, trouble: bool) -> Result<bool, String> {
    let mut record = Record::new();
    let temporary = Temporary::new()?;
    let store = Store::start();
    let endpoint = store.endpoint().await.map_err(|error| error.to_string())?;
    let mut upstreams = Vec::new();
    for number in 0..4 {
        let hall = HALLS[number % 2].0;
        let upstream = Upstream::start(&format!("u-{number}"), SERVICE, hall, SLOTS, QUEUE, WORK).await;
        store.put(&format!("servers/{}", upstream.id), upstream.entry(upstream.address, "ready", 1));
        upstreams.push(upstream);
    }
    let mut route = RouteSpec::new("/seats/", "safe", SERVICE);
    route.timeout_ms = 5_000;
    store.put("op/config", config(1, &[route], &[SERVICE], &[]));
    let mut instances: Vec<Instance> = [("e-1", HALLS[0].0), ("e-2", HALLS[1].0), ("e-3", HALLS[1].0)]
        .map(|(name, hall)| Instance::new(&temporary.0, name, hall, endpoint.address, &HALLS))
        .into();
    instances.iter_mut().for_each(Instance::start);
    for instance in &instances {
        instance.wait_ready().await?;
    }
    sleep(Duration::from_secs(2)).await;
    let mut tasks = Vec::new();
    // Some calm traffic, so that each instance knows how long the work takes.
    for number in 0..WARM {
        let instance = &instances[number % 3];
        tasks.push(spawn_request(instance, format!("calm-{number}"), number));
        sleep(Duration::from_millis(250)).await;
    }
    sleep(Duration::from_secs(2)).await;
    // Then all clients ask at once, `WAVE` requests for `4 * SLOTS` slots; meanwhile the instances are stopped and
    // started in turn, each `AFTER` after the clients have asked.
    let mut stops: Vec<(String, Instant)> = Vec::new();
    for turn in 0..3usize {
        for number in 0..WAVE {
            tasks.push(spawn_request(&instances[number % 3], format!("turn{turn}-{number}"), number));
        }
        sleep(AFTER).await;
        if trouble {
            instances[turn].signal(libc::SIGTERM);
            stops.push((instances[turn].name.clone(), Instant::now()));
            record.line(Instant::now(), format!("{} gets SIGTERM", instances[turn].name));
        }
        sleep(GRACE).await;
        if trouble {
            let has_exited = instances[turn].has_exited();
            record
                .line(Instant::now(), format!("{} has ended: {has_exited}; it is started again", instances[turn].name));
            instances[turn].kill();
            instances[turn].start();
        }
        instances[turn].wait_ready().await?;
        sleep(Duration::from_secs(1)).await;
    }
    let mut sent: Vec<Sent> = Vec::new();
    for task in tasks {
        sent.push(task.await.map_err(|error| error.to_string())?);
    }
    let runs: Vec<Run> = upstreams.iter().flat_map(Upstream::runs).collect();
    let mut broken = 0;
    for one in &sent {
        let outcome = one.status.map_or("no whole answer".to_owned(), |status| status.to_string());
        record.line(one.at, format!("{} sent to {}", one.id, one.instance));
        record.line(
            one.ended,
            format!(
                "{} from {}: {outcome} after {} ms, signature {:?} {}",
                one.id,
                one.instance,
                (one.ended - one.at).as_millis(),
                one.signature,
                if one.signature.is_empty() { &one.body } else { "" }
            ),
        );
        let stop = stops.iter().find(|(name, at)| *name == one.instance && one.ended >= *at && one.at <= *at + GRACE);
        let cut = runs
            .iter()
            .find(|run| run.id == one.id && run.cut.is_some_and(|cut| stop.is_some_and(|(_, at)| cut > *at)));
        if let (Some((_, stop)), Some(cut)) = (stop, cut)
            && one.signature.is_empty()
            && cut.cut.is_some_and(|at| at - cut.began > MIN_WORK)
        {
            broken += 1;
            let worked = cut.cut.map(|at| at - cut.began).unwrap_or_default();
            record.line(
                one.ended,
                format!(
                    "LOST: {} ran at {}, was broken off after {} ms of work, {} ms after SIGTERM, and {} itself answered {outcome}",
                    one.id,
                    cut.upstream,
                    worked.as_millis(),
                    (one.ended - *stop).as_millis(),
                    one.instance
                ),
            );
        }
    }
    for run in &runs {
        record.line(run.began, format!("{} begins at {}", run.id, run.upstream));
        if let Some(cut) = run.cut {
            record.line(
                cut,
                format!("{} is cut off at {} after {} ms of work", run.id, run.upstream, (cut - run.began).as_millis()),
            );
        }
    }
    let waits: Vec<u128> = upstreams.iter().flat_map(Upstream::health_waits).map(|wait| wait.as_millis()).collect();
    record.note(format!("health checks answered: {}, after {waits:?} ms", waits.len()));
    let count = |status: Option<u16>| sent.iter().filter(|one| one.status == status).count();
    record.note(format!(
        "sent {}, 200: {}, 502: {}, 503: {}, 504: {}, no answer: {}; runs {}, of them cut {}; broken {broken}",
        sent.len(),
        count(Some(200)),
        count(Some(502)),
        count(Some(503)),
        count(Some(504)),
        count(None),
        runs.len(),
        runs.iter().filter(|run| run.cut.is_some()).count()
    ));
    for instance in &instances {
        for line in instance.log().lines().filter(|line| line.contains("\"reach\"") || line.contains("stop")) {
            record.note(format!("{}: {line}", instance.name));
        }
    }
    record.write(folder)?;
    Ok(broken > 0)
}

/// Sends a request to an instance over a connection of its own.
fn spawn_request(instance: &Instance, id: String, object: usize) -> JoinHandle<Sent> {
    let (name, address) = (instance.name.clone(), instance.callers);
    let request = request("GET", "/seats/1", &id, &object.to_string(), DEADLINE_MS, Bytes::new());
    tokio::spawn(async move { send(&name, address, request).await })
}
