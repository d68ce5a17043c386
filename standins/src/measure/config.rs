//! `config`: applies by two operators while the store is slow, down or loses
//! replies and instances restart.

use super::{Line, Lines};
use crate::cluster::{Cluster, ClusterError};
use crate::key_value::Faults;
use crate::plan::{Plan, SAFE};
use serde_json::json;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::time::{Duration, Instant};

/// Longest time until a revision is in force in 99 of 100 instances.
const FORCE: f64 = 2.0;

/// How large the measure is.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// Applies in all.
    pub applies: u64,
    /// Longest time for them.
    pub limit: Duration,
}

impl Size {
    /// As documented.
    pub fn full() -> Self {
        Self { applies: 1_000, limit: Duration::from_secs(50) }
    }
}

/// What the watch over all instances found.
#[derive(Default)]
struct Watched {
    reverts: u64,
    looks: u64,
    /// Times in milliseconds from a revision's acceptance to its being in
    /// force in one instance.
    times: Vec<f64>,
}

/// Runs the measure.
pub async fn run(program: &Path, size: Size) -> Lines {
    let plan = Plan::halls(3, 2, 2).service("timetable", 1, 4, Duration::from_millis(2), SAFE);
    // A thousand applies a minute are far above any real rate of changes.
    let plan = Plan { rate: Some(100.0), ..plan };
    let mut cluster = Cluster::start(plan, program).await?;
    let accepted: Arc<std::sync::Mutex<Vec<(u64, Instant)>>> = Arc::default();
    let over = Arc::new(AtomicBool::new(false));
    let conflicts = AtomicU64::new(0);
    let lost = AtomicU64::new(0);
    let watched = watch(&cluster, accepted.clone(), over.clone());
    let watched = tokio::spawn(watched);
    let applies = {
        let cluster = &cluster;
        let one = |operator: usize| {
            let (accepted, conflicts, lost) = (accepted.clone(), &conflicts, &lost);
            async move { operate(cluster, operator, size, &accepted, conflicts, lost).await }
        };
        let trouble = trouble(cluster, size, &accepted);
        let (a, b, ()) = tokio::join!(one(0), one(1), trouble);
        (a, b)
    };
    cluster.platform.set(Faults::default());
    let restarted = restart_all(&mut cluster, &accepted).await;
    over.store(true, Relaxed);
    let watched = watched.await.unwrap_or_default();
    let done = applies.0 + applies.1;
    Ok(vec![line(&cluster, size, done, &watched, conflicts.load(Relaxed), lost.load(Relaxed), restarted?)])
}

/// One operator: applies declarations of its own one after the other.
async fn operate(
    cluster: &Cluster,
    operator: usize,
    size: Size,
    accepted: &std::sync::Mutex<Vec<(u64, Instant)>>,
    conflicts: &AtomicU64,
    lost: &AtomicU64,
) -> u64 {
    let until = Instant::now() + size.limit;
    let mut done = 0;
    while done < size.applies / 2 && Instant::now() < until {
        let text = format!("{}[[policy]]\nname = \"mark-{operator}-{done}\"\npriority = 5\n", cluster.declaration());
        let daemon = &cluster.daemons[(operator * 5 + done as usize) % cluster.daemons.len()];
        match cluster.apply_at(daemon, &text, None).await {
            Ok(revision) => {
                accepted.lock().expect("no holder panics").push((revision, Instant::now()));
                done += 1;
            }
            Err(ClusterError::Refused(text)) if text.contains("came first") => {
                conflicts.fetch_add(1, Relaxed);
            }
            Err(_) => {
                lost.fetch_add(1, Relaxed);
            }
        }
    }
    done
}

/// The store is slow, then loses replies, then is down for a while.
async fn trouble(cluster: &Cluster, size: Size, accepted: &std::sync::Mutex<Vec<(u64, Instant)>>) {
    let count = || accepted.lock().expect("no holder panics").len() as u64;
    let started = Instant::now();
    let late = || started.elapsed() > size.limit;
    while count() < size.applies / 4 && !late() {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    for faults in [
        Faults { slow_ms: 40, ..Faults::default() },
        Faults { lost: 0.1, ..Faults::default() },
        Faults { down: true, ..Faults::default() },
    ] {
        cluster.platform.set(faults);
        tokio::time::sleep(size.limit / 12).await;
    }
    cluster.platform.set(Faults::default());
}

/// Looks at every instance all the time: its revision may only rise.
fn watch(
    cluster: &Cluster,
    accepted: Arc<std::sync::Mutex<Vec<(u64, Instant)>>>,
    over: Arc<AtomicBool>,
) -> impl Future<Output = Watched> + Send + 'static {
    let operators: Vec<_> = cluster.daemons.iter().map(|d| d.operator).collect();
    async move {
        let looks = operators.into_iter().map(|operator| look(operator, accepted.clone(), over.clone()));
        let mut all = Watched::default();
        for one in futures::future::join_all(looks).await {
            all.reverts += one.reverts;
            all.looks += one.looks;
            all.times.extend(one.times);
        }
        all
    }
}

async fn look(
    operator: std::net::SocketAddr,
    accepted: Arc<std::sync::Mutex<Vec<(u64, Instant)>>>,
    over: Arc<AtomicBool>,
) -> Watched {
    let mut watched = Watched::default();
    let mut highest = 0;
    let mut judged = 0;
    while !over.load(Relaxed) {
        tokio::time::sleep(Duration::from_millis(20)).await;
        let reply = tokio::time::timeout(Duration::from_secs(1), crate::http::get(operator, "/status")).await;
        let Ok(Ok(reply)) = reply else { continue };
        let Ok(status) = serde_json::from_slice::<lockloft::api::Status>(&reply.body) else { continue };
        watched.looks += 1;
        // A process that just started may have nothing yet; it may not have
        // something older than what was in force there before.
        if status.revision != 0 && status.revision < highest {
            watched.reverts += 1;
        }
        highest = highest.max(status.revision);
        let now = Instant::now();
        let list = accepted.lock().expect("no holder panics").clone();
        for (revision, at) in list.iter().skip(judged).take_while(|(r, _)| *r <= highest) {
            let _ = revision;
            watched.times.push((now - *at).as_secs_f64() * 1_000.0);
            judged += 1;
        }
    }
    watched
}

/// Restarts every instance; each has to come back with the highest revision.
async fn restart_all(
    cluster: &mut Cluster,
    accepted: &std::sync::Mutex<Vec<(u64, Instant)>>,
) -> Result<bool, ClusterError> {
    let highest = accepted.lock().expect("no holder panics").iter().map(|(r, _)| *r).max().unwrap_or(0);
    // The store shows less than before: the newest revision is gone from it.
    cluster.platform.forget(&lockloft::config::revision_key(highest));
    let count = cluster.daemons.len();
    for i in 0..count {
        cluster.daemons[i].kill();
        cluster.daemons[i].start()?;
        let cluster = &*cluster;
        cluster
            .wait("the revision after a restart", |c| {
                Box::pin(async move { c.daemons[i].status().await.is_some_and(|s| s.revision >= highest) })
            })
            .await?;
    }
    Ok(true)
}

fn line(cluster: &Cluster, size: Size, done: u64, watched: &Watched, conflicts: u64, failed: u64, back: bool) -> Line {
    let mut times = watched.times.clone();
    times.sort_by(f64::total_cmp);
    let quantile = |q: f64| times.get((times.len() as f64 * q) as usize).copied().unwrap_or(f64::NAN) / 1_000.0;
    let p99 = quantile(0.99);
    Line {
        name: "config",
        parameters: json!({"applies": size.applies, "instances": cluster.daemons.len(), "operators": 2}),
        figures: json!({
            "accepted": done,
            "conflicts": conflicts,
            "failed": failed,
            "looks": watched.looks,
            "reverts": watched.reverts,
            "in_force_p50_s": quantile(0.5),
            "in_force_p99_s": p99,
            "highest_after_restarts_and_a_forgetful_store": back,
        }),
        baseline: json!({"reverts": 0, "in_force_p99_s": FORCE}),
        ratio: p99 / FORCE,
        ok: watched.reverts == 0 && p99 < FORCE && back && done > 0,
    }
}
