//! What was sent, answered and run, in the order of time.

use std::fmt::Write as _;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    began: Instant,
    lines: Arc<Mutex<Vec<(f64, String)>>>,
}

impl Record {
    pub fn new() -> Self {
        Self { began: Instant::now(), lines: Arc::default() }
    }

    pub fn add(&self, text: impl Into<String>) {
        let at = self.began.elapsed().as_secs_f64();
        self.lines.lock().expect("no holder panics").push((at, text.into()));
    }

    pub fn write(&self, path: &Path) {
        let mut lines = self.lines.lock().expect("no holder panics").clone();
        lines.sort_by(|one, other| one.0.total_cmp(&other.0));
        let mut text = String::new();
        for (at, line) in lines {
            let _ = writeln!(text, "{at:9.3} s  {line}");
        }
        std::fs::write(path, text).expect("the case's folder can be written to");
    }
}
