//! Log lines of changes of the routing state.
//!
//! Owns the names of these events and their fields, and which refused registrations have their
//! line. Relies on [`crate::decision::registry::routing`] to report each change once.

use crate::decision::registry::change::StateChange;
use crate::model::record::{Fallback, RecordError};
use crate::telemetry::log::Once;
use std::cell::RefCell;

/// Most targets and members of an instance's first view that get a line each; more are counted
/// in one line. A start of one of 295 instances otherwise writes 1,372 lines, beyond the log's
/// rate, and displaces those that follow: none of 295 logged its configuration.
const MAX_START_LINES: usize = 64;

/// Writes the lines.
#[derive(Debug, Default)]
pub struct ChangeLog {
    /// Refused registrations, which their writers may repeat with each heartbeat.
    refused: RefCell<Once<RecordError>>,
}

impl ChangeLog {
    /// Logs what an instance's first view holds: targets and members in one line where they are
    /// many, all else as [`Self::write`] does.
    pub fn write_first_view(&self, state_changes: &[StateChange], revision: u64, source: &'static str) {
        let targets = state_changes.iter().filter(|change| matches!(change, StateChange::Target { .. })).count();
        let members = state_changes.iter().filter(|change| matches!(change, StateChange::Member { .. })).count();
        let is_summary = targets + members > MAX_START_LINES;
        if is_summary {
            tracing::info!(event = "view_taken", targets, members, revision, source);
        }
        for state_change in state_changes {
            let is_counted = matches!(state_change, StateChange::Target { .. } | StateChange::Member { .. });
            if !(is_summary && is_counted) {
                self.write(state_change, revision, source);
            }
        }
    }

    /// Logs a change: `revision` is that of the view, `source` names what reported it.
    pub fn write(&self, state_change: &StateChange, revision: u64, source: &'static str) {
        match state_change {
            StateChange::Config(version) => tracing::info!(event = "config_in_force", version, revision, source),
            StateChange::Policies { revision: policies, by } => {
                tracing::info!(event = "policies_in_force", policies, by, revision, source)
            }
            StateChange::Evacuation { hall, on } => tracing::info!(event = "evacuation", hall, on, revision, source),
            StateChange::Target { id, start, state } => {
                let started_ms = start.map(|start| start.0);
                tracing::info!(event = "target", id = &**id, state = state.as_str(), started_ms, revision, source)
            }
            StateChange::Member { name, present } => tracing::info!(event = "member", name, present, revision, source),
            StateChange::Quarantine { fingerprint, on } => {
                tracing::warn!(event = "quarantine", %fingerprint, on, revision, source)
            }
            StateChange::StrikesExpired(fingerprint) => {
                tracing::info!(event = "strikes_lapsed", %fingerprint, revision, source)
            }
            StateChange::Refused(error) => {
                if self.is_due(error) {
                    tracing::error!(event = "value_refused", %error, revision, source);
                }
            }
        }
    }

    /// Whether the refusal gets a line: each of a configuration or policies, and each problem
    /// of a registration once.
    fn is_due(&self, error: &RecordError) -> bool {
        error.fallback == Fallback::LastGood || self.refused.borrow_mut().is_new(error.clone())
    }
}
