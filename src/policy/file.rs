//! One source file, read, with the lines that its items stand on: faults name
//! them.

use super::Source;
use super::error::{Place, PolicyError};
use serde::de::DeserializeOwned;
use toml::Spanned;

/// A checked part, or the first fault found.
pub(super) type Checked<T> = Result<T, PolicyError>;

/// One source file with the start of each line, to turn spans into lines.
pub(super) struct File<'a, R> {
    /// File name, for messages.
    pub(super) name: &'a str,
    /// Where each line starts, in bytes.
    lines: Vec<usize>,
    /// What it says.
    pub(super) raw: R,
}

impl<'a, R: DeserializeOwned> File<'a, R> {
    /// Reads the TOML of a file.
    pub(super) fn read(source: &'a Source) -> Checked<Self> {
        let raw = toml::from_str(&source.text).map_err(|error| PolicyError::Syntax {
            file: source.file.clone(),
            line: error.span().map_or(1, |span| line_at(&source.text, span.start)),
            text: error.message().replace('\n', " "),
        })?;
        let breaks = source.text.bytes().enumerate().filter(|(_, byte)| *byte == b'\n');
        let lines = std::iter::once(0).chain(breaks.map(|(offset, _)| offset + 1)).collect();
        Ok(File { name: &source.file, lines, raw })
    }
}

impl<R> File<'_, R> {
    fn line(&self, name: &Spanned<String>) -> usize {
        self.lines.partition_point(|start| *start <= name.span().start)
    }

    /// Where a field of an item stands: the line of the item's name. The item itself
    /// for an empty field.
    pub(super) fn place(&self, kind: &str, name: &Spanned<String>, field: &str) -> Place {
        let item = format!("{kind} {:?}", name.get_ref());
        let field = if field.is_empty() { item } else { format!("{item}.{field}") };
        Place { file: self.name.to_owned(), line: self.line(name), field }
    }
}

/// The line of a byte, counted from 1.
fn line_at(text: &str, offset: usize) -> usize {
    text.as_bytes()[..offset.min(text.len())].iter().filter(|byte| **byte == b'\n').count() + 1
}
