//! Structured lines on standard output: bounded, and never waited for.

use super::platform::StoreError;
use super::world::Belief;
use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::mpsc::{SyncSender, TrySendError, sync_channel};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tracing_subscriber::fmt::MakeWriter;

/// Bytes of lines that wait to be written; more are dropped and counted.
const MOST_PENDING: usize = 256 * 1024;
/// Time between writes.
const WRITE_EVERY: Duration = Duration::from_millis(100);
/// Batches handed to the writing thread and not yet written.
const BATCHES: usize = 1;

/// Lines that wait to be written.
#[derive(Debug, Default)]
pub struct Lines {
    pending: Mutex<Vec<u8>>,
    dropped: AtomicU64,
}

impl Lines {
    /// Lines dropped since the start.
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Relaxed)
    }

    /// Adds a line, or drops it where too many wait.
    pub fn add(&self, line: &[u8]) {
        let mut pending = self.pending.lock().expect("no holder panics");
        if pending.len() + line.len() > MOST_PENDING {
            self.dropped.fetch_add(1, Relaxed);
            return;
        }
        pending.extend_from_slice(line);
    }

    /// Hands the pending lines over; they stay where the writer is behind.
    pub fn hand_over(&self, writer: &SyncSender<Vec<u8>>) {
        let mut pending = self.pending.lock().expect("no holder panics");
        if pending.is_empty() {
            return;
        }
        if let Err(TrySendError::Full(batch)) = writer.try_send(std::mem::take(&mut *pending)) {
            *pending = batch;
        }
    }
}

/// One line being formatted.
#[derive(Debug)]
pub struct LineWriter(Arc<Lines>);

impl Write for LineWriter {
    fn write(&mut self, line: &[u8]) -> std::io::Result<usize> {
        self.0.add(line);
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
        LineWriter(self.0.clone())
    }
}

/// The log of a process.
#[derive(Clone, Debug)]
pub struct Log {
    lines: Arc<Lines>,
    writer: SyncSender<Vec<u8>>,
}

impl Log {
    /// Starts the log: JSON lines to standard output.
    pub fn start() -> Self {
        let lines = Arc::new(Lines::default());
        let maker = LineMaker(lines.clone());
        let _ = tracing_subscriber::fmt().json().flatten_event(true).with_target(false).with_writer(maker).try_init();
        Self { lines, writer: spawn_writer(std::io::stdout()) }
    }

    /// Lines dropped since the start.
    pub fn dropped(&self) -> u64 {
        self.lines.dropped()
    }

    /// Writes batches until the process ends.
    pub async fn run(self) {
        let mut told = 0;
        loop {
            tokio::time::sleep(WRITE_EVERY).await;
            let dropped = self.dropped();
            if dropped > told {
                tracing::warn!(event = "log_lines_dropped", count = dropped - told);
                told = dropped;
            }
            self.lines.hand_over(&self.writer);
        }
    }

    /// Hands over what is left before the process ends.
    pub async fn finish(&self) {
        self.lines.hand_over(&self.writer);
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// A thread that writes batches to `out`; a blocked `out` holds up only it.
pub fn spawn_writer(mut out: impl Write + Send + 'static) -> SyncSender<Vec<u8>> {
    let (sender, batches) = sync_channel::<Vec<u8>>(BATCHES);
    std::thread::spawn(move || {
        for batch in batches {
            let _ = out.write_all(&batch).and_then(|()| out.flush());
        }
    });
    sender
}

/// Notes a change of what this entry believes.
pub fn belief(belief: &Belief, revision: u64, source: &'static str) {
    match belief {
        Belief::Catalog(version) => tracing::info!(event = "config_in_force", version, revision, source),
        Belief::Policies { revision: policies, by } => {
            tracing::info!(event = "policies_in_force", policies, by, revision, source)
        }
        Belief::Evacuation { hall, on } => tracing::info!(event = "evacuation", hall, on, revision, source),
        Belief::Target { id, state } => tracing::info!(event = "target", id = &**id, state, revision, source),
        Belief::Member { name, present } => tracing::info!(event = "member", name, present, revision, source),
        Belief::Refused(error) => tracing::error!(event = "value_refused", %error, revision, source),
    }
}

/// Notes that the store was lost.
pub fn store_lost(error: &StoreError, age: Option<Duration>) {
    tracing::warn!(event = "store_lost", %error, last_answer_ms = age.map(|age| age.as_millis() as u64));
}

/// Notes that the store answers again.
pub fn store_regained() {
    tracing::info!(event = "store_regained");
}
