//! Reads the labels that operators assign from the files of a document.

use super::attributes::PLATFORM_LABELS;
use super::error::PolicyError;
use super::file::{CheckResult, ParsedFile};
use super::label::RawLabels;
use super::labels::{Labels, RequestLabels};
use super::names::UniqueNames;
use super::raw::{RawFile, RawService};
use toml::Spanned;

/// The labels of the files read so far.
#[derive(Default)]
pub(super) struct LabelReader {
    labels: Labels,
    regions: UniqueNames,
    halls: UniqueNames,
    targets: UniqueNames,
    services: UniqueNames,
}

impl From<LabelReader> for Labels {
    fn from(reader: LabelReader) -> Self {
        reader.labels
    }
}

impl LabelReader {
    /// Reads the labels of a file.
    ///
    /// # Errors
    /// A name is invalid or a duplicate, or a label is one that the platform assigns.
    pub(super) fn read(&mut self, file: &ParsedFile<RawFile>) -> CheckResult<()> {
        let labels = &mut self.labels;
        let kinds = [
            ("region", &file.raw.region, &mut self.regions, &mut labels.regions),
            ("hall", &file.raw.hall, &mut self.halls, &mut labels.halls),
            ("target", &file.raw.target, &mut self.targets, &mut labels.targets),
        ];
        for (kind, raws, names, assigned) in kinds {
            for raw in raws {
                names.insert(file, kind, &raw.name)?;
                reject_platform_labels(file, kind, &raw.name, "labels", &raw.labels)?;
                assigned.insert(raw.name.get_ref().clone(), raw.labels.clone());
            }
        }
        file.raw.service.iter().try_for_each(|raw| self.read_service(file, raw))
    }

    fn read_service(&mut self, file: &ParsedFile<RawFile>, raw: &RawService) -> CheckResult<()> {
        self.services.insert(file, "service", &raw.name)?;
        for (field, labels) in [("labels", &raw.labels), ("headers", &raw.headers), ("query", &raw.query)] {
            reject_platform_labels(file, "service", &raw.name, field, labels)?;
        }
        self.labels.services.insert(raw.name.get_ref().clone(), RequestLabels::from(raw));
        Ok(())
    }
}

impl From<&RawService> for RequestLabels {
    fn from(raw: &RawService) -> Self {
        let lowercase = |(label, name): (&String, &String)| (label.clone(), name.to_ascii_lowercase());
        let headers = raw.headers.iter().map(lowercase).collect();
        Self { labels: raw.labels.clone(), headers, query: raw.query.clone() }
    }
}

/// Rejects labels that the platform assigns.
fn reject_platform_labels(
    file: &ParsedFile<RawFile>,
    kind: &str,
    name: &Spanned<String>,
    field: &str,
    labels: &RawLabels,
) -> CheckResult<()> {
    match labels.keys().any(|label| PLATFORM_LABELS.contains(&label.as_str())) {
        false => Ok(()),
        true => Err(PolicyError::InvalidField {
            location: file.location(kind, name, field),
            text: "region, hall, service, target, version, route and method are given by the platform",
            remedy: "choose another label name",
        }),
    }
}
