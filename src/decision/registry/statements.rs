//! What a target says of itself in its answers: its rate limit, that it leaves, that it wants a pause.
//!
//! **Rule.** A statement holds for the start of the target that made it, at its address: another one
//! inherits nothing, and an answer that comes late speaks of the start that was asked. It outlasts the
//! registration: one that is gone for a while and comes back finds what that start had said, for as
//! long as a tombstone is kept.
//!
//! | statement | whom it binds | until when |
//! |---|---|---|
//! | rate limit ([`crate::decision::capacity::rate_limit`]) | all instances together; told through heads | answers do not name it any more, or 10 s without word |
//! | that it leaves | each instance that heard it, from the target or through heads | the end of that start, whatever it or its registration says later |
//! | pause ([`crate::decision::failure::pause`]) | the instance that was turned away | the time that it named |
//!
//! **Inputs**: headers of the target's own answers, of any status, as they arrive. What cannot be read
//! counts as not said.
//!
//! **Why.** The store may be silent while a target leaves, and its registration says nothing of what the
//! target has room for.
//!
//! **Guards** the promises that a target which said that it leaves, or that it wants none for a time,
//! gets no new request.
//! **Test**: `tests/statements.rs`, `standins/tests/leaving_statements.rs`,
//! `standins/tests/pauses.rs`.

use crate::clock::Instant;
use crate::decision::capacity::rate_limit::{LimitSignal, RateLimit};
use crate::decision::failure::pause::{Pause, StatedPause};
use std::time::Duration;

/// What one answer says.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Stated {
    /// Of its rate limit.
    pub limit: LimitSignal,
    /// Of its end.
    pub leaving: StatedLeaving,
    /// Of a time for which it wants no other request.
    pub pause: StatedPause,
    /// Whether it turns the request away.
    pub turns_away: bool,
}

/// What an answer says of the target's end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StatedLeaving {
    /// Nothing.
    None,
    /// That it leaves.
    Leaves,
    /// Something that cannot be read: it says nothing.
    Unreadable,
}

impl StatedLeaving {
    /// Reads the values of the header: `1`, also where it is named more than once.
    pub fn parse<'a>(values: impl Iterator<Item = &'a [u8]>) -> Self {
        let word = |value: &[u8]| if value.trim_ascii() == b"1" { Self::Leaves } else { Self::Unreadable };
        values.map(word).fold(Self::None, |one, other| if one == Self::Leaves { one } else { other })
    }
}

/// What changed by an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct StatedChange {
    /// The limit that holds from now on where it is another one, `None` in it for none.
    pub limit: Option<Option<f64>>,
    /// Whether it was not known before that it leaves.
    pub leaves: bool,
    /// The pause that begins.
    pub pause: Option<Duration>,
}

/// What one start of a target has said of itself.
#[derive(Debug, Default)]
pub struct Statements {
    /// Its rate limit.
    pub limit: RateLimit,
    /// Its pause.
    pub pause: Pause,
    leaves: bool,
}

impl Statements {
    /// Takes in what an answer says that arrived now, to a request sent at `sent`. `draw` is at
    /// random from 0 to 1.
    pub fn take(&mut self, stated: Stated, draw: f64, sent: Instant, now: Instant) -> StatedChange {
        let leaves = stated.leaving == StatedLeaving::Leaves && self.leave();
        if !stated.turns_away {
            self.pause.record_answer(now);
        }
        let pause = self.pause.state(stated.pause, draw, now).then(|| self.pause.left(now)).flatten();
        StatedChange { limit: self.limit.apply(stated.limit, sent, now), leaves, pause }
    }

    /// Notes that the target leaves; gives whether that was not known.
    pub fn leave(&mut self) -> bool {
        !std::mem::replace(&mut self.leaves, true)
    }

    /// Whether it has said that it leaves.
    pub fn is_leaving(&self) -> bool {
        self.leaves
    }
}
