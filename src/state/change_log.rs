//! Log lines of changes of the routing state.
//!
//! Owns the names of these events and their fields. Relies on [`crate::decision::routing`]
//! to report each change once.

use crate::decision::change::StateChange;

/// Logs a change: `revision` is that of the view, `source` names what reported it.
pub fn log_change(state_change: &StateChange, revision: u64, source: &'static str) {
    match state_change {
        StateChange::Config(version) => tracing::info!(event = "config_in_force", version, revision, source),
        StateChange::Policies { revision: policies, by } => {
            tracing::info!(event = "policies_in_force", policies, by, revision, source)
        }
        StateChange::Evacuation { hall, on } => tracing::info!(event = "evacuation", hall, on, revision, source),
        StateChange::Target { id, state } => {
            tracing::info!(event = "target", id = &**id, state = state.as_str(), revision, source)
        }
        StateChange::Member { name, present } => tracing::info!(event = "member", name, present, revision, source),
        StateChange::Refused(error) => tracing::error!(event = "value_refused", %error, revision, source),
    }
}
