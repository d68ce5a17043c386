//! The operators' files, as text: as the tool reads them, as they are sent to an
//! instance, and as they are stored.

use serde::{Deserialize, Serialize};
use std::path::Path;

/// One file of the operators' policies.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq, Eq)]
pub struct Source {
    /// File name, for messages only.
    pub file: String,
    /// TOML text.
    pub text: String,
}

/// All files of one document; they are read as if they were one.
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
        if path.is_dir() {
            return Self::read_folder(path);
        }
        let text = std::fs::read_to_string(path)?;
        Ok(Self::single(&path.display().to_string(), &text))
    }

    fn read_folder(path: &Path) -> std::io::Result<Self> {
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
            // Each path is that of an entry of the folder, so that it has a name.
            let file = path.file_name().unwrap_or_default().to_string_lossy().into_owned();
            files.push(Source { file, text });
        }
        Ok(Self { files })
    }
}
