//! The clock of all ages, leases and deadlines. It counts the time for which the machine was
//! suspended, as the store, the callers and the other instances do: the steady clock of the
//! system (`CLOCK_MONOTONIC`) stands still meanwhile, `CLOCK_BOOTTIME` does not.
//!
//! A moment is the steady time plus all time suspended so far. The suspended time only grows, by
//! what both clocks of the system differ more than before, so that a moment is never earlier than
//! one read before it. The time of day has no part in it.
//!
//! Timers of the runtime stand still with the steady clock. Whoever notices a suspension first, by
//! reading this clock, wakes the waits of this module; they end or wait on for what is left. The
//! log's task reads it each 0.1 s.
//!
//! On the steady clock stay on purpose: the rate of the log and the waits of the operators' tool.
//!
//! Owns the suspended time seen so far. Relies on nothing of lockloft. Test: `tests/suspension.rs`.

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

/// Least time that counts as a suspension: above what passes between the readings of two clocks,
/// below what any bound depends on.
const LEAST_SUSPENSION: Duration = Duration::from_millis(10);
/// Most time between the two readings of the steady clock round one of the other: of more, the
/// reading says nothing, since this process was paused meanwhile.
const MAX_READING: Duration = Duration::from_millis(1);
/// Readings of the clocks until the process was not paused between them; a suspension that none
/// shows is seen with the next look.
const MAX_READINGS: usize = 4;

/// Wakes all waits once a suspension was noticed.
static RESUMED: Notify = Notify::const_new();

thread_local! {
    static SUSPENSION: Suspension = Suspension::new();
}

/// The time for which the machine was suspended, as one thread has seen it.
struct Suspension {
    /// By how much the clocks differed when the thread began.
    first: Duration,
    /// Time suspended since then.
    total: Cell<Duration>,
    /// Suspensions that a test made up.
    made_up: Cell<Duration>,
}

impl Suspension {
    fn new() -> Self {
        let first = read_difference().unwrap_or_else(difference);
        Self { first, total: Cell::new(Duration::ZERO), made_up: Cell::new(Duration::ZERO) }
    }

    /// The time suspended until now.
    fn total(&self) -> Duration {
        if self.seems_longer(difference())
            && let Some(read) = read_difference()
            && self.seems_longer(read)
        {
            let before = self.total.replace((read + self.made_up.get()).saturating_sub(self.first));
            let for_ms = (self.total.get() - before).as_millis() as u64;
            tracing::warn!(event = "suspended", for_ms);
            RESUMED.notify_waiters();
        }
        self.total.get()
    }

    /// Whether the clocks differ by more than the suspensions known so far.
    fn seems_longer(&self, difference: Duration) -> bool {
        difference + self.made_up.get() > self.first + self.total.get() + LEAST_SUSPENSION
    }
}

/// By how much `CLOCK_BOOTTIME` is ahead of the steady clock; more, where this thread was paused
/// between the two readings.
fn difference() -> Duration {
    let steady = read(ClockId::CLOCK_MONOTONIC);
    read(ClockId::CLOCK_BOOTTIME).saturating_sub(steady)
}

/// The same, never more than it is; `None` where the thread was paused in each reading.
fn read_difference() -> Option<Duration> {
    (0..MAX_READINGS).find_map(|_| {
        let before = read(ClockId::CLOCK_MONOTONIC);
        let boot = read(ClockId::CLOCK_BOOTTIME);
        let after = read(ClockId::CLOCK_MONOTONIC);
        (after - before <= MAX_READING).then(|| boot.saturating_sub(after))
    })
}

/// Time of a clock of the system.
///
/// # Panics
/// Where the system lacks it: every Linux from 2.6.39 on has both.
fn read(clock: ClockId) -> Duration {
    clock_gettime(clock).expect("the system has the clock").into()
}

/// Has this thread's clock go on by `time` while the steady clock stands still, as a suspension of
/// the machine does. For tests, which cannot suspend the machine.
#[doc(hidden)]
pub fn simulate_suspension(time: Duration) {
    SUSPENSION.with(|suspension| suspension.made_up.set(suspension.made_up.get() + time));
}

/// A moment of this clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Instant(tokio::time::Instant);

impl Instant {
    /// This moment.
    pub fn now() -> Self {
        Self(tokio::time::Instant::now() + SUSPENSION.with(Suspension::total))
    }

    /// Time since then.
    pub fn elapsed(self) -> Duration {
        Self::now().saturating_duration_since(self)
    }

    /// Time since an earlier moment; zero where that one is later.
    pub fn saturating_duration_since(self, earlier: Self) -> Duration {
        self.0.saturating_duration_since(earlier.0)
    }

    /// The same.
    pub fn duration_since(self, earlier: Self) -> Duration {
        self.saturating_duration_since(earlier)
    }

    /// The moment so long before; `None` where no moment is so early.
    pub fn checked_sub(self, time: Duration) -> Option<Self> {
        self.0.checked_sub(time).map(Self)
    }
}

impl Add<Duration> for Instant {
    type Output = Self;

    fn add(self, time: Duration) -> Self {
        Self(self.0 + time)
    }
}

impl AddAssign<Duration> for Instant {
    fn add_assign(&mut self, time: Duration) {
        *self = *self + time;
    }
}

impl Sub<Duration> for Instant {
    type Output = Self;

    fn sub(self, time: Duration) -> Self {
        Self(self.0 - time)
    }
}

impl Sub for Instant {
    type Output = Duration;

    fn sub(self, earlier: Self) -> Duration {
        self.saturating_duration_since(earlier)
    }
}

/// What was waited for did not come in time.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("it did not come in time")]
pub struct Elapsed;

pin_project! {
    /// A wait until a moment has come.
    pub struct Sleep {
        at: Instant,
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
            let left = this.at.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Poll::Ready(());
            }
            this.timer.reset(tokio::time::Instant::now() + left);
        }
    }
}

/// Waits until a moment has come.
pub fn sleep_until(at: Instant) -> Sleep {
    let resumed = RESUMED.notified();
    let left = at.saturating_duration_since(Instant::now());
    Sleep { at, timer: tokio::time::sleep(left), resumed }
}

/// Waits for some time.
pub fn sleep(time: Duration) -> Sleep {
    sleep_until(Instant::now() + time)
}

/// Waits for a future, until a moment has come at most. One that is ready counts, also when late.
///
/// # Errors
/// [`Elapsed`] where it was not ready by then.
pub async fn timeout_at<F: Future>(at: Instant, future: F) -> Result<F::Output, Elapsed> {
    tokio::select! {
        biased;
        output = future => Ok(output),
        () = sleep_until(at) => Err(Elapsed),
    }
}

/// Waits for a future for some time at most, as [`timeout_at`] does.
///
/// # Errors
/// [`Elapsed`] where it was not ready in time.
pub async fn timeout<F: Future>(time: Duration, future: F) -> Result<F::Output, Elapsed> {
    timeout_at(Instant::now() + time, future).await
}
