//! Bodies, or parts of them, in memory.
//!
//! Owns the bytes. A chunk that is much smaller than the read buffer it points into is copied into a block
//! with others, which frees the read buffer: so what is held takes little more memory than its bytes.

use bytes::{Bytes, BytesMut};
use hyper::body::SizeHint;
use std::collections::VecDeque;

/// Size of the blocks into which small chunks are copied, bytes.
pub const BLOCK_SIZE: usize = 32 * 1024;
/// Chunks smaller than this, bytes, are copied unless they come first: a small chunk may keep a whole read
/// buffer in memory.
const SMALL_CHUNK: usize = BLOCK_SIZE / 2;

/// The chunks of a body, in order.
#[derive(Debug, Default)]
pub struct Chunks {
    blocks: VecDeque<Bytes>,
    /// Block under construction, of small chunks that follow `blocks`.
    tail: BytesMut,
}

impl Chunks {
    /// Whether no bytes are held.
    pub fn is_empty(&self) -> bool {
        self.blocks.is_empty() && self.tail.is_empty()
    }

    /// Appends a chunk.
    pub fn push(&mut self, chunk: Bytes) {
        if chunk.is_empty() {
            return;
        }
        if chunk.len() < SMALL_CHUNK && !self.is_empty() {
            self.append_to_tail(&chunk);
        } else {
            self.flush_tail();
            self.blocks.push_back(chunk);
        }
    }

    /// Removes and returns the next bytes, `max_bytes` at most; `None` if there are none.
    pub fn take(&mut self, max_bytes: usize) -> Option<Bytes> {
        if self.blocks.is_empty() {
            self.flush_tail();
        }
        let block = self.blocks.front_mut()?;
        let part = block.split_to(block.len().min(max_bytes));
        if block.is_empty() {
            self.blocks.pop_front();
        }
        Some(part)
    }

    /// Drops all bytes.
    pub fn clear(&mut self) {
        *self = Self::default();
    }

    /// All bytes, in blocks.
    pub fn into_blocks(mut self) -> VecDeque<Bytes> {
        self.flush_tail();
        self.blocks
    }

    /// All bytes of a complete body. A single block is returned without a copy.
    pub fn join(self) -> Bytes {
        let mut blocks = self.into_blocks();
        match blocks.len() {
            0 => Bytes::new(),
            1 => blocks.pop_front().expect("there is one"),
            _ => Bytes::from(blocks.into_iter().flatten().collect::<Vec<u8>>()),
        }
    }

    fn append_to_tail(&mut self, chunk: &[u8]) {
        if self.tail.len() + chunk.len() > BLOCK_SIZE {
            self.flush_tail();
        }
        if self.tail.is_empty() {
            self.tail.reserve(BLOCK_SIZE);
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

/// The size of a body of which `chunks` were read and a part of size `rest` is still to come; unknown
/// if `rest` is.
pub fn size_with_rest(chunks: &VecDeque<Bytes>, rest: SizeHint) -> SizeHint {
    let read: u64 = chunks.iter().map(|chunk| chunk.len() as u64).sum();
    rest.exact().map_or_else(SizeHint::default, |exact| SizeHint::with_exact(read + exact))
}
