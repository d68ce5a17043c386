//! Counts the bytes of bodies that an instance holds in memory, per body and in total.
//!
//! Owns the share of one body in the total, which is subtracted when the body is released or dropped.
//! The total wakes tasks that wait for bytes to be released. Relies on nothing.

use std::cell::Cell;
use std::rc::Rc;
use tokio::sync::Notify;

/// Number of bytes of all bodies in memory.
#[derive(Debug, Default)]
pub struct BufferTotal {
    bytes: Cell<u64>,
    freed: Notify,
}

impl BufferTotal {
    /// Number of bytes of all bodies in memory.
    pub fn get(&self) -> u64 {
        self.bytes.get()
    }

    /// Waits until bytes are released or [`Self::wake_next`] is called. Each of these events wakes one
    /// waiting task.
    pub async fn freed(&self) {
        self.freed.notified().await;
    }

    /// Wakes the next waiting task, because there may be room for it as well: a release of bytes wakes only
    /// one, which may leave room.
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
    /// A body of which no bytes are held yet, counted in `total`.
    pub fn new(total: &Rc<BufferTotal>) -> Self {
        Self { total: total.clone(), bytes: 0 }
    }

    /// Number of bytes of this body in memory.
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Number of bytes of all bodies in memory.
    pub fn total(&self) -> u64 {
        self.total.get()
    }

    /// Adds bytes that were read into memory.
    pub fn add(&mut self, bytes: u64) {
        self.bytes += bytes;
        self.total.bytes.set(self.total.get() + bytes);
    }

    /// Subtracts bytes that are no longer in memory, at most those of this body, and wakes a task that
    /// waits for the total.
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
