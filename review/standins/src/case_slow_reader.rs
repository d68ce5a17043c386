//! A client reads a large answer slowly while the machine that serves it gets SIGTERM.

use crate::http::parse;
use crate::instance::{Bounds, Instance, SIGTERM};
use crate::small::small_connection;
use crate::store::Store;
use crate::upstream::{Upstream, Work};
use crate::{Outcome, Scene};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// Bodies of the answers, bytes, one for each machine: the site's have 90,000 on average and 540,000 at most. How much
/// of an answer the system holds for the process is not the same everywhere, so that the sizes span a range.
const ANSWERS: [usize; 12] =
    [80_000, 100_000, 115_000, 125_000, 130_000, 135_000, 140_000, 145_000, 150_000, 160_000, 180_000, 210_000];
/// How long a client pauses after the first bytes of its answer; then it reads on at once.
const PAUSE: Duration = Duration::from_millis(3_000);
/// The clients' deadline, milliseconds.
const DEADLINE_MS: u64 = 6_000;
/// How long an upstream works.
const WORK: Duration = Duration::from_millis(500);
/// From the request to SIGTERM.
const SIGTERM_AFTER: Duration = Duration::from_millis(200);
/// `gap_s`: from the return of one machine to the turn of the next.
const GAP: Duration = Duration::from_secs(1);
/// `grace_s`: from SIGTERM to SIGKILL.
const GRACE: Duration = Duration::from_secs(6);

const CONFIG: &str = r#"{"version":7,"resources":[
{"resource_type":"routes","metadata":{"name":"r-pack"},"spec":{"host":"depot.example","path_prefix":"/pack/","type":"download","target_latency_ms":800,"priority":2,"service":"depotfiles","max_attempts":2,"session_affinity":true,"allowed_regions":[]}},
{"resource_type":"services","metadata":{"name":"depotfiles"},"spec":{"health_path":"/health","max_connections":390,"protocol":"h1","tls":false,"warmup_s":3.0,"warmup_per_s":9.0}},
{"resource_type":"limits","metadata":{},"spec":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_ms":3000,"idle_timeout_ms":15000}}]}"#;

/// What a client has got: status, the length that the head declares, the bytes of the body, and the time from the
/// request to the end.
struct Got {
    status: u16,
    declared: usize,
    read: usize,
    took: Duration,
}

fn read_slowly(mut stream: TcpStream, began: Instant) -> (&'static str, Got) {
    let mut bytes = Vec::new();
    let mut sip = [0; 4_096];
    let mut has_paused = false;
    let end = loop {
        match stream.read(&mut sip) {
            Ok(0) => break "the connection's end",
            Ok(size) => bytes.extend_from_slice(&sip[..size]),
            Err(_) => break "an error of the connection",
        }
        if whole(&bytes).is_some_and(|(_, declared, read)| read >= declared) {
            break "the whole answer";
        }
        if !has_paused {
            thread::sleep(PAUSE);
            has_paused = true;
        }
    };
    let (status, declared, read) = whole(&bytes).unwrap_or((0, 0, 0));
    (end, Got { status, declared, read, took: began.elapsed() })
}

fn whole(bytes: &[u8]) -> Option<(u16, usize, usize)> {
    let end = bytes.windows(4).position(|window| window == b"\r\n\r\n")?;
    let head = parse(&String::from_utf8_lossy(&bytes[..end]));
    Some((head.status(), head.length(), bytes.len() - end - 4))
}

/// Waits for the end of a machine's process, and starts it again, as the platform does after a planned stop.
fn restart(scene: &Scene, instance: &mut Instance, killed_at: Instant) -> Result<(), String> {
    while instance.ended().is_none() && Instant::now() < killed_at {
        thread::sleep(Duration::from_millis(10));
    }
    instance.kill();
    instance.start().map_err(|error| error.to_string())?;
    if !instance.wait_ready() {
        return Err(format!("{} is not ready again", instance.name));
    }
    scene.record.add(format!("{} is started again and ready", instance.name));
    Ok(())
}

/// One machine's turn: a client sends its request, and the machine gets SIGTERM while an upstream works on it.
fn turn(scene: &Scene, instance: &mut Instance, size: usize) -> Result<Got, String> {
    let mut stream = small_connection(instance.callers).ok_or("no connection to an instance")?;
    let id = format!("9c41d07be2{size}");
    let request = format!(
        "GET /pack/{size} HTTP/1.1\r\nHost: depot.example\r\nLockloft-Request-Id: {id}\r\n\
         Lockloft-Affinity-Key: {size}\r\nLockloft-Deadline-Ms: {DEADLINE_MS}\r\n\r\n"
    );
    let began = Instant::now();
    stream.write_all(request.as_bytes()).map_err(|error| error.to_string())?;
    scene.record.add(format!("client of {} sends {id}: GET /pack/{size}", instance.name));
    let client = thread::spawn(move || read_slowly(stream, began));
    thread::sleep(SIGTERM_AFTER);
    if scene.trouble {
        scene.record.add(format!("SIGTERM to {}", instance.name));
        instance.signal(SIGTERM);
    }
    let killed_at = Instant::now() + GRACE;
    let mut has_ended = !scene.trouble;
    while !client.is_finished() {
        if !has_ended {
            if let Some(status) = instance.ended() {
                scene.record.add(format!("{} has ended by itself: {status}", instance.name));
                has_ended = true;
            } else if Instant::now() >= killed_at {
                scene.record.add(format!("SIGKILL to {} at the end of grace_s", instance.name));
                instance.kill();
                has_ended = true;
            }
        }
        thread::sleep(Duration::from_millis(10));
    }
    let (end, got) = client.join().map_err(|_| "a client panicked")?;
    let Got { status, declared, read, took } = &got;
    let took = took.as_millis();
    scene.record.add(format!(
        "client of {id}: {end} after {read} of {declared} bytes, status {status}, {took} ms after the request"
    ));
    if scene.trouble {
        restart(scene, instance, killed_at)?;
    }
    Ok(got)
}

pub fn play(scene: &Scene) -> Outcome {
    let store = Store::start();
    store.put("op/config", CONFIG);
    let work: Arc<Work> = Arc::new(move |upstream, conn, asked| {
        let size = asked.head.second_word().trim_start_matches("/pack/").parse().unwrap_or(0);
        let body: Vec<u8> = (0..size).map(|at| b'a' + (at % 26) as u8).collect();
        upstream.run(conn, asked, WORK, &body)
    });
    let halls = ["a-1", "a-2", "b-1", "b-2"];
    for number in 0..12 {
        let hall = halls[number % halls.len()];
        Upstream::start(&store, &scene.record, &format!("i-{number}"), "depotfiles", hall, work.clone());
    }
    let bounds = Bounds { grace_s: GRACE.as_secs_f64(), memory_mb: 260, retry_slack: 64 };
    let sizes = ANSWERS;
    let new = |number| {
        Instance::new(&scene.folder, &format!("e-{number}"), halls[number % halls.len()], store.address, &bounds)
    };
    let mut instances: Vec<Instance> = (0..sizes.len()).map(new).collect();
    for instance in &mut instances {
        if let Err(error) = instance.start() {
            return Outcome::CouldNotRun(format!("lockloft-entry cannot be started: {error}"));
        }
    }
    if !instances.iter().all(Instance::wait_ready) {
        return Outcome::CouldNotRun("an instance is not ready".to_owned());
    }
    thread::sleep(Duration::from_secs(3));
    let mut results = Vec::new();
    for (instance, size) in instances.iter_mut().zip(sizes) {
        results.push(turn(scene, instance, size));
        thread::sleep(GAP);
    }
    judge(scene, &sizes, results)
}

fn judge(scene: &Scene, sizes: &[usize], results: Vec<Result<Got, String>>) -> Outcome {
    let mut lost = 0;
    for (size, result) in sizes.iter().zip(results) {
        let got = match result {
            Ok(got) => got,
            Err(reason) => return Outcome::CouldNotRun(reason),
        };
        if got.status != 200 {
            return Outcome::CouldNotRun(format!("an answer has the status {}", got.status));
        }
        let is_whole = got.read == got.declared && got.declared == *size;
        if !is_whole && got.took < Duration::from_millis(DEADLINE_MS) {
            lost += 1;
        }
    }
    scene.record.add(format!(
        "LOST: {lost} of {} answers were cut before their clients' deadline, after the upstream had sent them whole",
        sizes.len()
    ));
    if lost > 0 {
        Outcome::Broken
    } else {
        Outcome::Held
    }
}
