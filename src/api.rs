//! What an instance and the operators' tool say to each other besides the
//! answers of [`crate::operator::api`]: JSON over HTTP.

use crate::policy::Sources;
use serde::{Deserialize, Serialize};

/// Body of `POST /policies`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ApplyRequest {
    /// Tells this apply from any other.
    pub id: String,
    /// Who applies it.
    pub by: String,
    /// The revision it is meant to follow; the one in force where absent.
    pub expect: Option<u64>,
    /// The operators' files.
    pub sources: Sources,
}

/// Answer to a refused operator's request.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Refused {
    /// What was wrong and what to do.
    pub message: String,
}
