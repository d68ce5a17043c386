//! Rate limit header of a target's response: the requests per second that the target takes.
//!
//! This module only parses the value.
//!
//! **Test**: `tests/rate_limits.rs`.

/// Maximum length of a value that is parsed, bytes.
const MAX_VALUE_LENGTH: usize = 32;

/// What a response says about the target's rate limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LimitSignal {
    /// The response has no rate limit header: the target has no limit.
    None,
    /// Requests per second that the target takes from all instances together; finite, not negative.
    Rate(f64),
    /// The value cannot be parsed, or there is more than one: the response says nothing about the
    /// limit.
    Unreadable,
}

impl LimitSignal {
    /// Parses the values of the header, which must be one decimal number.
    pub fn parse<'a>(mut values: impl Iterator<Item = &'a [u8]>) -> Self {
        match (values.next(), values.next()) {
            (None, _) => Self::None,
            (Some(value), None) => parse_rate(value).map_or(Self::Unreadable, Self::Rate),
            (Some(_), Some(_)) => Self::Unreadable,
        }
    }
}

fn parse_rate(value: &[u8]) -> Option<f64> {
    let text = std::str::from_utf8(value).ok()?.trim();
    let is_decimal = text.len() <= MAX_VALUE_LENGTH && text.bytes().all(|byte| byte.is_ascii_digit() || byte == b'.');
    text.parse().ok().filter(|_| is_decimal)
}
