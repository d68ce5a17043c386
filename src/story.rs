//! What a request went through, for its account.

use crate::decision::account::{Account, Kind, wall_ms};
use crate::decision::{Alternative, Choice, NoPlace, PolicySet};
use crate::job::Job;
use crate::key::{HallKey, PolicyKey, TargetKey};
use std::time::Instant;

/// What a request went through, for its account.
#[derive(Default)]
pub struct Story {
    natural: Option<HallKey>,
    hall: Option<HallKey>,
    target: Option<TargetKey>,
    weight: Option<PolicyKey>,
    acted: PolicySet,
    alternatives: Vec<Alternative>,
    linked: Option<String>,
    tries: u32,
}

impl Story {
    /// Notes a choice and the try that follows it.
    pub fn chose(&mut self, choice: Choice) {
        self.natural = Some(choice.natural);
        self.hall = Some(choice.hall);
        self.weight = choice.weight;
        self.acted.0 |= choice.acted.0;
        self.alternatives = choice.alternatives;
        self.tries += 1;
    }

    /// Notes that no hall was left.
    pub fn found_none(&mut self, none: NoPlace) {
        self.hall = None;
        self.acted.0 |= none.acted.0;
        self.alternatives = none.alternatives;
    }

    /// Notes the target that answered.
    pub fn answered_by(&mut self, target: TargetKey) {
        self.target = Some(target);
    }

    /// The decision of another instance that this one led to, or came from.
    pub fn link(&mut self, decision: Option<String>) {
        self.linked = decision;
    }

    /// The hall of a dispatch that was decided elsewhere.
    pub fn at(&mut self, hall: Option<HallKey>) {
        self.hall = hall;
        self.tries = 1;
    }

    /// The hall that was chosen last.
    pub fn hall(&self) -> Option<HallKey> {
        self.hall
    }

    /// The account of a finished request.
    pub fn account(self, kind: Kind, job: &Job, result: String, started: Instant) -> Account {
        Account {
            seq: job.seq,
            kind,
            view: job.view.clone(),
            at_ms: wall_ms(),
            service: job.ask.service,
            caller: job.caller,
            labels: job.ask.labels.clone(),
            natural: self.natural,
            hall: self.hall,
            target: self.target,
            weight: self.weight,
            acted: self.acted,
            alternatives: self.alternatives,
            linked: self.linked,
            result,
            tries: self.tries,
            took_us: started.elapsed().as_micros() as u64,
        }
    }
}
