//! What became of a tenant's requests, and whether its quota held.

use super::WINDOW;
use lockloft::model::config::Quota;

/// What became of a tenant's requests.
#[derive(Default)]
pub struct Seen {
    pub offered: Vec<u64>,
    pub admitted: Vec<u64>,
}

impl Seen {
    /// Requests that one place which sees all at once would have admitted: each that finds the
    /// quota of the window before it not used up.
    pub fn owed(&self, quota: Quota) -> usize {
        let most = quota.rate * WINDOW.as_secs_f64() + quota.burst;
        let mut owed: Vec<u64> = Vec::new();
        for time in &self.offered {
            let start = owed.partition_point(|at| at + WINDOW.as_millis() as u64 <= *time);
            if (owed.len() - start) as f64 + 1.0 <= most {
                owed.push(*time);
            }
        }
        owed.len()
    }

    /// Most admitted in a window, milliseconds.
    pub fn most_in(&self, window: u64) -> usize {
        let mut start = 0;
        let mut most = 0;
        for (end, time) in self.admitted.iter().enumerate() {
            while self.admitted[start] + window <= *time {
                start += 1;
            }
            most = most.max(end + 1 - start);
        }
        most
    }
}

/// Whether the operators' bound holds in each window of 5 s.
pub fn holds(seen: &Seen, quota: Quota, slack: f64) -> Result<(), String> {
    let most = (quota.rate * 5.0 + quota.burst) * 1.1 + slack;
    let found = seen.most_in(5_000);
    if found as f64 <= most { Ok(()) } else { Err(format!("{found} in 5 s, allowed {most:.0}")) }
}
