//! Purchases at upstreams of which some send more after a whole answer: bytes that belong to no request, and that
//! arrive late, in the place where the next answer is due. A purchase runs once at most all the same.

use crate::Verdict;
use crate::http::{Head, connect, listen, split};
use crate::record::Record;
use crate::system::{HOST, System, ZONES, configuration, registration};
use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU32, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

const SERVICE: &str = "booking";
/// Upstreams, in two zones.
const UPSTREAMS: u32 = 4;
/// Upstreams that hand out wrong bytes: two of four, a share of .5, the default.
const FAULTY_UPSTREAMS: u32 = 2;
/// Such an upstream sends more after each 34th answer: .029; the site has .03 with "extra late".
const SURPLUS_EVERY: u32 = 34;
/// What it sends then: these bytes belong to no request, as they have no id.
const SURPLUS: &str = "HTTP/1.1 503 Service Unavailable\r\nLockloft-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
const WORK_TIME: Duration = Duration::from_millis(60);
const CLIENTS: u32 = 6;
const PURCHASES_PER_CLIENT: u32 = 150;
const DEADLINE_MS: u64 = 3_000;

/// What a client got for a purchase.
struct Attempt {
    id: String,
    status: u16,
    signature: String,
}

/// A request that an upstream has begun to work on.
struct Run {
    id: String,
    upstream: String,
    is_after_surplus: bool,
}

type Runs = Arc<Mutex<Vec<Run>>>;

fn serve(stream: TcpStream, upstream: &str, answers: Option<&AtomicU32>, runs: &Runs) -> io::Result<()> {
    let (mut reader, mut writer) = split(stream)?;
    let mut owes_surplus = false;
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
        let is_after_surplus = std::mem::take(&mut owes_surplus);
        if is_after_surplus {
            writer.write_all(SURPLUS.as_bytes())?;
        }
        let run = Run { id: id.clone(), upstream: upstream.to_owned(), is_after_surplus };
        runs.lock().expect("no holder panics").push(run);
        thread::sleep(WORK_TIME);
        write!(
            writer,
            "HTTP/1.1 200 OK\r\nLockloft-Request-Id: {id}\r\nLockloft-Response-Signature: {upstream}.{id}\r\nLockloft-Server-Load: 0,0,6\r\nContent-Length: 4\r\n\r\ndone"
        )?;
        owes_surplus = answers.is_some_and(|count| count.fetch_add(1, Relaxed) % SURPLUS_EVERY == SURPLUS_EVERY - 1);
    }
    Ok(())
}

fn attempt(address: SocketAddr, id: &str) -> Attempt {
    let mut attempt = Attempt { id: id.to_owned(), status: 0, signature: String::new() };
    let mut exchange = || -> io::Result<()> {
        let (mut reader, mut writer) = split(connect(address, Duration::from_millis(DEADLINE_MS))?)?;
        write!(
            writer,
            "POST /{SERVICE}/cabin HTTP/1.1\r\nHost: {HOST}\r\nLockloft-Request-Id: {id}\r\nLockloft-Affinity-Key: {id}\r\nLockloft-Deadline-Ms: {DEADLINE_MS}\r\nContent-Length: 5\r\n\r\ncabin"
        )?;
        let head = Head::read(&mut reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
        head.read_body(&mut reader)?;
        attempt.status = head.first.get(1).and_then(|status| status.parse().ok()).unwrap_or(0);
        attempt.signature = head.header("lockloft-response-signature").to_owned();
        Ok(())
    };
    // Without an answer the status is 0. No purchase is repeated, so that each id is sent once.
    let _ = exchange();
    attempt
}

/// Plays the case.
pub fn play(has_trouble: bool, record: &mut Record) -> io::Result<Verdict> {
    let runs = Runs::default();
    let system = System::start(&configuration(SERVICE, "unsafe"), |store| {
        for number in 0..UPSTREAMS {
            let id = format!("i-{number}");
            let answers = (has_trouble && number < FAULTY_UPSTREAMS).then(AtomicU32::default);
            let (served, runs) = (id.clone(), runs.clone());
            let address = listen(move |stream| drop(serve(stream, &served, answers.as_ref(), &runs)));
            let (key, value) = registration(&id, SERVICE, address, ZONES[number as usize % 2].0);
            store.put(&key, &value);
        }
    })?;
    thread::sleep(Duration::from_secs(1));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let address = system.instances[client as usize % system.instances.len()].frontend;
            let buy = move |number| attempt(address, &format!("purchase-{client}-{number}"));
            thread::spawn(move || (0..PURCHASES_PER_CLIENT).map(buy).collect::<Vec<_>>())
        })
        .collect();
    let attempts: Vec<Attempt> =
        clients.into_iter().flat_map(|client| client.join().expect("clients do not panic")).collect();
    drop(system);
    let runs = runs.lock().expect("no holder panics");
    Ok(judge(&attempts, &runs, record))
}

/// The rule: a request that is not idempotent is not run more than once. A promise that it has not run is counted
/// as well, for the record.
fn judge(attempts: &[Attempt], runs: &[Run], record: &mut Record) -> Verdict {
    let (mut served, mut twice, mut refused, mut surplus) = (0, 0, 0, 0);
    for Attempt { id, status, signature } in attempts {
        record.line(&format!("{id}: answered {status}, signature {signature:?}"));
        served += u32::from(*status == 200);
        let own: Vec<&Run> = runs.iter().filter(|run| run.id == *id).collect();
        for Run { upstream, is_after_surplus, .. } in &own {
            surplus += u32::from(*is_after_surplus);
            let when = if *is_after_surplus { ", which had sent surplus bytes just before" } else { "" };
            record.line(&format!("  run by {upstream}{when}"));
        }
        if own.len() > 1 {
            twice += 1;
            record.line("  BROKEN: it ran more than once");
        }
        refused += u32::from(!own.is_empty() && matches!(status, 408 | 421 | 429 | 503));
    }
    let sent = attempts.len();
    record.line(&format!(
        "purchases {sent}, served {served}, after surplus bytes {surplus}, run more than once {twice}, promised not to have run and run {refused}"
    ));
    match (twice, served) {
        (0, 0) => Verdict::NotRun,
        (0, _) => Verdict::Held,
        _ => Verdict::Broken,
    }
}
