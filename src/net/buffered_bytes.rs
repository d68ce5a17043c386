//! Bytes of bodies that an instance holds in memory, counted in a total of all.
//!
//! Owns what one body adds to the total, and takes it off again; the total wakes who waits for room
//! in it. Relies on nothing.

use std::cell::Cell;
use std::rc::Rc;
use tokio::sync::Notify;

/// Bytes of all bodies in memory.
#[derive(Debug, Default)]
pub struct BufferTotal {
    bytes: Cell<u64>,
    freed: Notify,
}

impl BufferTotal {
    /// Bytes of all bodies.
    pub fn get(&self) -> u64 {
        self.bytes.get()
    }

    /// Returns once bytes were released or [`Self::wake_next`] was called; wakes one of those that wait.
    pub async fn freed(&self) {
        self.freed.notified().await;
    }

    /// Wakes the next one that waits: there is room for it as well.
    pub fn wake_next(&self) {
        self.freed.notify_one();
    }
}

/// Bytes of one body in memory, counted in a total until they are released or dropped.
#[derive(Debug)]
pub struct BufferedBytes {
    total: Rc<BufferTotal>,
    bytes: u64,
}

impl BufferedBytes {
    /// None yet, to be counted in `total`.
    pub fn new(total: &Rc<BufferTotal>) -> Self {
        Self { total: total.clone(), bytes: 0 }
    }

    /// Bytes of this body.
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Bytes of all bodies.
    pub fn total(&self) -> u64 {
        self.total.get()
    }

    /// Counts bytes that were read.
    pub fn add(&mut self, bytes: u64) {
        self.bytes += bytes;
        self.total.bytes.set(self.total.get() + bytes);
    }

    /// Counts bytes that were handed on; at most what is held.
    pub fn release(&mut self, bytes: u64) {
        let bytes = bytes.min(self.bytes);
        self.bytes -= bytes;
        self.total.bytes.set(self.total.get() - bytes);
        self.total.wake_next();
    }
}

impl Drop for BufferedBytes {
    fn drop(&mut self) {
        self.release(self.bytes);
    }
}
