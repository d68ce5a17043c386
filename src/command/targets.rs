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
    let limit =
        line.limit.map_or_else(String::new, |limit| format!(", takes {limit} requests a second{}", share(line)));
    format!(
        "{service:<16} {hall:<16} {target:<20} version {version:<8} {load:.1} of {slots} slots in use, {state}{limit}\n"
    )
}

/// What the answering instance may send of what it has to send there.
fn share(line: &TargetLine) -> String {
    let equal_part = || " of all instances (equal parts: no head answers)".to_owned();
    line.limit_share.map_or_else(equal_part, |share| format!(" of all instances ({:.0} in 100 pass)", share * 100.0))
}
