//! `surge`: three times the capacity, then normal load, then a hall dies.

use super::{Line, Lines};
use crate::cluster::Cluster;
use crate::load::{Outcome, Stream, run as load};
use crate::plan::{Plan, SAFE};
use serde_json::json;
use std::path::Path;
use std::sync::atomic::Ordering::Relaxed;
use std::time::Duration;

/// Mean time of a request at a target.
const SERVICE: Duration = Duration::from_millis(20);
/// Share of capacity that has to be served under the surge.
const GOODPUT: f64 = 0.9;
/// Longest time after a hall's death until requests are served as before.
const RECOVERY: Duration = Duration::from_secs(2);

/// How large the measure is.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// How long the surge lasts.
    pub surge: Duration,
    /// How long the load after the hall's death lasts.
    pub after: Duration,
}

impl Size {
    /// As documented.
    pub fn full() -> Self {
        Self { surge: Duration::from_secs(20), after: Duration::from_secs(8) }
    }
}

const PRIORITY: &str = "[[policy]]\nname = \"kiosk-first\"\nrequests = { tier = \"kiosk\" }\npriority = 9\n";

fn stream(rate: f64, time: Duration, tier: &str) -> Stream {
    Stream {
        service: "booking".into(),
        rate,
        time,
        wait: Duration::from_millis(1_000),
        headers: vec![("x-tier".into(), tier.into())],
        region: 240,
        callers: 60,
    }
}

/// Runs the measure.
pub async fn run(program: &Path, size: Size) -> Lines {
    let lines = format!("{SAFE}headers = {{ tier = \"x-tier\" }}\nqueue = 64\n");
    let plan = Plan::halls(2, 1, 2).service("booking", 3, 4, SERVICE, &lines).extra(PRIORITY);
    let mut cluster = Cluster::start(plan, program).await?;
    let slots: u32 = cluster.targets.iter().map(|t| t.slots()).sum();
    let capacity = f64::from(slots) / SERVICE.as_secs_f64();
    let known: Vec<_> = cluster.daemons.iter().map(|d| d.caller).collect();
    // A tenth of the surge is of high priority, well within the capacity.
    let (low, high) = tokio::join!(
        load(stream(2.7 * capacity, size.surge, "web"), known.clone()),
        load(stream(0.3 * capacity, size.surge, "kiosk"), known.clone()),
    );
    let surge = surge_line(&cluster, capacity, size, &low, &high);
    let normal = load(stream(0.4 * capacity, Duration::from_secs(3), "web"), known.clone()).await;
    let dying = cluster.plan.halls.len() - 1;
    let after = load(stream(0.4 * capacity, size.after, "web"), known);
    let death = async {
        tokio::time::sleep(size.after / 4).await;
        for daemon in cluster.daemons.iter_mut().filter(|d| d.hall == dying) {
            daemon.kill();
        }
        let ip = Plan::target_ip(cluster.number, dying);
        cluster.targets.iter().filter(|t| t.address.ip() == ip).for_each(|t| t.kill());
    };
    let (after, ()) = tokio::join!(after, death);
    Ok(vec![surge, death_line(&cluster, size, &normal, &after)])
}

fn peak_share(cluster: &Cluster) -> f64 {
    let shares = cluster.targets.iter().map(|t| f64::from(t.seen.peak.load(Relaxed)) / f64::from(t.slots()));
    shares.fold(0.0, f64::max)
}

fn surge_line(cluster: &Cluster, capacity: f64, size: Size, low: &Outcome, high: &Outcome) -> Line {
    let served = low.good() + high.good();
    let goodput = served as f64 / (capacity * size.surge.as_secs_f64());
    let share = |o: &Outcome| o.good() as f64 / o.all().max(1) as f64;
    let peak = peak_share(cluster);
    let foreign = low.foreign + high.foreign;
    Line {
        name: "surge",
        parameters: json!({"capacity_per_second": capacity, "offered": 3.0, "seconds": size.surge.as_secs_f64()}),
        figures: json!({
            "goodput_share": goodput,
            "high_served_share": share(high),
            "low_served_share": share(low),
            "high_p99_ms": high.ms(0.99),
            "low_p99_ms": low.ms(0.99),
            "peak_over_slots": peak,
            "foreign_answers": foreign,
            "low_counts": low.counts,
            "high_counts": high.counts,
        }),
        baseline: json!({"goodput_share": GOODPUT, "peak_over_slots": 1.0}),
        ratio: goodput / GOODPUT,
        ok: goodput >= GOODPUT && peak <= 1.0 && share(high) > 0.99 && share(high) > share(low) && foreign == 0,
    }
}

fn death_line(cluster: &Cluster, size: Size, normal: &Outcome, after: &Outcome) -> Line {
    let death = size.after / 4;
    let recovered = death + RECOVERY;
    let share = |from: Duration, to: Duration| {
        let within = |at: &Duration| *at >= from && *at < to;
        let begun = after.begun.iter().filter(|at| within(at)).count();
        let served = after.done.iter().filter(|d| within(&d.began)).count();
        served as f64 / begun.max(1) as f64
    };
    let before = share(Duration::ZERO, death);
    let meanwhile = share(death, recovered);
    let later = share(recovered, size.after);
    let peak = peak_share(cluster);
    let ratio = later / before.max(0.01);
    Line {
        name: "surge",
        parameters: json!({"load_share": 0.4, "hall_dies_after_s": death.as_secs_f64()}),
        figures: json!({
            "served_share_before": before,
            "served_share_for_2s_after": meanwhile,
            "served_share_from_2s_after": later,
            "peak_over_slots": peak,
            "counts": after.counts,
        }),
        baseline: json!({"normal_counts": normal.counts, "normal_p99_ms": normal.ms(0.99)}),
        ratio,
        ok: ratio > 0.99 && peak <= 1.0,
    }
}
