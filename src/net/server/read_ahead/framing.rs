//! Decides how the next bytes of a connection are handled, and finds the end of a message head.
//!
//! Owns the scanner's state within a head. Relies on hyper for the length of a body: the length that
//! hyper parsed from the head is used here, so that the two never disagree about where a request
//! ends. Tests: `tests/pipelined_framing.rs`.

/// How the next bytes of a connection are handled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadMode {
    /// Given to hyper up to the end of a head.
    Head,
    /// Given to hyper until this many bytes of a body were given.
    Body(u64),
    /// Read ahead and kept here: hyper has all bytes of the current request.
    ReadAhead,
    /// Given to hyper without a limit: how many of them belong to the current request is not known
    /// here.
    PassThrough {
        /// Whether the current request has a body.
        has_body: bool,
    },
}

/// Searches a stream of bytes for the end of a head: an empty line. Lines end with a line feed, with
/// or without a carriage return before it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum HeadScanner {
    /// Within a line.
    #[default]
    InLine,
    /// At the start of a line.
    AfterNewline,
    /// After a carriage return at the start of a line.
    AfterCarriageReturn,
}

impl HeadScanner {
    /// The number of bytes up to and including the end of the head; `None` if the head does not end in
    /// these bytes. The next call continues the search.
    pub fn find_end(&mut self, bytes: &[u8]) -> Option<usize> {
        for (position, byte) in bytes.iter().enumerate() {
            *self = match (*self, byte) {
                (HeadScanner::AfterNewline | HeadScanner::AfterCarriageReturn, b'\n') => {
                    *self = HeadScanner::InLine;
                    return Some(position + 1);
                }
                (_, b'\n') => HeadScanner::AfterNewline,
                (HeadScanner::AfterNewline, b'\r') => HeadScanner::AfterCarriageReturn,
                _ => HeadScanner::InLine,
            };
        }
        None
    }
}
