//! Declarations: the operators' statement of the world, read, checked whole
//! and turned into arenas.

pub(crate) mod check;
mod error;
pub(crate) mod file;
pub(crate) mod policies;
pub(crate) mod raw;
#[cfg(test)]
mod tests;

pub use error::{DeclarationError, Place};

use crate::caller::{BlockTable, Caller};
use crate::hall::Hall;
use crate::key::{Arena, CallerKey, HallKey, PolicyKey, RegionKey, ServiceKey, TargetKey};
use crate::label::Interner;
use crate::link::Links;
use crate::policy::Policy;
use crate::region::Region;
use crate::service::Service;
use crate::target::Target;
use serde::{Deserialize, Serialize};
use std::path::Path;

/// One file of the operators' declarations.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq, Eq)]
pub struct Source {
    /// File name, for messages only.
    pub file: String,
    /// TOML text.
    pub text: String,
}

/// All files of one declaration; they are read as if they were one.
#[derive(Clone, Debug, Default, Serialize, Deserialize, PartialEq, Eq)]
pub struct Sources {
    /// The files, in name order.
    pub files: Vec<Source>,
}

impl Sources {
    /// One file's worth of text.
    pub fn single(file: &str, text: &str) -> Self {
        Self { files: vec![Source { file: file.to_owned(), text: text.to_owned() }] }
    }

    /// Reads a file, or every `.toml` file of a folder in name order.
    ///
    /// # Errors
    /// Any error of the file system.
    pub fn read(path: &Path) -> std::io::Result<Self> {
        if !path.is_dir() {
            let text = std::fs::read_to_string(path)?;
            return Ok(Self::single(&path.display().to_string(), &text));
        }
        let mut paths = Vec::new();
        for entry in std::fs::read_dir(path)? {
            let path = entry?.path();
            if path.extension().is_some_and(|e| e == "toml") {
                paths.push(path);
            }
        }
        paths.sort();
        let mut files = Vec::new();
        for path in paths {
            let text = std::fs::read_to_string(&path)?;
            let file = path.file_name().unwrap_or_default().to_string_lossy().into_owned();
            files.push(Source { file, text });
        }
        Ok(Self { files })
    }
}

/// A checked declaration. Made by `TryFrom<&Sources>`, whole or not at all.
#[derive(Clone, Debug)]
pub struct Declaration {
    /// Label names and values.
    pub interner: Interner,
    /// All regions.
    pub regions: Arena<RegionKey, Region>,
    /// All halls.
    pub halls: Arena<HallKey, Hall>,
    /// Delays and rates between halls.
    pub links: Links,
    /// All services.
    pub services: Arena<ServiceKey, Service>,
    /// All targets, those of one service and hall side by side.
    pub targets: Arena<TargetKey, Target>,
    /// All caller groups.
    pub callers: Arena<CallerKey, Caller>,
    /// Caller groups by address.
    pub blocks: BlockTable,
    /// All policies, in name order.
    pub policies: Arena<PolicyKey, Policy>,
}

impl Declaration {
    /// The hall of this name.
    pub fn hall(&self, name: &str) -> Option<HallKey> {
        self.halls.find(|h| h.name == name)
    }

    /// The service of this name.
    pub fn service(&self, name: &str) -> Option<ServiceKey> {
        self.services.find(|s| s.name == name)
    }
}

impl TryFrom<&Sources> for Declaration {
    type Error = DeclarationError;

    fn try_from(sources: &Sources) -> Result<Self, DeclarationError> {
        check::check(sources)
    }
}
