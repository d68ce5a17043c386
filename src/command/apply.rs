//! `lockloft apply`.

use super::client::Client;
use super::error::CommandError;
use super::options::Apply;
use super::{Output, check};
use crate::api::{ApplyRequest, Status};
use crate::config::Applied;
use crate::declaration::Declaration;
use std::time::{Duration, Instant};

/// Longest wait until a revision is in force everywhere.
const WAIT: Duration = Duration::from_secs(30);
/// Pause between looks.
const LOOK: Duration = Duration::from_millis(200);

/// Checks here, then has the daemon check again and commit.
///
/// # Errors
/// [`CommandError`].
pub async fn run(client: &Client, apply: &Apply) -> Result<Output, CommandError> {
    let sources = check::read(&apply.path)?;
    Declaration::try_from(&sources)?;
    let id = format!("{:032x}", rand::random::<u128>());
    let request = ApplyRequest { id, by: apply.by.clone(), expect: apply.expect, sources };
    let body = serde_json::to_vec(&request).map_err(|e| CommandError::Strange(e.to_string()))?;
    let applied: Applied = client.post("/apply", body).await?;
    let mut text = format!("revision {} applied\n", applied.revision);
    if apply.wait {
        let took = wait(client, applied.revision).await?;
        text.push_str(&format!("in force in every hall after {:.1} s\n", took.as_secs_f64()));
    }
    Output::new(&applied, text)
}

async fn wait(client: &Client, revision: u64) -> Result<Duration, CommandError> {
    let started = Instant::now();
    loop {
        let status: Status = client.get("/status").await?;
        let behind: Vec<&str> =
            status.halls.iter().filter(|h| h.revision < revision).map(|h| h.hall.as_str()).collect();
        if behind.is_empty() && status.revision >= revision {
            return Ok(started.elapsed());
        }
        if started.elapsed() > WAIT {
            let text = format!("revision {revision} is applied but not seen in force in {}", behind.join(", "));
            return Err(CommandError::Timeout(text));
        }
        tokio::time::sleep(LOOK).await;
    }
}
