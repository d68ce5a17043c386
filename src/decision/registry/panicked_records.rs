//! Changes of the store at which applying them panicked.
//!
//! **Rule.** A change that panicked is refused the next time, as an unreadable value is. If refusing it
//! panics as well, it is ignored from then on. That holds for this value at this revision of its key, or
//! for the removal of the key; a later write of the key is tried again.
//!
//! A step that follows the changes (weights, bounds, log lines) and panicked is left out of the next
//! attempt, and is made again with the next change of its own kind.
//!
//! **Inputs**: the changes that were begun and did not end; exact. Applying a change never waits, so
//! that one which was begun and did not end panicked.
//!
//! **Why.** The response that holds the change is applied again as a whole, and would panic each time:
//! one value of any writer would keep all later changes from taking effect. The panic itself is not
//! caught, so that each is seen.
//!
//! **Guards** the promise that a value which cannot be used keeps no other one from being used.
//!
//! **Constants**: none.
//!
//! **Test**: `tests/task_ends.rs`, `standins/tests/task_ends.rs`.
//!
//! Owns the change that is being applied, and one entry for each key whose last change panicked.

use crate::store::Event;
use std::cell::Cell;
use std::collections::HashMap;

/// What to do with a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Treatment {
    /// Apply it.
    Apply,
    /// Refuse it: applying it panicked.
    Refuse,
    /// Leave everything as it is: refusing it panicked as well.
    Ignore,
}

/// The last change of a key that panicked.
#[derive(Debug)]
struct PanickedRecord {
    change: Event,
    treatment: Treatment,
}

/// Changes that panicked, by key.
#[derive(Debug, Default)]
pub struct PanickedRecords {
    current: Option<Event>,
    by_key: HashMap<String, PanickedRecord>,
}

impl PanickedRecords {
    /// Begins a change; returns what to do with it. [`Self::end`] has to follow without a wait.
    pub fn begin(&mut self, change: &Event) -> Treatment {
        self.record_unfinished();
        let treatment = self.treatment(change);
        if treatment == Treatment::Apply {
            self.by_key.remove(change.key());
        }
        self.current = Some(change.clone());
        treatment
    }

    /// Ends the change that was begun last.
    pub fn end(&mut self) {
        self.current = None;
    }

    /// Whether a change was begun and did not end.
    pub fn has_unfinished(&self) -> bool {
        self.current.is_some()
    }

    fn treatment(&self, change: &Event) -> Treatment {
        let known = self.by_key.get(change.key()).filter(|known| is_same(&known.change, change));
        known.map_or(Treatment::Apply, |known| known.treatment)
    }

    /// Records the panic of a change that did not end.
    fn record_unfinished(&mut self) {
        let Some(change) = self.current.take() else { return };
        let treatment = match self.treatment(&change) {
            Treatment::Apply => Treatment::Refuse,
            Treatment::Refuse | Treatment::Ignore => Treatment::Ignore,
        };
        self.by_key.insert(change.key().to_owned(), PanickedRecord { change, treatment });
    }
}

/// A step that follows the changes, which may panic as well.
#[derive(Debug, Default)]
pub struct PanickedStep(Cell<bool>);

impl PanickedStep {
    /// Whether to make the step now; false once after it panicked. If true, [`Self::end`] has to follow
    /// without a wait.
    pub fn begin(&self) -> bool {
        let has_panicked = self.0.replace(true);
        if has_panicked {
            self.0.set(false);
        }
        !has_panicked
    }

    /// Ends the step that was begun last.
    pub fn end(&self) {
        self.0.set(false);
    }
}

/// Whether two changes of a key are the same one. A list gives its own revision to a removal, so that
/// revisions of removals differ.
fn is_same(one: &Event, other: &Event) -> bool {
    match (one, other) {
        (Event::Delete { .. }, Event::Delete { .. }) => true,
        _ => one == other,
    }
}
