//! The responses that are unfinished when a planned stop ends the process, for the log.
//!
//! Owns nothing. Relies on [`Connections`] for where the bytes of each response are.

use crate::net::server::{Connections, UnfinishedResponse};

/// Maximum number of lines about single responses, so that the last lines of a process are few.
const MAX_LINES: usize = 16;

/// The unfinished responses of all connections.
#[derive(Debug, Default)]
pub struct UnfinishedResponses {
    /// Their number.
    pub count: u64,
    /// Number of those of which bytes are still in this process, so that its end cuts them.
    pub cut: u64,
    /// Bytes held in memory that no connection has taken.
    pub held: u64,
    /// Bytes in the buffers of connections.
    pub buffered: u64,
    /// Bytes in sockets that their callers have not acknowledged.
    pub in_socket: u64,
    /// The first responses, those that are cut before all others.
    first: Vec<UnfinishedResponse>,
}

impl UnfinishedResponses {
    /// Those of the open connections.
    pub fn of(connections: &Connections) -> Self {
        let mut all = Self::default();
        for output in connections.unfinished() {
            all.count += u64::from(output.unnamed());
            output.unfinished().into_iter().for_each(|response| all.add(response));
        }
        all
    }

    fn add(&mut self, response: UnfinishedResponse) {
        self.count += 1;
        self.cut += u64::from(response.has_unwritten_bytes());
        self.held += response.held;
        self.buffered += response.buffered;
        self.in_socket += response.in_socket;
        if self.first.len() < MAX_LINES {
            self.first.push(response);
        } else if response.has_unwritten_bytes()
            && let Some(other) = self.first.iter_mut().find(|other| !other.has_unwritten_bytes())
        {
            *other = response;
        }
    }

    /// Logs a line for each of the first ones.
    pub fn log(&self) {
        for response in &self.first {
            let UnfinishedResponse { held, buffered, in_socket, .. } = *response;
            let (id, cut) = (response.id_text(), response.has_unwritten_bytes());
            tracing::info!(event = "answer_unfinished", id, cut, held, buffered, in_socket);
        }
    }
}
