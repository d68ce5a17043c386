//! What a target reports of its load with an answer: requests running, requests waiting, slots and,
//! where it names it, how long work takes there now.
//!
//! Owns the form alone. A report that cannot be read is ignored, for a reason that is counted; its
//! target stays in use. **Test**: `tests/load_reports.rs`.

use std::num::{NonZeroU16, NonZeroU32};
use thiserror::Error;

/// Largest number of requests or slots that is believed: more than a machine has descriptors.
const MOST_REQUESTS: u32 = 1 << 20;

/// How long work takes at a target, in hundredths of its usual time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Slowdown(NonZeroU16);

impl Slowdown {
    /// Work takes its usual time.
    pub const USUAL: Self = Self(NonZeroU16::new(100).expect("it is not 0"));

    /// A slowdown in hundredths; `None` for 0.
    pub fn from_percent(percent: u16) -> Option<Self> {
        NonZeroU16::new(percent).map(Self)
    }

    /// In hundredths.
    pub fn percent(self) -> u16 {
        self.0.get()
    }

    /// As a factor on the usual time of work.
    pub fn factor(self) -> f64 {
        f64::from(self.percent()) / 100.0
    }
}

/// A target's report of its load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadReport {
    /// Requests running.
    pub running: u32,
    /// Requests waiting.
    pub waiting: u32,
    /// Slots.
    pub slots: u32,
    /// How long work takes there; `None` where the target does not say. Checked, and not used yet.
    pub slowdown: Option<Slowdown>,
}

/// Why a load report is ignored.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum LoadReportError {
    /// It is not text.
    #[error("the load report is not text; the target must send figures")]
    NoText,
    /// It has neither three nor four figures.
    #[error("the load report has {0} figures; the target must send running, waiting, slots and, if it knows, slowdown")]
    Count(usize),
    /// One of the first three figures is no number that is believed.
    #[error("figure {0} of the load report is no whole number up to {MOST_REQUESTS}; the target must correct it")]
    Figure(usize),
    /// It names no slots.
    #[error("the load report names no slots; the target must name those that it has")]
    NoSlots,
    /// The slowdown is no number above 0 that is believed.
    #[error("the slowdown of the load report is not between 1 and 65535 hundredths; the target must correct it")]
    Slowdown,
}

impl LoadReportError {
    /// Its name in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NoText => "no-text",
            Self::Count(_) => "count",
            Self::Figure(_) => "figure",
            Self::NoSlots => "no-slots",
            Self::Slowdown => "slowdown",
        }
    }
}

impl LoadReport {
    /// Reads `running,waiting,slots` or `running,waiting,slots,slowdown`.
    ///
    /// # Errors
    /// [`LoadReportError`]; the report is ignored then.
    pub fn parse(text: &str) -> Result<Self, LoadReportError> {
        let figures: Vec<&str> = text.split(',').map(str::trim).collect();
        let (requests, slowdown) = match figures[..] {
            [running, waiting, slots] => ([running, waiting, slots], None),
            [running, waiting, slots, slowdown] => ([running, waiting, slots], Some(slowdown)),
            _ => return Err(LoadReportError::Count(figures.len())),
        };
        let figure = |position: usize| number(requests[position]).ok_or(LoadReportError::Figure(position + 1));
        let (running, waiting, slots) = (figure(0)?, figure(1)?, figure(2)?);
        let slots = NonZeroU32::new(slots).ok_or(LoadReportError::NoSlots)?.get();
        let slowdown = slowdown.map(read_slowdown).transpose()?;
        Ok(Self { running, waiting, slots, slowdown })
    }
}

fn number(text: &str) -> Option<u32> {
    text.parse().ok().filter(|number| *number <= MOST_REQUESTS)
}

/// A slowdown, to the nearest hundredth: targets may send a fraction.
fn read_slowdown(text: &str) -> Result<Slowdown, LoadReportError> {
    let percent: f64 = text.parse().map_err(|_| LoadReportError::Slowdown)?;
    let is_believed = percent.is_finite() && (1.0..=f64::from(u16::MAX)).contains(&percent);
    if !is_believed {
        return Err(LoadReportError::Slowdown);
    }
    Slowdown::from_percent(percent.round() as u16).ok_or(LoadReportError::Slowdown)
}
