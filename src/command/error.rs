//! What can go wrong in a command, with its exit code.

use crate::policy::PolicyError;
use std::path::PathBuf;
use thiserror::Error;

/// A failed command.
#[derive(Debug, Error)]
pub enum CommandError {
    /// The command line is no command with its arguments.
    #[error("{0}; remedy: see lockloft --help")]
    Usage(String),
    /// A file cannot be read.
    #[error("{path}: {source}; remedy: name a readable file or folder")]
    Unreadable { path: PathBuf, source: std::io::Error },
    /// The policies do not pass the check.
    #[error("{0}")]
    Policies(#[from] PolicyError),
    /// The instance refused.
    #[error("{0}")]
    Refused(String),
    /// Another change came first.
    #[error("{0}")]
    Conflict(String),
    /// No instance answers.
    #[error("no instance answers at {instance}; remedy: give the peers' address of one with --entry or LOCKLOFT_ENTRY")]
    Unreachable { instance: String },
    /// `--wait` ended before the policies were in force everywhere.
    #[error("{0}")]
    Timeout(String),
    /// An answer that has not the expected form. Also what cannot fail in a sound
    /// program: a value without a form in JSON, a runtime that does not start.
    #[error("the instance's answer cannot be understood ({0}); remedy: use the same version of both programs")]
    BadAnswer(String),
}

impl CommandError {
    /// The exit code, as `--help` lists it.
    pub fn code(&self) -> u8 {
        match self {
            CommandError::Usage(_) => 2,
            CommandError::Conflict(_) => 3,
            CommandError::Unreachable { .. } => 4,
            CommandError::Timeout(_) => 5,
            _ => 1,
        }
    }
}
