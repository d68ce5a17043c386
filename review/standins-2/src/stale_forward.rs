//! CONFIG: an instance that cannot reach the upstreams has others send its clients' requests; one of these does not
//! know the newest configuration yet.

use crate::caller::{Sent, request, send};
use crate::instance::Instance;
use crate::record::{Record, Temporary};
use crate::upstream::{Run, Upstream};
use bytes::Bytes;
use standins::partition::{Cut, Partition};
use standins::proxy::Proxy;
use standins::site::{RouteSpec, config};
use standins::store::Store;
use std::collections::HashMap;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::time::{Duration, Instant};
use tokio::time::sleep;

const HALLS: [(&str, &str); 4] =
    [("batumi-terminal", "batumi"), ("poti-quay", "poti"), ("tbilisi-main", "tbilisi"), ("tbilisi-annex", "tbilisi")];
/// Services, one for each version of the configuration: the service of a request tells the version.
const SERVICES: [&str; 7] = ["booking-1", "booking-2", "booking-3", "booking-4", "booking-5", "booking-6", "booking-7"];
const SLOTS: usize = 6;
const QUEUE: usize = 18;
const WORK: Duration = Duration::from_millis(100);
const DEADLINE_MS: u64 = 3_000;
/// `for_s` of `bridge_cut`.
const CUT: Duration = Duration::from_millis(5_400);
/// Time from the begin of the cut until e-03 freezes; it wakes when the cut ends, 3.4 s later, within `for_s` of `node_freeze`.
const BEFORE_FREEZE: Duration = Duration::from_millis(2_000);
/// `downgrade_ms`.
const DOWNGRADE: Duration = Duration::from_millis(250);
const PAUSE: Duration = Duration::from_millis(20);

pub async fn run(folder: &Path, trouble: bool) -> Result<bool, String> {
    let mut record = Record::new();
    let temporary = Temporary::new()?;
    let store = Store::start();
    let text = |error: std::io::Error| error.to_string();
    let endpoint = store.endpoint().await.map_err(text)?;
    let partition = Partition::default();
    let (mut upstreams, mut proxies) = (Vec::new(), Vec::new());
    for number in 0..SERVICES.len() * 2 {
        let service = SERVICES[number / 2];
        let upstream = Upstream::start(&format!("u-{number}"), service, HALLS[1].0, SLOTS, QUEUE, WORK).await;
        let proxy = Proxy::start_partitioned(upstream.address, &partition).await.map_err(text)?;
        store.put(&format!("servers/{}", upstream.id), upstream.entry(proxy.address, "ready", 1));
        upstreams.push(upstream);
        proxies.push(proxy);
    }
    let mut versions: Vec<(usize, Instant)> = Vec::new();
    let mut configure = |record: &mut Record| {
        let version = versions.len();
        let route = RouteSpec::new("/tickets/", "unsafe", SERVICES[version]);
        store.put("op/config", config(version as u64 + 1, &[route], &SERVICES, &[]));
        versions.push((version, Instant::now()));
        record.line(
            Instant::now(),
            format!("version {} is acknowledged: /tickets/ goes to {}", version + 1, SERVICES[version]),
        );
    };
    configure(&mut record);
    let places = [0, 2, 3, 3, 3, 3, 3, 2, 2, 2].map(|hall: usize| HALLS[hall].0);
    let mut instances: Vec<Instance> = places
        .iter()
        .zip(1..)
        .map(|(hall, number)| Instance::new(&temporary.0, &format!("e-{number:02}"), hall, endpoint.address, &HALLS))
        .collect();
    instances.iter_mut().for_each(Instance::start);
    for instance in &instances {
        instance.wait_ready().await?;
    }
    sleep(Duration::from_secs(2)).await;
    let stop = Arc::new(AtomicBool::new(false));
    let load = tokio::spawn(load(instances.iter().map(|one| (one.name.clone(), one.callers)).collect(), stop.clone()));
    sleep(Duration::from_secs(2)).await;
    for _ in 0..2 {
        let cut_off = instances[0].pid().ok_or("e-01 does not run")?;
        if trouble {
            partition.cut(cut_off, Cut::Silent);
            record.line(Instant::now(), "batumi-terminal and poti-quay can't reach each other".to_owned());
        }
        let begun = Instant::now();
        sleep(BEFORE_FREEZE).await;
        if trouble {
            instances[2].signal(libc::SIGSTOP);
            record.line(Instant::now(), "e-03 freezes".to_owned());
        }
        for _ in 0..3 {
            sleep(Duration::from_millis(100)).await;
            configure(&mut record);
            sleep(Duration::from_millis(900)).await;
        }
        sleep(CUT.saturating_sub(begun.elapsed())).await;
        partition.heal_all();
        if trouble {
            instances[2].signal(libc::SIGCONT);
            record.line(Instant::now(), "the zones reach each other again, e-03 wakes".to_owned());
        }
        sleep(Duration::from_secs(5)).await;
    }
    stop.store(true, Relaxed);
    let sent: Vec<Sent> = load.await.map_err(|error| error.to_string())?;
    let runs: Vec<Run> = upstreams.iter().flat_map(Upstream::runs).collect();
    let by_id: HashMap<&str, &Sent> = sent.iter().map(|one| (one.id.as_str(), one)).collect();
    // For each version, when an upstream first saw its effect through e-01.
    let version_of =
        |run: &Run| SERVICES.iter().position(|service| *service == run.service).expect("it is one of them");
    let through = |run: &Run| by_id.get(run.id.as_str()).is_some_and(|one| one.instance == "e-01");
    let mut seen: Vec<Option<Instant>> = vec![None; SERVICES.len()];
    for run in runs.iter().filter(|run| through(run)) {
        let first = &mut seen[version_of(run)];
        *first = Some(first.map_or(run.began, |at| at.min(run.began)));
    }
    let (mut broken, mut latest) = (0, Duration::ZERO);
    for run in &runs {
        let Some(one) = by_id.get(run.id.as_str()) else { continue };
        record.line(run.began, format!("{} to {} runs at {} of {}", run.id, one.instance, run.upstream, run.service));
        if one.instance != "e-01" {
            continue;
        }
        let newer = (version_of(run) + 1..SERVICES.len())
            .filter_map(|version| seen[version].map(|at| (version, at)))
            .find(|(_, at)| one.at > *at + DOWNGRADE);
        if let Some((version, at)) = newer {
            broken += 1;
            latest = latest.max(one.at - at);
            record.line(
                run.began,
                format!(
                    "CONFIG: {} sent to e-01 {} ms after an upstream saw version {} through e-01 runs by version {}",
                    run.id,
                    (one.at - at).as_millis(),
                    version + 1,
                    version_of(run) + 1
                ),
            );
        }
    }
    for one in &sent {
        let outcome = one.status.map_or("no whole answer".to_owned(), |status| status.to_string());
        record.line(one.at, format!("{} sent to {}", one.id, one.instance));
        record.line(one.ended, format!("{} from {}: {outcome} {}", one.id, one.instance, one.body));
    }
    let through_e1 = sent.iter().filter(|one| one.instance == "e-01");
    let served = through_e1.clone().filter(|one| one.status == Some(200)).count();
    record.note(format!(
        "sent to e-01: {}, of them 200: {served}; run by an older version over 250 ms after a newer one was seen: {broken}, \
         the last {} ms after",
        through_e1.count(),
        latest.as_millis()
    ));
    for instance in &instances {
        for line in instance.log().lines().filter(|line| line.contains("config_in_force") || line.contains("\"reach\""))
        {
            record.note(format!("{}: {line}", instance.name));
        }
    }
    record.write(folder)?;
    Ok(broken > 0)
}

/// Unsafe requests to all instances, until told to stop.
async fn load(instances: Vec<(String, std::net::SocketAddr)>, stop: Arc<AtomicBool>) -> Vec<Sent> {
    let mut tasks = Vec::new();
    for number in 0.. {
        if stop.load(Relaxed) {
            break;
        }
        // Every second request goes to the first instance.
        let (name, address) = instances[if number % 2 == 0 { 0 } else { 1 + 2 * (number / 2 % 2) }].clone();
        let request = request(
            "POST",
            "/tickets/1",
            &format!("t-{number}"),
            &(number % 37).to_string(),
            DEADLINE_MS,
            Bytes::from("one"),
        );
        tasks.push(tokio::spawn(async move { send(&name, address, request).await }));
        sleep(PAUSE).await;
    }
    let mut sent = Vec::new();
    for task in tasks {
        sent.extend(task.await);
    }
    sent
}
