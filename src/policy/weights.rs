//! The check that weights fit on their scale: those that may select the same request
//! sum to 1 at most.
//!
//! Whether they may is decided by their selectors alone: labels that operators assign and
//! requests' own come and go. Owns nothing; relies on [`super::selector`].

use super::action::{Action, Policy};
use super::error::{Place, PolicyError};
use super::file::Checked;
use super::selector::Selector;

/// What a sum may exceed 1 by: rounding of 128 shares is far below, and a share that an operator
/// means far above.
const ROUNDING: f64 = 1e-9;
/// Most tests of selectors that are looked at for one document, as a bound on the time. 128 weights
/// with a test each, of which no two select the same request, make 16,384.
const MAX_TESTS: usize = 2_000_000;

/// A weight with where it stands.
struct Weight<'a> {
    policy: &'a Policy,
    place: &'a Place,
    share: f64,
}

/// Refuses weights that sum to more than 1 for some request.
///
/// # Errors
/// [`PolicyError::Weights`] at the last of the weights in name order, which gets less
/// than its share; [`PolicyError::TooManyWeights`] where they overlap in too many ways to
/// tell.
pub(super) fn check_weights(list: &[(Policy, Place)]) -> Checked<()> {
    let weights: Vec<Weight<'_>> = list.iter().filter_map(weight).collect();
    let mut search = Search { weights: &weights, chosen: Vec::new(), tests: 0 };
    search.extend(0, 0.0)
}

fn weight((policy, place): &(Policy, Place)) -> Option<Weight<'_>> {
    match policy.action {
        Action::Weight(share) if share > 0.0 => Some(Weight { policy, place, share }),
        _ => None,
    }
}

/// A search through the sets of weights that may select the same request.
struct Search<'a> {
    weights: &'a [Weight<'a>],
    /// Positions of the set that is looked at.
    chosen: Vec<usize>,
    /// Tests looked at so far.
    tests: usize,
}

impl<'a> Search<'a> {
    /// Adds each weight from a position on to the set, whose shares sum to `sum`.
    fn extend(&mut self, from: usize, sum: f64) -> Checked<()> {
        for position in from..self.weights.len() {
            let rest: f64 = self.weights[position..].iter().map(|weight| weight.share).sum();
            if sum + rest <= 1.0 + ROUNDING {
                return Ok(());
            }
            self.add(position, sum)?;
        }
        Ok(())
    }

    fn add(&mut self, position: usize, sum: f64) -> Checked<()> {
        self.chosen.push(position);
        let selectors = self.selectors();
        self.tests += selectors.iter().map(|selector| selector.len()).sum::<usize>();
        if self.tests > MAX_TESTS {
            return Err(PolicyError::TooManyWeights { place: self.weights[position].place.clone() });
        }
        if Selector::may_meet(&selectors) {
            let sum = sum + self.weights[position].share;
            self.refuse_excess(sum)?;
            self.extend(position + 1, sum)?;
        }
        self.chosen.pop();
        Ok(())
    }

    /// What the weights of the set select.
    fn selectors(&self) -> Vec<&'a Selector> {
        self.chosen.iter().map(|position| &self.weights[*position].policy.requests).collect()
    }

    fn refuse_excess(&self, sum: f64) -> Checked<()> {
        if sum <= 1.0 + ROUNDING {
            return Ok(());
        }
        let chosen = || self.chosen.iter().map(|position| &self.weights[*position]);
        let names: Vec<String> = chosen().map(|weight| format!("{:?}", weight.policy.name)).collect();
        let Some(last) = chosen().next_back() else { return Ok(()) };
        // Rounded as far as operators write shares.
        let sum = (sum * 1e6).round() / 1e6;
        Err(PolicyError::Weights { place: last.place.clone(), names: names.join(", "), sum: sum.to_string() })
    }
}
