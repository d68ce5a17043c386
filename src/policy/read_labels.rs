//! The labels of a document, read from its files.

use super::error::PolicyError;
use super::facts::PLATFORM_LABELS;
use super::file::{Checked, File};
use super::label::RawLabels;
use super::labels::{Labels, RequestLabels};
use super::names::Names;
use super::raw::{RawFile, RawService};
use toml::Spanned;

/// Reads the labels of one file after the other.
#[derive(Default)]
pub(super) struct LabelReader {
    labels: Labels,
    regions: Names,
    halls: Names,
    targets: Names,
    services: Names,
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
    /// A name that is taken, or a label that the platform assigns.
    pub(super) fn read(&mut self, file: &File<RawFile>) -> Checked<()> {
        let labels = &mut self.labels;
        let kinds = [
            ("region", &file.raw.region, &mut self.regions, &mut labels.regions),
            ("hall", &file.raw.hall, &mut self.halls, &mut labels.halls),
            ("target", &file.raw.target, &mut self.targets, &mut labels.targets),
        ];
        for (kind, raws, names, known) in kinds {
            for raw in raws {
                names.add(file, kind, &raw.name)?;
                refuse_platform_labels(file, kind, &raw.name, "labels", &raw.labels)?;
                known.insert(raw.name.get_ref().clone(), raw.labels.clone());
            }
        }
        file.raw.service.iter().try_for_each(|raw| self.read_service(file, raw))
    }

    fn read_service(&mut self, file: &File<RawFile>, raw: &RawService) -> Checked<()> {
        self.services.add(file, "service", &raw.name)?;
        for (field, labels) in [("labels", &raw.labels), ("headers", &raw.headers), ("query", &raw.query)] {
            refuse_platform_labels(file, "service", &raw.name, field, labels)?;
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

fn refuse_platform_labels(
    file: &File<RawFile>,
    kind: &str,
    name: &Spanned<String>,
    field: &str,
    labels: &RawLabels,
) -> Checked<()> {
    match labels.keys().any(|label| PLATFORM_LABELS.contains(&label.as_str())) {
        false => Ok(()),
        true => Err(PolicyError::Mismatch {
            place: file.place(kind, name, field),
            text: "region, hall, service, target, version, route and method are given by the platform",
            remedy: "choose another label name",
        }),
    }
}
