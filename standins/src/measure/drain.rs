//! `drain`: a target by its own word, a hall by policy, and an instance by a
//! planned stop, all under load.

use super::{Line, Lines};
use crate::cluster::Cluster;
use crate::load::{Outcome, Stream, run as load};
use crate::plan::{Plan, SAFE};
use crate::target::Target;
use serde_json::json;
use std::path::Path;
use std::sync::atomic::Ordering::Relaxed;
use std::time::{Duration, Instant};

/// How large the measure is.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// Requests a second.
    pub rate: f64,
    /// How long each part lasts.
    pub part: Duration,
}

impl Size {
    /// As documented.
    pub fn full() -> Self {
        Self { rate: 200.0, part: Duration::from_secs(8) }
    }
}

/// Runs the measure.
pub async fn run(program: &Path, size: Size) -> Lines {
    let plan = Plan::halls(2, 1, 2).service("timetable", 4, 8, Duration::from_millis(40), SAFE);
    let mut cluster = Cluster::start(plan, program).await?;
    let said = said(&cluster, size).await;
    let declared = declared(&cluster, size).await?;
    let stopped = stopped(&mut cluster, size).await?;
    Ok(vec![said, declared, stopped])
}

fn stream(size: Size) -> Stream {
    Stream {
        service: "timetable".into(),
        rate: size.rate,
        time: size.part,
        wait: Duration::from_secs(2),
        headers: Vec::new(),
        region: 240,
        callers: 40,
    }
}

fn known(cluster: &Cluster) -> Vec<std::net::SocketAddr> {
    cluster.daemons.iter().map(|d| d.caller).collect()
}

/// The time until a target has nothing in flight.
async fn idle(target: &Target, limit: Duration) -> f64 {
    let started = Instant::now();
    while target.seen.flight.load(Relaxed) > 0 && started.elapsed() < limit {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    started.elapsed().as_secs_f64()
}

fn cancelled(cluster: &Cluster) -> u64 {
    cluster.targets.iter().map(|t| t.seen.cancelled.load(Relaxed)).sum()
}

fn line(what: &str, size: Size, outcome: &Outcome, late: u64, cut: u64, seconds: f64) -> Line {
    let failed = outcome.all() - outcome.good();
    Line {
        name: "drain",
        parameters: json!({"what": what, "rate": size.rate, "requests": outcome.all()}),
        figures: json!({
            "new_work_after_2s": late,
            "cut_off": cut,
            "failed": failed,
            "drain_seconds": seconds,
            "counts": outcome.counts,
        }),
        baseline: json!({"new_work_after_2s": 0, "cut_off": 0}),
        ratio: late as f64 + cut as f64,
        ok: late == 0 && cut == 0 && failed == 0 && outcome.all() > 0,
    }
}

async fn said(cluster: &Cluster, size: Size) -> Line {
    let target = &cluster.targets[0];
    let before = cancelled(cluster);
    let leave = async {
        tokio::time::sleep(size.part / 4).await;
        target.leave(true);
        tokio::time::sleep(Duration::from_secs(2)).await;
        2.0 + idle(target, size.part).await
    };
    let (outcome, seconds) = tokio::join!(load(stream(size), known(cluster)), leave);
    let late = target.seen.late.load(Relaxed);
    target.leave(false);
    line("target, by its own word", size, &outcome, late, cancelled(cluster) - before, seconds)
}

async fn declared(cluster: &Cluster, size: Size) -> Result<Line, crate::cluster::ClusterError> {
    let hall = &cluster.plan.halls[0].name;
    let policy = format!("[[policy]]\nname = \"drain-hall\"\nplaces = {{ hall = \"{hall}\" }}\ndrain = true\n");
    let text = cluster.declaration() + &policy;
    let before = cancelled(cluster);
    let drain = async {
        tokio::time::sleep(size.part / 4).await;
        let applied = cluster.apply(&text, None).await;
        let started = Instant::now();
        cluster.targets_of(0).for_each(|t| t.count_late_from_now());
        tokio::time::sleep(Duration::from_secs(2)).await;
        for target in cluster.targets_of(0) {
            idle(target, size.part).await;
        }
        applied.map(|_| started.elapsed().as_secs_f64())
    };
    let (outcome, seconds) = tokio::join!(load(stream(size), known(cluster)), drain);
    let late = cluster.targets_of(0).map(|t| t.seen.late.load(Relaxed)).sum();
    cluster.targets_of(0).for_each(|t| t.leave(false));
    cluster.apply(&cluster.declaration(), None).await?;
    Ok(line("hall, by policy", size, &outcome, late, cancelled(cluster) - before, seconds?))
}

async fn stopped(cluster: &mut Cluster, size: Size) -> Result<Line, crate::cluster::ClusterError> {
    let known = known(cluster);
    let before = cancelled(cluster);
    let size = Size { part: size.part.max(Duration::from_secs(6)), ..size };
    let outcome = tokio::spawn(load(stream(size), known));
    tokio::time::sleep(size.part / 4).await;
    let started = Instant::now();
    cluster.daemons[0].terminate();
    let status = cluster.daemons[0].ended(Duration::from_secs(20)).await;
    let seconds = started.elapsed().as_secs_f64();
    cluster.list_all();
    let outcome = outcome.await.unwrap_or_default();
    let mut line = line("instance, planned stop", size, &outcome, 0, cancelled(cluster) - before, seconds);
    let clean = status.is_some_and(|s| s.success());
    let handed = cluster.daemons[1].status().await.is_some_and(|s| s.leased && s.withheld.is_empty());
    line.ok &= clean && handed;
    line.figures["exit_0"] = json!(clean);
    line.figures["share_handed_over"] = json!(handed);
    Ok(line)
}
