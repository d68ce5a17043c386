//! Commands that show what an instance knows.

use super::Output;
use super::client::Client;
use super::error::CommandError;
use crate::operator::api::{InstanceLine, InstanceStatus, TargetLine};
use crate::policy::PolicyDocument;
use std::fmt::Write;

/// Prints the policies in force.
///
/// # Errors
/// [`CommandError`].
pub async fn show(client: &Client) -> Result<Output, CommandError> {
    let document: PolicyDocument = client.get("/policies").await?;
    let mut text = format!("# revision {} by {}\n", document.revision, document.by);
    for source in &document.sources.files {
        let _ = write!(text, "# file {}\n{}\n", source.file, source.text.trim_end());
    }
    Output::new(&document, text)
}

/// Prints an instance's state.
///
/// # Errors
/// [`CommandError`].
pub async fn status(client: &Client) -> Result<Output, CommandError> {
    let status: InstanceStatus = client.get("/status").await?;
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

/// Lists all instances.
///
/// # Errors
/// [`CommandError`].
pub async fn instances(client: &Client) -> Result<Output, CommandError> {
    let lines: Vec<InstanceLine> = client.get("/instances").await?;
    let mut text = String::new();
    for line in &lines {
        let _ = writeln!(text, "{:<20} {:<24} callers {} peers {}", line.hall, line.name, line.callers, line.peers);
    }
    Output::new(&lines, text)
}

/// Lists all targets.
///
/// # Errors
/// [`CommandError`].
pub async fn targets(client: &Client) -> Result<Output, CommandError> {
    let lines: Vec<TargetLine> = client.get("/targets").await?;
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
