//! Absolute limits of policies, as divided among halls and members.

use crate::clock;
use crate::key::HallKey;
use crate::view::Route;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU32, Ordering::Relaxed};

/// How much of a second's share a rate limit lets through at once.
const BURST_SECONDS: f64 = 0.1;

/// This instance's share of one `limit` policy.
#[derive(Debug, Default)]
pub struct LimitState {
    reserve: AtomicU32,
    full: AtomicU32,
    flight: AtomicU32,
    bucket: Mutex<Bucket>,
}

#[derive(Debug, Default)]
struct Bucket {
    tokens: f64,
    at_us: u64,
}

impl LimitState {
    /// Sets the share of a limit on requests in flight.
    pub fn set_quota(&self, reserve: u32, full: u32) {
        self.reserve.store(reserve, Relaxed);
        self.full.store(full, Relaxed);
    }

    /// Requests in flight under this limit.
    pub fn flight(&self) -> u32 {
        self.flight.load(Relaxed)
    }

    /// Whether one more request fits now.
    pub fn has_room(&self, leased: bool) -> bool {
        self.flight.load(Relaxed) < self.quota(leased)
    }

    /// This instance's share in flight now.
    pub fn quota(&self, leased: bool) -> u32 {
        if leased { self.full.load(Relaxed) } else { self.reserve.load(Relaxed) }
    }

    /// Takes one place in flight.
    pub fn try_take(&self, leased: bool) -> bool {
        let quota = self.quota(leased);
        self.flight.fetch_update(Relaxed, Relaxed, |n| (n < quota).then_some(n + 1)).is_ok()
    }

    /// Gives back a place taken by [`Self::try_take`].
    pub fn give_back(&self) {
        self.flight.fetch_sub(1, Relaxed);
    }

    /// Takes one request from a rate of `rate` requests a second. Over any
    /// `t` seconds at most `rate * t` plus a tenth of a second's share, or one
    /// request where that is less than one, pass.
    pub fn try_rate(&self, rate: f64) -> bool {
        let now = clock::now_us();
        let depth = (rate * BURST_SECONDS).max(1.0);
        let mut bucket = self.bucket.lock().expect("no holder panics");
        if bucket.at_us == 0 {
            bucket.tokens = depth.min(1.0);
        } else {
            let gained = rate * (now - bucket.at_us) as f64 / 1e6;
            bucket.tokens = (bucket.tokens + gained).min(depth);
        }
        bucket.at_us = now;
        if bucket.tokens < 1.0 {
            return false;
        }
        bucket.tokens -= 1.0;
        true
    }
}

/// The part of an absolute limit that one hall gets: by declared slots, the
/// remainders to the largest first. The parts of all halls sum to the limit.
pub fn hall_share(limit: u32, halls: &[(HallKey, u32)], hall: HallKey) -> u32 {
    let total: u64 = halls.iter().map(|(_, slots)| u64::from(*slots)).sum();
    if total == 0 {
        return 0;
    }
    let floor = |slots: u32| (u64::from(limit) * u64::from(slots) / total) as u32;
    let dealt: u32 = halls.iter().map(|(_, slots)| floor(*slots)).sum();
    let mut order: Vec<(u64, HallKey)> = Vec::with_capacity(halls.len());
    for (key, slots) in halls {
        order.push((u64::from(limit) * u64::from(*slots) % total, *key));
    }
    order.sort_by_key(|(rest, key)| (std::cmp::Reverse(*rest), *key));
    let extra = order.iter().take((limit - dealt) as usize).any(|(_, key)| *key == hall);
    let own = halls.iter().find(|(key, _)| *key == hall).map_or(0, |(_, slots)| floor(*slots));
    own + u32::from(extra)
}

/// Declared slots of a route's halls, for [`hall_share`].
pub fn declared(route: &Route) -> Vec<(HallKey, u32)> {
    route.halls.iter().map(|h| (h.hall, h.slots)).collect()
}
