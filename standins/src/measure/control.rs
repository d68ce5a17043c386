//! `control`: what an instance spends on control, by fleet size.

use super::process::{cpu_seconds, resident};
use super::{Line, Lines};
use crate::cluster::{Cluster, ClusterError, Daemon};
use crate::plan::{Plan, SAFE};
use lockloft::peer::gossip::interval;
use lockloft::quota::beat_period;
use serde_json::json;
use std::path::Path;
use std::time::{Duration, Instant};

/// How long each fleet is watched, half of it under changes.
const WATCH: Duration = Duration::from_secs(6);

/// What one fleet's instances spent on the average.
#[derive(Clone, Copy, Debug, Default)]
struct Spent {
    instances: f64,
    halls: f64,
    /// Heartbeats sent a second, and halls asked about a second.
    beats: f64,
    asked: f64,
    cpu: f64,
    memory: f64,
    sent: f64,
    received: f64,
    calls: f64,
}

/// Runs the measure.
pub async fn run(program: &Path) -> Lines {
    let mut lines = Vec::new();
    let mut idle = Vec::new();
    for (halls, instances) in [(1, 2), (2, 3), (3, 4), (6, 4), (6, 8)] {
        let plan = Plan::halls(halls, 1, instances).service("timetable", 2, 4, Duration::from_millis(2), SAFE);
        let cluster = Cluster::start(plan, program).await?;
        // The start's own work is not counted.
        tokio::time::sleep(Duration::from_secs(2)).await;
        for changes in [false, true] {
            let spent = watch(&cluster, changes).await?;
            if !changes {
                idle.push(spent);
            }
            lines.push(line(&spent, changes));
        }
    }
    lines.push(slopes(&idle));
    Ok(lines)
}

struct Reading {
    cpu: f64,
    sent: f64,
    received: f64,
    calls: f64,
}

async fn read(daemon: &Daemon) -> Reading {
    Reading {
        cpu: cpu_seconds(daemon.pid().unwrap_or(0)),
        sent: daemon.metric("lockloft_peer_bytes_total", "out").await,
        received: daemon.metric("lockloft_peer_bytes_total", "in").await,
        calls: daemon.metric("lockloft_platform_calls_total", "").await,
    }
}

async fn watch(cluster: &Cluster, changes: bool) -> Result<Spent, ClusterError> {
    let mut before = Vec::new();
    for daemon in &cluster.daemons {
        before.push(read(daemon).await);
    }
    let started = Instant::now();
    if changes {
        // A hundred an hour is one in 36 s: one in this time is six times that.
        let text = format!("{}[[policy]]\nname = \"mark\"\npriority = 5\n", cluster.declaration());
        cluster.apply(&text, None).await?;
    }
    tokio::time::sleep(WATCH.saturating_sub(started.elapsed())).await;
    let seconds = started.elapsed().as_secs_f64();
    let count = cluster.daemons.len() as f64;
    let halls = cluster.plan.halls.len() as f64;
    let per_hall = count / halls;
    let (beats, asked) = rates(per_hall, halls);
    let mut spent = Spent { instances: count, halls, beats, asked, ..Spent::default() };
    for (daemon, before) in cluster.daemons.iter().zip(before) {
        let after = read(daemon).await;
        spent.cpu += (after.cpu - before.cpu) / seconds / count;
        spent.sent += (after.sent - before.sent) / seconds / count;
        spent.received += (after.received - before.received) / seconds / count;
        spent.calls += (after.calls - before.calls) / seconds / count;
        spent.memory += resident(daemon.pid().unwrap_or(0)) as f64 / count;
    }
    Ok(spent)
}

fn line(spent: &Spent, changes: bool) -> Line {
    let budget = 8_192.0;
    let bytes = spent.sent + spent.received;
    Line {
        name: "control",
        parameters: json!({"instances": spent.instances, "halls": spent.halls, "changes": changes}),
        figures: json!({
            "core_share": spent.cpu,
            "resident_bytes": spent.memory.round(),
            "sent_bytes_per_s": spent.sent.round(),
            "received_bytes_per_s": spent.received.round(),
            "platform_calls_per_s": spent.calls,
        }),
        baseline: json!({"core_share": 0.012, "resident_bytes": 256 << 20, "bytes_per_s_both_ways": budget}),
        ratio: bytes / budget,
        ok: spent.cpu <= 0.012 && spent.memory <= f64::from(256 << 20) && bytes <= budget,
    }
}

/// Heartbeats that a member sends a second, and halls it asks about a second.
fn rates(per_hall: f64, halls: f64) -> (f64, f64) {
    let period = beat_period(per_hall.round() as usize) as f64 / 1_000.0;
    let interval = interval(halls as usize).as_secs_f64();
    ((per_hall - 1.0) / period, (halls - 1.0) / interval)
}

/// Least squares of a cost over heartbeats and halls asked about.
fn slopes(spent: &[Spent]) -> Line {
    let fit = |cost: fn(&Spent) -> f64| {
        let rows: Vec<[f64; 3]> = spent.iter().map(|s| [1.0, s.beats, s.asked]).collect();
        let values: Vec<f64> = spent.iter().map(cost).collect();
        least_squares(&rows, &values)
    };
    let bytes = fit(|s| s.sent + s.received);
    let cpu = fit(|s| s.cpu);
    let calls = fit(|s| s.calls);
    let memory = fit(|s| s.memory);
    // At the target: 410 instances in 24 halls.
    let (beats, asked) = rates(410.0 / 24.0, 24.0);
    let at = |f: &[f64; 3]| f[0] + f[1] * beats + f[2] * asked;
    let show = |f: &[f64; 3]| json!({"base": f[0], "per_beat": f[1], "per_hall_asked": f[2], "at_410": at(f)});
    let ok = at(&bytes) <= 8_192.0 && at(&cpu) <= 0.012;
    Line {
        name: "control",
        parameters: json!({"fit": "base + per_beat * beats/s + per_hall_asked * halls asked about/s, idle", "beats_per_s_at_410": beats, "halls_asked_per_s_at_410": asked}),
        figures: json!({
            "bytes_per_s": show(&bytes),
            "core_share": show(&cpu),
            "platform_calls_per_s": show(&calls),
            "resident_bytes": show(&memory),
        }),
        baseline: json!({"bytes_per_s": 8_192, "core_share": 0.012}),
        ratio: at(&bytes) / 8_192.0,
        ok,
    }
}

/// Solves the normal equations of three unknowns.
fn least_squares(rows: &[[f64; 3]], values: &[f64]) -> [f64; 3] {
    let mut matrix = [[0.0; 4]; 3];
    for (row, value) in rows.iter().zip(values) {
        for i in 0..3 {
            for j in 0..3 {
                matrix[i][j] += row[i] * row[j];
            }
            matrix[i][3] += row[i] * value;
        }
    }
    for i in 0..3 {
        let pivot = matrix[i][i];
        if pivot.abs() < 1e-12 {
            continue;
        }
        let lead = matrix[i];
        for (k, line) in matrix.iter_mut().enumerate() {
            if k == i {
                line.iter_mut().for_each(|c| *c /= pivot);
            } else {
                let factor = line[i] / pivot;
                line.iter_mut().zip(lead).for_each(|(c, l)| *c -= factor * l);
            }
        }
    }
    [matrix[0][3], matrix[1][3], matrix[2][3]]
}
