//! `lockloft show`: the policies in the store, as they were applied.

use super::client::Client;
use super::error::CommandError;
use super::output::Output;
use crate::policy::{PolicyDocument, Source};

/// Prints the policies that an instance's view of the store has.
///
/// # Errors
/// [`CommandError`].
pub async fn run(client: &Client) -> Result<Output, CommandError> {
    let document: PolicyDocument = client.get("/policies").await?;
    let files: String = document.sources.files.iter().map(file).collect();
    let text = format!("# revision {} by {}\n{files}", document.revision, document.by);
    Output::new(&document, text)
}

fn file(source: &Source) -> String {
    format!("# file {}\n{}\n", source.file, source.text.trim_end())
}
