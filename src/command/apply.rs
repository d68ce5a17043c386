//! `lockloft apply`: policies are checked here, then by an instance, which
//! writes them to the store.

use super::check;
use super::client::Client;
use super::error::CommandError;
use super::options::Apply;
use super::output::Output;
use crate::operator::api::{ApplyRequest, InstanceLine, InstanceStatus, PoliciesApplied};
use crate::policy::{Policies, Sources};
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// Longest time that `--wait` waits until policies are in force everywhere. An instance receives a
/// change within a second; the rest is for a slow store.
const WAIT: Duration = Duration::from_secs(30);
/// Time between two questions while `--wait` waits: a fifth of the second in which a change is
/// expected.
const POLL_EVERY: Duration = Duration::from_millis(200);

/// Applies a file or folder, and with `--wait` waits until every instance has it
/// in force.
///
/// # Errors
/// [`CommandError`].
pub async fn run(client: &Client, asked: &Apply) -> Result<Output, CommandError> {
    let sources = check::read(&asked.path)?;
    Policies::check(0, &sources)?;
    let applied: PoliciesApplied = client.post("/policies", body(asked, sources)?).await?;
    let mut text = format!("revision {} applied\n", applied.revision);
    for name in &applied.idle {
        text.push_str(&format!("policy {name:?} selects no target that is there now\n"));
    }
    if asked.wait {
        let took = wait(client, applied.revision).await?;
        text.push_str(&format!("in force at every instance after {:.1} s\n", took.as_secs_f64()));
    }
    Output::new(&applied, text)
}

/// The request, with a random id by which the instance finds in the store
/// whether a write whose answer was lost took place.
fn body(asked: &Apply, sources: Sources) -> Result<Vec<u8>, CommandError> {
    let id = format!("{:032x}", rand::random::<u128>());
    let request = ApplyRequest { id, by: asked.by.clone(), expect: asked.expect, sources };
    serde_json::to_vec(&request).map_err(|error| CommandError::BadAnswer(error.to_string()))
}

/// Waits until every instance that is registered has a revision in force.
async fn wait(client: &Client, revision: u64) -> Result<Duration, CommandError> {
    let started = Instant::now();
    loop {
        let behind = behind(client, revision).await?;
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

/// Names of the instances that do not have a revision in force.
async fn behind(client: &Client, revision: u64) -> Result<Vec<String>, CommandError> {
    let instances: Vec<InstanceLine> = client.get("/instances").await?;
    let mut behind = Vec::new();
    for instance in instances {
        let other = Client::new(Some(&instance.peers.to_string()))?;
        // An instance that does not answer is polled again, and named when the wait
        // ends: why it did not answer makes no difference to that.
        let status = other.get::<InstanceStatus>("/status").await.ok();
        let in_force = status.and_then(|status| status.policies);
        if in_force.is_none_or(|in_force| in_force < revision) {
            behind.push(instance.name);
        }
    }
    Ok(behind)
}
