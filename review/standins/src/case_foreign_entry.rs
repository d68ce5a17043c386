//! Another writer puts an entry with an impossible time among the upstreams; then the configuration changes.

use crate::http::Conn;
use crate::instance::{Bounds, Instance};
use crate::store::Store;
use crate::upstream::{Upstream, Work};
use crate::{Outcome, Scene};
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// `config_apply_ms`.
const CONFIG_APPLY: Duration = Duration::from_millis(3_000);
/// `contact_ms`: how long nothing has happened to the machines or the store when requests are judged.
const CONTACT: Duration = Duration::from_millis(4_000);

/// The entry: its `warmup_ms` is not the whole number of milliseconds that the field holds, but a number that no 64 bits
/// hold (the most seconds that a signed one counts, in milliseconds).
const FOREIGN: &str = r#"{"address":"127.0.0.1:9","info":{"service":"timetable","version":"v1","zone":"a-1","capacity":6},"status":{"state":"ready","sequence":1,"warmup_ms":9223372036854775807000}}"#;
/// How long a machine that starts again has to become ready.
const READY_AGAIN: Duration = Duration::from_secs(15);

fn config(version: u32, service: &str) -> String {
    let service_item = |name: &str| {
        format!(
            "{{\"resource_type\":\"services\",\"metadata\":{{\"name\":\"{name}\"}},\"spec\":{{\"health_path\":\"/health\",\
             \"max_connections\":390,\"protocol\":\"h1\",\"tls\":false,\"warmup_s\":3.0,\"warmup_per_s\":9.0}}}}"
        )
    };
    format!(
        "{{\"version\":{version},\"resources\":[{{\"resource_type\":\"routes\",\"metadata\":{{\"name\":\"r-look\"}},\
         \"spec\":{{\"host\":\"ferry.example\",\"path_prefix\":\"/look/\",\"type\":\"safe\",\"timeout_ms\":800,\
         \"target_latency_ms\":300,\"priority\":1,\"service\":\"{service}\",\"max_attempts\":2,\"session_affinity\":true,\
         \"allowed_regions\":[]}}}},{},{},{{\"resource_type\":\"limits\",\"metadata\":{{}},\"spec\":{{\
         \"max_header_bytes\":16384,\"max_body_bytes\":67108864,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}]}}",
        service_item("timetable"),
        service_item("booking")
    )
}

/// Status and body of a request; status 0 without an answer.
fn ask(address: SocketAddr, id: &str) -> (u16, String) {
    let answer = || -> std::io::Result<(u16, String)> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_read_timeout(Some(Duration::from_secs(3)))?;
        let mut conn = Conn::new(stream);
        let request = format!(
            "GET /look/{id} HTTP/1.1\r\nHost: ferry.example\r\nLockloft-Request-Id: {id}\r\n\
             Lockloft-Affinity-Key: {id}\r\nLockloft-Deadline-Ms: 2500\r\n\r\n"
        );
        conn.stream.write_all(request.as_bytes())?;
        let Some(head) = conn.head()? else { return Ok((0, String::new())) };
        let body = conn.body(head.length())?;
        Ok((head.status(), String::from_utf8_lossy(&body).into_owned()))
    };
    answer().unwrap_or_default()
}

pub fn play(scene: &Scene) -> Outcome {
    let store = Store::start();
    store.put("op/config", &config(7, "timetable"));
    let halls = ["a-1", "a-2", "b-1"];
    for service in ["timetable", "booking"] {
        let work: Arc<Work> = Arc::new(move |upstream, conn, asked| {
            upstream.run(conn, asked, Duration::from_millis(20), service.as_bytes())
        });
        for hall in halls {
            Upstream::start(&store, &scene.record, &format!("i-{service}-{hall}"), service, hall, work.clone());
        }
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
    thread::sleep(CONTACT);
    if scene.trouble {
        store.put("servers/i-foreign", FOREIGN);
        scene.record.add(format!("another writer puts servers/i-foreign: {FOREIGN}"));
    }
    thread::sleep(Duration::from_secs(1));
    store.put("op/config", &config(8, "booking"));
    scene.record.add("the store has acknowledged version 8: /look/ goes to booking, no longer to timetable");
    thread::sleep(CONFIG_APPLY + CONTACT);
    let (mut old, mut new) = (0, 0);
    for number in 0..30 {
        let instance = &instances[number % instances.len()];
        let id = format!("request-{number}");
        scene.record.add(format!("client sends {id} to {}", instance.name));
        let (status, body) = ask(instance.callers, &id);
        scene.record.add(format!("client gets {status} {body} for {id}"));
        match (status, body.as_str()) {
            (200, "timetable") => old += 1,
            (200, "booking") => new += 1,
            _ => {}
        }
    }
    for instance in &mut instances {
        let (ready, ended) = (instance.is_ready(), instance.ended());
        scene.record.add(format!("{}: ready {ready}, ended {ended:?}", instance.name));
    }
    // For the record alone: what becomes of a machine that starts while the entry is there.
    instances[0].kill();
    scene.record.add("e-0 is killed and started again");
    if let Err(error) = instances[0].start() {
        return Outcome::CouldNotRun(format!("lockloft-entry cannot be started: {error}"));
    }
    let ready = instances[0].wait_ready_for(READY_AGAIN);
    scene.record.add(format!("e-0 is ready again within {} s: {ready}", READY_AGAIN.as_secs()));
    scene.record.add(format!(
        "CONFIG: {old} requests ran by version 7 alone, {new} by version 8, of 30 sent 7 s after its acknowledgement"
    ));
    match (old, new) {
        (0, 1..) => Outcome::Held,
        (1.., _) => Outcome::Broken,
        _ => Outcome::CouldNotRun("nothing was served".to_owned()),
    }
}
