//! `forward`: what going through an entry adds to going to the target.

use super::process::{cpu_seconds, resident};
use super::{Line, Lines};
use crate::caller::Send;
use crate::cluster::{Cluster, ClusterError};
use crate::http::Connection;
use crate::plan::{Plan, SAFE};
use bytes::Bytes;
use hdrhistogram::Histogram;
use serde_json::json;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::Ordering::Relaxed;
use std::time::{Duration, Instant};

/// Requests of the latency part, each way.
const REQUESTS: u32 = 3_000;
/// Connections of the throughput part.
const CONNECTIONS: usize = 64;
/// How long the throughput part lasts.
const TIME: Duration = Duration::from_secs(5);
/// Body of the large requests, in bytes.
const LARGE: usize = 8 << 20;
/// Large requests sent, four at a time.
const LARGE_COUNT: usize = 48;
/// Growth of memory that large bodies may cause, in bytes.
const MEMORY: u64 = 32 << 20;

/// Runs the measure.
pub async fn run(program: &Path) -> Lines {
    let plan = Plan::halls(1, 1, 1).service("quick", 4, 64, Duration::ZERO, SAFE).service(
        "upload",
        2,
        4,
        Duration::from_millis(1),
        &format!("{SAFE}body = {}\nretry = 0.0\n", 16 << 20),
    );
    let cluster = Cluster::start(plan, program).await?;
    for target in &cluster.targets {
        target.behaviour.service_us.store(0, Relaxed);
    }
    Ok(vec![added(&cluster).await?, throughput(&cluster).await, large(&cluster).await])
}

async fn added(cluster: &Cluster) -> Result<Line, ClusterError> {
    let entry = cluster.daemons[0].caller;
    let target = cluster.targets[0].address;
    let mut direct = connection(target).await?;
    let mut through = connection(entry).await?;
    let mut times = [new_histogram(), new_histogram()];
    // Turn by turn, so that both meet the same machine.
    for i in 0..REQUESTS {
        for (connection, times) in [&mut direct, &mut through].into_iter().zip(&mut times) {
            let run = format!("f{i}");
            let started = Instant::now();
            let reply = connection.send(Send::to("quick", &run).request(), Duration::from_secs(2)).await;
            if reply.is_ok_and(|r| r.status == 200) {
                times.saturating_record(started.elapsed().as_micros() as u64);
            }
        }
    }
    let [direct, through] = times;
    let added = |q| through.value_at_quantile(q) as f64 - direct.value_at_quantile(q) as f64;
    let served = through.len() == u64::from(REQUESTS);
    Ok(Line {
        name: "forward",
        parameters: json!({"requests": REQUESTS}),
        figures: json!({"added_p50_us": added(0.5), "added_p99_us": added(0.99), "served": through.len()}),
        baseline: json!({"direct_p50_us": direct.value_at_quantile(0.5), "direct_p99_us": direct.value_at_quantile(0.99)}),
        ratio: through.value_at_quantile(0.5) as f64 / direct.value_at_quantile(0.5) as f64,
        ok: served && added(0.5) < 150.0,
    })
}

async fn connection(address: SocketAddr) -> Result<Connection, ClusterError> {
    Connection::open(address, None).await.map_err(|error| ClusterError::Mute { name: address.to_string(), error })
}

fn new_histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 60_000_000, 3).expect("the bounds are constant and valid")
}

async fn throughput(cluster: &Cluster) -> Line {
    let daemon = &cluster.daemons[0];
    let pid = daemon.pid().unwrap_or(0);
    let before = cpu_seconds(pid);
    let started = Instant::now();
    let mut tasks = tokio::task::JoinSet::new();
    for _ in 0..CONNECTIONS {
        let address = daemon.caller;
        tasks.spawn(async move {
            let Ok(mut connection) = Connection::open(address, None).await else { return 0 };
            let mut count = 0_u64;
            while started.elapsed() < TIME {
                let reply = connection.send(Send::to("quick", "t").request(), Duration::from_secs(2)).await;
                count += u64::from(reply.is_ok_and(|r| r.status == 200));
            }
            count
        });
    }
    let mut count = 0;
    while let Some(done) = tasks.join_next().await {
        count += done.unwrap_or(0);
    }
    let cpu = cpu_seconds(pid) - before;
    let per_four = 4.0 * count as f64 / cpu;
    Line {
        name: "forward",
        parameters: json!({"connections": CONNECTIONS}),
        figures: json!({
            "per_second": count as f64 / started.elapsed().as_secs_f64(),
            "cpu_seconds": cpu,
            "per_four_core_seconds": per_four,
        }),
        baseline: json!({"per_four_core_seconds": 25_000}),
        ratio: per_four / 25_000.0,
        ok: per_four > 25_000.0,
    }
}

async fn large(cluster: &Cluster) -> Line {
    let daemon = &cluster.daemons[0];
    let pid = daemon.pid().unwrap_or(0);
    let body = Bytes::from(vec![b'x'; LARGE]);
    let before = resident(pid);
    let mut peak = before;
    let mut whole = 0;
    for _ in 0..LARGE_COUNT / 4 {
        let sends = (0..4).map(|_| {
            let body = body.clone();
            async move {
                let mut connection = Connection::open(daemon.caller, None).await.ok()?;
                let send = Send { body, ..Send::to("upload", "large") };
                connection.send(send.request(), Duration::from_secs(10)).await.ok()
            }
        });
        for reply in futures::future::join_all(sends).await.into_iter().flatten() {
            let echoed = String::from_utf8_lossy(&reply.body).into_owned();
            whole += usize::from(echoed.split(' ').nth(2) == Some(&LARGE.to_string()));
        }
        peak = peak.max(resident(pid));
    }
    let grown = peak.saturating_sub(before);
    Line {
        name: "forward",
        parameters: json!({"body_bytes": LARGE, "requests": LARGE_COUNT}),
        figures: json!({"arrived_whole": whole, "memory_grown_bytes": grown}),
        baseline: json!({"memory_bytes": before, "allowed_growth": MEMORY}),
        ratio: grown as f64 / MEMORY as f64,
        ok: whole == LARGE_COUNT && grown < MEMORY,
    }
}
