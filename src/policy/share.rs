//! The check of shares of the matched requests, which are numbers from 0 to 1.

use super::error::{Location, PolicyError};
use super::file::CheckResult;

/// Rejects numbers outside 0 to 1, and NaN.
pub(super) fn check_share(location: Location, value: f64) -> CheckResult<()> {
    if (0.0..=1.0).contains(&value) {
        return Ok(());
    }
    Err(PolicyError::OutOfRange { location, value: value.to_string(), range: "a share from 0 to 1" })
}
