//! A share of the requests of an upstream, for a limited time.

use std::sync::Mutex;
use std::time::{Duration, Instant};

/// The requests of one upstream that were counted so far, and when the first of them came.
#[derive(Default)]
pub struct Share(Mutex<Option<(Instant, u32)>>);

impl Share {
    /// Counts a request. Whether it is one of the last `of_five` of five in a row, and came less than `time` after the
    /// first one: so the share is at no time above `of_five` in five.
    pub fn strikes(&self, of_five: u32, time: Duration) -> bool {
        let mut counted = self.0.lock().expect("no holder panics");
        let (begun, count) = counted.get_or_insert((Instant::now(), 0));
        *count += 1;
        begun.elapsed() < time && (*count - 1) % 5 >= 5 - of_five
    }
}
