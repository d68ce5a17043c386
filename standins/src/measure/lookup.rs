//! `lookup`: the block table at the target's size, and look-ups over HTTP.

use super::process::cpu_seconds;
use super::{Line, Lines};
use crate::cluster::Cluster;
use crate::http::Connection;
use crate::plan::{Plan, SAFE};
use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use ipnet::{IpNet, Ipv4Net};
use lockloft::caller::BlockTable;
use lockloft::key::CallerKey;
use serde_json::json;
use std::hint::black_box;
use std::net::{IpAddr, Ipv4Addr};
use std::path::Path;
use std::time::{Duration, Instant};

/// Blocks at the target's size.
const BLOCKS: u32 = 2_600_000;
/// Timed finds.
const FINDS: u32 = 2_000_000;
/// Connections that look up over and over.
const CONNECTIONS: usize = 32;
/// How long they do.
const TIME: Duration = Duration::from_secs(5);

/// Runs the measure.
pub async fn run(program: &Path) -> Lines {
    Ok(vec![table(), over_http(program).await?])
}

fn blocks() -> Vec<(IpNet, CallerKey)> {
    let mut blocks = Vec::with_capacity(BLOCKS as usize);
    for i in 0..BLOCKS {
        // Blocks of 256 addresses spread over the whole space, every eighth
        // within a larger one of another group.
        let start = i.wrapping_mul(1_651).wrapping_shl(8);
        let len = if i % 8 == 0 { 22 } else { 24 };
        let net = Ipv4Net::new(Ipv4Addr::from(start), len).expect("the length is good");
        blocks.push((IpNet::V4(net.trunc()), CallerKey((i % 86) as u16)));
    }
    blocks
}

fn table() -> Line {
    let blocks = blocks();
    let started = Instant::now();
    let table = BlockTable::new(&blocks);
    let built = started.elapsed();
    let started = Instant::now();
    for i in 0..FINDS {
        let address = IpAddr::V4(Ipv4Addr::from(i.wrapping_mul(2_654_435_761)));
        black_box(table.find(address));
    }
    let ns = started.elapsed().as_nanos() as f64 / f64::from(FINDS);
    let bytes = table.bytes() as f64 / f64::from(BLOCKS);
    Line {
        name: "lookup",
        parameters: json!({"blocks": BLOCKS}),
        figures: json!({"bytes_per_block": bytes, "ns": ns, "build_ms": built.as_millis()}),
        baseline: json!({"bytes_per_block": 32, "ns": 1_000}),
        ratio: ns / 1_000.0,
        ok: bytes <= 32.0 && ns < 1_000.0,
    }
}

async fn over_http(program: &Path) -> Result<Line, crate::cluster::ClusterError> {
    let plan = Plan::halls(2, 1, 1).service("timetable", 2, 4, Duration::from_millis(1), SAFE);
    let cluster = Cluster::start(plan, program).await?;
    let daemon = &cluster.daemons[0];
    let pid = daemon.pid().unwrap_or(0);
    let before = cpu_seconds(pid);
    let started = Instant::now();
    let mut tasks = tokio::task::JoinSet::new();
    for i in 0..CONNECTIONS {
        let address = daemon.caller;
        tasks.spawn(async move {
            let source = IpAddr::V4(Ipv4Addr::new(127, 240, 1, i as u8 + 1));
            let Ok(mut connection) = Connection::open(address, Some(source)).await else { return 0 };
            let mut count = 0_u64;
            while started.elapsed() < TIME {
                let request = Request::get("/lookup?service=timetable").header("host", "lockloft.test");
                let request = request.body(Full::<Bytes>::default()).expect("the parts are good");
                match connection.send(request, Duration::from_secs(2)).await {
                    Ok(reply) if reply.status == 200 => count += 1,
                    _ => return count,
                }
            }
            count
        });
    }
    let mut count = 0;
    while let Some(done) = tasks.join_next().await {
        count += done.unwrap_or(0);
    }
    let seconds = started.elapsed().as_secs_f64();
    let cpu = cpu_seconds(pid) - before;
    let per_core = count as f64 / cpu;
    Ok(Line {
        name: "lookup",
        parameters: json!({"connections": CONNECTIONS, "seconds": seconds}),
        figures: json!({"per_second": count as f64 / seconds, "cpu_seconds": cpu, "per_core_second": per_core}),
        baseline: json!({"per_core_second": 40_000}),
        ratio: per_core / 40_000.0,
        ok: per_core > 40_000.0,
    })
}
