//! Typed messages and their form on the wire.

use super::peer_capnp::{beat, known, load, member, news, probe, step};
use crate::clock;
use crate::instance::Instance;
use crate::key::Key;
use crate::load::Facts;
use crate::membership::{Addresses, Id, Member};
use crate::quota;
use crate::roster::{Entry, HallNews, ServiceLoad, Step};
use capnp::Error;
use std::net::SocketAddr;
use std::sync::Arc;

/// The most entries of any list that is read from a peer.
const MAX_LIST: u32 = 10_000;

/// A heartbeat within a hall.
#[derive(Clone, Debug, PartialEq)]
pub struct Beat {
    /// The sender's ledger.
    pub ledger: quota::Beat,
    /// The sender's configuration revision.
    pub revision: u64,
    /// Whether it is about to stop.
    pub leaving: bool,
    /// Its uptime in milliseconds.
    pub uptime: u64,
    /// Its own quotas and use, by service.
    pub loads: Vec<ServiceLoad>,
    /// How far planned shifts have come.
    pub steps: Vec<Step>,
    /// What its probes found, by position among the hall's targets.
    pub probes: Vec<Probed>,
}

/// What a probe found.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Probed {
    /// Position of the target in the revision's declaration.
    pub target: u16,
    /// Whether it says that it is leaving.
    pub leaving: bool,
}

/// What an asker knows of a hall.
#[derive(Clone, Debug, PartialEq)]
pub struct Known {
    /// Hall name.
    pub hall: String,
    /// Version of its summary.
    pub version: u64,
    /// Version of its roster.
    pub roster: u64,
}

impl Beat {
    /// The heartbeat of an instance now.
    pub fn of(instance: &Instance) -> Self {
        let ledger = instance.ledger.lock().expect("no holder panics").beat();
        Self {
            ledger,
            revision: instance.config.revision(),
            leaving: instance.is_leaving(),
            uptime: clock::now_ms(),
            loads: instance.own_loads(),
            steps: instance.steps(),
            probes: instance.probes.found(),
        }
    }

    /// What answers to heartbeats say: no loads, steps or probes.
    pub fn bare(instance: &Instance, ledger: quota::Beat) -> Self {
        Self {
            ledger,
            revision: instance.config.revision(),
            leaving: instance.is_leaving(),
            uptime: clock::now_ms(),
            loads: Vec::new(),
            steps: Vec::new(),
            probes: Vec::new(),
        }
    }

    /// Writes it.
    pub fn write(&self, mut to: beat::Builder<'_>) {
        to.set_epoch(self.ledger.epoch);
        to.set_confirmed(self.ledger.confirmed);
        to.set_revision(self.revision);
        to.set_leaving(self.leaving);
        to.set_uptime(self.uptime);
        write_loads(&self.loads, to.reborrow().init_loads(self.loads.len() as u32));
        write_steps(&self.steps, to.reborrow().init_steps(self.steps.len() as u32));
        let mut probes = to.init_probes(self.probes.len() as u32);
        for (i, found) in self.probes.iter().enumerate() {
            let mut probe: probe::Builder = probes.reborrow().get(i as u32);
            probe.set_target(found.target);
            probe.set_leaving(found.leaving);
        }
    }

    /// Reads it.
    ///
    /// # Errors
    /// Any fault of the message.
    pub fn read(from: beat::Reader<'_>) -> Result<Self, Error> {
        let mut probes = Vec::new();
        for probe in from.get_probes()?.iter().take(MAX_LIST as usize) {
            probes.push(Probed { target: probe.get_target(), leaving: probe.get_leaving() });
        }
        Ok(Self {
            ledger: quota::Beat { epoch: from.get_epoch(), confirmed: from.get_confirmed() },
            revision: from.get_revision(),
            leaving: from.get_leaving(),
            uptime: from.get_uptime(),
            loads: read_loads(from.get_loads()?),
            steps: read_steps(from.get_steps()?),
            probes,
        })
    }
}

fn write_loads(loads: &[ServiceLoad], mut to: capnp::struct_list::Builder<'_, load::Owned>) {
    for (i, item) in loads.iter().enumerate() {
        let mut load: load::Builder = to.reborrow().get(i as u32);
        load.set_service(item.service);
        load.set_slots(item.facts.slots);
        load.set_flight(item.facts.flight);
        load.set_wait_us(u32::try_from(item.facts.wait_us).unwrap_or(u32::MAX));
        load.set_service_us(u32::try_from(item.facts.service_us).unwrap_or(u32::MAX));
    }
}

fn read_loads(from: capnp::struct_list::Reader<'_, load::Owned>) -> Vec<ServiceLoad> {
    let mut loads = Vec::new();
    for load in from.iter().take(MAX_LIST as usize) {
        let facts = Facts {
            slots: load.get_slots(),
            flight: load.get_flight(),
            wait_us: load.get_wait_us().into(),
            service_us: load.get_service_us().into(),
            age_ms: Some(0),
        };
        loads.push(ServiceLoad { service: load.get_service(), facts });
    }
    loads
}

fn write_steps(steps: &[Step], mut to: capnp::struct_list::Builder<'_, step::Owned>) {
    for (i, item) in steps.iter().enumerate() {
        let mut step: step::Builder = to.reborrow().get(i as u32);
        step.set_policy(item.policy);
        step.set_fraction(item.fraction);
    }
}

fn read_steps(from: capnp::struct_list::Reader<'_, step::Owned>) -> Vec<Step> {
    let steps = from.iter().take(MAX_LIST as usize);
    steps.map(|s| Step { policy: s.get_policy(), fraction: s.get_fraction() }).collect()
}

/// Writes a member and its uptime.
pub fn write_member(item: &Member, uptime: u64, mut to: member::Builder<'_>) {
    let mut id = to.reborrow().init_id();
    id.set_name(&item.id.name);
    id.set_incarnation(item.id.incarnation);
    to.set_caller(item.addresses.caller.to_string());
    to.set_relay(item.addresses.relay.to_string());
    to.set_peer(item.addresses.peer.to_string());
    to.set_uptime(uptime);
}

/// Reads a member and its uptime in milliseconds.
///
/// # Errors
/// Any fault of the message.
pub fn read_member(from: member::Reader<'_>) -> Result<(Member, u64), Error> {
    let id = from.get_id()?;
    let id = Id { name: id.get_name()?.to_string()?, incarnation: id.get_incarnation() };
    let addresses = Addresses {
        caller: address(from.get_caller()?)?,
        relay: address(from.get_relay()?)?,
        peer: address(from.get_peer()?)?,
    };
    Ok((Member { id, addresses }, from.get_uptime()))
}

fn address(text: capnp::text::Reader<'_>) -> Result<SocketAddr, Error> {
    text.to_str()?.parse().map_err(|e| Error::failed(format!("bad address: {e}")))
}

/// Writes what is known of a hall.
pub fn write_known(item: &Known, mut to: known::Builder<'_>) {
    to.set_hall(&item.hall);
    to.set_version(item.version);
    to.set_roster(item.roster);
}

/// Reads what a peer knows of a hall.
///
/// # Errors
/// Any fault of the message.
pub fn read_known(from: known::Reader<'_>) -> Result<Known, Error> {
    Ok(Known { hall: from.get_hall()?.to_string()?, version: from.get_version(), roster: from.get_roster() })
}

/// Writes a hall's summary, with its members only if `members`.
pub fn write_news(item: &HallNews, members: bool, mut to: news::Builder<'_>) {
    to.set_hall(&item.hall);
    to.set_version(item.version);
    to.set_age(u32::try_from(item.age()).unwrap_or(u32::MAX));
    to.set_revision(item.revision);
    write_loads(&item.loads, to.reborrow().init_loads(item.loads.len() as u32));
    write_steps(&item.steps, to.reborrow().init_steps(item.steps.len() as u32));
    to.set_roster(item.roster);
    if members {
        let mut list = to.init_members(item.members.len() as u32);
        for (i, entry) in item.members.iter().enumerate() {
            write_member(&entry.member, entry.uptime(), list.reborrow().get(i as u32));
        }
    }
}

/// Reads a hall's summary; the flag tells whether it has members.
///
/// # Errors
/// Any fault of the message.
pub fn read_news(from: news::Reader<'_>) -> Result<(HallNews, bool), Error> {
    let now = clock::now_ms();
    let mut members = Vec::new();
    for item in from.get_members()?.iter().take(MAX_LIST as usize) {
        let (member, uptime) = read_member(item)?;
        members.push(Entry { member, born: now as i64 - uptime as i64 });
    }
    let listed = !members.is_empty();
    let news = HallNews {
        hall: from.get_hall()?.to_string()?,
        version: from.get_version(),
        at: now.saturating_sub(from.get_age().into()),
        revision: from.get_revision(),
        loads: read_loads(from.get_loads()?),
        steps: read_steps(from.get_steps()?),
        roster: from.get_roster(),
        members: Arc::new(members),
    };
    Ok((news, listed))
}

impl Instance {
    /// How far planned shifts have come, in this instance's revision.
    pub fn steps(&self) -> Vec<Step> {
        let Some(view) = self.view.load_full() else { return Vec::new() };
        let mut steps = Vec::new();
        for (key, policy) in view.world.policies.iter() {
            if let crate::policy::Action::Weight(weight) = policy.action
                && weight.pace.is_some()
            {
                let fraction = (view.fractions[key].get() * 1e6).round() as u32;
                steps.push(Step { policy: key.index() as u16, fraction });
            }
        }
        steps
    }

    /// Takes what a peer read of planned shifts; a shift only goes on.
    pub fn take_steps(&self, revision: u64, steps: &[Step]) {
        let Some(view) = self.view.load_full().filter(|v| v.revision == revision) else { return };
        for step in steps {
            let key = crate::key::PolicyKey(step.policy);
            if key.index() >= view.fractions.len() {
                continue;
            }
            let fraction = f64::from(step.fraction) / 1e6;
            if fraction > view.fractions[key].get() {
                view.fractions[key].set(fraction);
            }
        }
    }
}
