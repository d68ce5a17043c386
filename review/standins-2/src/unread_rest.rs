//! LOST: an upstream answers a long upload before it has read it, keeps the connection and reads on later, as it may; a
//! purchase is put behind the unread rest, and a planned stop ends it without an answer.

use crate::caller::{Sent, request, send};
use crate::instance::Instance;
use crate::record::{Record, Temporary};
use bytes::Bytes;
use serde_json::json;
use standins::ports::free_address;
use standins::site::{RouteSpec, config};
use standins::store::Store;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

const HALLS: [(&str, &str); 2] = [("batumi-terminal", "batumi"), ("poti-quay", "poti")];
const SERVICE: &str = "booking";
/// The largest upload of the site, bytes.
const UPLOAD: usize = 360_000;
/// Uploads that are answered once they are read. Those behind them are sent until u-0 gets one and answers it early.
const UPLOADS: usize = 100;
const MORE_UPLOADS: usize = 10;
/// Time after which an upstream reads on.
const LATER: Duration = Duration::from_secs(7);
const WORK: Duration = Duration::from_millis(100);
const PURCHASES: usize = 12;
const DEADLINE_MS: u64 = 8_000;
const GRACE: Duration = Duration::from_secs(6);
/// `loss_slack_ms`.
const SLACK: Duration = Duration::from_millis(200);

type Lines = Arc<Mutex<Vec<(Instant, String)>>>;

pub async fn run(folder: &Path, trouble: bool) -> Result<bool, String> {
    let mut record = Record::new();
    let temporary = Temporary::new()?;
    let store = Store::start();
    let endpoint = store.endpoint().await.map_err(|error| error.to_string())?;
    let lines = Lines::default();
    for (number, (hall, _)) in HALLS.iter().enumerate() {
        let (id, address) = (format!("u-{number}"), free_address());
        let listener = TcpListener::bind(address).await.map_err(|error| error.to_string())?;
        tokio::spawn(accept(listener, id.clone(), lines.clone()));
        let entry = json!({
            "address": address.to_string(),
            "info": {"service": SERVICE, "zone": hall, "version": "1", "capacity": 6},
            "status": {"state": "ready", "sequence": 1, "warmup_ms": 0},
        });
        store.put(&format!("servers/{id}"), entry.to_string());
    }
    let routes = [RouteSpec::new("/manifests/", "upload", SERVICE), RouteSpec::new("/tickets/", "unsafe", SERVICE)];
    store.put("op/config", config(1, &routes, &[SERVICE], &[]));
    let mut instances: Vec<Instance> = [("e-1", HALLS[0].0), ("e-2", HALLS[1].0)]
        .map(|(name, hall)| Instance::new(&temporary.0, name, hall, endpoint.address, &HALLS))
        .into();
    instances.iter_mut().for_each(Instance::start);
    for instance in &instances {
        instance.wait_ready().await?;
    }
    sleep(Duration::from_secs(5)).await;
    let to: (String, SocketAddr) = (instances[0].name.clone(), instances[0].callers);
    let mut sent: Vec<Sent> = Vec::new();
    for number in 0..UPLOADS + MORE_UPLOADS {
        let id = format!("{}-{number}", if number < UPLOADS { "upload" } else { "early" });
        let body = Bytes::from(vec![b'm'; UPLOAD]);
        let request = request("POST", "/manifests/1", &id, &number.to_string(), DEADLINE_MS, body);
        sent.push(send(&to.0, to.1, request).await);
        if sent[number].status == Some(500) {
            break;
        }
    }
    if sent.last().is_none_or(|last| last.status != Some(500)) {
        return Err("no upload was answered early".to_owned());
    }
    let mut tasks = Vec::new();
    for number in 0..PURCHASES {
        let request = request(
            "POST",
            "/tickets/1",
            &format!("purchase-{number}"),
            &number.to_string(),
            DEADLINE_MS,
            Bytes::from("one"),
        );
        let to = to.clone();
        tasks.push(tokio::spawn(async move { send(&to.0, to.1, request).await }));
        sleep(Duration::from_millis(20)).await;
    }
    let stop = Instant::now();
    if trouble {
        instances[0].signal(libc::SIGTERM);
        record.line(stop, "e-1 gets SIGTERM".to_owned());
    }
    for task in tasks {
        sent.push(task.await.map_err(|error| error.to_string())?);
    }
    let mut lost = 0;
    for one in &sent {
        let outcome = one.status.map_or("no whole answer".to_owned(), |status| status.to_string());
        record.line(one.at, format!("{} sent to {}", one.id, one.instance));
        record.line(one.ended, format!("{} from {}: {outcome} {}", one.id, one.instance, one.body));
        let took = one.ended - one.at;
        let around = trouble && one.ended > stop && one.at <= stop + GRACE;
        if around && one.status.is_none() && took > SLACK && took < Duration::from_millis(DEADLINE_MS) {
            lost += 1;
            record.line(
                one.ended,
                format!(
                    "LOST: {} was sent {} ms before the connection ended without an answer",
                    one.id,
                    took.as_millis()
                ),
            );
        }
    }
    for (at, line) in lines.lock().unwrap().drain(..) {
        record.line(at, line);
    }
    let purchases = sent.iter().filter(|one| one.path == "/tickets/1");
    let slowest = purchases.clone().map(|one| (one.ended - one.at).as_millis()).max().unwrap_or_default();
    let answered = purchases.filter(|one| one.status == Some(200)).count();
    record.note(format!(
        "purchases {PURCHASES}, of them 200: {answered}, the slowest took {slowest} ms; lost by the stop: {lost}"
    ));
    record.write(folder)?;
    Ok(lost > 0)
}

async fn accept(listener: TcpListener, id: String, lines: Lines) {
    loop {
        let Ok((stream, _)) = listener.accept().await else { continue };
        let _ = stream.set_nodelay(true);
        tokio::spawn(serve(stream, id.clone(), lines.clone()));
    }
}

/// Answers the requests of a connection one after the other.
async fn serve(mut stream: TcpStream, own: String, lines: Lines) -> Option<()> {
    let mut read: Vec<u8> = Vec::new();
    loop {
        let end = loop {
            if let Some(end) = read.windows(4).position(|four| four == b"\r\n\r\n") {
                break end + 4;
            }
            read_more(&mut stream, &mut read).await?;
        };
        let head = String::from_utf8_lossy(&read[..end]).to_lowercase();
        read.drain(..end);
        let field = |name: &str| head.lines().find_map(|line| line.strip_prefix(name)).map_or("", str::trim).to_owned();
        let (id, expected) = (field("lockloft-request-id:"), field("lockloft-expect-instance:"));
        let length: usize = field("content-length:").parse().unwrap_or(0);
        let note = |text: &str| lines.lock().unwrap().push((Instant::now(), format!("{id} {text} {own}")));
        // One of the two upstreams does so.
        let is_early = own == "u-0" && id.starts_with("early-");
        if is_early {
            note("is answered before it is read by");
            answer(&mut stream, "500 Internal Server Error", &id, "failed").await?;
            sleep(LATER).await;
            note("is read on by");
        }
        while read.len() < length {
            read_more(&mut stream, &mut read).await?;
        }
        read.drain(..length);
        if is_early {
            continue;
        }
        if head.starts_with("get /health") {
            let text = format!("HTTP/1.1 200 OK\r\nLockloft-Instance-Id: {own}\r\nContent-Length: 0\r\n\r\n");
            stream.write_all(text.as_bytes()).await.ok()?;
            continue;
        }
        if !expected.is_empty() && expected != own {
            answer(&mut stream, "421 Misdirected Request", &id, "").await?;
            continue;
        }
        note("runs at");
        sleep(WORK).await;
        answer(&mut stream, "200 OK", &id, &own).await?;
    }
}

async fn answer(stream: &mut TcpStream, status: &str, id: &str, body: &str) -> Option<()> {
    let not_run = if status.starts_with("421") { "Lockloft-Not-Executed: 1\r\n" } else { "" };
    let text = format!(
        "HTTP/1.1 {status}\r\nLockloft-Request-Id: {id}\r\nLockloft-Response-Signature: signed-{id}\r\n{not_run}\
         Lockloft-Server-Load: 0,0,6\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(text.as_bytes()).await.ok()
}

async fn read_more(stream: &mut TcpStream, read: &mut Vec<u8>) -> Option<()> {
    let mut buffer = vec![0; 64 << 10];
    let size = stream.read(&mut buffer).await.ok().filter(|size| *size > 0)?;
    read.extend_from_slice(&buffer[..size]);
    Some(())
}
