//! Checks that items of all kinds share.

use super::error::{DeclarationError, Place};
use super::file::{Checked, File};
use std::collections::HashSet;
use std::time::Duration;
use toml::Spanned;

/// The most items of one kind, so that a document stays far below the store's
/// bound on a value.
const MAX_ITEMS: usize = u16::MAX as usize - 1;

/// Names of one kind, to find duplicates.
#[derive(Default)]
pub(crate) struct Names {
    known: HashSet<String>,
}

impl Names {
    pub(crate) fn add<R>(&mut self, file: &File<R>, kind: &'static str, name: &Spanned<String>) -> Checked<()> {
        let place = file.place(kind, name, "");
        if name.get_ref().is_empty() {
            return Err(DeclarationError::Range {
                place,
                value: "an empty name".into(),
                range: "a name of at least one character",
            });
        }
        if self.known.len() >= MAX_ITEMS {
            return Err(DeclarationError::TooMany { place, kind, most: MAX_ITEMS });
        }
        if !self.known.insert(name.get_ref().clone()) {
            return Err(DeclarationError::Duplicate { place, kind, name: name.get_ref().clone() });
        }
        Ok(())
    }
}

pub(crate) fn share(place: Place, value: f64) -> Checked<()> {
    if (0.0..=1.0).contains(&value) {
        return Ok(());
    }
    Err(DeclarationError::Range { place, value: value.to_string(), range: "a share from 0 to 1" })
}

pub(super) fn positive(place: Place, value: Duration) -> Checked<()> {
    if !value.is_zero() {
        return Ok(());
    }
    Err(DeclarationError::Range { place, value: "0s".into(), range: "a time above zero, such as \"2s\"" })
}
