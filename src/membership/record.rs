//! The membership record of a hall, as it stands in the platform.

use crate::quota::{Part, deal, reserve};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// One run of one instance. A new run under an old name is another member.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, PartialOrd, Ord)]
pub struct Id {
    /// Instance name from its settings.
    pub name: String,
    /// Number drawn at each start, larger for later starts.
    pub incarnation: u64,
}

impl std::fmt::Display for Id {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}/{:x}", self.name, self.incarnation)
    }
}

/// Where an instance listens.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Addresses {
    /// For callers.
    pub caller: SocketAddr,
    /// For requests relayed by other instances.
    pub relay: SocketAddr,
    /// For control messages of other instances.
    pub peer: SocketAddr,
}

/// An instance that holds a share.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Which run of which instance.
    pub id: Id,
    /// Where it listens.
    pub addresses: Addresses,
}

/// A seat that an instance had in some epoch: its place and how many there were.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Seat {
    /// Position among the members.
    pub index: usize,
    /// Number of members.
    pub count: usize,
}

/// An instance that went silent. Its reserve stays out of use.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Withheld {
    /// Which run of which instance.
    pub id: Id,
    /// Every seat whose reserve it may believe it holds.
    pub seats: Vec<Seat>,
}

/// Who shares the hall's quotas in one epoch.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Division {
    /// Counts the changes, from 1.
    pub epoch: u64,
    /// Whether the change to this epoch took out a silent member.
    pub silent: bool,
    /// Active members in the order of their seats.
    pub members: Vec<Member>,
    /// Silent former members whose reserves are out of use.
    pub withheld: Vec<Withheld>,
}

impl Division {
    /// The seat of a member.
    pub fn seat(&self, id: &Id) -> Option<Seat> {
        let index = self.members.iter().position(|m| m.id == *id)?;
        Some(Seat { index, count: self.members.len() })
    }

    /// The part of `total` that a member holds; `offset` is the position of
    /// the divided thing, so that remainders do not all go to one member.
    pub fn part(&self, id: &Id, total: u32, offset: usize) -> Part {
        let Some(seat) = self.seat(id) else { return Part::default() };
        let kept: u32 = self.withheld.iter().map(|w| w.kept(total, offset)).sum();
        let full = deal(total.saturating_sub(kept), seat, offset);
        Part { reserve: reserve(full, seat, offset), full }
    }
}

impl Withheld {
    /// The most it may believe it holds of `total`.
    fn kept(&self, total: u32, offset: usize) -> u32 {
        self.seats.iter().map(|s| reserve(deal(total, *s, offset), *s, offset)).max().unwrap_or(0)
    }
}

/// The value of `membership/HALL`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The division in force.
    pub now: Division,
    /// Earlier divisions that some member may still act on, oldest first.
    pub past: Vec<Division>,
}

impl Record {
    /// The epoch in force.
    pub fn epoch(&self) -> u64 {
        self.now.epoch
    }

    /// The record with the next division in force, keeping what is not settled.
    pub fn succeed(&self, mut next: Division, settled: u64) -> Record {
        next.epoch = self.now.epoch + 1;
        let mut past = self.past.clone();
        if self.now.epoch > 0 {
            past.push(self.now.clone());
        }
        past.retain(|d| d.epoch >= settled);
        Record { now: next, past }
    }

    /// All divisions of this record, oldest first.
    pub fn divisions(&self) -> impl Iterator<Item = &Division> {
        self.past.iter().chain(std::iter::once(&self.now))
    }
}
