//! A target whose work takes longer at times, as its load reports say; now and then they say nonsense.
//!
//! Owns the task that changes it, which ends with the target.

use super::Shared;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use std::sync::{Arc, Weak};
use std::time::Duration;
use tokio::time::sleep;

/// Time for which a speed lasts, milliseconds.
const LASTS_MS: std::ops::Range<u64> = 50..600;
/// Slowdowns, in hundredths.
const SLOWDOWNS: [u32; 5] = [100, 100, 100, 250, 60];
/// Fourth figures that mean nothing.
const NONSENSE: [&str; 4] = ["0", "-250", "inf", "fast"];
/// Share of the times in which a target says nonsense.
const NONSENSE_SHARE: f64 = 0.1;

/// Changes the speed of a target for as long as there is one.
pub(super) async fn vary(target: Weak<Shared>, seed: u64) {
    let mut random = StdRng::seed_from_u64(seed);
    while let Some(shared) = target.upgrade() {
        change(&shared, &mut random);
        drop(shared);
        sleep(Duration::from_millis(random.random_range(LASTS_MS))).await;
    }
}

fn change(shared: &Arc<Shared>, random: &mut StdRng) {
    let percent = *SLOWDOWNS.choose(random).expect("there are some");
    let is_nonsense = random.random_bool(NONSENSE_SHARE);
    let nonsense = *NONSENSE.choose(random).expect("there are some");
    let mut state = shared.lock();
    state.percent = percent;
    state.slowdown = if is_nonsense { nonsense.to_owned() } else { percent.to_string() };
}
