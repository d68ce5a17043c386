//! The check of a policy document: all files are read as if they were one, and
//! the first fault ends it.
//!
//! Regions, halls, services and targets come and go with the platform, so that a
//! name in a selector may not exist yet and is no fault.

use super::document::PolicyDocument;
use super::error::PolicyError;
use super::file::{Checked, File};
use super::label::Interner;
use super::labels::Labels;
use super::names::Names;
use super::policies::Policies;
use super::raw::{RawFile, RawPolicy};
use super::read_labels::LabelReader;
use super::read_policy::read_policy;
use super::set::MAX_POLICIES;
use super::source::Sources;

impl TryFrom<&PolicyDocument> for Policies {
    type Error = PolicyError;

    fn try_from(document: &PolicyDocument) -> Result<Self, PolicyError> {
        Policies::check(document.revision, &document.sources)
    }
}

impl Policies {
    /// Checks files as the policies of a revision.
    ///
    /// # Errors
    /// The first fault found, with file, line, field and remedy.
    pub fn check(revision: u64, sources: &Sources) -> Result<Self, PolicyError> {
        let files: Vec<File<RawFile>> = sources.files.iter().map(File::read).collect::<Checked<_>>()?;
        let mut labels = LabelReader::default();
        let mut names = Names::default();
        let mut interner = Interner::default();
        let mut list = Vec::new();
        for file in &files {
            labels.read(file)?;
            for raw in &file.raw.policy {
                names.add(file, "policy", &raw.name)?;
                refuse_too_many(file, raw, list.len())?;
                list.push(read_policy(file, raw, &mut interner)?);
            }
        }
        list.sort_by(|one, other| one.name.cmp(&other.name));
        Ok(Policies::new(revision, interner, Labels::from(labels), list))
    }
}

fn refuse_too_many(file: &File<RawFile>, raw: &RawPolicy, count: usize) -> Checked<()> {
    if count < MAX_POLICIES {
        return Ok(());
    }
    let place = file.place("policy", &raw.name, "");
    Err(PolicyError::TooMany { place, kind: "policies", most: MAX_POLICIES })
}
