//! The rate of cold targets. A cold target bears few requests a second, over
//! all instances together; the instances share that rate out by rendezvous over
//! the store's list of members, with no message between them.

use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Views of the members that may be held at the same time by different
/// instances and still keep the bound together.
const VIEWS: f64 = 2.0;
/// Time over which an instance's own rate is kept: a second, and what a request
/// may be held up on its way.
const WINDOW: Duration = Duration::from_millis(1_030);

/// The operators' bound on what a cold target receives, beyond the rate that
/// it bears.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowStartBounds {
    /// Factor on the rate.
    pub overage: f64,
    /// Requests a second besides.
    pub slack: f64,
}

impl SlowStartBounds {
    /// Requests a second that the instances send to a cold target together, of
    /// the `rate` that it bears.
    pub fn shared_rate(&self, rate: f64) -> u32 {
        let bound = rate * self.overage + self.slack;
        rate.min(bound / VIEWS).max(0.0) as u32
    }
}

/// The part of `shared` requests a second that the member `own` may send to
/// the target with this hash; 0 for one that is not listed.
pub fn own_rate<'a>(shared: u32, target: u64, own: &str, members: impl Iterator<Item = &'a str>) -> u32 {
    let own_draw = draw(target, own);
    let (mut count, mut before, mut is_listed) = (0, 0, false);
    for name in members {
        count += 1;
        is_listed |= name == own;
        before += u32::from(draw(target, name) < own_draw);
    }
    match is_listed {
        false => 0,
        true if count > shared => u32::from(before < shared),
        true => shared / count,
    }
}

/// Time from one request to the next at a rate.
pub fn spacing(rate: u32) -> Duration {
    WINDOW / rate.max(1)
}

fn draw(target: u64, name: &str) -> u64 {
    xxh3_64_with_seed(name.as_bytes(), target)
}
