//! Pacing of bodies to what a link between two halls may carry.

use crate::clock;
use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::time::Sleep;

/// How much of a second's bytes may pass at once.
const BURST_SECONDS: f64 = 0.1;

/// The bytes that this instance may send and receive over one link, as a
/// bucket that may go into debt by one frame.
#[derive(Debug, Default)]
pub struct LinkBudget {
    state: Mutex<Bucket>,
}

#[derive(Debug, Default)]
struct Bucket {
    bytes: f64,
    at_us: u64,
}

impl LinkBudget {
    /// Pays off debt at `rate` bytes a second; tells how long until a frame
    /// may pass, zero for now.
    fn wait(&self, rate: f64) -> Duration {
        let now = clock::now_us();
        let mut bucket = self.state.lock().expect("no holder panics");
        let gained = rate * now.saturating_sub(bucket.at_us) as f64 / 1e6;
        bucket.bytes = (bucket.bytes + gained).min(rate * BURST_SECONDS);
        bucket.at_us = now;
        if bucket.bytes >= 0.0 { Duration::ZERO } else { Duration::from_secs_f64(-bucket.bytes / rate) }
    }

    fn charge(&self, bytes: usize) {
        self.state.lock().expect("no holder panics").bytes -= bytes as f64;
    }
}

/// One body's use of a link.
#[derive(Debug)]
pub struct Pace {
    budget: Arc<LinkBudget>,
    rate: f64,
    sleep: Option<Pin<Box<Sleep>>>,
}

impl Pace {
    /// Paces a body by `budget`, which gains `rate` bytes a second.
    pub fn new(budget: Arc<LinkBudget>, rate: f64) -> Self {
        Self { budget, rate: rate.max(1.0), sleep: None }
    }

    /// Ready when the next frame may pass.
    pub fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        loop {
            if let Some(sleep) = &mut self.sleep {
                std::task::ready!(sleep.as_mut().poll(cx));
                self.sleep = None;
            }
            let wait = self.budget.wait(self.rate);
            if wait.is_zero() {
                return Poll::Ready(());
            }
            self.sleep = Some(Box::pin(tokio::time::sleep(wait)));
        }
    }

    /// Counts a frame that passed.
    pub fn passed(&self, bytes: usize) {
        self.budget.charge(bytes);
    }
}

#[cfg(test)]
mod tests;
