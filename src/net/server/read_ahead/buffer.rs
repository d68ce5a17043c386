//! Bytes of a connection that were read before their turn, and when each was read.
//!
//! Owns them; holds no memory where there are none. Relies on nothing.

use crate::clock::Instant;
use bytes::{Buf, BytesMut};
use std::collections::VecDeque;

/// Moments that are kept; bytes beyond count as read with those before them.
const MAX_READS: usize = 32;

/// Bytes that were read ahead.
#[derive(Debug, Default)]
pub struct ReadAheadBuffer {
    bytes: BytesMut,
    /// Where the bytes of one read end, and when it was.
    reads: VecDeque<(usize, Instant)>,
}

impl ReadAheadBuffer {
    /// All of them.
    pub fn bytes(&self) -> &[u8] {
        &self.bytes
    }

    /// Adds what was read at a moment.
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

    /// When the byte before `end` was read; `None` where there is no such byte.
    pub fn read_at(&self, end: usize) -> Option<Instant> {
        self.reads.iter().find(|(read, _)| *read >= end).map(|(_, at)| *at)
    }

    /// Drops the first bytes.
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

    /// Drops all.
    pub fn clear(&mut self) {
        *self = Self::default();
    }
}
