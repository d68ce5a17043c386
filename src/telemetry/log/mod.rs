//! The log of a process: JSON lines on standard output, bounded in bytes a second and
//! in memory, and never waited for.
//!
//! | file | its job |
//! |---|---|
//! | `budget` | bytes that may be written |
//! | `lines` | lines that wait |
//! | `once` | lines that are written once |
//! | `writer` | the thread that writes |
//!
//! Owns the subscriber of the `tracing` events. Relies on a task that drives
//! [`Log::run`].

mod budget;
mod lines;
mod once;
mod writer;

pub use lines::Lines;
pub use once::Once;
pub use writer::spawn_writer;

use crate::task::FAULT_TARGET;
use std::io::Write;
use std::sync::Arc;
use std::sync::mpsc::SyncSender;
use std::time::{Duration, Instant};
use tracing::Metadata;
use tracing_subscriber::fmt::MakeWriter;

/// Time between writes: few writes, and lines appear soon.
const WRITE_EVERY: Duration = Duration::from_millis(100);
/// Time between reports of omitted lines: at most one line a second of each kind.
const REPORT_EVERY: Duration = Duration::from_secs(1);
/// Time for the writer thread to write the last batch before the process ends.
const FINISH_TIME: Duration = Duration::from_millis(20);

/// One line being formatted.
#[derive(Debug)]
pub struct LineWriter {
    lines: Arc<Lines>,
    /// Whether the line is about a panic or the end of a task.
    is_fault: bool,
}

impl Write for LineWriter {
    fn write(&mut self, line: &[u8]) -> std::io::Result<usize> {
        match self.is_fault {
            true => self.lines.add_fault(line, Instant::now()),
            false => self.lines.add(line, Instant::now()),
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

#[derive(Debug)]
struct LineMaker(Arc<Lines>);

impl MakeWriter<'_> for LineMaker {
    type Writer = LineWriter;

    fn make_writer(&self) -> LineWriter {
        LineWriter { lines: self.0.clone(), is_fault: false }
    }

    fn make_writer_for(&self, meta: &Metadata<'_>) -> LineWriter {
        LineWriter { is_fault: meta.target() == FAULT_TARGET, ..self.make_writer() }
    }
}

/// The log of a process.
#[derive(Clone, Debug)]
pub struct Log {
    lines: Arc<Lines>,
    writer: SyncSender<Vec<u8>>,
}

impl Log {
    /// Starts the log: JSON lines to standard output, at most `rate` bytes a second.
    pub fn start(rate: u64) -> Self {
        let lines = Arc::new(Lines::new(rate));
        let maker = LineMaker(lines.clone());
        let subscriber = tracing_subscriber::fmt().json().flatten_event(true).with_target(false).with_writer(maker);
        // It fails only where the process already has a subscriber, which then
        // receives the lines: a process starts one log.
        let _ = subscriber.try_init();
        Self { lines, writer: spawn_writer(std::io::stdout()) }
    }

    /// The lines that wait, and the counts of omitted ones.
    pub fn lines(&self) -> &Lines {
        &self.lines
    }

    /// Writes batches until the process ends.
    pub async fn run(self) {
        let (mut dropped, mut left_out, mut reported_at) = (0, 0, Instant::now());
        loop {
            crate::clock::sleep(WRITE_EVERY).await;
            if reported_at.elapsed() >= REPORT_EVERY {
                reported_at = Instant::now();
                report_growth("log_lines_dropped", &mut dropped, self.lines.dropped());
                report_growth("log_lines_left_out", &mut left_out, self.lines.left_out());
            }
            self.lines.hand_over(&self.writer);
        }
    }

    /// Hands over what is left before the process ends.
    pub async fn finish(&self) {
        self.lines.hand_over(&self.writer);
        tokio::time::sleep(FINISH_TIME).await;
    }
}

/// Logs by how much `count` has grown since it was last reported.
fn report_growth(event: &'static str, reported: &mut u64, count: u64) {
    if count > *reported {
        tracing::warn!(event, count = count - *reported);
        *reported = count;
    }
}
