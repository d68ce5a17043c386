//! Clock for all ages, leases and deadlines. It includes the time during which the machine was
//! suspended, as the clocks of the store, the callers and the other instances do: the monotonic clock
//! of the system (`CLOCK_MONOTONIC`) stops during a suspension, `CLOCK_BOOTTIME` does not.
//!
//! An [`Instant`] is the monotonic time plus the total time suspended so far, which is the growth of the
//! offset between the two system clocks. That total never decreases, so an instant is never earlier than
//! one that was read before it on the same thread. The wall clock is not used.
//!
//! Timers of the runtime stop with the monotonic clock. The first reader of this clock that detects a
//! suspension wakes all waits of this module; each then ends, or continues for its remaining time. The
//! log's task reads the clock every 0.1 s, so that a suspension is detected soon even if nothing else
//! reads it.
//!
//! The rate limit of the log and the waits of the command-line tool use the monotonic clock on purpose.
//!
//! Owns the suspended time detected so far. Relies on nothing of lockloft. Test: `tests/suspension.rs`.

use nix::time::{ClockId, clock_gettime};
use pin_project_lite::pin_project;
use std::cell::Cell;
use std::future::Future;
use std::ops::{Add, AddAssign, Sub};
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;
use thiserror::Error;
use tokio::sync::Notify;
use tokio::sync::futures::Notified;

/// Growth of the offset between the clocks above which it counts as a suspension: more than the time
/// between the readings of the two clocks, and too little to matter for any bound.
const MIN_SUSPENSION: Duration = Duration::from_millis(10);
/// Maximum time between the readings of the monotonic clock before and after that of the other clock.
/// If more has passed, this thread was paused in between; the readings are discarded and repeated.
const MAX_READ_TIME: Duration = Duration::from_millis(1);
/// Attempts to read the clocks without a pause in between. If all fail, a suspension is detected the
/// next time that the clock is read.
const MAX_READ_ATTEMPTS: usize = 4;

/// How far an instant can be moved at once. A longer time counts as this one, so that no time from outside ends
/// where the system's clock cannot count; no wait lasts as long.
const MAX_MOVE: Duration = Duration::from_secs(100 * 365 * 24 * 60 * 60);

/// Wakes all waits after a suspension was detected.
static RESUMED: Notify = Notify::const_new();

thread_local! {
    static SUSPENSION: Suspension = Suspension::new();
}

/// Time during which the machine was suspended, as detected by one thread.
struct Suspension {
    /// Offset between the two clocks when the thread first read them.
    initial_offset: Duration,
    /// Time suspended since then.
    total: Cell<Duration>,
    /// Suspended time that a test simulates.
    simulated: Cell<Duration>,
}

impl Suspension {
    fn new() -> Self {
        let initial_offset = precise_clock_offset().unwrap_or_else(clock_offset);
        Self { initial_offset, total: Cell::new(Duration::ZERO), simulated: Cell::new(Duration::ZERO) }
    }

    /// The total time suspended until now. Logs a suspension that it detects, and wakes all waits.
    fn total(&self) -> Duration {
        if self.has_grown(clock_offset())
            && let Some(offset) = precise_clock_offset()
            && self.has_grown(offset)
        {
            let before = self.total.replace((offset + self.simulated.get()).saturating_sub(self.initial_offset));
            let for_ms = (self.total.get() - before).as_millis() as u64;
            tracing::warn!(event = "suspended", for_ms);
            RESUMED.notify_waiters();
        }
        self.total.get()
    }

    /// Whether the offset between the clocks has grown by more than `MIN_SUSPENSION` beyond the
    /// suspensions detected so far.
    fn has_grown(&self, offset: Duration) -> bool {
        offset + self.simulated.get() > self.initial_offset + self.total.get() + MIN_SUSPENSION
    }
}

/// How far `CLOCK_BOOTTIME` is ahead of `CLOCK_MONOTONIC`. Too large if this thread was paused between
/// the two readings.
fn clock_offset() -> Duration {
    let monotonic = read_clock(ClockId::CLOCK_MONOTONIC);
    read_clock(ClockId::CLOCK_BOOTTIME).saturating_sub(monotonic)
}

/// The same offset, never too large and at most [`MAX_READ_TIME`] too small; `None` if the thread was
/// paused in each attempt to read it.
fn precise_clock_offset() -> Option<Duration> {
    (0..MAX_READ_ATTEMPTS).find_map(|_| {
        let before = read_clock(ClockId::CLOCK_MONOTONIC);
        let boot = read_clock(ClockId::CLOCK_BOOTTIME);
        let after = read_clock(ClockId::CLOCK_MONOTONIC);
        (after - before <= MAX_READ_TIME).then(|| boot.saturating_sub(after))
    })
}

/// Current time of a system clock.
///
/// # Panics
/// If the system does not have the clock. Linux has both since 2.6.39.
fn read_clock(clock: ClockId) -> Duration {
    clock_gettime(clock).expect("the system has the clock").into()
}

/// Advances this thread's clock by `time` but not the monotonic clock, as a suspension of the machine
/// does. For tests, which cannot suspend the machine.
#[doc(hidden)]
pub fn simulate_suspension(time: Duration) {
    SUSPENSION.with(|suspension| suspension.simulated.set(suspension.simulated.get() + time));
}

/// A point in time on this clock. Only instants that were read on the same thread are comparable, as
/// each thread counts suspended time from its first reading on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Instant(tokio::time::Instant);

impl Instant {
    /// The current time. Detects a suspension since the clock was last read on this thread.
    pub fn now() -> Self {
        Self(tokio::time::Instant::now() + SUSPENSION.with(Suspension::total))
    }

    /// Time from this instant until now; zero if this instant is in the future.
    pub fn elapsed(self) -> Duration {
        Self::now().saturating_duration_since(self)
    }

    /// Time since an earlier instant; zero if that one is later.
    pub fn saturating_duration_since(self, earlier: Self) -> Duration {
        self.0.saturating_duration_since(earlier.0)
    }

    /// The same as [`Self::saturating_duration_since`].
    pub fn duration_since(self, earlier: Self) -> Duration {
        self.saturating_duration_since(earlier)
    }

    /// The instant `time` before this one; `None` if it cannot be represented.
    pub fn checked_sub(self, time: Duration) -> Option<Self> {
        self.0.checked_sub(time).map(Self)
    }
}

/// Moves the instant ahead, by `MAX_MOVE` (100 years) at most. One that the clock cannot represent stays where
/// it is, so that this never panics.
impl Add<Duration> for Instant {
    type Output = Self;

    fn add(self, time: Duration) -> Self {
        self.0.checked_add(time.min(MAX_MOVE)).map_or(self, Self)
    }
}

impl AddAssign<Duration> for Instant {
    fn add_assign(&mut self, time: Duration) {
        *self = *self + time;
    }
}

/// Moves the instant back, as the addition moves it ahead.
impl Sub<Duration> for Instant {
    type Output = Self;

    fn sub(self, time: Duration) -> Self {
        self.0.checked_sub(time.min(MAX_MOVE)).map_or(self, Self)
    }
}

impl Sub for Instant {
    type Output = Duration;

    fn sub(self, earlier: Self) -> Duration {
        self.saturating_duration_since(earlier)
    }
}

/// Error of [`timeout`] and [`timeout_at`]: the deadline passed before the future was ready.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("the deadline has passed")]
pub struct Elapsed;

pin_project! {
    /// Future that completes at a deadline; returned by [`sleep`] and [`sleep_until`].
    pub struct Sleep {
        deadline: Instant,
        #[pin]
        timer: tokio::time::Sleep,
        #[pin]
        resumed: Notified<'static>,
    }
}

impl Future for Sleep {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<()> {
        loop {
            let mut this = self.as_mut().project();
            let is_resumed = this.resumed.as_mut().poll(context).is_ready();
            if is_resumed {
                this.resumed.set(RESUMED.notified());
            } else if this.timer.as_mut().poll(context).is_pending() {
                return Poll::Pending;
            }
            let remaining = this.deadline.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                return Poll::Ready(());
            }
            this.timer.reset(tokio::time::Instant::now() + remaining);
        }
    }
}

/// Waits until `deadline`.
pub fn sleep_until(deadline: Instant) -> Sleep {
    let resumed = RESUMED.notified();
    let remaining = deadline.saturating_duration_since(Instant::now());
    Sleep { deadline, timer: tokio::time::sleep(remaining), resumed }
}

/// Waits for `time`, including time during which the machine is suspended.
pub fn sleep(time: Duration) -> Sleep {
    sleep_until(Instant::now() + time)
}

/// Waits for a future until `deadline` at the latest. A future that is ready when it is polled gives
/// its output even if the deadline has passed.
///
/// # Errors
/// [`Elapsed`] if the future was not ready by then.
pub async fn timeout_at<F: Future>(deadline: Instant, future: F) -> Result<F::Output, Elapsed> {
    tokio::select! {
        biased;
        output = future => Ok(output),
        () = sleep_until(deadline) => Err(Elapsed),
    }
}

/// Waits for a future for `time` at most, as [`timeout_at`] does.
///
/// # Errors
/// [`Elapsed`] if the future was not ready in time.
pub async fn timeout<F: Future>(time: Duration, future: F) -> Result<F::Output, Elapsed> {
    timeout_at(Instant::now() + time, future).await
}
