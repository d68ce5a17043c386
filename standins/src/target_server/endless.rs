//! Bytes that come without end: a target sends them until the other side closes the connection, or some
//! seconds are over.
//!
//! Owns the bytes and their pace.

use super::message::Wire;
use std::time::{Duration, Instant};
use tokio::task::yield_now;

/// Size of what is written at a time where bytes come as fast as they are taken.
const BLOCK: usize = 64 * 1024;
/// Time after which they end in any case.
const LONGEST: Duration = Duration::from_secs(4);

/// How fast bytes without end come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pace {
    /// As fast as they are taken.
    Fast,
    /// Each part by itself, so that the other side mostly reads it by itself.
    Parts,
}

/// Bytes without end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Endless {
    /// What comes first, `{id}` in it being the request's identity.
    pub begin: &'static str,
    /// What is repeated.
    pub part: &'static str,
    /// How fast.
    pub pace: Pace,
}

/// How bytes without end ended.
#[derive(Clone, Debug)]
pub struct EndlessEnd {
    /// The request's identity.
    pub id: String,
    /// Bytes that the target's system took.
    pub sent: u64,
    /// How long they came.
    pub lasted: Duration,
    /// Whether the other side closed the connection.
    pub was_closed: bool,
}

impl Endless {
    /// Writes them to the end.
    pub async fn write(self, wire: &mut Wire, id: &str) -> EndlessEnd {
        let began = Instant::now();
        let begin = self.begin.replace("{id}", id);
        let repeated = match self.pace {
            Pace::Fast => self.part.repeat(BLOCK.div_ceil(self.part.len())),
            Pace::Parts => self.part.to_owned(),
        };
        let mut sent = 0;
        let mut next = begin.as_str();
        while began.elapsed() < LONGEST {
            if !wire.write_within(next.as_bytes(), LONGEST.saturating_sub(began.elapsed())).await {
                break;
            }
            sent += next.len() as u64;
            next = &repeated;
            yield_now().await;
        }
        let lasted = began.elapsed();
        EndlessEnd { id: id.to_owned(), sent, lasted, was_closed: lasted < LONGEST }
    }
}
