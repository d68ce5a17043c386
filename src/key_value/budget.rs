//! Our own budget of platform calls, well under the platform's rates.

use crate::clock;
use std::sync::Mutex;
use std::time::Duration;

/// A token bucket: `rate` calls a second, bursts of `burst`.
#[derive(Debug)]
pub struct Budget {
    rate: f64,
    burst: f64,
    state: Mutex<(f64, u64)>,
}

impl Budget {
    /// A full bucket.
    pub fn new(rate: f64, burst: f64) -> Self {
        Self { rate, burst, state: Mutex::new((burst, clock::now_us())) }
    }

    /// Takes one call.
    ///
    /// # Errors
    /// The time until one is free, where none is.
    pub fn take(&self) -> Result<(), Duration> {
        let now = clock::now_us();
        let mut state = self.state.lock().expect("no holder panics");
        let gained = self.rate * now.saturating_sub(state.1) as f64 / 1e6;
        state.0 = (state.0 + gained).min(self.burst);
        state.1 = now;
        if state.0 < 1.0 {
            return Err(Duration::from_secs_f64((1.0 - state.0) / self.rate));
        }
        state.0 -= 1.0;
        Ok(())
    }
}
