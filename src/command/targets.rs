//! `lockloft targets`: all targets and their load.

use super::client::Client;
use super::error::CommandError;
use super::output::Output;
use crate::operator::api::TargetLine;

/// Lists all targets.
///
/// # Errors
/// [`CommandError`].
pub async fn run(client: &Client) -> Result<Output, CommandError> {
    let targets: Vec<TargetLine> = client.get("/targets").await?;
    let text: String = targets.iter().map(line).collect();
    Output::new(&targets, text)
}

fn line(line: &TargetLine) -> String {
    let TargetLine { target, service, hall, version, slots, load, state, .. } = line;
    format!("{service:<16} {hall:<16} {target:<20} version {version:<8} {load:.1} of {slots} slots in use, {state}\n")
}
