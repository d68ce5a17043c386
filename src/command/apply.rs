//! `lockloft apply`: policies are checked here, then by an instance, which
//! writes them to the store.

use super::client::Client;
use super::error::CommandError;
use super::options::Apply;
use super::{Output, check};
use crate::operator::api::ApplyRequest;
use crate::operator::api::{InstanceLine, InstanceStatus, PoliciesApplied};
use crate::policy::Policies;
use std::fmt::Write;
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// Longest time that `--wait` waits until policies are in force everywhere. An
/// instance hears of a change within a second; the rest is for a slow store.
const WAIT: Duration = Duration::from_secs(30);
/// Time between two questions while `--wait` waits.
const POLL_EVERY: Duration = Duration::from_millis(200);

/// Applies a file or folder, and with `--wait` waits until every instance has it
/// in force.
///
/// # Errors
/// [`CommandError`].
pub async fn run(client: &Client, asked: &Apply) -> Result<Output, CommandError> {
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

/// Waits until every instance that the instance knows has a revision in force.
async fn wait(client: &Client, revision: u64) -> Result<Duration, CommandError> {
    let started = Instant::now();
    loop {
        let instances: Vec<InstanceLine> = client.get("/instances").await?;
        let mut behind = Vec::new();
        for instance in instances {
            let other = Client::new(Some(&instance.peers.to_string()))?;
            let known = other.get::<InstanceStatus>("/status").await.ok().and_then(|status| status.policies);
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
        sleep(POLL_EVERY).await;
    }
}
