//! Accounts: what was decided and why, kept for a while and logged for good.

use super::{Alternative, PolicySet, Refusal};
use crate::key::{HallKey, PolicyKey, ServiceKey, TargetKey};
use crate::label::{LabelSet, RawLabels};
use crate::membership::Id;
use crate::metrics::Metrics;
use crate::view::View;
use serde::{Deserialize, Serialize};
use std::io::Write;
use std::net::IpAddr;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::sync::{Arc, Mutex};
use std::time::{SystemTime, UNIX_EPOCH};

/// Accounts held in memory.
const HELD: usize = 8_192;
/// Lines that may wait for the writer before more are dropped.
const LINES: usize = 16_384;

/// What kind of decision it was.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// Which entries a caller should use.
    Lookup,
    /// Where a caller's request goes.
    Request,
    /// Which target runs a request that another instance relayed here.
    Relayed,
}

/// One decision, with keys into the view it was made on.
#[derive(Debug)]
pub struct Account {
    /// Sequence number in this run of this instance.
    pub seq: u64,
    /// Kind of decision.
    pub kind: Kind,
    /// The view it was made on.
    pub view: Arc<View>,
    /// Wall-clock time in milliseconds since 1970, for readers only.
    pub at_ms: u64,
    /// The service.
    pub service: ServiceKey,
    /// The caller's address.
    pub caller: IpAddr,
    /// The request's labels.
    pub labels: LabelSet,
    /// The hall chosen by place alone.
    pub natural: Option<HallKey>,
    /// The hall chosen.
    pub hall: Option<HallKey>,
    /// The target chosen, where this instance chose one.
    pub target: Option<TargetKey>,
    /// The weight that decided, if one did.
    pub weight: Option<PolicyKey>,
    /// Policies that had a part, by position in the service's route.
    pub acted: PolicySet,
    /// Halls weighed.
    pub alternatives: Vec<Alternative>,
    /// The decision of the instance it was relayed to, or that relayed it.
    pub linked: Option<String>,
    /// What became of it: a status code or a kind of failure.
    pub result: String,
    /// Tries made.
    pub tries: u32,
    /// Time to the decision's result, in microseconds.
    pub took_us: u64,
}

/// A hall in a decision line.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
pub struct HallLine {
    /// Hall name.
    pub hall: String,
    /// Why it was not chosen.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub refusal: Option<String>,
    /// Score, less is better.
    pub score: u64,
    /// Age of the facts used, in milliseconds; none where there were no facts.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub age_ms: Option<u64>,
}

/// A policy in a decision line.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
pub struct PolicyLine {
    /// Policy name.
    pub policy: String,
    /// What it says.
    pub action: String,
}

/// One decision as logged, one JSON object a line.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
pub struct AccountLine {
    /// Instance, incarnation and sequence number.
    pub decision: String,
    /// Kind of decision.
    pub kind: Kind,
    /// Wall-clock time in milliseconds since 1970.
    pub at_ms: u64,
    /// Configuration revision.
    pub revision: u64,
    /// Service name.
    pub service: String,
    /// What halls were ranked by.
    pub objective: String,
    /// The caller's address.
    pub caller: IpAddr,
    /// The request's labels.
    pub labels: RawLabels,
    /// The hall by place alone.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub natural: Option<String>,
    /// The hall chosen.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub hall: Option<String>,
    /// The target chosen.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub target: Option<String>,
    /// The weight that decided.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub weight: Option<String>,
    /// Policies that had a part.
    pub policies: Vec<PolicyLine>,
    /// Halls weighed.
    pub halls: Vec<HallLine>,
    /// The decision at the other end of a relay.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub linked: Option<String>,
    /// Status code or kind of failure.
    pub result: String,
    /// Tries made.
    pub tries: u32,
    /// Time to the result, in microseconds.
    pub took_us: u64,
}

impl Account {
    /// The line for a reader.
    pub fn line(&self, id: &Id) -> AccountLine {
        let world = &self.view.world;
        let hall = |key: HallKey| world.halls[key].name.clone();
        let route = &self.view.routes[self.service];
        let acted = route.policies.iter().enumerate().filter(|(i, _)| self.acted.contains(*i));
        let policy = |key: PolicyKey| &world.policies[key];
        AccountLine {
            decision: decision_id(id, self.seq),
            kind: self.kind,
            at_ms: self.at_ms,
            revision: self.view.revision,
            service: world.services[self.service].name.clone(),
            objective: format!("{:?}", world.services[self.service].objective).to_lowercase(),
            caller: self.caller,
            labels: world.interner.describe(&self.labels),
            natural: self.natural.map(hall),
            hall: self.hall.map(hall),
            target: self.target.map(|t| world.targets[t].name.clone()),
            weight: self.weight.map(|w| policy(w).name.clone()),
            policies: acted
                .map(|(_, p)| PolicyLine {
                    policy: policy(p.key).name.clone(),
                    action: policy(p.key).action.word().to_owned(),
                })
                .collect(),
            halls: self.halls().iter().map(|a| hall_line(hall(a.hall), a)).collect(),
            linked: self.linked.clone(),
            result: self.result.clone(),
            tries: self.tries,
            took_us: self.took_us,
        }
    }
}

impl Account {
    /// All halls of the service: those weighed, and those that were not
    /// because none of them could have been better.
    fn halls(&self) -> Vec<Alternative> {
        let mut halls = self.alternatives.clone();
        for place in &self.view.routes[self.service].halls {
            // A dispatch that was decided elsewhere weighed none here.
            if !self.alternatives.is_empty() && halls.iter().all(|a| a.hall != place.hall) {
                let refusal = Some(Refusal::Farther);
                halls.push(Alternative { hall: place.hall, refusal, score: 0, age_ms: None });
            }
        }
        halls
    }
}

fn hall_line(hall: String, alternative: &Alternative) -> HallLine {
    HallLine {
        hall,
        refusal: alternative.refusal.map(refusal_word),
        score: alternative.score,
        age_ms: alternative.age_ms,
    }
}

fn refusal_word(refusal: Refusal) -> String {
    match serde_json::to_value(refusal) {
        Ok(serde_json::Value::String(word)) => word,
        _ => String::new(),
    }
}

/// The public form of a decision's id.
pub fn decision_id(id: &Id, seq: u64) -> String {
    format!("{}-{:x}-{:x}", id.name, id.incarnation, seq)
}

/// The parts of a decision's id; `None` where it is not one.
pub fn parse_decision(text: &str) -> Option<(Id, u64)> {
    let mut parts = text.rsplitn(3, '-');
    let seq = u64::from_str_radix(parts.next()?, 16).ok()?;
    let incarnation = u64::from_str_radix(parts.next()?, 16).ok()?;
    let name = parts.next()?.to_owned();
    Some((Id { name, incarnation }, seq))
}

/// Recent accounts of one instance, and the way to the log.
pub struct Accounts {
    id: Id,
    next: AtomicU64,
    held: Vec<Mutex<Option<Arc<Account>>>>,
    lines: Option<SyncSender<Arc<Account>>>,
    metrics: Arc<Metrics>,
}

impl Accounts {
    /// An empty store. With `log`, a thread writes lines to standard output.
    pub fn new(id: Id, log: bool, metrics: Arc<Metrics>) -> Self {
        let held = std::iter::repeat_with(|| Mutex::new(None)).take(HELD).collect();
        let lines = log.then(|| {
            let (sender, receiver) = sync_channel(LINES);
            let id = id.clone();
            std::thread::Builder::new()
                .name("decisions".into())
                .spawn(move || write_lines(&id, &receiver))
                .expect("a thread can be started at the start of the process");
            sender
        });
        Self { id, next: AtomicU64::new(1), held, lines, metrics }
    }

    /// Draws the next sequence number.
    pub fn draw(&self) -> u64 {
        self.next.fetch_add(1, Relaxed)
    }

    /// Holds and logs an account. Never waits: lines that the writer cannot
    /// keep up with are dropped and counted.
    pub fn record(&self, account: Account) {
        let account = Arc::new(account);
        let slot = account.seq as usize % HELD;
        if let Some(lines) = &self.lines
            && lines.try_send(account.clone()).is_err()
        {
            self.metrics.lines_dropped.inc();
        }
        *self.held[slot].lock().expect("no holder panics") = Some(account);
    }

    /// The account with this sequence number, while it is held.
    pub fn find(&self, seq: u64) -> Option<AccountLine> {
        let held = self.held[seq as usize % HELD].lock().expect("no holder panics");
        held.as_ref().filter(|a| a.seq == seq).map(|a| a.line(&self.id))
    }
}

/// Milliseconds since 1970, for readers of the log.
pub fn wall_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
}

fn write_lines(id: &Id, receiver: &Receiver<Arc<Account>>) {
    let mut out = std::io::BufWriter::with_capacity(1 << 16, std::io::stdout());
    while let Ok(account) = receiver.recv() {
        write_line(&mut out, id, &account);
        while let Ok(account) = receiver.try_recv() {
            write_line(&mut out, id, &account);
        }
        let _ = out.flush();
    }
}

fn write_line(out: &mut impl Write, id: &Id, account: &Account) {
    // Nothing reads our exit once standard output is closed, and decisions
    // must go on without it.
    let _ = serde_json::to_writer(&mut *out, &account.line(id));
    let _ = out.write_all(b"\n");
}
