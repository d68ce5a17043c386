//! The commands that speak to an entry instance on a platform.

use super::Output;
use super::check;
use super::client::{Client, query};
use super::error::CommandError;
use super::options::Apply;
use crate::api::ApplyRequest;
use crate::entry::api::{EntryInstance, EntryStatus, EntryTarget, PoliciesApplied, Why};
use crate::entry::policy::{Policies, PolicyDocument};
use std::fmt::Write;
use std::path::Path;
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// Longest wait until policies are in force everywhere.
const WAIT: Duration = Duration::from_secs(30);
/// Pause between looks.
const LOOK: Duration = Duration::from_millis(200);
/// Keys of a dry decision that are no labels.
const QUESTION_KEYS: [&str; 4] = ["host", "path", "method", "object"];

/// What to ask an entry.
pub enum EntryCommand {
    /// Apply policies.
    Apply(Apply),
    /// Print the policies in force.
    Show,
    /// Print the entry's state.
    Status,
    /// List instances.
    Instances,
    /// List targets.
    Targets,
    /// Make a dry decision for these keys and values.
    Why(Vec<(String, String)>),
}

/// Does what a command asks for.
///
/// # Errors
/// [`CommandError`].
pub async fn run(address: &str, command: &EntryCommand) -> Result<Output, CommandError> {
    let client = Client::new(Some(address))?;
    match command {
        EntryCommand::Apply(asked) => apply(&client, asked).await,
        EntryCommand::Show => show(&client).await,
        EntryCommand::Status => status(&client).await,
        EntryCommand::Instances => instances(&client).await,
        EntryCommand::Targets => targets(&client).await,
        EntryCommand::Why(pairs) => why(&client, pairs).await,
    }
}

/// Checks policies without an entry.
///
/// # Errors
/// [`CommandError`].
pub fn check_policies(path: &Path) -> Result<Output, CommandError> {
    let policies = Policies::check(0, &check::read(path)?)?;
    let names: Vec<&str> = policies.iter().map(|policy| policy.name.as_str()).collect();
    Output::new(&names, format!("good: {} policies\n", names.len()))
}

async fn apply(client: &Client, asked: &Apply) -> Result<Output, CommandError> {
    let sources = check::read(&asked.path)?;
    Policies::check(0, &sources)?;
    let id = format!("{:032x}", rand::random::<u128>());
    let request = ApplyRequest { id, by: asked.by.clone(), expect: asked.expect, sources };
    let body = serde_json::to_vec(&request).map_err(|error| CommandError::Strange(error.to_string()))?;
    let applied: PoliciesApplied = client.post("/policies", body).await?;
    let mut text = format!("revision {} applied\n", applied.revision);
    for name in &applied.idle {
        let _ = writeln!(text, "policy {name:?} selects no target that is there now");
    }
    if asked.wait {
        let took = wait(client, applied.revision).await?;
        let _ = writeln!(text, "in force at every instance after {:.1} s", took.as_secs_f64());
    }
    Output::new(&applied, text)
}

/// Waits until every instance that the entry knows has a revision in force.
async fn wait(client: &Client, revision: u64) -> Result<Duration, CommandError> {
    let started = Instant::now();
    loop {
        let instances: Vec<EntryInstance> = client.get("/instances").await?;
        let mut behind = Vec::new();
        for instance in instances {
            let other = Client::new(Some(&instance.peers.to_string()))?;
            let known = other.get::<EntryStatus>("/status").await.ok().and_then(|status| status.policies);
            if known.is_none_or(|known| known < revision) {
                behind.push(instance.name);
            }
        }
        if behind.is_empty() {
            return Ok(started.elapsed());
        }
        if started.elapsed() > WAIT {
            let text = format!("revision {revision} is applied but not seen in force at {}", behind.join(", "));
            return Err(CommandError::Timeout(text));
        }
        sleep(LOOK).await;
    }
}

async fn show(client: &Client) -> Result<Output, CommandError> {
    let document: PolicyDocument = client.get("/policies").await?;
    let mut text = format!("# revision {} by {}\n", document.revision, document.by);
    for source in &document.sources.files {
        let _ = write!(text, "# file {}\n{}\n", source.file, source.text.trim_end());
    }
    Output::new(&document, text)
}

async fn status(client: &Client) -> Result<Output, CommandError> {
    let status: EntryStatus = client.get("/status").await?;
    let known = |value: Option<u64>| value.map_or("none".to_owned(), |value| value.to_string());
    let mut text = format!("{} in {}, {}\n", status.instance, status.hall, status.region);
    let _ = writeln!(text, "configuration {}, policies {}", known(status.config), known(status.policies));
    let store = if status.store_lost { "lost" } else { "answers" };
    let age = status.view_age_ms.map_or("never".to_owned(), |age| format!("{age} ms ago"));
    let _ = writeln!(text, "store {store}; known up to revision {}, surely current {age}", status.view_revision);
    let _ = writeln!(text, "{} instances, {} targets, {} requests", status.members, status.targets, status.active);
    if !status.evacuated.is_empty() {
        let _ = writeln!(text, "evacuated: {}", status.evacuated.join(", "));
    }
    if status.stopping {
        text.push_str("stopping\n");
    }
    Output::new(&status, text)
}

async fn instances(client: &Client) -> Result<Output, CommandError> {
    let lines: Vec<EntryInstance> = client.get("/instances").await?;
    let mut text = String::new();
    for line in &lines {
        let _ = writeln!(text, "{:<20} {:<24} callers {} peers {}", line.hall, line.name, line.callers, line.peers);
    }
    Output::new(&lines, text)
}

async fn targets(client: &Client) -> Result<Output, CommandError> {
    let lines: Vec<EntryTarget> = client.get("/targets").await?;
    let mut text = String::new();
    for line in &lines {
        let _ = writeln!(
            text,
            "{:<16} {:<16} {:<20} version {:<8} {:.1} of {} slots in use, {}",
            line.service, line.hall, line.target, line.version, line.load, line.slots, line.state
        );
    }
    Output::new(&lines, text)
}

async fn why(client: &Client, pairs: &[(String, String)]) -> Result<Output, CommandError> {
    let keys: Vec<(String, &str)> = pairs
        .iter()
        .map(|(key, value)| match QUESTION_KEYS.contains(&key.as_str()) {
            true => (key.clone(), value.as_str()),
            false => (format!("header.{key}"), value.as_str()),
        })
        .collect();
    let pairs: Vec<(&str, &str)> = keys.iter().map(|(key, value)| (key.as_str(), *value)).collect();
    let why: Why = client.get(&format!("/why?{}", query(&pairs))).await?;
    let text = sentences(&why);
    Output::new(&why, text)
}

/// A dry decision in plain sentences.
fn sentences(why: &Why) -> String {
    let age = why.view_age_ms.map_or("unknown".to_owned(), |age| format!("{age} ms"));
    let mut text = format!(
        "Route {} of configuration {} takes it, for service {}; what is known is {age} old.\n",
        why.route, why.config, why.service
    );
    if !why.acted.is_empty() {
        let revision = why.policies.unwrap_or_default();
        let _ = writeln!(text, "Policies with a part in it, of revision {revision}: {}.", why.acted.join(", "));
    }
    match &why.chosen {
        Some(target) => text.push_str(&format!("It would go to {target}. Nothing was sent.\n")),
        None => text.push_str("It would be refused. Nothing was sent.\n"),
    }
    for line in &why.targets {
        let _ = writeln!(
            text,
            "  {:<20} {:<20} {:.1} of {} slots in use: {}",
            line.target,
            line.hall,
            line.load,
            line.slots,
            verdict_text(&line.verdict)
        );
    }
    text
}

fn verdict_text(verdict: &str) -> &str {
    match verdict {
        "chosen" => "chosen",
        "next" => "next, if the chosen one had no room",
        "full" => "has no room",
        "farther" => "the object lives elsewhere",
        "draining" => "is leaving",
        "evacuated" => "its hall is evacuated",
        "region-not-allowed" => "the route does not allow its region",
        "denied" => "a deny policy selects it",
        "not-allowed" => "no allow policy selects it",
        "drained" => "a drain policy selects it",
        "left-alone" => "it failed and is left alone for a while",
        "slow" => "it is far slower than its peers",
        "cold" => "it is cold, and this instance has used its part of what it bears",
        other => other,
    }
}
