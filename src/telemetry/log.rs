//! Structured lines on standard output: bounded, and never waited for.

use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::mpsc::{SyncSender, TrySendError, sync_channel};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tracing_subscriber::fmt::MakeWriter;

/// Bytes of lines that wait to be written; more are dropped and counted.
const MAX_PENDING: usize = 256 * 1024;
/// Time between writes.
const WRITE_EVERY: Duration = Duration::from_millis(100);
/// Batches handed to the writing thread and not yet written.
const BATCHES: usize = 1;
/// Seconds of the rate that may be saved up for a burst of lines.
const BURST: f64 = 2.0;
/// Part of what may be saved up that is kept for lines that are not of answered
/// requests.
const KEPT_PART: f64 = 0.5;
/// Time between lines that tell of lines left out.
const TELL_EVERY: Duration = Duration::from_secs(1);

/// Bytes that may still be written, earned by time.
#[derive(Debug)]
struct Budget {
    /// Bytes a second.
    rate: f64,
    bytes: f64,
    at: Instant,
}

impl Budget {
    fn new(rate: f64, now: Instant) -> Self {
        Self { rate, bytes: rate * BURST, at: now }
    }

    fn earn(&mut self, now: Instant) {
        let earned = now.saturating_duration_since(self.at).as_secs_f64() * self.rate;
        self.bytes = (self.bytes + earned).min(self.rate * BURST);
        self.at = now;
    }

    fn spend(&mut self, bytes: usize) -> bool {
        let reaches = self.bytes >= bytes as f64;
        if reaches {
            self.bytes -= bytes as f64;
        }
        reaches
    }

    fn has_more_than_kept(&self) -> bool {
        self.bytes > self.rate * BURST * KEPT_PART
    }
}

/// Lines that wait to be written.
#[derive(Debug)]
pub struct Lines {
    pending: Mutex<Vec<u8>>,
    budget: Mutex<Budget>,
    dropped: AtomicU64,
    left_out: AtomicU64,
}

impl Lines {
    /// No lines yet, and `rate` bytes a second to be written at the most.
    pub fn new(rate: u64) -> Self {
        Self {
            pending: Mutex::default(),
            budget: Mutex::new(Budget::new(rate as f64, Instant::now())),
            dropped: AtomicU64::new(0),
            left_out: AtomicU64::new(0),
        }
    }

    /// Lines dropped since the start.
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Relaxed)
    }

    /// Lines of answered requests left out since the start.
    pub fn left_out(&self) -> u64 {
        self.left_out.load(Relaxed)
    }

    /// Whether an answered request gets its line. Under load such lines go
    /// first, so that none of a refusal or a failure is lost.
    pub fn takes_success(&self, now: Instant) -> bool {
        let mut budget = self.budget.lock().expect("no holder panics");
        budget.earn(now);
        let takes = budget.has_more_than_kept();
        if !takes {
            self.left_out.fetch_add(1, Relaxed);
        }
        takes
    }

    /// Adds a line, or drops it where too many wait or were written lately.
    pub fn add(&self, line: &[u8], now: Instant) {
        let mut budget = self.budget.lock().expect("no holder panics");
        budget.earn(now);
        let mut pending = self.pending.lock().expect("no holder panics");
        if pending.len() + line.len() > MAX_PENDING || !budget.spend(line.len()) {
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
        self.0.add(line, Instant::now());
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
    /// Starts the log: JSON lines to standard output, `rate` bytes a second at
    /// the most.
    pub fn start(rate: u64) -> Self {
        let lines = Arc::new(Lines::new(rate));
        let maker = LineMaker(lines.clone());
        let _ = tracing_subscriber::fmt().json().flatten_event(true).with_target(false).with_writer(maker).try_init();
        Self { lines, writer: spawn_writer(std::io::stdout()) }
    }

    /// The lines that wait.
    pub fn lines(&self) -> &Lines {
        &self.lines
    }

    /// Writes batches until the process ends.
    pub async fn run(self) {
        let (mut dropped, mut left_out, mut told_at) = (0, 0, Instant::now());
        loop {
            tokio::time::sleep(WRITE_EVERY).await;
            if told_at.elapsed() >= TELL_EVERY {
                told_at = Instant::now();
                tell("log_lines_dropped", &mut dropped, self.lines.dropped());
                tell("log_lines_left_out", &mut left_out, self.lines.left_out());
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

/// Tells by how much a count has grown since it was last told.
fn tell(event: &'static str, told: &mut u64, count: u64) {
    if count > *told {
        tracing::warn!(event, count = count - *told);
        *told = count;
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
