//! The ledger: what this instance may hold now, given the records it has
//! seen, the promises its peers made and the confirmations it got.
//!
//! Every method takes the time, in milliseconds of the local monotonic
//! clock, so that tests drive it without waiting.

use super::Part;
use crate::membership::{Division, Id, Member, Record, Seat, Withheld};
use std::collections::HashMap;

/// Shortest time between two heartbeats to one sibling, in milliseconds.
const SHORTEST_BEAT_MS: u64 = 1_000;
/// Time between heartbeats for each sibling, in milliseconds: all of a
/// member's heartbeats together are about three a second at most.
const BEAT_PER_SIBLING_MS: u64 = 320;
/// Heartbeats that may be lost before a lease lapses.
const BEATS_PER_LEASE: u64 = 3;

/// Time between two heartbeats to one sibling in a hall of `members`, in
/// milliseconds. Grows with the hall, so that a member's messages do not.
pub fn beat_period(members: usize) -> u64 {
    let siblings = members.saturating_sub(1) as u64;
    SHORTEST_BEAT_MS.max(BEAT_PER_SIBLING_MS * siblings)
}

/// The lease's times, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// How long a promise holds at the least, counted by its holder from the
    /// sending of the heartbeat it answers.
    pub lease: u64,
    /// What is waited beyond a lease before it counts as lapsed: allows for
    /// clocks that differ in rate by up to `margin / lease`.
    pub margin: u64,
    /// How long an instance has to be absent from the platform's list before
    /// the list is believed.
    pub absence: u64,
}

impl Default for Timing {
    fn default() -> Self {
        Self { lease: 3_000, margin: 500, absence: 10_000 }
    }
}

/// What a heartbeat says about its sender's ledger.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Beat {
    /// Newest epoch the sender has.
    pub epoch: u64,
    /// Newest epoch whose shares all its use fits.
    pub confirmed: u64,
}

/// The answer to a heartbeat.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Reply {
    /// The answerer's own state.
    pub beat: Beat,
    /// How long the answerer will not take over the sender's leased share,
    /// in milliseconds; 0 where the sender is no member in its record.
    pub promise: u64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Peer {
    /// Until when this peer's promise to us holds.
    promise: u64,
    /// Until when we promised this peer.
    promised: u64,
    /// Newest epoch it is known to have, and since when.
    epoch: u64,
    epoch_at: u64,
    /// Newest epoch it confirmed.
    confirmed: u64,
}

/// The settlement of an epoch that took out a silent member: requests that it
/// sent before may still run for as long as their timeout allows.
#[derive(Clone, Copy, Debug)]
struct Takeover {
    /// The settled epoch before.
    from: u64,
    /// When it settled.
    at: u64,
}

/// The longest time a request may hold a slot, in milliseconds; the settings
/// check refuses services with a longer timeout.
pub const MAX_HOLD_MS: u64 = 600_000;

/// What one instance knows about its hall's quotas.
#[derive(Debug)]
pub struct Ledger {
    me: Id,
    timing: Timing,
    record: Record,
    /// Divisions seen, oldest first, from the settled one on.
    seen: Vec<Division>,
    /// Newest epoch that every member is known to have confirmed.
    settled: u64,
    /// Settlements that took over what a silent member held.
    takeovers: Vec<Takeover>,
    /// The longest time a request may hold a slot, in milliseconds.
    longest: u64,
    /// Newest epoch whose shares all own use fits.
    confirmed: u64,
    /// Highest epoch heard of.
    heard: u64,
    /// Until when the platform itself confirmed the record, for a sole member.
    platform: u64,
    /// The other members.
    peers: HashMap<Id, Peer>,
    /// Since when members and silent former ones are missing from the list.
    absent: HashMap<Id, u64>,
}

impl Ledger {
    /// An empty ledger of an instance that is in no record.
    pub fn new(me: Id, timing: Timing) -> Self {
        Self {
            me,
            timing,
            record: Record::default(),
            seen: Vec::new(),
            settled: 0,
            takeovers: Vec::new(),
            longest: MAX_HOLD_MS,
            confirmed: 0,
            heard: 0,
            platform: 0,
            peers: HashMap::new(),
            absent: HashMap::new(),
        }
    }

    /// How long a promise holds in a hall of this size; the longest of all
    /// divisions that a member may still act on.
    fn lease(&self) -> u64 {
        let sizes = self.seen.iter().map(|d| d.members.len());
        let longest = sizes.map(beat_period).max().unwrap_or(0);
        self.timing.lease.max(BEATS_PER_LEASE * longest)
    }

    /// The newest record seen.
    pub fn record(&self) -> &Record {
        &self.record
    }

    /// The newest settled epoch.
    pub fn settled(&self) -> u64 {
        self.settled
    }

    /// Whether this run of this instance holds a seat.
    pub fn is_member(&self) -> bool {
        self.record.now.seat(&self.me).is_some()
    }

    /// Whether a newer record than ours exists somewhere.
    pub fn is_behind(&self) -> bool {
        self.heard > self.record.epoch()
    }

    /// Members other than this one.
    pub fn others(&self) -> Vec<Member> {
        self.record.now.members.iter().filter(|m| m.id != self.me).cloned().collect()
    }

    /// What our heartbeats say.
    pub fn beat(&self) -> Beat {
        Beat { epoch: self.record.epoch(), confirmed: self.confirmed }
    }

    /// Takes a record from the platform or a peer; an older one is ignored.
    /// Returns whether it was newer.
    pub fn adopt(&mut self, record: Record, now: u64) -> bool {
        if record.epoch() <= self.record.epoch() {
            return false;
        }
        if !record.now.members.iter().any(|m| m.id == self.me) {
            self.leave();
        }
        let joined = self.record.now.seat(&self.me).is_none();
        for division in record.divisions() {
            let known = self.seen.last().map_or(0, |d| d.epoch);
            if division.epoch > known {
                self.seen.push(division.clone());
            }
        }
        if joined {
            // A joiner had no share before this epoch: a division without it
            // keeps its own share at nothing until the others confirm.
            self.settled = record.epoch().saturating_sub(1);
            self.confirmed = record.epoch();
            if record.divisions().any(|d| d.silent) {
                // How long ago the silent member was taken out is not known
                // here, so its last requests are waited out from now.
                self.takeovers.push(Takeover { from: 0, at: now });
            }
        }
        self.record = record;
        self.heard = self.heard.max(self.record.epoch());
        for member in self.others() {
            let fresh = now + self.lease();
            let peer = self.peers.entry(member.id).or_insert(Peer { promised: fresh, ..Peer::default() });
            if joined {
                peer.promised = peer.promised.max(fresh);
            }
        }
        let members = &self.record.now.members;
        self.peers.retain(|id, _| members.iter().any(|m| m.id == *id));
        self.settle(now);
        true
    }

    fn leave(&mut self) {
        self.seen.clear();
        self.settled = 0;
        self.confirmed = 0;
        self.platform = 0;
        self.takeovers.clear();
    }

    /// Notes that the platform showed our record at a read sent at `sent`.
    pub fn confirm_platform(&mut self, epoch: u64, sent: u64) {
        self.heard = self.heard.max(epoch);
        if epoch == self.record.epoch() {
            self.platform = self.platform.max(sent + self.timing.lease);
        }
    }

    /// Answers a heartbeat from `from`.
    pub fn receive(&mut self, from: &Id, beat: Beat, now: u64) -> Reply {
        self.note(from, beat, now);
        let mut promise = 0;
        let lease = self.lease();
        if let Some(peer) = self.peers.get_mut(from)
            && self.record.now.seat(&self.me).is_some()
        {
            promise = lease;
            peer.promised = now + promise;
        }
        Reply { beat: self.beat(), promise }
    }

    /// Takes the answer to our heartbeat that was sent at `sent`.
    pub fn answered(&mut self, from: &Id, sent: u64, reply: Reply, now: u64) {
        self.note(from, reply.beat, now);
        if let Some(peer) = self.peers.get_mut(from)
            && reply.promise > 0
        {
            peer.promise = peer.promise.max(sent + reply.promise);
        }
    }

    fn note(&mut self, from: &Id, beat: Beat, now: u64) {
        self.prune(now);
        self.heard = self.heard.max(beat.epoch);
        let Some(peer) = self.peers.get_mut(from) else { return };
        if beat.epoch > peer.epoch {
            peer.epoch = beat.epoch;
            peer.epoch_at = now;
        }
        peer.confirmed = peer.confirmed.max(beat.confirmed);
        self.settle(now);
    }

    /// Until when this instance may use its leased share, in local time; 0
    /// where it may not. Checked at each dispatch.
    pub fn lease_until(&self) -> u64 {
        if !self.is_member() || self.is_behind() {
            return 0;
        }
        let others = self.record.now.members.iter().filter(|m| m.id != self.me);
        let promises = others.map(|m| self.peers.get(&m.id).map_or(0, |p| p.promise));
        promises.min().unwrap_or(self.platform)
    }

    /// This instance's part of `total`, the smallest over every division that
    /// some member may still act on. `hold` is how long a request may stay on
    /// a slot, in milliseconds: what a silent member gave up is used only
    /// after its last requests have run out.
    pub fn part(&self, total: u32, offset: usize, hold: u64, now: u64) -> Part {
        if !self.is_member() {
            return Part::default();
        }
        let running = self.takeovers.iter().filter(|t| now < t.at + hold);
        let settled = running.map(|t| t.from).min().unwrap_or(self.settled);
        let divisions = self.seen.iter().filter(|d| d.epoch >= settled);
        let parts = divisions.map(|d| d.part(&self.me, total, offset));
        if self.settled < self.seen.first().map_or(0, |d| d.epoch) {
            return Part::default();
        }
        parts.reduce(Part::min).unwrap_or_default()
    }

    /// Says that all use fits the shares of the newest epoch.
    pub fn confirm(&mut self, now: u64) {
        if self.is_member() {
            self.confirmed = self.record.epoch();
            self.settle(now);
        }
    }

    /// The newest epoch confirmed.
    pub fn confirmed(&self) -> u64 {
        self.confirmed
    }

    /// Moves the settled epoch up to the oldest that any member confirmed.
    fn settle(&mut self, now: u64) {
        if !self.is_member() {
            return;
        }
        let others = self.record.now.members.iter().filter(|m| m.id != self.me);
        let oldest = others.map(|m| self.peers.get(&m.id).map_or(0, |p| p.confirmed)).min();
        let reached = oldest.unwrap_or(u64::MAX).min(self.confirmed);
        if reached <= self.settled {
            return;
        }
        // Also a silent removal that is newer than what is reached: without
        // the silent member's seat the oldest confirmation moves up at once,
        // while its last requests may still run.
        let silent = self.seen.iter().any(|d| d.silent && d.epoch > self.settled);
        if silent {
            self.takeovers.push(Takeover { from: self.settled, at: now });
        }
        self.settled = reached;
        self.prune(now);
    }

    /// Forgets divisions that nobody can act on any more.
    fn prune(&mut self, now: u64) {
        let longest = self.longest;
        self.takeovers.retain(|t| now < t.at + longest);
        let keep = self.keep();
        self.seen.retain(|d| d.epoch >= keep);
    }

    /// The oldest epoch that someone may still act on: records keep the
    /// divisions from there on.
    fn keep(&self) -> u64 {
        let held = self.takeovers.iter().map(|t| t.from).min();
        if self.is_member() { held.unwrap_or(u64::MAX).min(self.settled) } else { 0 }
    }

    /// Sets the longest time a request may hold a slot, in milliseconds.
    pub fn set_longest(&mut self, longest: u64) {
        self.longest = longest.min(MAX_HOLD_MS);
    }

    /// Notes which instance names the platform's list shows.
    pub fn note_list(&mut self, listed: &[String], now: u64) {
        let mut absent = HashMap::new();
        let members = self.record.now.members.iter().map(|m| &m.id);
        let withheld = self.record.now.withheld.iter().map(|w| &w.id);
        for id in members.chain(withheld) {
            if !listed.contains(&id.name) {
                let since = self.absent.get(id).copied().unwrap_or(now);
                absent.insert(id.clone(), since);
            }
        }
        self.absent = absent;
        self.prune(now);
    }

    /// The record that takes this instance in, from the record in force.
    pub fn joined(&self, base: &Record, me: Member) -> Record {
        let mut next = base.now.clone();
        next.silent = false;
        next.members.push(me);
        base.succeed(next, self.keep())
    }

    /// The record without this instance, which has nothing in flight.
    pub fn left(&self) -> Record {
        let mut next = self.record.now.clone();
        next.silent = false;
        next.members.retain(|m| m.id != self.me);
        self.record.succeed(next, self.keep())
    }

    /// The record without a withheld reserve of an earlier run of this
    /// process, which it knows to be over; or one an operator removes.
    pub fn released(&self, base: &Record, id: &Id) -> Option<Record> {
        let mut next = base.now.clone();
        next.silent = false;
        let before = next.withheld.len();
        next.withheld.retain(|w| w.id != *id);
        (next.withheld.len() < before).then(|| base.succeed(next, self.keep()))
    }

    /// The change of the record that is due, if any: a silent member goes
    /// out, or the reserve of one that the platform's list no longer shows is
    /// taken back.
    pub fn due(&self, now: u64) -> Option<Record> {
        if !self.is_member() || self.is_behind() || self.confirmed < self.record.epoch() {
            return None;
        }
        let silent = self.others().into_iter().map(|m| m.id).find(|id| self.is_lapsed(id, now));
        if let Some(id) = silent {
            return Some(self.without(&id));
        }
        let gone = self.record.now.withheld.iter().find(|w| self.is_gone(&w.id, now))?;
        self.released(&self.record, &gone.id)
    }

    /// Whether the leased share of `id` has surely lapsed: our own promise
    /// ran out, and every other member has known our epoch for a whole lease,
    /// so `id` has either heard of it or hears nobody.
    fn is_lapsed(&self, id: &Id, now: u64) -> bool {
        let wait = self.lease() + self.timing.margin * self.lease() / self.timing.lease;
        let Some(peer) = self.peers.get(id) else { return false };
        let margin = self.timing.margin * self.lease() / self.timing.lease;
        if now < peer.promised + margin {
            return false;
        }
        let epoch = self.record.epoch();
        let rest = self.record.now.members.iter().filter(|m| m.id != self.me && m.id != *id);
        rest.map(|m| self.peers.get(&m.id).copied().unwrap_or_default())
            .all(|p| p.epoch >= epoch && now >= p.epoch_at + wait)
    }

    fn is_gone(&self, id: &Id, now: u64) -> bool {
        self.absent.get(id).is_some_and(|since| now >= since + self.timing.absence)
    }

    fn without(&self, id: &Id) -> Record {
        let mut next = self.record.now.clone();
        next.silent = true;
        next.members.retain(|m| m.id != *id);
        let seats: Vec<Seat> =
            self.seen.iter().filter(|d| d.epoch >= self.settled).filter_map(|d| d.seat(id)).collect();
        next.withheld.push(Withheld { id: id.clone(), seats });
        self.record.succeed(next, self.keep())
    }
}
