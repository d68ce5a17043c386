//! Cuts chosen instances off from whatever stands behind proxies, while all others pass.
//!
//! A proxy sees only addresses. Whose connection it has is asked of the system: the instance is the process
//! that holds the socket at the other end.
//!
//! Owns which process is cut off, and how; shared by all proxies before the targets of a site.

mod socket_inode;

use socket_inode::inode_of;
use std::collections::{HashMap, HashSet};
use std::sync::{Arc, Mutex, MutexGuard, Weak};
use tokio::net::TcpStream;
use tokio::sync::watch;

/// How an instance is cut off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cut {
    /// Nothing arrives on open connections and on new ones.
    Silent,
    /// Open connections and new ones are reset.
    Reset,
    /// Open connections work on, new ones are reset.
    RefuseNew,
}

/// A connection through one of the proxies.
#[derive(Debug)]
pub struct PartitionedFlow {
    /// Inode of the socket at the instance; `None` where it is not known any more.
    inode: Option<u64>,
    cut: watch::Sender<Option<Cut>>,
    owner: Mutex<Option<u32>>,
}

impl PartitionedFlow {
    /// How the connection is cut, and its changes.
    pub fn cut(&self) -> watch::Receiver<Option<Cut>> {
        self.cut.subscribe()
    }

    fn assign(&self, process: u32, cut: Cut) {
        *self.owner.lock().expect("no holder panics") = Some(process);
        self.cut.send_replace(Some(cut));
    }

    fn heal(&self, process: u32) {
        if *self.owner.lock().expect("no holder panics") == Some(process) {
            self.cut.send_replace(None);
        }
    }
}

#[derive(Debug, Default)]
struct State {
    cuts: HashMap<u32, Cut>,
    flows: Vec<Weak<PartitionedFlow>>,
}

/// Which instances are cut off; its clones are the same one.
#[derive(Clone, Debug, Default)]
pub struct Partition(Arc<Mutex<State>>);

impl Partition {
    /// Cuts a process off, in another way where it is cut off already.
    pub fn cut(&self, process: u32, cut: Cut) {
        let mut state = self.lock();
        state.cuts.insert(process, cut);
        let sockets = sockets_of(process);
        state.flows.retain(|flow| flow.strong_count() > 0);
        for flow in state.flows.iter().filter_map(Weak::upgrade) {
            if flow.inode.is_some_and(|inode| sockets.contains(&inode)) {
                flow.assign(process, cut);
            }
        }
    }

    /// Lets a process pass again.
    pub fn heal(&self, process: u32) {
        let mut state = self.lock();
        state.cuts.remove(&process);
        state.flows.iter().filter_map(Weak::upgrade).for_each(|flow| flow.heal(process));
    }

    /// Lets all pass again.
    pub fn heal_all(&self) {
        let processes: Vec<u32> = self.lock().cuts.keys().copied().collect();
        processes.into_iter().for_each(|process| self.heal(process));
    }

    /// Notes a connection that a proxy has accepted.
    pub fn enter(&self, near: &TcpStream) -> Arc<PartitionedFlow> {
        let inode = match (near.peer_addr(), near.local_addr()) {
            (Ok(there), Ok(here)) => inode_of(there, here),
            _ => None,
        };
        let flow = Arc::new(PartitionedFlow { inode, cut: watch::Sender::new(None), owner: Mutex::new(None) });
        let mut state = self.lock();
        for (process, cut) in &state.cuts {
            if inode.is_some_and(|inode| sockets_of(*process).contains(&inode)) {
                flow.assign(*process, *cut);
            }
        }
        state.flows.push(Arc::downgrade(&flow));
        flow
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().expect("no holder panics")
    }
}

/// Inodes of the sockets that a process holds; none where it has ended.
fn sockets_of(process: u32) -> HashSet<u64> {
    let Ok(entries) = std::fs::read_dir(format!("/proc/{process}/fd")) else { return HashSet::new() };
    let links = entries.flatten().filter_map(|entry| std::fs::read_link(entry.path()).ok());
    let inodes = links.filter_map(|link| {
        let name = link.to_str()?.strip_prefix("socket:[")?.strip_suffix(']')?.to_owned();
        name.parse().ok()
    });
    inodes.collect()
}
