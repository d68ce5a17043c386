//! How much of answers an instance holds for callers that read slowly, and when it begins no more
//! large ones.
//!
//! **Load.** Large answers to callers that read slowly. A target keeps the slot of an answer that is not
//! read, cuts it after some seconds, and fails once those that it holds outgrow its memory.
//!
//! **Inputs**
//! - Bytes held of the answer, and of all answers and buffered request bodies of this instance: exact, no
//!   age.
//! - `limits.memory_mb` of the settings.
//! - Whether the caller waits for bytes of the answer, and the most of it that was held while there was
//!   room.
//!
//! **Rule.** An answer is read on while less of it than `MAX_ANSWER` is held and less of all than the
//! bound of all; else as its caller takes it: as much as was taken is read, so that its target is read at
//! the caller's pace and does not cut it. While the bound of all is reached, requests with large
//! answers are refused before they begin. None under way is dropped for want of memory.
//!
//! Owns nothing. **Test**: `tests/held_answers.rs`, `standins/tests/slow_readers.rs`.

use std::time::Duration;

/// Most bytes that are held of one answer: keeps a single caller from taking the room of all.
const MAX_ANSWER: u64 = 1024 * 1024;
/// Answers are held while all bytes held are below one in this many of the memory limit: less than
/// request bodies may take, so that these are still buffered beside them.
const ANSWER_DIVISOR: u64 = 10;
/// How long a caller may take nothing of a whole answer, once its deadline is over: keeps callers that fell
/// silent from holding memory for good.
pub const SILENT_CALLER: Duration = Duration::from_secs(30);
/// How long an answer counts as under way after its last part was handed on: time for the caller to take
/// that part before a planned stop ends the process.
pub const LAST_PART: Duration = Duration::from_millis(500);
/// The wait of a caller that is refused for want of memory, before it is spread: gives the callers that read
/// time to take a part of what is held.
pub const HELD_WAIT: Duration = Duration::from_millis(600);

/// Bounds on what is held of answers, bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeldLimits {
    /// Of one answer.
    answer: u64,
    /// Of all.
    total: u64,
}

impl HeldLimits {
    /// The bounds of an instance with this memory limit, bytes.
    pub fn of_memory(memory: u64) -> Self {
        Self { answer: MAX_ANSWER, total: memory / ANSWER_DIVISOR }
    }

    /// Whether an answer of which `own` bytes are held, of `total` in all, is read on; `most` of it were held
    /// while there was room.
    pub fn reads_on(&self, own: u64, total: u64, most: u64, caller_waits: bool) -> bool {
        let is_taken = own < most || own == 0 && caller_waits;
        is_taken || self.has_room(own, total)
    }

    /// Whether more of an answer may be held.
    pub fn has_room(&self, own: u64, total: u64) -> bool {
        own < self.answer && total < self.total
    }

    /// Whether an answer of which `own` bytes are held waits for its own caller alone.
    pub fn is_full(&self, own: u64) -> bool {
        own >= self.answer
    }

    /// Whether a request with a large answer may begin while `total` bytes are held.
    pub fn takes_large_answers(&self, total: u64) -> bool {
        total < self.total
    }
}
