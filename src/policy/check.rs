//! The check of a policy document. All files are read as if they were one, and the first
//! error ends the check.
//!
//! A name in a selector need not exist: regions, halls, services and targets are added and
//! removed by the platform at any time.
//!
//! A document in the store was checked by the program that applied it, perhaps an older
//! version. It takes effect even if weights in it sum to more than 1, so that instances of all
//! versions apply the same policies. The last of these weights in name order then get
//! only what the others leave of the scale.

use super::action::Policy;
use super::document::PolicyDocument;
use super::error::{Location, PolicyError};
use super::file::{CheckResult, ParsedFile};
use super::label::Interner;
use super::labels::Labels;
use super::names::UniqueNames;
use super::policies::Policies;
use super::raw::{RawFile, RawPolicy};
use super::read_labels::LabelReader;
use super::read_policy::read_policy;
use super::set::MAX_POLICIES;
use super::source::Sources;
use super::weights::check_weights;

impl TryFrom<&PolicyDocument> for Policies {
    type Error = PolicyError;

    fn try_from(document: &PolicyDocument) -> Result<Self, PolicyError> {
        Ok(ParsedDocument::read(&document.sources)?.into_policies(document.revision))
    }
}

impl Policies {
    /// Checks files as the policies of a revision.
    ///
    /// # Errors
    /// The first error found, with file, line, field and remedy.
    pub fn check(revision: u64, sources: &Sources) -> Result<Self, PolicyError> {
        let document = ParsedDocument::read(sources)?;
        check_weights(&document.list)?;
        Ok(document.into_policies(revision))
    }
}

/// The items of a document's files, each checked by itself.
struct ParsedDocument {
    labels: LabelReader,
    interner: Interner,
    /// Policies in name order, each with its location.
    list: Vec<(Policy, Location)>,
}

impl ParsedDocument {
    fn read(sources: &Sources) -> CheckResult<Self> {
        let files: Vec<ParsedFile<RawFile>> =
            sources.files.iter().map(ParsedFile::parse).collect::<CheckResult<_>>()?;
        let mut document =
            ParsedDocument { labels: LabelReader::default(), interner: Interner::default(), list: Vec::new() };
        let mut names = UniqueNames::default();
        for file in &files {
            document.read_file(file, &mut names)?;
        }
        document.list.sort_by(|(one, _), (other, _)| one.name.cmp(&other.name));
        Ok(document)
    }

    fn read_file(&mut self, file: &ParsedFile<RawFile>, names: &mut UniqueNames) -> CheckResult<()> {
        self.labels.read(file)?;
        for raw in &file.raw.policy {
            names.insert(file, "policy", &raw.name)?;
            check_policy_count(file, raw, self.list.len())?;
            let policy = read_policy(file, raw, &mut self.interner)?;
            self.list.push((policy, file.location("policy", &raw.name, "")));
        }
        Ok(())
    }

    fn into_policies(self, revision: u64) -> Policies {
        let list = self.list.into_iter().map(|(policy, _)| policy).collect();
        Policies::new(revision, self.interner, Labels::from(self.labels), list)
    }
}

/// Rejects a policy beyond [`MAX_POLICIES`]; `count` policies precede it.
fn check_policy_count(file: &ParsedFile<RawFile>, raw: &RawPolicy, count: usize) -> CheckResult<()> {
    if count < MAX_POLICIES {
        return Ok(());
    }
    let location = file.location("policy", &raw.name, "");
    Err(PolicyError::TooMany { location, kind: "policies", max: MAX_POLICIES })
}
