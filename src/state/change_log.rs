//! Log lines of changes of the routing state.
//!
//! Owns the names of these events and their fields, and the set of refused registrations that are
//! already logged. Relies on [`crate::decision::registry::routing`] to report each change once.

use crate::decision::registry::change::StateChange;
use crate::model::record::{Fallback, RecordError};
use crate::telemetry::log::Once;
use std::cell::RefCell;

/// Maximum number of targets and members of the initial view that are logged one by one; more are
/// logged as counts in one line. Without this limit, each of 295 instances wrote 1,372 lines at its
/// start. That is beyond the log's rate and displaced later lines: none of the 295 instances logged
/// its configuration.
const MAX_START_LINES: usize = 64;

/// Writes one log line per change of the routing state.
#[derive(Debug, Default)]
pub struct ChangeLog {
    /// Refused registrations that are already logged: their writers may repeat them with each
    /// heartbeat.
    refused: RefCell<Once<RecordError>>,
}

impl ChangeLog {
    /// Logs the contents of an instance's initial view: targets and members in one line if there are
    /// more than `MAX_START_LINES`, everything else as [`Self::write`] does.
    pub fn write_initial_view(&self, state_changes: &[StateChange], revision: u64, source: &'static str) {
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

    /// Logs a change: `revision` is that of the view, `source` names where the change came from.
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
                if self.should_log(error) {
                    tracing::error!(event = "value_refused", %error, revision, source);
                }
            }
        }
    }

    /// Whether to log a refused value: always for a configuration or policies, and once for each
    /// distinct error of a registration.
    fn should_log(&self, error: &RecordError) -> bool {
        error.fallback == Fallback::LastGood || self.refused.borrow_mut().is_new(error.clone())
    }
}
