//! Purchases at upstreams of which one fails a part of its requests: it begins to work, and then answers 503. Only
//! an answer with `Lockloft-Not-Executed` says that the request has not run, so that no client may be given a 503
//! for such a purchase: it promises that the purchase has not run, and the client sends it again.

use crate::Verdict;
use crate::http::{Head, connect, listen, split};
use crate::record::Record;
use crate::share::Share;
use crate::system::{HOST, System, ZONES, configuration, registration};
use std::collections::HashMap;
use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const SERVICE: &str = "booking";
/// Upstreams, in two zones.
const UPSTREAMS: u32 = 7;
/// Upstreams that fail: one of seven, a share of .143; the largest is .15.
const FAILING_UPSTREAMS: u32 = 1;
/// Of five requests in a row, such an upstream fails the last ones: at no time more than .4 of them, the default.
const FAILED_OF_FIVE: u32 = 2;
/// How long it does so, from its first request on; 5 s is the default, and 6.5 s the most at the site.
const TROUBLE_TIME: Duration = Duration::from_secs(5);
const WORK_TIME: Duration = Duration::from_millis(60);
const CLIENTS: u32 = 6;
const PURCHASES_PER_CLIENT: u32 = 60;
/// Time after which no client begins another purchase: a bound for a system that answers nothing.
const MAX_PLAY_TIME: Duration = Duration::from_secs(60);
const DEADLINE_MS: u64 = 3_000;

/// What a client got for one attempt.
struct Attempt {
    purchase: String,
    id: String,
    status: u16,
    signature: String,
}

type Runs = Arc<Mutex<Vec<(String, String, u16)>>>;

fn serve(stream: TcpStream, upstream: &str, failing: Option<&Share>, runs: &Runs) -> io::Result<()> {
    let (mut reader, mut writer) = split(stream)?;
    while let Some(head) = Head::read(&mut reader)? {
        head.read_body(&mut reader)?;
        if head.first[1] == "/health" {
            write!(writer, "HTTP/1.1 200 OK\r\nLockloft-Instance-Id: {upstream}\r\nContent-Length: 0\r\n\r\n")?;
            continue;
        }
        let id = head.header("lockloft-request-id").to_owned();
        if head.header("lockloft-expect-instance") != upstream {
            write!(
                writer,
                "HTTP/1.1 421 -\r\nLockloft-Request-Id: {id}\r\nLockloft-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
            )?;
            continue;
        }
        let fails = failing.is_some_and(|failing| failing.strikes(FAILED_OF_FIVE, TROUBLE_TIME));
        let status = if fails { 503 } else { 200 };
        runs.lock().expect("no holder panics").push((id.clone(), upstream.to_owned(), status));
        thread::sleep(WORK_TIME);
        write!(
            writer,
            "HTTP/1.1 {status} -\r\nLockloft-Request-Id: {id}\r\nLockloft-Response-Signature: {upstream}.{id}\r\nLockloft-Server-Load: 0,0,6\r\nContent-Length: 4\r\n\r\ndone"
        )?;
    }
    Ok(())
}

fn attempt(address: SocketAddr, purchase: &str, id: &str) -> (Attempt, Duration) {
    let mut attempt = Attempt { purchase: purchase.to_owned(), id: id.to_owned(), status: 0, signature: String::new() };
    let mut wait = Duration::ZERO;
    let mut exchange = || -> io::Result<()> {
        let (mut reader, mut writer) = split(connect(address, Duration::from_millis(DEADLINE_MS))?)?;
        write!(
            writer,
            "POST /{SERVICE}/{purchase} HTTP/1.1\r\nHost: {HOST}\r\nLockloft-Request-Id: {id}\r\nLockloft-Affinity-Key: {purchase}\r\nLockloft-Deadline-Ms: {DEADLINE_MS}\r\nContent-Length: 5\r\n\r\ncabin"
        )?;
        let head = Head::read(&mut reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
        head.read_body(&mut reader)?;
        attempt.status = head.first.get(1).and_then(|status| status.parse().ok()).unwrap_or(0);
        attempt.signature = head.header("lockloft-response-signature").to_owned();
        wait = Duration::try_from_secs_f64(head.header("retry-after").parse().unwrap_or(0.0)).unwrap_or_default();
        Ok(())
    };
    // Without an answer the status is 0, and the client does not repeat a purchase.
    let _ = exchange();
    (attempt, wait.min(Duration::from_secs(1)))
}

/// A purchase: one attempt, and a second one after a promise that the first has not run.
fn buy(address: SocketAddr, purchase: &str) -> Vec<Attempt> {
    let (first, wait) = attempt(address, purchase, &format!("{purchase}-a"));
    if !matches!(first.status, 408 | 421 | 429 | 503) {
        return vec![first];
    }
    thread::sleep(wait);
    vec![first, attempt(address, purchase, &format!("{purchase}-b")).0]
}

/// Plays the case.
pub fn play(has_trouble: bool, record: &mut Record) -> io::Result<Verdict> {
    let runs = Runs::default();
    let system = System::start(&configuration(SERVICE, "unsafe"), |store| {
        for number in 0..UPSTREAMS {
            let id = format!("i-{number}");
            let failing = (has_trouble && number < FAILING_UPSTREAMS).then(Share::default);
            let (served, runs) = (id.clone(), runs.clone());
            let address = listen(move |stream| drop(serve(stream, &served, failing.as_ref(), &runs)));
            let (key, value) = registration(&id, SERVICE, address, ZONES[number as usize % 2].0);
            store.put(&key, &value);
        }
    })?;
    thread::sleep(Duration::from_secs(1));
    let end = Instant::now() + MAX_PLAY_TIME;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let address = system.instances[client as usize % system.instances.len()].frontend;
            let buy = move |number| buy(address, &format!("purchase-{client}-{number}"));
            thread::spawn(move || {
                (0..PURCHASES_PER_CLIENT).take_while(|_| Instant::now() < end).flat_map(buy).collect::<Vec<_>>()
            })
        })
        .collect();
    let attempts: Vec<Attempt> =
        clients.into_iter().flat_map(|client| client.join().expect("clients do not panic")).collect();
    drop(system);
    let runs = runs.lock().expect("no holder panics");
    Ok(judge(&attempts, &runs, record))
}

/// The rule: a request that is not idempotent and is given 408, 421, 429 or 503 has not run.
fn judge(attempts: &[Attempt], runs: &[(String, String, u16)], record: &mut Record) -> Verdict {
    let (mut served, mut broken) = (0, 0);
    let mut times: HashMap<&str, u32> = HashMap::new();
    for Attempt { purchase, id, status, signature } in attempts {
        record.line(&format!("{purchase}: sent as {id}; answered {status}, signature {signature:?}"));
        served += u32::from(*status == 200);
        for (_, upstream, answer) in runs.iter().filter(|(run, _, _)| run == id) {
            record.line(&format!("  run by {upstream}, which answered {answer} without Lockloft-Not-Executed"));
            *times.entry(purchase.as_str()).or_default() += 1;
            if matches!(status, 408 | 421 | 429 | 503) {
                broken += 1;
                record.line("  BROKEN: the client is told that it has not run, and it has");
            }
        }
    }
    let twice = times.values().filter(|count| **count > 1).count();
    record.line(&format!(
        "attempts {}, served {served}, promised not to have run and run {broken}, purchases run more than once {twice}",
        attempts.len()
    ));
    match (broken, served) {
        (0, 0) => Verdict::NotRun,
        (0, _) => Verdict::Held,
        _ => Verdict::Broken,
    }
}
