//! The bytes of one answer between its target and its caller.
//!
//! Owns them, and their count in the total of the instance. What is counted is what is in memory, within a
//! factor of two: a chunk that is small against the block it was read into is copied into a block of
//! several, and its own is given up. Relies on [`BufferedBytes`]. Test: `tests/held_answers.rs`.

use crate::net::buffered_bytes::{BufferTotal, BufferedBytes};
use bytes::{Bytes, BytesMut};
use std::collections::VecDeque;
use std::rc::Rc;

/// Most bytes that are handed on at a time: bounds what the caller's connection holds uncounted. Also the
/// size of blocks of small chunks.
pub const PART_SIZE: usize = 32 * 1024;
/// Chunks below this size are copied together while others wait: a small chunk may keep a whole read
/// buffer in memory.
const SMALL_CHUNK: usize = PART_SIZE / 2;

/// Bytes that came from a target and were not handed on.
#[derive(Debug)]
pub struct AnswerBuffer {
    blocks: VecDeque<Bytes>,
    /// Small chunks behind the blocks.
    tail: BytesMut,
    held: BufferedBytes,
}

impl AnswerBuffer {
    /// An empty buffer, counted in `total`.
    pub fn new(total: &Rc<BufferTotal>) -> Self {
        Self { blocks: VecDeque::new(), tail: BytesMut::new(), held: BufferedBytes::none(total) }
    }

    /// Bytes that it holds.
    pub fn len(&self) -> u64 {
        self.held.own()
    }

    /// Whether it holds none.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Bytes that all buffers hold.
    pub fn total(&self) -> u64 {
        self.held.total()
    }

    /// Adds a chunk at the end.
    pub fn push(&mut self, chunk: Bytes) {
        if chunk.is_empty() {
            return;
        }
        let was_empty = self.is_empty();
        self.held.add(chunk.len() as u64);
        if chunk.len() < SMALL_CHUNK && !was_empty {
            self.append_to_tail(&chunk);
        } else {
            self.flush_tail();
            self.blocks.push_back(chunk);
        }
    }

    /// Takes the next bytes, `PART_SIZE` at most; `None` where there are none.
    pub fn take_part(&mut self) -> Option<Bytes> {
        if self.blocks.is_empty() {
            self.flush_tail();
        }
        let block = self.blocks.front_mut()?;
        let part = block.split_to(block.len().min(PART_SIZE));
        if block.is_empty() {
            self.blocks.pop_front();
        }
        self.held.release(part.len() as u64);
        Some(part)
    }

    /// Gives up all that it holds.
    pub fn clear(&mut self) {
        self.blocks.clear();
        self.tail = BytesMut::new();
        self.held.release(self.held.own());
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

    /// Makes a block of the small chunks.
    fn flush_tail(&mut self) {
        if !self.tail.is_empty() {
            self.blocks.push_back(std::mem::take(&mut self.tail).freeze());
        }
    }
}
