//! Log lines that wait for the writer thread: bounded, and never waited for.
//!
//! Owns the pending bytes, the byte budgets and the counts of omitted lines. Relies on
//! [`Budget`].

use super::budget::Budget;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::mpsc::{SyncSender, TrySendError};
use std::time::Instant;

/// Most bytes that wait to be written; more lines are dropped and counted. More than one interval
/// between writes at the default rate; bounds memory.
const MAX_PENDING: usize = 256 * 1024;

/// Bytes a second of lines about panics, which ordinary lines cannot use up: some ten panics a second.
const FAULT_RATE: f64 = 16.0 * 1024.0;
/// Bytes that wait to be written beyond [`MAX_PENDING`], for lines about panics alone.
const MAX_PENDING_FAULTS: usize = 64 * 1024;

/// Lines that wait to be written.
#[derive(Debug)]
pub struct Lines {
    pending: Mutex<Vec<u8>>,
    budget: Mutex<Budget>,
    fault_budget: Mutex<Budget>,
    dropped: AtomicU64,
    left_out: AtomicU64,
}

impl Lines {
    /// No lines yet; at most `rate` bytes a second will be accepted.
    pub fn new(rate: u64) -> Self {
        Self {
            pending: Mutex::default(),
            budget: Mutex::new(Budget::new(rate as f64, Instant::now())),
            fault_budget: Mutex::new(Budget::new(FAULT_RATE, Instant::now())),
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

    /// Whether an answered request gets its line. Under load such lines are left out
    /// first, so that no line of a refusal or a failure is lost.
    pub fn takes_success(&self, now: Instant) -> bool {
        let mut budget = self.budget.lock().expect("no holder panics");
        budget.earn(now);
        let takes = budget.exceeds_reserve();
        if !takes {
            self.left_out.fetch_add(1, Relaxed);
        }
        takes
    }

    /// Adds a line, or drops it where too many wait or the budget is spent.
    pub fn add(&self, line: &[u8], now: Instant) {
        self.add_within(line, &self.budget, MAX_PENDING, now);
    }

    /// Adds a line about a panic or the end of a task, from the bytes that are reserved for such lines.
    pub fn add_fault(&self, line: &[u8], now: Instant) {
        self.add_within(line, &self.fault_budget, MAX_PENDING + MAX_PENDING_FAULTS, now);
    }

    fn add_within(&self, line: &[u8], budget: &Mutex<Budget>, max_pending: usize, now: Instant) {
        let mut budget = budget.lock().expect("no holder panics");
        budget.earn(now);
        let mut pending = self.pending.lock().expect("no holder panics");
        if pending.len() + line.len() > max_pending || !budget.spend(line.len()) {
            self.dropped.fetch_add(1, Relaxed);
            return;
        }
        pending.extend_from_slice(line);
    }

    /// Hands the pending lines to the writer; they stay pending while it is behind.
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
