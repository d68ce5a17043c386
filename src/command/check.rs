//! `lockloft check`: the whole check of policies, without an instance.

use super::error::CommandError;
use super::output::Output;
use crate::policy::{Policies, Sources};
use std::path::Path;

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
    let policies = Policies::check(0, &read(path)?)?;
    let names: Vec<&str> = policies.iter().map(|policy| policy.name.as_str()).collect();
    Output::new(&names, format!("good: {} policies\n", names.len()))
}
