//! The platform's list of instances, as last read. It lags behind reality.

use crate::key_value::{ListState, Listed};
use std::net::SocketAddr;
use std::sync::Mutex;

/// The list as last read.
#[derive(Debug, Default)]
pub struct List {
    lines: Mutex<Vec<Listed>>,
}

impl List {
    /// Takes a list that was read.
    pub fn take(&self, lines: Vec<Listed>) {
        *self.lines.lock().expect("no holder panics") = lines;
    }

    /// Peer addresses of all live instances on it.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        let lines = self.lines.lock().expect("no holder panics");
        lines.iter().filter(|l| l.state == ListState::Live).map(|l| l.peer).collect()
    }

    /// Where the instance of this name listens for peers.
    pub fn peer(&self, name: &str) -> Option<SocketAddr> {
        let lines = self.lines.lock().expect("no holder panics");
        lines.iter().find(|l| l.name == name).map(|l| l.peer)
    }

    /// Names on the list.
    pub fn names(&self) -> Vec<String> {
        self.lines.lock().expect("no holder panics").iter().map(|l| l.name.clone()).collect()
    }

    /// Whether the list says that this instance is about to stop.
    pub fn is_leaving(&self, name: &str) -> bool {
        let lines = self.lines.lock().expect("no holder panics");
        lines.iter().any(|l| l.name == name && l.state == ListState::Leaving)
    }
}
