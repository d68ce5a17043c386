//! One service's traffic through this instance: its queue, how long requests
//! take, and what may be tried twice.

use crate::load::Ewma;
use crate::queue::Queue;
use hdrhistogram::Histogram;
use std::sync::Mutex;
use std::sync::atomic::{AtomicI64, Ordering::Relaxed};
use std::time::Duration;

/// One second try, in units of the retry budget.
const ONE: i64 = 1_000_000;
/// The most second tries that may be saved up.
const MOST_SAVED: i64 = 10 * ONE;
/// Observations after which the hedging delay is worked out anew.
const HEDGE_SAMPLE: u64 = 200;

/// A service's traffic. Outlives views.
#[derive(Debug, Default)]
pub struct Traffic {
    /// Requests that wait for a slot.
    pub queue: Queue,
    /// Time a request spends at a target.
    pub took: Ewma,
    /// Second tries that are paid for.
    pub retries: RetryBudget,
    /// When a second copy is worth sending.
    pub hedge: HedgeDelay,
}

/// Second tries as a share of first ones, so that a failing hall is not hit
/// by a multiple of its load.
#[derive(Debug, Default)]
pub struct RetryBudget(AtomicI64);

impl RetryBudget {
    /// Earns for one first try under the service's share, 0 to 1.
    pub fn earn(&self, share: f64) {
        let gain = (share * ONE as f64) as i64;
        let _ = self.0.fetch_update(Relaxed, Relaxed, |b| Some((b + gain).min(MOST_SAVED)));
    }

    /// Pays for one second try; false where the budget does not reach.
    pub fn spend(&self) -> bool {
        self.0.fetch_update(Relaxed, Relaxed, |b| (b >= ONE).then_some(b - ONE)).is_ok()
    }
}

/// The 95th percentile of recent times, past which a request is hedged.
#[derive(Debug, Default)]
pub struct HedgeDelay {
    state: Mutex<Option<Recent>>,
}

#[derive(Debug)]
struct Recent {
    times: Histogram<u32>,
    delay: Option<Duration>,
}

impl HedgeDelay {
    /// Adds an observed time in microseconds.
    pub fn observe(&self, micros: u64) {
        let mut state = self.state.lock().expect("no holder panics");
        let recent = state.get_or_insert_with(|| Recent { times: new_histogram(), delay: None });
        recent.times.saturating_record(micros);
        if recent.times.len() >= HEDGE_SAMPLE {
            recent.delay = Some(Duration::from_micros(recent.times.value_at_quantile(0.95)));
            recent.times.reset();
        }
    }

    /// The delay, once enough was observed.
    pub fn get(&self) -> Option<Duration> {
        self.state.lock().expect("no holder panics").as_ref().and_then(|r| r.delay)
    }
}

fn new_histogram() -> Histogram<u32> {
    Histogram::new_with_bounds(1, 600_000_000, 2).expect("the bounds are constant and valid")
}
