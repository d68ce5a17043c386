//! The rules: which target a request may go to, and what bounds that. One module a rule; each
//! module in the tables begins with the rule in a sentence, its inputs with units and ages,
//! the reason, the promise it guards, its constants with their evidence, and its test.
//!
//! # The choice of a target
//!
//! | rule | module | promise |
//! |---|---|---|
//! | the choice: first usable target with room | [`choice`] | `why` answers what a request gets |
//! | what excludes a target | [`exclusion`] | draining, evacuated and forbidden targets get nothing |
//! | two targets a key, by weighted rendezvous | [`affinity`] | requests about one object stay together, and in their region |
//! | weight of the own region | [`region_weight`] | requests stay in their region as far as its targets bear them |
//! | the region of a leaving target's keys | [`key_region`] | few requests change their region while targets are replaced |
//! | most load, by priority | [`admission`] | targets are not overloaded; the less urgent is refused first |
//! | second targets by what they lately took | [`second_target`] | answers come within their objective where targets can give them |
//! | moves charged to caps | [`cap_moves`] | no more than a cap's share leaves its default hall |
//! | service of a split route | [`split`] | a split keeps its shares |
//!
//! # What is known of one target
//!
//! | rule | module | promise |
//! |---|---|---|
//! | load, own and reported | [`load`] | full targets get no more, whoever fills them |
//! | outlier ejection | [`ejection`] | no requests are lost at dead targets |
//! | slow targets | [`latency`] | answers come within their objective where a target can give them |
//! | slow start, shared by the instances | [`slow_start`] | cold targets get no more than they bear |
//! | grace for expired registrations | [`grace`] | requests are served on while the store is unreachable |
//! | tombstones of removed targets | [`targets`] | a target that is gone gets nothing |
//!
//! # Beside the choice
//!
//! | rule | module | promise |
//! |---|---|---|
//! | what is done after a try | [`next_try`] | told not run means not run; a request that may have run is not run again |
//! | retry budget | [`retry`] | failing targets do not get a multiple of their load |
//! | when a refused caller may return | [`retry_after`] | callers are told when to come back, and do not come together |
//! | whom the directory names | [`directory`] | callers find an instance that takes requests |
//! | later records replace earlier ones | [`routing`] | an instance never goes back to an older configuration |
//! | what a stopping instance takes | [`stop`] | no request is lost to a planned stop |
//!
//! An input "as old as the view" is current to 1.3 s while store or relay answers, older while
//! they do not.
//!
//! Evidence: a day is one simulated run of a deployment of 12 to 295 instances. Its value, from
//! 0 to 1, is the credit of its requests (whole where answered within the objective, a part where
//! late) less what the operators pay. `docs/DECISIONS.md` names the runs.
//!
//! State that the rules look at: [`routing`] (what the store says), made of [`targets`],
//! [`members`] and [`change`]; [`target`], with one small state for each rule; [`query`],
//! what is asked, and [`outcome`], what comes of it. Relies on [`crate::model`], [`crate::policy`], [`crate::hash`],
//! [`crate::store`] for events, and the connection pool of a target in [`crate::net`]. Nothing
//! here waits, sends or reads the clock but for the start of an instance: the time is an
//! argument. `docs/DECISIONS.md` lists all constants.

pub mod admission;
pub mod affinity;
pub mod cap_moves;
pub mod change;
pub mod choice;
pub mod directory;
pub mod ejection;
pub mod exclusion;
pub mod grace;
pub mod in_flight;
pub mod key_region;
pub mod latency;
pub mod load;
pub mod members;
pub mod next_try;
pub mod outcome;
pub mod query;
pub mod region_weight;
pub mod retry;
pub mod retry_after;
pub mod routing;
pub mod second_target;
pub mod shedding;
pub mod slow_start;
pub mod split;
pub mod stop;
pub mod target;
pub mod target_key;
pub mod targets;
