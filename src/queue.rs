//! The queue of requests that wait for a slot, one for each service.
//!
//! Order: higher priority first, then the earlier deadline, then arrival. A
//! full queue gives up its last request for one of higher priority, at once.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::sync::Mutex;
use std::time::Instant;
use tokio::sync::oneshot;

/// Place in the order of a queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket {
    priority: Reverse<u8>,
    deadline: Instant,
    number: u64,
}

/// Waiting requests, bounded in number.
#[derive(Debug, Default)]
pub struct Queue {
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    waiting: BTreeMap<Ticket, oneshot::Sender<Wake>>,
    next: u64,
}

/// What a waiting request is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Wake {
    /// A slot may be free: try now.
    Try,
    /// A request of higher priority took the place.
    Shed,
}

/// The queue is full of requests that go first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueFull;

impl Queue {
    /// Draws a ticket; it stays the same however often the request waits.
    pub fn ticket(&self, priority: u8, deadline: Instant) -> Ticket {
        let mut inner = self.inner.lock().expect("no holder panics");
        inner.next += 1;
        Ticket { priority: Reverse(priority), deadline, number: inner.next }
    }

    /// Whether a request with this ticket would have to let others go first.
    pub fn goes_after(&self, ticket: &Ticket) -> bool {
        let inner = self.inner.lock().expect("no holder panics");
        inner.waiting.first_key_value().is_some_and(|(first, _)| first < ticket)
    }

    /// Waiting requests that go before this ticket.
    pub fn ahead(&self, ticket: &Ticket) -> usize {
        let inner = self.inner.lock().expect("no holder panics");
        inner.waiting.range(..*ticket).count()
    }

    /// The number of waiting requests.
    pub fn len(&self) -> usize {
        self.inner.lock().expect("no holder panics").waiting.len()
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Waits in line. Where the queue holds `most` already, its last request
    /// is shed if this one has a higher priority.
    ///
    /// # Errors
    /// [`QueueFull`] where no place could be made.
    pub fn join(&self, ticket: Ticket, most: usize) -> Result<Place<'_>, QueueFull> {
        let mut inner = self.inner.lock().expect("no holder panics");
        if inner.waiting.len() >= most {
            let last = *inner.waiting.last_key_value().ok_or(QueueFull)?.0;
            if last.priority <= ticket.priority {
                return Err(QueueFull);
            }
            if let Some(sender) = inner.waiting.remove(&last) {
                let _ = sender.send(Wake::Shed);
            }
        }
        let (sender, receiver) = oneshot::channel();
        inner.waiting.insert(ticket, sender);
        Ok(Place { queue: self, ticket, receiver })
    }

    /// Tells the first in line to try; returns whether somebody waited.
    pub fn wake(&self) -> bool {
        let mut inner = self.inner.lock().expect("no holder panics");
        while let Some((_, sender)) = inner.waiting.pop_first() {
            if sender.send(Wake::Try).is_ok() {
                return true;
            }
        }
        false
    }
}

/// A place in line; dropped, it is given up.
pub struct Place<'a> {
    queue: &'a Queue,
    ticket: Ticket,
    receiver: oneshot::Receiver<Wake>,
}

impl Place<'_> {
    /// Waits to be told.
    pub async fn told(&mut self) -> Wake {
        (&mut self.receiver).await.unwrap_or(Wake::Shed)
    }
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        self.queue.inner.lock().expect("no holder panics").waiting.remove(&self.ticket);
        // A wake that came but was not acted on belongs to the next in line.
        if let Ok(Wake::Try) = self.receiver.try_recv() {
            self.queue.wake();
        }
    }
}

#[cfg(test)]
mod tests;
