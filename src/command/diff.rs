//! `lockloft diff`: what an apply would change, table entry by table entry.

use super::client::Client;
use super::error::CommandError;
use super::{Output, check};
use crate::config::Document;
use crate::declaration::{Declaration, Sources};
use serde::Serialize;
use std::collections::BTreeMap;
use std::path::Path;

/// One changed entry.
#[derive(Debug, PartialEq, Serialize)]
pub struct Change {
    /// `+` added, `-` removed, `~` changed.
    pub sign: char,
    /// Table and name.
    pub entry: String,
}

/// Compares a file or folder with the declaration in force.
///
/// # Errors
/// [`CommandError`].
pub async fn run(client: &Client, path: &Path) -> Result<Output, CommandError> {
    let new = check::read(path)?;
    Declaration::try_from(&new)?;
    let (revision, document): (u64, Document) = client.get("/config").await?;
    let changes = changes(&document.sources, &new);
    let mut text = format!("against revision {revision} by {}:\n", document.by);
    for change in &changes {
        text.push_str(&format!("{} {}\n", change.sign, change.entry));
    }
    if changes.is_empty() {
        text.push_str("no entry differs\n");
    }
    Output::new(&changes, text)
}

/// The entries that differ.
pub fn changes(old: &Sources, new: &Sources) -> Vec<Change> {
    let (old, new) = (entries(old), entries(new));
    let mut changes = Vec::new();
    for (entry, value) in &old {
        match new.get(entry) {
            None => changes.push(Change { sign: '-', entry: entry.clone() }),
            Some(other) if other != value => changes.push(Change { sign: '~', entry: entry.clone() }),
            Some(_) => {}
        }
    }
    let added = new.keys().filter(|e| !old.contains_key(*e));
    changes.extend(added.map(|e| Change { sign: '+', entry: e.clone() }));
    changes
}

fn entries(sources: &Sources) -> BTreeMap<String, toml::Value> {
    let mut entries = BTreeMap::new();
    for source in &sources.files {
        let Ok(table) = source.text.parse::<toml::Table>() else { continue };
        for (kind, list) in table {
            for item in list.as_array().into_iter().flatten() {
                let name = item.get("name").and_then(|n| n.as_str()).unwrap_or("");
                entries.insert(format!("{kind} {name:?}"), item.clone());
            }
        }
    }
    entries
}
