//! Shares of the selected requests: numbers from 0 to 1.

use super::error::{Place, PolicyError};
use super::file::Checked;

/// Refuses what is no share.
pub(super) fn check_share(place: Place, value: f64) -> Checked<()> {
    if (0.0..=1.0).contains(&value) {
        return Ok(());
    }
    Err(PolicyError::Range { place, value: value.to_string(), range: "a share from 0 to 1" })
}
