//! Outcome of a tenant's requests, and the check whether its quota held.

use super::WINDOW;
use lockloft::model::config::Quota;

/// Arrival times of a tenant's requests, milliseconds.
#[derive(Default)]
pub struct Outcome {
    /// All requests.
    pub offered: Vec<u64>,
    /// Admitted requests.
    pub admitted: Vec<u64>,
}

impl Outcome {
    /// Number of requests that a single limiter for the whole fleet would have admitted: each one for which
    /// the quota in the window before it is not used up.
    pub fn admissible(&self, quota: Quota) -> usize {
        let max_requests = quota.rate * WINDOW.as_secs_f64() + quota.burst;
        let mut admissible: Vec<u64> = Vec::new();
        for time in &self.offered {
            let start = admissible.partition_point(|at| at + WINDOW.as_millis() as u64 <= *time);
            if (admissible.len() - start) as f64 + 1.0 <= max_requests {
                admissible.push(*time);
            }
        }
        admissible.len()
    }

    /// Most requests admitted in any window of `window` milliseconds.
    pub fn max_in_window(&self, window: u64) -> usize {
        let mut start = 0;
        let mut max = 0;
        for (end, time) in self.admitted.iter().enumerate() {
            while self.admitted[start] + window <= *time {
                start += 1;
            }
            max = max.max(end + 1 - start);
        }
        max
    }
}

/// Checks the operators' bound in each window of 5 s.
///
/// # Errors
/// The number admitted in the worst window, where that is too many.
pub fn check_bound(outcome: &Outcome, quota: Quota, slack: f64) -> Result<(), String> {
    let allowed = (quota.rate * 5.0 + quota.burst) * 1.1 + slack;
    let found = outcome.max_in_window(5_000);
    if found as f64 <= allowed { Ok(()) } else { Err(format!("{found} in 5 s, allowed {allowed:.0}")) }
}
