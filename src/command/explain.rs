//! `lockloft explain`: what became of one request, from collected log lines.

use super::account;
use super::error::CommandError;
use super::options::Explain;
use super::output::Output;
use crate::telemetry::access_log::Line;
use std::io::{BufRead, BufReader};
use std::path::Path;

/// Explains one request from the log lines of all instances.
///
/// # Errors
/// [`CommandError`].
pub fn run(explain: &Explain) -> Result<Output, CommandError> {
    let mut lines = Vec::new();
    for path in &explain.logs {
        lines.extend(read(path, &explain.request)?);
    }
    if lines.is_empty() {
        let files = explain.logs.len();
        let text =
            format!("no line for {} in {files} file(s); remedy: search the logs of all instances", explain.request);
        return Err(CommandError::Refused(text));
    }
    Output::new(&lines, account::sentences(&lines))
}

/// The lines of a log that concern the request.
fn read(path: &Path, id: &str) -> Result<Vec<Line>, CommandError> {
    let unreadable = |source| CommandError::Unreadable { path: path.to_owned(), source };
    let file = std::fs::File::open(path).map_err(unreadable)?;
    let mut lines = Vec::new();
    for text in BufReader::new(file).lines() {
        let text = text.map_err(unreadable)?;
        if !text.contains(id) {
            continue;
        }
        // Whoever collects lines may put a time or a name before them.
        let json = text.find('{').map_or("", |start| &text[start..]);
        // Other lines may mention the id as well: they are no account of a request.
        lines.extend(Line::read(json).filter(|line| line.id() == id));
    }
    Ok(lines)
}
