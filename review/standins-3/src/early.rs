//! Uploads to upstreams of which some answer before they have read the whole body, keep the connection and go on
//! reading. Each body has to reach its upstream as it was sent.

use crate::Verdict;
use crate::http::{Head, connect, listen, split};
use crate::record::Record;
use crate::share::Share;
use crate::system::{HOST, System, ZONES, configuration, registration};
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const SERVICE: &str = "docs-intake";
/// Upstreams, in two zones.
const UPSTREAMS: u32 = 4;
/// Upstreams that answer early: a share of .5, the default of `garble`.
const EARLY_UPSTREAMS: u32 = 2;
/// Of five long requests in a row, such an upstream answers the last ones early: at no time more than .4 of them, the
/// most on the days of the site.
const EARLY_OF_FIVE: u32 = 2;
/// How long it does so, from its first request on; 6 s on the days of the site.
const TROUBLE_TIME: Duration = Duration::from_secs(5);
/// Time after an early answer from which on the upstream goes on reading the body.
const READ_ON_AFTER: Duration = Duration::from_millis(300);
/// Time for which an upstream keeps an idle connection, as its answers state it, in seconds.
const KEEP_ALIVE_S: u32 = 1;
/// Size of a body: that of the largest manifests of the ferry deployment.
const BODY_SIZE: usize = 360_000;
/// Size of the pieces in which a client sends it, and the time between them: 60 ms in all.
const PIECE_SIZE: usize = 60_000;
const PIECE_INTERVAL: Duration = Duration::from_millis(10);
const CLIENTS: u32 = 4;
const UPLOADS_PER_CLIENT: u32 = 15;
/// Time after which no client begins another upload: a bound for a system that answers nothing.
const MAX_PLAY_TIME: Duration = Duration::from_secs(60);
const DEADLINE_MS: u64 = 3_000;
/// Time after the last upload in which upstreams may still be reading.
const SETTLE_TIME: Duration = Duration::from_secs(4);

/// What an upstream has received of a request.
struct Run {
    id: String,
    upstream: String,
    is_early: bool,
    received: usize,
    is_intact: bool,
    end: &'static str,
}

/// What a client has sent and got.
struct Upload {
    id: String,
    sent: usize,
    status: u16,
    signature: String,
}

/// The byte of a body at a position; differs from body to body.
fn byte_at(id: &str, position: usize) -> u8 {
    let seed = id.bytes().fold(7u8, |seed, byte| seed.wrapping_mul(31).wrapping_add(byte));
    seed.wrapping_add((position / 251) as u8)
}

/// Serves one connection of an upstream.
fn serve(stream: TcpStream, upstream: &str, early: Option<&Share>, runs: &Mutex<Vec<Run>>) -> io::Result<()> {
    let (mut reader, mut writer) = split(stream)?;
    while let Some(head) = Head::read(&mut reader)? {
        if head.first[1] == "/health" {
            write!(writer, "HTTP/1.1 200 OK\r\nLockloft-Instance-Id: {upstream}\r\nContent-Length: 0\r\n\r\n")?;
            continue;
        }
        let id = head.header("lockloft-request-id").to_owned();
        if head.header("lockloft-expect-instance") != upstream {
            head.read_body(&mut reader)?;
            write!(
                writer,
                "HTTP/1.1 421 -\r\nLockloft-Request-Id: {id}\r\nLockloft-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
            )?;
            continue;
        }
        let length = head.length();
        let answer = format!(
            "HTTP/1.1 200 OK\r\nLockloft-Request-Id: {id}\r\nLockloft-Response-Signature: {upstream}.{id}\r\nLockloft-Server-Load: 1,0,6\r\nKeep-Alive: timeout={KEEP_ALIVE_S}\r\nContent-Length: 8\r\n\r\naccepted"
        );
        let is_early = early.is_some_and(|early| early.strikes(EARLY_OF_FIVE, TROUBLE_TIME));
        if is_early {
            writer.write_all(answer.as_bytes())?;
            thread::sleep(READ_ON_AFTER);
        }
        let mut run = Run { id, upstream: upstream.to_owned(), is_early, received: 0, is_intact: true, end: "whole" };
        let mut buffer = vec![0; 32 << 10];
        while run.received < length {
            let size = buffer.len().min(length - run.received);
            match reader.read(&mut buffer[..size]) {
                Ok(0) => run.end = "closed",
                Err(_) => run.end = "reset",
                Ok(count) => {
                    let read = buffer[..count].iter().enumerate();
                    run.is_intact &= read.into_iter().all(|(at, byte)| *byte == byte_at(&run.id, run.received + at));
                    run.received += count;
                    continue;
                }
            }
            break;
        }
        let is_whole = run.end == "whole";
        runs.lock().expect("no holder panics").push(run);
        if !is_whole {
            return Ok(());
        }
        if !is_early {
            writer.write_all(answer.as_bytes())?;
        }
    }
    Ok(())
}

/// Sends one upload to its end, whatever comes back meanwhile, and reads the answer.
fn upload(address: SocketAddr, id: &str) -> Upload {
    let mut upload = Upload { id: id.to_owned(), sent: 0, status: 0, signature: String::new() };
    let mut exchange = || -> io::Result<()> {
        let (mut reader, mut writer) = split(connect(address, Duration::from_millis(DEADLINE_MS))?)?;
        write!(
            writer,
            "POST /{SERVICE}/manifest HTTP/1.1\r\nHost: {HOST}\r\nLockloft-Request-Id: {id}\r\nLockloft-Affinity-Key: {id}\r\nLockloft-Deadline-Ms: {DEADLINE_MS}\r\nContent-Length: {BODY_SIZE}\r\n\r\n"
        )?;
        let body: Vec<u8> = (0..BODY_SIZE).map(|position| byte_at(id, position)).collect();
        for piece in body.chunks(PIECE_SIZE) {
            writer.write_all(piece)?;
            upload.sent += piece.len();
            thread::sleep(PIECE_INTERVAL);
        }
        let head = Head::read(&mut reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
        head.read_body(&mut reader)?;
        upload.status = head.first.get(1).and_then(|status| status.parse().ok()).unwrap_or(0);
        upload.signature = head.header("lockloft-response-signature").to_owned();
        Ok(())
    };
    // Without an answer the status is 0.
    let _ = exchange();
    upload
}

/// Plays the case.
pub fn play(has_trouble: bool, record: &mut Record) -> io::Result<Verdict> {
    let runs: Arc<Mutex<Vec<Run>>> = Arc::default();
    let system = System::start(&configuration(SERVICE, "upload"), |store| {
        for number in 0..UPSTREAMS {
            let id = format!("i-{number}");
            let early = (has_trouble && number < EARLY_UPSTREAMS).then(Share::default);
            let (served, runs) = (id.clone(), runs.clone());
            let address = listen(move |stream| drop(serve(stream, &served, early.as_ref(), &runs)));
            // Early ones and others in each zone.
            let (key, value) = registration(&id, SERVICE, address, ZONES[number as usize % 2].0);
            store.put(&key, &value);
        }
    })?;
    thread::sleep(Duration::from_secs(1));
    let end = Instant::now() + MAX_PLAY_TIME;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let address = system.instances[client as usize % system.instances.len()].frontend;
            let name = move |number| format!("upload-{client}-{number}");
            thread::spawn(move || {
                (0..UPLOADS_PER_CLIENT)
                    .take_while(|_| Instant::now() < end)
                    .map(|number| upload(address, &name(number)))
                    .collect::<Vec<_>>()
            })
        })
        .collect();
    let uploads: Vec<Upload> =
        clients.into_iter().flat_map(|client| client.join().expect("clients do not panic")).collect();
    thread::sleep(SETTLE_TIME);
    drop(system);
    let runs = runs.lock().expect("no holder panics");
    Ok(judge(&uploads, &runs, record))
}

/// The rule: no upstream runs a request whose body was changed. Only uploads count that the client has sent to the
/// end and for which it has a success of the upstream.
fn judge(uploads: &[Upload], runs: &[Run], record: &mut Record) -> Verdict {
    let (mut succeeded, mut early, mut changed) = (0, 0, 0);
    for Upload { id, sent, status, signature } in uploads {
        record.line(&format!("{id}: sent {sent} of {BODY_SIZE}; answered {status}, signature {signature:?}"));
        for Run { upstream, is_early, received, is_intact, end, .. } in runs.iter().filter(|run| run.id == *id) {
            let when = if *is_early { "before it had read the body" } else { "after it had read the body" };
            record.line(&format!("  run by {upstream}, answered {when}: received {received} of {BODY_SIZE}, then {end}; bytes as sent: {is_intact}"));
            early += u32::from(*is_early);
            let has_success = *sent == BODY_SIZE && *status == 200 && signature.starts_with(&format!("{upstream}."));
            succeeded += u32::from(has_success);
            if has_success && (*received < BODY_SIZE || !is_intact) {
                changed += 1;
                record.line("  BROKEN: the client has the upstream's success, and the upstream has not got its body");
            }
        }
    }
    record.line(&format!(
        "uploads {}, succeeded {succeeded}, answered early {early}, bodies lost or changed {changed}",
        uploads.len()
    ));
    match (changed, succeeded) {
        (0, 0) => Verdict::NotRun,
        (0, _) => Verdict::Held,
        _ => Verdict::Broken,
    }
}
