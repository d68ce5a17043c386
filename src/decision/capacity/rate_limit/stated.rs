//! What an answer of a target says of the requests a second that it takes.
//!
//! Owns the form of the value. Relies on nothing.
//!
//! **Test**: `tests/rate_limits.rs`.

/// Longest value that is read, characters.
const MAX_LENGTH: usize = 32;

/// What an answer says of the target's limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum StatedLimit {
    /// It names none.
    None,
    /// Requests a second that the target takes of all instances; finite, not negative.
    Rate(f64),
    /// It names something that is no limit: it says nothing.
    Unreadable,
}

impl StatedLimit {
    /// Reads the values of the header: one decimal number.
    pub fn parse<'a>(mut values: impl Iterator<Item = &'a [u8]>) -> Self {
        match (values.next(), values.next()) {
            (None, _) => Self::None,
            (Some(value), None) => rate(value).map_or(Self::Unreadable, Self::Rate),
            (Some(_), Some(_)) => Self::Unreadable,
        }
    }
}

fn rate(value: &[u8]) -> Option<f64> {
    let text = std::str::from_utf8(value).ok()?.trim();
    let is_decimal = text.len() <= MAX_LENGTH && text.bytes().all(|byte| byte.is_ascii_digit() || byte == b'.');
    text.parse().ok().filter(|_| is_decimal)
}
