//! The record of a case: what was sent, answered and run.

use std::fs::File;
use std::io::{self, Write};
use std::path::Path;

/// A text file, one line an event.
pub struct Record(File);

impl Record {
    /// Creates the file, or empties it.
    pub fn create(path: &Path) -> io::Result<Self> {
        File::create(path).map(Self)
    }

    /// Writes a line.
    pub fn line(&mut self, text: &str) {
        // A record that cannot be written does not change what was seen.
        let _ = writeln!(self.0, "{text}");
    }
}
