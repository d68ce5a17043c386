//! The check of policies.

use super::check::{Checker, File, Names, positive, share};
use super::error::{DeclarationError, Place};
use super::file::Checked;
use super::raw::RawPolicy;
use crate::policy::{Action, Limit, MAX_POLICIES, Pace, Policy, Weight};
use crate::selector::Selector;

impl Checker {
    pub(super) fn policies(&mut self, files: &[File]) -> Checked<()> {
        let mut names = Names::default();
        let mut checked = Vec::new();
        for file in files {
            for raw in &file.raw.policy {
                names.add(file, "policy", &raw.name)?;
                checked.push((self.policy(file, raw)?, file.place("policy", &raw.name, "")));
            }
        }
        checked.sort_by(|(a, _), (b, _)| a.name.cmp(&b.name));
        self.contradictions(&checked)?;
        self.policies = checked.into_iter().map(|(p, _)| p).collect();
        Ok(())
    }

    fn policy(&mut self, file: &File, raw: &RawPolicy) -> Checked<Policy> {
        let place = |field| file.place("policy", &raw.name, field);
        let action = action(file, raw)?;
        if let Some(cap) = raw.cap {
            share(place("cap"), cap)?;
        }
        let needs_places = !matches!(action, Action::Cap | Action::Priority(_));
        if needs_places && raw.places.is_none() {
            return Err(DeclarationError::Mismatch {
                place: place("places"),
                text: "this action needs places to act on",
                remedy: "add places = { .. }; places = {} selects all",
            });
        }
        let requests = Selector::compile(&raw.requests, &mut self.interner);
        let places = Selector::compile(&raw.places.clone().unwrap_or_default(), &mut self.interner);
        if needs_places && !self.targets.iter().any(|t| places.selects(&t.labels)) {
            return Err(DeclarationError::Empty { place: place("places") });
        }
        if !self.some_service(&requests) {
            return Err(DeclarationError::Empty { place: place("requests") });
        }
        Ok(Policy { name: raw.name.get_ref().clone(), requests, places, action, cap: raw.cap })
    }

    fn some_service(&mut self, requests: &Selector) -> bool {
        let key = self.interner.intern_key("service");
        self.services.iter().any(|s| requests.could_select(key, s.labels.get(key)))
    }

    /// Refuses weights that promise more than the whole of the same service's
    /// traffic, and more policies for one service than a policy set holds.
    fn contradictions(&mut self, policies: &[(Policy, Place)]) -> Checked<()> {
        let key = self.interner.intern_key("service");
        for service in &self.services {
            let value = service.labels.get(key);
            let mut sum = 0.0;
            let mut first: Option<&str> = None;
            let mut count = 0;
            for (policy, place) in policies {
                if !policy.requests.could_select(key, value) {
                    continue;
                }
                count += 1;
                if count > MAX_POLICIES {
                    return Err(DeclarationError::TooMany {
                        place: place.clone(),
                        kind: "policies for one service",
                        most: MAX_POLICIES,
                    });
                }
                let Action::Weight(weight) = policy.action else { continue };
                sum += weight.share;
                if sum > 1.0 + 1e-9 {
                    let other = first.unwrap_or_default().to_owned();
                    return Err(DeclarationError::Contradiction {
                        place: place.clone(),
                        other,
                        text: "their weights add to more than 1",
                    });
                }
                first = first.or(Some(&policy.name));
            }
        }
        Ok(())
    }
}

/// The one thing that a policy says.
pub(crate) fn action<R>(file: &super::file::File<R>, raw: &RawPolicy) -> Checked<Action> {
    let place = |field| file.place("policy", &raw.name, field);
    let mut said = Vec::new();
    for (set, action) in [(raw.allow, Action::Allow), (raw.deny, Action::Deny), (raw.drain, Action::Drain)] {
        if set {
            said.push(action);
        }
    }
    said.extend(raw.prefer.map(Action::Prefer));
    said.extend(raw.priority.map(Action::Priority));
    if let Some(limit) = raw.limit {
        if limit.flight.is_none() && limit.rate.is_none() {
            return Err(DeclarationError::Mismatch {
                place: place("limit"),
                text: "the limit bounds nothing",
                remedy: "give flight, rate or both",
            });
        }
        said.push(Action::Limit(Limit { flight: limit.flight, rate: limit.rate }));
    }
    if let Some(weight) = raw.weight {
        share(place("weight"), weight)?;
        said.push(Action::Weight(Weight { share: weight, pace: pace(file, raw)? }));
    } else if raw.pace.is_some() {
        return Err(DeclarationError::Mismatch {
            place: place("pace"),
            text: "a pace belongs to a weight",
            remedy: "add weight, or remove pace",
        });
    }
    match said.as_slice() {
        [] if raw.cap.is_some() => Ok(Action::Cap),
        [] => Err(DeclarationError::Action { place: place(""), remedy: "add the one it is meant to say" }),
        [one] if raw.cap.is_none() || matches!(one, Action::Weight(_)) => Ok(*one),
        [_] => Err(DeclarationError::Action { place: place("cap"), remedy: "move the cap into a policy of its own" }),
        _ => Err(DeclarationError::Action { place: place(""), remedy: "split it into one policy for each" }),
    }
}

fn pace<R>(file: &super::file::File<R>, raw: &RawPolicy) -> Checked<Option<Pace>> {
    let Some(pace) = raw.pace else { return Ok(None) };
    let place = || file.place("policy", &raw.name, "pace");
    share(place(), pace.share)?;
    positive(place(), pace.every)?;
    if pace.share == 0.0 {
        return Err(DeclarationError::Range { place: place(), value: "0".into(), range: "a share above 0" });
    }
    Ok(Some(Pace { share: pace.share, every: pace.every }))
}
