//! Commands that show what a daemon knows.

use super::Output;
use super::client::{Client, query};
use super::error::CommandError;
use crate::api::{HistoryLine, InstanceLine, ShiftLine, Status, Targets};
use crate::config::Document;
use std::fmt::Write;

/// Prints the declaration of a revision.
///
/// # Errors
/// [`CommandError`].
pub async fn show(client: &Client, revision: Option<u64>) -> Result<Output, CommandError> {
    let path = revision.map_or("/config".into(), |r| format!("/config?revision={r}"));
    let (revision, document): (u64, Document) = client.get(&path).await?;
    let mut text = format!("# revision {revision} by {}\n", document.by);
    for source in &document.sources.files {
        let _ = write!(text, "# file {}\n{}\n", source.file, source.text.trim_end());
    }
    Output::new(&document, text)
}

/// Prints a daemon's state.
///
/// # Errors
/// [`CommandError`].
pub async fn status(client: &Client) -> Result<Output, CommandError> {
    let status: Status = client.get("/status").await?;
    let mut text = format!("{} in {}\n", status.instance, status.hall);
    let _ = writeln!(text, "revision {} for {:.1} s", status.revision, status.revision_age_ms as f64 / 1000.0);
    let share = match (status.member, status.leased) {
        (true, true) => "full share",
        (true, false) => "reserve only: its lease has lapsed",
        (false, _) => "no share: not in the hall's record",
    };
    let _ = writeln!(text, "epoch {} (settled {}), {share}", status.epoch, status.settled);
    let _ = writeln!(text, "contracts lent {}, borrowed {}", status.contracts.0, status.contracts.1);
    for withheld in &status.withheld {
        let _ = writeln!(
            text,
            "withheld: {}/{} went silent, its reserve is out of use",
            withheld.name, withheld.incarnation
        );
    }
    for hall in &status.halls {
        let _ = writeln!(
            text,
            "{:<20} revision {:<6} members {:<3} heard {} ms ago",
            hall.hall, hall.revision, hall.members, hall.age_ms
        );
    }
    Output::new(&status, text)
}

/// Lists all instances.
///
/// # Errors
/// [`CommandError`].
pub async fn instances(client: &Client) -> Result<Output, CommandError> {
    let lines: Vec<InstanceLine> = client.get("/instances").await?;
    let mut text = String::new();
    for line in &lines {
        let up = line.uptime_ms / 1000;
        let _ = writeln!(text, "{:<20} {:<24} {:<22} up {up} s", line.hall, line.name, line.address);
    }
    Output::new(&lines, text)
}

/// Lists all targets and loads.
///
/// # Errors
/// [`CommandError`].
pub async fn targets(client: &Client) -> Result<Output, CommandError> {
    let all: Targets = client.get("/targets").await?;
    let mut text = String::new();
    for line in &all.targets {
        let quota = line.quota.map_or("-".into(), |q| q.to_string());
        let flight = line.flight.map_or("-".into(), |f| f.to_string());
        let _ = writeln!(
            text,
            "{:<20} {:<16} {:<20} slots {:<4} own quota {quota:<4} in flight {flight:<4} {}",
            line.hall, line.service, line.target, line.slots, line.state
        );
    }
    for line in &all.loads {
        let age = line.facts.age_ms.map_or("never heard".into(), |a| format!("{a} ms ago"));
        let _ = writeln!(
            text,
            "{:<20} {:<16} {} of {} slots in use, {age}",
            line.hall, line.service, line.facts.flight, line.facts.slots
        );
    }
    Output::new(&all, text)
}

/// Lists planned shifts.
///
/// # Errors
/// [`CommandError`].
pub async fn shifts(client: &Client) -> Result<Output, CommandError> {
    let lines: Vec<ShiftLine> = client.get("/shifts").await?;
    let mut text = String::new();
    for line in &lines {
        let cap = line.cap.map_or("no cap".into(), |c| format!("cap {:.1}%", c * 100.0));
        let _ =
            writeln!(text, "{:<24} {:.1}% of {:.1}%, {cap}", line.policy, line.fraction * 100.0, line.share * 100.0);
    }
    Output::new(&lines, text)
}

/// Lists the latest revisions.
///
/// # Errors
/// [`CommandError`].
pub async fn history(client: &Client) -> Result<Output, CommandError> {
    let lines: Vec<HistoryLine> = client.get("/history").await?;
    let mut text = String::new();
    for line in &lines {
        let _ = writeln!(text, "{:<8} {:<20} {} ms since 1970, apply {}", line.revision, line.by, line.at_ms, line.id);
    }
    Output::new(&lines, text)
}

/// Releases a silent instance's reserve.
///
/// # Errors
/// [`CommandError`].
pub async fn remove(client: &Client, name: &str) -> Result<Output, CommandError> {
    let id: String = client.post(&format!("/remove?{}", query(&[("name", name)])), Vec::new()).await?;
    let text = format!("the reserve of {id} is released\n");
    Output::new(&id, text)
}
