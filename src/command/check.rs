//! `lockloft check`: the whole check, without a daemon.

use super::Output;
use super::error::CommandError;
use crate::declaration::{Declaration, Sources};
use serde::Serialize;
use std::path::Path;

#[derive(Serialize)]
struct Counts {
    regions: usize,
    halls: usize,
    services: usize,
    targets: usize,
    callers: usize,
    blocks: usize,
    policies: usize,
}

/// Reads a file or folder.
///
/// # Errors
/// [`CommandError::Unreadable`].
pub fn read(path: &Path) -> Result<Sources, CommandError> {
    Sources::read(path).map_err(|source| CommandError::Unreadable { path: path.to_owned(), source })
}

/// Checks a file or folder.
///
/// # Errors
/// [`CommandError`].
pub fn run(path: &Path) -> Result<Output, CommandError> {
    let world = Declaration::try_from(&read(path)?)?;
    let counts = Counts {
        regions: world.regions.len(),
        halls: world.halls.len(),
        services: world.services.len(),
        targets: world.targets.len(),
        callers: world.callers.len(),
        blocks: world.blocks.len(),
        policies: world.policies.len(),
    };
    let text = format!(
        "good: {} regions, {} halls, {} services, {} targets, {} caller groups with {} blocks, {} policies\n",
        counts.regions, counts.halls, counts.services, counts.targets, counts.callers, counts.blocks, counts.policies
    );
    Output::new(&counts, text)
}
