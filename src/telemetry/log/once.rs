//! Lines that are written once, however often their cause comes back.
//!
//! Owns what was written, in bounded memory. Relies on nothing of lockloft.

use std::collections::HashSet;
use std::hash::Hash;

/// Lines remembered as written; beyond that all are forgotten, and may be written once more.
/// Bounds the memory to some hundred kB.
const MAX_REMEMBERED: usize = 1_000;

/// What was written already.
#[derive(Debug)]
pub struct Once<T> {
    written: HashSet<T>,
}

impl<T> Default for Once<T> {
    fn default() -> Self {
        Self { written: HashSet::new() }
    }
}

impl<T: Eq + Hash> Once<T> {
    /// Whether the line was not written yet; it counts as written from now on.
    pub fn is_new(&mut self, line: T) -> bool {
        if self.written.len() >= MAX_REMEMBERED {
            self.written.clear();
        }
        self.written.insert(line)
    }
}
