//! The rules: which target a request may go to, and what bounds that. One module a
//! rule; `docs/DECISIONS.md` lists them with their constants.

pub mod admission;
pub mod affinity;
pub mod cap_moves;
pub mod change;
pub mod choice;
pub mod directory;
pub mod ejection;
pub mod exclusion;
pub mod grace;
pub mod latency;
pub mod load;
pub mod members;
pub mod query;
pub mod retry;
pub mod routing;
pub mod slow_start;
pub mod split;
pub mod target;
pub mod targets;
