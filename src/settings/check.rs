//! Checks of single values of the settings.

use super::error::ValueError;
use std::time::Duration;

/// The error of a field.
pub fn error(field: &'static str, problem: impl Into<String>) -> ValueError {
    ValueError { field, problem: problem.into() }
}

/// A name: not empty, and without a slash, since keys of the store are made of it.
pub fn name(field: &'static str, value: String) -> Result<String, ValueError> {
    if value.is_empty() || value.contains('/') {
        return Err(error(field, "is empty or holds a slash; give a plain name"));
    }
    Ok(value)
}

/// A time above zero, in seconds.
pub fn seconds(field: &'static str, value: f64) -> Result<Duration, ValueError> {
    match Duration::try_from_secs_f64(value) {
        Ok(duration) if !duration.is_zero() => Ok(duration),
        _ => Err(error(field, format!("is {value}; give seconds above 0"))),
    }
}

/// A share from 0 to 1.
pub fn share(field: &'static str, value: f64) -> Result<f64, ValueError> {
    if !(0.0..=1.0).contains(&value) {
        return Err(error(field, format!("is {value}; give a share from 0 to 1")));
    }
    Ok(value)
}

/// A finite number of at least 0.
pub fn at_least_zero(field: &'static str, value: f64) -> Result<f64, ValueError> {
    if !value.is_finite() || value < 0.0 {
        return Err(error(field, format!("is {value}; give a number of at least 0")));
    }
    Ok(value)
}

/// A finite number above 0, of a field that may be left out.
pub fn above_zero(field: &'static str, value: f64) -> Result<f64, ValueError> {
    if !value.is_finite() || value <= 0.0 {
        return Err(error(field, format!("is {value}; give a number above 0, or leave it out")));
    }
    Ok(value)
}

/// At least `min`; `problem` is the error's text where it is less.
pub fn at_least(field: &'static str, value: u64, min: u64, problem: &str) -> Result<u64, ValueError> {
    if value < min {
        return Err(error(field, problem));
    }
    Ok(value)
}
