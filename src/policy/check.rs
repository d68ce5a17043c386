//! The check of a policy document. Regions, halls, services and targets come
//! and go with the platform, so that a name in a selector may not exist yet.

use super::action::{Action, Policy};
use super::file::{Checked, File};
use super::label::{Interner, RawLabels};
use super::labels::{GIVEN, Labels, RequestLabels};
use super::names::Names;
use super::raw::RawPolicy;
use super::read_action::{check_share, read_action};
use super::selector::Selector;
use super::{DeclarationError, MAX_POLICIES, Policies, PolicyDocument, Sources};
use serde::Deserialize;
use toml::Spanned;

/// One file of a policy document.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct RawOverlay {
    region: Vec<RawLabelled>,
    hall: Vec<RawLabelled>,
    target: Vec<RawLabelled>,
    service: Vec<RawService>,
    policy: Vec<RawPolicy>,
}

/// Labels for something that the platform names.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct RawLabelled {
    name: Spanned<String>,
    labels: RawLabels,
}

/// Labels for the requests of a service.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct RawService {
    name: Spanned<String>,
    #[serde(default)]
    labels: RawLabels,
    #[serde(default)]
    headers: RawLabels,
    #[serde(default)]
    query: RawLabels,
}

impl TryFrom<&PolicyDocument> for Policies {
    type Error = DeclarationError;

    fn try_from(document: &PolicyDocument) -> Result<Self, DeclarationError> {
        Policies::check(document.revision, &document.sources)
    }
}

impl Policies {
    /// Checks files as the policies of a revision.
    ///
    /// # Errors
    /// The first fault found, with file, line, field and remedy.
    pub fn check(revision: u64, sources: &Sources) -> Result<Self, DeclarationError> {
        let files: Vec<File<RawOverlay>> = sources.files.iter().map(File::read).collect::<Checked<_>>()?;
        let mut labels = Labels::default();
        let mut interner = Interner::default();
        let mut list = Vec::new();
        let mut names = KindNames::default();
        for file in &files {
            names.label(file, &mut labels)?;
            for raw in &file.raw.policy {
                names.policy.add(file, "policy", &raw.name)?;
                if list.len() == MAX_POLICIES {
                    let place = file.place("policy", &raw.name, "");
                    return Err(DeclarationError::TooMany { place, kind: "policies", most: MAX_POLICIES });
                }
                list.push(policy(file, raw, &mut interner)?);
            }
        }
        list.sort_by(|one, other| one.name.cmp(&other.name));
        Ok(Policies::new(revision, interner, labels, list))
    }
}

/// Names seen so far, to find duplicates.
#[derive(Default)]
struct KindNames {
    region: Names,
    hall: Names,
    target: Names,
    service: Names,
    policy: Names,
}

impl KindNames {
    fn label(&mut self, file: &File<RawOverlay>, labels: &mut Labels) -> Checked<()> {
        let kinds = [
            ("region", &file.raw.region, &mut self.region, &mut labels.regions),
            ("hall", &file.raw.hall, &mut self.hall, &mut labels.halls),
            ("target", &file.raw.target, &mut self.target, &mut labels.targets),
        ];
        for (kind, raws, names, known) in kinds {
            for raw in raws {
                names.add(file, kind, &raw.name)?;
                refuse_given(file, kind, &raw.name, "labels", &raw.labels)?;
                known.insert(raw.name.get_ref().clone(), raw.labels.clone());
            }
        }
        for raw in &file.raw.service {
            self.service.add(file, "service", &raw.name)?;
            for (field, given) in [("labels", &raw.labels), ("headers", &raw.headers), ("query", &raw.query)] {
                refuse_given(file, "service", &raw.name, field, given)?;
            }
            let headers = raw.headers.iter().map(|(label, name)| (label.clone(), name.to_ascii_lowercase())).collect();
            let service = RequestLabels { labels: raw.labels.clone(), headers, query: raw.query.clone() };
            labels.services.insert(raw.name.get_ref().clone(), service);
        }
        Ok(())
    }
}

fn refuse_given<R>(file: &File<R>, kind: &str, name: &Spanned<String>, field: &str, labels: &RawLabels) -> Checked<()> {
    match labels.keys().any(|label| GIVEN.contains(&label.as_str())) {
        false => Ok(()),
        true => Err(DeclarationError::Mismatch {
            place: file.place(kind, name, field),
            text: "region, hall, service, target, version, route and method are given by the platform",
            remedy: "choose another label name",
        }),
    }
}

fn policy(file: &File<RawOverlay>, raw: &RawPolicy, interner: &mut Interner) -> Checked<Policy> {
    let place = |field| file.place("policy", &raw.name, field);
    let action = read_action(file, raw)?;
    if let Some(cap) = raw.cap {
        check_share(place("cap"), cap)?;
    }
    if raw.places.is_none() && action != Action::Cap {
        return Err(DeclarationError::Mismatch {
            place: place("places"),
            text: "this action needs places to act on",
            remedy: "add places = { .. }; places = {} selects all",
        });
    }
    Ok(Policy {
        name: raw.name.get_ref().clone(),
        requests: Selector::compile(&raw.requests, interner),
        places: Selector::compile(&raw.places.clone().unwrap_or_default(), interner),
        action,
        cap: raw.cap,
    })
}
