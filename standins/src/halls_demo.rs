//! The demonstration: a whole cluster on loopback, narrated.

use crate::caller::{Caller, Send};
use crate::cluster::{Cluster, ClusterError};
use crate::plan::{NEVER, Plan, SAFE};
use lockloft::command::sentences;
use lockloft::decision::account::AccountLine;
use std::net::{IpAddr, Ipv4Addr};
use std::process::ExitCode;
use std::time::{Duration, Instant};

/// Runs the demonstration; with `once` it ends by itself.
pub async fn run(once: bool) -> ExitCode {
    match show(once).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("demo: {error}");
            ExitCode::FAILURE
        }
    }
}

fn plan() -> Plan {
    Plan::halls(2, 2, 2)
        .service("timetable", 3, 4, Duration::from_millis(5), SAFE)
        .service("booking", 2, 4, Duration::from_millis(8), NEVER)
        .logged()
}

async fn show(once: bool) -> Result<(), ClusterError> {
    let program = std::env::current_exe()?;
    println!("Starting a platform, 20 targets and 8 daemons in 4 halls of 2 regions ...");
    let started = Instant::now();
    let mut cluster = Cluster::start(plan(), &program).await?;
    println!("All daemons hold their shares after {:.1} s.\n", started.elapsed().as_secs_f64());
    let known = cluster.daemons.iter().map(|d| d.caller).collect();
    let mut caller = Caller::new(IpAddr::V4(Ipv4Addr::new(127, 240, 1, 1)), known);
    serve_both(&cluster, &mut caller).await?;
    explain_each(&cluster).await?;
    drain(&cluster, &mut caller).await?;
    kill(&mut cluster, &mut caller).await?;
    if once {
        println!("\nDone.");
        return Ok(());
    }
    println!("\nThe cluster goes on running; end it with Ctrl-C. Operator addresses:");
    for daemon in &cluster.daemons {
        println!("  LOCKLOFT_SERVER={} lockloft status   # {}", daemon.operator, daemon.name);
    }
    std::future::pending().await
}

fn refused(what: &str) -> ClusterError {
    ClusterError::Refused(what.to_owned())
}

async fn serve_both(cluster: &Cluster, caller: &mut Caller) -> Result<(), ClusterError> {
    let lookup = caller.look("timetable").await.ok_or_else(|| refused("no look-up was answered"))?;
    println!(
        "A caller in r0 looks up timetable: {} entries, best {} in {}.",
        lookup.entries.len(),
        lookup.entries[0].address,
        lookup.entries[0].hall
    );
    let reply = caller.send(&Send::to("timetable", "demo-1")).await.map_err(|_| refused("timetable was not served"))?;
    println!("Its request was answered by {} ({}).", reply.header("x-target"), reply.header("lockloft-decision"));
    let lookup = caller.look("booking").await.ok_or_else(|| refused("no look-up was answered"))?;
    let key = lookup.key.ok_or_else(|| refused("no key was given"))?;
    let send = Send { key: Some(&key), ..Send::to("booking", "demo-2") };
    for time in ["first", "second"] {
        let reply = caller.send(&send).await.map_err(|_| refused("booking was not served"))?;
        println!("A purchase sent a {time} time under one key: {} by {}.", reply.status, reply.header("x-target"));
    }
    let runs: u32 = cluster
        .targets
        .iter()
        .map(|t| t.seen.runs.lock().expect("no holder panics").get("demo-2").copied().unwrap_or(0))
        .sum();
    println!("The targets ran it {runs} time(s).\n");
    if runs == 1 { Ok(()) } else { Err(refused("the purchase did not run exactly once")) }
}

async fn explain_each(cluster: &Cluster) -> Result<(), ClusterError> {
    for daemon in &cluster.daemons {
        let mut caller = Caller::new(IpAddr::V4(Ipv4Addr::new(127, 241, 1, 1)), vec![daemon.caller]);
        let request = Send::to("timetable", "demo-3").request();
        let reply = caller.send_to(daemon.caller, request, Duration::from_secs(3)).await;
        let reply = reply.map_err(|_| refused("a daemon did not serve"))?;
        let decision = reply.header("lockloft-decision").to_owned();
        // Any daemon explains: the last one is asked about each.
        let asked = &cluster.daemons[cluster.daemons.len() - 1];
        let path = format!("/explain?decision={decision}");
        let reply = crate::http::get(asked.operator, &path).await.map_err(|_| refused("no explanation came"))?;
        let line: AccountLine =
            serde_json::from_slice(&reply.body).map_err(|_| refused(&String::from_utf8_lossy(&reply.body)))?;
        println!("$ lockloft explain {decision}\n{}", sentences(&line));
    }
    Ok(())
}

async fn drain(cluster: &Cluster, caller: &mut Caller) -> Result<(), ClusterError> {
    let leaving = &cluster.targets_of(0).next().expect("the plan has targets").name.clone();
    let policy = format!("[[policy]]\nname = \"drain-one\"\nplaces = {{ target = \"{leaving}\" }}\ndrain = true\n");
    let revision = cluster.apply(&(cluster.declaration() + &policy), None).await?;
    println!("Revision {revision} drains {leaving}.");
    tokio::time::sleep(Duration::from_secs(2)).await;
    let target = cluster.targets.iter().find(|t| t.name == *leaving).expect("it was taken from the list");
    let before = target.seen.done.load(std::sync::atomic::Ordering::Relaxed);
    for _ in 0..50 {
        let run = crate::load::fresh_run();
        caller.send(&Send::to("timetable", &run)).await.map_err(|_| refused("a request was cut off"))?;
    }
    let after = target.seen.done.load(std::sync::atomic::Ordering::Relaxed);
    println!("Two seconds later 50 requests were served, {} of them there.\n", after - before);
    if after == before { Ok(()) } else { Err(refused("a drained target got new work")) }
}

async fn kill(cluster: &mut Cluster, caller: &mut Caller) -> Result<(), ClusterError> {
    let name = cluster.daemons[0].name.clone();
    cluster.daemons[0].kill();
    cluster.list_all();
    println!("{name} is killed.");
    let mut served = 0;
    for _ in 0..50 {
        let run = crate::load::fresh_run();
        served += u32::from(caller.send(&Send::to("timetable", &run)).await.is_ok_and(|r| r.status.is_success()));
    }
    println!("50 requests later: {served} served, at the first try each.");
    cluster
        .wait("the removal of the dead instance", |c| {
            Box::pin(async move {
                let status = c.daemons[1].status().await;
                status.is_some_and(|s| s.withheld.iter().any(|w| w.name == c.daemons[0].name) && s.leased)
            })
        })
        .await?;
    println!("Its sibling has taken over its leased share; its reserve stays out of use until the list drops it.");
    if served >= 48 { Ok(()) } else { Err(refused("too many requests failed after a kill")) }
}
