//! Load report that a target sends in a response header: requests running, requests waiting,
//! slots and, optionally, its current slowdown.
//!
//! This module only parses the header. An unreadable report is ignored and counted by reason; the
//! target stays in use. **Test**: `tests/load_reports.rs`.

use std::num::{NonZeroU16, NonZeroU32};
use thiserror::Error;

/// Maximum number of requests or slots that is accepted: more than a machine has file descriptors.
const MAX_REQUESTS: u32 = 1 << 20;

/// Current service time of a target, in percent of its usual one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Slowdown(NonZeroU16);

impl Slowdown {
    /// No slowdown: the usual service time.
    pub const USUAL: Self = Self(NonZeroU16::new(100).expect("100 is not 0"));

    /// Creates a slowdown from percent of the usual time; `None` for 0.
    pub fn from_percent(percent: u16) -> Option<Self> {
        NonZeroU16::new(percent).map(Self)
    }

    /// Percent of the usual time, at least 1.
    pub fn percent(self) -> u16 {
        self.0.get()
    }

    /// Factor on the usual service time, 1.0 for no slowdown.
    pub fn factor(self) -> f64 {
        f64::from(self.percent()) / 100.0
    }
}

/// Load that a target reports with a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadReport {
    /// Requests that occupy a slot.
    pub running: u32,
    /// Requests queued for a slot.
    pub waiting: u32,
    /// Requests that the target can run concurrently, at least 1.
    pub slots: u32,
    /// Current service time; `None` if the target does not report it. It is validated but not used
    /// yet.
    pub slowdown: Option<Slowdown>,
}

/// Why a load report is ignored.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum LoadReportError {
    /// The header value is not visible ASCII text.
    #[error("the load report is not text; the target must send comma-separated numbers")]
    NotText,
    /// It has neither three nor four fields; holds their number.
    #[error("the load report has {0} fields; the target must send running,waiting,slots with an optional slowdown")]
    FieldCount(usize),
    /// One of the first three fields is not an accepted number; holds its position, from 1.
    #[error("field {0} of the load report is not a whole number from 0 to {MAX_REQUESTS}; the target must correct it")]
    InvalidField(usize),
    /// The number of slots is 0.
    #[error("the load report has 0 slots; the target must report at least 1")]
    NoSlots,
    /// The slowdown is not a number in the accepted range.
    #[error("the slowdown of the load report is not a number from 1 to 65535 percent; the target must correct it")]
    InvalidSlowdown,
}

impl LoadReportError {
    /// Reason of the ignored report, as metrics name it.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotText => "no-text",
            Self::FieldCount(_) => "count",
            Self::InvalidField(_) => "figure",
            Self::NoSlots => "no-slots",
            Self::InvalidSlowdown => "slowdown",
        }
    }
}

impl LoadReport {
    /// Parses `running,waiting,slots` or `running,waiting,slots,slowdown`.
    ///
    /// # Errors
    /// [`LoadReportError`] if the text has another form or a number is out of range. The caller
    /// ignores the report.
    pub fn parse(text: &str) -> Result<Self, LoadReportError> {
        let fields: Vec<&str> = text.split(',').map(str::trim).collect();
        let (counts, slowdown) = match fields[..] {
            [running, waiting, slots] => ([running, waiting, slots], None),
            [running, waiting, slots, slowdown] => ([running, waiting, slots], Some(slowdown)),
            _ => return Err(LoadReportError::FieldCount(fields.len())),
        };
        let count = |position: usize| parse_count(counts[position]).ok_or(LoadReportError::InvalidField(position + 1));
        let (running, waiting, slots) = (count(0)?, count(1)?, count(2)?);
        let slots = NonZeroU32::new(slots).ok_or(LoadReportError::NoSlots)?.get();
        let slowdown = slowdown.map(parse_slowdown).transpose()?;
        Ok(Self { running, waiting, slots, slowdown })
    }
}

fn parse_count(text: &str) -> Option<u32> {
    text.parse().ok().filter(|count| *count <= MAX_REQUESTS)
}

/// Parses a slowdown and rounds it to whole percent, since targets may send a fraction.
fn parse_slowdown(text: &str) -> Result<Slowdown, LoadReportError> {
    let percent: f64 = text.parse().map_err(|_| LoadReportError::InvalidSlowdown)?;
    let is_in_range = percent.is_finite() && (1.0..=f64::from(u16::MAX)).contains(&percent);
    if !is_in_range {
        return Err(LoadReportError::InvalidSlowdown);
    }
    Slowdown::from_percent(percent.round() as u16).ok_or(LoadReportError::InvalidSlowdown)
}
