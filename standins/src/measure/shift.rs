//! `shift`: a planned shift with cap and pace, a failover in the middle.

use super::{Line, Lines};
use crate::cluster::Cluster;
use crate::load::{Outcome, Stream, run as load};
use crate::plan::{Plan, SAFE};
use serde_json::json;
use std::path::Path;
use std::sync::atomic::Ordering::Relaxed;
use std::time::Duration;

/// Share that may be moved.
const CAP: f64 = 0.4;
/// Share that each step adds.
const STEP: f64 = 0.1;

/// How large the measure is.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// Requests a second.
    pub rate: f64,
    /// How long.
    pub time: Duration,
    /// Time between steps.
    pub every: Duration,
}

impl Size {
    /// As documented.
    pub fn full() -> Self {
        Self { rate: 400.0, time: Duration::from_secs(24), every: Duration::from_secs(2) }
    }
}

fn policy(size: Size) -> String {
    format!(
        "[[policy]]\nname = \"to-r1\"\nrequests = {{ service = \"timetable\" }}\nplaces = {{ region = \"r1\" }}\n\
         weight = 0.4\ncap = {CAP}\npace = {{ share = {STEP}, every = \"{:?}\" }}\n",
        size.every
    )
}

/// Runs the measure.
pub async fn run(program: &Path, size: Size) -> Lines {
    let plan = Plan::halls(2, 1, 2).service("timetable", 4, 8, Duration::from_millis(4), SAFE);
    let cluster = Cluster::start(plan, program).await?;
    let known: Vec<_> = cluster.daemons.iter().map(|d| d.caller).collect();
    let stream = Stream {
        service: "timetable".into(),
        rate: size.rate,
        time: size.time,
        wait: Duration::from_secs(2),
        headers: Vec::new(),
        region: 240,
        callers: 200,
    };
    let text = cluster.declaration() + &policy(size);
    let events = async {
        tokio::time::sleep(size.time / 8).await;
        let applied = cluster.apply(&text, None).await;
        // In the last third the natural hall loses all its targets: the
        // failover has to stay within what the shift has left of the cap.
        tokio::time::sleep(size.time / 2).await;
        cluster.targets_of(0).for_each(|t| t.leave(true));
        tokio::time::sleep(size.time / 8).await;
        cluster.targets_of(0).for_each(|t| t.leave(false));
        applied
    };
    let (outcome, applied) = tokio::join!(load(stream, known), events);
    applied?;
    Ok(vec![line(&cluster, size, &outcome)])
}

fn line(cluster: &Cluster, size: Size, outcome: &Outcome) -> Line {
    // Requests count in the order of their starts; a request that failed was
    // not moved but earned credit, so windows over answers alone are strict.
    let mut done: Vec<_> = outcome.done.iter().collect();
    done.sort_by_key(|d| d.began);
    let applied = size.time / 8 + Duration::from_secs(1);
    let moved: Vec<bool> = done.iter().filter(|d| d.began > applied).map(|d| d.target.contains("-r1-")).collect();
    let instances = cluster.daemons.len() as f64;
    let mut worst: f64 = 0.0;
    for width in [100, 200, 400, 800] {
        for window in moved.windows(width) {
            let count = window.iter().filter(|m| **m).count() as f64;
            // Answers that failed in the window earned credit too: they are
            // bounded by the failures of the whole run.
            let failed = (outcome.all() - outcome.good()) as f64;
            worst = worst.max(count / (CAP * (width as f64 + failed) + instances));
        }
    }
    let before: Vec<_> = done.iter().filter(|d| d.began < size.time / 8).collect();
    let stray = before.iter().filter(|d| d.target.contains("-r1-")).count();
    let steps = steps(&done, size);
    let reached = steps.last().copied().unwrap_or(0.0);
    let paced = steps.windows(2).all(|w| w[1] <= w[0] + 2.0 * STEP);
    let late: u64 = cluster.targets.iter().map(|t| t.seen.late.load(Relaxed)).sum();
    Line {
        name: "shift",
        parameters: json!({"cap": CAP, "step": STEP, "every_s": size.every.as_secs_f64(), "requests": outcome.all()}),
        figures: json!({
            "worst_window_over_cap": worst,
            "share_by_interval": steps,
            "moved_before_the_shift": stray,
            "counts": outcome.counts,
            "foreign_answers": outcome.foreign,
            "new_work_after_leaving": late,
        }),
        baseline: json!({"allowed": "cap * requests + 1 for each instance"}),
        ratio: worst,
        ok: worst <= 1.0 && paced && reached > 0.3 && stray == 0 && outcome.foreign == 0 && late == 0,
    }
}

/// Share moved in each pace interval until the failover.
fn steps(done: &[&crate::load::Done], size: Size) -> Vec<f64> {
    let mut shares = Vec::new();
    let mut from = size.time / 8 + Duration::from_secs(1);
    let until = size.time / 8 + size.time / 2;
    while from + size.every <= until {
        let to = from + size.every;
        let window: Vec<_> = done.iter().filter(|d| d.began >= from && d.began < to).collect();
        let moved = window.iter().filter(|d| d.target.contains("-r1-")).count();
        shares.push((1_000.0 * moved as f64 / window.len().max(1) as f64).round() / 1_000.0);
        from = to;
    }
    shares
}
