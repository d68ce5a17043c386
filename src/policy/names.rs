//! The check that the names of one kind of item are unique.

use super::error::PolicyError;
use super::file::{CheckResult, ParsedFile};
use std::collections::HashSet;
use toml::Spanned;

/// Maximum number of items of one kind. A document that fits into the store holds fewer, so this
/// limits only files that are checked without a store.
const MAX_ITEMS: usize = u16::MAX as usize - 1;

/// The names of one kind of item that have been read so far.
#[derive(Default)]
pub(super) struct UniqueNames {
    known: HashSet<String>,
}

impl UniqueNames {
    /// Adds a name.
    ///
    /// # Errors
    /// The name is empty or a duplicate, or there are more than [`MAX_ITEMS`] names.
    pub(super) fn insert<R>(
        &mut self,
        file: &ParsedFile<R>,
        kind: &'static str,
        name: &Spanned<String>,
    ) -> CheckResult<()> {
        let location = file.location(kind, name, "");
        if name.get_ref().is_empty() {
            return Err(PolicyError::OutOfRange {
                location,
                value: "an empty name".into(),
                range: "a name of at least one character",
            });
        }
        if self.known.len() >= MAX_ITEMS {
            return Err(PolicyError::TooMany { location, kind, max: MAX_ITEMS });
        }
        if !self.known.insert(name.get_ref().clone()) {
            return Err(PolicyError::DuplicateName { location, kind, name: name.get_ref().clone() });
        }
        Ok(())
    }
}
