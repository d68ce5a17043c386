//! Faulty upstreams send a second answer, a 400 without an id, some time after a whole one.

use crate::http::Conn;
use crate::instance::{Bounds, Instance};
use crate::store::Store;
use crate::upstream::{Upstream, Work};
use crate::{Outcome, Scene};
use std::collections::HashMap;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// How long an upstream works on a request.
const WORK: Duration = Duration::from_millis(200);
/// How long after a whole answer the second one comes.
const LATE: Duration = Duration::from_millis(60);
/// One in so many answers of a faulty upstream is followed by a second one: under 3 in 100.
const ONE_IN: u32 = 34;
/// Clients, each with one purchase at a time.
const CLIENTS: usize = 12;
/// Before, between and after the times in which the upstreams are faulty, how often these come, and how long each is.
const SOUND_FOR: Duration = Duration::from_secs(2);
const TIMES_FAULTY: usize = 4;
const FAULTY_FOR: Duration = Duration::from_secs(5);

/// How long a client waits after a purchase that failed.
const PAUSE: Duration = Duration::from_millis(500);

const CONFIG: &str = r#"{"version":7,"resources":[
{"resource_type":"routes","metadata":{"name":"r-buy"},"spec":{"host":"ferry.example","path_prefix":"/buy/","type":"unsafe","timeout_ms":1000,"target_latency_ms":400,"priority":1,"service":"booking","max_attempts":2,"session_affinity":true,"allowed_regions":[]}},
{"resource_type":"services","metadata":{"name":"booking"},"spec":{"health_path":"/health","max_connections":390,"protocol":"h1","tls":false,"warmup_s":3.0,"warmup_per_s":9.0}},
{"resource_type":"limits","metadata":{},"spec":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_ms":3000,"idle_timeout_ms":15000}}]}"#;

const SECOND_ANSWER: &str = "HTTP/1.1 400 Bad Request\r\nLockloft-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";

/// Which upstreams began to run each request.
type Runs = Arc<Mutex<HashMap<String, Vec<String>>>>;

/// Status of a purchase; 0 without an answer.
fn buy(conn: &mut Option<Conn>, address: SocketAddr, id: &str, object: usize) -> u16 {
    let mut answer = || -> std::io::Result<u16> {
        if conn.is_none() {
            let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
            stream.set_read_timeout(Some(Duration::from_secs(4)))?;
            *conn = Some(Conn::new(stream));
        }
        let Some(open) = conn.as_mut() else { return Ok(0) };
        let request = format!(
            "POST /buy/{object} HTTP/1.1\r\nHost: ferry.example\r\nLockloft-Request-Id: {id}\r\n\
             Lockloft-Affinity-Key: {object}\r\nLockloft-Deadline-Ms: 3000\r\nContent-Length: 3\r\n\r\none"
        );
        open.stream.write_all(request.as_bytes())?;
        let Some(head) = open.head()? else { return Ok(0) };
        open.body(head.length())?;
        Ok(head.status())
    };
    let status = answer().unwrap_or(0);
    if status != 200 {
        *conn = None;
    }
    status
}

/// Runs a purchase. While the upstream is faulty, one in `ONE_IN` whole answers is followed by a second one.
fn work(faulty: Arc<AtomicBool>, runs: Runs) -> Arc<Work> {
    let answered = AtomicU32::new(0);
    Arc::new(move |upstream, conn, asked| {
        runs.lock().expect("no holder panics").entry(asked.id.clone()).or_default().push(upstream.id.clone());
        upstream.run(conn, asked, WORK, b"bought")?;
        if !faulty.load(Relaxed) {
            // Each time of faults counts by itself, so that its share of second answers is never above the limit.
            answered.store(0, Relaxed);
            return Ok(());
        }
        let is_second_due = answered.fetch_add(1, Relaxed) % ONE_IN == ONE_IN - 1;
        if is_second_due {
            let (mut stream, record, name) = (conn.stream.try_clone()?, upstream.record.clone(), upstream.id.clone());
            let id = asked.id.clone();
            thread::spawn(move || {
                thread::sleep(LATE);
                let sent = stream.write_all(SECOND_ANSWER.as_bytes()).is_ok();
                record.add(format!(
                    "upstream {name} sends a second answer after that to {id}: 400 without an id (sent: {sent})"
                ));
            });
        }
        Ok(())
    })
}

pub fn play(scene: &Scene) -> Outcome {
    let store = Store::start();
    store.put("op/config", CONFIG);
    let (faulty, runs) = (Arc::new(AtomicBool::new(false)), Runs::default());
    let halls = ["a-1", "a-2", "b-1", "b-2"];
    for (number, hall) in halls.iter().enumerate() {
        // Half of them may turn faulty.
        let may_turn = if number % 2 == 0 { faulty.clone() } else { Arc::default() };
        Upstream::start(&store, &scene.record, &format!("i-{number}"), "booking", hall, work(may_turn, runs.clone()));
    }
    let bounds = Bounds { grace_s: 6.0, memory_mb: 260, retry_slack: 64 };
    let new = |(number, hall): (usize, &&str)| {
        Instance::new(&scene.folder, &format!("e-{number}"), hall, store.address, &bounds)
    };
    let mut instances: Vec<Instance> = halls.iter().enumerate().map(new).collect();
    for instance in &mut instances {
        if let Err(error) = instance.start() {
            return Outcome::CouldNotRun(format!("lockloft-entry cannot be started: {error}"));
        }
    }
    if !instances.iter().all(Instance::wait_ready) {
        return Outcome::CouldNotRun("an instance is not ready".to_owned());
    }
    thread::sleep(Duration::from_secs(3));
    let is_over = AtomicBool::new(false);
    let statuses: HashMap<String, u16> = thread::scope(|scope| {
        let clients: Vec<_> = (0..CLIENTS)
            .map(|client| {
                let (instance, is_over) = (&instances[client % instances.len()], &is_over);
                scope.spawn(move || {
                    let (mut conn, mut statuses) = (None, Vec::new());
                    while !is_over.load(Relaxed) {
                        let id = format!("c{client}-{}", statuses.len());
                        scene.record.add(format!("client sends {id} to {}", instance.name));
                        let status = buy(&mut conn, instance.callers, &id, client);
                        scene.record.add(format!("client gets {status} for {id}"));
                        statuses.push((id, status));
                        if status != 200 {
                            thread::sleep(PAUSE);
                        }
                    }
                    statuses
                })
            })
            .collect();
        thread::sleep(SOUND_FOR);
        for _ in 0..TIMES_FAULTY {
            faulty.store(scene.trouble, Relaxed);
            thread::sleep(FAULTY_FOR);
            faulty.store(false, Relaxed);
            thread::sleep(SOUND_FOR);
        }
        is_over.store(true, Relaxed);
        clients.into_iter().flat_map(|client| client.join().unwrap_or_default()).collect()
    });
    let runs = runs.lock().expect("no holder panics");
    let twice: Vec<_> = runs.iter().filter(|(_, upstreams)| upstreams.len() > 1).collect();
    for (id, upstreams) in &twice {
        scene.record.add(format!(
            "TWICE: {id} was run by {}, and its client got {}",
            upstreams.join(" and "),
            statuses.get(*id).unwrap_or(&0)
        ));
    }
    let promised = |id: &&String| matches!(statuses.get(*id), Some(408 | 421 | 429 | 503));
    let refused = runs.keys().filter(promised).count();
    let served = statuses.values().filter(|status| **status == 200).count();
    scene.record.add(format!(
        "{} purchases, {served} served; TWICE: {} were run more than once; REFUSED: {refused} were run and refused as not run",
        statuses.len(),
        twice.len()
    ));
    if served == 0 {
        return Outcome::CouldNotRun("nothing was served".to_owned());
    }
    if twice.is_empty() && refused == 0 {
        Outcome::Held
    } else {
        Outcome::Broken
    }
}
