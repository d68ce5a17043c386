//! One revision: its document, and taking it into force.

use crate::declaration::{Declaration, DeclarationError, Sources};
use crate::instance::Instance;
use crate::policy::Action;
use crate::view::View;
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::sync::Arc;
use thiserror::Error;

/// The value of `config/REVISION`.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq, Eq)]
pub struct Document {
    /// Tells this apply from any other, to resolve a lost reply.
    pub id: String,
    /// Who applied it, as given.
    pub by: String,
    /// Wall-clock time in milliseconds since 1970, for readers only.
    pub at_ms: u64,
    /// The declaration.
    pub sources: Sources,
    /// For each paced weight the revision in which it first stood, so that a
    /// shift goes on where it was when other things change, and begins anew
    /// when its policy was away.
    #[serde(default)]
    pub begun: BTreeMap<String, u64>,
}

impl Document {
    /// Works out [`Self::begun`] for a document that becomes `revision` after
    /// `before`.
    pub fn carry_shifts(&mut self, world: &Declaration, before: Option<&Document>, revision: u64) {
        for (_, policy) in world.policies.iter() {
            if let Action::Weight(weight) = policy.action
                && weight.pace.is_some()
            {
                let begun = before.and_then(|b| b.begun.get(&policy.name)).copied().unwrap_or(revision);
                self.begun.insert(policy.name.clone(), begun);
            }
        }
    }
}

/// Why a document could not be taken.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// The bytes are no document.
    #[error("revision {revision} is unreadable ({text}); remedy: apply a new revision")]
    Unreadable { revision: u64, text: String },
    /// The declaration does not pass the check of this version.
    #[error("revision {revision} is refused: {source}")]
    Refused { revision: u64, source: DeclarationError },
}

/// Where a revision on offer comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// The platform's store.
    KeyValue,
    /// Another instance.
    Peer,
    /// An operator's apply through this instance, or its settings.
    Operator,
}

/// A revision on offer.
#[derive(Clone, Debug)]
pub struct Offer {
    /// Where it comes from.
    pub origin: Origin,
    /// Its number.
    pub revision: u64,
    /// The document's bytes.
    pub value: Bytes,
}

impl Offer {
    /// Checks the revision and takes it into force if it is the highest seen.
    /// Meant to run off the request path. Returns whether it was taken.
    ///
    /// # Errors
    /// [`ConfigError`]; the instance keeps what it had.
    pub fn take(self, instance: &Instance) -> Result<bool, ConfigError> {
        let revision = self.revision;
        if revision <= instance.config.revision() {
            return Ok(false);
        }
        let document: Document = serde_json::from_slice(&self.value)
            .map_err(|e| ConfigError::Unreadable { revision, text: e.to_string() })?;
        let world =
            Declaration::try_from(&document.sources).map_err(|source| ConfigError::Refused { revision, source })?;
        let old = instance.view.load_full();
        let view = View::new(revision, Arc::new(world), &instance.settings.hall, &document.begun, old.as_deref());
        if !instance.config.raise(revision, self.value) {
            return Ok(false);
        }
        instance.view.store(Some(Arc::new(view)));
        instance.metrics.revision.set(revision as i64);
        instance.apply_quotas();
        tracing::info!(revision, by = document.by, id = document.id, "configuration in force");
        Ok(true)
    }
}
