//! CONFIG: two machines of a zone freeze right before a change of the configuration; a third one of the zone, which
//! nothing strikes, goes on by the old version for too long.

use crate::caller::{Sent, request, send};
use crate::instance::Instance;
use crate::record::{Record, Temporary};
use crate::upstream::{Run, Upstream};
use bytes::Bytes;
use standins::site::{RouteSpec, config};
use standins::store::Store;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};
use tokio::time::sleep;

const HALLS: [(&str, &str); 4] =
    [("batumi-terminal", "batumi"), ("poti-quay", "poti"), ("tbilisi-main", "tbilisi"), ("tbilisi-annex", "tbilisi")];
const PER_HALL: usize = 3;
const SERVICES: [&str; 2] = ["timetable", "booking"];
const SLOTS: usize = 6;
const QUEUE: usize = 18;
const WORK: Duration = Duration::from_millis(50);
const DEADLINE_MS: u64 = 2_500;
/// Time of a freeze; `for_s` of `node_freeze` is 3.5 s.
const FREEZE: Duration = Duration::from_millis(2_800);
/// Time from the freeze to the change.
const AFTER: Duration = Duration::from_millis(10);
/// `config_apply_ms`.
const APPLY: Duration = Duration::from_millis(2_000);
const PAUSE: Duration = Duration::from_millis(25);
const ROUNDS: usize = 21;

pub async fn run(folder: &Path, trouble: bool) -> Result<bool, String> {
    let mut record = Record::new();
    let temporary = Temporary::new()?;
    let store = Store::start();
    let endpoint = store.endpoint().await.map_err(|error| error.to_string())?;
    let mut upstreams = Vec::new();
    for number in 0..SERVICES.len() * 6 {
        let (service, hall) = (SERVICES[number % SERVICES.len()], HALLS[number / 2 % HALLS.len()].0);
        let upstream = Upstream::start(&format!("u-{number}"), service, hall, SLOTS, QUEUE, WORK).await;
        store.put(&format!("servers/{}", upstream.id), upstream.entry(upstream.address, "ready", 1));
        upstreams.push(upstream);
    }
    let mut acknowledged: Vec<Instant> = Vec::new();
    let mut configure = |record: &mut Record| {
        let version = acknowledged.len();
        let route = RouteSpec::new("/seats/", "safe", SERVICES[version % SERVICES.len()]);
        store.put("op/config", config(version as u64 + 1, &[route], &SERVICES, &[]));
        acknowledged.push(Instant::now());
        let service = SERVICES[version % SERVICES.len()];
        record.line(Instant::now(), format!("version {} is acknowledged: /seats/ goes to {service}", version + 1));
    };
    configure(&mut record);
    let mut instances: Vec<Instance> = (0..HALLS.len() * PER_HALL)
        .map(|number| {
            let hall = HALLS[number / PER_HALL].0;
            Instance::new(
                &temporary.0,
                &format!("edge-{hall}-{}", number % PER_HALL + 1),
                hall,
                endpoint.address,
                &HALLS,
            )
        })
        .collect();
    instances.iter_mut().for_each(Instance::start);
    for instance in &instances {
        instance.wait_ready().await?;
    }
    sleep(Duration::from_secs(4)).await;
    let mut sent: Vec<Sent> = Vec::new();
    for round in 0..ROUNDS {
        let first = round % HALLS.len() * PER_HALL;
        let (relays, other) = (&instances[first..first + 2], &instances[first + 2]);
        if trouble {
            for relay in relays {
                relay.signal(libc::SIGSTOP);
                record.line(Instant::now(), format!("{} freezes", relay.name));
            }
        }
        let begun = Instant::now();
        sleep(AFTER).await;
        configure(&mut record);
        sent.extend(ask(other.name.clone(), other.callers, round, begun + FREEZE).await);
        if trouble {
            for relay in relays {
                relay.signal(libc::SIGCONT);
                record.line(Instant::now(), format!("{} wakes", relay.name));
            }
        }
        sleep(Duration::from_millis(1_800)).await;
    }
    let runs: Vec<Run> = upstreams.iter().flat_map(Upstream::runs).collect();
    let by_id: HashMap<&str, &Sent> = sent.iter().map(|one| (one.id.as_str(), one)).collect();
    let (mut broken, mut latest, mut rounds) = (0, Duration::ZERO, std::collections::BTreeSet::new());
    for run in &runs {
        let Some(one) = by_id.get(run.id.as_str()) else { continue };
        record.line(run.began, format!("{} to {} runs at {} of {}", run.id, one.instance, run.upstream, run.service));
        // The version in force, by the last one acknowledged before the request was sent.
        let Some((version, at)) = acknowledged.iter().enumerate().rev().find(|(_, at)| **at <= one.at) else {
            continue;
        };
        if run.service != SERVICES[version % SERVICES.len()] && one.at > *at + APPLY {
            broken += 1;
            latest = latest.max(one.at - *at);
            rounds.insert(version);
            record.line(
                run.began,
                format!(
                    "CONFIG: {} sent to {} {} ms after version {} was acknowledged runs by version {version}",
                    run.id,
                    one.instance,
                    (one.at - *at).as_millis(),
                    version + 1,
                ),
            );
        }
    }
    for one in &sent {
        let outcome = one.status.map_or("no whole answer".to_owned(), |status| status.to_string());
        record.line(one.at, format!("{} sent to {}", one.id, one.instance));
        record.line(one.ended, format!("{} from {}: {outcome} {}", one.id, one.instance, one.body));
    }
    let served = sent.iter().filter(|one| one.status == Some(200)).count();
    record.note(format!(
        "sent {}, of them 200: {served}; run by the old version over 2 s after the new one was acknowledged: {broken} in {} \
         of {ROUNDS} rounds, the last {} ms after",
        sent.len(),
        rounds.len(),
        latest.as_millis()
    ));
    record.write(folder)?;
    Ok(broken > 0)
}

/// Requests to one instance until a time.
async fn ask(name: String, address: SocketAddr, round: usize, until: Instant) -> Vec<Sent> {
    let mut tasks = Vec::new();
    for number in 0.. {
        if Instant::now() >= until {
            break;
        }
        let request = request(
            "GET",
            "/seats/1",
            &format!("r{round}-{number}"),
            &(number % 37).to_string(),
            DEADLINE_MS,
            Bytes::new(),
        );
        let name = name.clone();
        tasks.push(tokio::spawn(async move { send(&name, address, request).await }));
        sleep(PAUSE).await;
    }
    let mut sent = Vec::new();
    for task in tasks {
        sent.extend(task.await);
    }
    sent
}
