//! Peers that answer with odd figures, and odd figures at the peers' address: later changes are in force in
//! time at each instance, and no process ends.

mod common;

use common::program;
use http_body_util::Full;
use hyper::{Response, StatusCode};
use lockloft::model::allowances::{AllowanceRequest, AllowanceUse};
use lockloft::model::rate_limits::{AnnouncedRate, LimitReport, StartKey, TargetDemand};
use lockloft::model::usage::{ShortKey, TargetLoad, Usage, UsageReport, encode};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::{Value, json};
use standins::entries::fleet::{APPLY_BOUND, Fleet, status};
use standins::entries::mutation::{nested, with_text};
use standins::entries::odd;
use standins::http::{self, Closed, raw, serve};
use standins::ports::own_ip;
use standins::scene::{look_route, start_target};
use standins::site::{InstanceProcess, RouteSpec, Site};
use standins::wait::POLL_INTERVAL;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

/// Halls of the instances that hear odd answers, one in each.
const HALLS: [&str; 5] = ["a-1", "a-2", "a-3", "b-1", "c-1"];
/// Hall of the instance whose answers are changed.
const HONEST_HALL: &str = "b-2";
/// Size of a body that is larger than a view may be, bytes.
const TOO_LARGE: usize = 13 << 20;
/// Time until an instance that starts has a view.
const START_BOUND: Duration = Duration::from_secs(5);

/// What a peer changes in the answers of another instance.
#[derive(Clone)]
enum Change {
    /// The text of a field.
    Field(&'static str, &'static str),
    /// A header.
    Header(&'static str, &'static str),
    /// One more event.
    Event(Value),
    /// The whole body.
    Body(Vec<u8>),
}

impl Change {
    /// The changed answer.
    fn response(&self, body: &[u8]) -> Response<Full<bytes::Bytes>> {
        let mut answer: Value = serde_json::from_slice(body).unwrap_or_default();
        let (body, header) = match self {
            Change::Field(name, text) => {
                answer[*name] = json!(0);
                (with_text(&answer, &format!("/{name}"), text).into_bytes(), None)
            }
            Change::Header(name, value) => (body.to_vec(), Some((*name, *value))),
            Change::Event(event) => {
                answer["events"].as_array_mut().into_iter().for_each(|events| events.push(event.clone()));
                (answer.to_string().into_bytes(), None)
            }
            Change::Body(body) => (body.clone(), None),
        };
        let mut response = http::text(StatusCode::OK, body);
        if let Some((name, value)) = header {
            response.headers_mut().insert(name, value.parse().expect("it is a header value"));
        }
        response
    }
}

/// Changes with which an answer is odd in one figure, or no answer of a peer at all.
fn answers() -> Vec<(String, Change)> {
    let mut found = Vec::new();
    for name in ["at", "era", "age_ms", "returned_ms"] {
        for text in ["18446744073709551615", "9223372036854775807", "9.3e21", "1e400", "-1", "null", "\"1\""] {
            found.push((format!("{name} {text}"), Change::Field(name, text)));
        }
    }
    for header in ["9223372036854775807", "-9223372036854775808", "1e400", "-1", ""] {
        found.push((format!("computed-after-ms {header}"), Change::Header("computed-after-ms", header)));
    }
    let top = json!({"key": "other/key", "revision": u64::MAX, "value": ""});
    let config = json!({"key": "op/config", "revision": u64::MAX, "value": "e30="});
    let removed = json!({"key": "servers/none", "revision": u64::MAX});
    found.extend([
        ("an item at the top revision".to_owned(), Change::Event(top)),
        ("a configuration at the top revision".to_owned(), Change::Event(config)),
        ("a removal at the top revision".to_owned(), Change::Event(removed)),
        ("broken gzip".to_owned(), Change::Header("content-encoding", "gzip")),
        ("deep".to_owned(), Change::Body(nested(100_000).into_bytes())),
        ("too large".to_owned(), Change::Body(vec![b' '; TOO_LARGE])),
    ]);
    found
}

/// A peer that answers as the instance at `honest` does, but for a change.
async fn stand_in(honest: SocketAddr, change: Change) -> (SocketAddr, JoinHandle<()>) {
    let listener = TcpListener::bind((own_ip(), 0)).await.unwrap();
    let address = listener.local_addr().unwrap();
    let task = serve(listener, move |request| {
        let change = change.clone();
        let path = request.uri().to_string();
        async move {
            let reply = http::get(honest, &path).await.map_err(|_| Closed)?;
            Ok(change.response(&reply.body))
        }
    });
    (address, task)
}

/// The answers after which a change is not in force at an instance in time, or it has ended or is not ready.
async fn broken_by(site: &Site, instances: &mut [InstanceProcess], part: &[(String, Change)]) -> Vec<String> {
    site.configure(2, &[look_route(), RouteSpec::new("/new/", "safe", "shop")], &["shop"]);
    let acknowledged = Instant::now();
    let mut broken = Vec::new();
    for (instance, (what, _)) in instances.iter_mut().zip(part) {
        while status(instance).await.is_ok_and(|status| status["config"] != 2) && acknowledged.elapsed() < APPLY_BOUND {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        let is_followed = status(instance).await.is_ok_and(|status| status["config"] == 2);
        let has_panicked = instance.log().contains("panicked");
        if !is_followed || has_panicked || instance.has_exited() || !instance.is_ready().await {
            broken.push(format!("{what}: followed {is_followed}, panicked {has_panicked}"));
            eprintln!("{what}:\n{}", instance.log());
        }
    }
    broken
}

#[tokio::test(flavor = "multi_thread")]
async fn seeds_that_answer_odd_figures_hide_no_later_change() {
    let mut broken = Vec::new();
    for part in answers().chunks(HALLS.len()) {
        let site = Site::start(program()).await;
        let _target = start_target(&site, "u-1", "a-1").await;
        site.configure(1, &[look_route()], &["shop"]);
        let honest = site.ready_instance("honest", HONEST_HALL).await;
        let (mut instances, mut tasks) = (Vec::new(), Vec::new());
        for ((_, change), hall) in part.iter().zip(HALLS) {
            let (seed, task) = stand_in(honest.peers, change.clone()).await;
            let mut instance = site.instance_at(&format!("e-{hall}"), hall, &site.endpoint, &[seed]);
            instance.start();
            instances.push(instance);
            tasks.push(task);
        }
        let started = Instant::now();
        for instance in &instances {
            while !instance.is_ready().await && started.elapsed() < START_BOUND {
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        }
        broken.extend(broken_by(&site, &mut instances, part).await);
        tasks.iter().for_each(JoinHandle::abort);
    }
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}

#[tokio::test(flavor = "multi_thread")]
async fn relays_that_answer_odd_figures_hide_no_later_change() {
    let mut broken = Vec::new();
    for part in answers().chunks(HALLS.len()) {
        let site = Site::start(program()).await;
        let _target = start_target(&site, "u-1", "a-1").await;
        site.configure(1, &[look_route()], &["shop"]);
        let honest = site.ready_instance("honest", HONEST_HALL).await;
        let (mut instances, mut tasks) = (Vec::new(), Vec::new());
        for hall in &HALLS[..part.len()] {
            instances.push(site.ready_instance(&format!("e-{hall}"), hall).await);
        }
        for ((_, change), hall) in part.iter().zip(HALLS) {
            let (address, task) = stand_in(honest.peers, change.clone()).await;
            let region = hall.split('-').next().unwrap();
            let member = json!({"callers": address, "peer": address, "hall": hall, "region": region});
            site.store.put(&format!("{}a-{hall}", odd::MEMBERS), member.to_string());
            tasks.push(task);
        }
        // The time in which each instance has asked its relay at least once.
        tokio::time::sleep(APPLY_BOUND).await;
        broken.extend(broken_by(&site, &mut instances, part).await);
        tasks.iter().for_each(JoinHandle::abort);
    }
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}

/// Messages of instances with odd figures, each with its path.
fn messages(rng: &mut StdRng) -> Vec<(&'static str, Vec<u8>)> {
    let name = || "e-1".to_owned();
    let hall = || "a-1".to_owned();
    let mut found = Vec::new();
    for rate in [f32::NAN, f32::INFINITY, f32::NEG_INFINITY, -1.0, 0.0, f32::MIN_POSITIVE, f32::MAX] {
        let target = StartKey([0; 8]);
        let announced = Some(AnnouncedRate { rate: Some(rate), age_ms: u16::MAX });
        let demand = TargetDemand { target, announced, demand: rate, is_leaving: true };
        let report = LimitReport { from: name(), hall: hall(), is_forwarded: true, targets: vec![demand; 3] };
        found.push(("/limits", encode(&report).to_vec()));
        for count in [0, u32::MAX] {
            let used = AllowanceUse { target, rate, used: count, until: !count, wanted: count, in_advance: u32::MAX };
            let request = AllowanceRequest {
                from: name(),
                hall: hall(),
                epoch: count,
                is_for_hall: true,
                targets: vec![used; 2],
            };
            found.push(("/allowances", encode(&request).to_vec()));
        }
    }
    for (admitted, offered, period_ms) in [(i32::MIN, u32::MAX, 0), (i32::MAX, 0, u32::MAX), (-1, u32::MAX, 1)] {
        let usage = Usage { admitted, offered };
        let loads = vec![TargetLoad { target: ShortKey([0; 4]), requests: u8::MAX, age: u8::MAX }; 5];
        let tenants = vec![("t".to_owned(), usage), (String::new(), usage)];
        let report = UsageReport { from: name(), hall: hall(), is_forwarded: true, period_ms, tenants, loads };
        found.push(("/usage", encode(&report).to_vec()));
        found.push(("/usage", encode(&UsageReport { hall: "a-2".to_owned(), ..report }).to_vec()));
    }
    for path in ["/usage", "/limits", "/allowances", "/forwarded", "/policies"] {
        for _ in 0..20 {
            let length = rng.random_range(0..200);
            found.push((path, (0..length).map(|_| rng.random()).collect()));
        }
    }
    found
}

/// Questions for changes with odd figures.
fn questions() -> Vec<String> {
    let figures = ["18446744073709551615", "9223372036854775808", "18446744073709551616", "-1", "1e400", "", "%ff"];
    let mut found = Vec::new();
    for figure in figures {
        found.push(format!("/changes?after={figure}"));
        found.push(format!("/changes?after={figure}&era=1&latest_era=1"));
        found.push(format!("/changes?after=0&era={figure}&latest_era=1"));
        found.push(format!("/changes?after=0&wait_ms={figure}&latest_era=1"));
    }
    found
}

async fn assert_round(fleet: &mut Fleet, what: &str) {
    let result = fleet.round().await;
    assert_eq!(fleet.panic_line(), None, "{what}");
    result.unwrap_or_else(|fault| panic!("{what}: {fault}\n{}", fleet.evidence()));
}

#[tokio::test(flavor = "multi_thread")]
async fn odd_messages_at_the_peers_address_hide_no_later_change() {
    let mut fleet = Fleet::start(program()).await;
    let addresses: Vec<SocketAddr> = fleet.all().map(|instance| instance.peers).collect();
    for (path, body) in messages(&mut StdRng::seed_from_u64(84)) {
        for address in &addresses {
            http::post(*address, path, body.clone()).await.unwrap_or_else(|fault| panic!("{path} {body:?}: {fault:?}"));
        }
    }
    for head in [r#"{"by":"e-1","method":"GET","path":"/look/a","sends":4294967295}"#, "{", "", &nested(1_000)] {
        for address in &addresses {
            let request = format!(
                "POST /forwarded HTTP/1.1\r\nhost: shop.example\r\nlockloft-request-id: odd\r\nlockloft-deadline-ms: \
                 18446744073709551615\r\nentry-forwarded: {head}\r\ncontent-length: 0\r\nconnection: close\r\n\r\n"
            );
            let answer = raw(*address, request.as_bytes()).await.unwrap();
            assert!(answer.starts_with("HTTP/1.1 "), "{head}: {answer}");
        }
    }
    assert_round(&mut fleet, "messages").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn odd_questions_for_changes_hide_no_later_change() {
    let mut fleet = Fleet::start(program()).await;
    let addresses: Vec<SocketAddr> = fleet.all().map(|instance| instance.peers).collect();
    let mut tasks = tokio::task::JoinSet::new();
    for path in questions() {
        for address in addresses.clone() {
            let path = path.clone();
            tasks.spawn(
                async move { http::get(address, &path).await.unwrap_or_else(|fault| panic!("{path}: {fault:?}")) },
            );
        }
    }
    while let Some(answered) = tasks.join_next().await {
        answered.unwrap();
    }
    assert_round(&mut fleet, "questions").await;
}

/// Any program that reaches the peers' address can ask with an era; no answer of the store has named it.
#[tokio::test(flavor = "multi_thread")]
async fn a_question_that_names_a_later_era_hides_no_later_change() {
    let mut fleet = Fleet::start(program()).await;
    let peers = fleet.instances[0].peers;
    http::get(peers, "/changes?after=0&latest_era=18446744073709551615").await.unwrap();
    // The time in which instances tell each other.
    tokio::time::sleep(APPLY_BOUND).await;
    assert_round(&mut fleet, "era").await;
}
