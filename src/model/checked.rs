//! Checked types for numbers and addresses from outside: records of the store, messages of
//! peers, headers of targets and callers. There is one type for each kind of value, with the bounds that its
//! meaning sets, so that no value outside them reaches any arithmetic.
//!
//! Conversions fail with [`OutOfBounds`]; whether the value is then refused or replaced is up to the
//! caller.

use std::fmt::{Display, Formatter};
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;

/// One day, milliseconds: no target warms its caches, and no caller waits, for longer.
const DAY_MS: u64 = 24 * 60 * 60 * 1_000;
/// One year, milliseconds: a process runs for less.
const YEAR_MS: u64 = 365 * DAY_MS;
/// Ten minutes, milliseconds: the longest time for which requests are quarantined.
const QUARANTINE_MS: u64 = 10 * 60 * 1_000;
/// Maximum number of slots of a target: more than a machine has file descriptors.
const MAX_SLOTS: u32 = 1 << 20;
/// Maximum number of requests, and of requests per second: an `f64` counts up to it without gaps.
const MAX_AMOUNT: u64 = 1 << 53;
/// Maximum size of a request head, bytes; bounds the memory that each connection of a caller may take.
const MAX_HEAD_BYTES: u64 = 16 << 20;

/// Error of a value outside the bounds of its kind.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("is out of bounds: {0}")]
pub struct OutOfBounds(&'static str);

/// A raw time in seconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Seconds(pub f64);

/// A raw time in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Milliseconds(pub f64);

impl Display for Seconds {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        self.0.fmt(f)
    }
}

impl Display for Milliseconds {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        self.0.fmt(f)
    }
}

/// A time from `MIN_MS` to `MAX_MS` milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct BoundedTime<const MIN_MS: u64, const MAX_MS: u64>(Duration);

/// What is left of a target's slow start.
pub type SlowStartTime = BoundedTime<0, DAY_MS>;
/// Time for which a request is held; 0 for no bound.
pub type RequestTimeout = BoundedTime<0, DAY_MS>;
/// Latency within which a response is most useful; 0 for none.
pub type LatencyObjective = BoundedTime<0, DAY_MS>;
/// Time in which a caller sends a request head. Within 0 ms none arrives.
pub type HeadTimeout = BoundedTime<1, DAY_MS>;
/// Time for which a connection may be idle. With 0 ms each is closed before its first request.
pub type IdleTimeout = BoundedTime<1, DAY_MS>;
/// Time after which a caller is told to return. Nothing refuses requests for longer than a quarantine lasts.
pub type RetryWait = BoundedTime<0, QUARANTINE_MS>;
/// Time since a peer's view was proven current, or since it saw the store recover.
pub type MessageAge = BoundedTime<0, YEAR_MS>;

impl<const MIN_MS: u64, const MAX_MS: u64> TryFrom<Duration> for BoundedTime<MIN_MS, MAX_MS> {
    type Error = OutOfBounds;

    fn try_from(time: Duration) -> Result<Self, OutOfBounds> {
        let bounds = Duration::from_millis(MIN_MS)..=Duration::from_millis(MAX_MS);
        bounds.contains(&time).then_some(Self(time)).ok_or(OutOfBounds("the time is too short or too long"))
    }
}

impl<const MIN_MS: u64, const MAX_MS: u64> TryFrom<Seconds> for BoundedTime<MIN_MS, MAX_MS> {
    type Error = OutOfBounds;

    fn try_from(raw: Seconds) -> Result<Self, OutOfBounds> {
        let time = Duration::try_from_secs_f64(raw.0).map_err(|_| OutOfBounds("it is no time"))?;
        Self::try_from(time)
    }
}

impl<const MIN_MS: u64, const MAX_MS: u64> TryFrom<Milliseconds> for BoundedTime<MIN_MS, MAX_MS> {
    type Error = OutOfBounds;

    fn try_from(raw: Milliseconds) -> Result<Self, OutOfBounds> {
        Self::try_from(Seconds(raw.0 / 1_000.0))
    }
}

impl<const MIN_MS: u64, const MAX_MS: u64> From<BoundedTime<MIN_MS, MAX_MS>> for Duration {
    fn from(time: BoundedTime<MIN_MS, MAX_MS>) -> Self {
        time.0
    }
}

/// A whole number from `MIN` to `MAX`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct BoundedCount<const MIN: u64, const MAX: u64>(u64);

/// Requests that a target processes concurrently.
pub type Slots = BoundedCount<1, { MAX_SLOTS as u64 }>;
/// Targets to which one request may be sent.
pub type MaxAttempts = BoundedCount<1, { u32::MAX as u64 }>;
/// Size of a request head, bytes.
pub type HeadSize = BoundedCount<1, MAX_HEAD_BYTES>;

impl<const MIN: u64, const MAX: u64> TryFrom<u64> for BoundedCount<MIN, MAX> {
    type Error = OutOfBounds;

    fn try_from(raw: u64) -> Result<Self, OutOfBounds> {
        (MIN..=MAX).contains(&raw).then_some(Self(raw)).ok_or(OutOfBounds("the number is too small or too large"))
    }
}

impl<const MIN: u64, const MAX: u64> BoundedCount<MIN, MAX> {
    /// The number, at most `u32::MAX`.
    pub fn to_u32(self) -> u32 {
        u32::try_from(self.0).unwrap_or(u32::MAX)
    }

    /// The number, at most `usize::MAX`.
    pub fn to_usize(self) -> usize {
        usize::try_from(self.0).unwrap_or(usize::MAX)
    }
}

/// A finite number from 0 to `MAX`.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct BoundedAmount<const MAX: u64>(f64);

/// Requests, or requests per second, of a quota or a slow start.
pub type RequestAmount = BoundedAmount<MAX_AMOUNT>;
/// Weight of a service in a traffic split.
pub type SplitWeight = BoundedAmount<MAX_AMOUNT>;
/// Part of a whole: the admit ratio of a head.
pub type Ratio = BoundedAmount<1>;

impl<const MAX: u64> TryFrom<f64> for BoundedAmount<MAX> {
    type Error = OutOfBounds;

    fn try_from(raw: f64) -> Result<Self, OutOfBounds> {
        let bounds = 0.0..=MAX as f64;
        bounds.contains(&raw).then_some(Self(raw)).ok_or(OutOfBounds("the number is too small or too large"))
    }
}

impl<const MAX: u64> From<BoundedAmount<MAX>> for f64 {
    fn from(amount: BoundedAmount<MAX>) -> Self {
        amount.0
    }
}

/// An address that a process can be reached at: a unicast one with a port. The unspecified address would
/// lead to the instance's own machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReachableAddress(SocketAddr);

impl TryFrom<SocketAddr> for ReachableAddress {
    type Error = OutOfBounds;

    fn try_from(raw: SocketAddr) -> Result<Self, OutOfBounds> {
        let ip = raw.ip().to_canonical();
        if raw.port() == 0 {
            return Err(OutOfBounds("the port is 0"));
        }
        if ip.is_unspecified() || ip.is_multicast() {
            return Err(OutOfBounds("no process has this address"));
        }
        Ok(Self(raw))
    }
}

impl From<ReachableAddress> for SocketAddr {
    fn from(address: ReachableAddress) -> Self {
        address.0
    }
}
