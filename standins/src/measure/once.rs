//! `once`: purchases whose callers try again, under kills, cuts, lost
//! platform replies and pauses.

use super::{Line, Lines};
use crate::caller::{Caller, Send};
use crate::cluster::{Cluster, ClusterError};
use crate::key_value::Faults;
use crate::load::fresh_run;
use crate::plan::{NEVER, Plan};
use rand::Rng;
use serde_json::json;
use std::collections::{BTreeMap, HashMap};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::Path;
use std::sync::atomic::Ordering::Relaxed;
use std::time::{Duration, Instant};

/// How large the measure is.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// Callers that buy one after the other.
    pub callers: usize,
    /// How long they do.
    pub time: Duration,
}

impl Size {
    /// As documented.
    pub fn full() -> Self {
        Self { callers: 40, time: Duration::from_secs(30) }
    }
}

/// What a caller was told of one purchase in the end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Told {
    Done,
    NotRun,
    Unknown,
    Nothing,
}

/// Runs the measure.
pub async fn run(program: &Path, size: Size) -> Lines {
    let plan = Plan::halls(2, 1, 2).service("booking", 3, 4, Duration::from_millis(8), NEVER).wired();
    let mut cluster = Cluster::start(plan, program).await?;
    let known: Vec<SocketAddr> = cluster.daemons.iter().map(|d| d.caller).collect();
    let until = Instant::now() + size.time;
    let mut tasks = tokio::task::JoinSet::new();
    for i in 0..size.callers {
        let source = IpAddr::V4(Ipv4Addr::new(127, 240 + (i % 2) as u8, 1, i as u8 + 1));
        tasks.spawn(buy(Caller::new(source, known.clone()), until));
    }
    faults(&mut cluster, until).await?;
    let mut told = HashMap::new();
    while let Some(done) = tasks.join_next().await {
        told.extend(done.unwrap_or_default());
    }
    Ok(vec![line(&cluster, size, &told)])
}

/// Buys until the time is over; each purchase is tried up to three times
/// under its key, also by another entry.
async fn buy(mut caller: Caller, until: Instant) -> HashMap<String, Told> {
    let mut told = HashMap::new();
    while Instant::now() < until {
        let Some(lookup) = caller.look("booking").await else { continue };
        let Some(key) = lookup.key else { continue };
        let run = fresh_run();
        let mut last = Told::Nothing;
        for _ in 0..3 {
            // Any entry, also a wrong one: they relay to the key's home.
            let entry = lookup.entries[rand::rng().random_range(0..lookup.entries.len())].address;
            let wait = Duration::from_millis(if rand::random_bool(0.1) { 5 } else { 1_500 });
            let send = Send { key: Some(&key), wait, ..Send::to("booking", &run) };
            let reply = caller.send_to(entry, send.request(), wait + Duration::from_millis(50)).await;
            let said = match &reply {
                Err(_) => Told::Nothing,
                Ok(reply) if reply.status == 200 => Told::Done,
                Ok(reply) if reply.header("lockloft-outcome") == "not-run" => Told::NotRun,
                Ok(_) => Told::Unknown,
            };
            // Being told "not run" once settles it: that must stay true.
            if last != Told::NotRun {
                last = said;
            }
            if said == Told::Done {
                break;
            }
        }
        told.insert(run, last);
    }
    told
}

/// Kills, pauses, cuts and a platform that loses replies, one after another.
async fn faults(cluster: &mut Cluster, until: Instant) -> Result<(), ClusterError> {
    let pause = Duration::from_millis(700);
    let mut round = 0;
    while Instant::now() + 4 * pause < until {
        let victim = round % cluster.daemons.len();
        match round % 4 {
            0 => {
                cluster.daemons[victim].kill();
                cluster.list_all();
                tokio::time::sleep(pause).await;
                cluster.daemons[victim].start()?;
                cluster.list_all();
            }
            1 => {
                cluster.daemons[victim].pause();
                tokio::time::sleep(2 * pause).await;
                cluster.daemons[victim].resume();
            }
            2 => {
                let (left, right) = (cluster.ips(0), cluster.ips(1));
                cluster.net.cut(&left, &right);
                tokio::time::sleep(pause).await;
                cluster.net.heal();
            }
            _ => {
                cluster.targets.iter().take(2).for_each(|t| t.behaviour.closes.store(true, Relaxed));
                cluster.platform.set(Faults { lost: 0.5, ..Faults::default() });
                tokio::time::sleep(pause).await;
                cluster.targets.iter().for_each(|t| t.behaviour.closes.store(false, Relaxed));
                cluster.platform.set(Faults::default());
            }
        }
        tokio::time::sleep(pause).await;
        round += 1;
    }
    tokio::time::sleep(until.saturating_duration_since(Instant::now())).await;
    Ok(())
}

fn line(cluster: &Cluster, size: Size, told: &HashMap<String, Told>) -> Line {
    let mut runs: HashMap<String, u32> = HashMap::new();
    for target in &cluster.targets {
        for (run, count) in target.seen.runs.lock().expect("no holder panics").iter() {
            *runs.entry(run.clone()).or_default() += count;
        }
    }
    let most = runs.values().copied().max().unwrap_or(0);
    let mut counts: BTreeMap<Told, u64> = BTreeMap::new();
    let mut lied = 0;
    let mut lost = 0;
    for (run, said) in told {
        *counts.entry(*said).or_default() += 1;
        let ran = runs.get(run).copied().unwrap_or(0) > 0;
        lied += u64::from(*said == Told::NotRun && ran);
        lost += u64::from(*said == Told::Done && !ran);
    }
    let named: BTreeMap<String, u64> = counts.iter().map(|(k, v)| (format!("{k:?}").to_lowercase(), *v)).collect();
    let unknown = counts.get(&Told::Unknown).copied().unwrap_or(0) as f64 / told.len().max(1) as f64;
    Line {
        name: "once",
        parameters: json!({"callers": size.callers, "seconds": size.time.as_secs_f64()}),
        figures: json!({
            "purchases": told.len(),
            "most_runs_of_one_key": most,
            "not_run_that_ran": lied,
            "done_that_did_not_run": lost,
            "unknown_share": unknown,
            "told": named,
        }),
        baseline: json!({"most_runs_of_one_key": 1, "not_run_that_ran": 0}),
        ratio: f64::from(most),
        ok: most <= 1 && lied == 0 && lost == 0 && told.len() > size.callers,
    }
}
