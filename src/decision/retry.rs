//! The budget for second tries, so that failing targets are not hit by a
//! multiple of their load.

/// Second tries that are paid for.
#[derive(Debug)]
pub struct RetryBudget {
    /// Tries earned by each request.
    ratio: f64,
    /// The most tries that may be saved.
    most: f64,
    saved: f64,
}

impl RetryBudget {
    /// A budget in which each request earns `ratio` tries and `most` at most
    /// are saved. It starts empty: a process that was just started may follow
    /// one that has spent its part.
    pub fn new(ratio: f64, most: f64) -> Self {
        Self { ratio, most, saved: 0.0 }
    }

    /// Changes how many tries may be saved.
    pub fn set_max_saved(&mut self, most: f64) {
        self.most = most;
        self.saved = self.saved.min(most);
    }

    /// Earns for a request.
    pub fn earn(&mut self) {
        self.saved = (self.saved + self.ratio).min(self.most);
    }

    /// Pays for one second try; false where the budget does not reach.
    pub fn spend(&mut self) -> bool {
        if self.saved < 1.0 {
            return false;
        }
        self.saved -= 1.0;
        true
    }
}
