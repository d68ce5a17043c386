//! `record.txt`: what was sent, answered and run, in milliseconds since the begin, and a temporary folder.

use std::fmt::Write as _;
use std::io::Write as _;
use std::path::{Path, PathBuf};
use std::time::Instant;

pub struct Record {
    start: Instant,
    lines: Vec<(Instant, String)>,
    notes: String,
}

impl Record {
    pub fn new() -> Self {
        Self { start: Instant::now(), lines: Vec::new(), notes: String::new() }
    }

    /// A line about something that happened at `at`.
    pub fn line(&mut self, at: Instant, text: String) {
        self.lines.push((at, text));
    }

    /// A line at the end.
    pub fn note(&mut self, text: String) {
        // Nobody has to read it.
        let _ = writeln!(std::io::stdout(), "{text}");
        let _ = writeln!(self.notes, "{text}");
    }

    pub fn write(mut self, folder: &Path) -> Result<(), String> {
        self.lines.sort_by_key(|(at, _)| *at);
        let mut text = String::new();
        for (at, line) in &self.lines {
            let _ = writeln!(text, "{:>8.3} s  {line}", at.saturating_duration_since(self.start).as_secs_f64());
        }
        text.push_str(&self.notes);
        std::fs::write(folder.join("record.txt"), text).map_err(|error| error.to_string())
    }
}

/// A temporary folder, removed when dropped unless `KEEP` is set.
pub struct Temporary(pub PathBuf);

impl Temporary {
    pub fn new() -> Result<Self, String> {
        let path = std::env::temp_dir().join(format!("lockloft-review-{}", std::process::id()));
        std::fs::create_dir_all(&path).map_err(|error| error.to_string())?;
        Ok(Self(path))
    }
}

impl Drop for Temporary {
    fn drop(&mut self) {
        if std::env::var("KEEP").is_err() {
            let _ = std::fs::remove_dir_all(&self.0);
        } else {
            eprintln!("settings and logs are in {}", self.0.display());
        }
    }
}
