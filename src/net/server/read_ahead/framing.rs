//! Which bytes of a connection are given to hyper, and where a head ends.
//!
//! Owns the place in a head. Relies on hyper for the length of a body: what hyper read from the
//! head decides, so that both never differ. Tests: `tests/pipelined_framing.rs`.

/// Whom the next bytes of a connection are for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// hyper, up to the end of a head.
    Head,
    /// hyper, so many bytes of a body.
    Length(u64),
    /// Nobody yet: hyper has all of the request in hand.
    Ahead,
    /// hyper, whatever comes: how much of it belongs to the request in hand is not known here.
    Blind {
        /// Whether the request in hand has a body.
        has_body: bool,
    },
}

/// How far the end of a head was seen: two line ends, with a carriage return or without.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum HeadEnd {
    /// Within a line.
    #[default]
    Line,
    /// After a line.
    Newline,
    /// After a line and a carriage return.
    Return,
}

impl HeadEnd {
    /// The number of bytes up to the end of the head; `None` where it is not among them.
    pub fn find(&mut self, bytes: &[u8]) -> Option<usize> {
        for (position, byte) in bytes.iter().enumerate() {
            *self = match (*self, byte) {
                (HeadEnd::Newline | HeadEnd::Return, b'\n') => {
                    *self = HeadEnd::Line;
                    return Some(position + 1);
                }
                (_, b'\n') => HeadEnd::Newline,
                (HeadEnd::Newline, b'\r') => HeadEnd::Return,
                _ => HeadEnd::Line,
            };
        }
        None
    }
}
