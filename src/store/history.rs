//! Detects a store whose history is not the one that the view was built from.
//!
//! **Rule.** The store's responses are linearizable. A response that names an earlier position than one
//! that was seen before its call was sent, of the same era, is *behind*: the store has lost changes without
//! beginning an era, or a position was seen that it has never reached.
//!
//! **Inputs**: the latest position seen when a call was sent, in the view or at a peer, and the position
//! that the response names; exact.
//!
//! **Why.** Such a response does not show that the view is current, although the view's revision is not
//! below it: the store may hold other changes at those revisions.
//!
//! **Guards** the promise that changes take effect whatever positions the store has named before.
//!
//! **Test**: `standins/tests/unmarked_restores.rs`, `tests/eras.rs`.
//!
//! Owns the last logged state. Relies on [`crate::sync`] to check each response of the store.

use crate::store::era::Position;
use std::cell::Cell;

/// Whether the store's responses are behind what was seen of it.
#[derive(Debug, Default)]
pub struct History {
    is_behind: Cell<bool>,
}

impl History {
    /// Whether a response at the position `at` is behind `seen`, the latest position seen when its call was
    /// sent; logs each change once. `call` names the call in the log. A response from another era changes
    /// nothing.
    pub fn check(&self, call: &'static str, seen: Position, at: Position) -> bool {
        if at.era != seen.era {
            return false;
        }
        let is_behind = at.revision < seen.revision;
        if self.is_behind.replace(is_behind) != is_behind {
            let (revision, seen, era) = (at.revision, seen.revision, at.era.number);
            match is_behind {
                true => tracing::warn!(event = "store_behind_view", call, revision, seen, era),
                false => tracing::info!(event = "store_level_with_view", call, revision, seen, era),
            }
        }
        is_behind
    }
}
