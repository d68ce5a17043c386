//! The check that turns raw files into a [`Declaration`].

use super::error::{DeclarationError, Place};
use super::file::Checked;
use super::raw::{
    RawCaller, RawFile, RawHall, RawKeyRule, RawLink, RawObjective, RawRegion, RawRepeat, RawService, RawTarget,
};
use super::{Declaration, Sources};
use crate::caller::{BlockTable, Caller};
use crate::hall::{Hall, MAX_HALLS};
use crate::key::{Arena, CallerKey, HallKey, Key, RegionKey, ServiceKey};
use crate::label::{Interner, LabelSet, RawLabels};
use crate::link::Links;
use crate::policy::Policy;
use crate::quota::MAX_HOLD_MS;
use crate::region::Region;
use crate::service::{KeyRule, LabelSource, Objective, Repeat, Service};
use crate::target::{MAX_TARGETS, Target};
use ipnet::IpNet;
use std::collections::{HashMap, HashSet};
use std::time::Duration;
use toml::Spanned;

/// The largest arena of any kind, a bound of 16-bit keys.
const MAX_ITEMS: usize = u16::MAX as usize - 1;

/// A file of declarations.
pub(super) type File<'a> = super::file::File<'a, RawFile>;

/// Reads and checks all files.
///
/// # Errors
/// The first fault found, with file, line, field and remedy.
pub fn check(sources: &Sources) -> Checked<Declaration> {
    let files: Vec<File> = sources.files.iter().map(File::read).collect::<Checked<_>>()?;
    let mut checker = Checker::default();
    checker.regions(&files)?;
    checker.halls(&files)?;
    checker.links(&files)?;
    checker.services(&files)?;
    checker.targets(&files)?;
    checker.callers(&files)?;
    checker.policies(&files)?;
    checker.finish(&files)
}

/// Names of one kind, to find keys and duplicates.
#[derive(Default)]
pub(crate) struct Names {
    keys: HashMap<String, usize>,
}

impl Names {
    pub(crate) fn add<R>(
        &mut self,
        file: &super::file::File<R>,
        kind: &'static str,
        name: &Spanned<String>,
    ) -> Checked<()> {
        let place = file.place(kind, name, "");
        if name.get_ref().is_empty() {
            return Err(DeclarationError::Range {
                place,
                value: "an empty name".into(),
                range: "a name of at least one character",
            });
        }
        if self.keys.len() >= MAX_ITEMS {
            return Err(DeclarationError::TooMany { place, kind, most: MAX_ITEMS });
        }
        let index = self.keys.len();
        if self.keys.insert(name.get_ref().clone(), index).is_some() {
            return Err(DeclarationError::Duplicate { place, kind, name: name.get_ref().clone() });
        }
        Ok(())
    }

    fn find<K: Key>(&self, place: Place, kind: &'static str, name: &str) -> Checked<K> {
        match self.keys.get(name) {
            Some(index) => Ok(K::from_index(*index)),
            None => Err(DeclarationError::Dangling { place, kind, name: name.to_owned() }),
        }
    }
}

/// The declaration so far.
#[derive(Default)]
pub(super) struct Checker {
    pub(super) interner: Interner,
    region_names: Names,
    hall_names: Names,
    service_names: Names,
    regions: Vec<Region>,
    halls: Vec<Hall>,
    links: Links,
    pub(super) services: Vec<Service>,
    pub(super) targets: Vec<Target>,
    callers: Vec<Caller>,
    blocks: Vec<(IpNet, CallerKey)>,
    pub(super) policies: Vec<Policy>,
}

impl Checker {
    fn labels(&mut self, base: Option<&LabelSet>, own: &RawLabels, implicit: &str, name: &str) -> LabelSet {
        let mut set = base.cloned().unwrap_or_default();
        set.extend(&mut self.interner, own);
        let key = self.interner.intern_key(implicit);
        let value = self.interner.intern_value(name);
        set.set(key, value);
        set
    }

    fn regions(&mut self, files: &[File]) -> Checked<()> {
        for file in files {
            for raw in &file.raw.region {
                self.region(file, raw)?;
            }
        }
        Ok(())
    }

    fn region(&mut self, file: &File, raw: &RawRegion) -> Checked<()> {
        self.region_names.add(file, "region", &raw.name)?;
        let name = raw.name.get_ref().clone();
        let labels = self.labels(None, &raw.labels, "region", &name);
        self.regions.push(Region { name, labels });
        Ok(())
    }

    fn halls(&mut self, files: &[File]) -> Checked<()> {
        for file in files {
            for raw in &file.raw.hall {
                self.hall(file, raw)?;
            }
        }
        Ok(())
    }

    fn hall(&mut self, file: &File, raw: &RawHall) -> Checked<()> {
        self.hall_names.add(file, "hall", &raw.name)?;
        if self.halls.len() == MAX_HALLS {
            return Err(DeclarationError::TooMany {
                place: file.place("hall", &raw.name, ""),
                kind: "halls",
                most: MAX_HALLS,
            });
        }
        let region: RegionKey =
            self.region_names.find(file.place("hall", &raw.name, "region"), "region", &raw.region)?;
        let name = raw.name.get_ref().clone();
        let base = self.regions[region.index()].labels.clone();
        let labels = self.labels(Some(&base), &raw.labels, "hall", &name);
        self.halls.push(Hall { name, region, labels });
        Ok(())
    }

    /// Region links first, so that a hall link overrides the one of its regions.
    fn links(&mut self, files: &[File]) -> Checked<()> {
        let regions: Vec<RegionKey> = self.halls.iter().map(|h| h.region).collect();
        self.links = Links::new(regions.len(), |a, b| regions[a.index()] == regions[b.index()]);
        let mut names = Names::default();
        let mut by_hall = Vec::new();
        for file in files {
            for raw in &file.raw.link {
                names.add(file, "link", &raw.name)?;
                if self.hall_names.keys.contains_key(&raw.from) {
                    by_hall.push((file, raw));
                } else {
                    self.region_link(file, raw)?;
                }
            }
        }
        for (file, raw) in by_hall {
            let from: HallKey = self.hall_names.find(file.place("link", &raw.name, "from"), "hall", &raw.from)?;
            let to: HallKey = self.hall_names.find(file.place("link", &raw.name, "to"), "hall", &raw.to)?;
            self.links.set(from, to, raw.delay, raw.bytes);
        }
        self.links.close(&regions, self.regions.len());
        Ok(())
    }

    fn region_link(&mut self, file: &File, raw: &RawLink) -> Checked<()> {
        let from: RegionKey =
            self.region_names.find(file.place("link", &raw.name, "from"), "region or hall", &raw.from)?;
        let to: RegionKey = self.region_names.find(file.place("link", &raw.name, "to"), "region", &raw.to)?;
        for (a, x) in self.halls.iter().enumerate() {
            for (b, y) in self.halls.iter().enumerate() {
                if a != b && x.region == from && y.region == to {
                    self.links.set(HallKey::from_index(a), HallKey::from_index(b), raw.delay, raw.bytes);
                }
            }
        }
        Ok(())
    }

    fn services(&mut self, files: &[File]) -> Checked<()> {
        for file in files {
            for raw in &file.raw.service {
                self.service(file, raw)?;
            }
        }
        Ok(())
    }

    fn service(&mut self, file: &File, raw: &RawService) -> Checked<()> {
        self.service_names.add(file, "service", &raw.name)?;
        share(file.place("service", &raw.name, "retry"), raw.retry)?;
        positive(file.place("service", &raw.name, "timeout"), raw.timeout)?;
        if raw.timeout.as_millis() as u64 > MAX_HOLD_MS {
            let place = file.place("service", &raw.name, "timeout");
            return Err(DeclarationError::Range {
                place,
                value: format!("{:?}", raw.timeout),
                range: "at most ten minutes",
            });
        }
        if raw.hosts.is_empty() && raw.paths.is_empty() {
            return Err(DeclarationError::Mismatch {
                place: file.place("service", &raw.name, "hosts"),
                text: "a service without hosts and paths would answer for all others",
                remedy: "give at least one host or path",
            });
        }
        if raw.hedge && raw.repeat == RawRepeat::Never {
            return Err(DeclarationError::Mismatch {
                place: file.place("service", &raw.name, "hedge"),
                text: "a hedged request may run twice, which repeat = \"never\" forbids",
                remedy: "remove hedge, or declare repeat = \"safe\"",
            });
        }
        let name = raw.name.get_ref().clone();
        let labels = self.labels(None, &raw.labels, "service", &name);
        let headers = self.label_sources(&raw.headers, true);
        let query = self.label_sources(&raw.query, false);
        self.services.push(Service {
            name,
            hosts: raw.hosts.clone(),
            paths: raw.paths.clone(),
            repeat: match raw.repeat {
                RawRepeat::Safe => Repeat::Safe,
                RawRepeat::Never => Repeat::Never,
            },
            objective: match raw.objective {
                RawObjective::Latency => Objective::Latency,
                RawObjective::Headroom => Objective::Headroom,
            },
            key: match raw.key {
                RawKeyRule::Optional => KeyRule::Optional,
                RawKeyRule::Required => KeyRule::Required,
            },
            priority: raw.priority,
            timeout: raw.timeout,
            retry: raw.retry,
            body: raw.body,
            queue: raw.queue,
            hedge: raw.hedge,
            headers,
            query,
            labels,
        });
        Ok(())
    }

    fn label_sources(&mut self, raw: &RawLabels, lower: bool) -> Vec<LabelSource> {
        let mut sources = Vec::new();
        for (label, name) in raw {
            let name = if lower { name.to_ascii_lowercase() } else { name.clone() };
            sources.push(LabelSource { key: self.interner.intern_key(label), name });
        }
        sources
    }

    fn targets(&mut self, files: &[File]) -> Checked<()> {
        let mut names = Names::default();
        let mut addresses = HashSet::new();
        for file in files {
            for raw in &file.raw.target {
                names.add(file, "target", &raw.name)?;
                if !addresses.insert(raw.address) {
                    let place = file.place("target", &raw.name, "address");
                    return Err(DeclarationError::Duplicate {
                        place,
                        kind: "target address",
                        name: raw.address.to_string(),
                    });
                }
                let target = self.target(file, raw)?;
                self.targets.push(target);
            }
        }
        self.targets.sort_by_key(|t| (t.service, t.hall));
        Ok(())
    }

    fn target(&mut self, file: &File, raw: &RawTarget) -> Checked<Target> {
        let place = |field| file.place("target", &raw.name, field);
        let service: ServiceKey = self.service_names.find(place("service"), "service", &raw.service)?;
        let hall: HallKey = self.hall_names.find(place("hall"), "hall", &raw.hall)?;
        if raw.slots == 0 || raw.slots > 65_535 {
            return Err(DeclarationError::Range {
                place: place("slots"),
                value: raw.slots.to_string(),
                range: "1 to 65,535 slots",
            });
        }
        if raw.connections < raw.slots {
            return Err(DeclarationError::Range {
                place: place("connections"),
                value: raw.connections.to_string(),
                range: "at least as many connections as slots",
            });
        }
        if !raw.probe.starts_with('/') {
            return Err(DeclarationError::Range {
                place: place("probe"),
                value: format!("{:?}", raw.probe),
                range: "a path that begins with /",
            });
        }
        let name = raw.name.get_ref().clone();
        let base = self.halls[hall.index()].labels.clone();
        let mut labels = self.labels(Some(&base), &raw.labels, "target", &name);
        let key = self.interner.intern_key("service");
        let value = self.interner.intern_value(&raw.service);
        labels.set(key, value);
        Ok(Target {
            name,
            service,
            hall,
            address: raw.address,
            slots: raw.slots,
            connections: raw.connections,
            probe: raw.probe.clone(),
            warmup: raw.warmup,
            labels,
        })
    }

    fn callers(&mut self, files: &[File]) -> Checked<()> {
        let mut names = Names::default();
        let mut seen = HashSet::new();
        for file in files {
            for raw in &file.raw.caller {
                names.add(file, "caller", &raw.name)?;
                self.caller(file, raw, &mut seen)?;
            }
        }
        Ok(())
    }

    fn caller(&mut self, file: &File, raw: &RawCaller, seen: &mut HashSet<IpNet>) -> Checked<()> {
        let region = self.region_names.find(file.place("caller", &raw.name, "region"), "region", &raw.region)?;
        let key = CallerKey::from_index(self.callers.len());
        for block in &raw.blocks {
            if !seen.insert(block.trunc()) {
                let place = file.place("caller", &raw.name, "blocks");
                return Err(DeclarationError::Duplicate { place, kind: "caller block", name: block.to_string() });
            }
            self.blocks.push((block.trunc(), key));
        }
        let name = raw.name.get_ref().clone();
        let labels = self.labels(None, &raw.labels, "caller", &name);
        self.callers.push(Caller { name, region, delay: raw.delay, labels });
        Ok(())
    }

    fn finish(self, files: &[File]) -> Checked<Declaration> {
        let file = files.first().map_or("declaration", |f| f.name).to_owned();
        let counts = [
            ("region", self.regions.len()),
            ("hall", self.halls.len()),
            ("service", self.services.len()),
            ("target", self.targets.len()),
        ];
        for (kind, count) in counts {
            if count == 0 {
                return Err(DeclarationError::Missing { file, kind });
            }
        }
        for (i, service) in self.services.iter().enumerate() {
            let count = self.targets.iter().filter(|t| t.service.index() == i).count();
            if count > MAX_TARGETS {
                let place = Place { file, line: 1, field: format!("service {:?}", service.name) };
                return Err(DeclarationError::TooMany { place, kind: "targets of one service", most: MAX_TARGETS });
            }
        }
        Ok(Declaration {
            interner: self.interner,
            regions: Arena::from(self.regions),
            halls: Arena::from(self.halls),
            links: self.links,
            services: Arena::from(self.services),
            targets: Arena::from(self.targets),
            callers: Arena::from(self.callers),
            blocks: BlockTable::new(&self.blocks),
            policies: Arena::from(self.policies),
        })
    }
}

pub(crate) fn share(place: Place, value: f64) -> Checked<()> {
    if (0.0..=1.0).contains(&value) {
        return Ok(());
    }
    Err(DeclarationError::Range { place, value: value.to_string(), range: "a share from 0 to 1" })
}

pub(super) fn positive(place: Place, value: Duration) -> Checked<()> {
    if !value.is_zero() {
        return Ok(());
    }
    Err(DeclarationError::Range { place, value: "0s".into(), range: "a time above zero, such as \"2s\"" })
}
