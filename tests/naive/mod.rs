//! A naive implementation of the choice that looks at every policy and every target by name.

pub mod spec;

use crate::policy_scene::{Outcome, hall_of};
use spec::{Action, PolicySpec, Spec, TARGETS, selects};

/// Credit of one move. Credit is counted in whole millionths, and what a cap earns is rounded down
/// to them.
const MOVE: i64 = 1_000_000;

/// The naive implementation: a plain search, and the credit that each policy has earned.
pub struct Naive<'a> {
    spec: &'a Spec,
    /// Credit of each policy, in millionths of a move.
    credit: Vec<i64>,
}

impl<'a> Naive<'a> {
    /// Starts with no credit for any policy.
    pub fn new(spec: &'a Spec) -> Self {
        Self { spec, credit: vec![0; spec.policies.len()] }
    }

    /// Decides on a request. `affinity_order` is the order of the targets for its affinity key alone.
    pub fn decide(&mut self, affinity_order: &[usize], tier: Option<&str>) -> Outcome {
        let spec = self.spec;
        let request = Spec::request_labels(tier);
        let matching: Vec<usize> = (0..spec.policies.len())
            .filter(|number| selects(&spec.policies[*number].request_selector, &request))
            .collect();
        let with_action = |is_wanted: fn(&Action) -> bool| -> Vec<&PolicySpec> {
            matching.iter().map(|number| &spec.policies[*number]).filter(|policy| is_wanted(&policy.action)).collect()
        };
        let selects_target =
            |policy: &PolicySpec, target: usize| selects(&policy.place_selector, &spec.target_labels(target));
        let (denials, drains) =
            (with_action(|action| *action == Action::Deny), with_action(|action| *action == Action::Drain));
        let (allowances, preferences) =
            (with_action(|action| *action == Action::Allow), with_action(|action| matches!(action, Action::Prefer(_))));
        let is_forbidden = |target: usize| {
            denials.iter().any(|policy| selects_target(policy, target))
                || !allowances.is_empty() && !allowances.iter().any(|policy| selects_target(policy, target))
        };
        let is_usable = |target: usize| {
            !is_forbidden(target)
                && !spec.draining[target]
                && !drains.iter().any(|policy| selects_target(policy, target))
        };
        let rank = |target: usize| {
            let ranks = preferences.iter().filter(|policy| selects_target(policy, target)).filter_map(|policy| {
                match policy.action {
                    Action::Prefer(rank) => Some(rank),
                    _ => None,
                }
            });
            ranks.min().unwrap_or(u16::MAX)
        };
        let position = |target: usize| affinity_order.iter().position(|other| *other == target).unwrap();
        let best = |targets: Vec<usize>| targets.into_iter().min_by_key(|target| (rank(*target), position(*target)));
        let caps: Vec<usize> =
            matching.into_iter().filter(|number| spec.policies[*number].action == Action::Cap).collect();
        for number in &caps {
            self.credit[*number] = (self.credit[*number] + (spec.policies[*number].cap * MOVE as f64) as i64).min(MOVE);
        }
        let Some(preferred) = best((0..TARGETS).filter(|target| is_usable(*target)).collect()) else {
            return Outcome::NoneUsable;
        };
        // The default hall is the one that the request would use if no target were draining and no policy
        // drained any, so such targets count here.
        let default_hall = best((0..TARGETS).filter(|target| !is_forbidden(*target)).collect()).map(hall_of);
        if caps.is_empty() || default_hall == Some(hall_of(preferred)) {
            return Outcome::Chosen(preferred);
        }
        if caps.iter().all(|number| self.credit[*number] >= MOVE) {
            caps.iter().for_each(|number| self.credit[*number] -= MOVE);
            return Outcome::Chosen(preferred);
        }
        let in_default_hall =
            (0..TARGETS).filter(|target| is_usable(*target) && Some(hall_of(*target)) == default_hall).collect();
        best(in_default_hall).map_or(Outcome::Capped, Outcome::Chosen)
    }
}
