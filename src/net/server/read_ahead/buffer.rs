//! Buffer of the bytes of a connection that were read ahead, with the time at which each was read.
//!
//! Owns the bytes; an empty buffer takes no memory. Relies on nothing.

use crate::clock::Instant;
use bytes::{Buf, BytesMut};
use std::collections::VecDeque;

/// Maximum number of reads whose times are kept; the bytes of further reads get the time of the last
/// one that is kept.
const MAX_READS: usize = 32;

/// Bytes that were read ahead and the times of the reads.
#[derive(Debug, Default)]
pub struct ReadAheadBuffer {
    bytes: BytesMut,
    /// For each read, the position in the buffer where its bytes end, and its time.
    reads: VecDeque<(usize, Instant)>,
}

impl ReadAheadBuffer {
    /// All bytes in the buffer.
    pub fn bytes(&self) -> &[u8] {
        &self.bytes
    }

    /// Appends bytes that were read at `now`.
    pub fn add(&mut self, bytes: &[u8], now: Instant) {
        if bytes.is_empty() {
            return;
        }
        self.bytes.extend_from_slice(bytes);
        let mut read_at = now;
        if self.reads.len() == MAX_READS {
            read_at = self.reads.pop_back().map_or(now, |(_, at)| at);
        }
        self.reads.push_back((self.bytes.len(), read_at));
    }

    /// When the byte before position `end` was read; `None` if the buffer ends before it.
    pub fn read_at(&self, end: usize) -> Option<Instant> {
        self.reads.iter().find(|(read, _)| *read >= end).map(|(_, at)| *at)
    }

    /// Removes the first `count` bytes.
    pub fn consume(&mut self, count: usize) {
        self.bytes.advance(count);
        self.reads.retain_mut(|(end, _)| {
            *end = end.saturating_sub(count);
            *end > 0
        });
        if self.bytes.is_empty() {
            self.clear();
        }
    }

    /// Removes all bytes and frees their memory.
    pub fn clear(&mut self) {
        *self = Self::default();
    }
}
