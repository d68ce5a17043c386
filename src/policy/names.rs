//! The names of one kind of item, each taken once.

use super::error::PolicyError;
use super::file::{Checked, File};
use std::collections::HashSet;
use toml::Spanned;

/// Largest number of items of one kind. A document that the store takes has room for fewer, so that
/// it bounds only what is checked without a store.
const MAX_ITEMS: usize = u16::MAX as usize - 1;

/// Names of one kind, to find duplicates.
#[derive(Default)]
pub(super) struct Names {
    known: HashSet<String>,
}

impl Names {
    /// Takes a name.
    ///
    /// # Errors
    /// An empty name, one that is taken, or too many.
    pub(super) fn add<R>(&mut self, file: &File<R>, kind: &'static str, name: &Spanned<String>) -> Checked<()> {
        let place = file.place(kind, name, "");
        if name.get_ref().is_empty() {
            return Err(PolicyError::Range {
                place,
                value: "an empty name".into(),
                range: "a name of at least one character",
            });
        }
        if self.known.len() >= MAX_ITEMS {
            return Err(PolicyError::TooMany { place, kind, most: MAX_ITEMS });
        }
        if !self.known.insert(name.get_ref().clone()) {
            return Err(PolicyError::Duplicate { place, kind, name: name.get_ref().clone() });
        }
        Ok(())
    }
}
