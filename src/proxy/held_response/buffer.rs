//! Buffer for the bytes of one response between its target and its caller.
//!
//! Owns the bytes, and their count in the total of the instance. The count matches the memory used
//! within a factor of two: a chunk that is much smaller than the read buffer it points into is
//! copied into a block with others, which frees the read buffer. Relies on [`BufferedBytes`].
//! Test: `tests/held_responses.rs`.

use crate::net::buffered_bytes::{BufferTotal, BufferedBytes};
use bytes::{Bytes, BytesMut};
use std::cell::Cell;
use std::collections::VecDeque;
use std::rc::Rc;

/// Maximum bytes that are handed to the caller's connection at a time. Bytes that the connection has
/// taken are no longer counted, so this limits the uncounted memory. Also the size of the blocks into
/// which small chunks are copied.
pub const PART_SIZE: usize = 32 * 1024;
/// Chunks smaller than this, bytes, are copied into blocks unless the buffer is empty: a small chunk
/// may keep a whole read buffer in memory.
const SMALL_CHUNK: usize = PART_SIZE / 2;

/// Bytes that were read from a target and not yet handed to the caller's connection.
#[derive(Debug)]
pub struct ResponseBuffer {
    blocks: VecDeque<Bytes>,
    /// Block under construction, of small chunks that follow `blocks`.
    tail: BytesMut,
    /// Counts the bytes while they are in this buffer.
    buffered: BufferedBytes,
    /// The same count, for others to read.
    held: Rc<Cell<u64>>,
}

impl ResponseBuffer {
    /// An empty buffer whose bytes are counted in `total`.
    pub fn new(total: &Rc<BufferTotal>) -> Self {
        Self {
            blocks: VecDeque::new(),
            tail: BytesMut::new(),
            buffered: BufferedBytes::new(total),
            held: Rc::default(),
        }
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
        if chunk.is_empty() {
            return;
        }
        let was_empty = self.is_empty();
        self.buffered.add(chunk.len() as u64);
        self.held.set(self.len());
        if chunk.len() < SMALL_CHUNK && !was_empty {
            self.append_to_tail(&chunk);
        } else {
            self.flush_tail();
            self.blocks.push_back(chunk);
        }
    }

    /// Removes and returns the next bytes, [`PART_SIZE`] at most; `None` if the buffer is empty.
    pub fn take_part(&mut self) -> Option<Bytes> {
        if self.blocks.is_empty() {
            self.flush_tail();
        }
        let block = self.blocks.front_mut()?;
        let part = block.split_to(block.len().min(PART_SIZE));
        if block.is_empty() {
            self.blocks.pop_front();
        }
        self.buffered.release(part.len() as u64);
        self.held.set(self.len());
        Some(part)
    }

    /// Drops all bytes.
    pub fn clear(&mut self) {
        self.blocks.clear();
        self.tail = BytesMut::new();
        self.buffered.release(self.buffered.bytes());
        self.held.set(0);
    }

    fn append_to_tail(&mut self, chunk: &[u8]) {
        if self.tail.len() + chunk.len() > PART_SIZE {
            self.flush_tail();
        }
        if self.tail.is_empty() {
            self.tail.reserve(PART_SIZE);
        }
        self.tail.extend_from_slice(chunk);
    }

    /// Moves the block under construction to `blocks`.
    fn flush_tail(&mut self) {
        if !self.tail.is_empty() {
            self.blocks.push_back(std::mem::take(&mut self.tail).freeze());
        }
    }
}
