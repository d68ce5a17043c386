//! One source file, read, with the lines that its items stand on.

use super::Source;
use super::error::{Place, PolicyError};
use serde::de::DeserializeOwned;
use toml::Spanned;

/// A checked part, or the first fault found.
pub(crate) type Checked<T> = Result<T, PolicyError>;

/// One source file with the start of each line, to turn spans into lines.
pub(crate) struct File<'a, R> {
    /// File name, for messages.
    pub(crate) name: &'a str,
    /// Where each line starts, in bytes.
    lines: Vec<usize>,
    /// What it says.
    pub(crate) raw: R,
}

impl<'a, R: DeserializeOwned> File<'a, R> {
    /// Reads the TOML of a file.
    pub(crate) fn read(source: &'a Source) -> Checked<Self> {
        let raw = toml::from_str(&source.text).map_err(|e| PolicyError::Syntax {
            file: source.file.clone(),
            line: e.span().map_or(1, |s| line_at(&source.text, s.start)),
            text: e.message().replace('\n', " "),
        })?;
        let breaks = source.text.bytes().enumerate().filter(|(_, b)| *b == b'\n');
        let lines = std::iter::once(0).chain(breaks.map(|(i, _)| i + 1)).collect();
        Ok(File { name: &source.file, lines, raw })
    }
}

impl<R> File<'_, R> {
    fn line(&self, name: &Spanned<String>) -> usize {
        self.lines.partition_point(|start| *start <= name.span().start)
    }

    /// Where a field of an item stands; the item itself for an empty field.
    pub(crate) fn place(&self, kind: &str, name: &Spanned<String>, field: &str) -> Place {
        let item = format!("{kind} {:?}", name.get_ref());
        let field = if field.is_empty() { item } else { format!("{item}.{field}") };
        Place { file: self.name.to_owned(), line: self.line(name), field }
    }
}

fn line_at(text: &str, offset: usize) -> usize {
    text.as_bytes()[..offset.min(text.len())].iter().filter(|b| **b == b'\n').count() + 1
}
