//! The text of the operators' files, as the command-line tool reads it and sends it to an
//! instance, and as the store holds it.

use serde::{Deserialize, Serialize};
use std::path::Path;

/// One policy file.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq, Eq)]
pub struct Source {
    /// File name; only for display.
    pub file: String,
    /// Content of the file, in TOML.
    pub text: String,
}

/// All files of one document; they are read as if they were one file.
#[derive(Clone, Debug, Default, Serialize, Deserialize, PartialEq, Eq)]
pub struct Sources {
    /// The files, in the order of their names.
    pub files: Vec<Source>,
}

impl Sources {
    /// A document of one file.
    pub fn single(file: &str, text: &str) -> Self {
        Self { files: vec![Source { file: file.to_owned(), text: text.to_owned() }] }
    }

    /// Reads a file, or all `.toml` files of a directory in the order of their names.
    ///
    /// # Errors
    /// Any error from reading the directory or a file; also if a file is not UTF-8.
    pub fn read(path: &Path) -> std::io::Result<Self> {
        if path.is_dir() {
            return Self::read_directory(path);
        }
        let text = std::fs::read_to_string(path)?;
        Ok(Self::single(&path.display().to_string(), &text))
    }

    fn read_directory(path: &Path) -> std::io::Result<Self> {
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
            // The path is that of a directory entry, so it has a file name.
            let file = path.file_name().unwrap_or_default().to_string_lossy().into_owned();
            files.push(Source { file, text });
        }
        Ok(Self { files })
    }
}
