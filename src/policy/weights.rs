//! The check that weights that may match the same request sum to 1 at most.
//!
//! Weights may match the same request if some labels pass all their selectors. Whether any request
//! has such labels now is not considered, because labels change. Holds no state; depends on
//! [`super::selector`].

use super::action::{Action, Policy};
use super::error::{Location, PolicyError};
use super::file::CheckResult;
use super::selector::Selector;

/// Amount by which a sum may exceed 1: far more than the rounding errors of 128 shares, and far
/// less than any share that an operator writes on purpose.
const ROUNDING_TOLERANCE: f64 = 1e-9;
/// Maximum number of selector tests that are examined for one document, which limits the time of
/// the check. 128 weights with one test each, of which no two match the same request, take 16,384.
const MAX_TESTS: usize = 2_000_000;

/// A weight policy with its location.
struct Weight<'a> {
    policy: &'a Policy,
    location: &'a Location,
    share: f64,
}

/// Rejects weights that may match the same request and sum to more than 1.
///
/// # Errors
/// [`PolicyError::WeightSum`] at the last of these weights in name order, which would get less
/// than its share; [`PolicyError::TooManyOverlaps`] if the check exceeds [`MAX_TESTS`].
pub(super) fn check_weights(list: &[(Policy, Location)]) -> CheckResult<()> {
    let weights: Vec<Weight<'_>> = list.iter().filter_map(weight).collect();
    let mut search = OverlapSearch { weights: &weights, current: Vec::new(), tests: 0 };
    search.extend(0, 0.0)
}

fn weight((policy, location): &(Policy, Location)) -> Option<Weight<'_>> {
    match policy.action {
        Action::Weight(share) if share > 0.0 => Some(Weight { policy, location, share }),
        _ => None,
    }
}

/// A depth-first search through the sets of weights that may match the same request.
struct OverlapSearch<'a> {
    weights: &'a [Weight<'a>],
    /// Positions of the weights in the current set, ascending.
    current: Vec<usize>,
    /// Number of tests examined so far.
    tests: usize,
}

impl<'a> OverlapSearch<'a> {
    /// Tries to add each weight from position `from` on to the current set, whose shares sum to
    /// `sum`. Stops once the sum can't exceed 1 even with all remaining weights.
    fn extend(&mut self, from: usize, sum: f64) -> CheckResult<()> {
        for position in from..self.weights.len() {
            let rest: f64 = self.weights[position..].iter().map(|weight| weight.share).sum();
            if sum + rest <= 1.0 + ROUNDING_TOLERANCE {
                return Ok(());
            }
            self.search_with(position, sum)?;
        }
        Ok(())
    }

    /// Continues the search in the sets that also contain the weight at a position.
    fn search_with(&mut self, position: usize, sum: f64) -> CheckResult<()> {
        self.current.push(position);
        let selectors = self.selectors();
        self.tests += selectors.iter().map(|selector| selector.len()).sum::<usize>();
        if self.tests > MAX_TESTS {
            return Err(PolicyError::TooManyOverlaps { location: self.weights[position].location.clone() });
        }
        if Selector::may_overlap(&selectors) {
            let sum = sum + self.weights[position].share;
            self.check_sum(sum)?;
            self.extend(position + 1, sum)?;
        }
        self.current.pop();
        Ok(())
    }

    /// The selectors of the weights in the current set.
    fn selectors(&self) -> Vec<&'a Selector> {
        self.current.iter().map(|position| &self.weights[*position].policy.requests).collect()
    }

    fn check_sum(&self, sum: f64) -> CheckResult<()> {
        if sum <= 1.0 + ROUNDING_TOLERANCE {
            return Ok(());
        }
        let current = || self.current.iter().map(|position| &self.weights[*position]);
        let names: Vec<String> = current().map(|weight| format!("{:?}", weight.policy.name)).collect();
        let Some(last) = current().next_back() else { return Ok(()) };
        // Six decimal places hide rounding errors, and are more than operators write.
        let sum = (sum * 1e6).round() / 1e6;
        Err(PolicyError::WeightSum { location: last.location.clone(), names: names.join(", "), sum: sum.to_string() })
    }
}
