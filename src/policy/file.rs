//! A parsed source file, with the line numbers of its items for error messages.

use super::Source;
use super::error::{Location, PolicyError};
use serde::de::DeserializeOwned;
use toml::Spanned;

/// A checked part of a document, or the first error found in it.
pub(super) type CheckResult<T> = Result<T, PolicyError>;

/// A parsed source file with the start of each line, to convert spans to line numbers.
pub(super) struct ParsedFile<'a, R> {
    /// File name, for messages.
    pub(super) name: &'a str,
    /// Byte offset at which each line starts.
    line_starts: Vec<usize>,
    /// The parsed content, not checked yet.
    pub(super) raw: R,
}

impl<'a, R: DeserializeOwned> ParsedFile<'a, R> {
    /// Parses the TOML of a file.
    pub(super) fn parse(source: &'a Source) -> CheckResult<Self> {
        let raw = toml::from_str(&source.text).map_err(|error| PolicyError::Syntax {
            file: source.file.clone(),
            line: error.span().map_or(1, |span| line_at(&source.text, span.start)),
            text: error.message().replace('\n', " "),
        })?;
        let newlines = source.text.bytes().enumerate().filter(|(_, byte)| *byte == b'\n');
        let line_starts = std::iter::once(0).chain(newlines.map(|(offset, _)| offset + 1)).collect();
        Ok(ParsedFile { name: &source.file, line_starts, raw })
    }
}

impl<R> ParsedFile<'_, R> {
    fn line_of(&self, name: &Spanned<String>) -> usize {
        self.line_starts.partition_point(|start| *start <= name.span().start)
    }

    /// Location of a field, or of the item itself if the field is empty. The line is that
    /// of the item's name.
    pub(super) fn location(&self, kind: &str, name: &Spanned<String>, field: &str) -> Location {
        let item = format!("{kind} {:?}", name.get_ref());
        let field = if field.is_empty() { item } else { format!("{item}.{field}") };
        Location { file: self.name.to_owned(), line: self.line_of(name), field }
    }
}

/// The line that a byte offset is on, counted from 1.
fn line_at(text: &str, offset: usize) -> usize {
    text.as_bytes()[..offset.min(text.len())].iter().filter(|byte| **byte == b'\n').count() + 1
}
