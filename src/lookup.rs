//! Look-ups: which entries a caller should use, answered from memory.

use crate::decision::account::{Account, Kind, decision_id, wall_ms};
use crate::decision::{Alternative, Ask, Choice, NoPlace, Summaries, Trial, choose};
use crate::failure::Failure;
use crate::instance::Instance;
use crate::job::{Asker, set_label};
use crate::key::HallKey;
use crate::roster::Entry;
use crate::runs::{RunKey, service_hash};
use crate::service::Repeat;
use crate::view::View;
use serde::Serialize;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Instant;

/// Path of look-ups on the caller front.
pub const PATH: &str = "/lookup";
/// Entries of the chosen hall that an answer names.
const OWN_ENTRIES: usize = 2;
/// Entries that an answer names in all.
const MOST_ENTRIES: usize = 3;
/// Prefix of query keys that set labels.
const LABEL_PREFIX: &str = "label.";

/// An entry that a caller may use.
#[derive(Clone, Debug, Serialize, PartialEq)]
pub struct EntryLine {
    /// Where it listens for callers.
    pub address: SocketAddr,
    /// Its hall.
    pub hall: String,
}

/// The answer to a look-up.
#[derive(Clone, Debug, Serialize, PartialEq)]
pub struct LookupAnswer {
    /// Entries, best first.
    pub entries: Vec<EntryLine>,
    /// How long the answer may be kept, in milliseconds.
    pub ttl_ms: u64,
    /// Key for one request of a service that may not be repeated.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub key: Option<String>,
    /// The decision's id.
    pub decision: String,
    /// Configuration revision.
    pub revision: u64,
}

/// A look-up as asked.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Question {
    /// Service name.
    pub service: String,
    /// The caller's address, where it is not the asker's.
    pub caller: Option<IpAddr>,
    /// Labels of the request to come.
    pub labels: Vec<(String, String)>,
}

impl TryFrom<&str> for Question {
    type Error = Failure;

    /// Reads the query of a look-up.
    fn try_from(query: &str) -> Result<Self, Failure> {
        let mut question = Question::default();
        for (name, value) in url::form_urlencoded::parse(query.as_bytes()) {
            match &*name {
                "service" => question.service = value.into_owned(),
                "caller" => {
                    let address = value.parse();
                    let address =
                        address.map_err(|_| Failure::Malformed(format!("caller={value} is no IP address")))?;
                    question.caller = Some(address);
                }
                other => match other.strip_prefix(LABEL_PREFIX) {
                    Some(label) => question.labels.push((label.to_owned(), value.into_owned())),
                    None => return Err(Failure::Malformed(format!("unknown query key {other:?}"))),
                },
            }
        }
        if question.service.is_empty() {
            return Err(Failure::Malformed("service=NAME is missing".into()));
        }
        Ok(question)
    }
}

/// Answers a look-up of a caller at `from`.
///
/// # Errors
/// [`Failure`] where there is no configuration, service or entry.
pub fn answer(instance: &Instance, question: &Question, from: IpAddr) -> Result<LookupAnswer, Failure> {
    let started = Instant::now();
    let view = instance.view.load_full().ok_or(Failure::NoConfiguration)?;
    let caller = question.caller.unwrap_or(from);
    let service = view.world.service(&question.service);
    let service =
        service.ok_or_else(|| Failure::UnknownService { host: String::new(), path: question.service.clone() })?;
    let mut ask = Asker { view: &view, caller }.bare(service);
    for (name, value) in &question.labels {
        set_label(&view, &mut ask, name, value);
    }
    let choice = choose(&view, &ask, &mut Trial::default(), &Summaries);
    let chosen = Chosen::from(choice);
    let entries = entries(instance, &view, &ask, &chosen);
    let seq = instance.accounts.draw();
    let key = match view.world.services[service].repeat {
        Repeat::Safe => None,
        Repeat::Never => entries.first().map(|home| key(instance, &view, &ask, home)),
    };
    let result = if entries.is_empty() { "no-entry" } else { "entries" };
    let hall = chosen.hall;
    instance.accounts.record(Account {
        seq,
        kind: Kind::Lookup,
        at_ms: wall_ms(),
        service,
        caller,
        natural: chosen.natural,
        hall,
        target: None,
        weight: chosen.weight,
        acted: chosen.acted,
        alternatives: chosen.alternatives,
        linked: None,
        result: result.to_owned(),
        tries: 1,
        took_us: started.elapsed().as_micros() as u64,
        labels: ask.labels,
        view: view.clone(),
    });
    if entries.is_empty() {
        return Err(Failure::NoPlace("no entry is known"));
    }
    let lines =
        entries.into_iter().map(|e| EntryLine { address: e.entry.member.addresses.caller, hall: e.hall }).collect();
    Ok(LookupAnswer {
        entries: lines,
        ttl_ms: instance.settings.lookup_ttl.as_millis() as u64,
        key,
        decision: decision_id(&instance.id, seq),
        revision: view.revision,
    })
}

/// What the decision said, whether or not it found a hall.
struct Chosen {
    hall: Option<HallKey>,
    natural: Option<HallKey>,
    weight: Option<crate::key::PolicyKey>,
    acted: crate::decision::PolicySet,
    alternatives: Vec<Alternative>,
}

impl From<Result<Choice, NoPlace>> for Chosen {
    fn from(result: Result<Choice, NoPlace>) -> Self {
        match result {
            Ok(choice) => Self {
                hall: Some(choice.hall),
                natural: Some(choice.natural),
                weight: choice.weight,
                acted: choice.acted,
                alternatives: choice.alternatives,
            },
            Err(none) => {
                Self { hall: None, natural: None, weight: None, acted: none.acted, alternatives: none.alternatives }
            }
        }
    }
}

struct Named {
    entry: Entry,
    hall: String,
}

/// Entries of the chosen hall first, then of the next best that is open to
/// the request, then of any hall: a drained hall's entries still serve.
fn entries(instance: &Instance, view: &View, ask: &Ask, chosen: &Chosen) -> Vec<Named> {
    let mut order: Vec<HallKey> = chosen.hall.into_iter().collect();
    let weighed = chosen.alternatives.iter().filter(|a| Some(a.hall) != chosen.hall);
    order.extend(weighed.map(|a| a.hall));
    let mut named: Vec<Named> = Vec::with_capacity(MOST_ENTRIES);
    for hall in order {
        let most = if named.is_empty() { OWN_ENTRIES } else { MOST_ENTRIES - named.len() };
        let name = &view.world.halls[hall].name;
        let members = instance.roster.members(name);
        let ready = ready(instance, &members);
        let start = if ready.is_empty() { 0 } else { ask.seed as usize % ready.len() };
        for i in 0..ready.len().min(most) {
            let entry = ready[(start + i) % ready.len()].clone();
            named.push(Named { entry, hall: name.clone() });
        }
        if named.len() >= MOST_ENTRIES {
            break;
        }
    }
    if named.is_empty() && !instance.is_leaving() {
        named.push(own_entry(instance));
    }
    named
}

/// Members that did not fail a moment ago; all of them where none is left.
fn ready<'a>(instance: &Instance, members: &'a Arc<Vec<Entry>>) -> Vec<&'a Entry> {
    let stays = |e: &&Entry| e.member.id != instance.id || !instance.is_leaving();
    let ready: Vec<&Entry> = members.iter().filter(stays).filter(|e| !instance.relays.is_avoided(e)).collect();
    if ready.is_empty() { members.iter().filter(stays).collect() } else { ready }
}

fn own_entry(instance: &Instance) -> Named {
    let entry = Entry { member: instance.member(), born: 0 };
    Named { entry, hall: instance.settings.hall.clone() }
}

/// A key whose home is the first entry, so that a caller who follows the
/// look-up needs no relay.
fn key(instance: &Instance, view: &View, ask: &Ask, home: &Named) -> String {
    let ttl = instance.settings.key_ttl.as_millis() as u64;
    let key = RunKey {
        home: home.entry.member.id.clone(),
        expires: home.entry.uptime() + ttl,
        service: service_hash(&view.world.services[ask.service].name),
        unique: rand::random(),
    };
    instance.sealer.seal(&key)
}
