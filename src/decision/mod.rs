//! The rules: which target a request may go to, and what bounds that. One module a rule; each
//! module in the tables begins with the rule in a sentence, its inputs with units and ages,
//! the reason, the promise it guards, its constants with their evidence, and its test.
//!
//! | folder | question |
//! |---|---|
//! | [`registry`] | who is there |
//! | [`selection`] | who may be chosen, and in which order |
//! | [`capacity`] | how much a target is given |
//! | [`quota`] | how much a tenant is given, over all instances |
//! | [`refusal`] | who is turned away, and told what |
//! | [`failure`] | what a failure changes |
//!
//! # The choice of a target
//!
//! | rule | module | promise |
//! |---|---|---|
//! | the choice: first usable target with room | [`choice`](selection::choice) | `why` answers what a request gets |
//! | what excludes a target | [`exclusion`](selection::exclusion) | draining, evacuated and forbidden targets get nothing |
//! | two targets a key, by weighted rendezvous | [`affinity`](selection::affinity) | requests about one object stay together, and in their region |
//! | weight of the own region | [`region_weight`](selection::region_weight) | requests stay in their region as far as its targets bear them |
//! | the region of a leaving target's keys | [`key_region`](selection::key_region) | few requests change their region while targets are replaced |
//! | most load, by priority | [`admission`](capacity::admission) | targets are not overloaded; the less urgent is refused first |
//! | loads that instances share | [`shared_loads`](capacity::shared_loads) | a request waits where that is sooner |
//! | second targets by what they lately took | [`second_target`](capacity::second_target) | answers come within their objective where targets can give them |
//! | moves charged to caps | [`cap_moves`](selection::cap_moves) | no more than a cap's share leaves its default hall |
//! | service of a split route | [`split`](selection::split) | a split keeps its shares |
//!
//! # What is known of one target
//!
//! | rule | module | promise |
//! |---|---|---|
//! | load, own and reported | [`load`](capacity::load) | full targets get no more, whoever fills them |
//! | outlier ejection | [`ejection`](failure::ejection) | no requests are lost at dead targets |
//! | slow targets | [`latency`](failure::latency) | answers come within their objective where a target can give them |
//! | slow start, shared by the instances | [`slow_start`](capacity::slow_start) | cold targets get no more than they bear |
//! | grace for expired registrations | [`grace`](registry::grace) | requests are served on while the store is unreachable |
//! | tombstones of removed targets | [`targets`](registry::targets) | a target that is gone gets nothing |
//!
//! # Beside the choice
//!
//! | rule | module | promise |
//! |---|---|---|
//! | what is done after a try | [`next_try`](failure::next_try) | told not run means not run; a request that may have run is not run again |
//! | targets that shed load beside free slots | [`shedding`](failure::shedding) | a caller waits for no room that is there |
//! | requests under which targets ended | [`quarantine`](failure::quarantine) | a request ends few targets, wherever it comes in |
//! | quotas of tenants | [`quota`] | a tenant's requests stay within its quota, and none below it is refused |
//! | retry budget | [`retry`](failure::retry) | failing targets do not get a multiple of their load |
//! | when a refused caller may return | [`retry_after`](refusal::retry_after) | callers are told when to come back, and do not come together |
//! | whom the directory names | [`directory`](selection::directory) | callers find an instance that takes requests |
//! | how many callers an instance gets | [`instance_weight`](selection::instance_weight) | weak machines get no more than they bear |
//! | what is held of answers | [`held_answers`](refusal::held_answers) | slow readers hold no target, and no more memory than there is |
//! | steps of a tenant's demand | [`hall_demand`](quota::hall_demand) | a quota holds before all halls have told |
//! | later records replace earlier ones | [`routing`](registry::routing) | an instance never goes back to an older configuration |
//! | how much is held of answers | [`held_answers`](refusal::held_answers) | a caller that reads slowly costs no target its slot, and no instance its memory |
//! | what a stopping instance takes | [`stop`](refusal::stop) | no request is lost to a planned stop |
//!
//! An input "as old as the view" is current to 1.3 s while store or relay answers, older while
//! they do not.
//!
//! State that the rules look at: [`routing`](registry::routing) (what the store says), made of [`targets`](registry::targets),
//! [`members`](registry::members) and [`change`](registry::change); [`target`](registry::target), with one small state for each rule; [`query`](selection::query),
//! what is asked, and [`outcome`](selection::outcome), what comes of it. Relies on [`crate::model`], [`crate::policy`], [`crate::hash`],
//! [`crate::store`] for events, and the connection pool of a target in [`crate::net`]. Nothing
//! here waits, sends or reads the clock but for the start of an instance: the time is an
//! argument. `docs/DECISIONS.md` lists all constants, and how their values were chosen.

pub mod capacity;
pub mod failure;
pub mod quota;
pub mod refusal;
pub mod registry;
pub mod selection;
