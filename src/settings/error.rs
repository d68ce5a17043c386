//! Why settings cannot be used, with file, field and remedy.

use std::path::PathBuf;
use thiserror::Error;

/// Why a settings file cannot be used.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("{path}: {source}; name a readable settings file")]
    Unreadable {
        /// The settings file.
        path: PathBuf,
        /// The cause.
        source: std::io::Error,
    },
    /// The file is not TOML of the right form.
    #[error("{path}: {problem}; correct the field, docs/SETTINGS.md lists all")]
    Form {
        /// The settings file.
        path: PathBuf,
        /// What is wrong with its form.
        problem: String,
    },
    /// A field's value cannot be used.
    #[error("{path}: {source}")]
    Value {
        /// The settings file.
        path: PathBuf,
        /// The cause.
        source: ValueError,
    },
}

/// Why the value of a field cannot be used.
#[derive(Debug, Error)]
#[error("{field}: {problem}")]
pub struct ValueError {
    /// The field with its table, such as `bounds.stop_s`.
    pub field: &'static str,
    /// What is wrong with the value, and the remedy.
    pub problem: String,
}
