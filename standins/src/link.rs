//! A link of limited bandwidth, which several connections share.
//!
//! Owns when it is free again. It carries nothing itself: whoever passes bytes on waits
//! until the link has carried them.

use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::time::{Instant, sleep_until};

/// A link; its clones are the same one.
#[derive(Clone, Debug)]
pub struct Link {
    /// `None` for a link without a limit.
    rate: Option<u32>,
    free_at: Arc<Mutex<Instant>>,
}

impl Link {
    /// A link that carries everything at once.
    pub fn unlimited() -> Self {
        Self { rate: None, free_at: Arc::new(Mutex::new(Instant::now())) }
    }

    /// A link that carries `rate` bytes a second.
    pub fn of(rate: u32) -> Self {
        Self { rate: Some(rate), ..Self::unlimited() }
    }

    /// Waits until `size` more bytes have passed the link, after all those before.
    pub async fn pass(&self, size: usize) {
        let Some(rate) = self.rate else { return };
        let carried = Duration::from_secs_f64(size as f64 / f64::from(rate));
        let passed = {
            let mut free_at = self.free_at.lock().expect("no holder panics");
            *free_at = (*free_at).max(Instant::now()) + carried;
            *free_at
        };
        sleep_until(passed).await;
    }
}
