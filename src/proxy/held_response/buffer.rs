//! Buffer for the bytes of one response between its target and its caller.
//!
//! Owns the bytes, and their count in the total of the instance. The count matches the memory used
//! within a factor of two, since [`Chunks`] copies small chunks. Relies on [`BufferedBytes`].
//! Test: `tests/held_responses.rs`.

use crate::net::buffered_bytes::{BufferTotal, BufferedBytes};
use crate::net::chunks::{BLOCK_SIZE, Chunks};
use bytes::Bytes;
use std::cell::Cell;
use std::rc::Rc;

/// Maximum bytes that are handed to the caller's connection at a time. Bytes that the connection has
/// taken are no longer counted, so this limits the uncounted memory.
pub const PART_SIZE: usize = BLOCK_SIZE;

/// Bytes that were read from a target and not yet handed to the caller's connection.
#[derive(Debug)]
pub struct ResponseBuffer {
    chunks: Chunks,
    /// Counts the bytes while they are in this buffer.
    buffered: BufferedBytes,
    /// The same count, for others to read.
    held: Rc<Cell<u64>>,
}

impl ResponseBuffer {
    /// An empty buffer whose bytes are counted in `total`.
    pub fn new(total: &Rc<BufferTotal>) -> Self {
        Self { chunks: Chunks::default(), buffered: BufferedBytes::new(total), held: Rc::default() }
    }

    /// Bytes in this buffer.
    pub fn len(&self) -> u64 {
        self.buffered.bytes()
    }

    /// Count of the bytes in this buffer, now and later.
    pub fn held(&self) -> &Rc<Cell<u64>> {
        &self.held
    }

    /// Whether the buffer is empty.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Bytes of all bodies that count towards the same total.
    pub fn total(&self) -> u64 {
        self.buffered.total()
    }

    /// Appends a chunk.
    pub fn push(&mut self, chunk: Bytes) {
        self.buffered.add(chunk.len() as u64);
        self.held.set(self.len());
        self.chunks.push(chunk);
    }

    /// Removes and returns the next bytes, [`PART_SIZE`] at most; `None` if the buffer is empty.
    pub fn take_part(&mut self) -> Option<Bytes> {
        let part = self.chunks.take(PART_SIZE)?;
        self.buffered.release(part.len() as u64);
        self.held.set(self.len());
        Some(part)
    }

    /// Drops all bytes.
    pub fn clear(&mut self) {
        self.chunks.clear();
        self.buffered.release(self.buffered.bytes());
        self.held.set(0);
    }
}
