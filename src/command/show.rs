//! `lockloft show`: the policies in the store, as they were applied.

use super::client::Client;
use super::error::CommandError;
use super::output::Output;
use crate::operator::api::StoredPolicies;
use crate::policy::Source;

/// Prints the policies that an instance's view of the store has.
///
/// # Errors
/// [`CommandError`].
pub async fn run(client: &Client) -> Result<Output, CommandError> {
    let stored: StoredPolicies = client.get("/policies").await?;
    let document = &stored.document;
    let files: String = document.sources.files.iter().map(file).collect();
    let note: String = stored.note.iter().map(|note| format!("# {note}\n")).collect();
    let text = format!("# revision {} by {}\n{note}{files}", document.revision, document.by);
    Output::new(&stored, text)
}

fn file(source: &Source) -> String {
    format!("# file {}\n{}\n", source.file, source.text.trim_end())
}
