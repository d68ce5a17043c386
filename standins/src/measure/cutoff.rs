//! `cutoff`: halls cut off from each other and from the platform, an instance
//! crashes meanwhile, then all heals.

use super::{Line, Lines};
use crate::caller::Send;
use crate::cluster::{Cluster, ClusterError};
use crate::http::Connection;
use crate::key_value::Faults;
use crate::plan::{Plan, SAFE};
use serde_json::json;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::time::{Duration, Instant};

/// Mean time of a request at a target.
const SERVICE: Duration = Duration::from_millis(20);
/// Longest time until full service after healing.
const HEAL: f64 = 5.0;
/// Share of capacity that counts as full service.
const FULL: f64 = 0.9;

/// How large the measure is.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// How long each state is watched.
    pub watch: Duration,
}

impl Size {
    /// As documented.
    pub fn full() -> Self {
        Self { watch: Duration::from_secs(4) }
    }
}

/// Closed-loop load on every entry, more than it can carry.
struct Press {
    served: Arc<Vec<AtomicU64>>,
    over: Arc<AtomicBool>,
}

impl Press {
    fn start(cluster: &Cluster) -> Self {
        let served: Arc<Vec<AtomicU64>> = Arc::new(cluster.daemons.iter().map(|_| AtomicU64::new(0)).collect());
        let over = Arc::new(AtomicBool::new(false));
        for (i, daemon) in cluster.daemons.iter().enumerate() {
            for _ in 0..24 {
                tokio::spawn(press(daemon.caller, i, served.clone(), over.clone()));
            }
        }
        Self { served, over }
    }

    /// Share of all capacity served over a time.
    async fn share(&self, cluster: &Cluster, time: Duration) -> f64 {
        let sum = || -> u64 { self.served.iter().map(|s| s.load(Relaxed)).sum() };
        let slots: u32 = cluster.targets.iter().map(|t| t.slots()).sum();
        let capacity = f64::from(slots) / SERVICE.as_secs_f64();
        let (before, started) = (sum(), Instant::now());
        tokio::time::sleep(time).await;
        (sum() - before) as f64 / started.elapsed().as_secs_f64() / capacity
    }
}

impl Drop for Press {
    fn drop(&mut self) {
        self.over.store(true, Relaxed);
    }
}

async fn press(address: std::net::SocketAddr, i: usize, served: Arc<Vec<AtomicU64>>, over: Arc<AtomicBool>) {
    while !over.load(Relaxed) {
        let Ok(mut connection) = Connection::open(address, None).await else {
            tokio::time::sleep(Duration::from_millis(50)).await;
            continue;
        };
        while !over.load(Relaxed) {
            let send = Send { wait: Duration::from_millis(600), ..Send::to("quote", "c") };
            match connection.send(send.request(), Duration::from_secs(1)).await {
                Ok(reply) if reply.status == 200 => {
                    served[i].fetch_add(1, Relaxed);
                }
                Ok(_) => tokio::time::sleep(Duration::from_millis(20)).await,
                Err(_) => break,
            }
        }
    }
}

struct Found {
    state: &'static str,
    share: f64,
    least: f64,
}

/// Runs the measure.
pub async fn run(program: &Path, size: Size) -> Lines {
    let plan = Plan::halls(2, 1, 3).service("quote", 3, 6, SERVICE, SAFE).wired();
    let mut cluster = Cluster::start(plan, program).await?;
    let press = Press::start(&cluster);
    let mut found = Vec::new();
    let settle = Duration::from_secs(5);
    let whole = press.share(&cluster, size.watch).await;
    found.push(Found { state: "whole", share: whole, least: FULL });

    cluster.net.cut(&cluster.ips(0), &cluster.ips(1));
    tokio::time::sleep(settle).await;
    found.push(Found {
        state: "halls cut off from each other",
        share: press.share(&cluster, size.watch).await,
        least: FULL,
    });

    let all: Vec<_> = cluster.daemons.iter().map(|d| d.ip).collect();
    cluster.net.cut(&all, &[cluster.platform_ip()]);
    cluster.platform.set(Faults { down: true, ..Faults::default() });
    tokio::time::sleep(settle).await;
    found.push(Found { state: "and from the platform", share: press.share(&cluster, size.watch).await, least: FULL });

    cluster.daemons[0].kill();
    cluster.list_all();
    tokio::time::sleep(settle).await;
    // The survivors of the hall hold reserves only: half of two thirds of it.
    found.push(Found { state: "and an instance crashed", share: press.share(&cluster, size.watch).await, least: 0.6 });

    cluster.net.heal();
    cluster.platform.set(Faults::default());
    cluster.daemons[0].start()?;
    cluster.list_all();
    let healed = heal(&cluster, &press, whole).await?;
    drop(press);
    Ok(lines(&cluster, found, healed))
}

/// Seconds until what is left of the capacity is served again: all of it but
/// the crashed run's reserve, which the platform's list still shows.
async fn heal(cluster: &Cluster, press: &Press, whole: f64) -> Result<f64, ClusterError> {
    let started = Instant::now();
    let crashed = 1.0 / 6.0 / 2.0;
    loop {
        let look = Duration::from_millis(500);
        if press.share(cluster, look).await >= FULL * (whole - crashed) {
            return Ok((started.elapsed() - look).as_secs_f64());
        }
        if started.elapsed() > Duration::from_secs(30) {
            return Err(ClusterError::Late("full service after healing".into()));
        }
    }
}

fn lines(cluster: &Cluster, found: Vec<Found>, healed: f64) -> Vec<Line> {
    let peaks = cluster.targets.iter().map(|t| f64::from(t.seen.peak.load(Relaxed)) / f64::from(t.slots()));
    let peak = peaks.fold(0.0, f64::max);
    let mut lines = Vec::new();
    for state in found {
        lines.push(Line {
            name: "cutoff",
            parameters: json!({"state": state.state}),
            figures: json!({"share_of_capacity": state.share}),
            baseline: json!({"least": state.least}),
            ratio: state.share / state.least,
            ok: state.share >= state.least,
        });
    }
    lines.push(Line {
        name: "cutoff",
        parameters: json!({"state": "healed"}),
        figures: json!({"seconds_to_full_service": healed, "peak_over_slots": peak}),
        baseline: json!({"seconds_to_full_service": HEAL, "peak_over_slots": 1.0}),
        ratio: healed / HEAL,
        ok: healed < HEAL && peak <= 1.0,
    });
    lines
}
