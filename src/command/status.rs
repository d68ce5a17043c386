//! `lockloft status`: what an instance holds, and how current that is.

use super::client::Client;
use super::error::CommandError;
use super::output::Output;
use crate::operator::api::InstanceStatus;

/// Prints an instance's state.
///
/// # Errors
/// [`CommandError`].
pub async fn run(client: &Client) -> Result<Output, CommandError> {
    let status: InstanceStatus = client.get("/status").await?;
    let text = text(&status);
    Output::new(&status, text)
}

fn text(status: &InstanceStatus) -> String {
    let store = if status.store_lost { "lost" } else { "answers" };
    let age = status.view_age_ms.map_or("never".to_owned(), |age| format!("{age} ms ago"));
    let mut lines = vec![
        format!("{} in {}, {}", status.instance, status.hall, status.region),
        format!("configuration {}, policies {}", number(status.config), number(status.policies)),
        format!("store {store}; known up to revision {}, surely current {age}", status.view_revision),
        format!("{} instances, {} targets, {} requests", status.members, status.targets, status.active),
    ];
    if let (Some(weight), Some(bytes)) = (status.weight, status.request_bytes) {
        lines.push(format!("weight {weight:.1} in its region, at {bytes} bytes a request"));
    }
    if !status.evacuated.is_empty() {
        lines.push(format!("evacuated: {}", status.evacuated.join(", ")));
    }
    lines.extend(status.reach.as_deref().and_then(unreached).map(str::to_owned));
    if status.stopping {
        lines.push("stopping".to_owned());
    }
    lines.join("\n") + "\n"
}

/// What is not reached of the targets; nothing while they are.
pub(super) fn unreached(reach: &str) -> Option<&'static str> {
    match reach {
        "nothing" => Some("it reaches no target: another instance sends its requests"),
        "open-connections" => {
            Some("it can open no connection to a target: another instance sends the requests for which none is open")
        }
        _ => None,
    }
}

fn number(value: Option<u64>) -> String {
    value.map_or("none".to_owned(), |value| value.to_string())
}
