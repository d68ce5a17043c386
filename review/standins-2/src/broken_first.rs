//! LOST: clients send further safe requests behind a download; the download's upstream breaks its answer off, and what
//! sound upstreams have answered meanwhile is thrown away with the connection.

use crate::caller::HOST;
use crate::instance::Instance;
use crate::record::{Record, Temporary};
use crate::upstream::{Run, Upstream};
use standins::site::{RouteSpec, config};
use standins::store::Store;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

const HALLS: [(&str, &str); 2] = [("perth-north", "perth"), ("bunbury", "south-west")];
/// Downloads and look-ups go to services of their own.
const SERVICES: [&str; 2] = ["depotfiles", "trackdesk"];
const WORK: Duration = Duration::from_millis(100);
const DEADLINE_MS: u64 = 6_000;
/// Clients, each with one connection.
const CLIENTS: usize = 150;
/// Time between two of them: all come within `for_s` of `garble`, 5.5 s.
const EVERY: Duration = Duration::from_millis(34);
/// Look-ups that each client sends behind its download.
const BEHIND: usize = 6;
/// Number of the one download that u-0, one upstream of eight, breaks off: at most 0.02 of its answers, `x` of
/// `garble`.
const BROKEN: usize = 50;

/// What became of one request of a client.
struct Outcome {
    id: String,
    at: Instant,
    /// Status of its whole answer.
    status: Option<u16>,
}

pub async fn run(folder: &Path, trouble: bool) -> Result<bool, String> {
    let mut record = Record::new();
    let temporary = Temporary::new()?;
    let store = Store::start();
    let endpoint = store.endpoint().await.map_err(|error| error.to_string())?;
    let mut upstreams = Vec::new();
    for number in 0..8 {
        // Two for downloads, six for look-ups.
        let (service, hall) = (SERVICES[usize::from(number >= 2)], HALLS[number % 2].0);
        let upstream = Upstream::start(&format!("u-{number}"), service, hall, 6, 18, WORK).await;
        store.put(&format!("servers/{}", upstream.id), upstream.entry(upstream.address, "ready", 1));
        if trouble && number == 0 {
            upstream.break_off(BROKEN);
        }
        upstreams.push(upstream);
    }
    let routes = [RouteSpec::new("/pack/", "download", SERVICES[0]), RouteSpec::new("/status/", "safe", SERVICES[1])];
    store.put("op/config", config(1, &routes, &SERVICES, &[]));
    let mut instances: Vec<Instance> = [("e-1", HALLS[0].0), ("e-2", HALLS[1].0)]
        .map(|(name, hall)| Instance::new(&temporary.0, name, hall, endpoint.address, &HALLS))
        .into();
    instances.iter_mut().for_each(Instance::start);
    for instance in &instances {
        instance.wait_ready().await?;
    }
    // Longer than `contact_ms`.
    sleep(Duration::from_secs(6)).await;
    let mut tasks = Vec::new();
    for number in 0..CLIENTS {
        tasks.push(tokio::spawn(client(number, instances[0].callers)));
        sleep(EVERY).await;
    }
    let mut outcomes = Vec::new();
    for task in tasks {
        outcomes.push(task.await.map_err(|error| error.to_string())?);
    }
    let runs: Vec<Run> = upstreams.iter().flat_map(Upstream::runs).collect();
    let by_id: HashMap<&str, &Run> = runs.iter().map(|run| (run.id.as_str(), run)).collect();
    let mut lost = 0;
    for (number, (outcomes, ended)) in outcomes.iter().enumerate() {
        for (place, outcome) in outcomes.iter().enumerate() {
            let text = outcome.status.map_or("no whole answer".to_owned(), |status| status.to_string());
            record.line(outcome.at, format!("{} sent on connection {number} of e-1", outcome.id));
            record.line(*ended, format!("connection {number} has ended; {}: {text}", outcome.id));
            let run = by_id.get(outcome.id.as_str());
            if let (Some(run), None, 1..) = (run, outcome.status, place) {
                lost += 1;
                record.line(*ended, format!("LOST: {} ran at {} and got no answer", run.id, run.upstream));
            }
        }
    }
    for run in &runs {
        record.line(run.began, format!("{} runs at {} of {}", run.id, run.upstream, run.service));
        if let Some(done) = run.done {
            record.line(done, format!("{} is done at {}, which answers it", run.id, run.upstream));
        }
    }
    let (sent, answered) =
        (CLIENTS * (BEHIND + 1), outcomes.iter().flat_map(|(all, _)| all).filter(|one| one.status.is_some()).count());
    record.note(format!(
        "sent {sent}, with a whole answer: {answered}; handed to a sound upstream on a kept connection that e-1 then closed \
         without an answer: {lost} (more than 3 break the rule)"
    ));
    record.note(format!("u-0 has answered {} downloads", upstreams[0].downloads()));
    record.write(folder)?;
    if trouble && upstreams[0].downloads() < BROKEN {
        return Err("u-0 got too few downloads".to_owned());
    }
    Ok(lost > 3)
}

/// Sends a download and look-ups behind it on one connection, and reads the answers; returns when the connection ended
/// or the last answer was there.
async fn client(number: usize, address: SocketAddr) -> (Vec<Outcome>, Instant) {
    let head = |path: &str, id: &str| {
        format!(
            "GET {path} HTTP/1.1\r\nHost: {HOST}\r\nLockloft-Request-Id: {id}\r\nLockloft-Deadline-Ms: {DEADLINE_MS}\r\n\
             Lockloft-Affinity-Key: {number}\r\n\r\n"
        )
    };
    let mut outcomes = vec![Outcome { id: format!("c{number}-pack"), at: Instant::now(), status: None }];
    let mut text = head(&format!("/pack/{number}"), &outcomes[0].id);
    for behind in 0..BEHIND {
        let id = format!("c{number}-status-{behind}");
        text += &head(&format!("/status/{behind}"), &id);
        outcomes.push(Outcome { id, at: Instant::now(), status: None });
    }
    let Ok(mut stream) = TcpStream::connect(address).await else { return (outcomes, Instant::now()) };
    if stream.write_all(text.as_bytes()).await.is_err() {
        return (outcomes, Instant::now());
    }
    let mut read = Vec::new();
    for outcome in &mut outcomes {
        let answer = timeout(Duration::from_millis(DEADLINE_MS), read_answer(&mut stream, &mut read)).await;
        let Ok(Some(status)) = answer else { break };
        outcome.status = Some(status);
    }
    (outcomes, Instant::now())
}

/// Reads one answer with a length; `None` if the connection ends before its end. `read` holds bytes behind it.
async fn read_answer(stream: &mut TcpStream, read: &mut Vec<u8>) -> Option<u16> {
    let head_end = loop {
        if let Some(end) = read.windows(4).position(|four| four == b"\r\n\r\n") {
            break end + 4;
        }
        read_more(stream, read).await?;
    };
    let head = String::from_utf8_lossy(&read[..head_end]).to_lowercase();
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let length: usize = head.lines().find_map(|line| line.strip_prefix("content-length:"))?.trim().parse().ok()?;
    while read.len() < head_end + length {
        read_more(stream, read).await?;
    }
    read.drain(..head_end + length);
    Some(status)
}

async fn read_more(stream: &mut TcpStream, read: &mut Vec<u8>) -> Option<()> {
    let mut buffer = vec![0; 64 << 10];
    let size = stream.read(&mut buffer).await.ok().filter(|size| *size > 0)?;
    read.extend_from_slice(&buffer[..size]);
    Some(())
}
