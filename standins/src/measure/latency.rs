//! `latency`: the ferry's load at 70% of capacity, with one slow and one
//! lying target, against plain choices of a target.

use super::{Line, Lines};
use crate::cluster::Cluster;
use crate::http::Connection;
use crate::load::{Stream, run as load};
use crate::plan::{NEVER, Plan};
use hdrhistogram::Histogram;
use rand::Rng;
use serde_json::json;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Mean time of a request at a sound target.
const SERVICE: Duration = Duration::from_millis(10);
/// Factor by which the slow target is slower.
const SLOWNESS: u64 = 5;
/// Share of capacity that is offered.
const SHARE: f64 = 0.7;
/// How long each way is watched.
const TIME: Duration = Duration::from_secs(10);

/// Runs the measure.
pub async fn run(program: &Path) -> Lines {
    let plan = Plan::halls(1, 1, 2).service("booking", 6, 4, SERVICE, NEVER);
    let cluster = Cluster::start(plan, program).await?;
    let slow = SERVICE.as_micros() as u64 * SLOWNESS;
    cluster.targets[0].behaviour.service_us.store(slow, Relaxed);
    cluster.targets[1].behaviour.lies.store(true, Relaxed);
    cluster.targets[1].behaviour.service_us.store(2 * SERVICE.as_micros() as u64, Relaxed);
    let sound = (cluster.targets.len() - 2) as f64 + 0.5 + 1.0 / SLOWNESS as f64;
    let rate = SHARE * sound * 4.0 / SERVICE.as_secs_f64();
    let stream = Stream {
        service: "booking".into(),
        rate,
        time: TIME,
        wait: Duration::from_secs(3),
        headers: Vec::new(),
        region: 240,
        callers: 50,
    };
    let ours = load(stream, cluster.daemons.iter().map(|d| d.caller).collect()).await;
    let targets: Vec<SocketAddr> = cluster.targets.iter().map(|t| t.address).collect();
    let random = plain(&targets, rate, |n| rand::rng().random_range(0..n)).await;
    let turn = AtomicUsize::new(0);
    let robin = plain(&targets, rate, |n| turn.fetch_add(1, Relaxed) % n).await;
    let p99 = |h: &Histogram<u64>| h.value_at_quantile(0.99) as f64 / 1_000.0;
    let best = p99(&random).min(p99(&robin));
    let ratio = ours.ms(0.99) / best;
    Ok(vec![Line {
        name: "latency",
        parameters: json!({"share_of_capacity": SHARE, "per_second": rate, "slow": SLOWNESS, "lying": 1}),
        figures: json!({"p50_ms": ours.ms(0.5), "p99_ms": ours.ms(0.99), "counts": ours.counts}),
        baseline: json!({"random_p99_ms": p99(&random), "round_robin_p99_ms": p99(&robin)}),
        ratio,
        ok: ratio < 1.0 && ours.good() == ours.all(),
    }])
}

/// The same load straight to the targets, by a plain choice.
async fn plain(targets: &[SocketAddr], rate: f64, pick: impl Fn(usize) -> usize) -> Histogram<u64> {
    let times = Histogram::new_with_bounds(1, 600_000_000, 3).expect("the bounds are constant and valid");
    let times = Arc::new(Mutex::new(times));
    let started = Instant::now();
    let mut due = Duration::ZERO;
    let mut tasks = tokio::task::JoinSet::new();
    while due < TIME {
        tokio::time::sleep_until((started + due).into()).await;
        let (address, times) = (targets[pick(targets.len())], times.clone());
        tasks.spawn(async move {
            let began = Instant::now();
            let Ok(mut connection) = Connection::open(address, None).await else { return };
            let request = crate::caller::Send::to("booking", "p").request();
            if connection.send(request, Duration::from_secs(30)).await.is_ok() {
                let micros = began.elapsed().as_micros() as u64;
                times.lock().expect("no holder panics").saturating_record(micros);
            }
        });
        let gap: f64 = -rand::rng().random_range(f64::MIN_POSITIVE..1.0_f64).ln() / rate;
        due += Duration::from_secs_f64(gap);
    }
    while tasks.join_next().await.is_some() {}
    Arc::try_unwrap(times)
        .map(|m| m.into_inner().expect("no holder panics"))
        .unwrap_or_else(|t| t.lock().expect("no holder panics").clone())
}
