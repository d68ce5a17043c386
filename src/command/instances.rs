//! `lockloft instances`: all instances that are registered in the store.

use super::client::Client;
use super::error::CommandError;
use super::output::Output;
use crate::operator::api::InstanceLine;

/// Lists all instances.
///
/// # Errors
/// [`CommandError`].
pub async fn run(client: &Client) -> Result<Output, CommandError> {
    let instances: Vec<InstanceLine> = client.get("/instances").await?;
    let text: String = instances.iter().map(line).collect();
    Output::new(&instances, text)
}

fn line(instance: &InstanceLine) -> String {
    let InstanceLine { name, hall, callers, peers, weight, .. } = instance;
    let weight = weight.map(|weight| format!(" weight {weight:.1}")).unwrap_or_default();
    format!("{hall:<20} {name:<24} callers {callers} peers {peers}{weight}\n")
}
