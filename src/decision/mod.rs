//! The rules: which target a request may go to, and what bounds that. One module a
//! rule; `docs/DECISIONS.md` lists them with their constants.

pub mod choice;
pub mod directory;
pub mod next_try;
pub mod retry;
pub mod routing;
pub mod slow_start;
pub mod split;
pub mod target;
